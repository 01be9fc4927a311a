#ifndef PERSIMMONTALLY_ADMISSION_ACCOUNTLIMITS_H
#define PERSIMMONTALLY_ADMISSION_ACCOUNTLIMITS_H

#include "persimmontally/State/PlanLists.h"
#include "persimmontally/Support/ErrorKind.h"
#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace persimmontally {

/// What one account currently uses of its plan on this host.
struct AccountUsage
{
  /// Token bucket of the request rate, in requests.
  double m_requestBucket = 0;
  /// Token bucket of the token rate, in prompt and output tokens. Negative
  /// after outputs that exceeded it.
  double m_tokenBucket = 0;
  /// Admitted requests that have not finished.
  uint32_t m_running = 0;
  Instant m_refilledAt;
  /// Whether the buckets still have to be filled for the first time.
  bool m_isNew = true;
  /// Whether a request was refused since the last call of ConsumeShareShortage.
  bool m_hasShareShortage = false;
};

/// Enforces plan limits: requests per second, tokens per minute and concurrent
/// requests, each multiplied by this host's share of the plan.
class AccountLimits
{
public:
  /// Admits a request and charges its prompt, or returns the reason for the
  /// refusal. `aShare` is from 0 to 1.
  std::optional<Refusal> Admit(Instant aNow,
                               const AccountId& aAccount,
                               const Plan& aPlan,
                               double aShare,
                               uint32_t aPromptTokens);
  /// Charges output tokens. The bucket may become negative.
  void ChargeTokens(const AccountId& aAccount, uint32_t aTokens);
  /// Ends one admitted request.
  void Finish(const AccountId& aAccount);

  /// Returns the number of admitted requests that have not finished.
  uint32_t Running(const AccountId& aAccount) const;
  /// Returns whether a request of the account was refused since the last call,
  /// and clears that state.
  bool ConsumeShareShortage(const AccountId& aAccount);
  /// Returns whether the account has no running request and no refusal since
  /// the last call of ConsumeShareShortage.
  bool IsIdle(const AccountId& aAccount) const;
  const std::map<AccountId, AccountUsage>& Usage() const { return m_usage; }

private:
  static void Refill(Instant aNow,
                     AccountUsage& aUsage,
                     const Plan& aPlan,
                     double aShare);

  std::map<AccountId, AccountUsage> m_usage;
};

} // namespace persimmontally

#endif
