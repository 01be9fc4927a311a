#include "State/StateSimulation.h"

#include <algorithm>

namespace persimmontally {

static constexpr Duration kStep = milliseconds(10);
static constexpr Duration kCallPeriod = milliseconds(120);

static Endpoint EndpointOf(size_t aHost)
{
  return { "127.0.0.1", static_cast<uint16_t>(1000 + aHost) };
}

std::string PlansJson(const std::string& aMark)
{
  return R"({"routine_floor": 0.2, "services": [], "plans": [{"name": ")" +
         aMark +
         R"(", "weight": 1, "requests_per_s": 1, "tokens_per_min": 1,
         "max_concurrent": 1, "max_output_tokens": 10, "ranks": ["routine"],
         "default_rank": "routine", "models": [], "services": []}]})";
}

StateSimulation::StateSimulation(SimulationOptions aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_hosts(aOptions.m_hosts)
{
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    m_hosts[i].m_id = HostId("host-" + std::to_string(i));
    if (i < m_options.m_disks) {
      m_hosts[i].m_image = std::make_shared<DiskImage>();
      m_hosts[i].m_image->m_disk =
        DiskId("disk-" + std::to_string(m_nextDisk++));
      m_hosts[i].m_image->m_dropsLogEntries =
        m_options.m_fault == PlantedFault::DisksLoseWrites;
      m_hosts[i].m_image->m_dropsLists =
        m_options.m_fault == PlantedFault::DisksForgetLists;
    }
    StartHost(i);
  }
}

double StateSimulation::Draw()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

size_t StateSimulation::RandomHost()
{
  return std::uniform_int_distribution<size_t>(0, m_hosts.size() - 1)(m_random);
}

void StateSimulation::StartHost(size_t aHost)
{
  Host& host = m_hosts[aHost];
  StateOptions options;
  options.m_host = host.m_id;
  options.m_peer = EndpointOf(aHost);
  for (size_t i = 0; i < std::min<size_t>(3, m_options.m_disks); ++i) {
    options.m_bootstrapHosts.push_back(HostId("host-" + std::to_string(i)));
  }
  options.m_replaceVoterAfter = m_options.m_replaceAfter;
  options.m_compactAfter = m_options.m_compactAfter;
  std::unique_ptr<LogStore> store;
  if (host.m_image) {
    store = std::make_unique<FakeDisk>(host.m_image, [this] {
      if (!m_options.m_hasFaults || Draw() >= m_options.m_crashOnWrite) {
        return FakeDisk::WriteOutcome::Done;
      }
      return Draw() < 0.5 ? FakeDisk::WriteOutcome::CrashBefore
                          : FakeDisk::WriteOutcome::CrashAfter;
    });
  }
  host.m_service =
    std::make_unique<StateService>(options, std::move(store), m_random());
  ++host.m_incarnation;
  if (!host.m_image) {
    // A host without a disk has no lists after a restart; it is not ready until
    // it has pulled the newest ones.
    host.m_lastPlansVersion = 0;
  }
}

void StateSimulation::Crash(size_t aHost)
{
  m_hosts[aHost].m_service.reset();
  m_hosts[aHost].m_downSince = m_now;
  m_hosts[aHost].m_restartAt = Instant::max();
}

void StateSimulation::Restart(size_t aHost)
{
  if (!IsUp(aHost)) {
    StartHost(aHost);
  }
}

void StateSimulation::EmptyDisk(size_t aHost)
{
  Host& host = m_hosts[aHost];
  DiskId old = host.m_image->m_disk;
  std::string group = host.m_image->m_group;
  *host.m_image = DiskImage();
  if (m_options.m_fault == PlantedFault::EmptiedDisksKeepIdentity) {
    host.m_image->m_disk = old;
    host.m_image->m_group = group;
  } else {
    host.m_image->m_disk = DiskId("disk-" + std::to_string(m_nextDisk++));
  }
  // The lists in force on the host are lost with its disk.
  host.m_lastPlansVersion = 0;
}

void StateSimulation::SetPartitioned(size_t aHost, bool aIsPartitioned)
{
  m_hosts[aHost].m_isPartitioned = aIsPartitioned;
  m_hosts[aHost].m_downSince = m_now;
}

