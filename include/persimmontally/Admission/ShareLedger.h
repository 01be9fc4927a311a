#ifndef PERSIMMONTALLY_ADMISSION_SHARELEDGER_H
#define PERSIMMONTALLY_ADMISSION_SHARELEDGER_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/ShareMessage.h"

#include <map>
#include <optional>
#include <vector>

namespace persimmontally {

/// Tracks this host's share of each account's plan limits. Each host owns an
/// equal base share and can lend from it for a limited time. A lender deducts a
/// loan for longer than the borrower may use it, so the shares of all hosts
/// never add up to more than the plan, even when hosts cannot reach each other.
class ShareLedger
{
public:
  /// Longest time that a borrower may use a loan.
  static constexpr Duration kLoanDuration = seconds(5);
  /// Time beyond the loan until the lender uses the share again. Covers the
  /// delay of the grant message and clocks that run at different rates.
  static constexpr Duration kLoanMargin = seconds(1);
  /// The full plan, in parts per million.
  static constexpr uint32_t kFullSharePpm = 1'000'000;

  /// Sets the number of hosts that divide the plans equally.
  void SetHostCount(size_t aCount);

  /// Returns the share that this host may use now, from 0 to 1: its base share
  /// minus loans to peers plus loans from peers.
  double Share(Instant aNow, const AccountId& aAccount) const;
  /// Lends up to `aRequestedPpm` parts per million of the base share. Returns
  /// the grant message, or nothing if the account is not idle here or the whole
  /// base share is lent.
  std::optional<ShareMessage> Lend(Instant aNow,
                                   const AccountId& aAccount,
                                   uint32_t aRequestedPpm,
                                   bool aIsIdle);
  /// Adds the loan of a received grant, for kLoanDuration at most.
  void Borrow(Instant aNow, const ShareMessage& aGrant);
  /// Removes expired loans.
  void RemoveExpiredLoans(Instant aNow);

private:
  struct Loan
  {
    /// Parts per million of the plan.
    uint32_t m_sharePpm = 0;
    Instant m_expiresAt;
  };
  using Loans = std::map<AccountId, std::vector<Loan>>;

  /// Returns the sum of the unexpired loans of an account, in parts per
  /// million.
  static uint64_t SumUnexpired(Instant aNow,
                               const Loans& aLoans,
                               const AccountId& aAccountId);

  /// Share that this host owns of each plan, in parts per million.
  uint32_t m_baseSharePpm = kFullSharePpm;
  Loans m_lent;
  Loans m_borrowed;
};

} // namespace persimmontally

#endif
