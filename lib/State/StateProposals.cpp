// Proposals of StateService: sending to the leader, retries and results.

#include "persimmontally/State/StateService.h"

#include <algorithm>

namespace persimmontally {

/// Largest encoded command; larger ones are refused without being proposed.
static constexpr size_t kMaxCommandBytes = 4 << 20;

bool StateService::IsLeader() const
{
  return m_raft && m_raft->Role() == RaftRole::Leader;
}

/// Returns whether the leader accepts commands. A new group accepts none until
/// it has the configured number of voters, because the commands would be stored
/// on fewer disks than the operators asked for.
bool StateService::AcceptsCommands() const
{
  if (!m_machine.IsPristine()) {
    return true;
  }
  size_t voters = 0;
  for (const GroupMember& member : m_raft->Config().m_members) {
    voters += member.m_votes ? 1 : 0;
  }
  return voters >= m_options.m_voters;
}

/// Returns the host of the leader according to Raft or, failing that, to the
/// last reply to a proposal; empty if neither names one.
HostId StateService::LeaderHost() const
{
  if (IsLeader()) {
    return m_options.m_host;
  }
  if (m_raft && !m_raft->Leader().Empty()) {
    for (const GroupMember& member : m_raft->Config().m_members) {
      if (member.m_disk == m_raft->Leader()) {
        return member.m_host;
      }
    }
  }
  return m_leaderHint;
}

void StateService::Propose(Instant aNow, Command aCommand, Callback aCallback)
{
  if (Encode(aCommand).size() > kMaxCommandBytes) {
    CommandResult result;
    result.m_status = CommandStatus::InvalidList;
    result.m_message = "the change is larger than 4 MiB";
    aCallback(result);
    return;
  }
  std::string id = m_proposalPrefix + std::to_string(m_nextProposal++);
  Pending pending;
  pending.m_command = std::move(aCommand);
  pending.m_callback = std::move(aCallback);
  pending.m_deadline = aNow + m_options.m_proposalTimeout;
  auto at = m_pending.emplace(id, std::move(pending)).first;
  SendProposal(aNow, id, at->second);
}

/// Sends a proposal to the leader or, if the leader is unknown or down, to a
/// random live host of the group, whose reply names the leader. Sends nothing
/// if there is no such host.
void StateService::SendProposal(Instant aNow,
                                const std::string& aId,
                                Pending& aPending)
{
  aPending.m_sentAt = aNow;
  aPending.m_sent = true;
  if (IsLeader()) {
    Receive(aNow,
            ProposeRequest{
              aId, m_options.m_host, m_options.m_peer, aPending.m_command });
    return;
  }
  HostId leader = LeaderHost();
  const StatePeer* peer = FindPeer(leader);
  if (peer == nullptr || !peer->m_isAlive || peer->m_host == m_options.m_host) {
    std::vector<const StatePeer*> members;
    for (const StatePeer& other : m_peers) {
      if (other.m_isAlive && !other.m_group.empty() &&
          other.m_host != m_options.m_host) {
        members.push_back(&other);
      }
    }
    if (members.empty()) {
      return;
    }
    std::uniform_int_distribution<size_t> pick(0, members.size() - 1);
    peer = members[pick(m_random)];
  }
  m_sends.push_back(
    { peer->m_peer,
      ProposeRequest{
        aId, m_options.m_host, m_options.m_peer, aPending.m_command } });
}

/// Resends the proposals without a result, and ends those whose timeout has
/// expired as `Undecided`.
void StateService::ResendProposals(Instant aNow)
{
  std::vector<std::string> expired;
  for (auto& [id, pending] : m_pending) {
    if (aNow >= pending.m_deadline) {
      expired.push_back(id);
    } else if (aNow >= pending.m_sentAt + m_options.m_resendAfter) {
      SendProposal(aNow, id, pending);
    }
  }
  for (const std::string& id : expired) {
    Resolve(id, CommandResult());
  }
}

/// Appends the command to the log, or replies with the leader's host if this
/// host is not the leader. A command that is not accepted yet gets no reply:
/// its sender resends it.
void StateService::Receive(Instant aNow, const ProposeRequest& aMessage)
{
  LocalProposal proposal{ aMessage.m_proposal,
                          aMessage.m_from,
                          aMessage.m_peer };
  if (!IsLeader()) {
    HostId leader = LeaderHost();
    SendReply(proposal, { aMessage.m_proposal, false, leader, {} });
    return;
  }
  if (!AcceptsCommands()) {
    return;
  }
  auto index = m_raft->Propose(aNow, Encode(aMessage.m_command));
  if (index) {
    m_localProposals[*index] = proposal;
  }
}

/// Ends the proposal with the leader's result, or resends it if the reply names
/// another leader.
void StateService::Receive(Instant aNow, const ProposeReply& aMessage)
{
  if (aMessage.m_isLeader) {
    m_leaderHint = aMessage.m_leaderHint;
    Resolve(aMessage.m_proposal, aMessage.m_result);
    return;
  }
  auto at = m_pending.find(aMessage.m_proposal);
  bool isNewLeader = !aMessage.m_leaderHint.Empty() &&
                     aMessage.m_leaderHint != m_leaderHint &&
                     aMessage.m_leaderHint != m_options.m_host;
  m_leaderHint = aMessage.m_leaderHint;
  if (at != m_pending.end() && isNewLeader) {
    SendProposal(aNow, at->first, at->second);
  }
}

void StateService::SendReply(const LocalProposal& aProposal,
                             ProposeReply aReply)
{
  if (aProposal.m_from == m_options.m_host) {
    if (aReply.m_isLeader) {
      Resolve(aReply.m_proposal, aReply.m_result);
    }
    return;
  }
  m_sends.push_back({ aProposal.m_peer, std::move(aReply) });
}

/// Calls the callback of a proposal with its result and removes the proposal.
/// Does nothing if the proposal has already ended.
void StateService::Resolve(const std::string& aProposal,
                           const CommandResult& aResult)
{
  auto at = m_pending.find(aProposal);
  if (at == m_pending.end()) {
    return;
  }
  Callback callback = std::move(at->second.m_callback);
  m_pending.erase(at);
  callback(aResult);
}

} // namespace persimmontally
