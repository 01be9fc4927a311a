#ifndef PERSIMMONTALLY_STATE_LOGSTORE_H
#define PERSIMMONTALLY_STATE_LOGSTORE_H

#include "persimmontally/State/RaftNode.h"
#include "persimmontally/Wire/StateMessage.h"

#include "absl/status/statusor.h"

#include <memory>
#include <string>

namespace persimmontally {

/// Where a member of the replicated group keeps its log. Every call returns
/// after the data is durable.
class LogStore
{
public:
  virtual ~LogStore() = default;

  /// Identity of the data folder, made when the folder is first used.
  virtual const DiskId& Disk() const = 0;
  /// Group the folder belongs to; empty when it is new.
  virtual const std::string& Group() const = 0;
  virtual absl::Status JoinGroup(const std::string& aGroup) = 0;
  virtual absl::Status Write(const RaftReady& aReady) = 0;
  /// Stores a snapshot and drops the entries that it covers.
  virtual absl::Status Compact(const Snapshot& aSnapshot) = 0;
  /// Stores the lists that this host shows from now on.
  virtual absl::Status StorePlans(const PlanState& aPlans) = 0;
  /// The lists stored last; of index 0 when there are none.
  virtual PlanState RecoverPlans() = 0;
  /// What the folder held when it was opened.
  virtual RaftRecovery Recover() = 0;
};

/// Opens a data folder. A record cut off at the end of the log by a crash is
/// removed; any other damage is an error that names the file and offset.
absl::StatusOr<std::unique_ptr<LogStore>> OpenFileLogStore(
  const std::string& aFolder);

} // namespace persimmontally

#endif
