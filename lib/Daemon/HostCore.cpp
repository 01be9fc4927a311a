#include "HostCore.h"

#include "HostResources.h"

#include "persimmontally/Routing/CrashEvidence.h"
#include "persimmontally/State/PoisonStore.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Log.h"

#include <chrono>

namespace persimmontally {

/// Tick period of membership and the replicated state on a host with a disk,
/// which may be a member of the Raft group.
static constexpr Duration kControlPeriod = milliseconds(20);
/// The same on a host without a disk. The shortest period of membership is 200
/// ms, and received lists are put in force without waiting for a tick.
static constexpr Duration kControlPeriodWithoutDisk = milliseconds(100);
/// Delay between attempts to open the data folder again after a disk failure.
static constexpr Duration kDiskRetryDelay = milliseconds(500);
/// Time without a newer catalog that is known to exist after which that is
/// logged; pulls are repeated each 200 ms.
static constexpr Duration kCatalogBehindTime = seconds(1);
/// Minimum time between two writes of the quarantined rows.
static constexpr Duration kPoisonStorePeriod = milliseconds(500);
/// Time until a failed write of them, as on a full disk, is tried again.
static constexpr Duration kPoisonRetryPeriod = seconds(5);
/// Bytes of the IPv4 and UDP headers of a datagram, which the metrics of
/// control traffic include.
static constexpr uint64_t kDatagramOverheadBytes = 28;

static uint64_t WallClockMs()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
    std::chrono::duration_cast<milliseconds>(now).count());
}

static HostRow LocalHostRow(const Settings& aSettings)
{
  HostRow row;
  row.m_id = aSettings.m_host;
  row.m_dataCentre = aSettings.m_dataCentre;
  row.m_region = aSettings.m_region;
  row.m_peer = aSettings.m_peerListen;
  row.m_isEntry =
    !IsRoutedHost(aSettings) || aSettings.m_callersListen.m_port != 0;
  // The wall clock may have been set back since an earlier start. A host that
  // receives a later incarnation of itself therefore raises its own beyond it.
  row.m_incarnation = WallClockMs();
  return row;
}

static SpreadOptions MakeSpreadOptions(const Settings& aSettings)
{
  SpreadOptions options;
  options.m_host = aSettings.m_host;
  options.m_peer = aSettings.m_peerListen;
  options.m_dataCentre = aSettings.m_dataCentre;
  options.m_region = aSettings.m_region;
  options.m_isSource = !aSettings.m_dataDir.empty();
  return options;
}

static StateOptions MakeStateOptions(const Settings& aSettings)
{
  StateOptions options;
  options.m_host = aSettings.m_host;
  options.m_peer = aSettings.m_peerListen;
  options.m_bootstrapHosts = aSettings.m_bootstrapHosts;
  options.m_voters = static_cast<size_t>(aSettings.m_voters);
  options.m_replaceVoterAfter = aSettings.m_replaceVoterAfter;
  options.m_orderRetention = aSettings.m_orderRetention;
  options.m_pushesLists = !IsRoutedHost(aSettings);
  options.m_pullsLists = !IsRoutedHost(aSettings) ||
                         !aSettings.m_dataDir.empty() ||
                         aSettings.m_controlListen.m_port != 0;
  if (aSettings.m_foundGroup && !aSettings.m_dataDir.empty()) {
    options.m_bootstrapPeers = aSettings.m_seeds;
  }
  return options;
}

HostCore::HostCore(EventLoop& aLoop,
                   Settings aSettings,
                   MembershipOptions aOptions)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_udp(aLoop)
  , m_link(aLoop)
  , m_peerGuard(std::make_shared<CallerGuard>(
      aLoop,
      MakePeerBudgetOptions(FindHostResources(m_settings)),
      &m_metrics,
      "peer"))
  , m_membership(LocalHostRow(m_settings),
                 m_settings.m_seeds,
                 aOptions,
                 RandomSeed())
  , m_catalogSpread(MakeSpreadOptions(m_settings))
{
}

absl::Status HostCore::OpenState()
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
  RestorePoison();
  return absl::OkStatus();
}

