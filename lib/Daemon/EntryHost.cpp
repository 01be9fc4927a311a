#include "persimmontally/Daemon/EntryHost.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/FrameLink.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Net/UdpSocket.h"
#include "persimmontally/Proxy/Gateway.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Metrics.h"
#include "persimmontally/Wire/Codec.h"

#include <chrono>
#include <optional>

namespace persimmontally {

/// Period of the decision systems, when nothing else wakes them.
static constexpr Duration kGatewayTick = milliseconds(10);
/// Period of membership and replicated state.
static constexpr Duration kControlTick = milliseconds(20);
/// Bytes of UDP and IP headers, counted with the control traffic.
static constexpr uint64_t kDatagramOverhead = 28;

static uint64_t WallClockMs()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<milliseconds>(now).count());
}

static HostRow SelfRow(const Settings& aSettings)
{
  HostRow row;
  row.m_id = aSettings.m_host;
  row.m_dataCentre = aSettings.m_dataCentre;
  row.m_region = aSettings.m_region;
  row.m_peer = aSettings.m_peerListen;
  row.m_incarnation = WallClockMs();
  return row;
}

static StateOptions MakeStateOptions(const Settings& aSettings)
{
  StateOptions options;
  options.m_host = aSettings.m_host;
  options.m_bootstrapHosts = aSettings.m_bootstrapHosts;
  options.m_voters = static_cast<size_t>(aSettings.m_voters);
  options.m_replaceVoterAfter = aSettings.m_replaceVoterAfter;
  options.m_orderRetention = aSettings.m_orderRetention;
  return options;
}

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
    , m_settings(std::move(aSettings))
    , m_udp(aLoop)
    , m_link(aLoop)
    , m_membership(SelfRow(m_settings),
                   m_settings.m_seeds,
                   MembershipOptions(),
                   RandomSeed())
  {
  }

  absl::Status Start();
  void BeginShutdown();
  void ContinueShutdown();
  void ControlTick();
  void FlushMembership();
  void FlushState();
  void FlushDispatch();
  void OnDatagram(std::string_view aData);
  void OnFrame(std::string_view aData);
  void SendMessage(const Endpoint& aTo, const PeerMessage& aMessage);
  std::vector<StatePeer> StatePeers() const;
  void Fail(const absl::Status& aStatus);

  EventLoop& m_loop;
  Settings m_settings;
  UdpSocket m_udp;
  FrameLink m_link;
  Metrics m_metrics;
  Membership m_membership;
  std::unique_ptr<StateService> m_state;
  std::unique_ptr<Gateway> m_gateway;
  std::unique_ptr<HttpServer> m_http;
  Timer m_gatewayTimer;
  Timer m_controlTimer;
  Timer m_shutdownTimer;
  bool m_flushPosted = false;
  absl::Status m_failure;
};

absl::Status EntryHost::Impl::Start()
{
  std::unique_ptr<LogStore> store;
  if (!m_settings.m_dataDir.empty()) {
    auto opened = OpenFileLogStore(m_settings.m_dataDir);
    if (!opened.ok()) {
      return opened.status();
    }
    store = *std::move(opened);
  }
  m_state = std::make_unique<StateService>(
    MakeStateOptions(m_settings), std::move(store), RandomSeed());
  m_membership.SetDisk(m_state->Disk(), m_state->Group());
  m_gateway = std::make_unique<Gateway>(m_loop,
                                        m_membership,
                                        *m_state,
                                        m_metrics,
                                        MakeGatewayOptions(m_settings),
                                        RandomSeed());
  m_gateway->OnDispatchSends([this] { FlushDispatch(); });
  m_http = std::make_unique<HttpServer>(
    m_loop,
    MakeHttpLimits(m_settings),
    [this](HttpRequest aRequest, std::shared_ptr<ResponseWriter> aWriter) {
      m_gateway->Handle(std::move(aRequest), std::move(aWriter));
      // A proposal made by the request is synced in this turn of the loop.
      FlushState();
    });
  absl::Status opened = m_udp.Open(
    m_settings.m_peerListen,
    [this](const Endpoint&, std::string_view aData) { OnDatagram(aData); });
  if (opened.ok()) {
    opened = m_link.Open(m_settings.m_peerListen,
                         [this](std::string_view aData) { OnFrame(aData); });
  }
  if (opened.ok()) {
    opened = m_http->Listen(m_settings.m_httpListen).status();
  }
  if (!opened.ok()) {
    return opened;
  }
  m_controlTimer = m_loop.RunEvery(kControlTick, [this] { ControlTick(); });
  m_gatewayTimer = m_loop.RunEvery(kGatewayTick, [this] { m_gateway->Tick(); });
  WriteLog(LogLevel::Info,
           "started",
           { { "http", ToString(m_settings.m_httpListen) },
             { "peer", ToString(m_settings.m_peerListen) },
             { "data_centre", m_settings.m_dataCentre.Value() } });
  return absl::OkStatus();
}

