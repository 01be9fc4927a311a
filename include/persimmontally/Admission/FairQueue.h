#ifndef PERSIMMONTALLY_ADMISSION_FAIRQUEUE_H
#define PERSIMMONTALLY_ADMISSION_FAIRQUEUE_H

#include "persimmontally/Admission/Ticket.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmontally {

/// Waiting tickets of one rank. The account with the least service for its
/// weight is next; an account that was idle starts level with the others, so
/// that it earns no credit. Start-time fair queueing (Goyal, Vin, Cheng, 1996)
/// with tokens as the unit of service.
class FairQueue
{
public:
  void Push(Ticket aTicket);

  bool Empty() const { return m_ready.empty(); }
  size_t Size() const { return m_size; }
  /// Oldest ticket of the account that is next; the queue must not be empty.
  const Ticket& Front() const;
  Ticket PopFront();
  /// Service by which an account may run ahead of one whose head cannot be
  /// placed, in tokens over weight. Without this bound accounts with small
  /// requests would always find room first.
  static constexpr double kMostLead = 4096;

  /// Heads of the first accounts in service order, to look past one that
  /// cannot be placed.
  std::vector<const Ticket*> Heads(size_t aLimit) const;
  /// Takes one ticket out of turn, for a head that could be placed.
  std::optional<Ticket> Take(RequestId aId);

  /// Account with the most waiting tickets; the queue must not be empty.
  const AccountId& LongestFlow() const;
  size_t SizeOf(const AccountId& aAccount) const;
  size_t WaitingAccounts() const { return m_ready.size(); }
  /// Takes the newest ticket of an account that waits.
  Ticket TakeNewest(const AccountId& aAccount);

  /// Charges tokens to an account; a negative amount gives back.
  void Charge(const AccountId& aAccount, double aTokens);
  /// Removes the tickets whose time to be placed has passed.
  std::vector<Ticket> TakeExpired(Instant aNow);

private:
  struct Flow
  {
    std::deque<Ticket> m_tickets;
    double m_weight = 1;
    double m_served = 0;
  };

  void Requeue(const AccountId& aAccount, Flow& aFlow, double aServed);
  void Forget(const RequestId& aId);

  std::map<AccountId, Flow> m_flows;
  /// Accounts that wait, by service over weight.
  std::set<std::pair<double, AccountId>> m_ready;
  std::unordered_map<RequestId, AccountId> m_accountOf;
  size_t m_size = 0;
  /// Service level of the account served last.
  double m_level = 0;
};

} // namespace persimmontally

#endif
