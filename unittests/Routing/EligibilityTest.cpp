/// Tests of the decision which upstreams a request may use.

#include "persimmontally/Routing/Eligibility.h"

#include <doctest/doctest.h>

using namespace persimmontally;

static std::vector<RegionId> Regions(std::vector<const char*> aNames)
{
  std::vector<RegionId> regions;
  for (const char* name : aNames) {
    regions.emplace_back(name);
  }
  return regions;
}

TEST_CASE("residency of route and account both bind, and so does evacuation")
{
  struct Row
  {
    const char* m_name;
    std::vector<const char*> m_route;
    std::vector<const char*> m_account;
    std::set<DataCentreId> m_evacuated;
    std::optional<Exclusion> m_expected;
  };
  const std::set<DataCentreId> here = { DataCentreId("north-a") };
  for (const Row& row : std::vector<Row>{
         { "no homes", {}, {}, {}, std::nullopt },
         { "home of the route", { "south", "north" }, {}, {}, std::nullopt },
         { "home of the account", {}, { "north" }, {}, std::nullopt },
         { "home of both", { "north" }, { "north", "x" }, {}, std::nullopt },
         { "not of the route", { "south" }, {}, {}, Exclusion::Residency },
         { "not of the account", {}, { "x" }, {}, Exclusion::Residency },
         { "only of the route",
           { "north" },
           { "south" },
           {},
           Exclusion::Residency },
         { "no common home", { "x" }, { "y" }, {}, Exclusion::Residency },
         { "evacuated", {}, {}, here, Exclusion::Evacuation },
         { "evacuated home", { "north" }, {}, here, Exclusion::Evacuation },
         { "another is evacuated",
           {},
           {},
           { DataCentreId("north-b") },
           std::nullopt } }) {
    CAPTURE(row.m_name);
    Eligibility eligibility;
    eligibility.SetEvacuated(row.m_evacuated);
    UpstreamRow upstream;
    upstream.m_dataCentre = DataCentreId("north-a");
    upstream.m_region = RegionId("north");
    Residency residency(Regions(row.m_route), Regions(row.m_account));
    CHECK(eligibility.Check(residency, upstream) == row.m_expected);
    CHECK(residency.IsRestricted() ==
          !(row.m_route.empty() && row.m_account.empty()));
  }
}
