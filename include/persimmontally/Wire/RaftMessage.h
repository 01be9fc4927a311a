#ifndef PERSIMMONTALLY_WIRE_RAFTMESSAGE_H
#define PERSIMMONTALLY_WIRE_RAFTMESSAGE_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Settings.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmontally {

/// One member of the replicated group. It is identified by its data folder: a
/// host that lost the content of its disk is a new member.
struct GroupMember
{
  DiskId m_disk;
  HostId m_host;
  Endpoint m_peer;
  /// False for a learner, which receives the log but does not count towards a
  /// quorum.
  bool m_votes = true;

  bool operator==(const GroupMember&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_disk, m_host, m_peer, m_votes);
  }
};

struct GroupConfig
{
  std::vector<GroupMember> m_members;

  bool operator==(const GroupConfig&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_members);
  }
};

enum class EntryKind : uint8_t
{
  Empty,
  Config,
  Command
};

struct LogEntry
{
  uint64_t m_index = 0;
  uint64_t m_term = 0;
  EntryKind m_kind = EntryKind::Empty;
  /// Time since the previous entry by the leader's monotonic clock. The sum
  /// over all entries is the group clock, which retention uses; it can lag
  /// behind real time but never runs ahead of it.
  uint64_t m_elapsedMs = 0;
  std::string m_data;

  bool operator==(const LogEntry&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_index, m_term, m_kind, m_elapsedMs, m_data);
  }
};

/// State machine content up to a log index, and the configuration in force at
/// that index.
struct Snapshot
{
  uint64_t m_index = 0;
  uint64_t m_term = 0;
  GroupConfig m_config;
  std::string m_data;

  bool operator==(const Snapshot&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_index, m_term, m_config, m_data);
  }
};

struct VoteRequest
{
  /// A pre-vote checks whether an election could be won and changes no state.
  bool m_isPreVote = false;
  uint64_t m_lastIndex = 0;
  uint64_t m_lastTerm = 0;

  bool operator==(const VoteRequest&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_isPreVote, m_lastIndex, m_lastTerm);
  }
};

struct VoteReply
{
  bool m_isPreVote = false;
  bool m_granted = false;

  bool operator==(const VoteReply&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_isPreVote, m_granted);
  }
};

struct AppendRequest
{
  uint64_t m_previousIndex = 0;
  uint64_t m_previousTerm = 0;
  uint64_t m_commitIndex = 0;
  std::vector<LogEntry> m_entries;

  bool operator==(const AppendRequest&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_previousIndex, m_previousTerm, m_commitIndex, m_entries);
  }
};

struct AppendReply
{
  bool m_accepted = false;
  /// Last index known to match; after a rejection, the index from which the
  /// leader shall continue.
  uint64_t m_matchIndex = 0;

  bool operator==(const AppendReply&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_accepted, m_matchIndex);
  }
};

struct InstallSnapshot
{
  Snapshot m_snapshot;

  bool operator==(const InstallSnapshot&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_snapshot);
  }
};

/// A message between two members of the group.
struct RaftMessage
{
  std::string m_group;
  DiskId m_from;
  DiskId m_to;
  uint64_t m_term = 0;
  std::
    variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshot>
      m_body;

  bool operator==(const RaftMessage&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_group, m_from, m_to, m_term, m_body);
  }
};

} // namespace persimmontally

#endif
