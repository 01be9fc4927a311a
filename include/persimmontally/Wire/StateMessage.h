#ifndef PERSIMMONTALLY_WIRE_STATEMESSAGE_H
#define PERSIMMONTALLY_WIRE_STATEMESSAGE_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Settings.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmontally {

/// The two lists that operators edit.
enum class ListKind : uint8_t
{
  Plans,
  Accounts
};

/// Replaces a whole list if its current version is the expected one.
struct PutList
{
  ListKind m_list = ListKind::Plans;
  /// Chosen by the operator; a repeated change gets the result of the first
  /// one.
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

/// Claims the right to run a non-repeatable call once.
struct StartOrder
{
  /// Account and idempotency key.
  std::string m_key;
  std::string m_bodyHash;
  /// Identifies this claim, so that a resent claim gets the result of the
  /// first.
  std::string m_attempt;
  /// Host that runs the call.
  HostId m_owner;
  uint64_t m_ownerIncarnation = 0;

  bool operator==(const StartOrder&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_bodyHash, m_attempt, m_owner, m_ownerIncarnation);
  }
};

/// Response to a non-repeatable call, stored so that retries of the caller get
/// the same response.
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
  /// The call may have run, and its response is lost.
  Unknown,
  /// The call was never sent; its key may be claimed again.
  Released,
};

/// Ends a claim: finished with a response, unknown, or released because no byte
/// was sent to an upstream.
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

/// Acquires or renews a lease. The renewal counter is compared, so that a
/// takeover based on an outdated view fails.
struct AcquireLease
{
  std::string m_name;
  HostId m_holder;
  uint64_t m_holderIncarnation = 0;
  uint64_t m_expectedRenewal = 0;
  uint32_t m_durationMs = 0;

  bool operator==(const AcquireLease&) const = default;

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
  /// Catalog as submitted by the operator; validated before it is proposed.
  std::string m_document;

  bool operator==(const PutCatalog&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_version, m_document);
  }
};

/// Linearizable read of the catalog: changes nothing, and returns the version
/// in force after all commands committed before it.
struct ReadCatalog
{
  bool operator==(const ReadCatalog&) const = default;

  template<class Archive>
  void serialize(Archive&)
  {
  }
};

/// Orders the evacuation of a data centre, or takes it back. A repeated order
/// changes nothing.
struct SetEvacuation
{
  DataCentreId m_dataCentre;
  bool m_isEvacuated = false;
  /// Log index of the data centre's last change that the proposing host knew; 0
  /// if none. A proposal that arrives after a later change has no effect.
  uint64_t m_basisIndex = 0;

  bool operator==(const SetEvacuation&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_dataCentre, m_isEvacuated, m_basisIndex);
  }
};

using Command = std::variant<PutList,
                             StartOrder,
                             EndOrder,
                             AcquireLease,
                             PutCatalog,
                             ReadCatalog,
                             SetEvacuation>;

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
  /// The group did not commit the command in time; it may still take effect.
  Undecided,
};

/// Result of a command. Which members are set depends on the command.
struct CommandResult
{
  CommandStatus m_status = CommandStatus::Undecided;
  std::string m_message;
  /// Version of the list or catalog, or renewal counter of the lease.
  uint64_t m_version = 0;
  /// Fencing token of the lease.
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

/// Submits a command to the leader. A host that is not the leader replies with
/// a hint instead.
struct ProposeRequest
{
  std::string m_proposal;
  HostId m_from;
  /// Address for the reply.
  Endpoint m_peer;
  Command m_command;

  bool operator==(const ProposeRequest&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_proposal, m_from, m_peer, m_command);
  }
};

struct ProposeReply
{
  std::string m_proposal;
  bool m_isLeader = false;
  /// Current leader, if the replying host has learnt of another one.
  HostId m_leaderHint;
  CommandResult m_result;

  bool operator==(const ProposeReply&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_proposal, m_isLeader, m_leaderHint, m_result);
  }
};

/// The last order about a data centre. Kept after an evacuation was taken back,
/// so that an earlier order that arrives late is recognized.
struct EvacuationRow
{
  DataCentreId m_dataCentre;
  bool m_isEvacuated = false;
  /// Log index of the order.
  uint64_t m_index = 0;

  bool operator==(const EvacuationRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_dataCentre, m_isEvacuated, m_index);
  }
};

/// Serializes rows at the end of a message or file, only if there are any:
/// builds without these rows read and write what has none.
template<class Archive, class Row>
void SerializeLast(Archive& aArchive, std::vector<Row>& aRows)
{
  if constexpr (Archive::is_loading::value) {
    if (aArchive.BytesLeft() > 0) {
      aArchive(aRows);
    }
  } else if (!aRows.empty()) {
    aArchive(aRows);
  }
}

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

/// Both lists, the catalog and the evacuations as committed at one log index.
struct ListsState
{
  std::string m_group;
  uint64_t m_index = 0;
  ListVersion m_plans;
  ListVersion m_accounts;
  /// Catalog of routed traffic, in the document format of the operators.
  ListVersion m_catalog;
  std::vector<EvacuationRow> m_evacuations;

  bool operator==(const ListsState&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_group, m_index, m_plans, m_accounts, m_catalog);
    SerializeLast(aArchive, m_evacuations);
  }
};

/// Requests the lists and the catalog from a peer if it has versions newer than
/// a log index.
struct ListsPull
{
  HostId m_from;
  /// Address for the answer: a host that has just started may not know the
  /// sender yet.
  Endpoint m_peer;
  uint64_t m_index = 0;

  bool operator==(const ListsPull&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_from, m_peer, m_index);
  }
};

/// Replicated record of a non-repeatable call.
struct OrderRow
{
  std::string m_key;
  std::string m_bodyHash;
  std::string m_attempt;
  HostId m_owner;
  uint64_t m_ownerIncarnation = 0;
  OrderState m_state = OrderState::Running;
  OrderAnswer m_answer;
  /// Group clock when the call was claimed.
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
  /// Incremented by each acquisition and renewal.
  uint64_t m_renewal = 0;
  /// Log index of the acquisition, sent to upstreams with each order.
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

/// Stored result of a list change, returned again if the change is resent.
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

/// Complete state of the replicated state machine.
struct ReplicatedState
{
  /// Group clock: the sum of the elapsed times of all log entries.
  uint64_t m_clockMs = 0;
  /// Log index of the last change of a list, the catalog or an evacuation.
  uint64_t m_listsIndex = 0;
  ListVersion m_plans;
  ListVersion m_accounts;
  ListVersion m_catalog;
  std::vector<ListChange> m_changes;
  std::vector<OrderRow> m_orders;
  std::vector<LeaseRow> m_leases;
  std::vector<EvacuationRow> m_evacuations;

  bool operator==(const ReplicatedState&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_clockMs, m_listsIndex, m_plans, m_accounts, m_catalog);
    aArchive(m_changes, m_orders, m_leases);
    SerializeLast(aArchive, m_evacuations);
  }
};

} // namespace persimmontally

#endif
