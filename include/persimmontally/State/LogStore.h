#ifndef PERSIMMONTALLY_STATE_LOGSTORE_H
#define PERSIMMONTALLY_STATE_LOGSTORE_H

#include "persimmontally/State/RaftNode.h"
#include "persimmontally/Wire/StateMessage.h"

#include "absl/status/statusor.h"

#include <memory>
#include <string>

namespace persimmontally {

/// Durable storage of a member of the replicated group: identity, Raft log,
/// snapshot and lists. Functions that write return OK only when the data is
/// durable.
class LogStore
{
public:
  virtual ~LogStore() = default;

  /// Identity of the data folder, created when the folder is first used.
  virtual const DiskId& Disk() const = 0;
  /// Group that the folder belongs to; empty for a new folder.
  virtual const std::string& Group() const = 0;
  /// Stores the group that the folder belongs to.
  virtual absl::Status JoinGroup(const std::string& aGroup) = 0;
  /// Stores the hard state, snapshot, truncation and new entries of `aReady`.
  virtual absl::Status Write(const RaftReady& aReady) = 0;
  /// Stores a snapshot and removes the entries that it covers from the log.
  virtual absl::Status Compact(const Snapshot& aSnapshot) = 0;
  /// Stores the lists of plans and accounts that this host applies from now
  /// on.
  virtual absl::Status StoreLists(const ListsState& aLists) = 0;
  /// Returns the lists stored last; their index is 0 when none are stored.
  virtual ListsState RecoverLists() = 0;
  /// Returns the stored hard state, snapshot and log entries.
  virtual RaftRecovery Recover() = 0;
};

/// Opens a data folder and creates it when it is absent. An incomplete record
/// at the end of the log, which a crash during a write leaves behind, is cut
/// off. Any other damage is an error with the file, and with the byte offset
/// for a record of the log.
absl::StatusOr<std::unique_ptr<LogStore>> OpenFileLogStore(
  const std::string& aFolder);

} // namespace persimmontally

#endif
