// Messages that membership sends to peers.

#include "persimmontally/Membership/Membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace persimmontally {

/// Rows per datagram, so that it stays below 1,280 bytes, a path MTU that is
/// commonly available.
static constexpr size_t kHostsPerMessage = 3;
static constexpr size_t kUpstreamsPerMessage = 2;
/// The same in a message without rows of hosts.
static constexpr size_t kUpstreamsAlonePerMessage = 5;
static constexpr size_t kRenewalsPerMessage = 18;
static constexpr size_t kPoisonPerMessage = 1;

/// Number of peers up to which all receive an urgent update directly. In a
/// larger fleet, those in other data centres receive it through a relay.
static constexpr size_t kMaxDirectTargets = 128;
/// Pushes of a changed row beyond the logarithm of the number of hosts: each
/// further one divides the hosts that the row does not reach by about e.
static constexpr int kExtraPushes = 4;

int Membership::RetransmitCount() const
{
  return kExtraPushes + static_cast<int>(std::bit_width(m_hosts.size() + 1));
}

void Membership::FillChanges(GossipMessage& aMessage)
{
  // The rows with the most pushes left are the latest changes, or those that
  // the fewest hosts have.
  auto drain = [](auto& aPushesLeft, size_t aLimit, auto aAdd) {
    std::vector<std::pair<int, decltype(aPushesLeft.begin())>> rows;
    for (auto at = aPushesLeft.begin(); at != aPushesLeft.end(); ++at) {
      rows.emplace_back(-at->second, at);
    }
    size_t count = std::min(aLimit, rows.size());
    std::partial_sort(rows.begin(),
                      rows.begin() + static_cast<ptrdiff_t>(count),
                      rows.end(),
                      [](const auto& aLeft, const auto& aRight) {
                        return std::tie(aLeft.first, aLeft.second->first) <
                               std::tie(aRight.first, aRight.second->first);
                      });
    for (size_t i = 0; i < count; ++i) {
      auto at = rows[i].second;
      aAdd(at->first);
      if (--at->second <= 0) {
        aPushesLeft.erase(at);
      }
    }
  };
  drain(m_hostPushesLeft, kHostsPerMessage, [&](const HostId& aId) {
    if (const HostRow* row = FindHost(aId)) {
      aMessage.m_hosts.push_back(*row);
    }
  });
  size_t upstreams =
    aMessage.m_hosts.empty() ? kUpstreamsAlonePerMessage : kUpstreamsPerMessage;
  drain(m_upstreamPushesLeft, upstreams, [&](const UpstreamId& aId) {
    if (const UpstreamEntry* entry = m_upstreams.Find(aId)) {
      aMessage.m_upstreams.push_back(entry->m_row);
    }
  });
  drain(m_poisonPushesLeft, kPoisonPerMessage, [&](uint64_t aFingerprint) {
    auto at = m_poison.find(aFingerprint);
    if (at != m_poison.end()) {
      aMessage.m_poison.push_back(at->second);
    }
  });
}

void Membership::PushChanges()
{
  if (m_hostPushesLeft.empty() && m_upstreamPushesLeft.empty() &&
      m_poisonPushesLeft.empty()) {
    return;
  }
  std::vector<HostId> targets = AliveHosts(true);
  std::shuffle(targets.begin(), targets.end(), m_random);
  if (targets.size() > static_cast<size_t>(m_options.m_localFanout)) {
    targets.resize(m_options.m_localFanout);
  }
  auto remotePeers = AliveRemotePeers();
  if (!remotePeers.empty()) {
    std::uniform_int_distribution<ptrdiff_t> pick(
      0, static_cast<ptrdiff_t>(remotePeers.size()) - 1);
    auto dataCentre = std::next(remotePeers.begin(), pick(m_random));
    targets.push_back(PickRandom(dataCentre->second));
  }
  for (const HostId& id : targets) {
    if (m_hostPushesLeft.empty() && m_upstreamPushesLeft.empty() &&
        m_poisonPushesLeft.empty()) {
      return;
    }
    GossipMessage message;
    FillChanges(message);
    SendGossip(m_hosts.at(id).m_peer, std::move(message));
  }
}

