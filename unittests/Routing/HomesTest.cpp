/// Tests of placements within the residency of requests, in virtual time.

#include "persimmontally/Routing/LedgerDispatch.h"

#include <doctest/doctest.h>

using namespace persimmontally;

static const Instant kStart{ seconds(100) };

static UpstreamRow EngineIn(const std::string& aId,
                            const std::string& aRegion,
                            uint32_t aSlots = 4)
{
  UpstreamRow row;
  row.m_id = UpstreamId(aId);
  row.m_incarnation = 1;
  row.m_sequence = 1;
  row.m_endpoint = { aId, 1 };
  row.m_dataCentre = DataCentreId(aRegion + "-a");
  row.m_region = RegionId(aRegion);
  row.m_models = { ModelId("m") };
  row.m_slots = aSlots;
  row.m_kvBlocks = 1000;
  return row;
}

static Ticket TicketIn(const std::string& aId,
                       const std::vector<std::string>& aRegions,
                       const std::string& aAccount = "a")
{
  std::vector<RegionId> regions;
  for (const std::string& region : aRegions) {
    regions.emplace_back(region);
  }
  Ticket ticket;
  ticket.m_id = RequestId(aId);
  ticket.m_account = AccountId(aAccount);
  ticket.m_model = ModelId("m");
  ticket.m_promptTokens = 10;
  ticket.m_maxTokens = 100;
  ticket.m_arrivedAt = kStart;
  ticket.m_placeBy = kStart + seconds(60);
  ticket.m_residency = Residency(regions, {});
  return ticket;
}

/// Runs a tick. Returns the regions of the placements by request, and `refused`
/// or the reason for refusals.
static std::map<std::string, std::string> Outcomes(Dispatcher& aDispatcher,
                                                   const UpstreamTable& aTable,
                                                   Instant aNow = kStart)
{
  std::map<std::string, std::string> outcomes;
  for (const DispatchAction& action : aDispatcher.Tick(aNow, aTable)) {
    if (const auto* grant = std::get_if<DispatchGrant>(&action)) {
      outcomes[grant->m_ticket.m_id.Value()] =
        aTable.Find(grant->m_upstream)->m_row.m_region.Value();
      continue;
    }
    const auto& refusal = std::get<DispatchRefusal>(action);
    outcomes[refusal.m_ticket.m_id.Value()] =
      refusal.m_noHome ? ToString(*refusal.m_noHome) : "refused";
  }
  return outcomes;
}

TEST_CASE("a request finds its regions outside the scope and beyond the sample")
{
  struct Row
  {
    const char* m_name;
    ScopeKind m_scope;
    int m_homeEngines;
    int m_otherEngines;
    std::vector<std::string> m_regions;
    std::string m_expected;
  };
  for (const Row& row : {
         Row{ "inside", ScopeKind::Fleet, 2, 2, { "here" }, "here" },
         Row{ "outside", ScopeKind::Region, 2, 2, { "far" }, "far" },
         Row{ "data centre", ScopeKind::DataCentre, 2, 2, { "far" }, "far" },
         Row{
           "scope first", ScopeKind::Region, 2, 2, { "far", "here" }, "here" },
         Row{ "few of many", ScopeKind::Fleet, 300, 1, { "far" }, "far" },
         Row{
           "few of many, scope", ScopeKind::Region, 300, 1, { "far" }, "far" },
         Row{ "few here", ScopeKind::Fleet, 1, 300, { "here" }, "here" },
       }) {
    CAPTURE(std::string(row.m_name));
    UpstreamTable table;
    for (int i = 0; i < row.m_homeEngines; ++i) {
      table.Merge(kStart, EngineIn("h" + std::to_string(i), "here"));
    }
    for (int i = 0; i < row.m_otherEngines; ++i) {
      table.Merge(kStart, EngineIn("f" + std::to_string(i), "far"));
    }
    Dispatcher dispatcher(DispatchOptions(), 1);
    dispatcher.SetScope(
      { row.m_scope, DataCentreId("here-a"), RegionId("here") });
    // An unrestricted request first, so that the pool is already listed.
    CHECK_FALSE(dispatcher.Enqueue(kStart, TicketIn("any", {})));
    CHECK_FALSE(dispatcher.Enqueue(kStart, TicketIn("r", row.m_regions)));
    CHECK(Outcomes(dispatcher, table)["r"] == row.m_expected);
  }
}