std::vector<StatePeer> EntryHost::Impl::StatePeers() const
{
  Instant now = m_loop.Now();
  std::vector<StatePeer> peers;
  for (const auto& [id, row] : m_membership.Hosts()) {
    StatePeer peer;
    peer.m_host = id;
    peer.m_dataCentre = row.m_dataCentre;
    peer.m_peer = row.m_peer;
    peer.m_disk = row.m_disk;
    peer.m_group = row.m_group;
    peer.m_planIndex = row.m_planIndex;
    peer.m_isAlive = row.m_state <= HostState::Suspect;
    auto downSince = m_membership.DownSince(id);
    peer.m_downFor = downSince ? now - *downSince : Duration(0);
    peers.push_back(std::move(peer));
  }
  return peers;
}

void EntryHost::Impl::ControlTick()
{
  Instant now = m_loop.Now();
  m_membership.Tick(now);
  for (const HostChange& change : m_membership.TakeHostChanges()) {
    if (change.m_isNew || change.m_before != change.m_row.m_state) {
      static constexpr const char* kNames[] = {
        "alive", "suspect", "dead", "left"
      };
      WriteLog(LogLevel::Info,
               "host_changed",
               { { "peer", change.m_row.m_id.Value() },
                 { "state", kNames[static_cast<int>(change.m_row.m_state)] },
                 { "incarnation", change.m_row.m_incarnation } });
    }
  }
  for (const auto& [from, share] : m_membership.TakeShares()) {
    m_gateway->ReceiveShare(from, share);
  }
  m_state->Tick(now, StatePeers());
  m_membership.SetDisk(m_state->Disk(), m_state->Group());
  FlushState();
  FlushMembership();
  m_metrics.SetGauge("log_syncs", static_cast<double>(m_state->SyncCount()));
}

void EntryHost::Impl::FlushMembership()
{
  for (MembershipSend& send : m_membership.TakeSends()) {
    if (auto* tables = std::get_if<MembershipTables>(&send.m_message)) {
      SendMessage(send.m_to, std::move(*tables));
      continue;
    }
    std::string payload = Encode(std::get<GossipMessage>(send.m_message));
    std::string data = Seal(m_settings.m_peerKey, m_settings.m_host, payload);
    m_metrics.Add("control_bytes_sent_total", data.size() + kDatagramOverhead);
    m_metrics.Add("gossip_messages_sent_total");
    m_udp.Send(send.m_to, data);
  }
}

void EntryHost::Impl::SendMessage(const Endpoint& aTo,
                                  const PeerMessage& aMessage)
{
  std::string data =
    Seal(m_settings.m_peerKey, m_settings.m_host, Encode(aMessage));
  m_metrics.Add("control_bytes_sent_total", data.size());
  m_link.Send(aTo, std::move(data));
}

void EntryHost::Impl::FlushDispatch()
{
  FlushMembership();
  for (auto& [host, batch] : m_gateway->TakeDispatchSends()) {
    const HostRow* row = m_membership.FindHost(host);
    if (row != nullptr) {
      SendMessage(row->m_peer, std::move(batch));
    }
  }
}

