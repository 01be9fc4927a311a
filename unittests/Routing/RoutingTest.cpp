#include "persimmontally/Routing/Dispatcher.h"
#include "persimmontally/Routing/HealthTable.h"
#include "persimmontally/Routing/PoisonTable.h"
#include "persimmontally/Routing/PrefixIndex.h"
#include "persimmontally/Routing/RetryBudget.h"

#include <doctest/doctest.h>

using namespace persimmontally;

static const Instant kStart{ seconds(100) };

static UpstreamRow Engine(const std::string& aId, uint32_t aSlots)
{
  UpstreamRow row;
  row.m_id = UpstreamId(aId);
  row.m_incarnation = 1;
  row.m_sequence = 1;
  row.m_models = { ModelId("m") };
  row.m_slots = aSlots;
  row.m_kvBlocks = 1000;
  return row;
}

static Ticket TicketOf(int aNumber, Rank aRank)
{
  Ticket ticket;
  ticket.m_id = RequestId(std::to_string(aNumber));
  ticket.m_account = AccountId("account-" + std::to_string(aNumber % 3));
  ticket.m_rank = aRank;
  ticket.m_model = ModelId("m");
  ticket.m_promptTokens = 10;
  ticket.m_maxTokens = 100;
  ticket.m_fingerprint = static_cast<uint64_t>(aNumber);
  ticket.m_placeBy = kStart + seconds(60);
  return ticket;
}

static std::vector<DispatchGrant> Grants(
  const std::vector<DispatchAction>& aActions)
{
  std::vector<DispatchGrant> grants;
  for (const DispatchAction& action : aActions) {
    if (const auto* grant = std::get_if<DispatchGrant>(&action)) {
      grants.push_back(*grant);
    }
  }
  return grants;
}

TEST_CASE("urgent work is placed during a flood of routine work, and routine "
          "work keeps its floor during a flood of urgent work")
{
  struct Row
  {
    std::string m_name;
    Rank m_flood;
    Rank m_other;
  };
  const Row rows[] = { { "routine flood", Rank::Routine, Rank::Urgent },
                       { "urgent flood", Rank::Urgent, Rank::Routine } };
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    UpstreamTable table;
    table.Merge(kStart, Engine("a", 10));
    Dispatcher dispatcher(DispatchOptions(), 1);
    dispatcher.SetRoutineFloor(0.2);
    for (int i = 0; i < 100; ++i) {
      CHECK_FALSE(dispatcher.Enqueue(kStart, TicketOf(i, row.m_flood)));
    }
    size_t flooded = Grants(dispatcher.Tick(kStart, table)).size();
    CHECK(flooded >= 8);
    CHECK_FALSE(dispatcher.Enqueue(kStart, TicketOf(1000, row.m_other)));
    auto grants = Grants(dispatcher.Tick(kStart, table));
    if (row.m_other == Rank::Urgent) {
      REQUIRE(grants.size() == 1);
      CHECK(grants[0].m_ticket.m_rank == Rank::Urgent);
      continue;
    }
    // Freed slots go to routine work until it holds its floor.
    dispatcher.Complete(kStart, RequestId("0"), DispatchOutcome::Finished);
    grants = Grants(dispatcher.Tick(kStart, table));
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].m_ticket.m_rank == Rank::Routine);
  }
}

TEST_CASE("a full queue of one rank does not cause refusals of the other rank")
{
  DispatchOptions options;
  options.m_maxQueued = 10;
  Dispatcher dispatcher(options, 1);
  for (int i = 0; i < 50; ++i) {
    dispatcher.Enqueue(kStart, TicketOf(i, Rank::Routine));
  }
  CHECK(dispatcher.Queued(Rank::Routine) == 10);
  CHECK_FALSE(dispatcher.Enqueue(kStart, TicketOf(99, Rank::Urgent)));
}

TEST_CASE("a full queue evicts the newest ticket of the account with the most "
          "queued")
{
  DispatchOptions options;
  options.m_maxQueued = 10;
  Dispatcher dispatcher(options, 1);
  for (int i = 0; i < 10; ++i) {
    Ticket ticket = TicketOf(i, Rank::Routine);
    ticket.m_account = AccountId("large");
    CHECK_FALSE(dispatcher.Enqueue(kStart, ticket));
  }
  Ticket small = TicketOf(100, Rank::Routine);
  small.m_account = AccountId("small");
  CHECK_FALSE(dispatcher.Enqueue(kStart, small));
  UpstreamTable table;
  auto actions = dispatcher.Tick(kStart, table);
  REQUIRE(actions.size() == 1);
  const auto& refusal = std::get<DispatchRefusal>(actions[0]);
  CHECK(refusal.m_ticket.m_id == RequestId("9"));
  CHECK(refusal.m_refusal.m_ran == Ran::No);
}

TEST_CASE("no request is placed on a leaving, gone or silent upstream")
{
  struct Row
  {
    std::string m_name;
    UpstreamState m_state;
    Duration m_silence;
    size_t m_grants;
  };
  const Row rows[] = { { "serving", UpstreamState::Serving, seconds(0), 1 },
                       { "leaving", UpstreamState::Leaving, seconds(0), 0 },
                       { "gone", UpstreamState::Gone, seconds(0), 0 },
                       { "silent", UpstreamState::Serving, seconds(3), 0 } };
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    UpstreamTable table;
    UpstreamRow engine = Engine("a", 4);
    table.Merge(kStart, engine);
    engine.m_state = row.m_state;
    ++engine.m_sequence;
    table.Merge(kStart, engine);
    // A delayed duplicate of the older announcement has no effect.
    table.Merge(kStart, Engine("a", 4));
    Dispatcher dispatcher(DispatchOptions(), 1);
    dispatcher.Enqueue(kStart, TicketOf(1, Rank::Urgent));
    CHECK(Grants(dispatcher.Tick(kStart + row.m_silence, table)).size() ==
          row.m_grants);
  }
}