void HostCore::RestorePoison()
{
  if (m_settings.m_dataDir.empty()) {
    return;
  }
  auto rows = LoadPoisonRows(m_settings.m_dataDir);
  if (!rows.ok()) {
    WriteLog(LogLevel::Warning,
             "poison_unreadable",
             { { "reason", std::string(rows.status().message()) } });
    return;
  }
  for (const PoisonRow& row : *rows) {
    m_membership.ReportPoison(m_loop.Now(), row);
  }
  m_storedPoison = *std::move(rows);
}

void HostCore::StorePoison(Instant aNow)
{
  uint64_t version = m_membership.PoisonVersion();
  bool isDue = version != m_storedPoisonVersion && aNow >= m_nextPoisonStore;
  if (m_settings.m_dataDir.empty() || m_isDiskFailed || !isDue) {
    return;
  }
  std::vector<PoisonRow> rows;
  for (const auto& [fingerprint, row] : m_membership.Poison()) {
    if (row.m_strikes >= CrashEvidence::kQuarantineStrikes) {
      rows.push_back(row);
    }
  }
  absl::Status stored = rows == m_storedPoison
                          ? absl::OkStatus()
                          : StorePoisonRows(m_settings.m_dataDir, rows);
  if (!stored.ok()) {
    m_nextPoisonStore = aNow + kPoisonRetryPeriod;
    WriteLog(LogLevel::Warning,
             "poison_not_stored",
             { { "reason", std::string(stored.message()) } });
    return;
  }
  m_storedPoisonVersion = version;
  m_nextPoisonStore = aNow + kPoisonStorePeriod;
  m_storedPoison = std::move(rows);
}

absl::Status HostCore::Start(PeerHandler aHandler)
{
  m_onMessage = std::move(aHandler);
  absl::Status opened = m_udp.Open(
    m_settings.m_peerListen,
    [this](const Endpoint&, std::string_view aData) { OnDatagram(aData); });
  m_link.SetGuard(m_peerGuard);
  if (opened.ok()) {
    opened = m_link.Open(m_settings.m_peerListen,
                         [this](std::string_view aData) { OnFrame(aData); });
  }
  if (!opened.ok()) {
    return opened;
  }
  m_controlTimer = m_loop.RunEvery(
    m_settings.m_dataDir.empty() ? kControlPeriodWithoutDisk : kControlPeriod,
    [this] { ControlTick(); });
  return absl::OkStatus();
}

std::vector<StatePeer> HostCore::StatePeers() const
{
  std::vector<StatePeer> peers;
  for (const auto& [id, row] : m_membership.Hosts()) {
    StatePeer peer;
    peer.m_host = id;
    peer.m_dataCentre = row.m_dataCentre;
    peer.m_peer = row.m_peer;
    peer.m_disk = row.m_disk;
    peer.m_group = row.m_group;
    peer.m_listsIndex = row.m_listsIndex;
    peer.m_isAlive = row.m_state <= HostState::Suspect;
    peer.m_isSuspected = row.m_state == HostState::Suspect;
    peer.m_downSince = m_membership.DownSince(id);
    peers.push_back(std::move(peer));
  }
  return peers;
}

std::vector<SpreadPeer> HostCore::SpreadPeers() const
{
  std::vector<SpreadPeer> peers;
  for (const auto& [id, row] : m_membership.Hosts()) {
    if (id == m_settings.m_host || row.m_state > HostState::Suspect) {
      continue;
    }
    SpreadPeer peer;
    peer.m_host = id;
    peer.m_dataCentre = row.m_dataCentre;
    peer.m_region = row.m_region;
    peer.m_peer = row.m_peer;
    peer.m_isSource = !row.m_disk.Empty();
    peer.m_index = row.m_listsIndex;
    peers.push_back(std::move(peer));
  }
  return peers;
}

void HostCore::LogHostChange(const HostChange& aChange)
{
  static constexpr const char* kNames[] = {
    "alive", "suspect", "dead", "left"
  };
  if (!aChange.m_isNew && aChange.m_previousState == aChange.m_row.m_state) {
    return;
  }
  WriteLog(
    LogLevel::Info,
    "host_changed",
    { { "peer", aChange.m_row.m_id.Value() },
      { "before",
        aChange.m_isNew ? "unknown"
                        : kNames[static_cast<int>(aChange.m_previousState)] },
      { "state", kNames[static_cast<int>(aChange.m_row.m_state)] },
      { "incarnation", aChange.m_row.m_incarnation } });
}