bool StateSimulation::CanReach(size_t aFrom, size_t aTo) const
{
  return IsUp(aFrom) && IsUp(aTo) &&
         (aFrom == aTo ||
          (!m_hosts[aFrom].m_isPartitioned && !m_hosts[aTo].m_isPartitioned));
}

std::vector<StatePeer> StateSimulation::PeersOf(size_t aHost) const
{
  std::vector<StatePeer> peers;
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const Host& host = m_hosts[i];
    if (host.m_isForgotten) {
      continue;
    }
    StatePeer peer;
    peer.m_host = host.m_id;
    peer.m_dataCentre = DataCentreId("dc-" + std::to_string(i % 3));
    peer.m_peer = EndpointOf(i);
    peer.m_isAlive = CanReach(aHost, i);
    if (host.m_image) {
      peer.m_disk = host.m_image->m_disk;
      peer.m_group = host.m_image->m_group;
    }
    if (peer.m_isAlive) {
      peer.m_listsIndex = host.m_service->Plans().m_index;
    } else if (m_now < host.m_downSince + m_options.m_deadAfter) {
      peer.m_isAlive = true;
      peer.m_isSuspected = m_now >= host.m_downSince + m_options.m_suspectAfter;
    } else {
      peer.m_downSince = host.m_downSince + m_options.m_deadAfter;
    }
    peers.push_back(std::move(peer));
  }
  return peers;
}

/// Returns the message as changed by a planted fault that acts on messages.
PeerMessage StateSimulation::ApplyMessageFault(PeerMessage aMessage) const
{
  if (m_options.m_fault == PlantedFault::ClaimsGrantedTwice) {
    auto* reply = std::get_if<ProposeReply>(&aMessage);
    if (reply != nullptr &&
        reply->m_result.m_status == CommandStatus::OrderRunning) {
      reply->m_result.m_status = CommandStatus::Accepted;
    }
    return aMessage;
  }
  auto* raft = std::get_if<RaftMessage>(&aMessage);
  if (m_options.m_fault != PlantedFault::FalseAcknowledgements ||
      raft == nullptr) {
    return aMessage;
  }
  auto* reply = std::get_if<AppendReply>(&raft->m_body);
  bool isFounded = m_now > Instant(seconds(8));
  if (reply != nullptr && reply->m_accepted && isFounded) {
    ++reply->m_matchIndex;
  }
  return aMessage;
}

void StateSimulation::CollectSends(size_t aHost)
{
  for (StateSend& send : Service(aHost).TakeSends()) {
    size_t to = send.m_to.m_port - 1000U;
    if (to >= m_hosts.size()) {
      continue;
    }
    int copies = 1 - (Draw() < m_options.m_lossRate ? 1 : 0);
    copies += Draw() < m_options.m_duplicateRate ? 1 : 0;
    for (int i = 0; i < copies; ++i) {
      auto delay =
        std::chrono::duration_cast<Duration>(m_options.m_maxDelay * Draw());
      m_network.emplace(m_now + milliseconds(1) + delay,
                        Packet{ aHost, to, ApplyMessageFault(send.m_message) });
    }
  }
}

void StateSimulation::Deliver(const Packet& aPacket)
{
  if (!CanReach(aPacket.m_from, aPacket.m_to)) {
    return;
  }
  StateService& service = Service(aPacket.m_to);
  std::visit(
    [&](const auto& aBody) {
      if constexpr (requires { service.Receive(m_now, aBody); }) {
        service.Receive(m_now, aBody);
      }
    },
    aPacket.m_message);
}

