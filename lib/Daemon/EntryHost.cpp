#include "persimmontally/Daemon/EntryHost.h"

#include "HostCore.h"
#include "HostResources.h"

#include "persimmontally/Net/CallerGuard.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Proxy/Gateway.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Log.h"

namespace persimmontally {

/// Tick period of the gateway in the absence of other events.
static constexpr Duration kGatewayTickPeriod = milliseconds(10);
/// Time before the process is killed at which a host that is shutting down ends
/// its open requests, and the time that it then leaves to send their responses.
static constexpr Duration kEndRequestsBefore = milliseconds(500);
static constexpr Duration kLastSendTime = milliseconds(300);

static GatewayOptions MakeGatewayOptions(const Settings& aSettings)
{
  GatewayOptions options;
  options.m_host = aSettings.m_host;
  options.m_adminKey = aSettings.m_adminKey;
  options.m_upstreamKey = aSettings.m_upstreamKey;
  options.m_dispatch.m_dataCentre = aSettings.m_dataCentre;
  options.m_dispatch.m_region = aSettings.m_region;
  options.m_dispatch.m_maxQueued =
    static_cast<size_t>(aSettings.m_maxQueuedRequests);
  options.m_regions = aSettings.m_regions;
  auto placement = ParsePlacementPolicy(aSettings.m_routingPolicy);
  if (placement.ok()) {
    options.m_dispatch.m_placement = *placement;
  }
  return options;
}

static HttpLimits MakeHttpLimits(const Settings& aSettings)
{
  HttpLimits limits;
  limits.m_maxHeaderBytes = static_cast<size_t>(aSettings.m_maxHeaderBytes);
  limits.m_maxBodyBytes = static_cast<size_t>(aSettings.m_maxBodyBytes);
  limits.m_headerTimeout = aSettings.m_headerTimeout;
  limits.m_writeStallTimeout = aSettings.m_writeStallTimeout;
  return limits;
}

struct EntryHost::Impl
{
  Impl(EventLoop& aLoop, Settings aSettings)
    : m_loop(aLoop)
    , m_core(aLoop, std::move(aSettings), MembershipOptions())
    , m_callerGuard(std::make_shared<CallerGuard>(
        aLoop,
        MakeCallerBudgetOptions(FindHostResources(m_core.Config())),
        &m_core.Counters()))
  {
  }

  absl::Status Start();
  void BeginShutdown();
  void EndRequests();
  void ContinueShutdown();
  void EndHost();
  void FlushDispatch();
  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage);

  EventLoop& m_loop;
  HostCore m_core;
  std::unique_ptr<Gateway> m_gateway;
  std::shared_ptr<CallerGuard> m_callerGuard;
  std::unique_ptr<HttpServer> m_http;
  Timer m_gatewayTimer;
  Timer m_shutdownTimer;
  /// Ends the open requests, and then the host, before the process is killed.
  Timer m_endTimer;
};

absl::Status EntryHost::Impl::Start()
{
  KeepLargeBlocksMapped();
  const Settings& settings = m_core.Config();
  absl::Status opened = m_core.OpenState();
  if (!opened.ok()) {
    return opened;
  }
  m_gateway = std::make_unique<Gateway>(m_loop,
                                        m_core.Members(),
                                        m_core.State(),
                                        m_core.Counters(),
                                        MakeGatewayOptions(settings),
                                        RandomSeed());
  m_gateway->OnDispatchSends([this] { FlushDispatch(); });
  m_http = std::make_unique<HttpServer>(
    m_loop,
    MakeHttpLimits(settings),
    [this](HttpRequest aRequest, std::shared_ptr<ResponseWriter> aWriter) {
      m_gateway->Handle(std::move(aRequest), std::move(aWriter));
      // Syncs a proposal of this request in the current event loop iteration.
      m_core.FlushState();
    });
  m_http->SetGuard(m_callerGuard);
  m_core.OnControlTick([this] {
    m_callerGuard->Report();
    m_core.ReportPeers();
    for (const auto& [from, share] : m_core.Members().TakeShares()) {
      m_gateway->ReceiveShare(from, share);
    }
  });
  opened =
    m_core.Start([this](const HostId& aFrom, const PeerMessage& aMessage) {
      OnPeerMessage(aFrom, aMessage);
    });
  if (opened.ok()) {
    opened = m_http->Listen(settings.m_httpListen).status();
  }
  if (!opened.ok()) {
    return opened;
  }
  m_gatewayTimer =
    m_loop.RunEvery(kGatewayTickPeriod, [this] { m_gateway->Tick(); });
  WriteLog(LogLevel::Info,
           "started",
           { { "http", ToString(settings.m_httpListen) },
             { "peer", ToString(settings.m_peerListen) },
             { "data_centre", settings.m_dataCentre.Value() } });
  return absl::OkStatus();
}