void HostCore::ControlTick()
{
  Instant now = m_loop.Now();
  m_membership.Tick(now);
  for (const HostChange& change : m_membership.TakeHostChanges()) {
    LogHostChange(change);
    if (m_onHostChange) {
      m_onHostChange(change);
    }
  }
  if (m_onControlTick) {
    m_onControlTick();
  }
  if (std::exchange(m_statePeersVersion, m_membership.HostsVersion()) !=
      m_membership.HostsVersion()) {
    m_state->SetPeers(StatePeers());
    m_catalogSpread.SetPeers(SpreadPeers());
  }
  m_state->Tick(now);
  m_catalogSpread.Tick(now);
  CheckCatalogAge(now);
  StorePoison(now);
  FlushCatalog();
  m_membership.SetDisk(m_state->Disk(), m_state->Group());
  FlushState();
  FlushMembership();
  m_metrics.SetGauge("lost_log_lines", static_cast<double>(LostLogLines()));
  const SpreadCounters& spread = m_catalogSpread.Counters();
  m_metrics.SetGauge("catalog_pulls", static_cast<double>(spread.m_pullsSent));
  m_metrics.SetGauge("catalog_pulls_of_unknown_hosts",
                     static_cast<double>(spread.m_unknownPulls));
  m_metrics.SetGauge("catalog_updates_of_other_groups",
                     static_cast<double>(spread.m_foreignUpdates));
  m_metrics.SetGauge("log_syncs", static_cast<double>(m_state->SyncCount()));
}

void HostCore::FlushMembership()
{
  uint64_t upstreams = m_membership.Upstreams().Version();
  if (std::exchange(m_upstreamsVersion, upstreams) != upstreams &&
      m_onUpstreamsChange) {
    m_onUpstreamsChange();
  }
  for (MembershipSend& send : m_membership.TakeSends()) {
    if (auto* tables = std::get_if<MembershipTables>(&send.m_message)) {
      Send(send.m_to, std::move(*tables));
      continue;
    }
    std::string payload = Encode(std::get<GossipMessage>(send.m_message));
    std::string data = Seal(m_settings.m_peerKey, m_settings.m_host, payload);
    m_metrics.Add("control_bytes_sent_total",
                  data.size() + kDatagramOverheadBytes);
    m_metrics.Add("gossip_messages_sent_total");
    m_udp.Send(send.m_to, data);
  }
}

void HostCore::Send(const std::vector<Endpoint>& aTo,
                    const PeerMessage& aMessage)
{
  std::string data =
    Seal(m_settings.m_peerKey, m_settings.m_host, Encode(aMessage));
  m_metrics.Add("control_bytes_sent_total", data.size() * aTo.size());
  for (const Endpoint& to : aTo) {
    m_link.Send(to, data);
  }
}

void HostCore::PublishCatalog(uint64_t aVersion,
                              std::vector<CatalogItem> aItems)
{
  m_catalogSpread.Publish(m_loop.Now(),
                          m_state->Plans().m_group,
                          m_state->Plans().m_index,
                          aVersion,
                          std::move(aItems));
  FlushCatalog();
}

void HostCore::FlushCatalog()
{
  for (const SpreadSend& send : m_catalogSpread.TakeSends()) {
    Send(send.m_to, send.m_message);
  }
}

void HostCore::ReceiveCatalog(const CatalogUpdate& aUpdate)
{
  SpreadCounters before = m_catalogSpread.Counters();
  if (m_catalogSpread.Receive(m_loop.Now(), aUpdate) && m_onCatalog) {
    m_onCatalog(aUpdate);
  }
  const SpreadCounters& after = m_catalogSpread.Counters();
  if (after.m_mismatches > before.m_mismatches) {
    WriteLog(LogLevel::Warning,
             "catalog_mismatch",
             { { "base", aUpdate.m_baseIndex },
               { "log_index", aUpdate.m_index },
               { "version", aUpdate.m_version } });
    m_metrics.Add("catalog_mismatches_total");
  }
  if (after.m_foreignUpdates > before.m_foreignUpdates) {
    WriteLog(LogLevel::Warning,
             "catalog_refused",
             { { "group", aUpdate.m_group },
               { "log_index", aUpdate.m_index },
               { "version", aUpdate.m_version } });
  }
  FlushCatalog();
}

