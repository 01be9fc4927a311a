#ifndef PERSIMMONTALLY_STATE_VOTERREPAIR_H
#define PERSIMMONTALLY_STATE_VOTERREPAIR_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/RaftMessage.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmontally {

/// A host in the leader's local view. `m_disk` is empty if the host has no data
/// folder.
struct DiskHost
{
  HostId m_host;
  DataCentreId m_dataCentre;
  Endpoint m_peer;
  DiskId m_disk;
  /// Raft group that the host's disk belongs to; empty if none.
  std::string m_group;
  bool m_isAlive = false;
  /// Whether an alive host leaves the probes of its peers unanswered.
  bool m_isSuspected = false;
  /// Time since the host went down; zero while it is alive.
  Duration m_downFor{ 0 };

  bool operator==(const DiskHost&) const = default;
};

/// Input of `PlanRepairStep`, from the leader's local view.
struct RepairView
{
  std::string m_group;
  DiskId m_leader;
  GroupConfig m_config;
  std::vector<DiskHost> m_hosts;
  /// Learners that hold all committed entries.
  std::vector<DiskId> m_caughtUp;
  /// Time for which each other member has left the leader's replication
  /// unanswered. Unlike `m_hosts`, this covers members whose hosts are gone and
  /// that the leader has never had in its table, as after a restart.
  std::map<DiskId, Duration> m_silence;
  size_t m_targetVoters = 3;
  /// Time for which a member must be down before it counts as lost.
  Duration m_replaceAfter{ 0 };
  /// Time for which a member must be silent before it counts as lost, if its
  /// host is not up either. Peers declare a host dead much later.
  Duration m_lostAfterSilence{ 0 };
};

/// Group configuration that differs from the current one in one member, and a
/// description of the change for the log.
struct RepairStep
{
  GroupConfig m_config;
  std::string m_reason;

  bool operator==(const RepairStep&) const = default;
};

/// Returns the next single-member change towards the target number of voters:
/// add a learner, promote it once it has caught up, then remove a lost or
/// surplus voter. Returns nothing if no change is needed or possible now.
/// Nothing is removed as surplus unless all voters are up.
std::optional<RepairStep> PlanRepairStep(const RepairView& aView);

} // namespace persimmontally

#endif
