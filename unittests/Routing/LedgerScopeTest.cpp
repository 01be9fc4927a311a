/// Tests of the choice of the hosts that exchange ledgers.

#include "persimmontally/Routing/LedgerScope.h"

#include <doctest/doctest.h>

#include <vector>

using namespace persimmontally;

/// Entry hosts spread evenly over three regions of two data centres each.
static std::map<HostId, HostRow> MakeHosts(size_t aCount,
                                           HostState aState = HostState::Alive)
{
  std::map<HostId, HostRow> hosts;
  for (size_t i = 0; i < aCount; ++i) {
    HostRow row;
    row.m_id = HostId("h" + std::to_string(i));
    row.m_dataCentre = DataCentreId("dc" + std::to_string(i % 6));
    row.m_region = RegionId("r" + std::to_string(i % 6 / 2));
    row.m_state = aState;
    hosts.emplace(row.m_id, row);
  }
  return hosts;
}

TEST_CASE("the widest scope of at most 90 entry hosts is chosen, and a wider "
          "one only well below that")
{
  // Numbers of entry hosts one after the other, and the scope after the last.
  struct Row
  {
    std::vector<size_t> m_counts;
    ScopeKind m_scope;
  };
  for (const Row& row : std::vector<Row>{
         { { 1 }, ScopeKind::Fleet },
         { { 90 }, ScopeKind::Fleet },
         { { 91 }, ScopeKind::Region },
         { { 270 }, ScopeKind::Region },
         { { 294 }, ScopeKind::DataCentre },
         { { 1100 }, ScopeKind::DataCentre },
         { { 154, 88 }, ScopeKind::Region },
         { { 154, 72 }, ScopeKind::Fleet },
         { { 294, 264 }, ScopeKind::DataCentre },
         { { 294, 210 }, ScopeKind::Region },
         { { 294, 60 }, ScopeKind::Fleet },
       }) {
    CAPTURE(row.m_counts.size());
    CAPTURE(row.m_counts.front());
    LedgerScope scope(DataCentreId("dc0"), RegionId("r0"));
    for (size_t count : row.m_counts) {
      scope.Update(MakeHosts(count));
    }
    CHECK(scope.Current().m_kind == row.m_scope);
  }
}

TEST_CASE("hosts that are dead or take no requests do not narrow the scope")
{
  LedgerScope scope(DataCentreId("dc0"), RegionId("r0"));
  CHECK_FALSE(scope.Update(MakeHosts(294, HostState::Dead)));
  auto hosts = MakeHosts(294);
  for (auto& [id, row] : hosts) {
    row.m_isEntry = false;
  }
  CHECK_FALSE(scope.Update(hosts));
  CHECK(scope.Current().m_kind == ScopeKind::Fleet);
}

TEST_CASE("a scope contains the rows of its part of the fleet")
{
  struct Row
  {
    ScopeKind m_kind;
    const char* m_dataCentre;
    const char* m_region;
    bool m_isInside;
  };
  for (const Row& row : std::vector<Row>{
         { ScopeKind::Fleet, "dc9", "r9", true },
         { ScopeKind::Region, "dc1", "r0", true },
         { ScopeKind::Region, "dc2", "r1", false },
         { ScopeKind::DataCentre, "dc0", "r0", true },
         { ScopeKind::DataCentre, "dc1", "r0", false },
       }) {
    PlacementScope scope{ row.m_kind, DataCentreId("dc0"), RegionId("r0") };
    UpstreamRow upstream;
    upstream.m_dataCentre = DataCentreId(row.m_dataCentre);
    upstream.m_region = RegionId(row.m_region);
    CHECK(scope.Contains(upstream) == row.m_isInside);
  }
}
