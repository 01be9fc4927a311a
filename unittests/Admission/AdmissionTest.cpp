#include "persimmontally/Admission/AccountLimits.h"
#include "persimmontally/Admission/FairQueue.h"
#include "persimmontally/Admission/LengthModel.h"
#include "persimmontally/Admission/MemoryForecast.h"
#include "persimmontally/Admission/ShareLedger.h"

#include <doctest/doctest.h>

#include <random>

using namespace persimmontally;

static Ticket MakeTicket(const std::string& aAccount, int aNumber)
{
  Ticket ticket;
  ticket.m_id = RequestId(aAccount + std::to_string(aNumber));
  ticket.m_account = AccountId(aAccount);
  ticket.m_placeBy = Instant::max();
  return ticket;
}

TEST_CASE("backlogged accounts are served in proportion to their weights")
{
  FairQueue queue;
  for (int i = 0; i < 1000; ++i) {
    Ticket heavy = MakeTicket("heavy", i);
    queue.Push(heavy);
    Ticket doubled = MakeTicket("double", i);
    doubled.m_weight = 2;
    queue.Push(doubled);
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 300; ++i) {
    Ticket ticket = queue.PopFront();
    ++served[ticket.m_account.Value()];
    queue.Charge(ticket.m_account, 100);
  }
  CHECK(served["double"] == 200);
  CHECK(served["heavy"] == 100);
}

TEST_CASE("an account that becomes backlogged gets an equal share without "
          "credit for its idle time")
{
  FairQueue queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push(MakeTicket("busy", i));
  }
  for (int i = 0; i < 50; ++i) {
    queue.Charge(queue.PopFront().m_account, 100);
  }
  for (int i = 0; i < 100; ++i) {
    queue.Push(MakeTicket("late", i));
  }
  int late = 0;
  for (int i = 0; i < 20; ++i) {
    Ticket ticket = queue.PopFront();
    late += ticket.m_account == AccountId("late") ? 1 : 0;
    queue.Charge(ticket.m_account, 100);
  }
  CHECK(late >= 9);
  CHECK(late <= 11);
}

TEST_CASE("the remaining length is predicted from the tokens so far")
{
  LengthModel lengths;
  ModelId model("m");
  AccountId account("a");
  // Half the outputs have 10 tokens, half 1,000.
  for (int i = 0; i < 2000; ++i) {
    lengths.Record(model, account, i % 2 == 0 ? 10 : 1000);
  }
  double fromStart =
    lengths.ContinuationProbability(model, account, 0, 100, 32768);
  CHECK(fromStart == doctest::Approx(0.5).epsilon(0.05));
  CHECK(lengths.ContinuationProbability(model, account, 100, 100, 32768) >
        0.95);
  CHECK(lengths.ContinuationProbability(model, account, 100, 5000, 32768) <
        0.05);
  CHECK(lengths.ContinuationProbability(model, account, 0, 100, 50) == 0);
}

TEST_CASE("the conditional forecast is close to the oracle and above the "
          "tokens held now")
{
  LengthModel lengths;
  for (int i = 0; i < 500; ++i) {
    lengths.Record(ModelId("m"), AccountId("a"), 200);
  }
  GenerationSize size{ ModelId("m"), AccountId("a"), 100, 0, 32768, 200 };
  double oracle = ForecastPeak(
    OracleForecast(), ForecastGeneration(OracleForecast(), lengths, size));
  double conditional =
    ForecastPeak(ConditionalForecast(),
                 ForecastGeneration(ConditionalForecast(), lengths, size));
  double none =
    ForecastPeak(NoForecast(), ForecastGeneration(NoForecast(), lengths, size));
  CHECK(none == 100);
  CHECK(oracle == 228);
  CHECK(conditional >= oracle * 0.9);
  CHECK(conditional < 2 * oracle);
}

static Plan MakePlan()
{
  Plan plan;
  plan.m_requestsPerSecond = 10;
  plan.m_tokensPerMinute = 6000;
  plan.m_maxConcurrent = 8;
  return plan;
}

TEST_CASE("a request over a plan limit is refused with its kind and a "
          "sufficient retry-after time")
{
  Instant now{ seconds(1) };
  AccountId account("a");
  Plan plan = MakePlan();
  AccountLimits limits;
  for (int i = 0; i < 8; ++i) {
    CHECK_FALSE(limits.Admit(now, account, plan, 1, 1));
  }
  CHECK(limits.Admit(now, account, plan, 1, 1)->m_kind ==
        ErrorKind::ConcurrencyLimited);
  for (int i = 0; i < 8; ++i) {
    limits.Finish(account);
  }
  limits.ChargeTokens(account, 7000);
  auto refusal = limits.Admit(now, account, plan, 1, 1);
  REQUIRE(refusal);
  CHECK(refusal->m_kind == ErrorKind::RateLimited);
  // The request is admitted after the retry-after time.
  CHECK_FALSE(limits.Admit(
    now + refusal->m_retryAfter + seconds(1), account, plan, 1, 1));
}

TEST_CASE(
  "shares never add up to more than the plan when grants are lost or late")
{
  constexpr size_t kHosts = 6;
  std::mt19937_64 random(7);
  AccountId account("a");
  std::vector<ShareLedger> ledgers(kHosts);
  for (ShareLedger& ledger : ledgers) {
    ledger.SetHostCount(kHosts);
  }
  std::multimap<Instant, std::pair<size_t, ShareMessage>> network;
  Instant now{ seconds(1) };
  for (int step = 0; step < 20000; ++step) {
    now += milliseconds(20);
    size_t from = random() % kHosts;
    size_t to = random() % kHosts;
    if (from != to) {
      auto grant = ledgers[from].Lend(
        now, account, static_cast<uint32_t>(random() % 200000), true);
      // A third of the grants is lost, the others are up to 500 ms late.
      if (grant && random() % 3 != 0) {
        network.emplace(now + milliseconds(random() % 500),
                        std::make_pair(to, *grant));
      }
    }
    while (!network.empty() && network.begin()->first <= now) {
      auto [receiver, grant] = network.begin()->second;
      network.erase(network.begin());
      ledgers[receiver].Borrow(now, grant);
    }
    double sum = 0;
    for (ShareLedger& ledger : ledgers) {
      ledger.RemoveExpiredLoans(now);
      sum += ledger.Share(now, account);
    }
    REQUIRE(sum <= 1.0 + 1e-9);
  }
}