void StateSimulation::InjectFaults()
{
  if (!m_options.m_hasFaults || m_now < m_nextFault) {
    return;
  }
  auto mean = ToSeconds(m_options.m_faultPeriod);
  std::exponential_distribution<double> gap(1 / mean);
  m_nextFault = m_now + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(gap(m_random)));
  size_t host = RandomHost();
  double kind = Draw();
  bool isAnyDiskHostDown =
    std::any_of(m_hosts.begin(), m_hosts.end(), [](const Host& aHost) {
      return aHost.m_image && (!aHost.m_service || aHost.m_isPartitioned);
    });
  if (kind < 0.35) {
    if (IsUp(host)) {
      Crash(host);
      m_hosts[host].m_restartAt = m_now + milliseconds(int(4000 * Draw()));
    }
  } else if (kind < 0.75) {
    SetPartitioned(host, !m_hosts[host].m_isPartitioned);
  } else if (kind < 0.85 && host < m_options.m_disks && !isAnyDiskHostDown &&
             LiveVoters() >= 3) {
    // Accepted changes survive only if a majority of the disks is kept, so
    // empty a disk only while every host with a disk is up and reachable and
    // there are three live voters.
    Crash(host);
    EmptyDisk(host);
    m_hosts[host].m_restartAt = m_now + seconds(1);
  } else {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (m_hosts[i].m_isPartitioned) {
        SetPartitioned(i, false);
      }
    }
  }
}

size_t StateSimulation::LiveVoters() const
{
  auto leader = Leader();
  if (!leader) {
    return 0;
  }
  size_t count = 0;
  const GroupConfig& config = m_hosts[*leader].m_service->Raft()->Config();
  for (const GroupMember& member : config.m_members) {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      bool isThisHost =
        m_hosts[i].m_image && m_hosts[i].m_image->m_disk == member.m_disk;
      count += member.m_votes && isThisHost && CanReach(*leader, i) ? 1 : 0;
    }
  }
  return count;
}

std::optional<size_t> StateSimulation::Leader() const
{
  std::optional<size_t> leader;
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const StateService* service = m_hosts[i].m_service.get();
    bool leads = service != nullptr && service->IsLeader();
    bool newer =
      leads && (!leader || service->Raft()->Term() >
                             m_hosts[*leader].m_service->Raft()->Term());
    leader = newer ? std::optional<size_t>(i) : leader;
  }
  return leader;
}

// Calls by simulated callers, and the steps of a run.

void StateSimulation::CallPutList()
{
  size_t host = RandomHost();
  if (!IsUp(host)) {
    return;
  }
  auto operation = std::make_shared<ListOperation>();
  // Some calls resend an earlier change; others compete for the same version.
  bool isResend = !m_lists.empty() && Draw() < 0.2;
  if (isResend) {
    std::uniform_int_distribution<size_t> pick(0, m_lists.size() - 1);
    const ListOperation& earlier = *m_lists[pick(m_random)];
    operation->m_changeId = earlier.m_changeId;
    operation->m_expected = earlier.m_expected;
  } else {
    operation->m_changeId = "change-" + std::to_string(m_lists.size());
    operation->m_expected = Service(host).Plans().m_plans.m_version;
  }
  operation->m_calledAt = m_now;
  m_lists.push_back(operation);
  PutList command;
  command.m_changeId = operation->m_changeId;
  command.m_expectedVersion = operation->m_expected;
  command.m_json = PlansJson(operation->m_changeId);
  Service(host).Propose(
    m_now, command, [this, operation](const CommandResult& aResult) {
      operation->m_answeredAt = m_now;
      operation->m_status = aResult.m_status;
      operation->m_version = aResult.m_version;
    });
}

void StateSimulation::CallOrder()
{
  size_t host = RandomHost();
  if (!IsUp(host)) {
    return;
  }
  auto operation = std::make_shared<OrderOperation>();
  operation->m_key = "key-" + std::to_string(m_orders.size() / 4);
  operation->m_attempt = "attempt-" + std::to_string(m_orders.size());
  m_orders.push_back(operation);
  StartOrder command;
  command.m_key = operation->m_key;
  command.m_bodyHash = "same";
  command.m_attempt = operation->m_attempt;
  command.m_owner = m_hosts[host].m_id;
  Service(host).Propose(
    m_now, command, [this, operation, host](const CommandResult& aResult) {
      operation->m_status = aResult.m_status;
      operation->m_answer = aResult.m_answer.m_body;
      if (aResult.m_status != CommandStatus::Accepted) {
        return;
      }
      EndOrder end;
      end.m_key = operation->m_key;
      end.m_attempt = operation->m_attempt;
      operation->m_released = Draw() < 0.2;
      end.m_state =
        operation->m_released ? OrderState::Released : OrderState::Finished;
      end.m_answer.m_body = operation->m_attempt;
      Service(host).Propose(m_now, end, [](const CommandResult&) {});
    });
}