/// Writes and syncs what the state decided, at most once a turn of the loop.
void EntryHost::Impl::FlushState()
{
  if (std::exchange(m_flushPosted, true)) {
    return;
  }
  m_loop.Post([this] {
    m_flushPosted = false;
    m_state->Flush();
    if (!m_state->Failure().ok()) {
      Fail(m_state->Failure());
      return;
    }
    for (const StateEvent& event : m_state->TakeEvents()) {
      WriteLog(LogLevel::Info, event.m_event, { { "detail", event.m_detail } });
    }
    for (const StateSend& send : m_state->TakeSends()) {
      SendMessage(send.m_to, send.m_message);
    }
  });
}

void EntryHost::Impl::OnDatagram(std::string_view aData)
{
  auto sealed = Unseal(m_settings.m_peerKey, aData);
  if (!sealed.ok()) {
    m_metrics.Add("peer_messages_refused_total");
    return;
  }
  auto message = Decode<GossipMessage>(sealed->m_payload);
  if (!message.ok()) {
    m_metrics.Add("peer_messages_refused_total");
    return;
  }
  m_metrics.Add("control_bytes_received_total",
                aData.size() + kDatagramOverhead);
  m_membership.Receive(m_loop.Now(), sealed->m_from, *message);
  FlushMembership();
}

void EntryHost::Impl::OnFrame(std::string_view aData)
{
  auto sealed = Unseal(m_settings.m_peerKey, aData);
  if (!sealed.ok()) {
    m_metrics.Add("peer_messages_refused_total");
    return;
  }
  auto message = Decode<PeerMessage>(sealed->m_payload);
  if (!message.ok()) {
    m_metrics.Add("peer_messages_refused_total");
    return;
  }
  m_metrics.Add("control_bytes_received_total", aData.size());
  Instant now = m_loop.Now();
  if (auto* tables = std::get_if<MembershipTables>(&*message)) {
    m_membership.ReceiveTables(now, sealed->m_from, *tables);
    FlushMembership();
    return;
  }
  if (auto* batch = std::get_if<DispatchBatch>(&*message)) {
    m_gateway->ReceiveDispatch(sealed->m_from, *batch);
    return;
  }
  std::visit(
    [&](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      constexpr bool kIsHandled = std::is_same_v<Body, MembershipTables> ||
                                  std::is_same_v<Body, DispatchBatch>;
      if constexpr (!kIsHandled) {
        m_state->Receive(now, aBody);
      }
    },
    *message);
  FlushState();
}

void EntryHost::Impl::Fail(const absl::Status& aStatus)
{
  m_failure = aStatus;
  WriteLog(LogLevel::Error,
           "stopped",
           { { "reason", std::string(aStatus.message()) } });
  m_loop.Stop();
}

// Shutdown.

void EntryHost::Impl::BeginShutdown()
{
  if (m_gateway->IsShuttingDown()) {
    return;
  }
  WriteLog(LogLevel::Info,
           "shutdown_begins",
           { { "open_requests", m_gateway->OpenRequests() } });
  m_gateway->BeginShutdown();
  m_shutdownTimer = m_loop.RunAfter(m_settings.m_shutdownGrace, [this] {
    m_gateway->StopTakingWork();
    m_http->StopAccepting();
    ContinueShutdown();
  });
}

void EntryHost::Impl::ContinueShutdown()
{
  constexpr Duration kLook = milliseconds(50);
  constexpr Duration kLastWrites = milliseconds(300);
  if (m_gateway->OpenRequests() > 0) {
    m_shutdownTimer = m_loop.RunAfter(kLook, [this] { ContinueShutdown(); });
    return;
  }
  m_membership.Leave(m_loop.Now());
  FlushMembership();
  FlushState();
  m_shutdownTimer = m_loop.RunAfter(kLastWrites, [this] {
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
  return m_impl->m_failure;
}

} // namespace persimmontally
