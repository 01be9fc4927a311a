#include "persimmontally/Daemon/RoutedHost.h"

#include "HostCore.h"
#include "RoutedStatus.h"

#include "persimmontally/Catalog/CatalogItems.h"
#include "persimmontally/Forwarding/ControlPlane.h"
#include "persimmontally/Forwarding/ForwardGateway.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Routing/LedgerScope.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Log.h"

namespace persimmontally {

/// Tick period of the gateway while requests are queued or migrate.
static constexpr Duration kGatewayTickPeriod = milliseconds(10);
/// The same while nothing depends on the tick: hundreds of hosts that wake up
/// without work cost processor time.
static constexpr Duration kIdleGatewayTickPeriod = milliseconds(100);
/// Upstreams announce themselves about every 1.2 s, and sometimes seconds late.
/// A crashed upstream is detected earlier, by its failed connections.
static constexpr Duration kUpstreamLease = seconds(10);
/// Period of the renewals of leases: three fit into one lease.
static constexpr Duration kRenewalPeriod = milliseconds(2500);
/// Time for which a host that is down counts as one that may be cut off.
static constexpr Duration kMaxCutOffTime = std::chrono::minutes(10);
/// Period in which the hosts that divide rate limits are counted anew.
static constexpr Duration kRateLimitHostsPeriod = seconds(1);
/// Maximum size of a catalog that operators may send.
static constexpr size_t kMaxCatalogBytes = size_t(8) << 20;
/// Allows operators to send a catalog over a slow link.
static constexpr Duration kControlReadTimeout = seconds(10);
/// How often a host that is shutting down checks whether its open requests have
/// ended.
static constexpr Duration kDrainPollPeriod = milliseconds(20);
/// Time for the last writes to leave the sockets.
static constexpr Duration kFinalWriteTime = milliseconds(50);
/// Time before the process is killed at which a host that is shutting down ends
/// its open requests, and the time that it then leaves to send their responses.
static constexpr Duration kEndRequestsBefore = milliseconds(500);
static constexpr Duration kLastSendTime = milliseconds(300);

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

/// Engines take 9 to 11 ms per token, whatever else they run.
static constexpr double kAssumedTokensPerSecond = 90;

static ForwardOptions MakeForwardOptions(const Settings& aSettings)
{
  ForwardOptions options;
  options.m_host = aSettings.m_host;
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

struct RoutedHost::Impl
{
  using Writer = std::shared_ptr<ResponseWriter>;

  Impl(EventLoop& aLoop, Settings aSettings, const WireProtocol& aProtocol)
    : m_loop(aLoop)
    , m_protocol(aProtocol)
    , m_core(aLoop, std::move(aSettings), MakeMembershipOptions())
    , m_ledgerScope(m_core.Config().m_dataCentre, m_core.Config().m_region)
  {
  }

  absl::Status Start();
  absl::Status StartEntry();
  absl::Status StartControl();
  absl::Status Listen(std::unique_ptr<HttpServer>& aServer,
                      const Endpoint& aListen,
                      const HttpLimits& aLimits,
                      HttpServer::Handler aHandler);
  void HandleMonitoring(const HttpRequest& aRequest, const Writer& aWriter);
  void UpdateCatalog();
  void ApplyCatalogUpdate(const CatalogUpdate& aUpdate);
  static void LogUnreadableCatalog(uint64_t aVersion,
                                   const absl::Status& aReason);
  void SetRoutes(RouteTablePtr aRoutes);
  void HandleReadiness(const Writer& aWriter);
  bool IsReady();
  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage);
  void ScheduleGatewayTick();
  void UpdateLedgerPeers();
  void UpdateRateLimitHosts();
  void SendNextFullLedger();
  void OnHostChange(const HostChange& aChange);
  void BeginShutdown();
  void StopAccepting();
  bool HasOpenExchanges() const;
  void EndRequests();
  void ContinueShutdown();
  void EndHost();

  EventLoop& m_loop;
  const WireProtocol& m_protocol;
  HostCore m_core;
  std::unique_ptr<ForwardGateway> m_gateway;
  std::unique_ptr<ControlPlane> m_control;
  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_readinessServer;
  std::unique_ptr<HttpServer> m_operatorServer;
  std::unique_ptr<HttpServer> m_metricsServer;
  uint64_t m_catalogVersion = 0;
  RouteTablePtr m_routes;
  bool m_wasReady = false;
  bool m_isShuttingDown = false;
  LedgerScope m_ledgerScope;
  /// Version of the membership table that `m_ledgerPeers` is based on.
  uint64_t m_ledgerPeersVersion = 0;
  /// Peer endpoints of the other entry hosts in the ledger scope that are alive
  /// or suspect.
  std::map<HostId, Endpoint> m_ledgerPeers;
  /// When the hosts that divide rate limits are next counted.
  Instant m_nextRateLimitHostsAt;
  /// When the full ledger is next sent to a peer.
  Instant m_nextFullLedgerAt;
  /// Peer that received the last full ledger.
  HostId m_lastFullLedgerTo;
  Timer m_gatewayTimer;
  Timer m_shutdownTimer;
  /// Ends the open requests, and then the host, before the process is killed.
  Timer m_endTimer;
};

absl::Status RoutedHost::Impl::Listen(std::unique_ptr<HttpServer>& aServer,
                                      const Endpoint& aListen,
                                      const HttpLimits& aLimits,
                                      HttpServer::Handler aHandler)
{
  if (aListen.m_port == 0) {
    return absl::OkStatus();
  }
  aServer = std::make_unique<HttpServer>(m_loop, aLimits, std::move(aHandler));
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
  m_gateway->OnLedger([this](const LedgerUpdate& aChange) {
    std::vector<Endpoint> peers;
    for (const auto& [id, endpoint] : m_ledgerPeers) {
      peers.push_back(endpoint);
    }
    m_core.Send(peers, aChange);
  });
  m_gateway->OnRateLimits([this](const RateLimitSend& aSend) {
    if (const HostRow* row = m_core.Members().FindHost(aSend.m_to)) {
      m_core.Send(row->m_peer, aSend.m_update);
    }
  });
  m_gateway->OnMembershipSends([this] { m_core.FlushMembership(); });
  m_core.OnHostChange(
    [this](const HostChange& aChange) { OnHostChange(aChange); });
  m_gateway->OnBusy([this] { ScheduleGatewayTick(); });
  m_core.OnUpstreamsChange([this] { m_gateway->Tick(); });
  ScheduleGatewayTick();
  absl::Status opened =
    Listen(m_callerServer,
           settings.m_callersListen,
           MakeCallerLimits(CallerLimits()),
           [this](HttpRequest aRequest, Writer aWriter) {
             m_gateway->Handle(std::move(aRequest), std::move(aWriter));
           });
  if (!opened.ok()) {
    return opened;
  }
  return Listen(m_readinessServer,
                settings.m_readinessListen,
                HttpLimits(),
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
                [this](const HttpRequest& aRequest, const Writer& aWriter) {
                  m_control->Handle(aRequest, aWriter);
                  m_core.FlushMembership();
                  m_core.FlushState();
                });
}

absl::Status RoutedHost::Impl::Start()
{
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
                    [this](const HttpRequest& aRequest, const Writer& aWriter) {
                      HandleMonitoring(aRequest, aWriter);
                    });
  }
  if (!opened.ok()) {
    return opened;
  }
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
    aWriter->SendResponse({ 200,
                            { { "Content-Type", "application/json" } },
                            RoutedStatusJson(m_core, m_gateway.get()) });
    return;
  }
  aWriter->SendResponse({ 200,
                          { { "Content-Type", "text/plain; version=0.0.4" } },
                          m_core.Counters().PrometheusText() });
}