void StateSimulation::RunCallers()
{
  if (!m_areCallersActive || m_now < m_nextCall) {
    return;
  }
  m_nextCall =
    m_now + std::chrono::duration_cast<Duration>(2 * kCallPeriod * Draw());
  if (Draw() < 0.6) {
    CallPutList();
  } else {
    CallOrder();
  }
}

/// Checks that the plans in force on a host never return to an older version.
void StateSimulation::CheckMonotonicLists(size_t aHost)
{
  Host& host = m_hosts[aHost];
  uint64_t version = host.m_service->Plans().m_plans.m_version;
  if (version < host.m_lastPlansVersion) {
    m_listRegressions.push_back(host.m_id.Value() + " returned from version " +
                                std::to_string(host.m_lastPlansVersion) +
                                " to " + std::to_string(version));
  }
  host.m_lastPlansVersion = version;
}

void StateSimulation::Step()
{
  m_now += kStep;
  InjectFaults();
  while (!m_network.empty() && m_network.begin()->first <= m_now) {
    Packet packet = std::move(m_network.begin()->second);
    m_network.erase(m_network.begin());
    Deliver(packet);
  }
  RunCallers();
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    if (!IsUp(i)) {
      if (m_hosts[i].m_restartAt <= m_now) {
        StartHost(i);
      }
      continue;
    }
    Service(i).SetPeers(PeersOf(i));
    Service(i).Tick(m_now);
    if (!Service(i).Failure().ok()) {
      Crash(i);
      m_hosts[i].m_restartAt = m_now + seconds(1);
      continue;
    }
    CollectSends(i);
    CheckMonotonicLists(i);
  }
}

void StateSimulation::RunFor(Duration aLength)
{
  Instant end = m_now + aLength;
  while (m_now < end) {
    Step();
  }
}

void StateSimulation::Run()
{
  // Found the group without faults, as in a new installation.
  bool hasFaults = std::exchange(m_options.m_hasFaults, false);
  RunFor(seconds(6));
  m_options.m_hasFaults = hasFaults;
  m_areCallersActive = true;
  RunFor(m_options.m_length);
  m_areCallersActive = false;
  Heal();
}

void StateSimulation::Heal()
{
  m_options.m_hasFaults = false;
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    m_hosts[i].m_isPartitioned = false;
    m_hosts[i].m_restartAt = m_now;
  }
  RunFor(seconds(15));
}

CommandResult StateSimulation::ProposeAndWait(size_t aHost,
                                              const Command& aCommand)
{
  auto result = std::make_shared<std::optional<CommandResult>>();
  Service(aHost).Propose(
    m_now, aCommand, [result](const CommandResult& aResult) {
      *result = aResult;
    });
  Instant end = m_now + seconds(10);
  while (!*result && m_now < end) {
    Step();
  }
  return result->value_or(CommandResult());
}

// Checks of the recorded calls after a run.

size_t StateSimulation::AcceptedChanges() const
{
  return static_cast<size_t>(
    std::count_if(m_lists.begin(), m_lists.end(), [](const auto& aItem) {
      return aItem->m_status == CommandStatus::Accepted;
    }));
}

