// Tests for the fields that the control plane adds to announced upstreams.

#include "persimmontally/Forwarding/ControlPlane.h"

#include "State/FakeDisk.h"
#include "persimmontally/Membership/Membership.h"
#include "persimmontally/State/EvacuationOrder.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Metrics.h"
#include "platform/PlatformProtocol.h"

#include <doctest/doctest.h>

namespace persimmontally {

namespace {

/// Keeps the status of a response.
class StatusWriter final : public ResponseWriter
{
public:
  void SendResponse(HttpResponse aResponse) override
  {
    m_status = aResponse.m_status;
  }
  void StartStream(int, HttpHeaders) override {}
  void Write(std::string_view) override {}
  void Finish() override {}
  void Abort() override {}
  size_t BufferedBytes() const override { return 0; }
  void OnDrained(std::function<void()>) override {}
  void OnClosed(std::function<void()>) override {}
  bool IsCallerWaiting() const override { return m_isCallerWaiting; }

  int m_status = 0;
  bool m_isCallerWaiting = true;
};

/// A control host that is the only voter, or has no group.
struct ControlSite
{
  explicit ControlSite(bool aHasQuorum)
  {
    auto image = std::make_shared<DiskImage>();
    image->m_disk = DiskId("disk");
    StateOptions options;
    options.m_host = HostId("control");
    options.m_voters = 1;
    options.m_proposalTimeout = milliseconds(500);
    if (aHasQuorum) {
      options.m_bootstrapHosts = { options.m_host };
    }
    m_state = std::make_unique<StateService>(
      options,
      std::make_unique<FakeDisk>(image,
                                 [] { return FakeDisk::WriteOutcome::Done; }),
      1);
    HostRow self;
    self.m_id = options.m_host;
    m_members = std::make_unique<Membership>(
      self, std::vector<Endpoint>(), MembershipOptions(), 1);
    m_control = std::make_unique<ControlPlane>(
      m_loop,
      *m_members,
      *m_state,
      m_metrics,
      m_protocol,
      std::map<DataCentreId, RegionId>{
        { DataCentreId("xela"), RegionId("oes") } });
    StatePeer peer;
    peer.m_host = options.m_host;
    peer.m_disk = image->m_disk;
    peer.m_isAlive = true;
    m_state->SetPeers({ peer });
    m_ticker =
      m_loop.RunEvery(milliseconds(5), [this] { m_state->Tick(m_loop.Now()); });
    if (aHasQuorum) {
      RunUntil([this] { return m_state->IsLeader(); });
    }
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    Timer poll = m_loop.RunEvery(milliseconds(1), [&] {
      if (aCondition()) {
        m_loop.Stop();
      }
    });
    m_loop.Run();
  }

  int Call(const std::string& aMethod,
           const std::string& aTarget,
           bool aIsCallerWaiting = true,
           const std::string& aBody = "")
  {
    auto writer = std::make_shared<StatusWriter>();
    writer->m_isCallerWaiting = aIsCallerWaiting;
    m_control->Handle({ aMethod, aTarget, {}, aBody }, writer);
    RunUntil([&] { return writer->m_status != 0; });
    return writer->m_status;
  }