/// Applies the newest catalog of the replicated log on a control host, and
/// passes it on to the entry hosts.
void RoutedHost::Impl::UpdateCatalog()
{
  const ListVersion& newest = m_core.State().Plans().m_catalog;
  bool isSource = !m_core.Config().m_dataDir.empty();
  if (!isSource || newest.m_version <= m_catalogVersion) {
    return;
  }
  m_catalogVersion = newest.m_version;
  m_core.Members().SetListsIndex(m_core.State().Plans().m_index);
  auto catalog = m_protocol.DecodeCatalog(newest.m_json);
  if (!catalog.ok()) {
    LogUnreadableCatalog(newest.m_version, catalog.status());
    return;
  }
  SetRoutes(std::make_shared<const RouteTable>(*catalog));
  m_core.PublishCatalog(newest.m_version, EncodeItems(*catalog));
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

void RoutedHost::Impl::SetRoutes(RouteTablePtr aRoutes)
{
  m_routes = std::move(aRoutes);
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

// Exchange of the ledger with the other entry hosts.

void RoutedHost::Impl::OnPeerMessage(const HostId& aFrom,
                                     const PeerMessage& aMessage)
{
  const auto* update = std::get_if<LedgerUpdate>(&aMessage);
  if (update != nullptr && m_gateway) {
    m_gateway->ReceiveLedger(aFrom, *update);
  }
  const auto* limits = std::get_if<RateLimitUpdate>(&aMessage);
  if (limits != nullptr && m_gateway) {
    m_gateway->ReceiveRateLimits(aFrom, *limits);
  }
}

/// Sets the timer of the next tick by whether the gateway depends on it.
void RoutedHost::Impl::ScheduleGatewayTick()
{
  Duration period =
    m_gateway->IsBusy() ? kGatewayTickPeriod : kIdleGatewayTickPeriod;
  m_gatewayTimer = m_loop.RunAfter(period, [this] {
    UpdateLedgerPeers();
    if (m_loop.Now() >= m_nextRateLimitHostsAt) {
      UpdateRateLimitHosts();
    }
    m_gateway->Tick();
    SendNextFullLedger();
    ScheduleGatewayTick();
  });
}

/// Determines the hosts with which this one exchanges ledgers. A host that
/// leaves the scope gets an empty ledger, one that enters it the full one.
void RoutedHost::Impl::UpdateLedgerPeers()
{
  const Membership& members = m_core.Members();
  if (std::exchange(m_ledgerPeersVersion, members.HostsVersion()) ==
      members.HostsVersion()) {
    return;
  }
  if (m_ledgerScope.Update(members.Hosts())) {
    const PlacementScope& scope = m_ledgerScope.Current();
    WriteLog(LogLevel::Info,
             "ledger_scope",
             { { "scope", ToString(scope.m_kind) },
               { "hosts", members.Hosts().size() } });
    m_gateway->Placement().Local().SetScope(scope);
  }
  std::map<HostId, Endpoint> peers;
  size_t entryHosts = 1;
  for (const auto& [id, row] : members.Hosts()) {
    if (id == m_core.Config().m_host || !row.m_isEntry ||
        row.m_state > HostState::Suspect) {
      continue;
    }
    ++entryHosts;
    if (m_ledgerScope.Current().Contains(row)) {
      peers.emplace(id, row.m_peer);
    }
  }
  m_gateway->SetEntryHosts(entryHosts);
  UpdateRateLimitHosts();
  for (const auto& [id, endpoint] : std::exchange(m_ledgerPeers, peers)) {
    if (!peers.erase(id) && members.IsAlive(id)) {
      m_core.Send(endpoint, m_gateway->Placement().EmptySnapshot());
      m_gateway->ForgetHost(id);
    }
  }
  for (const auto& [id, endpoint] : peers) {
    m_core.Send(endpoint, m_gateway->Placement().Snapshot(m_loop.Now()));
  }
}

/// Determines the entry hosts that divide the rate limits of upstreams. A host
/// that is down counts for some time: it may be cut off and send on.
void RoutedHost::Impl::UpdateRateLimitHosts()
{
  const Membership& members = m_core.Members();
  Instant now = m_loop.Now();
  m_nextRateLimitHostsAt = now + kRateLimitHostsPeriod;
  std::set<HostId> reachable = { m_core.Config().m_host };
  size_t known = 1;
  for (const auto& [id, row] : members.Hosts()) {
    if (id == m_core.Config().m_host || !row.m_isEntry) {
      continue;
    }
    auto downSince = members.DownSince(id);
    bool mayBeCutOff = row.m_state == HostState::Dead && downSince &&
                       now < *downSince + kMaxCutOffTime;
    if (row.m_state <= HostState::Suspect) {
      reachable.insert(id);
    }
    known += row.m_state <= HostState::Suspect || mayBeCutOff ? 1 : 0;
  }
  m_gateway->SetRateLimitHosts(std::move(reachable), known);
}

/// Sends the full ledger to one peer at a time, so that a narrow link never
/// carries it to all peers at once.
void RoutedHost::Impl::SendNextFullLedger()
{
  Instant now = m_loop.Now();
  if (m_ledgerPeers.empty() || now < m_nextFullLedgerAt) {
    return;
  }
  auto count = static_cast<int64_t>(m_ledgerPeers.size());
  m_nextFullLedgerAt =
    std::max(m_nextFullLedgerAt, now - kIdleGatewayTickPeriod) +
    LedgerDispatch::RepeatPeriod(count) / count;
  auto next = m_ledgerPeers.upper_bound(m_lastFullLedgerTo);
  if (next == m_ledgerPeers.end()) {
    next = m_ledgerPeers.begin();
  }
  m_lastFullLedgerTo = next->first;
  m_core.Send(next->second, m_gateway->Placement().Snapshot(now));
}

/// Drops the ledger of a host that is gone.
void RoutedHost::Impl::OnHostChange(const HostChange& aChange)
{
  if (aChange.m_row.m_state > HostState::Suspect) {
    m_gateway->ForgetHost(aChange.m_row.m_id);
  }
}

// Shutdown after the open requests have ended, or shortly before the process is
// killed.

void RoutedHost::Impl::BeginShutdown()
{
  if (std::exchange(m_isShuttingDown, true)) {
    return;
  }
  const Settings& settings = m_core.Config();
  size_t open = m_gateway ? m_gateway->OpenRequests() : 0;
  WriteLog(LogLevel::Info,
           "shutdown_begins",
           { { "open_requests", open },
             { "limit_ms", ToMilliseconds(settings.m_shutdownLimit) } });
  if (settings.m_shutdownLimit > Duration(0)) {
    Duration time =
      std::max(Duration(0), settings.m_shutdownLimit - kEndRequestsBefore);
    if (m_gateway) {
      m_gateway->BeginShutdown(m_loop.Now() + time);
    }
    m_endTimer = m_loop.RunAfter(time, [this] { EndRequests(); });
  }
  // The control API has no load balancer that has to learn of the shutdown.
  Duration grace = m_gateway ? settings.m_shutdownGrace : Duration(0);
  m_shutdownTimer = m_loop.RunAfter(grace, [this] {
    StopAccepting();
    ContinueShutdown();
  });
}

void RoutedHost::Impl::StopAccepting()
{
  if (m_gateway) {
    m_gateway->StopAcceptingRequests();
  }
  for (HttpServer* server : { m_callerServer.get(), m_operatorServer.get() }) {
    if (server != nullptr) {
      server->DisableKeepAlive();
      server->StopAccepting();
    }
  }
}

/// Returns whether a caller or an operator still waits for a response, or for
/// the rest of one.
bool RoutedHost::Impl::HasOpenExchanges() const
{
  return (m_gateway && m_gateway->OpenRequests() > 0) ||
         (m_callerServer && m_callerServer->OpenExchanges() > 0) ||
         (m_operatorServer && m_operatorServer->OpenExchanges() > 0);
}

/// Ends the open requests and, once their responses have been sent or the time
/// for that has passed, the host.
void RoutedHost::Impl::EndRequests()
{
  StopAccepting();
  if (m_gateway) {
    WriteLog(LogLevel::Info,
             "shutdown_ends_requests",
             { { "open_requests", m_gateway->OpenRequests() } });
    m_gateway->EndRequests();
  }
  m_endTimer = m_loop.RunAfter(kLastSendTime, [this] { EndHost(); });
  ContinueShutdown();
}

void RoutedHost::Impl::ContinueShutdown()
{
  if (HasOpenExchanges()) {
    m_shutdownTimer =
      m_loop.RunAfter(kDrainPollPeriod, [this] { ContinueShutdown(); });
    return;
  }
  EndHost();
}

void RoutedHost::Impl::EndHost()
{
  m_endTimer.Cancel();
  m_core.Leave();
  m_shutdownTimer = m_loop.RunAfter(kFinalWriteTime, [this] {
    WriteLog(LogLevel::Info, "shutdown_ends", {});
    m_loop.Stop();
  });
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
