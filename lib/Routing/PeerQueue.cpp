#include "persimmontally/Routing/PeerQueue.h"

#include <algorithm>
#include <set>

namespace persimmontally {

void PeerQueue::Set(const HostId& aHost, std::vector<PeerTicket> aTickets)
{
  auto known = m_hosts.find(aHost);
  if (known != m_hosts.end()) {
    std::set<RequestId> queued;
    for (const PeerTicket& peerTicket : aTickets) {
      queued.insert(peerTicket.m_ticket.m_id);
    }
    for (const PeerTicket& peerTicket : known->second) {
      if (!queued.contains(peerTicket.m_ticket.m_id)) {
        m_deferredSince.erase(peerTicket.m_ticket.m_id);
      }
    }
  }
  if (aTickets.empty()) {
    m_hosts.erase(aHost);
    return;
  }
  m_hosts[aHost] = std::move(aTickets);
}

static bool Precedes(const Ticket& aLeft, const Ticket& aRight)
{
  if (aLeft.m_rank != aRight.m_rank) {
    return aLeft.m_rank == Rank::Urgent;
  }
  return aLeft.m_arrivedAt < aRight.m_arrivedAt;
}

std::vector<const PeerTicket*> PeerQueue::TicketsAhead(
  Instant aNow,
  const Ticket& aTicket) const
{
  std::vector<const PeerTicket*> ahead;
  for (const auto& [host, tickets] : m_hosts) {
    for (const PeerTicket& peerTicket : tickets) {
      const Ticket& ticket = peerTicket.m_ticket;
      auto since = m_deferredSince.find(ticket.m_id);
      bool isDeferralOver =
        since != m_deferredSince.end() && since->second + kMaxDeferral <= aNow;
      bool isSamePool = ticket.m_model == aTicket.m_model &&
                        ticket.m_service == aTicket.m_service;
      if (isSamePool && !isDeferralOver && Precedes(ticket, aTicket)) {
        ahead.push_back(&peerTicket);
      }
    }
  }
  std::sort(ahead.begin(), ahead.end(), [](const auto* aLeft, const auto* aR) {
    return Precedes(aLeft->m_ticket, aR->m_ticket);
  });
  ahead.resize(std::min(ahead.size(), kMaxTicketsAhead));
  return ahead;
}

void PeerQueue::RecordDeferral(Instant aNow,
                               const std::vector<RequestId>& aPrecedingTickets)
{
  for (const RequestId& id : aPrecedingTickets) {
    m_deferredSince.try_emplace(id, aNow);
  }
}

} // namespace persimmontally
