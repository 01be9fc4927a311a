#include "persimmontally/Admission/ShareLedger.h"

#include <algorithm>

namespace persimmontally {

void ShareLedger::SetHostCount(size_t aCount)
{
  m_baseSharePpm =
    kFullSharePpm / static_cast<uint32_t>(std::max<size_t>(aCount, 1));
}

uint64_t ShareLedger::SumUnexpired(Instant aNow,
                                   const Loans& aLoans,
                                   const AccountId& aAccountId)
{
  auto at = aLoans.find(aAccountId);
  if (at == aLoans.end()) {
    return 0;
  }
  uint64_t sum = 0;
  for (const Loan& loan : at->second) {
    sum += loan.m_expiresAt > aNow ? loan.m_sharePpm : 0;
  }
  return sum;
}

double ShareLedger::Share(Instant aNow, const AccountId& aAccount) const
{
  uint64_t lent = SumUnexpired(aNow, m_lent, aAccount);
  uint64_t own = m_baseSharePpm > lent ? m_baseSharePpm - lent : 0;
  uint64_t borrowed = SumUnexpired(aNow, m_borrowed, aAccount);
  return static_cast<double>(own + borrowed) / kFullSharePpm;
}

std::optional<ShareMessage> ShareLedger::Lend(Instant aNow,
                                              const AccountId& aAccount,
                                              uint32_t aRequestedPpm,
                                              bool aIsIdle)
{
  uint64_t lent = SumUnexpired(aNow, m_lent, aAccount);
  if (!aIsIdle || lent >= m_baseSharePpm) {
    return std::nullopt;
  }
  auto sharePpm = static_cast<uint32_t>(
    std::min<uint64_t>(aRequestedPpm, m_baseSharePpm - lent));
  if (sharePpm == 0) {
    return std::nullopt;
  }
  m_lent[aAccount].push_back({ sharePpm, aNow + kLoanDuration + kLoanMargin });
  return ShareMessage{ ShareKind::Grant,
                       aAccount,
                       sharePpm,
                       static_cast<uint32_t>(ToMilliseconds(kLoanDuration)) };
}

void ShareLedger::Borrow(Instant aNow, const ShareMessage& aGrant)
{
  Duration lease =
    std::min<Duration>(milliseconds(aGrant.m_leaseMs), kLoanDuration);
  m_borrowed[aGrant.m_account].push_back(
    { aGrant.m_partsPerMillion, aNow + lease });
}

void ShareLedger::RemoveExpiredLoans(Instant aNow)
{
  for (Loans* loans : { &m_lent, &m_borrowed }) {
    for (auto& [account, list] : *loans) {
      std::erase_if(
        list, [&](const Loan& aLoan) { return aLoan.m_expiresAt <= aNow; });
    }
    std::erase_if(*loans,
                  [](const auto& aItem) { return aItem.second.empty(); });
  }
}

} // namespace persimmontally