TEST_CASE("a request without an upstream in its regions is refused at once")
{
  struct Row
  {
    const char* m_name;
    std::vector<std::string> m_regions;
    std::vector<std::string> m_otherRegions;
    UpstreamState m_state;
    std::set<DataCentreId> m_evacuated;
    std::string m_expected;
  };
  const auto kServing = UpstreamState::Serving;
  for (const Row& row : {
         Row{ "served", { "far" }, {}, kServing, {}, "far" },
         Row{ "unknown", { "x" }, {}, kServing, {}, "none_known" },
         Row{ "disjoint", { "far" }, { "here" }, kServing, {}, "no_region" },
         Row{ "leaving",
              { "far" },
              {},
              UpstreamState::Leaving,
              {},
              "none_serving" },
         Row{ "evacuated",
              { "far" },
              {},
              kServing,
              { DataCentreId("far-a") },
              "evacuated" },
         Row{ "one of two", { "far", "x" }, {}, kServing, {}, "far" },
       }) {
    CAPTURE(std::string(row.m_name));
    UpstreamTable table;
    table.Merge(kStart, EngineIn("h", "here"));
    UpstreamRow far = EngineIn("f", "far");
    far.m_state = row.m_state;
    table.Merge(kStart, far);
    Dispatcher dispatcher(DispatchOptions(), 1);
    dispatcher.SetEvacuated(row.m_evacuated);
    Ticket ticket = TicketIn("r", row.m_regions);
    if (!row.m_otherRegions.empty()) {
      ticket.m_residency = Residency(ticket.m_residency.Regions(),
                                     { RegionId(row.m_otherRegions[0]) });
    }
    CHECK_FALSE(dispatcher.Enqueue(kStart, ticket));
    CHECK_FALSE(dispatcher.Enqueue(kStart, TicketIn("any", {})));
    auto outcomes = Outcomes(dispatcher, table);
    CHECK(outcomes["r"] == row.m_expected);
    CHECK(!outcomes["any"].empty());
  }
}

// Guards against the regions of a request being forgotten once every upstream
// in them has failed it.
TEST_CASE("a request that failed everywhere in its regions stays in them")
{
  UpstreamTable table;
  table.Merge(kStart, EngineIn("h", "here"));
  table.Merge(kStart, EngineIn("f", "far"));
  Dispatcher dispatcher(DispatchOptions(), 1);
  Ticket ticket = TicketIn("r", { "far" });
  ticket.m_excluded = { UpstreamId("f") };
  CHECK_FALSE(dispatcher.Enqueue(kStart, ticket));
  CHECK(Outcomes(dispatcher, table)["r"] == "far");
}

// Guards against idle engines while requests of the same accounts wait for a
// region that is full.
TEST_CASE("a backlog for a full region does not hold up work for another one")
{
  UpstreamTable table;
  table.Merge(kStart, EngineIn("f", "far", 1));
  table.Merge(kStart, EngineIn("h", "here", 200));
  DispatchOptions options;
  options.m_ranks.m_minUrgentReserve = 0;
  Dispatcher dispatcher(options, 1);
  for (int i = 0; i < 40; ++i) {
    CHECK_FALSE(dispatcher.Enqueue(kStart,
                                   TicketIn("far" + std::to_string(i),
                                            { "far" },
                                            "a" + std::to_string(i % 10))));
  }
  Outcomes(dispatcher, table);
  // Both the wait and the queue are those of the region.
  Instant now = kStart;
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(100);
    Outcomes(dispatcher, table, now);
  }
  CHECK(dispatcher.ExpectedWait(TicketIn("x", { "far" }, "a1")) > seconds(1));
  for (int i = 0; i < 40; ++i) {
    Ticket ticket = TicketIn(
      "here" + std::to_string(i), { "here" }, "a" + std::to_string(i % 10));
    ticket.m_placeBy = now + seconds(1);
    CHECK_FALSE(dispatcher.Enqueue(now, ticket));
  }
  auto outcomes = Outcomes(dispatcher, table, now + milliseconds(10));
  CHECK(outcomes.size() == 40);
  CHECK(outcomes["here39"] == "here");
}

TEST_CASE("capacity is set aside for peers' requests in their regions only")
{
  for (bool isKnown : { false, true }) {
    CAPTURE(isKnown);
    UpstreamTable table;
    table.Merge(kStart, EngineIn("f", "far", 1));
    table.Merge(kStart, EngineIn("h", "here", 1));
    DispatchOptions options;
    options.m_ranks.m_minUrgentReserve = 0;
    LedgerDispatch dispatch(options, 1);
    if (isKnown) {
      dispatch.SetResidencyOf(
        [](const LedgerRow&) { return Residency({ RegionId("far") }, {}); });
    }
    LedgerUpdate update;
    update.m_epoch = 1;
    update.m_isSnapshot = true;
    for (const char* key : { "p1", "p2" }) {
      LedgerRow row;
      row.m_key = key;
      row.m_model = ModelId("m");
      row.m_rank = Rank::Urgent;
      row.m_promptTokens = 10;
      row.m_maxTokens = 100;
      row.m_waitedMs = 50;
      update.m_rows.push_back(row);
    }
    dispatch.Receive(kStart, HostId("peer"), update);
    CHECK_FALSE(dispatch.Enqueue(kStart, TicketIn("r", { "here" })));
    CHECK(dispatch.Tick(kStart, table).size() == (isKnown ? 1 : 0));
  }
}

TEST_CASE("copies stay in the residency of their request")
{
  struct Row
  {
    std::vector<std::string> m_regions;
    std::string m_expected;
  };
  for (const Row& row :
       { Row{ {}, "t" }, Row{ { "here" }, "t" }, Row{ { "far" }, "" } }) {
    UpstreamTable table;
    UpstreamRow source = EngineIn("s", "here");
    table.Merge(kStart, source);
    table.Merge(kStart, EngineIn("t", "here"));
    table.Merge(kStart, EngineIn("f", "far"));
    Dispatcher dispatcher(DispatchOptions(), 1);
    Ticket ticket = TicketIn("r", row.m_regions);
    ticket.m_excluded = { source.m_id };
    CHECK(
      dispatcher
        .PickCopyTarget(kStart, table, ticket, source, CopyPurpose::Rescue, 1)
        .Value() == row.m_expected);
  }
}
