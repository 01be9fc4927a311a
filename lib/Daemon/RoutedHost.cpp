#include "persimmontally/Daemon/RoutedHost.h"

#include "HostCore.h"
#include "RoutedStatus.h"

#include "persimmontally/Forwarding/ControlPlane.h"
#include "persimmontally/Forwarding/ForwardGateway.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Log.h"

namespace persimmontally {

/// Period of the decision systems, when nothing else wakes them.
static constexpr Duration kGatewayTick = milliseconds(10);
/// Upstreams announce themselves about every 1.2 s and at times seconds late;
/// one that crashed is found out by its connections before that.
static constexpr Duration kUpstreamLease = seconds(10);
/// Largest catalog that operators may send, in bytes.
static constexpr size_t kMaxCatalogBytes = size_t(8) << 20;
/// Time for an operator to send a catalog over a slow link.
static constexpr Duration kControlReadTimeout = seconds(10);
/// How soon a host that found itself overtaken by a stop looks again whether
/// its requests have ended.
static constexpr Duration kShutdownLook = milliseconds(20);
/// Time for the last writes to leave.
static constexpr Duration kLastWrites = milliseconds(50);

static MembershipOptions MakeMembershipOptions()
{
  MembershipOptions options;
  options.m_upstreamLease = kUpstreamLease;
  return options;
}

/// Two generations more or less on an engine of 24 slots make 0.2 of a score: a
/// difference that costs a request little, while a second prompt on the same
/// engine delays its first token by 0.2 s and more.
static constexpr double kPlacementSpread = 0.2;

/// Engines were seen to take 9 to 11 ms a token, whatever else they ran.
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
  // A round trip to another region is small beside the objectives.
  placement.m_otherDataCentre = 0.1;
  placement.m_otherRegion = 0.35;
  // A prompt of 2,500 tokens takes an engine 0.4 s beside the decoding of
  // others; a full engine decodes half as fast as an empty one.
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
  {
  }

  absl::Status Start();
  absl::Status StartEntry();
  absl::Status StartControl();
  absl::Status Listen(std::unique_ptr<HttpServer>& aServer,
                      const Endpoint& aListen,
                      const HttpLimits& aLimits,
                      HttpServer::Handler aHandler);
  void AnswerMonitoring(const HttpRequest& aRequest, const Writer& aWriter);
  void UpdateCatalog();
  void AnswerReadiness(const Writer& aWriter);
  bool IsReady();
  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage);
  std::vector<Endpoint> EntryPeers();
  void RepeatLedger();
  void OnHostChange(const HostChange& aChange);
  void BeginShutdown();
  void ContinueShutdown();

  EventLoop& m_loop;
  const WireProtocol& m_protocol;
  HostCore m_core;
  std::unique_ptr<ForwardGateway> m_gateway;
  std::unique_ptr<ControlPlane> m_control;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_readiness;
  std::unique_ptr<HttpServer> m_operators;
  std::unique_ptr<HttpServer> m_metricsServer;
  uint64_t m_catalogVersion = 0;
  bool m_wasReady = false;
  bool m_isShuttingDown = false;
  /// When the next peer gets the whole ledger, and which one.
  Instant m_nextRepeat;
  size_t m_repeatTurn = 0;
  Timer m_gatewayTimer;
  Timer m_shutdownTimer;
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
    m_core.Send(EntryPeers(), aChange);
  });
  m_core.OnHostChange(
    [this](const HostChange& aChange) { OnHostChange(aChange); });
  m_gatewayTimer = m_loop.RunEvery(kGatewayTick, [this] {
    m_gateway->Tick();
    RepeatLedger();
  });
  absl::Status opened =
    Listen(m_callers,
           settings.m_callersListen,
           MakeCallerLimits(CallerLimits()),
           [this](HttpRequest aRequest, Writer aWriter) {
             m_gateway->Handle(std::move(aRequest), std::move(aWriter));
           });
  if (!opened.ok()) {
    return opened;
  }
  return Listen(m_readiness,
                settings.m_readinessListen,
                HttpLimits(),
                [this](const HttpRequest&, const Writer& aWriter) {
                  AnswerReadiness(aWriter);
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
  return Listen(m_operators,
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
                      AnswerMonitoring(aRequest, aWriter);
                    });
  }
  if (!opened.ok()) {
    return opened;
  }
  m_core.OnTurn([this] { UpdateCatalog(); });
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

void RoutedHost::Impl::AnswerMonitoring(const HttpRequest& aRequest,
                                        const Writer& aWriter)
{
  if (aRequest.m_target == "/status") {
    aWriter->SendWhole({ 200,
                         { { "Content-Type", "application/json" } },
                         RoutedStatusJson(m_core, m_gateway.get()) });
    return;
  }
  aWriter->SendWhole({ 200,
                       { { "Content-Type", "text/plain; version=0.0.4" } },
                       m_core.Counters().PrometheusText() });
}

