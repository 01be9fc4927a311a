#include "persimmontally/Routing/RivalQueue.h"

#include <algorithm>
#include <set>

namespace persimmontally {

void RivalQueue::Set(const HostId& aHost, std::vector<RivalTicket> aTickets)
{
  auto known = m_hosts.find(aHost);
  if (known != m_hosts.end()) {
    std::set<RequestId> waiting;
    for (const RivalTicket& rival : aTickets) {
      waiting.insert(rival.m_ticket.m_id);
    }
    for (const RivalTicket& rival : known->second) {
      if (!waiting.contains(rival.m_ticket.m_id)) {
        m_deferredSince.erase(rival.m_ticket.m_id);
      }
    }
  }
  if (aTickets.empty()) {
    m_hosts.erase(aHost);
    return;
  }
  m_hosts[aHost] = std::move(aTickets);
}

static bool IsBefore(const Ticket& aLeft, const Ticket& aRight)
{
  if (aLeft.m_rank != aRight.m_rank) {
    return aLeft.m_rank == Rank::Urgent;
  }
  return aLeft.m_arrivedAt < aRight.m_arrivedAt;
}

std::vector<const RivalTicket*> RivalQueue::Ahead(Instant aNow,
                                                  const Ticket& aTicket) const
{
  std::vector<const RivalTicket*> ahead;
  for (const auto& [host, tickets] : m_hosts) {
    for (const RivalTicket& rival : tickets) {
      const Ticket& ticket = rival.m_ticket;
      auto since = m_deferredSince.find(ticket.m_id);
      bool hadTime = since != m_deferredSince.end() &&
                     since->second + kMostDeference <= aNow;
      bool isSameLane = ticket.m_model == aTicket.m_model &&
                        ticket.m_service == aTicket.m_service;
      if (isSameLane && !hadTime && IsBefore(ticket, aTicket)) {
        ahead.push_back(&rival);
      }
    }
  }
  std::sort(ahead.begin(), ahead.end(), [](const auto* aLeft, const auto* aR) {
    return IsBefore(aLeft->m_ticket, aR->m_ticket);
  });
  ahead.resize(std::min(ahead.size(), kMostAhead));
  return ahead;
}

void RivalQueue::NoteDeferred(Instant aNow, const std::vector<RequestId>& aTo)
{
  for (const RequestId& id : aTo) {
    m_deferredSince.try_emplace(id, aNow);
  }
}

} // namespace persimmontally
