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
  std::vector<HostId> m_bootstrapHosts;
  /// Instead of their names, the peer endpoints of the hosts that found the
  /// group.
  std::vector<Endpoint> m_bootstrapPeers;
  size_t m_voters = 3;
  Duration m_replaceVoterAfter = seconds(30);
  Duration m_orderRetention = std::chrono::hours(24);
  /// A proposal is sent again after this, to the leader known by then.
  Duration m_resendAfter = milliseconds(300);
  Duration m_proposalTimeout = seconds(5);
  /// Entries in the log before a snapshot replaces them.
  size_t m_compactAfter = 2000;
  /// Bytes of applied commands before a snapshot replaces them; keeps the log
  /// far below the smallest disk that is planned for (128 MB).
  size_t m_compactAfterBytes = size_t(8) << 20;
  RaftOptions m_raft;
};

/// A peer as the state needs to know it.
struct StatePeer
{
  HostId m_host;
  DataCentreId m_dataCentre;
  Endpoint m_peer;
  DiskId m_disk;
  std::string m_group;
  uint64_t m_planIndex = 0;
  bool m_isAlive = false;
  Duration m_downFor{ 0 };
};

struct StateSend
{
  Endpoint m_to;
  PeerMessage m_message;
};

/// Log line that the state wants written.
struct StateEvent
{
  std::string m_event;
  std::string m_detail;
};

/// The replicated state as one host sees it. With a store it can be a member
/// of the group; without one it sends its proposals to the leader and follows
/// the lists by their log index.
class StateService
{
public:
  using Callback = std::function<void(const CommandResult&)>;

  StateService(StateOptions aOptions,
               std::unique_ptr<LogStore> aStore,
               uint64_t aSeed);

  void Tick(Instant aNow, const std::vector<StatePeer>& aPeers);
  void Receive(Instant aNow, const RaftMessage& aMessage);
  void Receive(Instant aNow, const ProposeRequest& aMessage);
  void Receive(Instant aNow, const ProposeReply& aMessage);
  void Receive(Instant aNow, const PlanPull& aMessage);
  void Receive(Instant aNow, const PlanState& aMessage);

  /// Has the group decide a command. The callback gets `Undecided` when no
  /// decision came in time; the command may then still take effect.
  void Propose(Instant aNow, Command aCommand, Callback aCallback);

  /// Writes, syncs, sends and applies what is due. Called once a turn of the
  /// loop, so that one sync serves all that came since the last.
  void Flush();

  std::vector<StateSend> TakeSends();
  std::vector<StateEvent> TakeEvents();

  /// The lists in force on this host.
  const PlanState& Plans() const { return m_plans; }
  const DiskId& Disk() const { return m_disk; }
  const std::string& Group() const { return m_group; }
  bool IsLeader() const;
  /// The member's own log, or null.
  const RaftNode* Raft() const { return m_raft.get(); }
  const StateMachine& Machine() const { return m_machine; }
  HostId LeaderHost() const;
  uint64_t SyncCount() const { return m_syncCount; }
  /// Lets go of the store after its disk failed. Until `Recover` this host
  /// takes no part in the group and decides nothing.
  void CloseStore();
  /// Starts again from what a newly opened store holds, as after a restart:
  /// what was not written counts as never received.
  void Recover(std::unique_ptr<LogStore> aStore);
  /// Set once the disk failed, until `Recover`.
  const absl::Status& Failure() const { return m_failure; }
  /// Whether the lists are at least as new as every live peer's.
  bool IsCurrent() const { return m_isCurrent; }

private:
  struct Pending
  {
    Command m_command;
    Callback m_callback;
    Instant m_deadline;
    Instant m_sentAt;
    bool m_sent = false;
  };
  struct LocalProposal
  {
    std::string m_proposal;
    HostId m_from;
  };

  absl::Status Persist(const RaftReady& aReady);
  void SendRaft(std::vector<RaftMessage> aMessages);
  void OpenMember();
  void StartMember(RaftRecovery aRecovery);
  std::vector<HostId> BootstrapHosts() const;
  void TryBootstrap(Instant aNow);
  void PushLists();
  void RunRepair(Instant aNow);
  void ResendProposals(Instant aNow);
  void SendProposal(Instant aNow, const std::string& aId, Pending& aPending);
  void Answer(const HostId& aTo, ProposeReply aReply);
  void Resolve(const std::string& aProposal, const CommandResult& aResult);
  void ApplyCommitted(const std::vector<LogEntry>& aEntries);
  void AdoptSnapshot(const Snapshot& aSnapshot);
  void PublishLists();
  void ShowPlans(PlanState aPlans);
  void PullLists(Instant aNow);
  void CompactIfLong();
  bool AcceptsCommands() const;
  const StatePeer* FindPeer(const HostId& aHost) const;
  std::optional<Endpoint> EndpointOfDisk(const DiskId& aDisk) const;
  void Report(std::string aEvent, std::string aDetail);

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
  PlanState m_plans;
  std::vector<StatePeer> m_peers;
  HostId m_leaderHint;
  std::map<std::string, Pending> m_pending;
  /// Proposals in this leader's log, by index.
  std::map<uint64_t, LocalProposal> m_local;
  uint64_t m_nextProposal = 1;
  std::string m_proposalPrefix;
  Instant m_nextPull;
  uint64_t m_syncCount = 0;
  absl::Status m_failure;
  bool m_isCurrent = false;
  std::vector<StateSend> m_sends;
  std::vector<StateEvent> m_events;
};

} // namespace persimmontally

#endif
