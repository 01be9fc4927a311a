#include "persimmontally/State/StateService.h"

#include "persimmontally/Support/Crypto.h"

#include <algorithm>
#include <set>

namespace persimmontally {

/// Shortest interval between two requests for newer lists.
static constexpr Duration kPullPeriod = milliseconds(200);

StateService::StateService(StateOptions aOptions,
                           std::unique_ptr<LogStore> aStore,
                           uint64_t aSeed)
  : m_options(std::move(aOptions))
  , m_store(std::move(aStore))
  , m_random(aSeed)
  , m_machine(m_options.m_orderRetention)
{
  std::uniform_int_distribution<uint64_t> draw;
  m_proposalPrefix =
    m_options.m_host.Value() + "/" + std::to_string(draw(m_random)) + "/";
  if (m_store) {
    OpenMember();
  }
}

void StateService::OpenMember()
{
  m_disk = m_store->Disk();
  m_group = m_store->Group();
  ListsState stored = m_store->RecoverLists();
  if (stored.m_index > m_plans.m_index) {
    m_plans = std::move(stored);
  }
  if (!m_group.empty()) {
    StartMember(m_store->Recover());
    Flush();
  }
}

void StateService::CloseStore()
{
  m_raft.reset();
  m_store.reset();
}

void StateService::Recover(std::unique_ptr<LogStore> aStore)
{
  m_failure = absl::OkStatus();
  m_store = std::move(aStore);
  m_raft.reset();
  m_machine = StateMachine(m_options.m_orderRetention);
  m_appliedIndex = 0;
  m_appliedBytes = 0;
  m_localProposals.clear();
  OpenMember();
}

void StateService::AddEvent(std::string aEvent, std::string aDetail)
{
  m_events.push_back({ std::move(aEvent), std::move(aDetail) });
}

void StateService::StartMember(RaftRecovery aRecovery)
{
  RaftOptions options = m_options.m_raft;
  options.m_group = m_group;
  options.m_self = m_disk;
  Snapshot snapshot = aRecovery.m_snapshot;
  m_raft =
    std::make_unique<RaftNode>(options, std::move(aRecovery), m_random());
  AdoptSnapshot(snapshot);
}

/// Returns the founding hosts; empty while the host of one of the endpoints is
/// unknown.
std::vector<HostId> StateService::BootstrapHosts() const
{
  std::vector<HostId> hosts = m_options.m_bootstrapHosts;
  for (const Endpoint& endpoint : m_options.m_bootstrapPeers) {
    auto peer =
      std::find_if(m_peers.begin(), m_peers.end(), [&](const StatePeer& aPeer) {
        return aPeer.m_peer == endpoint;
      });
    if (peer == m_peers.end()) {
      return {};
    }
    hosts.push_back(peer->m_host);
  }
  return hosts;
}

/// Whether this host belongs to a group of which it has stored nothing: no
/// configuration, vote or entry.
bool StateService::IsBlankMember() const
{
  return m_raft->Term() == 0 && m_raft->LastIndex() == 0 &&
         m_raft->Config().m_members.empty();
}

/// Founds the group on the founding host with the smallest id, once all
/// founding hosts are up with new data folders and no host is in a group. The
/// other hosts join through voter repair, so that a host with an emptied data
/// folder cannot found a second group beside the existing one. Runs again on a
/// host that ended, or whose disk failed, after it had stored the name of a new
/// group and before its first member.
void StateService::TryBootstrap(Instant)
{
  if (!m_store || !m_failure.ok() || (m_raft && !IsBlankMember())) {
    return;
  }
  std::vector<HostId> founders = BootstrapHosts();
  if (founders.empty() ||
      *std::min_element(founders.begin(), founders.end()) != m_options.m_host) {
    return;
  }
  for (const HostId& host : founders) {
    if (host == m_options.m_host) {
      continue;
    }
    const StatePeer* peer = FindPeer(host);
    bool isNew = peer != nullptr && peer->m_isAlive && !peer->m_disk.Empty() &&
                 peer->m_group.empty();
    if (!isNew) {
      return;
    }
  }
  for (const StatePeer& peer : m_peers) {
    if (peer.m_host != m_options.m_host && !peer.m_group.empty()) {
      return;
    }
  }
  std::uniform_int_distribution<uint64_t> draw;
  std::string group =
    Sha256Hex(m_disk.Value() + std::to_string(draw(m_random))).substr(0, 16);
  Endpoint self;
  if (const StatePeer* own = FindPeer(m_options.m_host)) {
    self = own->m_peer;
  }
  RaftReady ready;
  ready.m_snapshot = Snapshot();
  ready.m_snapshot->m_index = 1;
  ready.m_snapshot->m_config.m_members = {
    { m_disk, m_options.m_host, self, true }
  };
  ready.m_snapshot->m_data = m_machine.TakeSnapshot();
  m_failure = m_store->JoinGroup(group);
  if (m_failure.ok()) {
    m_failure = m_store->Write(ready);
  }
  if (!m_failure.ok()) {
    return;
  }
  m_group = group;
  StartMember(m_store->Recover());
  AddEvent("group_founded", group);
}

// Periodic work: repair of the group; storing, applying and compacting the log.

void StateService::Tick(Instant aNow)
{
  TryBootstrap(aNow);
  if (m_raft) {
    RaftRole before = m_raft->Role();
    m_raft->Tick(aNow);
    if (before != RaftRole::Leader && IsLeader()) {
      AddEvent("leader_elected", "term " + std::to_string(m_raft->Term()));
    }
    if (before == RaftRole::Leader && !IsLeader()) {
      AddEvent("leadership_lost", "term " + std::to_string(m_raft->Term()));
    }
    RunRepair(aNow);
  }
  ResendProposals(aNow);
  PullLists(aNow);
  Flush();
}

void StateService::RunRepair(Instant aNow)
{
  if (!m_raft->CanChangeConfig()) {
    return;
  }
  RepairView view;
  view.m_group = m_group;
  view.m_leader = m_disk;
  view.m_config = m_raft->Config();
  view.m_targetVoters = m_options.m_voters;
  view.m_replaceAfter = m_options.m_replaceVoterAfter;
  view.m_lostAfterSilence =
    m_options.m_replaceVoterAfter + m_options.m_raft.m_electionTimeout;
  for (const StatePeer& peer : m_peers) {
    view.m_hosts.push_back({ peer.m_host,
                             peer.m_dataCentre,
                             peer.m_peer,
                             peer.m_disk,
                             peer.m_group,
                             peer.m_isAlive,
                             peer.m_isSuspected,
                             aNow - peer.m_downSince.value_or(aNow) });
  }
  for (const GroupMember& member : view.m_config.m_members) {
    if (member.m_disk != m_disk) {
      view.m_silence[member.m_disk] = m_raft->SilenceOf(aNow, member.m_disk);
    }
    if (!member.m_votes && m_raft->HasCaughtUp(aNow, member.m_disk)) {
      view.m_caughtUp.push_back(member.m_disk);
    }
  }
  auto step = PlanRepairStep(view);
  if (step && m_raft->ProposeConfig(aNow, step->m_config)) {
    AddEvent("group_repair", step->m_reason);
  }
}

absl::Status StateService::Persist(const RaftReady& aReady)
{
  absl::Status written = m_store->Write(aReady);
  if (!written.ok()) {
    AddEvent("disk_failed", std::string(written.message()));
    return written;
  }
  ++m_syncCount;
  m_raft->MarkPersisted();
  return written;
}

void StateService::SendRaft(std::vector<RaftMessage> aMessages)
{
  for (RaftMessage& message : aMessages) {
    auto to = EndpointOfDisk(message.m_to);
    if (to) {
      m_sends.push_back({ *to, std::move(message) });
    }
  }
}

void StateService::Flush()
{
  if (!m_raft || !m_failure.ok()) {
    return;
  }
  // Persisting an entry can commit it, which creates further work. The bound
  // limits the time spent in one event loop iteration.
  constexpr int kMaxRounds = 4;
  for (int round = 0; round < kMaxRounds; ++round) {
    RaftReady ready = m_raft->TakeReady();
    if (ready.Empty()) {
      return;
    }
    if (ready.NeedsSync()) {
      m_failure = Persist(ready);
      if (!m_failure.ok()) {
        return;
      }
    }
    SendRaft(std::move(ready.m_messages));
    if (ready.m_snapshot) {
      AdoptSnapshot(*ready.m_snapshot);
    }
    ApplyCommitted(ready.m_committed);
  }
  CompactIfLong();
}

void StateService::AdoptSnapshot(const Snapshot& aSnapshot)
{
  if (aSnapshot.m_data.empty()) {
    return;
  }
  absl::Status loaded = m_machine.LoadSnapshot(aSnapshot.m_data);
  if (!loaded.ok()) {
    m_failure = loaded;
    return;
  }
  m_appliedIndex = aSnapshot.m_index;
  PublishLists();
}

void StateService::ApplyCommitted(const std::vector<LogEntry>& aEntries)
{
  for (const LogEntry& entry : aEntries) {
    if (entry.m_index <= m_appliedIndex) {
      continue;
    }
    CommandResult result = m_machine.Apply(entry);
    m_appliedIndex = entry.m_index;
    m_appliedBytes += entry.m_data.size();
    auto local = m_localProposals.find(entry.m_index);
    if (local == m_localProposals.end()) {
      continue;
    }
    LocalProposal proposal = local->second;
    m_localProposals.erase(local);
    // If another leader has replaced the entry at this index, the result is not
    // that of this proposal.
    if (IsLeader() && entry.m_term == m_raft->Term()) {
      SendReply(proposal,
                { proposal.m_proposal, true, m_options.m_host, result });
    }
  }
  if (!aEntries.empty()) {
    PublishLists();
    CompactIfLong();
  }
}

void StateService::CompactIfLong()
{
  bool isLong = m_raft->LogSize() >= m_options.m_compactAfter ||
                m_appliedBytes >= m_options.m_compactAfterBytes;
  if (!isLong || m_appliedIndex <= m_raft->LastSnapshot().m_index) {
    return;
  }
  Snapshot snapshot;
  snapshot.m_index = m_appliedIndex;
  snapshot.m_term = m_raft->TermAt(m_appliedIndex);
  snapshot.m_config = m_raft->ConfigAt(m_appliedIndex);
  snapshot.m_data = m_machine.TakeSnapshot();
  // Entries appended since the last flush must be in the store before it is
  // compacted.
  RaftReady ready = m_raft->TakeReady();
  if (ready.NeedsSync()) {
    m_failure = Persist(ready);
  }
  if (m_failure.ok()) {
    m_failure = m_store->Compact(snapshot);
  }
  if (!m_failure.ok()) {
    return;
  }
  m_appliedBytes = 0;
  m_raft->Compact(snapshot);
  SendRaft(std::move(ready.m_messages));
  ApplyCommitted(ready.m_committed);
}

// Putting lists in force on this host, and their exchange with other hosts.

void StateService::PublishLists()
{
  if (m_machine.ListsIndex() <= m_plans.m_index) {
    return;
  }
  ListsState plans;
  plans.m_group = m_group;
  plans.m_index = m_machine.ListsIndex();
  plans.m_plans = m_machine.List(ListKind::Plans);
  plans.m_accounts = m_machine.List(ListKind::Accounts);
  plans.m_catalog = m_machine.Catalog();
  plans.m_evacuations = m_machine.Evacuations();
  PutListsInForce(std::move(plans));
  if (IsLeader()) {
    PushLists();
  }
}

/// Sends new lists to the live hosts that are not members of the group, so that
/// they need not wait until gossip reports the new index and then pull the
/// lists.
void StateService::PushLists()
{
  std::set<DiskId> members;
  for (const GroupMember& member : m_raft->Config().m_members) {
    members.insert(member.m_disk);
  }
  for (const StatePeer& peer : m_peers) {
    bool isReceiver = peer.m_disk.Empty() ? m_options.m_pushesLists
                                          : !members.contains(peer.m_disk);
    if (peer.m_isAlive && isReceiver && peer.m_host != m_options.m_host) {
      m_sends.push_back({ peer.m_peer, m_plans });
    }
  }
}

/// Puts lists in force on this host. A host with a disk stores them first, so
/// that it does not return to older lists after a restart.
void StateService::PutListsInForce(ListsState aPlans)
{
  if (m_store) {
    absl::Status stored = m_store->StoreLists(aPlans);
    if (!stored.ok()) {
      m_failure = stored;
      return;
    }
    ++m_syncCount;
  }
  m_plans = std::move(aPlans);
  AddEvent("lists_in_force",
           "plans " + std::to_string(m_plans.m_plans.m_version) + " accounts " +
             std::to_string(m_plans.m_accounts.m_version) + " catalog " +
             std::to_string(m_plans.m_catalog.m_version));
}

void StateService::PullLists(Instant aNow)
{
  if (!m_options.m_pullsLists) {
    return;
  }
  const StatePeer* newest = nullptr;
  for (const StatePeer& peer : m_peers) {
    bool newer = newest == nullptr || peer.m_listsIndex > newest->m_listsIndex;
    if (peer.m_isAlive && peer.m_host != m_options.m_host && newer) {
      newest = &peer;
    }
  }
  // Without a live peer to compare with, a host is current only if it has
  // lists, such as those recovered from its disk.
  m_hasCurrentLists = newest == nullptr
                        ? m_plans.m_index > 0
                        : newest->m_listsIndex <= m_plans.m_index;
  if (m_hasCurrentLists || newest == nullptr || aNow < m_nextPull) {
    return;
  }
  m_nextPull = aNow + kPullPeriod;
  m_sends.push_back(
    { newest->m_peer,
      ListsPull{ m_options.m_host, m_options.m_peer, m_plans.m_index } });
}

void StateService::Receive(Instant, const ListsPull& aMessage)
{
  if (m_plans.m_index > aMessage.m_index) {
    m_sends.push_back({ aMessage.m_peer, m_plans });
  }
}

void StateService::Receive(Instant, const ListsState& aMessage)
{
  bool sameGroup =
    m_plans.m_group.empty() || m_plans.m_group == aMessage.m_group;
  if (!sameGroup || aMessage.m_index <= m_plans.m_index) {
    return;
  }
  PutListsInForce(aMessage);
}

// Raft messages from other members of the group.

void StateService::Receive(Instant aNow, const RaftMessage& aMessage)
{
  if (!m_store || !m_failure.ok() || aMessage.m_to != m_disk) {
    return;
  }
  if (!m_raft && m_group.empty()) {
    // A leader has added this host's new data folder to its group.
    m_failure = m_store->JoinGroup(aMessage.m_group);
    if (!m_failure.ok()) {
      return;
    }
    m_group = aMessage.m_group;
    StartMember(m_store->Recover());
    AddEvent("group_joined", m_group);
  }
  if (m_raft) {
    m_raft->Receive(aNow, aMessage);
  }
}

// Lookup of peers, and collection of the pending sends and events.

const StatePeer* StateService::FindPeer(const HostId& aHost) const
{
  for (const StatePeer& peer : m_peers) {
    if (peer.m_host == aHost) {
      return &peer;
    }
  }
  return nullptr;
}

std::optional<Endpoint> StateService::EndpointOfDisk(const DiskId& aDisk) const
{
  for (const StatePeer& peer : m_peers) {
    if (peer.m_disk == aDisk) {
      return peer.m_peer;
    }
  }
  if (!m_raft) {
    return std::nullopt;
  }
  for (const GroupMember& member : m_raft->Config().m_members) {
    if (member.m_disk == aDisk) {
      return member.m_peer;
    }
  }
  return std::nullopt;
}

std::vector<StateSend> StateService::TakeSends()
{
  return std::exchange(m_sends, {});
}

std::vector<StateEvent> StateService::TakeEvents()
{
  return std::exchange(m_events, {});
}

} // namespace persimmontally
