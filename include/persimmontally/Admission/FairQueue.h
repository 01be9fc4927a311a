#ifndef PERSIMMONTALLY_ADMISSION_FAIRQUEUE_H
#define PERSIMMONTALLY_ADMISSION_FAIRQUEUE_H

#include "persimmontally/Admission/Ticket.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmontally {

/// Backlog of one rank, shared fairly between accounts. Start-time fair
/// queueing (Goyal, Vin, Cheng, 1996) with tokens as the unit of service: the
/// account with the least service divided by weight is next. An account that
/// becomes backlogged starts at the current virtual time at the earliest, so
/// that it earns no credit while it is idle.
class FairQueue
{
public:
  /// Appends a ticket to the flow of its account.
  void Push(Ticket aTicket);

  bool Empty() const { return m_backlogged.empty(); }
  size_t Size() const { return m_size; }
  /// Returns the oldest ticket of the account with the least service divided by
  /// weight. The queue must not be empty.
  const Ticket& Front() const;
  /// Removes and returns the front ticket. The queue must not be empty.
  Ticket PopFront();
  /// Bound on the service, in tokens divided by weight, by which an account may
  /// get ahead of one whose oldest ticket cannot be placed. Without it,
  /// accounts with small requests would always be placed first.
  static constexpr double kMaxLead = 4096;

  /// Returns the oldest ticket of each account in service order, at most
  /// `aLimit` and none of an account that is more than kMaxLead ahead. Used to
  /// place another request when the front ticket cannot be placed.
  std::vector<const Ticket*> Heads(size_t aLimit) const;
  /// Removes and returns the ticket with an id, wherever it is in the queue, or
  /// returns nothing if it is not queued.
  std::optional<Ticket> Take(RequestId aId);

  /// Returns the account with the most tickets. The queue must not be empty.
  const AccountId& LongestFlow() const;
  /// Returns the number of tickets of an account.
  size_t SizeOf(const AccountId& aAccount) const;
  /// Returns the number of accounts that have tickets.
  size_t BackloggedAccounts() const { return m_backlogged.size(); }
  /// Removes and returns the newest ticket of an account. The account must have
  /// tickets.
  Ticket TakeNewest(const AccountId& aAccount);

  /// Adds tokens to the service of an account. A negative amount refunds
  /// tokens.
  void Charge(const AccountId& aAccount, double aTokens);
  /// Removes and returns expired tickets. The scan of an account stops at its
  /// oldest ticket that has not expired.
  std::vector<Ticket> TakeExpired(Instant aNow);
  /// Removes and returns the tickets for which a condition holds.
  std::vector<Ticket> TakeIf(
    const std::function<bool(const Ticket&)>& aCondition);

private:
  /// State of one account.
  struct Flow
  {
    /// Oldest first.
    std::deque<Ticket> m_tickets;
    double m_weight = 1;
    /// Tokens divided by weight.
    double m_normalizedService = 0;
  };

  /// Sets the normalized service of a flow and its position in m_backlogged.
  void UpdateService(const AccountId& aAccount,
                     Flow& aFlow,
                     double aNormalizedService);
  void RemoveFromIndex(const RequestId& aId);

  std::map<AccountId, Flow> m_flows;
  /// Accounts that have tickets, by normalized service.
  std::set<std::pair<double, AccountId>> m_backlogged;
  std::unordered_map<RequestId, AccountId> m_accountOf;
  size_t m_size = 0;
  /// Least normalized service of all backlogged accounts at the last removal of
  /// a ticket. Never decreases.
  double m_virtualTime = 0;
};

} // namespace persimmontally

#endif
