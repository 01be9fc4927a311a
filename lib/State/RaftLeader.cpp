// The leader's part of a Raft member: replication, and changes of the group's
// configuration.

#include "persimmontally/State/RaftNode.h"

#include "persimmontally/Wire/Codec.h"

#include <algorithm>
#include <utility>

namespace persimmontally {

// Changes of the configuration.

bool RaftNode::CanChangeConfig() const
{
  return m_role == RaftRole::Leader && m_commitIndex >= m_termStartIndex &&
         m_configs.back().m_index <= m_commitIndex;
}

static size_t CountDifferences(const GroupConfig& aLeft,
                               const GroupConfig& aRight)
{
  auto isIn = [](const GroupMember& aMember, const GroupConfig& aConfig) {
    return std::any_of(aConfig.m_members.begin(),
                       aConfig.m_members.end(),
                       [&](const GroupMember& aOther) {
                         return aOther.m_disk == aMember.m_disk &&
                                aOther.m_votes == aMember.m_votes;
                       });
  };
  std::set<DiskId> changed;
  for (const GroupMember& member : aLeft.m_members) {
    if (!isIn(member, aRight)) {
      changed.insert(member.m_disk);
    }
  }
  for (const GroupMember& member : aRight.m_members) {
    if (!isIn(member, aLeft)) {
      changed.insert(member.m_disk);
    }
  }
  return changed.size();
}

bool RaftNode::ProposeConfig(Instant aNow, const GroupConfig& aConfig)
{
  if (!CanChangeConfig() || CountDifferences(Config(), aConfig) > 1) {
    return false;
  }
  AppendAsLeader(aNow, EntryKind::Config, Encode(aConfig));
  BroadcastAppend(aNow);
  return true;
}

bool RaftNode::HasCaughtUp(Instant aNow, const DiskId& aMember) const
{
  auto at = m_progress.find(aMember);
  if (at == m_progress.end() || !at->second.m_wasContacted) {
    return false;
  }
  return at->second.m_match >= m_commitIndex &&
         at->second.m_lastContactAt + m_options.m_electionTimeout >= aNow;
}

Duration RaftNode::SilenceOf(Instant aNow, const DiskId& aMember) const
{
  auto at = m_progress.find(aMember);
  return at == m_progress.end() ? Duration(0)
                                : aNow - at->second.m_lastContactAt;
}

// Start of a term, and its periodic work.

void RaftNode::BecomeLeader(Instant aNow)
{
  m_role = RaftRole::Leader;
  m_leader = m_options.m_self;
  m_leaderSince = aNow;
  m_lastEntryTime = aNow;
  m_progress.clear();
  m_termStartIndex = LastIndex() + 1;
  AppendAsLeader(aNow, EntryKind::Empty, "");
  BroadcastAppend(aNow);
  auto previous = m_progress.find(std::exchange(m_previousLeader, DiskId()));
  if (previous != m_progress.end()) {
    previous->second.m_lastContactAt = m_leaderContactAt;
  }
}

void RaftNode::TickAsLeader(Instant aNow)
{
  if (aNow < m_nextHeartbeatAt) {
    return;
  }
  std::set<DiskId> recentMembers = { m_options.m_self };
  for (const auto& [member, progress] : m_progress) {
    if (progress.m_wasContacted &&
        progress.m_lastContactAt + m_options.m_electionTimeout > aNow) {
      recentMembers.insert(member);
    }
  }
  bool isPastElectionTimeout =
    m_leaderSince + m_options.m_electionTimeout <= aNow;
  if (isPastElectionTimeout && !HasMajority(recentMembers)) {
    BecomeFollower(aNow, m_hardState.m_term, DiskId());
    return;
  }
  BroadcastAppend(aNow);
}

// Replication to the other members.

uint64_t RaftNode::AppendAsLeader(Instant aNow,
                                  EntryKind aKind,
                                  std::string aData)
{
  LogEntry entry;
  entry.m_index = LastIndex() + 1;
  entry.m_term = m_hardState.m_term;
  entry.m_kind = aKind;
  entry.m_elapsedMs = static_cast<uint64_t>(
    std::max<int64_t>(0, ToMilliseconds(aNow - m_lastEntryTime)));
  m_lastEntryTime += milliseconds(entry.m_elapsedMs);
  entry.m_data = std::move(aData);
  StoreEntry(entry);
  return entry.m_index;
}

std::optional<uint64_t> RaftNode::Propose(Instant aNow, std::string aData)
{
  if (m_role != RaftRole::Leader) {
    return std::nullopt;
  }
  uint64_t index = AppendAsLeader(aNow, EntryKind::Command, std::move(aData));
  for (const GroupMember& member : Config().m_members) {
    if (member.m_disk != m_options.m_self) {
      SendAppend(aNow, member.m_disk);
    }
  }
  return index;
}

void RaftNode::BroadcastAppend(Instant aNow)
{
  m_nextHeartbeatAt = aNow + m_options.m_heartbeat;
  for (const GroupMember& member : Config().m_members) {
    if (member.m_disk != m_options.m_self) {
      SendAppend(aNow, member.m_disk);
    }
  }
}

void RaftNode::SendAppend(Instant aNow, const DiskId& aTo)
{
  auto [at, isNew] = m_progress.try_emplace(aTo);
  Progress& progress = at->second;
  if (isNew) {
    progress.m_next = LastIndex() + 1;
    progress.m_lastContactAt = aNow;
  }
  if (progress.m_next <= m_snapshot.m_index) {
    bool sentRecently =
      progress.m_snapshotSentAt != Instant() &&
      aNow < progress.m_snapshotSentAt + m_options.m_snapshotResend;
    if (!sentRecently) {
      progress.m_snapshotSentAt = aNow;
      Send(aTo, m_hardState.m_term, InstallSnapshot{ m_snapshot });
    }
    return;
  }
  AppendRequest request;
  request.m_previousIndex = progress.m_next - 1;
  request.m_previousTerm = TermAt(request.m_previousIndex);
  request.m_commitIndex = m_commitIndex;
  size_t bytes = 0;
  while (progress.m_next <= LastIndex() && bytes < m_options.m_maxAppendBytes) {
    const LogEntry* entry = EntryAt(progress.m_next);
    bytes += entry->m_data.size() + sizeof(LogEntry);
    request.m_entries.push_back(*entry);
    ++progress.m_next;
  }
  Send(aTo, m_hardState.m_term, std::move(request));
}

void RaftNode::AdvanceCommit()
{
  std::vector<uint64_t> matches;
  for (const GroupMember& member : Config().m_members) {
    if (!member.m_votes) {
      continue;
    }
    if (member.m_disk == m_options.m_self) {
      matches.push_back(m_persistedIndex);
      continue;
    }
    auto at = m_progress.find(member.m_disk);
    matches.push_back(at == m_progress.end() ? 0 : at->second.m_match);
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end());
  uint64_t index = matches[(matches.size() - 1) / 2];
  // Entries of earlier terms are committed only by committing an entry of the
  // current term (Raft, section 5.4.2).
  if (index > m_commitIndex && TermAt(index) == m_hardState.m_term) {
    CommitTo(index);
  }
}

void RaftNode::Handle(Instant aNow,
                      const RaftMessage& aFrom,
                      const AppendReply& aBody)
{
  if (aFrom.m_term > m_hardState.m_term) {
    BecomeFollower(aNow, aFrom.m_term, DiskId());
    return;
  }
  if (m_role != RaftRole::Leader || aFrom.m_term != m_hardState.m_term) {
    return;
  }
  Progress& progress = m_progress[aFrom.m_from];
  progress.m_lastContactAt = aNow;
  progress.m_wasContacted = true;
  if (!aBody.m_accepted) {
    uint64_t next = std::min(aBody.m_matchIndex + 1, progress.m_next);
    next = std::max(next, progress.m_match + 1);
    // A follower that rejects entries it has acknowledged would reject an
    // immediate resend again, in an endless loop. Retry with the next
    // heartbeat.
    bool isConsistent = aBody.m_matchIndex >= progress.m_match;
    progress.m_next = next;
    if (isConsistent) {
      SendAppend(aNow, aFrom.m_from);
    }
    return;
  }
  progress.m_match = std::max(progress.m_match, aBody.m_matchIndex);
  progress.m_next = std::max(progress.m_next, progress.m_match + 1);
  AdvanceCommit();
  if (progress.m_next <= LastIndex()) {
    SendAppend(aNow, aFrom.m_from);
  }
}

} // namespace persimmontally
