#ifndef PERSIMMONTALLY_STATE_STATEMACHINE_H
#define PERSIMMONTALLY_STATE_STATEMACHINE_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/RaftMessage.h"
#include "persimmontally/Wire/StateMessage.h"

#include "absl/status/status.h"

#include <map>
#include <string>

namespace persimmontally {

/// State built from the replicated log: the lists of plans and accounts, the
/// catalog, the evacuations of data centres, the orders of non-repeatable
/// calls, and the leases. Applying the same entries gives the same state and
/// the same results on every member.
class StateMachine
{
public:
  explicit StateMachine(Duration aRetention)
    : m_retention(aRetention)
  {
  }

  /// Applies one committed entry and returns its result. An entry that is not
  /// a command only advances the group's clock and returns an empty result.
  CommandResult Apply(const LogEntry& aEntry);

  std::string TakeSnapshot() const;
  /// Replaces the state; returns an error and keeps it if `aData` cannot be
  /// decoded.
  absl::Status LoadSnapshot(const std::string& aData);

  /// Log index of the last change to the lists, the catalog or the evacuations;
  /// 0 if none.
  uint64_t ListsIndex() const { return m_listsIndex; }
  const ListVersion& List(ListKind aKind) const
  {
    return aKind == ListKind::Plans ? m_plans : m_accounts;
  }
  const ListVersion& Catalog() const { return m_catalog; }
  /// Returns the last order about each data centre that ever had one.
  std::vector<EvacuationRow> Evacuations() const;
  const std::map<std::string, OrderRow>& Orders() const { return m_orders; }
  const std::map<std::string, LeaseRow>& Leases() const { return m_leases; }
  const std::map<std::string, ListChange>& Changes() const { return m_changes; }
  /// Returns whether no command has changed the state yet.
  bool IsPristine() const;

private:
  CommandResult ApplyCommand(uint64_t aIndex, const PutList& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const StartOrder& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const EndOrder& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const AcquireLease& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const PutCatalog& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const ReadCatalog& aCommand);
  CommandResult ApplyCommand(uint64_t aIndex, const SetEvacuation& aCommand);
  void RemoveExpired();

  /// How long orders and results of list changes are kept.
  Duration m_retention;
  /// The group's clock: the sum of the elapsed times of the applied entries.
  uint64_t m_clockMs = 0;
  uint64_t m_listsIndex = 0;
  ListVersion m_plans;
  ListVersion m_accounts;
  ListVersion m_catalog;
  std::map<DataCentreId, EvacuationRow> m_evacuations;
  /// Results of list changes by change id, so that a resend gets the same one.
  std::map<std::string, ListChange> m_changes;
  std::map<std::string, OrderRow> m_orders;
  std::map<std::string, LeaseRow> m_leases;
};

/// Validates a list by its own rules and against the other list in force.
/// `aFile` names the list in error messages.
absl::Status ValidateList(ListKind aKind,
                          std::string_view aFile,
                          const std::string& aJson,
                          const std::string& aPlansJson,
                          const std::string& aAccountsJson);

} // namespace persimmontally

#endif
