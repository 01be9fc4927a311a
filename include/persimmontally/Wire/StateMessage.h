#ifndef PERSIMMONTALLY_WIRE_STATEMESSAGE_H
#define PERSIMMONTALLY_WIRE_STATEMESSAGE_H

#include "persimmontally/Support/Ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmontally {

/// The two lists operators edit.
enum class ListKind : uint8_t
{
  Plans,
  Accounts
};

/// Replaces a whole list if its version is still the expected one.
struct PutList
{
  ListKind m_list = ListKind::Plans;
  /// Chosen by the operator; a resend is answered as the first time.
  std::string m_changeId;
  uint64_t m_expectedVersion = 0;
  std::string m_json;

  bool operator==(const PutList&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_list, m_changeId, m_expectedVersion, m_json);
  }
};

/// Claims the only run of a call that may not be repeated.
struct StartOrder
{
  /// Account and idempotency key.
  std::string m_key;
  std::string m_bodyHash;
  /// Identifies this claim, so that a resent claim gets its first answer.
  std::string m_attempt;
  /// Host that runs it, with its incarnation.
  HostId m_owner;
  uint64_t m_ownerIncarnation = 0;

  bool operator==(const StartOrder&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_bodyHash, m_attempt, m_owner, m_ownerIncarnation);
  }
};

/// Answer of a call that may not be repeated, kept for resends.
struct OrderAnswer
{
  int32_t m_status = 0;
  std::string m_contentType;
  std::string m_body;

  bool operator==(const OrderAnswer&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_status, m_contentType, m_body);
  }
};

enum class OrderState : uint8_t
{
  Running,
  Finished,
  /// It may have run and its answer is lost.
  Unknown,
  /// It was never sent; the key may be claimed again.
  Released,
};

/// Ends a claim: with an answer, as unknown, or released since no byte was
/// sent.
struct EndOrder
{
  std::string m_key;
  std::string m_attempt;
  OrderState m_state = OrderState::Finished;
  OrderAnswer m_answer;

  bool operator==(const EndOrder&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_attempt, m_state, m_answer);
  }
};

/// Takes or renews a lease. The renewal counter is compared, so that a take
/// over based on an old view fails.
struct TakeLease
{
  std::string m_name;
  HostId m_holder;
  uint64_t m_holderIncarnation = 0;
  uint64_t m_expectedRenewal = 0;
  uint32_t m_durationMs = 0;

  bool operator==(const TakeLease&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      m_name, m_holder, m_holderIncarnation, m_expectedRenewal, m_durationMs);
  }
};

/// Replaces the catalog if the version is higher than the one in force.
struct PutCatalog
{
  uint64_t m_version = 0;
  /// As operators sent it; checked before it is proposed.
  std::string m_document;

  bool operator==(const PutCatalog&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_version, m_document);
  }
};

/// Changes nothing. Its result tells which catalog was in force after
/// everything that was accepted before it.
struct ReadCatalog
{
  bool operator==(const ReadCatalog&) const = default;

  template<class Archive>
  void serialize(Archive&)
  {
  }
};

using Command = std::
  variant<PutList, StartOrder, EndOrder, TakeLease, PutCatalog, ReadCatalog>;

enum class CommandStatus : uint8_t
{
  Accepted,
  VersionConflict,
  InvalidList,
  OrderRunning,
  OrderFinished,
  OrderUnknown,
  OrderKeyReused,
  LeaseHeld,
  /// The group could not decide in time; the command may still take effect.
  Undecided,
};

/// What a command came to. Which members are filled depends on the command.
struct CommandResult
{
  CommandStatus m_status = CommandStatus::Undecided;
  std::string m_message;
  /// Version of the list or catalog, renewal counter of the lease.
  uint64_t m_version = 0;
  /// Fencing number of the lease.
  uint64_t m_fencing = 0;
  HostId m_owner;
  uint64_t m_ownerIncarnation = 0;
  std::string m_attempt;
  OrderAnswer m_answer;

  bool operator==(const CommandResult&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_status, m_message, m_version, m_fencing, m_owner);
    aArchive(m_ownerIncarnation, m_attempt, m_answer);
  }
};

/// Sent to the leader; a host without the leadership answers with a hint.
struct ProposeRequest
{
  std::string m_proposal;
  HostId m_from;
  Command m_command;

  bool operator==(const ProposeRequest&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_proposal, m_from, m_command);
  }
};

struct ProposeReply
{
  std::string m_proposal;
  bool m_isLeader = false;
  /// Set when the receiver knows another leader.
  HostId m_leaderHint;
  CommandResult m_result;

  bool operator==(const ProposeReply&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_proposal, m_isLeader, m_leaderHint, m_result);
  }
};

/// One version of a list.
struct ListVersion
{
  uint64_t m_version = 0;
  std::string m_json;

  bool operator==(const ListVersion&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_version, m_json);
  }
};

/// Both lists and the catalog as accepted at one log index.
struct PlanState
{
  std::string m_group;
  uint64_t m_index = 0;
  ListVersion m_plans;
  ListVersion m_accounts;
  /// Catalog of routed traffic, in the operators' own format.
  ListVersion m_catalog;

  bool operator==(const PlanState&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_group, m_index, m_plans, m_accounts, m_catalog);
  }
};

/// Asks a peer for lists newer than an index.
struct PlanPull
{
  HostId m_from;
  uint64_t m_index = 0;

  bool operator==(const PlanPull&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_from, m_index);
  }
};

/// One call that may not be repeated, as the group remembers it.
struct OrderRow
{
  std::string m_key;
  std::string m_bodyHash;
  std::string m_attempt;
  HostId m_owner;
  uint64_t m_ownerIncarnation = 0;
  OrderState m_state = OrderState::Running;
  OrderAnswer m_answer;
  /// Group clock when it was claimed.
  uint64_t m_startedMs = 0;

  bool operator==(const OrderRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_bodyHash, m_attempt, m_owner, m_ownerIncarnation);
    aArchive(m_state, m_answer, m_startedMs);
  }
};

struct LeaseRow
{
  std::string m_name;
  HostId m_holder;
  uint64_t m_holderIncarnation = 0;
  /// Raised by each take and renewal.
  uint64_t m_renewal = 0;
  /// Log index of the take; an order to an upstream carries it.
  uint64_t m_fencing = 0;
  uint32_t m_durationMs = 0;

  bool operator==(const LeaseRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_name, m_holder, m_holderIncarnation);
    aArchive(m_renewal, m_fencing, m_durationMs);
  }
};

/// The first answer to a change of a list.
struct ListChange
{
  std::string m_changeId;
  ListKind m_list = ListKind::Plans;
  CommandStatus m_status = CommandStatus::Undecided;
  std::string m_message;
  uint64_t m_version = 0;
  uint64_t m_appliedMs = 0;

  bool operator==(const ListChange&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_changeId, m_list, m_status, m_message, m_version, m_appliedMs);
  }
};

/// Everything the replicated group keeps.
struct MachineState
{
  /// Sum of the entries' elapsed times.
  uint64_t m_clockMs = 0;
  /// Log index of the last change of a list.
  uint64_t m_planIndex = 0;
  ListVersion m_plans;
  ListVersion m_accounts;
  ListVersion m_catalog;
  std::vector<ListChange> m_changes;
  std::vector<OrderRow> m_orders;
  std::vector<LeaseRow> m_leases;

  bool operator==(const MachineState&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_clockMs, m_planIndex, m_plans, m_accounts, m_catalog);
    aArchive(m_changes, m_orders, m_leases);
  }
};

} // namespace persimmontally

#endif
