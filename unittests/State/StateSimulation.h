#ifndef PERSIMMONTALLY_UNITTESTS_STATE_STATESIMULATION_H
#define PERSIMMONTALLY_UNITTESTS_STATE_STATESIMULATION_H

#include "State/FakeDisk.h"
#include "persimmontally/State/StateService.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// A deliberate fault of the simulated system that `CheckHistory` must find.
enum class PlantedFault
{
  None,
  /// Disks acknowledge entries without storing them.
  DisksLoseWrites,
  /// Disks do not store the lists in force on their host.
  DisksForgetLists,
  /// A claim of an order that is already running is reported as granted.
  ClaimsGrantedTwice,
  /// Followers acknowledge entries that they have not received.
  FalseAcknowledgements,
  /// An emptied disk keeps its old identity.
  EmptiedDisksKeepIdentity,
};

/// One change of the list of plans and the result that its caller received.
struct ListOperation
{
  std::string m_changeId;
  uint64_t m_expected = 0;
  Instant m_calledAt;
  std::optional<Instant> m_answeredAt;
  CommandStatus m_status = CommandStatus::Undecided;
  uint64_t m_version = 0;
};

/// One claim of an order key and the result that its caller received.
struct OrderOperation
{
  std::string m_key;
  std::string m_attempt;
  CommandStatus m_status = CommandStatus::Undecided;
  std::string m_answer;
  bool m_released = false;
};

struct SimulationOptions
{
  size_t m_hosts = 5;
  size_t m_disks = 4;
  uint64_t m_seed = 1;
  Duration m_length = seconds(40);
  double m_lossRate = 0.02;
  double m_duplicateRate = 0.02;
  Duration m_maxDelay = milliseconds(40);
  /// Probability that a write to disk crashes its host.
  double m_crashOnWrite = 0.002;
  /// Mean time between faults of hosts and links.
  Duration m_faultPeriod = seconds(4);
  bool m_hasFaults = true;
  PlantedFault m_fault = PlantedFault::None;
  size_t m_compactAfter = 40;
  Duration m_replaceAfter = seconds(5);
  /// Time until other hosts suspect a host that is down, and declare it dead.
  Duration m_suspectAfter{ 0 };
  Duration m_deadAfter{ 0 };
};

/// Simulates several hosts that run `StateService` over a fake network in
/// virtual time, with callers that change lists and claim orders.
class StateSimulation
{
public:
  explicit StateSimulation(SimulationOptions aOptions);

  /// Founds the group without faults, runs callers and faults for `m_length`,
  /// and heals.
  void Run();
  /// Advances the virtual time. Callers are active only within `Run`.
  void RunFor(Duration aLength);
  /// Ends all faults, starts the hosts that are down and runs for long enough
  /// that the group can recover.
  void Heal();

  // Faults for tests that inject them one by one.
  void Crash(size_t aHost);
  void Restart(size_t aHost);
  void EmptyDisk(size_t aHost);
  void SetPartitioned(size_t aHost, bool aIsPartitioned);
  /// Removes a host that is down from the tables of all others, as after they
  /// have restarted or its row has expired.
  void Forget(size_t aHost) { m_hosts[aHost].m_isForgotten = true; }

  std::optional<size_t> Leader() const;
  StateService& Service(size_t aHost) { return *m_hosts[aHost].m_service; }
  bool IsUp(size_t aHost) const { return m_hosts[aHost].m_service != nullptr; }
  /// Proposes a command on a host and runs until its result arrives; returns
  /// `Undecided` after 10 s without one.
  CommandResult ProposeAndWait(size_t aHost, const Command& aCommand);
  Instant Now() const { return m_now; }
  /// Returns the number of voters that the leader can reach, itself included.
  size_t LiveVoters() const;

  /// Returns a description of each violation in the history.
  std::vector<std::string> CheckHistory() const;
  size_t AcceptedChanges() const;

private:
  struct Host
  {
    HostId m_id;
    std::shared_ptr<DiskImage> m_image;
    std::unique_ptr<StateService> m_service;
    bool m_isPartitioned = false;
    bool m_isForgotten = false;
    Instant m_downSince;
    Instant m_restartAt;
    uint64_t m_lastPlansVersion = 0;
    int m_incarnation = 0;
  };
  struct Packet
  {
    size_t m_from = 0;
    size_t m_to = 0;
    PeerMessage m_message;
  };

  void Step();
  void StartHost(size_t aHost);
  void CollectSends(size_t aHost);
  void Deliver(const Packet& aPacket);
  void InjectFaults();
  void RunCallers();
  void CallPutList();
  void CallOrder();
  void CheckMonotonicLists(size_t aHost);
  std::vector<StatePeer> PeersOf(size_t aHost) const;
  bool CanReach(size_t aFrom, size_t aTo) const;
  size_t RandomHost();
  double Draw();
  PeerMessage ApplyMessageFault(PeerMessage aMessage) const;

  void CheckAcceptedChanges(std::vector<std::string>& aViolations) const;
  void CheckRealTimeOrder(std::vector<std::string>& aViolations) const;
  void CheckResends(std::vector<std::string>& aViolations) const;
  void CheckOrders(std::vector<std::string>& aViolations) const;

  SimulationOptions m_options;
  std::mt19937_64 m_random;
  Instant m_now{ seconds(1) };
  std::vector<Host> m_hosts;
  std::multimap<Instant, Packet> m_network;
  std::vector<std::shared_ptr<ListOperation>> m_lists;
  std::vector<std::shared_ptr<OrderOperation>> m_orders;
  std::vector<std::string> m_listRegressions;
  Instant m_nextFault;
  Instant m_nextCall;
  bool m_areCallersActive = false;
  int m_nextDisk = 1;
};

/// Returns a minimal list of plans; `aMark` is the name of its only plan.
std::string PlansJson(const std::string& aMark);

} // namespace persimmontally

#endif
