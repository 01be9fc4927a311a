#include "persimmontally/Admission/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace persimmontally {

void FairQueue::UpdateService(const AccountId& aAccount,
                              Flow& aFlow,
                              double aNormalizedService)
{
  m_backlogged.erase({ aFlow.m_normalizedService, aAccount });
  aFlow.m_normalizedService = aNormalizedService;
  if (!aFlow.m_tickets.empty()) {
    m_backlogged.insert({ aNormalizedService, aAccount });
  }
}

void FairQueue::Push(Ticket aTicket)
{
  AccountId account = aTicket.m_account;
  Flow& flow = m_flows[account];
  bool wasIdle = flow.m_tickets.empty();
  flow.m_weight = std::max(aTicket.m_weight, 0.001);
  m_accountOf[aTicket.m_id] = account;
  flow.m_tickets.push_back(std::move(aTicket));
  ++m_size;
  if (wasIdle) {
    UpdateService(
      account, flow, std::max(flow.m_normalizedService, m_virtualTime));
  }
}

const Ticket& FairQueue::Front() const
{
  assert(!Empty() && "the queue must not be empty");
  return m_flows.at(m_backlogged.begin()->second).m_tickets.front();
}

void FairQueue::RemoveFromIndex(const RequestId& aId)
{
  m_accountOf.erase(aId);
  --m_size;
}

Ticket FairQueue::PopFront()
{
  assert(!Empty() && "the queue must not be empty");
  return *Take(Front().m_id);
}

std::vector<const Ticket*> FairQueue::Heads(size_t aLimit) const
{
  std::vector<const Ticket*> heads;
  for (const auto& [service, account] : m_backlogged) {
    bool tooFarAhead = service > m_backlogged.begin()->first + kMaxLead;
    if (heads.size() >= aLimit || tooFarAhead) {
      break;
    }
    heads.push_back(&m_flows.at(account).m_tickets.front());
  }
  return heads;
}

// The id is passed by value: a caller may pass the id that the ticket holds,
// which is moved from before its last use here.
std::optional<Ticket> FairQueue::Take(RequestId aId)
{
  auto account = m_accountOf.find(aId);
  if (account == m_accountOf.end()) {
    return std::nullopt;
  }
  AccountId id = account->second;
  Flow& flow = m_flows.at(id);
  auto at =
    std::find_if(flow.m_tickets.begin(),
                 flow.m_tickets.end(),
                 [&](const Ticket& aTicket) { return aTicket.m_id == aId; });
  Ticket ticket = std::move(*at);
  flow.m_tickets.erase(at);
  RemoveFromIndex(aId);
  m_virtualTime = std::max(
    m_virtualTime, m_backlogged.empty() ? 0 : m_backlogged.begin()->first);
  UpdateService(id, flow, flow.m_normalizedService);
  return ticket;
}

const AccountId& FairQueue::LongestFlow() const
{
  assert(!Empty() && "the queue must not be empty");
  auto longest = std::max_element(
    m_backlogged.begin(), m_backlogged.end(), [&](auto& aLeft, auto& aRight) {
      return SizeOf(aLeft.second) < SizeOf(aRight.second);
    });
  return longest->second;
}

size_t FairQueue::SizeOf(const AccountId& aAccount) const
{
  auto at = m_flows.find(aAccount);
  return at == m_flows.end() ? 0 : at->second.m_tickets.size();
}

Ticket FairQueue::TakeNewest(const AccountId& aAccount)
{
  return *Take(m_flows.at(aAccount).m_tickets.back().m_id);
}

void FairQueue::Charge(const AccountId& aAccount, double aTokens)
{
  Flow& flow = m_flows[aAccount];
  UpdateService(
    aAccount, flow, flow.m_normalizedService + aTokens / flow.m_weight);
}

std::vector<Ticket> FairQueue::TakeExpired(Instant aNow)
{
  std::vector<RequestId> expired;
  for (const auto& [service, account] : m_backlogged) {
    for (const Ticket& ticket : m_flows.at(account).m_tickets) {
      if (ticket.m_placeBy > aNow) {
        break;
      }
      expired.push_back(ticket.m_id);
    }
  }
  std::vector<Ticket> tickets;
  for (const RequestId& id : expired) {
    tickets.push_back(*Take(id));
  }
  return tickets;
}

std::vector<Ticket> FairQueue::TakeIf(
  const std::function<bool(const Ticket&)>& aCondition)
{
  std::vector<RequestId> ids;
  for (const auto& [service, account] : m_backlogged) {
    for (const Ticket& ticket : m_flows.at(account).m_tickets) {
      if (aCondition(ticket)) {
        ids.push_back(ticket.m_id);
      }
    }
  }
  std::vector<Ticket> taken;
  for (const RequestId& id : ids) {
    taken.push_back(*Take(id));
  }
  return taken;
}

} // namespace persimmontally
