/// Checks that the history checker detects injected faults, that an emptied
/// disk loses no committed change, and that a vote outlives a restart.

#include "State/StateSimulation.h"
#include "persimmontally/State/RaftNode.h"

#include <doctest/doctest.h>

using namespace persimmontally;

TEST_CASE("the history checker finds each planted fault")
{
  struct Row
  {
    std::string m_name;
    PlantedFault m_fault;
  };
  const Row rows[] = {
    { "disks lose writes", PlantedFault::DisksLoseWrites },
    { "disks forget lists", PlantedFault::DisksForgetLists },
    { "claims granted twice", PlantedFault::ClaimsGrantedTwice },
    { "false acknowledgements", PlantedFault::FalseAcknowledgements },
  };
  constexpr uint64_t kMaxSeeds = 60;
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    bool found = false;
    for (uint64_t seed = 1; seed <= kMaxSeeds && !found; ++seed) {
      SimulationOptions options;
      options.m_seed = seed;
      options.m_fault = row.m_fault;
      options.m_length = seconds(10);
      options.m_faultPeriod = seconds(1);
      StateSimulation simulation(options);
      simulation.Run();
      found = !simulation.CheckHistory().empty();
    }
    CHECK(found);
  }
}

/// Commits a change on two of three disks, then empties one of the two,
/// isolates the other and reconnects the third, which never had the change.
/// Returns whether a conflicting change is accepted, so that the first one is
/// lost.
static bool LosesChangeWithEmptiedDisk(PlantedFault aFault)
{
  SimulationOptions options;
  options.m_hosts = 4;
  options.m_disks = 3;
  options.m_hasFaults = false;
  options.m_lossRate = 0;
  options.m_replaceAfter = std::chrono::hours(1);
  options.m_fault = aFault;
  StateSimulation simulation(options);
  simulation.RunFor(seconds(6));
  size_t leader = *simulation.Leader();
  size_t emptied = (leader + 1) % 3;
  size_t behind = (leader + 2) % 3;
  simulation.SetPartitioned(behind, true);
  PutList change;
  change.m_changeId = "kept";
  change.m_json = PlansJson("kept");
  REQUIRE(simulation.ProposeAndWait(leader, change).m_status ==
          CommandStatus::Accepted);
  simulation.Crash(emptied);
  simulation.EmptyDisk(emptied);
  simulation.SetPartitioned(leader, true);
  simulation.SetPartitioned(behind, false);
  simulation.Restart(emptied);
  simulation.RunFor(seconds(10));
  change.m_changeId = "other";
  change.m_json = PlansJson("other");
  return simulation.ProposeAndWait(behind, change).m_status ==
         CommandStatus::Accepted;
}

TEST_CASE("a committed change is lost only if an emptied disk keeps its "
          "identity")
{
  CHECK(LosesChangeWithEmptiedDisk(PlantedFault::EmptiedDisksKeepIdentity));
  CHECK_FALSE(LosesChangeWithEmptiedDisk(PlantedFault::None));
}

TEST_CASE("a restarted member does not vote for a second candidate in its term")
{
  RaftOptions options;
  options.m_group = "group";
  options.m_self = DiskId("b");
  RaftRecovery stored;
  stored.m_snapshot.m_index = 1;
  for (const char* name : { "a", "b", "c" }) {
    stored.m_snapshot.m_config.m_members.push_back(
      { DiskId(name), HostId(name), {}, true });
  }
  auto requestVote = [&](RaftNode& aNode, const char* aCandidate) {
    aNode.Receive(Instant(seconds(5)),
                  { "group",
                    DiskId(aCandidate),
                    DiskId("b"),
                    7,
                    VoteRequest{ false, 1, 0 } });
    RaftReady ready = aNode.TakeReady();
    if (ready.m_hardState) {
      stored.m_hardState = *ready.m_hardState;
    }
    return std::get<VoteReply>(ready.m_messages.at(0).m_body).m_granted;
  };
  RaftNode before(options, stored, 1);
  CHECK(requestVote(before, "a"));
  RaftNode after(options, stored, 2);
  CHECK_FALSE(requestVote(after, "c"));
  CHECK(requestVote(after, "a"));
}