  EventLoop m_loop;
  Metrics m_metrics;
  platform::PlatformProtocol m_protocol;
  std::unique_ptr<StateService> m_state;
  std::unique_ptr<Membership> m_members;
  std::unique_ptr<ControlPlane> m_control;
  Timer m_ticker;
};

} // namespace

// Guards against orders of a control host that was frozen, which undo later
// ones: their sender has gone on to another host.
TEST_CASE("an order or a withdrawal whose sender has left changes nothing")
{
  ControlSite site(true);
  const std::string xela = "/persimmontally/evacuate/xela";
  const std::string upstream = "/persimmontally/instances/i-1";
  auto isEvacuated = [&] {
    return EvacuatedDataCentres(site.m_state->Machine().Evacuations())
      .contains(DataCentreId("xela"));
  };
  auto isServing = [&] {
    const UpstreamEntry* entry =
      site.m_members->Upstreams().Find(UpstreamId("i-1"));
    return entry != nullptr && entry->m_row.m_state == UpstreamState::Serving;
  };
  CHECK(site.Call("PUT",
                  upstream,
                  true,
                  R"({"service":"s","addr":"127.0.0.1:9","zone":"xela",)"
                  R"("version":"v","slots":1,"state":"ready",)"
                  R"("cold-left-ms":0,"born":1,"seq":1})") == 200);
  REQUIRE(isServing());
  CHECK(site.Call("POST", xela) == 200);
  CHECK(site.Call("DELETE", xela, false) == 503);
  CHECK(isEvacuated());
  CHECK(site.Call("DELETE", upstream, false) == 503);
  CHECK(isServing());
  CHECK(site.Call("DELETE", xela) == 200);
  CHECK(!isEvacuated());
  CHECK(site.Call("DELETE", upstream) == 200);
  CHECK(!isServing());
}

// No catalog is stored in this test.
TEST_CASE("orders of evacuations are acknowledged once stored, also repeated "
          "ones, and bad ones change nothing")
{
  ControlSite site(true);
  struct Row
  {
    const char* m_method;
    const char* m_target;
    int m_status;
    bool m_isEvacuated;
  };
  const char* xela = "/persimmontally/evacuate/xela";
  for (const Row& row :
       { Row{ "DELETE", xela, 200, false },
         Row{ "POST", "/persimmontally/evacuate/elsewhere", 404, false },
         Row{ "POST", "/persimmontally/evacuate/", 404, false },
         Row{ "POST", "/persimmontally/evacuate/xela/x", 404, false },
         Row{ "POST", "/persimmontally/evacuate/Xela", 404, false },
         Row{ "PUT", xela, 405, false },
         Row{ "GET", xela, 405, false },
         Row{ "POST", xela, 200, true },
         Row{ "POST", xela, 200, true },
         Row{ "DELETE", "/persimmontally/evacuate/elsewhere", 404, true },
         Row{ "PATCH", xela, 405, true },
         Row{ "DELETE", xela, 200, false },
         Row{ "DELETE", xela, 200, false } }) {
    CAPTURE(std::string(row.m_method));
    CAPTURE(std::string(row.m_target));
    CHECK(site.Call(row.m_method, row.m_target) == row.m_status);
    bool isEvacuated = false;
    for (const EvacuationRow& known : site.m_state->Machine().Evacuations()) {
      CHECK(known.m_dataCentre == DataCentreId("xela"));
      isEvacuated = known.m_isEvacuated;
    }
    CHECK(isEvacuated == row.m_isEvacuated);
  }
}

TEST_CASE("an order without a majority gets 503")
{
  ControlSite site(false);
  CHECK(site.Call("POST", "/persimmontally/evacuate/xela") == 503);
}

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

TEST_CASE("the regions of a catalog that no data centre is in are found")
{
  struct Row
  {
    const char* m_name;
    std::vector<RegionId> m_ofRoute;
    std::vector<RegionId> m_ofAccount;
    std::set<RegionId> m_expected;
  };
  const RegionId known("oes");
  const RegionId unknown("este");
  const RegionId other("sur");
  for (const Row& row : std::vector<Row>{
         { "none", {}, {}, {} },
         { "known", { known }, { known }, {} },
         { "of a route", { known, unknown }, {}, { unknown } },
         { "of both", { unknown }, { other }, { unknown, other } } }) {
    CAPTURE(std::string(row.m_name));
    Catalog catalog;
    catalog.m_routes.emplace_back();
    catalog.m_routes[0].m_terms.m_allowedRegions = row.m_ofRoute;
    catalog.m_accounts.emplace_back();
    catalog.m_accounts[0].m_terms.m_allowedRegions = row.m_ofAccount;
    CHECK(RegionsWithoutDataCentre(RouteTable(catalog),
                                   { { DataCentreId("xela"), known } }) ==
          row.m_expected);
  }
}

} // namespace persimmontally
