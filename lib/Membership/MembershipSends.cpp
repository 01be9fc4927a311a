// Messages that membership sends to peers.

#include "persimmontally/Membership/Membership.h"

#include <algorithm>
#include <bit>

namespace persimmontally {

/// Rows per datagram, so that it stays below 1,280 bytes, a path MTU that is
/// commonly available.
static constexpr size_t kHostsPerMessage = 3;
static constexpr size_t kUpstreamsPerMessage = 2;
static constexpr size_t kRenewalsPerMessage = 18;
static constexpr size_t kPoisonPerMessage = 2;

int Membership::RetransmitCount() const
{
  return 3 * static_cast<int>(std::bit_width(m_hosts.size() + 1));
}

void Membership::FillChanges(GossipMessage& aMessage)
{
  auto drain = [](auto& aPushesLeft, size_t aLimit, auto aAdd) {
    size_t count = 0;
    for (auto at = aPushesLeft.begin();
         at != aPushesLeft.end() && count < aLimit;) {
      aAdd(at->first);
      ++count;
      at = --at->second <= 0 ? aPushesLeft.erase(at) : std::next(at);
    }
  };
  drain(m_hostPushesLeft, kHostsPerMessage, [&](const HostId& aId) {
    if (const HostRow* row = FindHost(aId)) {
      aMessage.m_hosts.push_back(*row);
    }
  });
  drain(m_upstreamPushesLeft, kUpstreamsPerMessage, [&](const UpstreamId& aId) {
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
      renewals.push_back({ id, row.m_incarnation, row.m_sequence, row.m_load });
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