TEST_CASE("a poison suspect shares its upstream with no other request")
{
  UpstreamTable table;
  table.Merge(kStart, Engine("a", 4));
  table.Merge(kStart, Engine("b", 4));
  Dispatcher dispatcher(DispatchOptions(), 1);
  dispatcher.SetPoisonSuspects({ 1 });
  for (int i = 1; i <= 8; ++i) {
    dispatcher.Enqueue(kStart, TicketOf(i, Rank::Urgent));
  }
  std::map<std::string, std::set<std::string>> placed;
  for (const DispatchGrant& grant : Grants(dispatcher.Tick(kStart, table))) {
    placed[grant.m_upstream.Value()].insert(grant.m_ticket.m_id.Value());
  }
  for (const auto& [upstream, requests] : placed) {
    CHECK((requests.contains("1") ? requests.size() == 1 : true));
  }
}

TEST_CASE(
  "a request is suspect after one uncleared death and quarantined after two")
{
  PoisonRow row;
  row.m_fingerprint = 5;
  std::map<uint64_t, PoisonRow> rows;
  CHECK(JudgePoison(rows, 5) == PoisonVerdict::Clean);
  row.m_deaths = { "a/1" };
  rows[5] = row;
  CHECK(JudgePoison(rows, 5) == PoisonVerdict::Suspect);
  rows[5] = ClearPoison(row);
  CHECK(JudgePoison(rows, 5) == PoisonVerdict::Clean);
  rows[5].m_deaths.insert("b/1");
  CHECK(JudgePoison(rows, 5) == PoisonVerdict::Suspect);
  rows[5].m_deaths.insert("c/1");
  CHECK(JudgePoison(rows, 5) == PoisonVerdict::Quarantined);
  CHECK(Fingerprint("a", "m", "body") == Fingerprint("a", "m", "body"));
  CHECK(Fingerprint("a", "m", "body") != Fingerprint("am", "", "body"));
}

TEST_CASE("a slow upstream is ejected and its slots ramp up again, and at most "
          "half of the upstreams are ejected")
{
  HealthTable health;
  std::vector<UpstreamId> peers;
  for (const char* name : { "a", "b", "c" }) {
    peers.emplace_back(name);
    Duration gap = milliseconds(name[0] == 'c' ? 400 : 30);
    for (int i = 0; i < 40; ++i) {
      health.RecordGap(kStart, peers.back(), gap);
    }
  }
  auto ejected = health.Review(kStart, peers);
  REQUIRE(ejected.size() == 1);
  CHECK(ejected[0] == UpstreamId("c"));
  CHECK(health.SlotFactor(kStart, peers[2]) == 0);
  Instant back = kStart + HealthTable::kFirstEjection;
  CHECK(health.SlotFactor(back, peers[2]) == doctest::Approx(0.1));
  CHECK(health.SlotFactor(back + HealthTable::kReturnRamp, peers[2]) == 1);
  health.RecordStall(kStart, peers[0]);
  health.RecordStall(kStart, peers[0]);
  // Ejecting a second of three upstreams would exceed the maximum fraction.
  CHECK(health.Review(kStart, peers).empty());
}

TEST_CASE(
  "cache events: duplicates are ignored, a gap or a new incarnation clears "
  "the index")
{
  PrefixIndex index;
  UpstreamId engine("a");
  std::vector<uint64_t> prompt = { 1, 2, 3, 4 };
  CHECK(index.HitRatio(engine, prompt) == 0);
  CHECK(index.Apply({ engine, 1, 0, { 1, 2 }, {} }));
  CHECK(index.HitRatio(engine, prompt) == 0.5);
  CHECK(index.Apply({ engine, 1, 0, { 1, 2 }, {} }));
  CHECK_FALSE(index.Apply({ engine, 1, 9, { 1 }, {} }));
  CHECK(index.HitRatio(engine, prompt) == 0.25);
  index.RecordPrompt(engine, prompt);
  CHECK(index.HitRatio(engine, prompt) == 1);
  CHECK(index.Apply({ engine, 2, 0, {}, {} }));
  CHECK(index.HitRatio(engine, prompt) == 0);
}

TEST_CASE("the retry budget allows one retry per ten requests")
{
  RetryBudget budget(1);
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  CHECK(retries <= 1000 + static_cast<int>(RetryBudget::kMaxSavedRetries));
  CHECK(retries >= 990);
}

TEST_CASE("the saved retries of a fleet are bounded")
{
  struct Row
  {
    size_t m_hosts;
    int m_maxRetries;
  };
  for (const Row& row : std::vector<Row>{
         { 1, 10 }, { 6, 60 }, { 88, 132 }, { 294, 441 }, { 1100, 1650 } }) {
    CAPTURE(row.m_hosts);
    int retries = 0;
    for (size_t host = 0; host < row.m_hosts; ++host) {
      RetryBudget budget(host);
      budget.SetHosts(row.m_hosts);
      while (budget.TryTake()) {
        ++retries;
      }
    }
    CHECK(retries <= row.m_maxRetries);
    CHECK(retries >= static_cast<int>(row.m_hosts));
  }
}
