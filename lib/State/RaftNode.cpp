#include "persimmontally/State/RaftNode.h"

#include "persimmontally/Wire/Codec.h"

#include <algorithm>
#include <cassert>

namespace persimmontally {

RaftNode::RaftNode(RaftOptions aOptions, RaftRecovery aRecovery, uint64_t aSeed)
  : m_options(std::move(aOptions))
  , m_random(aSeed)
  , m_hardState(aRecovery.m_hardState)
  , m_snapshot(std::move(aRecovery.m_snapshot))
{
  m_commitIndex = m_snapshot.m_index;
  m_configs.push_back({ m_snapshot.m_index, m_snapshot.m_config });
  for (const LogEntry& entry : aRecovery.m_entries) {
    StoreEntry(entry);
  }
  m_ready = RaftReady();
  m_persistedIndex = LastIndex();
  m_takenIndex = LastIndex();
}

// Access to the log, and its truncation and compaction.

uint64_t RaftNode::LastIndex() const
{
  return m_snapshot.m_index + m_entries.size();
}

const LogEntry* RaftNode::EntryAt(uint64_t aIndex) const
{
  if (aIndex <= m_snapshot.m_index || aIndex > LastIndex()) {
    return nullptr;
  }
  return &m_entries[aIndex - m_snapshot.m_index - 1];
}

uint64_t RaftNode::TermAt(uint64_t aIndex) const
{
  if (aIndex == m_snapshot.m_index) {
    return m_snapshot.m_term;
  }
  const LogEntry* entry = EntryAt(aIndex);
  return entry == nullptr ? 0 : entry->m_term;
}

void RaftNode::StoreEntry(const LogEntry& aEntry)
{
  assert(aEntry.m_index == LastIndex() + 1 && "the log has no gaps");
  m_entries.push_back(aEntry);
  m_ready.m_append.push_back(aEntry);
  if (aEntry.m_kind != EntryKind::Config) {
    return;
  }
  auto config = Decode<GroupConfig>(aEntry.m_data);
  if (config.ok()) {
    m_configs.push_back({ aEntry.m_index, *config });
  }
}

void RaftNode::TruncateFrom(uint64_t aIndex)
{
  assert(aIndex > m_commitIndex && "committed entries are never removed");
  m_entries.resize(aIndex - m_snapshot.m_index - 1);
  while (m_configs.size() > 1 && m_configs.back().m_index >= aIndex) {
    m_configs.pop_back();
  }
  std::erase_if(m_ready.m_append, [&](const LogEntry& aEntry) {
    return aEntry.m_index >= aIndex;
  });
  m_persistedIndex = std::min(m_persistedIndex, aIndex - 1);
  if (aIndex <= m_takenIndex) {
    m_takenIndex = aIndex - 1;
    uint64_t from = m_ready.m_truncateFrom.value_or(aIndex);
    m_ready.m_truncateFrom = std::min(from, aIndex);
  }
}

GroupConfig RaftNode::ConfigAt(uint64_t aIndex) const
{
  GroupConfig config;
  for (const ConfigAtIndex& item : m_configs) {
    if (item.m_index <= aIndex) {
      config = item.m_config;
    }
  }
  return config;
}

void RaftNode::Compact(const Snapshot& aSnapshot)
{
  assert(aSnapshot.m_index <= m_commitIndex &&
         "only committed entries are compacted");
  if (aSnapshot.m_index <= m_snapshot.m_index) {
    return;
  }
  size_t drop = aSnapshot.m_index - m_snapshot.m_index;
  GroupConfig config = ConfigAt(aSnapshot.m_index);
  m_entries.erase(m_entries.begin(),
                  m_entries.begin() + static_cast<ptrdiff_t>(drop));
  m_snapshot = aSnapshot;
  std::erase_if(m_configs, [&](const ConfigAtIndex& aItem) {
    return aItem.m_index <= aSnapshot.m_index;
  });
  m_configs.insert(m_configs.begin(), { aSnapshot.m_index, config });
}

// Members and voters of the group.

bool RaftNode::IsVoter(const DiskId& aMember) const
{
  for (const GroupMember& member : Config().m_members) {
    if (member.m_disk == aMember) {
      return member.m_votes;
    }
  }
  return false;
}

size_t RaftNode::VoterCount() const
{
  size_t count = 0;
  for (const GroupMember& member : Config().m_members) {
    count += member.m_votes ? 1 : 0;
  }
  return count;
}

bool RaftNode::HasMajority(const std::set<DiskId>& aMembers) const
{
  size_t count = 0;
  for (const DiskId& member : aMembers) {
    count += IsVoter(member) ? 1 : 0;
  }
  return count * 2 > VoterCount();
}

// Elections, changes of role and periodic work.

void RaftNode::ResetElectionTimer(Instant aNow)
{
  std::uniform_int_distribution<Duration::rep> draw(
    m_options.m_electionTimeout.count(),
    2 * m_options.m_electionTimeout.count());
  m_electionDeadline = aNow + Duration(draw(m_random));
}

void RaftNode::BecomeFollower(Instant aNow,
                              uint64_t aTerm,
                              const DiskId& aLeader)
{
  if (aTerm > m_hardState.m_term) {
    m_hardState = { aTerm, DiskId() };
    m_ready.m_hardState = m_hardState;
  }
  bool wasFollower = m_role == RaftRole::Follower;
  m_role = RaftRole::Follower;
  m_leader = aLeader;
  m_votes.clear();
  m_progress.clear();
  if (!wasFollower) {
    ResetElectionTimer(aNow);
  }
}

void RaftNode::StartElection(Instant aNow, bool aIsPreVote)
{
  ResetElectionTimer(aNow);
  m_leader = DiskId();
  m_votes = { m_options.m_self };
  if (aIsPreVote) {
    m_role = RaftRole::PreCandidate;
  } else {
    m_role = RaftRole::Candidate;
    m_hardState = { m_hardState.m_term + 1, m_options.m_self };
    m_ready.m_hardState = m_hardState;
  }
  if (HasMajority(m_votes)) {
    if (aIsPreVote) {
      StartElection(aNow, false);
    } else {
      BecomeLeader(aNow);
    }
    return;
  }
  uint64_t term = m_hardState.m_term + (aIsPreVote ? 1 : 0);
  for (const GroupMember& member : Config().m_members) {
    if (member.m_votes && member.m_disk != m_options.m_self) {
      Send(member.m_disk,
           term,
           VoteRequest{ aIsPreVote, LastIndex(), TermAt(LastIndex()) });
    }
  }
}

void RaftNode::Tick(Instant aNow)
{
  if (!m_started) {
    m_started = true;
    ResetElectionTimer(aNow);
  }
  if (m_role == RaftRole::Leader) {
    TickAsLeader(aNow);
    return;
  }
  if (aNow < m_electionDeadline) {
    return;
  }
  if (!IsVoter(m_options.m_self)) {
    ResetElectionTimer(aNow);
    return;
  }
  StartElection(aNow, true);
}

bool RaftNode::HasRecentLeaderContact(Instant aNow) const
{
  if (m_role == RaftRole::Leader) {
    return true;
  }
  return m_hadLeaderContact &&
         aNow < m_leaderContactAt + m_options.m_electionTimeout;
}

// Sending of messages, and handling of votes, appended entries and snapshots.

void RaftNode::Send(const DiskId& aTo,
                    uint64_t aTerm,
                    decltype(RaftMessage::m_body) aBody)
{
  m_ready.m_messages.push_back(
    { m_options.m_group, m_options.m_self, aTo, aTerm, std::move(aBody) });
}

void RaftNode::Receive(Instant aNow, const RaftMessage& aMessage)
{
  if (aMessage.m_group != m_options.m_group ||
      aMessage.m_to != m_options.m_self) {
    return;
  }
  std::visit([&](const auto& aBody) { Handle(aNow, aMessage, aBody); },
             aMessage.m_body);
}

bool RaftNode::IsUpToDate(const VoteRequest& aRequest) const
{
  uint64_t lastTerm = TermAt(LastIndex());
  if (aRequest.m_lastTerm != lastTerm) {
    return aRequest.m_lastTerm > lastTerm;
  }
  return aRequest.m_lastIndex >= LastIndex();
}

void RaftNode::Handle(Instant aNow,
                      const RaftMessage& aFrom,
                      const VoteRequest& aBody)
{
  if (HasRecentLeaderContact(aNow)) {
    // Ignore the request, so that a partitioned or removed member cannot
    // depose a working leader.
    return;
  }
  if (aBody.m_isPreVote) {
    bool granted = aFrom.m_term > m_hardState.m_term && IsUpToDate(aBody);
    Send(aFrom.m_from,
         granted ? aFrom.m_term : m_hardState.m_term,
         VoteReply{ true, granted });
    return;
  }
  if (aFrom.m_term > m_hardState.m_term) {
    BecomeFollower(aNow, aFrom.m_term, DiskId());
  }
  bool canVote =
    m_hardState.m_votedFor.Empty() || m_hardState.m_votedFor == aFrom.m_from;
  bool granted =
    aFrom.m_term == m_hardState.m_term && canVote && IsUpToDate(aBody);
  if (granted) {
    m_hardState.m_votedFor = aFrom.m_from;
    m_ready.m_hardState = m_hardState;
    ResetElectionTimer(aNow);
  }
  Send(aFrom.m_from, m_hardState.m_term, VoteReply{ false, granted });
}

void RaftNode::Handle(Instant aNow,
                      const RaftMessage& aFrom,
                      const VoteReply& aBody)
{
  bool isGrantedPreVote = aBody.m_isPreVote && aBody.m_granted;
  if (!isGrantedPreVote && aFrom.m_term > m_hardState.m_term) {
    BecomeFollower(aNow, aFrom.m_term, DiskId());
    return;
  }
  RaftRole expected =
    aBody.m_isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
  uint64_t term = m_hardState.m_term + (aBody.m_isPreVote ? 1 : 0);
  if (m_role != expected || aFrom.m_term != term || !aBody.m_granted) {
    return;
  }
  m_votes.insert(aFrom.m_from);
  if (!HasMajority(m_votes)) {
    return;
  }
  if (aBody.m_isPreVote) {
    StartElection(aNow, false);
  } else {
    BecomeLeader(aNow);
  }
}

void RaftNode::Handle(Instant aNow,
                      const RaftMessage& aFrom,
                      const AppendRequest& aBody)
{
  if (aFrom.m_term < m_hardState.m_term) {
    Send(aFrom.m_from, m_hardState.m_term, AppendReply{ false, LastIndex() });
    return;
  }
  assert(!(m_role == RaftRole::Leader && aFrom.m_term == m_hardState.m_term) &&
         "one term has one leader");
  BecomeFollower(aNow, aFrom.m_term, aFrom.m_from);
  ResetElectionTimer(aNow);
  m_hadLeaderContact = true;
  m_leaderContactAt = aNow;
  m_previousLeader = aFrom.m_from;

  uint64_t previous = aBody.m_previousIndex;
  bool matchesPrevious =
    previous <= LastIndex() &&
    (previous < m_snapshot.m_index || TermAt(previous) == aBody.m_previousTerm);
  if (!matchesPrevious) {
    Send(aFrom.m_from,
         m_hardState.m_term,
         AppendReply{ false, ConflictHint(previous) });
    return;
  }
  for (const LogEntry& entry : aBody.m_entries) {
    if (entry.m_index <= m_snapshot.m_index) {
      continue;
    }
    if (entry.m_index <= LastIndex()) {
      if (TermAt(entry.m_index) == entry.m_term) {
        continue;
      }
      TruncateFrom(entry.m_index);
    }
    StoreEntry(entry);
  }
  uint64_t match = previous + aBody.m_entries.size();
  CommitTo(std::min(aBody.m_commitIndex, match));
  Send(aFrom.m_from, m_hardState.m_term, AppendReply{ true, match });
}

/// Returns the index from which the leader should retry after a mismatch at
/// `aIndex`: the end of this log if it is shorter, else the last entry before
/// the conflicting term, but not below the commit index.
uint64_t RaftNode::ConflictHint(uint64_t aIndex) const
{
  if (aIndex > LastIndex()) {
    return LastIndex();
  }
  uint64_t term = TermAt(aIndex);
  uint64_t hint = aIndex;
  while (hint > m_commitIndex && TermAt(hint) == term) {
    --hint;
  }
  return hint;
}

void RaftNode::Handle(Instant aNow,
                      const RaftMessage& aFrom,
                      const InstallSnapshot& aBody)
{
  if (aFrom.m_term < m_hardState.m_term) {
    return;
  }
  BecomeFollower(aNow, aFrom.m_term, aFrom.m_from);
  ResetElectionTimer(aNow);
  m_hadLeaderContact = true;
  m_leaderContactAt = aNow;
  m_previousLeader = aFrom.m_from;
  const Snapshot& snapshot = aBody.m_snapshot;
  const LogEntry* last = EntryAt(snapshot.m_index);
  if (last != nullptr && last->m_term == snapshot.m_term) {
    // The log holds everything that the snapshot covers. Keep the entries after
    // it, because this member may have acknowledged them.
    CommitTo(snapshot.m_index);
  } else if (snapshot.m_index > m_commitIndex) {
    m_snapshot = snapshot;
    m_entries.clear();
    m_configs = { { snapshot.m_index, snapshot.m_config } };
    m_commitIndex = snapshot.m_index;
    m_persistedIndex = snapshot.m_index;
    m_takenIndex = snapshot.m_index;
    m_ready.m_truncateFrom.reset();
    m_ready.m_append.clear();
    m_ready.m_committed.clear();
    m_ready.m_snapshot = snapshot;
  }
  Send(aFrom.m_from,
       m_hardState.m_term,
       AppendReply{ true, std::max(snapshot.m_index, m_commitIndex) });
}

void RaftNode::CommitTo(uint64_t aIndex)
{
  while (m_commitIndex < aIndex) {
    const LogEntry* entry = EntryAt(m_commitIndex + 1);
    if (entry == nullptr) {
      return;
    }
    m_ready.m_committed.push_back(*entry);
    ++m_commitIndex;
  }
}

// Output for the driver, which stores entries and sends messages.

RaftReady RaftNode::TakeReady()
{
  m_takenIndex = LastIndex();
  return std::exchange(m_ready, RaftReady());
}

void RaftNode::MarkPersisted()
{
  m_persistedIndex = m_takenIndex;
  if (m_role == RaftRole::Leader) {
    AdvanceCommit();
  }
}

} // namespace persimmontally
