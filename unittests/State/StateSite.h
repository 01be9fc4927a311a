#ifndef PERSIMMONTALLY_UNITTESTS_STATE_STATESITE_H
#define PERSIMMONTALLY_UNITTESTS_STATE_STATESITE_H

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

/// A fault of the system under test that the checker has to find.
enum class PlantedFault
{
  None,
  /// Disks acknowledge entries that they do not keep.
  DisksLoseWrites,
  /// Disks do not keep the lists that their host shows.
  DisksForgetLists,
  /// A claim of a running order is answered as granted.
  ClaimsGrantedTwice,
  /// Followers acknowledge entries that they do not have.
  FalseAcknowledgements,
  /// An emptied disk comes back under its old identity.
  EmptiedDisksKeepIdentity,
};

/// One operation on the plans as its caller saw it.
struct ListOperation
{
  std::string m_changeId;
  uint64_t m_expected = 0;
  Instant m_calledAt;
  std::optional<Instant> m_answeredAt;
  CommandStatus m_status = CommandStatus::Undecided;
  uint64_t m_version = 0;
};

/// One claim of an order key.
struct OrderOperation
{
  std::string m_key;
  std::string m_attempt;
  CommandStatus m_status = CommandStatus::Undecided;
  std::string m_answer;
  bool m_released = false;
};

struct SiteOptions
{
  size_t m_hosts = 5;
  size_t m_disks = 4;
  uint64_t m_seed = 1;
  Duration m_length = seconds(40);
  double m_lossRate = 0.02;
  double m_duplicateRate = 0.02;
  Duration m_mostDelay = milliseconds(40);
  /// Chance that one write ends its host.
  double m_crashOnWrite = 0.002;
  /// Mean time between faults of whole hosts and links.
  Duration m_faultPeriod = seconds(4);
  bool m_hasFaults = true;
  PlantedFault m_fault = PlantedFault::None;
  size_t m_compactAfter = 40;
  Duration m_replaceAfter = seconds(5);
};

/// Several hosts with the real replicated state over a fake network, in
/// virtual time, with callers that change lists and claim orders.
class StateSite
{
public:
  explicit StateSite(SiteOptions aOptions);

  void Run();
  /// Lets time pass without operations of its own.
  void RunFor(Duration aLength);
  /// Ends all faults and waits until the group works again.
  void Heal();

  // Faults for tests that choose them.
  void Crash(size_t aHost);
  void Restart(size_t aHost);
  void EmptyDisk(size_t aHost);
  void SetCut(size_t aHost, bool aIsCut);

  std::optional<size_t> Leader() const;
  StateService& Service(size_t aHost) { return *m_hosts[aHost].m_service; }
  bool IsUp(size_t aHost) const { return m_hosts[aHost].m_service != nullptr; }
  CommandResult ProposeAndWait(size_t aHost, const Command& aCommand);
  Instant Now() const { return m_now; }
  size_t LiveVoters() const;

  /// Broken promises, as text; empty when the history is right.
  std::vector<std::string> CheckHistory() const;
  size_t AcceptedChanges() const;

private:
  struct Host
  {
    HostId m_id;
    std::shared_ptr<DiskImage> m_image;
    std::unique_ptr<StateService> m_service;
    bool m_isCut = false;
    Instant m_downSince;
    Instant m_restartAt;
    uint64_t m_shownPlans = 0;
    int m_lives = 0;
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
  void WatchLists(size_t aHost);
  std::vector<StatePeer> PeersOf(size_t aHost) const;
  bool CanReach(size_t aFrom, size_t aTo) const;
  size_t RandomHost();
  double Draw();
  PeerMessage Distort(PeerMessage aMessage) const;

  void CheckWinners(std::vector<std::string>& aFaults) const;
  void CheckRealTime(std::vector<std::string>& aFaults) const;
  void CheckResends(std::vector<std::string>& aFaults) const;
  void CheckOrders(std::vector<std::string>& aFaults) const;

  SiteOptions m_options;
  std::mt19937_64 m_random;
  Instant m_now{ seconds(1) };
  std::vector<Host> m_hosts;
  std::multimap<Instant, Packet> m_network;
  std::vector<std::shared_ptr<ListOperation>> m_lists;
  std::vector<std::shared_ptr<OrderOperation>> m_orders;
  std::vector<std::string> m_seenFaults;
  Instant m_nextFault;
  Instant m_nextCall;
  bool m_callersRun = false;
  int m_nextDisk = 1;
};

/// Smallest list of plans, told apart by a mark.
std::string PlansJson(const std::string& aMark);

} // namespace persimmontally

#endif
