#ifndef PERSIMMONTALLY_STATE_RAFTNODE_H
#define PERSIMMONTALLY_STATE_RAFTNODE_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/RaftMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// Raft state of a member that must survive a restart, besides its log.
struct HardState
{
  uint64_t m_term = 0;
  DiskId m_votedFor;

  bool operator==(const HardState&) const = default;
};

/// State that a member recovers from its disk after a restart.
struct RaftRecovery
{
  HardState m_hardState;
  Snapshot m_snapshot;
  std::vector<LogEntry> m_entries;

  bool operator==(const RaftRecovery&) const = default;
};

/// Pending work for the driver. The driver writes and syncs the first four
/// members, calls `RaftNode::MarkPersisted`, sends the messages and applies the
/// committed entries, in this order.
struct RaftReady
{
  std::optional<HardState> m_hardState;
  /// First log index to remove before `m_append` is written.
  std::optional<uint64_t> m_truncateFrom;
  std::vector<LogEntry> m_append;
  /// Snapshot received from the leader; replaces the whole log.
  std::optional<Snapshot> m_snapshot;
  std::vector<RaftMessage> m_messages;
  std::vector<LogEntry> m_committed;

  bool NeedsSync() const
  {
    return m_hardState || m_truncateFrom || !m_append.empty() || m_snapshot;
  }
  bool Empty() const
  {
    return !NeedsSync() && m_messages.empty() && m_committed.empty();
  }
};

struct RaftOptions
{
  std::string m_group;
  DiskId m_self;
  Duration m_heartbeat = milliseconds(150);
  /// Each election timeout is drawn uniformly between this and twice this.
  Duration m_electionTimeout = milliseconds(1000);
  /// Shortest interval between two snapshots sent to the same member.
  Duration m_snapshotResend = seconds(2);
  /// An append request takes no further entry once it holds this many bytes.
  size_t m_maxAppendBytes = 256 * 1024;

  bool operator==(const RaftOptions&) const = default;
};

enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// One member of a Raft group (Ongaro and Ousterhout, 2014), with pre-vote,
/// check-quorum, learners and single-member configuration changes. It uses no
/// clock, disk or socket; the driver does this work (see `RaftReady`).
class RaftNode
{
public:
  RaftNode(RaftOptions aOptions, RaftRecovery aRecovery, uint64_t aSeed);

  /// Sends heartbeats as the leader, or starts an election when the election
  /// timeout has expired.
  void Tick(Instant aNow);
  void Receive(Instant aNow, const RaftMessage& aMessage);
  /// Appends a command and returns its log index; returns nothing if this
  /// member is not the leader.
  std::optional<uint64_t> Propose(Instant aNow, std::string aData);
  /// Starts a configuration change. Returns false, without effect, unless
  /// `CanChangeConfig` holds and at most one member differs.
  bool ProposeConfig(Instant aNow, const GroupConfig& aConfig);

  /// Returns the pending work and clears it.
  RaftReady TakeReady();
  /// Records that everything returned by `TakeReady` is on disk.
  void MarkPersisted();
  /// Discards the entries covered by the snapshot, which the driver must have
  /// stored before.
  void Compact(const Snapshot& aSnapshot);

