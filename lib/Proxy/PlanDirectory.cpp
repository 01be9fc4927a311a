#include "persimmontally/Proxy/PlanDirectory.h"

#include "persimmontally/Support/Crypto.h"

namespace persimmontally {

absl::Status PlanDirectory::Update(const ListsState& aState)
{
  if (aState.m_index <= m_index) {
    return absl::OkStatus();
  }
  PlanList plans;
  AccountList accounts;
  if (aState.m_plans.m_version > 0) {
    auto parsed = ParsePlanList("plans", aState.m_plans.m_json);
    if (!parsed.ok()) {
      return parsed.status();
    }
    plans = *std::move(parsed);
  }
  if (aState.m_accounts.m_version > 0) {
    auto parsed = ParseAccountList("accounts", aState.m_accounts.m_json);
    if (!parsed.ok()) {
      return parsed.status();
    }
    accounts = *std::move(parsed);
  }
  m_index = aState.m_index;
  m_plans = std::move(plans);
  m_accounts = std::move(accounts);
  return absl::OkStatus();
}

/// Looks up the key by its digest, so that the lookup time reveals nothing
/// about a stored key.
const Account* PlanDirectory::FindByKey(std::string_view aKey) const
{
  auto at = m_accounts.m_accountByKeySha256.find(Sha256Hex(aKey));
  if (at == m_accounts.m_accountByKeySha256.end()) {
    return nullptr;
  }
  return &m_accounts.m_accounts.at(at->second);
}

const Plan* PlanDirectory::PlanOf(const AccountId& aAccount) const
{
  auto account = m_accounts.m_accounts.find(aAccount);
  if (account == m_accounts.m_accounts.end()) {
    return nullptr;
  }
  auto plan = m_plans.m_plans.find(account->second.m_plan);
  return plan == m_plans.m_plans.end() ? nullptr : &plan->second;
}

} // namespace persimmontally
