#include "persimmontally/State/StateMachine.h"

#include "persimmontally/State/PlanLists.h"
#include "persimmontally/Wire/Codec.h"

namespace persimmontally {

/// Interval, on the group's clock, between removals of expired rows.
static constexpr uint64_t kExpiryPeriodMs = 1000;

absl::Status ValidateList(ListKind aKind,
                          std::string_view aFile,
                          const std::string& aJson,
                          const std::string& aPlansJson,
                          const std::string& aAccountsJson)
{
  bool isPlans = aKind == ListKind::Plans;
  if (!isPlans && aPlansJson.empty()) {
    return absl::InvalidArgumentError("no list of plans is in force yet\n");
  }
  auto plans =
    isPlans ? ParsePlanList(aFile, aJson) : ParsePlanList("plans", aPlansJson);
  if (!plans.ok()) {
    return plans.status();
  }
  if (isPlans && aAccountsJson.empty()) {
    return absl::OkStatus();
  }
  auto accounts = isPlans ? ParseAccountList("accounts", aAccountsJson)
                          : ParseAccountList(aFile, aJson);
  if (!accounts.ok()) {
    return accounts.status();
  }
  return CheckPlansOfAccounts(*plans, *accounts);
}

CommandResult StateMachine::Apply(const LogEntry& aEntry)
{
  uint64_t before = m_clockMs;
  m_clockMs += aEntry.m_elapsedMs;
  // Removal depends on the clock alone, so that members that started from a
  // snapshot remove the same rows at the same entry.
  if (before / kExpiryPeriodMs != m_clockMs / kExpiryPeriodMs) {
    RemoveExpired();
  }
  if (aEntry.m_kind != EntryKind::Command) {
    return {};
  }
  auto command = Decode<Command>(aEntry.m_data);
  if (!command.ok()) {
    return {};
  }
  return std::visit(
    [&](const auto& aCommand) {
      return ApplyCommand(aEntry.m_index, aCommand);
    },
    *command);
}

CommandResult StateMachine::ApplyCommand(uint64_t aIndex,
                                         const PutList& aCommand)
{
  CommandResult result;
  auto previous = m_changes.find(aCommand.m_changeId);
  if (previous != m_changes.end()) {
    result.m_status = previous->second.m_status;
    result.m_message = previous->second.m_message;
    result.m_version = previous->second.m_version;
    return result;
  }
  ListVersion& list = aCommand.m_list == ListKind::Plans ? m_plans : m_accounts;
  absl::Status valid = ValidateList(aCommand.m_list,
                                    "list",
                                    aCommand.m_json,
                                    m_plans.m_json,
                                    m_accounts.m_json);
  if (aCommand.m_expectedVersion != list.m_version) {
    result.m_status = CommandStatus::VersionConflict;
    result.m_message = "the list is at version " +
                       std::to_string(list.m_version) + ", not " +
                       std::to_string(aCommand.m_expectedVersion);
  } else if (!valid.ok()) {
    result.m_status = CommandStatus::InvalidList;
    result.m_message = std::string(valid.message());
  } else {
    list = { list.m_version + 1, aCommand.m_json };
    m_listsIndex = aIndex;
    result.m_status = CommandStatus::Accepted;
  }
  result.m_version = list.m_version;
  m_changes[aCommand.m_changeId] = { aCommand.m_changeId, aCommand.m_list,
                                     result.m_status,     result.m_message,
                                     result.m_version,    m_clockMs };
  return result;
}

static CommandResult DescribeOrder(const OrderRow& aRow)
{
  CommandResult result;
  result.m_owner = aRow.m_owner;
  result.m_ownerIncarnation = aRow.m_ownerIncarnation;
  result.m_attempt = aRow.m_attempt;
  result.m_answer = aRow.m_answer;
  switch (aRow.m_state) {
    case OrderState::Running:
      result.m_status = CommandStatus::OrderRunning;
      break;
    case OrderState::Finished:
      result.m_status = CommandStatus::OrderFinished;
      break;
    case OrderState::Unknown:
    case OrderState::Released:
      result.m_status = CommandStatus::OrderUnknown;
      break;
  }
  return result;
}

CommandResult StateMachine::ApplyCommand(uint64_t, const StartOrder& aCommand)
{
  auto at = m_orders.find(aCommand.m_key);
  if (at != m_orders.end() && at->second.m_state == OrderState::Released &&
      at->second.m_attempt != aCommand.m_attempt) {
    m_orders.erase(at);
    at = m_orders.end();
  }
  if (at != m_orders.end()) {
    const OrderRow& row = at->second;
    CommandResult result = DescribeOrder(row);
    if (row.m_bodyHash != aCommand.m_bodyHash) {
      result = CommandResult();
      result.m_status = CommandStatus::OrderKeyReused;
    } else if (row.m_attempt == aCommand.m_attempt &&
               row.m_state == OrderState::Running) {
      result.m_status = CommandStatus::Accepted;
    }
    return result;
  }
  OrderRow row;
  row.m_key = aCommand.m_key;
  row.m_bodyHash = aCommand.m_bodyHash;
  row.m_attempt = aCommand.m_attempt;
  row.m_owner = aCommand.m_owner;
  row.m_ownerIncarnation = aCommand.m_ownerIncarnation;
  row.m_startedMs = m_clockMs;
  CommandResult result = DescribeOrder(row);
  result.m_status = CommandStatus::Accepted;
  m_orders[row.m_key] = std::move(row);
  return result;
}

CommandResult StateMachine::ApplyCommand(uint64_t, const EndOrder& aCommand)
{
  CommandResult result;
  auto at = m_orders.find(aCommand.m_key);
  if (at == m_orders.end() || at->second.m_attempt != aCommand.m_attempt) {
    result.m_status = CommandStatus::OrderUnknown;
    return result;
  }
  OrderRow& row = at->second;
  bool canEnd = row.m_state == OrderState::Running ||
                (row.m_state == OrderState::Unknown &&
                 aCommand.m_state == OrderState::Finished);
  if (canEnd) {
    row.m_state = aCommand.m_state;
    row.m_answer = aCommand.m_answer;
  }
  result = DescribeOrder(row);
  result.m_status = CommandStatus::Accepted;
  return result;
}

CommandResult StateMachine::ApplyCommand(uint64_t aIndex,
                                         const AcquireLease& aCommand)
{
  LeaseRow& lease = m_leases[aCommand.m_name];
  lease.m_name = aCommand.m_name;
  CommandResult result;
  bool isHolder = lease.m_holder == aCommand.m_holder &&
                  lease.m_holderIncarnation == aCommand.m_holderIncarnation;
  if (aCommand.m_expectedRenewal == lease.m_renewal) {
    if (!isHolder) {
      lease.m_holder = aCommand.m_holder;
      lease.m_holderIncarnation = aCommand.m_holderIncarnation;
      lease.m_fencing = aIndex;
    }
    ++lease.m_renewal;
    lease.m_durationMs = aCommand.m_durationMs;
    result.m_status = CommandStatus::Accepted;
  } else {
    result.m_status = CommandStatus::LeaseHeld;
  }
  result.m_version = lease.m_renewal;
  result.m_fencing = lease.m_fencing;
  result.m_owner = lease.m_holder;
  result.m_ownerIncarnation = lease.m_holderIncarnation;
  return result;
}

/// Accepts resent and outdated versions without any effect.
CommandResult StateMachine::ApplyCommand(uint64_t aIndex,
                                         const PutCatalog& aCommand)
{
  if (aCommand.m_version > m_catalog.m_version) {
    m_catalog = { aCommand.m_version, aCommand.m_document };
    m_listsIndex = aIndex;
  }
  return ApplyCommand(aIndex, ReadCatalog());
}

CommandResult StateMachine::ApplyCommand(uint64_t, const ReadCatalog&)
{
  CommandResult result;
  result.m_status = CommandStatus::Accepted;
  result.m_version = m_catalog.m_version;
  return result;
}

CommandResult StateMachine::ApplyCommand(uint64_t aIndex,
                                         const SetEvacuation& aCommand)
{
  EvacuationRow row{ aCommand.m_dataCentre, false, 0 };
  auto known = m_evacuations.find(aCommand.m_dataCentre);
  if (known != m_evacuations.end()) {
    row = known->second;
  }
  CommandResult result;
  if (row.m_isEvacuated == aCommand.m_isEvacuated) {
    result.m_status = CommandStatus::Accepted;
  } else if (row.m_index != aCommand.m_basisIndex) {
    result.m_status = CommandStatus::VersionConflict;
    result.m_message = "a later order about the data centre is in force";
  } else {
    row.m_isEvacuated = aCommand.m_isEvacuated;
    row.m_index = aIndex;
    m_evacuations[row.m_dataCentre] = row;
    m_listsIndex = aIndex;
    result.m_status = CommandStatus::Accepted;
  }
  result.m_version = row.m_index;
  return result;
}

std::vector<EvacuationRow> StateMachine::Evacuations() const
{
  std::vector<EvacuationRow> rows;
  for (const auto& [dataCentre, row] : m_evacuations) {
    rows.push_back(row);
  }
  return rows;
}

void StateMachine::RemoveExpired()
{
  auto retentionMs = static_cast<uint64_t>(ToMilliseconds(m_retention));
  if (m_clockMs < retentionMs) {
    return;
  }
  uint64_t oldest = m_clockMs - retentionMs;
  std::erase_if(m_orders, [&](const auto& aItem) {
    return aItem.second.m_startedMs < oldest;
  });
  std::erase_if(m_changes, [&](const auto& aItem) {
    return aItem.second.m_appliedMs < oldest;
  });
}

bool StateMachine::IsPristine() const
{
  return m_listsIndex == 0 && m_changes.empty() && m_orders.empty() &&
         m_leases.empty();
}

std::string StateMachine::TakeSnapshot() const
{
  ReplicatedState state;
  state.m_clockMs = m_clockMs;
  state.m_listsIndex = m_listsIndex;
  state.m_plans = m_plans;
  state.m_accounts = m_accounts;
  state.m_catalog = m_catalog;
  state.m_evacuations = Evacuations();
  for (const auto& [id, change] : m_changes) {
    state.m_changes.push_back(change);
  }
  for (const auto& [key, row] : m_orders) {
    state.m_orders.push_back(row);
  }
  for (const auto& [name, lease] : m_leases) {
    state.m_leases.push_back(lease);
  }
  return Encode(state);
}

absl::Status StateMachine::LoadSnapshot(const std::string& aData)
{
  auto state = Decode<ReplicatedState>(aData);
  if (!state.ok()) {
    return state.status();
  }
  m_clockMs = state->m_clockMs;
  m_listsIndex = state->m_listsIndex;
  m_plans = state->m_plans;
  m_accounts = state->m_accounts;
  m_catalog = state->m_catalog;
  m_changes.clear();
  m_orders.clear();
  m_leases.clear();
  m_evacuations.clear();
  for (ListChange& change : state->m_changes) {
    m_changes[change.m_changeId] = std::move(change);
  }
  for (OrderRow& row : state->m_orders) {
    m_orders[row.m_key] = std::move(row);
  }
  for (LeaseRow& lease : state->m_leases) {
    m_leases[lease.m_name] = std::move(lease);
  }
  for (const EvacuationRow& row : state->m_evacuations) {
    m_evacuations[row.m_dataCentre] = row;
  }
  return absl::OkStatus();
}

} // namespace persimmontally