  RaftRole Role() const { return m_role; }
  uint64_t Term() const { return m_hardState.m_term; }
  const DiskId& Leader() const { return m_leader; }
  const DiskId& Self() const { return m_options.m_self; }
  const GroupConfig& Config() const { return m_configs.back().m_config; }
  uint64_t CommitIndex() const { return m_commitIndex; }
  uint64_t LastIndex() const;
  uint64_t TermAt(uint64_t aIndex) const;
  const Snapshot& LastSnapshot() const { return m_snapshot; }
  size_t LogSize() const { return m_entries.size(); }
  /// Returns the configuration in force at a log index, for snapshots.
  GroupConfig ConfigAt(uint64_t aIndex) const;
  /// Returns whether a member holds all committed entries and has replied
  /// within the election timeout.
  bool HasCaughtUp(Instant aNow, const DiskId& aMember) const;
  /// Returns the time since a member last replied to this leader or, before its
  /// first reply, since this leader began to replicate to it; for the previous
  /// leader, since its last message. Zero for members to which this member does
  /// not replicate.
  Duration SilenceOf(Instant aNow, const DiskId& aMember) const;
  /// Returns whether this member is the leader, has committed an entry of its
  /// own term and has no uncommitted configuration change.
  bool CanChangeConfig() const;

private:
  /// Replication state of another member, kept by the leader.
  struct Progress
  {
    /// Next log index to send.
    uint64_t m_next = 1;
    /// Highest log index known to be on the member's disk.
    uint64_t m_match = 0;
    /// Time of the last reply or, before the first, of the start of
    /// replication.
    Instant m_lastContactAt;
    Instant m_snapshotSentAt;
    bool m_wasContacted = false;
  };
  struct ConfigAtIndex
  {
    uint64_t m_index = 0;
    GroupConfig m_config;
  };

  void BecomeFollower(Instant aNow, uint64_t aTerm, const DiskId& aLeader);
  void StartElection(Instant aNow, bool aIsPreVote);
  void BecomeLeader(Instant aNow);
  void ResetElectionTimer(Instant aNow);
  void TickAsLeader(Instant aNow);

  void Handle(Instant aNow, const RaftMessage& aFrom, const VoteRequest& aBody);
  void Handle(Instant aNow, const RaftMessage& aFrom, const VoteReply& aBody);
  void Handle(Instant aNow,
              const RaftMessage& aFrom,
              const AppendRequest& aBody);
  void Handle(Instant aNow, const RaftMessage& aFrom, const AppendReply& aBody);
  void Handle(Instant aNow,
              const RaftMessage& aFrom,
              const InstallSnapshot& aBody);

  uint64_t AppendAsLeader(Instant aNow, EntryKind aKind, std::string aData);
  void StoreEntry(const LogEntry& aEntry);
  void TruncateFrom(uint64_t aIndex);
  uint64_t ConflictHint(uint64_t aIndex) const;
  void SendAppend(Instant aNow, const DiskId& aTo);
  void BroadcastAppend(Instant aNow);
  void AdvanceCommit();
  void CommitTo(uint64_t aIndex);
  bool IsVoter(const DiskId& aMember) const;
  size_t VoterCount() const;
  bool HasMajority(const std::set<DiskId>& aMembers) const;
  bool IsUpToDate(const VoteRequest& aRequest) const;
  bool HasRecentLeaderContact(Instant aNow) const;
  void Send(const DiskId& aTo, uint64_t aTerm, decltype(RaftMessage::m_body));
  const LogEntry* EntryAt(uint64_t aIndex) const;

  RaftOptions m_options;
  std::mt19937_64 m_random;
  HardState m_hardState;
  Snapshot m_snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<LogEntry> m_entries;
  /// Configurations in the snapshot and the log, by ascending index.
  std::vector<ConfigAtIndex> m_configs;

  RaftRole m_role = RaftRole::Follower;
  DiskId m_leader;
  uint64_t m_commitIndex = 0;
  uint64_t m_persistedIndex = 0;
  /// Last log index that `TakeReady` has returned to the driver.
  uint64_t m_takenIndex = 0;
  /// Index of the first entry of this leader's term.
  uint64_t m_termStartIndex = 0;
  std::set<DiskId> m_votes;
  std::map<DiskId, Progress> m_progress;

  Instant m_electionDeadline;
  Instant m_leaderContactAt;
  /// The leader that sent the last message, until this member becomes one.
  DiskId m_previousLeader;
  bool m_hadLeaderContact = false;
  Instant m_nextHeartbeatAt;
  Instant m_leaderSince;
  /// Time up to which the entries of this leader account for elapsed time.
  Instant m_lastEntryTime;
  bool m_started = false;
  RaftReady m_ready;
};

} // namespace persimmontally

#endif