void Membership::PushRenewals()
{
  std::vector<UpstreamRenewal> renewals;
  for (const UpstreamId& id : m_pendingRenewals) {
    const UpstreamEntry* entry = m_upstreams.Find(id);
    if (entry != nullptr) {
      const UpstreamRow& row = entry->m_row;
      renewals.push_back(
        { id, row.m_incarnation, row.m_sequence, row.m_state, row.m_load });
    }
  }
  m_pendingRenewals.clear();
  auto remotePeers = AliveRemotePeers();
  for (size_t start = 0; start < renewals.size();
       start += kRenewalsPerMessage) {
    size_t end = std::min(start + kRenewalsPerMessage, renewals.size());
    GossipMessage message;
    message.m_renewals.assign(renewals.begin() + static_cast<ptrdiff_t>(start),
                              renewals.begin() + static_cast<ptrdiff_t>(end));
    for (const HostId& id : AliveHosts(true)) {
      SendGossip(m_hosts.at(id).m_peer, message);
    }
    message.m_kind = GossipKind::Relay;
    for (const auto& [dataCentre, hosts] : remotePeers) {
      SendGossip(m_hosts.at(PickRandom(hosts)).m_peer, message);
    }
  }
}

// Urgent updates, sent without waiting for the next push.

/// Sends a changed row ahead of the next push, since an upstream that is being
/// reclaimed has less time left than the rounds of gossip take. Hosts that a
/// relay does not forward it to get the row by gossip.
void Membership::SendUpstreamUpdate(const UpstreamId& aId)
{
  MembershipTables update;
  update.m_kind = TablesKind::Update;
  update.m_upstreams.push_back(m_upstreams.Find(aId)->m_row);
  std::vector<HostId> targets = AlivePeers();
  if (targets.size() > kMaxDirectTargets) {
    targets = AliveHosts(true);
    MembershipTables relayed = update;
    relayed.m_kind = TablesKind::RelayedUpdate;
    for (const HostId& id : PickRelays()) {
      m_sends.push_back({ m_hosts.at(id).m_peer, relayed });
    }
  }
  for (const HostId& id : targets) {
    m_sends.push_back({ m_hosts.at(id).m_peer, update });
  }
}

void Membership::ForwardUpstreams(const std::vector<UpstreamRow>& aRows,
                                  const HostId& aExcept)
{
  if (aRows.empty()) {
    return;
  }
  MembershipTables update;
  update.m_kind = TablesKind::Update;
  update.m_upstreams = aRows;
  for (const HostId& id : AliveHosts(true)) {
    if (id != aExcept) {
      m_sends.push_back({ m_hosts.at(id).m_peer, update });
    }
  }
}

std::vector<HostId> Membership::PickRelays()
{
  std::vector<HostId> relays;
  for (auto& [dataCentre, hosts] : AliveRemotePeers()) {
    std::vector<HostId> withDisk;
    for (const HostId& id : hosts) {
      const HostRow& row = m_hosts.at(id);
      if (!row.m_disk.Empty() && row.m_state == HostState::Alive) {
        withDisk.push_back(id);
      }
    }
    relays.push_back(PickRandom(withDisk.empty() ? hosts : withDisk));
  }
  return relays;
}

void Membership::ReportPoison(Instant aNow, const PoisonRow& aRow)
{
  uint64_t version = m_poisonVersion;
  MergePoison(aNow, aRow);
  if (m_poisonVersion == version) {
    return;
  }
  // A caller can repeat the request immediately through any host, so the row
  // is sent without waiting for the next push.
  GossipMessage message;
  message.m_poison.push_back(m_poison.at(aRow.m_fingerprint));
  std::vector<HostId> targets = AlivePeers();
  if (targets.size() > kMaxDirectTargets) {
    targets = AliveHosts(true);
    GossipMessage relayed = message;
    relayed.m_kind = GossipKind::Relay;
    for (const HostId& id : PickRelays()) {
      SendGossip(m_hosts.at(id).m_peer, relayed);
    }
  }
  for (const HostId& id : targets) {
    SendGossip(m_hosts.at(id).m_peer, message);
  }
}

// Queue of the messages to be sent.

void Membership::SendGossip(const Endpoint& aTo, GossipMessage aMessage)
{
  m_sends.push_back({ aTo, std::move(aMessage) });
}

void Membership::SendTables(const Endpoint& aTo, bool aIsReplyRequested)
{
  MembershipTables tables;
  tables.m_isReplyRequested = aIsReplyRequested;
  for (const auto& [id, row] : m_hosts) {
    tables.m_hosts.push_back(row);
  }
  for (const auto& [id, entry] : m_upstreams.Rows()) {
    tables.m_upstreams.push_back(entry.m_row);
  }
  for (const auto& [fingerprint, row] : m_poison) {
    tables.m_poison.push_back(row);
  }
  m_sends.push_back({ aTo, std::move(tables) });
}

std::vector<MembershipSend> Membership::TakeSends()
{
  return std::exchange(m_sends, {});
}

std::vector<HostChange> Membership::TakeHostChanges()
{
  return std::exchange(m_changes, {});
}

std::vector<std::pair<HostId, ShareMessage>> Membership::TakeShares()
{
  return std::exchange(m_shares, {});
}

} // namespace persimmontally
