#ifndef PERSIMMONTALLY_STATE_PLANLISTS_H
#define PERSIMMONTALLY_STATE_PLANLISTS_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace persimmontally {

/// Limits and rights of the accounts of one plan. The limits apply to the sum
/// over all hosts.
struct Plan
{
  std::string m_name;
  /// Weight of an account within a rank, relative to other accounts.
  double m_weight = 1;
  double m_requestsPerSecond = 0;
  double m_tokensPerMinute = 0;
  /// Maximum number of requests that run at the same time.
  uint32_t m_maxConcurrent = 0;
  /// Maximum number of output tokens of one request.
  uint32_t m_maxOutputTokens = 0;
  /// Ranks, models and services that the accounts may use.
  std::set<Rank> m_ranks;
  Rank m_defaultRank = Rank::Routine;
  std::set<ModelId> m_models;
  std::set<std::string> m_services;

  bool operator==(const Plan&) const = default;
};

/// A service that plans can refer to.
struct ServiceRule
{
  std::string m_name;
  /// Whether a call may run more than once.
  bool m_repeatable = true;

  bool operator==(const ServiceRule&) const = default;
};

struct PlanList
{
  std::map<std::string, Plan> m_plans;
  std::map<std::string, ServiceRule> m_services;
  /// Fraction of the slots reserved for routine requests while any is queued.
  double m_routineFloor = 0;

  bool operator==(const PlanList&) const = default;
};

/// One client account, its plan and the digest of its key.
struct Account
{
  AccountId m_id;
  std::string m_plan;
  /// SHA-256 of the account's key in lower-case hexadecimal digits; the key
  /// itself is never stored.
  std::string m_keySha256;

  bool operator==(const Account&) const = default;
};

struct AccountList
{
  std::map<AccountId, Account> m_accounts;
  /// Accounts by the SHA-256 of their key.
  std::map<std::string, AccountId> m_accountByKeySha256;

  bool operator==(const AccountList&) const = default;
};

/// Parses and validates the list of plans. The error has a line `FILE:LINE:
/// reason` for each invalid value; the reason begins with its JSON pointer.
absl::StatusOr<PlanList> ParsePlanList(std::string_view aFile,
                                       std::string_view aJson);

/// Parses and validates the list of accounts, with errors in the format of
/// `ParsePlanList`.
absl::StatusOr<AccountList> ParseAccountList(std::string_view aFile,
                                             std::string_view aJson);

/// Checks that the plan of every account is in the list of plans. The error
/// has a line for each account whose plan is missing.
absl::Status CheckPlansOfAccounts(const PlanList& aPlans,
                                  const AccountList& aAccounts);

} // namespace persimmontally

#endif
