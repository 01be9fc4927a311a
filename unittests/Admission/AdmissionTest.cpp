#include "persimmontally/Admission/AccountLimits.h"
#include "persimmontally/Admission/FairQueue.h"
#include "persimmontally/Admission/LengthModel.h"
#include "persimmontally/Admission/MemoryForecast.h"
#include "persimmontally/Admission/ShareLedger.h"

#include <doctest/doctest.h>

#include <random>

using namespace persimmontally;

static Ticket TicketOf(const std::string& aAccount, int aNumber)
{
  Ticket ticket;
  ticket.m_id = RequestId(aAccount + std::to_string(aNumber));
  ticket.m_account = AccountId(aAccount);
  ticket.m_placeBy = Instant::max();
  return ticket;
}

TEST_CASE("service is shared by weight, whatever waits")
{
  FairQueue queue;
  for (int i = 0; i < 1000; ++i) {
    Ticket heavy = TicketOf("heavy", i);
    queue.Push(heavy);
    Ticket doubled = TicketOf("double", i);
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

TEST_CASE("an idle account earns no credit and waits no longer")
{
  FairQueue queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push(TicketOf("busy", i));
  }
  for (int i = 0; i < 50; ++i) {
    queue.Charge(queue.PopFront().m_account, 100);
  }
  for (int i = 0; i < 100; ++i) {
    queue.Push(TicketOf("late", i));
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

TEST_CASE("lengths are predicted from the tokens so far")
{
  LengthModel lengths;
  ModelId model("m");
  AccountId account("a");
  // Half the outputs have 10 tokens, half 1,000.
  for (int i = 0; i < 2000; ++i) {
    lengths.Record(model, account, i % 2 == 0 ? 10 : 1000);
  }
  double fromStart = lengths.ChanceOfMore(model, account, 0, 100, 32768);
  CHECK(fromStart == doctest::Approx(0.5).epsilon(0.05));
  CHECK(lengths.ChanceOfMore(model, account, 100, 100, 32768) > 0.95);
  CHECK(lengths.ChanceOfMore(model, account, 100, 5000, 32768) < 0.05);
  CHECK(lengths.ChanceOfMore(model, account, 0, 100, 50) == 0);
}

TEST_CASE("forecasts order as they know more")
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

static Plan SmallPlan()
{
  Plan plan;
  plan.m_requestsPerSecond = 10;
  plan.m_tokensPerMinute = 6000;
  plan.m_maxConcurrent = 8;
  return plan;
}

TEST_CASE("plan limits refuse with the kind and a true wait")
{
  Instant now{ seconds(1) };
  AccountId account("a");
  Plan plan = SmallPlan();
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
  // After the wait that was named the request is taken.
  CHECK_FALSE(limits.Admit(
    now + refusal->m_retryAfter + seconds(1), account, plan, 1, 1));
}

TEST_CASE("shares in use never exceed the plan, whatever messages are lost")
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
      // Some grants are lost, others are up to half a second late.
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
      ledger.ForgetOld(now);
      sum += ledger.Share(now, account);
    }
    REQUIRE(sum <= 1.0 + 1e-9);
  }
}
