// Tests for the fields that the control plane adds to announced upstreams.

#include "persimmontally/Forwarding/ControlPlane.h"

#include <doctest/doctest.h>

namespace persimmontally {

TEST_CASE("the region and engine size of an announced upstream are filled in")
{
  Catalog catalog;
  catalog.m_version = 1;
  EngineSpec engine;
  engine.m_kvMemoryTokens = 16000;
  catalog.m_services = { { "engines", 100, engine },
                         { "plain", 100, std::nullopt } };
  const RouteTable routes(catalog);
  const std::map<DataCentreId, RegionId> regions = { { DataCentreId("xela"),
                                                       RegionId("oes") } };
  struct Row
  {
    const char* m_name;
    const RouteTable* m_routes;
    const char* m_service;
    const char* m_dataCentre;
    UpstreamKind m_kind;
    uint32_t m_memoryTokens;
    const char* m_region;
  };
  for (const Row& row : { Row{ "an engine",
                               &routes,
                               "engines",
                               "xela",
                               UpstreamKind::Engine,
                               16000,
                               "oes" },
                          Row{ "a plain service",
                               &routes,
                               "plain",
                               "xela",
                               UpstreamKind::Service,
                               0,
                               "oes" },
                          Row{ "an unknown service",
                               &routes,
                               "other",
                               "xela",
                               UpstreamKind::Service,
                               0,
                               "oes" },
                          Row{ "no catalog yet",
                               nullptr,
                               "engines",
                               "xela",
                               UpstreamKind::Service,
                               0,
                               "oes" },
                          Row{ "an unknown data centre",
                               &routes,
                               "engines",
                               "elsewhere",
                               UpstreamKind::Engine,
                               16000,
                               "" } }) {
    CAPTURE(row.m_name);
    UpstreamRow upstream;
    upstream.m_service = row.m_service;
    upstream.m_dataCentre = DataCentreId(row.m_dataCentre);
    FillUpstreamRow(row.m_routes, regions, upstream);
    CHECK(upstream.m_kind == row.m_kind);
    CHECK(upstream.m_region == RegionId(row.m_region));
    if (row.m_kind == UpstreamKind::Engine) {
      CHECK(upstream.m_kvBlocks * upstream.m_blockTokens == row.m_memoryTokens);
    }
  }
}

} // namespace persimmontally
