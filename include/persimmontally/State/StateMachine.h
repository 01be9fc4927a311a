#ifndef PERSIMMONTALLY_STATE_STATEMACHINE_H
#define PERSIMMONTALLY_STATE_STATEMACHINE_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/RaftMessage.h"
#include "persimmontally/Wire/StateMessage.h"

#include "absl/status/status.h"

#include <map>
#include <string>

namespace persimmontally {

/// What the replicated log builds: the two lists, the calls that may not be
/// repeated, and the leases. Applying the same entries gives the same state
/// and the same results on every member.
class StateMachine
{
public:
  explicit StateMachine(Duration aRetention)
    : m_retention(aRetention)
  {
  }

  /// Applies one committed entry; entries of other kinds only advance the
  /// clock.
  CommandResult Apply(const LogEntry& aEntry);

  std::string TakeSnapshot() const;
  absl::Status LoadSnapshot(const std::string& aData);

  uint64_t PlanIndex() const { return m_planIndex; }
  const ListVersion& List(ListKind aKind) const
  {
    return aKind == ListKind::Plans ? m_plans : m_accounts;
  }
  const ListVersion& Catalog() const { return m_catalog; }
  const std::map<std::string, OrderRow>& Orders() const { return m_orders; }
  const std::map<std::string, LeaseRow>& Leases() const { return m_leases; }
  const std::map<std::string, ListChange>& Changes() const { return m_changes; }
  /// Whether no command ever changed it.
  bool IsPristine() const;

private:
  CommandResult ApplyCommand(uint64_t aIndex, const PutList& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const StartOrder& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const EndOrder& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const TakeLease& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const PutCatalog& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const ReadCatalog& aCommand);
  void ForgetOld();

  Duration m_retention;
  uint64_t m_clockMs = 0;
  uint64_t m_planIndex = 0;
  ListVersion m_plans;
  ListVersion m_accounts;
  ListVersion m_catalog;
  std::map<std::string, ListChange> m_changes;
  std::map<std::string, OrderRow> m_orders;
  std::map<std::string, LeaseRow> m_leases;
};

/// Checks a list against its own rules and against the other list in force.
absl::Status ValidateList(ListKind aKind,
                          std::string_view aFile,
                          const std::string& aJson,
                          const std::string& aPlansJson,
                          const std::string& aAccountsJson);

} // namespace persimmontally

#endif
