#ifndef PERSIMMONTALLY_STATE_STATESERVICE_H
#define PERSIMMONTALLY_STATE_STATESERVICE_H

#include "persimmontally/State/LogStore.h"
#include "persimmontally/State/RaftNode.h"
#include "persimmontally/State/StateMachine.h"
#include "persimmontally/State/VoterRepair.h"
#include "persimmontally/Support/Settings.h"
#include "persimmontally/Wire/Codec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace persimmontally {

struct StateOptions
{
  HostId m_host;
  /// Where other hosts reach this one.
  Endpoint m_peer;
  /// Hosts that found the group.
  std::vector<HostId> m_bootstrapHosts;
  /// Peer endpoints of the hosts that found the group, as an alternative to
  /// `m_bootstrapHosts`.
  std::vector<Endpoint> m_bootstrapPeers;
  size_t m_voters = 3;
  Duration m_replaceVoterAfter = seconds(30);
  Duration m_orderRetention = std::chrono::hours(24);
  /// Delay until a proposal without a reply is sent again, to the leader that
  /// is then known.
  Duration m_resendAfter = milliseconds(300);
  Duration m_proposalTimeout = seconds(5);
  /// Number of log entries at which the log is compacted into a snapshot.
  size_t m_compactAfter = 2000;
  /// Bytes of applied commands at which the log is compacted. Keeps the log far
  /// below the size of the smallest supported disk (128 MB).
  size_t m_compactAfterBytes = size_t(8) << 20;
  /// Whether the leader sends the lists to hosts without a disk, and whether
  /// this host pulls them. Not needed where another component spreads them.
  bool m_pushesLists = true;
  bool m_pullsLists = true;
  RaftOptions m_raft;
};

/// Local view of a host, including this one.
struct StatePeer
{
  HostId m_host;
  DataCentreId m_dataCentre;
  Endpoint m_peer;
  DiskId m_disk;
  std::string m_group;
  uint64_t m_listsIndex = 0;
  bool m_isAlive = false;
  bool m_isSuspected = false;
  /// When the host was declared dead or departed; empty if it is alive.
  std::optional<Instant> m_downSince;
};

/// Message to be sent to a peer host.
struct StateSend
{
  Endpoint m_to;
  PeerMessage m_message;
};

/// Event for the log of this host.
struct StateEvent
{
  std::string m_event;
  std::string m_detail;
};

/// One host's access to the replicated state. A host with a store can be a
/// member of the Raft group. A host without one sends proposals to the leader
/// and pulls newer lists from peers, compared by log index.
class StateService
{
public:
  using Callback = std::function<void(const CommandResult&)>;

  StateService(StateOptions aOptions,
               std::unique_ptr<LogStore> aStore,
               uint64_t aSeed);

  /// Runs elections, heartbeats, voter repair, resends and list pulls that are
  /// due, and flushes.
  void Tick(Instant aNow);
  /// Replaces the local view of the hosts.
  void SetPeers(std::vector<StatePeer> aPeers) { m_peers = std::move(aPeers); }
  void Receive(Instant aNow, const RaftMessage& aMessage);
  void Receive(Instant aNow, const ProposeRequest& aMessage);
  void Receive(Instant aNow, const ProposeReply& aMessage);
  void Receive(Instant aNow, const ListsPull& aMessage);
  void Receive(Instant aNow, const ListsState& aMessage);

  /// Proposes a command to the group. The callback receives its result, or
  /// `Undecided` if none arrived before the timeout; the command may then still
  /// take effect.
  void Propose(Instant aNow, Command aCommand, Callback aCallback);

  /// Writes, syncs, sends and applies pending work of the Raft member. Called
  /// once per event loop iteration, so that one sync covers everything received
  /// since the last.
  void Flush();

  std::vector<StateSend> TakeSends();
  std::vector<StateEvent> TakeEvents();

  /// The lists in force on this host.
  const ListsState& Plans() const { return m_plans; }
  const DiskId& Disk() const { return m_disk; }
  const std::string& Group() const { return m_group; }
  bool IsLeader() const;
  /// The Raft member, or null if this host is none.
  const RaftNode* Raft() const { return m_raft.get(); }
  const StateMachine& Machine() const { return m_machine; }
  /// Returns the leader's host by this host's local view; empty if unknown.
  HostId LeaderHost() const;
  uint64_t SyncCount() const { return m_syncCount; }
  /// Closes the store after a disk failure. Until `Recover` this host is not an
  /// active member of the group.
  void CloseStore();
  /// Restores the member from a newly opened store, as after a restart: entries
  /// that were not written count as never received.
  void Recover(std::unique_ptr<LogStore> aStore);
  /// Error of the store or of a snapshot; not OK from the failure until
  /// `Recover`.
  const absl::Status& Failure() const { return m_failure; }
  /// Returns whether the lists are at least as new as those of every live peer;
  /// without live peers, whether there are lists at all.
  bool HasCurrentLists() const { return m_hasCurrentLists; }

private:
  /// Proposal of this host that waits for its result.
  struct Pending
  {
    Command m_command;
    Callback m_callback;
    Instant m_deadline;
    Instant m_sentAt;
    bool m_sent = false;
  };
  /// Proposal that this host, as the leader, has appended to its log.
  struct LocalProposal
  {
    std::string m_proposal;
    HostId m_from;
    Endpoint m_peer;
  };

  absl::Status Persist(const RaftReady& aReady);
  void SendRaft(std::vector<RaftMessage> aMessages);
  void OpenMember();
  void StartMember(RaftRecovery aRecovery);
  std::vector<HostId> BootstrapHosts() const;
  bool IsBlankMember() const;
  void TryBootstrap(Instant aNow);
  void PushLists();
  void RunRepair(Instant aNow);
  void ResendProposals(Instant aNow);
  void SendProposal(Instant aNow, const std::string& aId, Pending& aPending);
  void SendReply(const LocalProposal& aProposal, ProposeReply aReply);
  void Resolve(const std::string& aProposal, const CommandResult& aResult);
  void ApplyCommitted(const std::vector<LogEntry>& aEntries);
  void AdoptSnapshot(const Snapshot& aSnapshot);
  void PublishLists();
  void PutListsInForce(ListsState aPlans);
  void PullLists(Instant aNow);
  void CompactIfLong();
  bool AcceptsCommands() const;
  const StatePeer* FindPeer(const HostId& aHost) const;
  std::optional<Endpoint> EndpointOfDisk(const DiskId& aDisk) const;
  void AddEvent(std::string aEvent, std::string aDetail);

  StateOptions m_options;
  std::unique_ptr<LogStore> m_store;
  std::mt19937_64 m_random;
  std::string m_group;
  DiskId m_disk;
  std::unique_ptr<RaftNode> m_raft;
  StateMachine m_machine;
  uint64_t m_appliedIndex = 0;
  /// Bytes of commands applied since the last snapshot.
  size_t m_appliedBytes = 0;
  ListsState m_plans;
  std::vector<StatePeer> m_peers;
  /// Leader named by the last reply to a proposal.
  HostId m_leaderHint;
  std::map<std::string, Pending> m_pending;
  /// Proposals appended by this leader, by log index.
  std::map<uint64_t, LocalProposal> m_localProposals;
  uint64_t m_nextProposal = 1;
  std::string m_proposalPrefix;
  Instant m_nextPull;
  uint64_t m_syncCount = 0;
  absl::Status m_failure;
  bool m_hasCurrentLists = false;
  std::vector<StateSend> m_sends;
  std::vector<StateEvent> m_events;
};

} // namespace persimmontally

#endif
