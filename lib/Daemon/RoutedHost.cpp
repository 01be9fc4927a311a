#include "persimmontally/Daemon/RoutedHost.h"

#include "HostResources.h"
#include "RoutedHostImpl.h"
#include "RoutedStatus.h"

#include "persimmontally/Catalog/CatalogItems.h"
#include "persimmontally/State/EvacuationOrder.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Log.h"

#include <algorithm>

namespace persimmontally {

/// Upstreams announce themselves about every 1.2 s, and sometimes seconds late.
/// A crashed upstream is detected earlier, by its failed connections.
static constexpr Duration kUpstreamLease = seconds(10);
/// Period of the renewals of leases: three fit into one lease.
static constexpr Duration kRenewalPeriod = milliseconds(2500);
/// Maximum size of a catalog that operators may send.
static constexpr size_t kMaxCatalogBytes = size_t(8) << 20;
/// Allows operators to send a catalog over a slow link.
static constexpr Duration kControlReadTimeout = seconds(10);

static MembershipOptions MakeMembershipOptions()
{
  MembershipOptions options;
  options.m_upstreamLease = kUpstreamLease;
  options.m_renewalPeriod = kRenewalPeriod;
  return options;
}

/// Upstreams whose placement scores differ by less than about this much are
/// chosen among at random. Two running generations more on an engine of 24
/// slots add 0.2 to its score and cost a request little, whereas a second
/// prompt on the same engine delays its first token by 0.2 s or more.
static constexpr double kPlacementSpread = 0.2;

/// Costs of pauses above the objective. A stream that gets one has lost most of
/// its value, which is worth more than a wait for a prompt of 3,000 tokens.
static constexpr double kPauseWeight = 3;
static constexpr double kDelayedPauseWeight = 0.6;

/// Engines take 9 to 11 ms per token, whatever else they run.
static constexpr double kAssumedTokensPerSecond = 90;

static ForwardOptions MakeForwardOptions(const Settings& aSettings)
{
  ForwardOptions options;
  options.m_host = aSettings.m_host;
  options.m_maxBufferedBytes = MaxKeptResponseBytes(
    FindHostResources(aSettings), options.m_maxResponseBytes);
  options.m_dispatch.m_dataCentre = aSettings.m_dataCentre;
  options.m_dispatch.m_region = aSettings.m_region;
  options.m_dispatch.m_maxQueued =
    static_cast<size_t>(aSettings.m_maxQueuedRequests);
  options.m_dispatch.m_forecast = HintedForecast();
  options.m_dispatch.m_ranks.m_urgentMayPreempt = false;
  LeastLoadPlacement placement;
  // A round trip to another region is short compared with the objectives.
  placement.m_otherDataCentre = 0.1;
  placement.m_otherRegion = 0.35;
  // The prefill of 2,500 tokens takes 0.4 s on an engine that also decodes; a
  // full engine decodes half as fast as an empty one.
  placement.m_prefillWeight = 0.3;
  placement.m_pauseWeight = kPauseWeight;
  placement.m_delayedPauseWeight = kDelayedPauseWeight;
  placement.m_spread = kPlacementSpread;
  options.m_dispatch.m_placement = placement;
  options.m_dispatch.m_assumedTokensPerSecond = kAssumedTokensPerSecond;
  return options;
}

static HttpLimits MakeControlLimits()
{
  HttpLimits limits;
  limits.m_maxBodyBytes = kMaxCatalogBytes;
  limits.m_headerTimeout = kControlReadTimeout;
  return limits;
}

static HttpLimits MakeCallerLimits(const CallerLimits& aLimits)
{
  HttpLimits limits;
  limits.m_maxHeaderBytes = aLimits.m_maxHeaderBytes;
  limits.m_maxBodyBytes = aLimits.m_maxBodyBytes;
  limits.m_headerTimeout = aLimits.m_headerTimeout;
  limits.m_idleTimeout = aLimits.m_idleTimeout;
  return limits;
}

RoutedHost::Impl::Impl(EventLoop& aLoop,
                       Settings aSettings,
                       const WireProtocol& aProtocol)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_core(aLoop, std::move(aSettings), MakeMembershipOptions())
  , m_callerGuard(std::make_shared<CallerGuard>(
      aLoop,
      MakeCallerBudgetOptions(FindHostResources(m_core.Config())),
      &m_core.Counters()))
  , m_probeGuard(
      std::make_shared<CallerGuard>(aLoop, kProbeBudgetOptions, nullptr))
  , m_ledgerScope(m_core.Config().m_dataCentre, m_core.Config().m_region)
{
}

absl::Status RoutedHost::Impl::Listen(std::unique_ptr<HttpServer>& aServer,
                                      const Endpoint& aListen,
                                      const HttpLimits& aLimits,
                                      std::shared_ptr<CallerGuard> aGuard,
                                      HttpServer::Handler aHandler)
{
  if (aListen.m_port == 0) {
    return absl::OkStatus();
  }
  aServer = std::make_unique<HttpServer>(m_loop, aLimits, std::move(aHandler));
  aServer->SetGuard(std::move(aGuard));
  return aServer->Listen(aListen).status();
}

absl::Status RoutedHost::Impl::StartEntry()
{
  const Settings& settings = m_core.Config();
  if (settings.m_callersListen.m_port == 0) {
    return absl::OkStatus();
  }
  m_gateway = std::make_unique<ForwardGateway>(m_loop,
                                               m_core.Members(),
                                               m_core.Counters(),
                                               m_protocol,
                                               MakeForwardOptions(settings),
                                               RandomSeed());
  auto sendToLedgerPeers = [this](const PeerMessage& aMessage) {
    std::vector<Endpoint> peers;
    for (const auto& [id, endpoint] : m_ledgerPeers) {
      peers.push_back(endpoint);
    }
    m_core.Send(peers, aMessage);
  };
  m_gateway->OnLedger(sendToLedgerPeers);
  m_gateway->OnPaces(sendToLedgerPeers);
  m_gateway->OnRateLimits([this](const RateLimitSend& aSend) {
    if (const HostRow* row = m_core.Members().FindHost(aSend.m_to)) {
      m_core.Send(row->m_peer, aSend.m_update);
    }
  });
  m_gateway->OnCold([this](const ColdSend& aSend) {
    if (const HostRow* row = m_core.Members().FindHost(aSend.m_to)) {
      m_core.Send(row->m_peer, aSend.m_update);
    }
  });
  m_gateway->OnMembershipSends([this] { m_core.FlushMembership(); });
  m_gateway->OnBusy([this] { ScheduleGatewayTick(); });
  m_core.OnUpstreamsChange([this] { m_gateway->Tick(); });
  ScheduleGatewayTick();
  absl::Status opened =
    Listen(m_callerServer,
           settings.m_callersListen,
           MakeCallerLimits(CallerLimits()),
           m_callerGuard,
           [this](HttpRequest aRequest, Writer aWriter) {
             m_gateway->Handle(std::move(aRequest), std::move(aWriter));
           });
  if (!opened.ok()) {
    return opened;
  }
  return Listen(m_readinessServer,
                settings.m_readinessListen,
                HttpLimits(),
                m_probeGuard,
                [this](const HttpRequest&, const Writer& aWriter) {
                  HandleReadiness(aWriter);
                });
}

absl::Status RoutedHost::Impl::StartControl()
{
  const Settings& settings = m_core.Config();
  if (settings.m_controlListen.m_port == 0) {
    return absl::OkStatus();
  }
  m_control = std::make_unique<ControlPlane>(m_loop,
                                             m_core.Members(),
                                             m_core.State(),
                                             m_core.Counters(),
                                             m_protocol,
                                             settings.m_regions);
  return Listen(m_operatorServer,
                settings.m_controlListen,
                MakeControlLimits(),
                m_callerGuard,
                [this](const HttpRequest& aRequest, const Writer& aWriter) {
                  m_control->Handle(aRequest, aWriter);
                  m_core.FlushMembership();
                  SendColdWords();
                  m_core.FlushState();
                });
}

absl::Status RoutedHost::Impl::Start()
{
  KeepLargeBlocksMapped();
  const Settings& settings = m_core.Config();
  absl::Status opened = m_core.OpenState();
  if (opened.ok()) {
    opened =
      m_core.Start([this](const HostId& aFrom, const PeerMessage& aMessage) {
        OnPeerMessage(aFrom, aMessage);
      });
  }
  if (opened.ok()) {
    opened = StartEntry();
  }
  if (opened.ok()) {
    opened = StartControl();
  }
  if (opened.ok()) {
    opened = Listen(m_metricsServer,
                    settings.m_metricsListen,
                    HttpLimits(),
                    m_probeGuard,
                    [this](const HttpRequest& aRequest, const Writer& aWriter) {
                      HandleMonitoring(aRequest, aWriter);
                    });
  }
  if (!opened.ok()) {
    return opened;
  }
  m_core.OnHostChange(
    [this](const HostChange& aChange) { OnHostChange(aChange); });
  m_core.OnControlTick([this] { UpdateCatalog(); });
  m_core.OnCatalog(
    [this](const CatalogUpdate& aUpdate) { ApplyCatalogUpdate(aUpdate); });
  WriteLog(LogLevel::Info,
           "started",
           { { "callers", ToString(settings.m_callersListen) },
             { "control", ToString(settings.m_controlListen) },
             { "peer", ToString(settings.m_peerListen) },
             { "data_centre", settings.m_dataCentre.Value() },
             { "disk", m_core.State().Disk().Value() },
             { "group", m_core.State().Group() } });
  return absl::OkStatus();
}

void RoutedHost::Impl::HandleMonitoring(const HttpRequest& aRequest,
                                        const Writer& aWriter)
{
  if (aRequest.m_target == "/status") {
    aWriter->SendResponse(
      { 200,
        { { "Content-Type", "application/json" } },
        RoutedStatusJson(m_core,
                         m_routes ? m_routes->Evacuated()
                                  : std::set<DataCentreId>(),
                         m_gateway.get()) });
    return;
  }
  m_callerGuard->Report();
  m_core.ReportPeers();
  aWriter->SendResponse({ 200,
                          { { "Content-Type", "text/plain; version=0.0.4" } },
                          m_core.Counters().PrometheusText() });
}

/// Applies the newest catalog and evacuations of the replicated log on a
/// control host, and passes them on to the entry hosts. Evacuations that were
/// ordered before the first catalog come into force with it.
void RoutedHost::Impl::UpdateCatalog()
{
  const ListsState& lists = m_core.State().Plans();
  const ListVersion& newest = lists.m_catalog;
  bool isSource = !m_core.Config().m_dataDir.empty();
  if (!isSource || newest.m_version == 0 || lists.m_index <= m_appliedIndex) {
    return;
  }
  m_appliedIndex = lists.m_index;
  m_catalogVersion = newest.m_version;
  m_core.Members().SetListsIndex(lists.m_index);
  auto catalog = m_protocol.DecodeCatalog(newest.m_json);
  if (!catalog.ok()) {
    LogUnreadableCatalog(newest.m_version, catalog.status());
    return;
  }
  std::set<DataCentreId> evacuated = EvacuatedDataCentres(lists.m_evacuations);
  std::vector<CatalogItem> items = EncodeItems(*catalog);
  for (const DataCentreId& dataCentre : evacuated) {
    items.push_back(EncodeEvacuation(dataCentre));
  }
  SetRoutes(std::make_shared<const RouteTable>(*catalog, std::move(evacuated)));
  m_core.PublishCatalog(newest.m_version, std::move(items));
}

/// Applies an update of the catalog on an entry host.
void RoutedHost::Impl::ApplyCatalogUpdate(const CatalogUpdate& aUpdate)
{
  RouteTablePtr known =
    m_routes ? m_routes : std::make_shared<const RouteTable>();
  auto updated = known->Updated(aUpdate);
  if (!updated.ok()) {
    LogUnreadableCatalog(aUpdate.m_version, updated.status());
    return;
  }
  m_catalogVersion = aUpdate.m_version;
  SetRoutes(std::make_shared<const RouteTable>(*std::move(updated)));
}

void RoutedHost::Impl::LogUnreadableCatalog(uint64_t aVersion,
                                            const absl::Status& aReason)
{
  WriteLog(
    LogLevel::Error,
    "catalog_unreadable",
    { { "version", aVersion }, { "reason", std::string(aReason.message()) } });
}

/// Logs the data centres that are evacuated from now on, if they have changed.
void RoutedHost::Impl::ReportEvacuations(const RouteTable* aBefore)
{
  const std::set<DataCentreId>& evacuated = m_routes->Evacuated();
  m_core.Counters().SetGauge("evacuated_data_centres",
                             static_cast<double>(evacuated.size()));
  if (evacuated ==
      (aBefore == nullptr ? std::set<DataCentreId>() : aBefore->Evacuated())) {
    return;
  }
  std::string names;
  for (const DataCentreId& dataCentre : evacuated) {
    names += (names.empty() ? "" : ",") + dataCentre.Value();
  }
  WriteLog(
    LogLevel::Info,
    "evacuations_in_force",
    { { "data_centres", names },
      { "log_index", std::max(m_appliedIndex, m_core.Catalog().Index()) } });
}

void RoutedHost::Impl::SetRoutes(RouteTablePtr aRoutes)
{
  RouteTablePtr before = std::exchange(m_routes, std::move(aRoutes));
  ReportEvacuations(before.get());
  WriteLog(LogLevel::Info,
           "catalog_in_force",
           { { "version", m_routes->Version() },
             { "routes", m_routes->RouteCount() },
             { "accounts", m_routes->AccountCount() } });
  if (m_gateway) {
    m_gateway->SetRoutes(m_routes);
    m_callerServer->SetLimits(MakeCallerLimits(m_routes->Limits()));
  }
  if (m_control) {
    m_control->SetRoutes(m_routes);
    SendColdWords();
  }
}

/// Returns whether this host can serve callers: it has a catalog and at least
/// one upstream, and is not shutting down. At startup the catalog must also be
/// no older than that of any live peer. A host that loses its peers later stays
/// ready and serves from its local view.
bool RoutedHost::Impl::IsReady()
{
  bool canServe = m_catalogVersion > 0 &&
                  !m_core.Members().Upstreams().Rows().empty() &&
                  (m_wasReady || m_core.Catalog().IsCurrent());
  return canServe && !m_isShuttingDown;
}

void RoutedHost::Impl::HandleReadiness(const Writer& aWriter)
{
  bool isReady = IsReady();
  if (isReady != m_wasReady) {
    WriteLog(LogLevel::Info,
             "readiness_changed",
             { { "ready", isReady ? "yes" : "no" },
               { "catalog", m_catalogVersion },
               { "upstreams", m_core.Members().Upstreams().Rows().size() } });
    m_wasReady = isReady;
  }
  aWriter->SendResponse({ isReady ? 200 : 503, {}, "" });
}

RoutedHost::RoutedHost(EventLoop& aLoop,
                       Settings aSettings,
                       const WireProtocol& aProtocol)
  : m_impl(std::make_unique<Impl>(aLoop, std::move(aSettings), aProtocol))
{
}

RoutedHost::~RoutedHost() = default;

absl::Status RoutedHost::Start()
{
  return m_impl->Start();
}

void RoutedHost::Reload(const Settings& aSettings)
{
  m_impl->m_core.Reload(aSettings);
}

void RoutedHost::BeginShutdown()
{
  m_impl->BeginShutdown();
}

const absl::Status& RoutedHost::Failure() const
{
  return m_impl->m_core.Failure();
}

} // namespace persimmontally