/// Logs once that this host has known for `kCatalogBehindTime` of a newer
/// catalog that it does not get.
void HostCore::CheckCatalogAge(Instant aNow)
{
  auto since = m_catalogSpread.BehindSince();
  bool isBehind = since && aNow >= *since + kCatalogBehindTime;
  if (isBehind == std::exchange(m_isCatalogBehind, isBehind)) {
    return;
  }
  WriteLog(isBehind ? LogLevel::Warning : LogLevel::Info,
           isBehind ? "catalog_behind" : "catalog_caught_up",
           { { "log_index", m_catalogSpread.Index() },
             { "newest", m_catalogSpread.NewestIndex() },
             { "pulls", m_catalogSpread.Counters().m_pullsSent } });
}

void HostCore::FlushState()
{
  if (std::exchange(m_isFlushPosted, true)) {
    return;
  }
  m_loop.Post([this] {
    m_isFlushPosted = false;
    m_state->Flush();
    if (!m_state->Failure().ok()) {
      OnDiskFailed();
      return;
    }
    for (const StateEvent& event : m_state->TakeEvents()) {
      WriteLog(LogLevel::Info, event.m_event, { { "detail", event.m_detail } });
    }
    for (const StateSend& send : m_state->TakeSends()) {
      Send(send.m_to, send.m_message);
    }
  });
}

void HostCore::OnDatagram(std::string_view aData)
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
                aData.size() + kDatagramOverheadBytes);
  m_membership.Receive(m_loop.Now(), sealed->m_from, *message);
  FlushMembership();
}

void HostCore::OnFrame(std::string_view aData)
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
  if (const auto* update = std::get_if<CatalogUpdate>(&*message)) {
    ReceiveCatalog(*update);
    return;
  }
  if (const auto* pull = std::get_if<CatalogPull>(&*message)) {
    m_catalogSpread.Receive(now, *pull);
    FlushCatalog();
    return;
  }
  std::visit(
    [&](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      constexpr bool kIsState = requires
      {
        m_state->Receive(now, aBody);
      };
      if constexpr (kIsState) {
        m_state->Receive(now, aBody);
        FlushState();
        if (m_onControlTick) {
          m_onControlTick();
        }
      } else if constexpr (!std::is_same_v<Body, MembershipTables>) {
        m_onMessage(sealed->m_from, *message);
      }
    },
    *message);
}

void HostCore::Leave()
{
  m_membership.Leave(m_loop.Now());
  FlushMembership();
  FlushState();
}

void HostCore::Reload(const Settings& aSettings)
{
  WriteLog(LogLevel::Info,
           "settings_reloaded",
           { { "seeds", aSettings.m_seeds.size() } });
  m_settings.m_seeds = aSettings.m_seeds;
  SetLogLevel(aSettings.m_logLevel);
  m_membership.SetSeeds(aSettings.m_seeds);
}

/// Closes the log store and schedules an attempt to open it again. A disk that
/// is full or fails writes may recover: until then the host keeps serving but
/// takes no part in the Raft group, and it rejoins from what is on the disk.
void HostCore::OnDiskFailed()
{
  if (std::exchange(m_isDiskFailed, true)) {
    return;
  }
  WriteLog(LogLevel::Error,
           "disk_failed",
           { { "reason", std::string(m_state->Failure().message()) } });
  m_metrics.Add("disk_failures_total");
  m_state->CloseStore();
  m_reopenTimer = m_loop.RunAfter(kDiskRetryDelay, [this] { ReopenState(); });
}

void HostCore::ReopenState()
{
  auto opened = OpenFileLogStore(m_settings.m_dataDir);
  if (!opened.ok()) {
    m_reopenTimer = m_loop.RunAfter(kDiskRetryDelay, [this] { ReopenState(); });
    return;
  }
  m_isDiskFailed = false;
  m_state->Recover(*std::move(opened));
  WriteLog(
    LogLevel::Info,
    "disk_recovered",
    { { "disk", m_state->Disk().Value() }, { "group", m_state->Group() } });
}

void HostCore::Fail(const absl::Status& aStatus)
{
  m_failure = aStatus;
  WriteLog(LogLevel::Error,
           "stopped",
           { { "reason", std::string(aStatus.message()) } });
  m_loop.Stop();
}

} // namespace persimmontally
