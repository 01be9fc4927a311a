#ifndef PERSIMMONTALLY_PROXY_PLANDIRECTORY_H
#define PERSIMMONTALLY_PROXY_PLANDIRECTORY_H

#include "persimmontally/State/PlanLists.h"
#include "persimmontally/Wire/StateMessage.h"

#include "absl/status/status.h"

#include <string_view>

namespace persimmontally {

/// The lists of plans and accounts in force on this host, parsed for look-ups.
class PlanDirectory
{
public:
  /// Replaces the lists if the given ones are newer. Returns an error, and
  /// keeps the present lists, if one of them cannot be parsed.
  absl::Status Update(const ListsState& aState);

  /// Raft log index of the lists in force.
  uint64_t Index() const { return m_index; }
  const PlanList& Plans() const { return m_plans; }
  const AccountList& Accounts() const { return m_accounts; }
  /// Returns the account of a caller's key, or null.
  const Account* FindByKey(std::string_view aKey) const;
  /// Returns the plan of an account, or null.
  const Plan* PlanOf(const AccountId& aAccount) const;

private:
  uint64_t m_index = 0;
  PlanList m_plans;
  AccountList m_accounts;
};

} // namespace persimmontally

#endif
