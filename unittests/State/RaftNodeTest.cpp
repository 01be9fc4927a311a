/// Tests of a single Raft member that is driven message by message.

#include "persimmontally/State/RaftNode.h"

#include <doctest/doctest.h>

using namespace persimmontally;

static GroupConfig ThreeVoters()
{
  GroupConfig config;
  for (const char* name : { "a", "b", "c" }) {
    config.m_members.push_back({ DiskId(name), HostId(name), {}, true });
  }
  return config;
}

/// Returns the disk content of a member with a snapshot and entries after it.
static RaftRecovery RecoveredLog(uint64_t aSnapshotIndex, uint64_t aLastIndex)
{
  RaftRecovery recovery;
  recovery.m_hardState.m_term = 4;
  recovery.m_snapshot.m_index = aSnapshotIndex;
  recovery.m_snapshot.m_term = 4;
  recovery.m_snapshot.m_config = ThreeVoters();
  for (uint64_t i = aSnapshotIndex + 1; i <= aLastIndex; ++i) {
    recovery.m_entries.push_back({ i, 4, EntryKind::Command, 0, "x" });
  }
  return recovery;
}

static RaftMessage SnapshotFromLeader(uint64_t aIndex, uint64_t aTerm)
{
  InstallSnapshot body;
  body.m_snapshot.m_index = aIndex;
  body.m_snapshot.m_term = aTerm;
  body.m_snapshot.m_config = ThreeVoters();
  body.m_snapshot.m_data = "state";
  return { "group", DiskId("b"), DiskId("a"), 5, body };
}

// Guards against a follower that drops acknowledged entries after a snapshot
// which its log already covers: they are lost when the leader crashes. Found by
// seed 1000090 of the histories.
TEST_CASE("a snapshot drops the entries after it only where the log differs")
{
  struct Row
  {
    uint64_t m_snapshotIndex;
    uint64_t m_snapshotTerm;
    uint64_t m_lastIndex;
    uint64_t m_commitIndex;
    bool m_isInstalled;
  };
  for (const Row& row : {
         Row{ 197, 4, 225, 197, false }, // covered by the log
         Row{ 225, 4, 225, 225, false }, // covered up to the last entry
         Row{ 197, 3, 197, 197, true },  // entry of another term at its index
         Row{ 300, 4, 300, 300, true },  // beyond the log
         Row{ 190, 4, 225, 195, false }, // older than the member's own snapshot
       }) {
    CAPTURE(row.m_snapshotIndex);
    CAPTURE(row.m_snapshotTerm);
    RaftOptions options;
    options.m_group = "group";
    options.m_self = DiskId("a");
    RaftNode node(options, RecoveredLog(195, 225), 1);
    Instant now(seconds(1));
    node.Tick(now);
    node.TakeReady();
    node.Receive(now,
                 SnapshotFromLeader(row.m_snapshotIndex, row.m_snapshotTerm));
    RaftReady ready = node.TakeReady();
    CHECK(node.LastIndex() == row.m_lastIndex);
    CHECK(node.CommitIndex() == row.m_commitIndex);
    CHECK(ready.m_snapshot.has_value() == row.m_isInstalled);
  }
}
