/// Tests of placement while data centres are evacuated.

#include "persimmontally/Routing/Dispatcher.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

const Instant kStart{ seconds(100) };

void Add(UpstreamTable& aTable,
         const std::string& aId,
         const std::string& aDataCentre)
{
  UpstreamRow row;
  row.m_id = UpstreamId(aId);
  row.m_incarnation = 1;
  row.m_sequence = 1;
  row.m_models = { ModelId("m") };
  row.m_dataCentre = DataCentreId(aDataCentre);
  row.m_region = RegionId(aDataCentre.substr(0, 1));
  row.m_slots = 4;
  row.m_kvBlocks = 1000;
  aTable.Merge(kStart, row);
}

Ticket TicketOf(int aNumber, const std::vector<RegionId>& aRegions)
{
  Ticket ticket;
  ticket.m_id = RequestId(std::to_string(aNumber));
  ticket.m_model = ModelId("m");
  ticket.m_promptTokens = 10;
  ticket.m_maxTokens = 100;
  ticket.m_placeBy = kStart + seconds(60);
  ticket.m_residency = Residency(aRegions, {});
  return ticket;
}

std::set<DataCentreId> Set(const std::vector<const char*>& aNames)
{
  std::set<DataCentreId> set;
  for (const char* name : aNames) {
    set.insert(DataCentreId(name));
  }
  return set;
}

} // namespace

TEST_CASE("a request is placed outside evacuated data centres, or refused at "
          "once if they are all that could serve it")
{
  struct Row
  {
    const char* m_name;
    std::vector<const char*> m_upstreams;
    std::vector<const char*> m_evacuated;
    std::vector<RegionId> m_regions;
    /// Data centre of the upstream; empty if the request is refused.
    std::string m_expected;
    bool m_isRefused;
  };
  const RegionId kA("a");
  for (const Row& row : std::vector<Row>{
         { "another", { "a1", "b1" }, { "a1" }, {}, "b1", false },
         { "all", { "a1", "b1" }, { "a1", "b1" }, {}, "", true },
         { "the only one", { "a1" }, { "a1" }, {}, "", true },
         { "another at home", { "a1", "a2" }, { "a1" }, { kA }, "a2", false },
         { "the home", { "a1", "b1" }, { "a1" }, { kA }, "", true },
         { "elsewhere", { "a1", "b1" }, { "b1" }, { kA }, "a1", false },
         { "no upstream at all", {}, { "a1" }, {}, "", false },
         { "none at home, evacuated or not",
           { "b1" },
           { "b1" },
           { kA },
           "",
           true } }) {
    CAPTURE(row.m_name);
    UpstreamTable table;
    for (const char* name : row.m_upstreams) {
      Add(table, std::string("upstream-") + name, name);
    }
    Dispatcher dispatcher(DispatchOptions(), 1);
    dispatcher.SetEvacuated(Set(row.m_evacuated));
    REQUIRE(!dispatcher.Enqueue(kStart, TicketOf(1, row.m_regions)));
    auto actions = dispatcher.Tick(kStart, table);
    REQUIRE(actions.size() ==
            (row.m_isRefused || !row.m_expected.empty() ? 1 : 0));
    if (row.m_isRefused) {
      const auto& refusal = std::get<DispatchRefusal>(actions[0]).m_refusal;
      CHECK(refusal.m_kind == ErrorKind::NoUpstream);
      CHECK(refusal.m_ran == Ran::No);
      CHECK(refusal.m_retryAfter > Duration(0));
      CHECK(!dispatcher.HasQueued());
    } else if (!row.m_expected.empty()) {
      CHECK(std::get<DispatchGrant>(actions[0]).m_upstream ==
            UpstreamId("upstream-" + row.m_expected));
    }
  }
}

// Guards against placements from a list of upstreams that was made before.
TEST_CASE("an evacuation applies to what is queued, and ends when taken back")
{
  UpstreamTable table;
  Add(table, "a", "a1");
  Add(table, "b", "b1");
  Dispatcher dispatcher(DispatchOptions(), 1);
  int number = 0;
  auto place = [&] {
    std::set<UpstreamId> used;
    dispatcher.Enqueue(kStart, TicketOf(++number, {}));
    for (const DispatchAction& action : dispatcher.Tick(kStart, table)) {
      const auto* grant = std::get_if<DispatchGrant>(&action);
      if (grant != nullptr) {
        used.insert(grant->m_upstream);
      }
    }
    return used;
  };
  while (!place().empty()) {
  }
  // One ticket is queued and the list of upstreams is cached.
  dispatcher.SetEvacuated(Set({ "a1" }));
  for (int i = 1; i < number; ++i) {
    RequestId id(std::to_string(i));
    dispatcher.Complete(kStart, id, DispatchOutcome::Finished);
  }
  size_t onB = 0;
  for (auto used = place(); !used.empty(); used = place()) {
    CHECK(used == std::set<UpstreamId>{ UpstreamId("b") });
    onB += used.size();
  }
  CHECK(onB > 0);
  CHECK(dispatcher.Queued(Rank::Routine) + dispatcher.Queued(Rank::Urgent) > 0);
  dispatcher.SetEvacuated({});
  CHECK(place() == std::set<UpstreamId>{ UpstreamId("a") });
}

// Guards against a sample of candidates that are all evacuated.
TEST_CASE("the one upstream left is found among hundreds that are evacuated")
{
  UpstreamTable table;
  for (int i = 0; i < 300; ++i) {
    Add(table, "a" + std::to_string(i), "a1");
  }
  Add(table, "z", "b1");
  Dispatcher dispatcher(DispatchOptions(), 1);
  dispatcher.SetEvacuated(Set({ "a1" }));
  REQUIRE(!dispatcher.Enqueue(kStart, TicketOf(1, {})));
  auto actions = dispatcher.Tick(kStart, table);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<DispatchGrant>(actions[0]).m_upstream == UpstreamId("z"));
}

// Guards against a scope that hides the upstreams outside of it although all
// those inside are evacuated.
TEST_CASE("upstreams outside the scope serve if all inside are evacuated")
{
  UpstreamTable table;
  Add(table, "a", "a1");
  Add(table, "b", "b1");
  Dispatcher dispatcher(DispatchOptions(), 1);
  PlacementScope scope;
  scope.m_kind = ScopeKind::Region;
  scope.m_region = RegionId("a");
  dispatcher.SetScope(scope);
  dispatcher.SetEvacuated(Set({ "a1" }));
  REQUIRE(!dispatcher.Enqueue(kStart, TicketOf(1, {})));
  auto actions = dispatcher.Tick(kStart, table);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<DispatchGrant>(actions[0]).m_upstream == UpstreamId("b"));
}
