#include "persimmontally/Membership/Membership.h"

#include <algorithm>
#include <bit>

namespace persimmontally {
/// Period of attempts to reach the seeds while this host has no live peer.
static constexpr Duration kIsolatedReconnectPeriod = milliseconds(200);
/// Time after the first contact with a peer in which tables of others arrive.
static constexpr Duration kJoinTime = seconds(2);
/// Number of pushes of a row that most other hosts receive without gossip.
static constexpr int kPushesOfKnownRows = 3;
/// Minimum time between exchanges of tables with hosts that were unknown.
static constexpr Duration kIntroductionPeriod = seconds(1);
/// Minimum time between requests for the tables of one host.
static constexpr Duration kTablesRequestPeriod = seconds(2);

Membership::Membership(HostRow aSelf,
                       std::vector<Endpoint> aSeeds,
                       MembershipOptions aOptions,
                       uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_seeds(std::move(aSeeds))
  , m_options(aOptions)
  , m_random(aSeed)
  , m_upstreams(m_options.m_upstreamLease)
{
  m_hosts[m_self.m_id] = m_self;
}

// Merging of received rows, and changes made by this host.

void Membership::StoreHost(Instant aNow, const HostRow& aRow)
{
  auto at = m_hosts.find(aRow.m_id);
  HostChange change{ aRow, HostState::Alive, at == m_hosts.end() };
  if (!change.m_isNew) {
    change.m_previousState = at->second.m_state;
  }
  if (change.m_isNew || change.m_previousState != aRow.m_state) {
    m_stateSince[aRow.m_id] = aNow;
  }
  m_hosts[aRow.m_id] = aRow;
  ++m_hostsVersion;
  if (aRow.m_state == HostState::Suspect) {
    m_suspects.insert(aRow.m_id);
  } else {
    m_suspects.erase(aRow.m_id);
  }
  m_hostPushesLeft[aRow.m_id] = RetransmitCount();
  m_changes.push_back(std::move(change));
}

void Membership::StoreSelf()
{
  m_hosts[m_self.m_id] = m_self;
  ++m_hostsVersion;
  m_hostPushesLeft[m_self.m_id] = RetransmitCount();
}

void Membership::RefuteIfSuspected(const HostRow& aRow)
{
  bool suspected = aRow.m_state != HostState::Alive &&
                   m_self.m_state == HostState::Alive &&
                   aRow.m_incarnation >= m_self.m_incarnation;
  bool hasNewerIncarnation = aRow.m_incarnation > m_self.m_incarnation;
  if (!suspected && !hasNewerIncarnation) {
    return;
  }
  m_self.m_incarnation = aRow.m_incarnation + 1;
  StoreSelf();
}

void Membership::MergeHost(Instant aNow, const HostRow& aRow)
{
  if (aRow.m_id == m_self.m_id) {
    RefuteIfSuspected(aRow);
    return;
  }
  auto at = m_hosts.find(aRow.m_id);
  if (at == m_hosts.end()) {
    bool down =
      aRow.m_state == HostState::Dead || aRow.m_state == HostState::Left;
    if (!down) {
      StoreHost(aNow, aRow);
    }
    return;
  }
  const HostRow& known = at->second;
  if (aRow.m_incarnation < known.m_incarnation) {
    return;
  }
  HostRow merged = aRow;
  if (aRow.m_incarnation == known.m_incarnation) {
    merged.m_state = std::max(aRow.m_state, known.m_state);
    merged.m_listsIndex = std::max(aRow.m_listsIndex, known.m_listsIndex);
    merged.m_group = aRow.m_group.empty() ? known.m_group : aRow.m_group;
    merged.m_disk = aRow.m_disk.Empty() ? known.m_disk : aRow.m_disk;
  }
  if (merged == known) {
    return;
  }
  bool hasRestarted = aRow.m_incarnation > known.m_incarnation &&
                      merged.m_state <= HostState::Suspect;
  StoreHost(aNow, merged);
  if (hasRestarted) {
    // Its table may lack all other hosts, if its seeds restarted with it.
    GossipMessage greeting;
    greeting.m_hosts.push_back(m_self);
    SendGossip(merged.m_peer, std::move(greeting));
  }
}

void Membership::SetHostState(Instant aNow, const HostId& aId, HostState aState)
{
  auto at = m_hosts.find(aId);
  if (at == m_hosts.end() || at->second.m_state >= aState) {
    return;
  }
  HostRow row = at->second;
  row.m_state = aState;
  StoreHost(aNow, row);
}

bool Membership::MergeUpstream(Instant aNow, const UpstreamRow& aRow)
{
  if (m_upstreams.Merge(aNow, aRow) != UpstreamMergeResult::Changed) {
    return false;
  }
  m_upstreamPushesLeft[aRow.m_id] = RetransmitCount();
  return true;
}

UpstreamMergeResult Membership::Announce(Instant aNow, const UpstreamRow& aRow)
{
  UpstreamMergeResult result = m_upstreams.Merge(aNow, aRow);
  if (result == UpstreamMergeResult::Changed) {
    m_upstreamPushesLeft[aRow.m_id] = RetransmitCount();
    SendUpstreamUpdate(aRow.m_id);
  }
  if (result != UpstreamMergeResult::Stale) {
    m_pendingRenewals.insert(aRow.m_id);
  }
  return result;
}

bool Membership::Withdraw(Instant aNow, const UpstreamId& aId)
{
  const UpstreamEntry* entry = m_upstreams.Find(aId);
  if (entry == nullptr) {
    return false;
  }
  if (entry->m_row.m_state != UpstreamState::Gone) {
    m_upstreams.MarkGone(aNow, aId);
    m_upstreamPushesLeft[aId] = RetransmitCount();
    SendUpstreamUpdate(aId);
  }
  return true;
}

void Membership::SendShare(const HostId& aTo, const ShareMessage& aMessage)
{
  const HostRow* row = FindHost(aTo);
  if (row == nullptr) {
    return;
  }
  GossipMessage message;
  message.m_shares.push_back(aMessage);
  SendGossip(row->m_peer, std::move(message));
}

void Membership::SetListsIndex(uint64_t aIndex)
{
  if (aIndex <= m_self.m_listsIndex) {
    return;
  }
  m_self.m_listsIndex = aIndex;
  StoreSelf();
}

void Membership::SetDisk(const DiskId& aDisk, const std::string& aGroup)
{
  if (m_self.m_disk == aDisk && m_self.m_group == aGroup) {
    return;
  }
  m_self.m_disk = aDisk;
  m_self.m_group = aGroup;
  StoreSelf();
}

void Membership::Leave(Instant)
{
  m_self.m_state = HostState::Left;
  m_hosts[m_self.m_id] = m_self;
  for (const auto& [id, row] : m_hosts) {
    if (id == m_self.m_id || row.m_state != HostState::Alive) {
      continue;
    }
    GossipMessage message;
    message.m_hosts.push_back(m_self);
    SendGossip(row.m_peer, std::move(message));
  }
}

// Handling of gossip messages from other hosts.

void Membership::Receive(Instant aNow,
                         const HostId& aFrom,
                         const GossipMessage& aMessage)
{
  bool isUnknown = FindHost(aFrom) == nullptr;
  for (const HostRow& row : aMessage.m_hosts) {
    MergeHost(aNow, row);
  }
  if (isUnknown && FindHost(aFrom) != nullptr && aNow >= m_nextIntroduction) {
    // One of the two has restarted, and its table may lack other hosts too.
    m_nextIntroduction = aNow + kIntroductionPeriod;
    SendTables(FindHost(aFrom)->m_peer, true);
  }
  for (const UpstreamRow& row : aMessage.m_upstreams) {
    MergeUpstream(aNow, row);
  }
  for (const PoisonRow& row : aMessage.m_poison) {
    MergePoison(aNow, row);
  }
  for (const ShareMessage& share : aMessage.m_shares) {
    m_shares.emplace_back(aFrom, share);
  }
  ApplyRenewals(aNow, aFrom, aMessage);
  const HostRow* from = FindHost(aFrom);
  if (from == nullptr) {
    return;
  }
  switch (aMessage.m_kind) {
    case GossipKind::Probe: {
      GossipMessage reply;
      reply.m_kind = GossipKind::Acknowledge;
      reply.m_sequence = aMessage.m_sequence;
      if (from->m_state != HostState::Alive) {
        // Lets the probing host refute its suspicion or death.
        reply.m_hosts.push_back(*from);
      }
      SendGossip(from->m_peer, std::move(reply));
      break;
    }
    case GossipKind::Acknowledge: {
      if (m_probe && m_probe->m_sequence == aMessage.m_sequence) {
        m_probe.reset();
      }
      auto relayed = m_relayedProbes.find(aMessage.m_sequence);
      if (relayed == m_relayedProbes.end()) {
        break;
      }
      const HostRow* requester = FindHost(relayed->second.m_requester);
      if (requester != nullptr) {
        GossipMessage reply;
        reply.m_kind = GossipKind::Acknowledge;
        reply.m_sequence = relayed->second.m_requesterSequence;
        SendGossip(requester->m_peer, std::move(reply));
      }
      m_relayedProbes.erase(relayed);
      break;
    }
    case GossipKind::ProbeRequest: {
      const HostRow* target = FindHost(aMessage.m_target);
      if (target == nullptr) {
        break;
      }
      GossipMessage probe;
      probe.m_kind = GossipKind::Probe;
      probe.m_sequence = m_nextSequence++;
      probe.m_hosts.push_back(m_self);
      m_relayedProbes[probe.m_sequence] = { aFrom, aMessage.m_sequence, aNow };
      SendGossip(target->m_peer, std::move(probe));
      break;
    }
    case GossipKind::Relay:
      ForwardRelay(aMessage);
      break;
    case GossipKind::Push:
      break;
  }
}

void Membership::ApplyRenewals(Instant aNow,
                               const HostId& aFrom,
                               const GossipMessage& aMessage)
{
  bool missing = false;
  for (const UpstreamRenewal& renewal : aMessage.m_renewals) {
    missing = !m_upstreams.Renew(aNow, renewal) || missing;
  }
  const HostRow* from = FindHost(aFrom);
  if (!missing || from == nullptr) {
    return;
  }
  Instant& requestedAt = m_tablesRequestedAt[aFrom];
  if (requestedAt == Instant() || requestedAt + kTablesRequestPeriod <= aNow) {
    requestedAt = aNow;
    SendTables(from->m_peer, true);
  }
}

void Membership::ForwardRelay(const GossipMessage& aMessage)
{
  GossipMessage copy;
  copy.m_kind = GossipKind::Push;
  copy.m_renewals = aMessage.m_renewals;
  copy.m_poison = aMessage.m_poison;
  for (const HostId& id : AliveHosts(true)) {
    SendGossip(m_hosts.at(id).m_peer, copy);
  }
}

void Membership::ReceiveTables(Instant aNow,
                               const HostId& aFrom,
                               const MembershipTables& aTables)
{
  // A host that joins learns rows that most others have already, and an update
  // is sent to all. Hosts that it does not reach learn the row by gossip and
  // push it as often as any change.
  if (AlivePeers().empty()) {
    m_joinedAt = aNow;
  }
  bool isJoining = aNow < m_joinedAt + kJoinTime;
  auto hostPushesLeft = m_hostPushesLeft;
  auto upstreamPushesLeft = m_upstreamPushesLeft;
  auto limitPushes = [](auto& aPushesLeft, const auto& aBefore) {
    for (auto& [id, left] : aPushesLeft) {
      if (!aBefore.contains(id)) {
        left = std::min(left, kPushesOfKnownRows);
      }
    }
  };
  for (const HostRow& row : aTables.m_hosts) {
    MergeHost(aNow, row);
  }
  std::vector<UpstreamRow> changed;
  for (const UpstreamRow& row : aTables.m_upstreams) {
    if (MergeUpstream(aNow, row)) {
      changed.push_back(row);
    }
  }
  if (aTables.m_kind == TablesKind::RelayedUpdate) {
    ForwardUpstreams(changed, aFrom);
  }
  for (const PoisonRow& row : aTables.m_poison) {
    MergePoison(aNow, row);
  }
  if (isJoining || aTables.m_kind != TablesKind::Full) {
    limitPushes(m_hostPushesLeft, hostPushesLeft);
    limitPushes(m_upstreamPushesLeft, upstreamPushesLeft);
  }
  const HostRow* from = FindHost(aFrom);
  if (aTables.m_isReplyRequested && from != nullptr) {
    SendTables(from->m_peer, false);
  }
}

// Periodic work: probes, suspicions, expiry of rows and exchange of tables.

void Membership::Tick(Instant aNow)
{
  RunProbe(aNow);
  AdvanceSuspicions(aNow);
  if (aNow >= m_nextPush) {
    PushChanges();
    m_nextPush =
      aNow + (m_upstreamPushesLeft.empty() ? m_options.m_pushPeriod
                                           : m_options.m_upstreamPushPeriod);
  }
  if (aNow >= m_nextRenewal) {
    m_nextRenewal = aNow + m_options.m_renewalPeriod;
    PushRenewals();
    RemoveExpiredRows(aNow);
  }
  if (aNow >= m_nextReconnect) {
    // Without live peers a host cannot do its work, so it reconnects sooner.
    bool isIsolated = AlivePeers().empty();
    m_nextReconnect = aNow + (isIsolated ? kIsolatedReconnectPeriod
                                         : m_options.m_reconnectPeriod);
    Reconnect(aNow);
  }
  if (aNow >= m_nextExchange) {
    m_nextExchange = aNow + m_options.m_exchangePeriod;
    ExchangeTables(aNow);
  }
}

void Membership::RunProbe(Instant aNow)
{
  if (m_probe && !m_probe->m_isIndirect &&
      aNow >= m_probe->m_sentAt + m_options.m_acknowledgeTimeout) {
    m_probe->m_isIndirect = true;
    std::vector<HostId> relays = AlivePeers();
    std::erase(relays, m_probe->m_target);
    std::shuffle(relays.begin(), relays.end(), m_random);
    size_t count = std::min<size_t>(relays.size(), m_options.m_indirectProbes);
    for (size_t i = 0; i < count; ++i) {
      GossipMessage request;
      request.m_kind = GossipKind::ProbeRequest;
      request.m_sequence = m_probe->m_sequence;
      request.m_target = m_probe->m_target;
      SendGossip(m_hosts.at(relays[i]).m_peer, std::move(request));
    }
  }
  if (m_probe && m_probe->m_isIndirect &&
      aNow >= m_probe->m_sentAt + m_options.m_acknowledgeTimeout +
                m_options.m_indirectTimeout) {
    HostId target = m_probe->m_target;
    m_probe.reset();
    SetHostState(aNow, target, HostState::Suspect);
  }
  if (aNow >= m_nextProbe && !m_probe) {
    m_nextProbe = aNow + m_options.m_probePeriod;
    StartProbe(aNow);
  }
}

void Membership::StartProbe(Instant aNow)
{
  while (!m_probeOrder.empty()) {
    HostId target = m_probeOrder.back();
    m_probeOrder.pop_back();
    const HostRow* row = FindHost(target);
    if (row == nullptr || row->m_state > HostState::Suspect) {
      continue;
    }
    GossipMessage probe;
    probe.m_kind = GossipKind::Probe;
    probe.m_sequence = m_nextSequence++;
    // The table of a host that has restarted may lack this one.
    probe.m_hosts.push_back(m_self);
    if (row->m_state == HostState::Suspect) {
      probe.m_hosts.push_back(*row);
    }
    m_probe = ProbeState{ target, probe.m_sequence, aNow, false };
    SendGossip(row->m_peer, std::move(probe));
    return;
  }
  for (const auto& [id, row] : m_hosts) {
    if (id != m_self.m_id && row.m_state <= HostState::Suspect) {
      m_probeOrder.push_back(id);
    }
  }
  std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
}

void Membership::AdvanceSuspicions(Instant aNow)
{
  std::vector<HostId> expired;
  for (const HostId& id : m_suspects) {
    if (aNow >= m_stateSince[id] + m_options.m_suspicionTimeout) {
      expired.push_back(id);
    }
  }
  for (const HostId& id : expired) {
    SetHostState(aNow, id, HostState::Dead);
  }
  std::erase_if(m_relayedProbes, [&](const auto& aItem) {
    return aNow > aItem.second.m_sentAt + seconds(2);
  });
}

void Membership::RemoveExpiredRows(Instant aNow)
{
  m_upstreams.RemoveExpired(aNow);
  size_t removed = std::erase_if(m_hosts, [&](const auto& aItem) {
    return aItem.second.m_state > HostState::Suspect &&
           aItem.first != m_self.m_id &&
           m_stateSince[aItem.first] + m_options.m_hostRetention < aNow;
  });
  m_hostsVersion += removed > 0 ? 1 : 0;
  std::erase_if(m_poison, [&](const auto& aItem) {
    return m_poisonTimes[aItem.first].m_changedAt +
             m_options.m_poisonRetention <
           aNow;
  });
  std::erase_if(m_poisonTimes, [&](const auto& aItem) {
    return !m_poison.contains(aItem.first);
  });
}

/// Sends tables to one random dead host and to every seed that is not a member,
/// so that both sides of a healed network partition merge without an operator.
void Membership::Reconnect(Instant)
{
  std::vector<HostId> dead;
  std::set<Endpoint> known;
  for (const auto& [id, row] : m_hosts) {
    known.insert(row.m_peer);
    if (row.m_state == HostState::Dead) {
      dead.push_back(id);
    }
  }
  std::vector<Endpoint> targets;
  if (!dead.empty()) {
    targets.push_back(m_hosts.at(PickRandom(dead)).m_peer);
  }
  for (const Endpoint& seed : m_seeds) {
    if (!known.contains(seed)) {
      targets.push_back(seed);
    }
  }
  for (const Endpoint& target : targets) {
    SendTables(target, true);
  }
}

void Membership::ExchangeTables(Instant)
{
  std::vector<HostId> hosts = AlivePeers();
  if (!hosts.empty()) {
    SendTables(m_hosts.at(PickRandom(hosts)).m_peer, true);
  }
}

// Lookup of hosts and of those that are alive.

const HostRow* Membership::FindHost(const HostId& aId) const
{
  auto at = m_hosts.find(aId);
  return at == m_hosts.end() ? nullptr : &at->second;
}

bool Membership::IsAlive(const HostId& aId) const
{
  const HostRow* row = FindHost(aId);
  return row != nullptr && row->m_state <= HostState::Suspect;
}

std::optional<Instant> Membership::DownSince(const HostId& aId) const
{
  const HostRow* row = FindHost(aId);
  auto since = m_stateSince.find(aId);
  if (row == nullptr || row->m_state <= HostState::Suspect ||
      since == m_stateSince.end()) {
    return std::nullopt;
  }
  return since->second;
}

std::vector<HostId> Membership::AliveHosts(bool aOwnDataCentre) const
{
  std::vector<HostId> hosts;
  for (const auto& [id, row] : m_hosts) {
    bool own = row.m_dataCentre == m_self.m_dataCentre;
    if (id != m_self.m_id && row.m_state <= HostState::Suspect &&
        own == aOwnDataCentre) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

std::map<DataCentreId, std::vector<HostId>> Membership::AliveRemotePeers() const
{
  std::map<DataCentreId, std::vector<HostId>> hosts;
  for (const HostId& id : AliveHosts(false)) {
    hosts[m_hosts.at(id).m_dataCentre].push_back(id);
  }
  return hosts;
}

std::vector<HostId> Membership::AlivePeers() const
{
  std::vector<HostId> hosts = AliveHosts(true);
  for (const auto& [dataCentre, peers] : AliveRemotePeers()) {
    hosts.insert(hosts.end(), peers.begin(), peers.end());
  }
  return hosts;
}

HostId Membership::PickRandom(const std::vector<HostId>& aHosts)
{
  std::uniform_int_distribution<size_t> pick(0, aHosts.size() - 1);
  return aHosts[pick(m_random)];
}

} // namespace persimmontally