void EntryHost::Impl::OnPeerMessage(const HostId& aFrom,
                                    const PeerMessage& aMessage)
{
  if (const auto* batch = std::get_if<DispatchBatch>(&aMessage)) {
    m_gateway->ReceiveDispatch(aFrom, *batch);
  }
}

void EntryHost::Impl::FlushDispatch()
{
  m_core.FlushMembership();
  for (auto& [host, batch] : m_gateway->TakeDispatchSends()) {
    const HostRow* row = m_core.Members().FindHost(host);
    if (row != nullptr) {
      m_core.Send(row->m_peer, std::move(batch));
    }
  }
}

// Shutdown after the open requests have ended.

void EntryHost::Impl::BeginShutdown()
{
  if (m_gateway->IsShuttingDown()) {
    return;
  }
  WriteLog(LogLevel::Info,
           "shutdown_begins",
           { { "open_requests", m_gateway->OpenRequests() } });
  m_gateway->BeginShutdown();
  const Settings& settings = m_core.Config();
  if (settings.m_shutdownLimit > Duration(0)) {
    m_endTimer = m_loop.RunAfter(
      std::max(Duration(0), settings.m_shutdownLimit - kEndRequestsBefore),
      [this] { EndRequests(); });
  }
  m_shutdownTimer = m_loop.RunAfter(settings.m_shutdownGrace, [this] {
    m_gateway->StopAcceptingRequests();
    m_http->StopAccepting();
    ContinueShutdown();
  });
}

/// Ends the open requests and, once their responses have been sent or the time
/// for that has passed, the host.
void EntryHost::Impl::EndRequests()
{
  WriteLog(LogLevel::Info,
           "shutdown_ends_requests",
           { { "open_requests", m_gateway->OpenRequests() } });
  m_gateway->EndRequests();
  m_http->StopAccepting();
  m_endTimer = m_loop.RunAfter(kLastSendTime, [this] { EndHost(); });
  ContinueShutdown();
}

void EntryHost::Impl::ContinueShutdown()
{
  constexpr Duration kDrainPollPeriod = milliseconds(50);
  if (m_gateway->OpenRequests() > 0 || m_http->OpenExchanges() > 0) {
    m_shutdownTimer =
      m_loop.RunAfter(kDrainPollPeriod, [this] { ContinueShutdown(); });
    return;
  }
  EndHost();
}

void EntryHost::Impl::EndHost()
{
  // Time for the last writes to leave the sockets.
  constexpr Duration kFinalWriteTime = milliseconds(50);
  m_endTimer.Cancel();
  m_core.Leave();
  m_shutdownTimer = m_loop.RunAfter(kFinalWriteTime, [this] {
    WriteLog(LogLevel::Info, "shutdown_ends", {});
    m_loop.Stop();
  });
}

EntryHost::EntryHost(EventLoop& aLoop, Settings aSettings)
  : m_impl(std::make_unique<Impl>(aLoop, std::move(aSettings)))
{
}

EntryHost::~EntryHost() = default;

absl::Status EntryHost::Start()
{
  return m_impl->Start();
}

void EntryHost::BeginShutdown()
{
  m_impl->BeginShutdown();
}

const absl::Status& EntryHost::Failure() const
{
  return m_impl->m_core.Failure();
}

} // namespace persimmontally