/// Checks that one change is accepted per version, as the successor of the
/// version it expected, and that every live host ends with an accepted list
/// that is no older than the last accepted one.
void StateSimulation::CheckAcceptedChanges(
  std::vector<std::string>& aViolations) const
{
  std::map<uint64_t, std::string> acceptedChanges;
  for (const auto& item : m_lists) {
    if (item->m_status != CommandStatus::Accepted) {
      continue;
    }
    if (item->m_version != item->m_expected + 1) {
      aViolations.push_back(item->m_changeId + " skipped a version");
    }
    auto [at, isNew] =
      acceptedChanges.emplace(item->m_version, item->m_changeId);
    if (!isNew && at->second != item->m_changeId) {
      aViolations.push_back("version " + std::to_string(item->m_version) +
                            " was accepted for " + at->second + " and " +
                            item->m_changeId);
    }
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    if (!IsUp(i)) {
      continue;
    }
    const ListVersion& plans = m_hosts[i].m_service->Plans().m_plans;
    auto acceptedChange = acceptedChanges.find(plans.m_version);
    bool matches = acceptedChange == acceptedChanges.end() ||
                   plans.m_json == PlansJson(acceptedChange->second);
    bool hasAll = acceptedChanges.empty() ||
                  plans.m_version >= acceptedChanges.rbegin()->first;
    if (!matches || !hasAll) {
      aViolations.push_back(
        m_hosts[i].m_id.Value() + " ended at version " +
        std::to_string(plans.m_version) +
        (matches ? ", behind an accepted one" : " with another list"));
    }
  }
}

/// Checks that a result reflects every change that was acknowledged before the
/// call.
void StateSimulation::CheckRealTimeOrder(
  std::vector<std::string>& aViolations) const
{
  for (const auto& later : m_lists) {
    bool decided = later->m_status == CommandStatus::Accepted ||
                   later->m_status == CommandStatus::VersionConflict;
    if (!decided) {
      continue;
    }
    for (const auto& earlier : m_lists) {
      bool isBefore = earlier->m_status == CommandStatus::Accepted &&
                      earlier->m_answeredAt &&
                      *earlier->m_answeredAt < later->m_calledAt;
      if (isBefore && earlier->m_changeId != later->m_changeId &&
          later->m_version < earlier->m_version) {
        // A resend of an earlier change gets the original, older result.
        bool isResend =
          std::any_of(m_lists.begin(), m_lists.end(), [&](const auto& aItem) {
            return aItem != later && aItem->m_changeId == later->m_changeId &&
                   aItem->m_calledAt < later->m_calledAt;
          });
        if (!isResend) {
          aViolations.push_back(later->m_changeId +
                                " does not reflect the earlier change " +
                                earlier->m_changeId);
        }
      }
    }
  }
}

/// Checks that all calls of one change get the same result.
void StateSimulation::CheckResends(std::vector<std::string>& aViolations) const
{
  std::map<std::string, const ListOperation*> first;
  for (const auto& item : m_lists) {
    if (item->m_status == CommandStatus::Undecided) {
      continue;
    }
    auto [at, isNew] = first.emplace(item->m_changeId, item.get());
    bool same = at->second->m_status == item->m_status &&
                at->second->m_version == item->m_version;
    if (!isNew && !same) {
      aViolations.push_back(item->m_changeId + " got two different results");
    }
  }
}

/// Checks that one claim per key is granted, not counting those released
/// without being sent, and that all callers see the same response of a finished
/// order.
void StateSimulation::CheckOrders(std::vector<std::string>& aViolations) const
{
  std::map<std::string, std::string> running;
  std::map<std::string, std::string> answers;
  for (const auto& item : m_orders) {
    if (item->m_status == CommandStatus::Accepted && !item->m_released) {
      auto [at, isNew] = running.emplace(item->m_key, item->m_attempt);
      if (!isNew) {
        aViolations.push_back(item->m_key + " ran for " + at->second + " and " +
                              item->m_attempt);
      }
    }
    if (item->m_status == CommandStatus::OrderFinished) {
      auto [at, isNew] = answers.emplace(item->m_key, item->m_answer);
      if (!isNew && at->second != item->m_answer) {
        aViolations.push_back(item->m_key + " had two different responses");
      }
    }
  }
  for (const auto& [key, answer] : answers) {
    auto at = running.find(key);
    if (at != running.end() && at->second != answer) {
      aViolations.push_back(key +
                            " has a response of a claim that was not granted");
    }
  }
}

std::vector<std::string> StateSimulation::CheckHistory() const
{
  std::vector<std::string> violations = m_listRegressions;
  CheckAcceptedChanges(violations);
  CheckRealTimeOrder(violations);
  CheckResends(violations);
  CheckOrders(violations);
  return violations;
}

} // namespace persimmontally