/// Puts a newer catalog in force on this host.
void RoutedHost::Impl::UpdateCatalog()
{
  const ListVersion& newest = m_core.State().Plans().m_catalog;
  if (newest.m_version <= m_catalogVersion) {
    return;
  }
  m_catalogVersion = newest.m_version;
  m_core.Members().SetPlanIndex(m_core.State().Plans().m_index);
  auto catalog = m_protocol.DecodeCatalog(newest.m_json);
  if (!catalog.ok()) {
    WriteLog(LogLevel::Error,
             "catalog_unreadable",
             { { "version", newest.m_version },
               { "reason", std::string(catalog.status().message()) } });
    return;
  }
  auto routes = std::make_shared<const RouteTable>(*std::move(catalog));
  WriteLog(LogLevel::Info,
           "catalog_in_force",
           { { "version", routes->Version() },
             { "routes", routes->SourceCatalog().m_routes.size() },
             { "accounts", routes->SourceCatalog().m_accounts.size() } });
  if (m_gateway) {
    m_gateway->SetRoutes(routes);
    m_callers->SetLimits(MakeCallerLimits(routes->Limits()));
  }
  if (m_control) {
    m_control->SetRoutes(routes);
  }
}

/// Ready means that callers can be served: the catalog is known and, at the
/// start, no older than that of the peers. A host that loses its peers later
/// goes on with what it knows.
bool RoutedHost::Impl::IsReady()
{
  bool knowsEnough = m_catalogVersion > 0 &&
                     !m_core.Members().Upstreams().Rows().empty() &&
                     (m_wasReady || m_core.State().HasCurrentLists());
  return knowsEnough && !m_isShuttingDown;
}

void RoutedHost::Impl::AnswerReadiness(const Writer& aWriter)
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
  aWriter->SendWhole({ isReady ? 200 : 503, {}, "" });
}

// Peers.

void RoutedHost::Impl::OnPeerMessage(const HostId& aFrom,
                                     const PeerMessage& aMessage)
{
  const auto* update = std::get_if<LedgerUpdate>(&aMessage);
  if (update != nullptr && m_gateway) {
    m_gateway->ReceiveLedger(aFrom, *update);
  }
}

/// Other entry hosts that are thought to live, where their peers' port is.
std::vector<Endpoint> RoutedHost::Impl::EntryPeers()
{
  std::vector<Endpoint> peers;
  for (const auto& [id, row] : m_core.Members().Hosts()) {
    bool isOther = id != m_core.Config().m_host;
    if (isOther && row.m_isEntry && row.m_state <= HostState::Suspect) {
      peers.push_back(row.m_peer);
    }
  }
  return peers;
}

/// Sends the whole ledger to the peers one after the other, so that small links
/// never carry it to all of them at once.
void RoutedHost::Impl::RepeatLedger()
{
  std::vector<Endpoint> peers = EntryPeers();
  Instant now = m_loop.Now();
  if (peers.empty() || now < m_nextRepeat) {
    return;
  }
  auto count = static_cast<int64_t>(peers.size());
  m_nextRepeat = std::max(m_nextRepeat, now - kGatewayTick) +
                 LedgerDispatch::kRepeatPeriod / count;
  m_core.Send(peers[m_repeatTurn++ % peers.size()],
              m_gateway->Placement().Snapshot(now));
}

/// Keeps the ledger in step with which hosts live.
void RoutedHost::Impl::OnHostChange(const HostChange& aChange)
{
  const HostRow& row = aChange.m_row;
  if (row.m_state > HostState::Suspect) {
    m_gateway->ForgetHost(row.m_id);
    return;
  }
  bool isNew = aChange.m_isNew || aChange.m_before > HostState::Suspect;
  if (isNew && row.m_isEntry && row.m_id != m_core.Config().m_host) {
    m_core.Send(row.m_peer, m_gateway->Placement().Snapshot(m_loop.Now()));
  }
}

// Shutdown.

void RoutedHost::Impl::BeginShutdown()
{
  if (std::exchange(m_isShuttingDown, true)) {
    return;
  }
  size_t open = m_gateway ? m_gateway->OpenRequests() : 0;
  WriteLog(LogLevel::Info, "shutdown_begins", { { "open_requests", open } });
  Duration grace = m_gateway ? m_core.Config().m_shutdownGrace : Duration(0);
  m_shutdownTimer = m_loop.RunAfter(grace, [this] {
    if (m_gateway) {
      m_gateway->StopAcceptingRequests();
      m_callers->StopKeepingConnections();
      m_callers->StopAccepting();
    }
    ContinueShutdown();
  });
}

void RoutedHost::Impl::ContinueShutdown()
{
  if (m_gateway && m_gateway->OpenRequests() > 0) {
    m_shutdownTimer =
      m_loop.RunAfter(kShutdownLook, [this] { ContinueShutdown(); });
    return;
  }
  m_core.Leave();
  m_shutdownTimer = m_loop.RunAfter(kLastWrites, [this] {
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
