#include "Forwarding/ForwardSite.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace persimmontally {

static Route MakeRoute(const std::string& aName,
                       Repeatability aRepeatability,
                       const std::string& aService,
                       int aAttempts)
{
  Route route;
  route.m_name = aName;
  route.m_hostName = "h.example";
  route.m_pathPrefix = "/" + aName + "/";
  route.m_repeatability = aRepeatability;
  route.m_timeout = milliseconds(1500);
  route.m_latencyObjective = milliseconds(1000);
  route.m_maxAttempts = aAttempts;
  route.m_targets = { { aService, 1 } };
  return route;
}

static Catalog TestCatalog(bool aCanBackUp)
{
  Catalog catalog;
  catalog.m_version = 1;
  EngineSpec engine;
  engine.m_slots = 8;
  engine.m_kvMemoryTokens = 16000;
  engine.m_canMigrate = true;
  engine.m_canBackUp = aCanBackUp;
  catalog.m_services = { { "engines", 100, engine },
                         { "other", 100, std::nullopt },
                         { "plain", 100, std::nullopt },
                         { "cooling", 100, std::nullopt, { seconds(3), 4 } } };
  catalog.m_routes = {
    MakeRoute("stream", Repeatability::Stream, "engines", 1),
    MakeRoute("safe", Repeatability::Idempotent, "plain", 2),
    MakeRoute("whole", Repeatability::Idempotent, "engines", 2),
    MakeRoute("other", Repeatability::Idempotent, "other", 1),
    MakeRoute("cooling", Repeatability::Idempotent, "cooling", 1),
    MakeRoute("unsafe", Repeatability::AtMostOnce, "plain", 1),
  };
  for (int attempts : { 2, 3 }) {
    std::string name = attempts == 2 ? "resumable" : "resumable3";
    catalog.m_routes.push_back(
      MakeRoute(name, Repeatability::Stream, "engines", attempts));
    catalog.m_routes.back().m_terms.m_isResumable = true;
  }
  catalog.m_routes.push_back(catalog.m_routes[1]);
  catalog.m_routes.back().m_pathPrefix = "/public/";
  catalog.m_routes.back().m_isPublic = true;
  catalog.m_accounts = { { AccountId("t"), { "key" }, std::nullopt } };
  return catalog;
}

ForwardSite::ForwardSite(bool aCanBackUp)
{
  HostRow self;
  self.m_id = HostId("entry");
  self.m_dataCentre = DataCentreId("dc");
  self.m_incarnation = 1;
  MembershipOptions options;
  options.m_upstreamLease = seconds(100);
  m_membership =
    std::make_unique<Membership>(self, std::vector<Endpoint>(), options, 1);
  ForwardOptions forward;
  forward.m_host = self.m_id;
  forward.m_dispatch.m_dataCentre = self.m_dataCentre;
  forward.m_dispatch.m_forecast = HintedForecast();
  m_gateway = std::make_unique<ForwardGateway>(
    m_loop, *m_membership, m_metrics, m_protocol, forward, 1);
  m_catalog = TestCatalog(aCanBackUp);
  m_gateway->SetRoutes(std::make_shared<const RouteTable>(m_catalog));
  m_callers = std::make_unique<HttpServer>(
    m_loop,
    HttpLimits(),
    [this](HttpRequest aRequest, std::shared_ptr<ResponseWriter> aWriter) {
      m_gateway->Handle(std::move(aRequest), std::move(aWriter));
    });
  auto port = m_callers->Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  m_callersAt = { "127.0.0.1", *port };
  m_ticker = m_loop.RunEvery(milliseconds(10), [this] { m_gateway->Tick(); });
}

void ForwardSite::Announce(const std::string& aId,
                           const std::string& aService,
                           const Endpoint& aEndpoint,
                           UpstreamState aState)
{
  UpstreamRow& row = m_rows[aId];
  row.m_id = UpstreamId(aId);
  row.m_incarnation = std::max<uint64_t>(row.m_incarnation, 1);
  ++row.m_sequence;
  row.m_state = aState;
  row.m_endpoint = aEndpoint;
  if (row.m_dataCentre.Empty()) {
    row.m_dataCentre = DataCentreId("dc");
  }
  row.m_service = aService;
  row.m_slots = 8;
  row.m_kind = UpstreamKind::Service;
  if (aService == "engines") {
    row.m_kind = UpstreamKind::Engine;
    row.m_models = { ModelId(aService) };
    row.m_kvBlocks = 1000;
  }
  m_membership->Announce(m_loop.Now(), row);
}

void ForwardSite::SetRegion(const std::string& aId, const std::string& aRegion)
{
  m_rows[aId].m_region = RegionId(aRegion);
}

void ForwardSite::EditCatalog(const std::function<void(Catalog&)>& aEdit)
{
  ++m_catalog.m_version;
  aEdit(m_catalog);
  m_gateway->SetRoutes(
    std::make_shared<const RouteTable>(m_catalog, m_evacuated));
}

void ForwardSite::AddUpstream(const std::string& aId,
                              const std::string& aService,
                              Handler aHandler)
{
  std::unique_ptr<HttpServer>& server = m_servers[aId];
  server = std::make_unique<HttpServer>(
    m_loop,
    HttpLimits(),
    [aHandler](const HttpRequest& aRequest, const Writer& aWriter) {
      aHandler(aRequest, aWriter);
    });
  auto port = server->Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  Announce(aId, aService, { "127.0.0.1", *port }, UpstreamState::Serving);
}

void ForwardSite::AddUpstreamAt(const std::string& aId,
                                const std::string& aService,
                                const Endpoint& aEndpoint)
{
  Announce(aId, aService, aEndpoint, UpstreamState::Serving);
}

void ForwardSite::AddDeadUpstream(const std::string& aId,
                                  const std::string& aService)
{
  // The listening socket closes on return, so the port refuses connections.
  HttpServer server(m_loop, HttpLimits(), [](const auto&, const auto&) {});
  auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  Announce(aId, aService, { "127.0.0.1", *port }, UpstreamState::Serving);
}

void ForwardSite::Kill(const std::string& aId)
{
  m_servers.erase(aId);
}

void ForwardSite::SetState(const std::string& aId, UpstreamState aState)
{
  const UpstreamRow row = m_rows.at(aId);
  Announce(aId, row.m_service, row.m_endpoint, aState);
}

void ForwardSite::Restart(const std::string& aId)
{
  ++m_rows.at(aId).m_incarnation;
  SetState(aId, UpstreamState::Serving);
}

void ForwardSite::SetDataCentre(const std::string& aId,
                                const std::string& aDataCentre)
{
  m_rows.at(aId).m_dataCentre = DataCentreId(aDataCentre);
  SetState(aId, m_rows.at(aId).m_state);
}

void ForwardSite::Evacuate(const std::vector<std::string>& aDataCentres)
{
  m_evacuated.clear();
  for (const std::string& dataCentre : aDataCentres) {
    m_evacuated.insert(DataCentreId(dataCentre));
  }
  m_gateway->SetRoutes(
    std::make_shared<const RouteTable>(m_catalog, m_evacuated));
}

Endpoint ForwardSite::EndpointOf(const std::string& aId) const
{
  return m_rows.at(aId).m_endpoint;
}

std::shared_ptr<ForwardSite::Call> ForwardSite::Start(const std::string& aPath,
                                                      HttpHeaders aHeaders)
{
  HttpRequest request{ "POST", aPath, std::move(aHeaders), "body" };
  request.m_headers.push_back({ "Host", "h.example" });
  request.m_headers.push_back(
    { "Request-Id", "r" + std::to_string(m_nextRequest++) });
  auto call = std::make_shared<Call>();
  HttpCallEvents events;
  events.m_onHead = [call](int aStatus, const HttpHeaders& aAnswer) {
    call->m_response.m_status = aStatus;
    call->m_response.m_headers = aAnswer;
  };
  events.m_onData = [call](std::string_view aData) {
    call->m_response.m_body.append(aData);
  };
  events.m_onEnd = [call](absl::Status aStatus) {
    call->m_isDone = true;
    call->m_status = std::move(aStatus);
  };
  call->m_call = StartHttpCall(
    m_loop, m_callersAt, request, HttpCallTimeouts(), std::move(events));
  return call;
}

void ForwardSite::RunUntil(const std::function<bool()>& aCondition)
{
  bool isLate = false;
  Timer limit = m_loop.RunAfter(seconds(10), [&] { isLate = true; });
  Timer poll = m_loop.RunEvery(milliseconds(1), [&] {
    if (isLate || aCondition()) {
      m_loop.Stop();
    }
  });
  m_loop.Run();
  REQUIRE_MESSAGE(!isLate, "the condition did not hold within ten seconds");
}

HttpResponse ForwardSite::Finish(const std::string& aPath, HttpHeaders aHeaders)
{
  aHeaders.push_back({ "X-Api-Key", "key" });
  auto call = Start(aPath, std::move(aHeaders));
  RunUntil([&] { return call->m_isDone; });
  return call->m_response;
}

HttpHeaders Genuine(const HttpRequest& aRequest)
{
  return { { "Request-Id", std::string(aRequest.Header("Request-Id")) },
           { "Server-Stamp", "s" } };
}

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: token\n\n";
}

} // namespace persimmontally
