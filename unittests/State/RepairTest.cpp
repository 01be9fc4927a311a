/// Tests of failover, of the repair of lost voters, and of a partitioned
/// leader.

#include "State/StateSimulation.h"

#include <doctest/doctest.h>

using namespace persimmontally;

static SimulationOptions FaultFreeOptions()
{
  SimulationOptions options;
  options.m_hasFaults = false;
  options.m_lossRate = 0;
  options.m_duplicateRate = 0;
  return options;
}

static PutList Change(const std::string& aId, uint64_t aExpected)
{
  PutList command;
  command.m_changeId = aId;
  command.m_expectedVersion = aExpected;
  command.m_json = PlansJson(aId);
  return command;
}

TEST_CASE("new hosts found one group with the configured number of voters")
{
  StateSimulation simulation(FaultFreeOptions());
  simulation.RunFor(seconds(6));
  REQUIRE(simulation.Leader());
  CHECK(simulation.LiveVoters() == 3);
  CHECK(simulation.ProposeAndWait(4, Change("a", 0)).m_status ==
        CommandStatus::Accepted);
}

TEST_CASE("an accepted change survives the loss of the leader, and of a "
          "second voter right after the repair")
{
  StateSimulation simulation(FaultFreeOptions());
  simulation.RunFor(seconds(6));
  REQUIRE(simulation.ProposeAndWait(0, Change("a", 0)).m_status ==
          CommandStatus::Accepted);
  size_t first = *simulation.Leader();
  simulation.Crash(first);
  simulation.EmptyDisk(first);
  simulation.RunFor(seconds(12));
  REQUIRE(simulation.Leader());
  REQUIRE(simulation.LiveVoters() == 3);
  size_t second = *simulation.Leader();
  CHECK(second != first);
  simulation.Crash(second);
  simulation.EmptyDisk(second);
  simulation.RunFor(seconds(4));
  REQUIRE(simulation.Leader());
  size_t third = *simulation.Leader();
  CHECK(simulation.Service(third).Plans().m_plans.m_version == 1);
  CHECK(simulation.ProposeAndWait(third, Change("b", 1)).m_status ==
        CommandStatus::Accepted);
}

TEST_CASE(
  "a host with an emptied disk rejoins as a new member, not as the old voter")
{
  StateSimulation simulation(FaultFreeOptions());
  simulation.RunFor(seconds(6));
  REQUIRE(simulation.ProposeAndWait(0, Change("a", 0)).m_status ==
          CommandStatus::Accepted);
  size_t lost = (*simulation.Leader() + 1) % 3;
  DiskId before = simulation.Service(lost).Disk();
  simulation.Crash(lost);
  simulation.EmptyDisk(lost);
  simulation.Restart(lost);
  simulation.RunFor(seconds(12));
  CHECK(simulation.Service(lost).Disk() != before);
  CHECK(simulation.LiveVoters() == 3);
  const GroupConfig& config =
    simulation.Service(*simulation.Leader()).Raft()->Config();
  for (const GroupMember& member : config.m_members) {
    CHECK(member.m_disk != before);
  }
}

TEST_CASE(
  "a partitioned leader accepts nothing while the majority accepts changes")
{
  StateSimulation simulation(FaultFreeOptions());
  simulation.RunFor(seconds(6));
  size_t old = *simulation.Leader();
  simulation.SetPartitioned(old, true);
  CHECK(simulation.ProposeAndWait(old, Change("lost", 0)).m_status ==
        CommandStatus::Undecided);
  size_t other = old == 4 ? 3 : 4;
  CHECK(simulation.ProposeAndWait(other, Change("kept", 0)).m_status ==
        CommandStatus::Accepted);
  simulation.SetPartitioned(old, false);
  simulation.RunFor(seconds(3));
  CHECK(simulation.Service(old).Plans().m_plans.m_json == PlansJson("kept"));
}

TEST_CASE("a host that is partitioned repeatedly does not depose the leader")
{
  StateSimulation simulation(FaultFreeOptions());
  simulation.RunFor(seconds(6));
  size_t leader = *simulation.Leader();
  uint64_t term = simulation.Service(leader).Raft()->Term();
  size_t flapping = (leader + 1) % 3;
  for (int i = 0; i < 10; ++i) {
    simulation.SetPartitioned(flapping, true);
    simulation.RunFor(milliseconds(2500));
    simulation.SetPartitioned(flapping, false);
    simulation.RunFor(milliseconds(500));
  }
  CHECK(simulation.Leader() == leader);
  CHECK(simulation.Service(leader).Raft()->Term() == term);
}

TEST_CASE(
  "a restart after 300 changes keeps the versions and results of changes")
{
  StateSimulation simulation(FaultFreeOptions());
  simulation.RunFor(seconds(6));
  for (uint64_t i = 0; i < 300; ++i) {
    REQUIRE(simulation.ProposeAndWait(0, Change("c" + std::to_string(i), i))
              .m_status == CommandStatus::Accepted);
  }
  for (size_t i = 0; i < 5; ++i) {
    simulation.Crash(i);
  }
  for (size_t i = 0; i < 5; ++i) {
    simulation.Restart(i);
  }
  simulation.RunFor(seconds(5));
  CHECK(simulation.Service(4).Plans().m_plans.m_version == 300);
  // A resend of an old change through another host gets the original result.
  CommandResult resent = simulation.ProposeAndWait(3, Change("c7", 7));
  CHECK(resent.m_status == CommandStatus::Accepted);
  CHECK(resent.m_version == 8);
  CHECK(simulation.Service(4).Plans().m_plans.m_version == 300);
}

// Guards against a voter that is never replaced because its host is in no table
// any more: the next loss of a disk then loses accepted changes.
TEST_CASE("a voter whose host is in no table is replaced, and the loss of one "
          "more disk is survived")
{
  struct Row
  {
    const char* m_name;
    bool m_areVotersRestarted;
    /// Whether the successor is up before the lost host leaves the tables.
    bool m_isSuccessorEarly;
  };
  for (const Row& row : { Row{ "restart, successor later", true, false },
                          Row{ "restart, successor before", true, true },
                          Row{ "expired row", false, false } }) {
    CAPTURE(std::string(row.m_name));
    StateSimulation simulation(FaultFreeOptions());
    const size_t successor = 3;
    simulation.RunFor(seconds(6));
    REQUIRE(simulation.ProposeAndWait(0, Change("a", 0)).m_status ==
            CommandStatus::Accepted);
    if (!row.m_isSuccessorEarly) {
      simulation.Crash(successor);
    }
    size_t lost = (*simulation.Leader() + 1) % 3;
    simulation.Crash(lost);
    simulation.Forget(lost);
    for (size_t i = 0; i < 3 && row.m_areVotersRestarted; ++i) {
      if (i != lost) {
        simulation.Crash(i);
        simulation.Restart(i);
      }
    }
    simulation.RunFor(seconds(3));
    simulation.Restart(successor);
    simulation.RunFor(seconds(12));
    CHECK(simulation.LiveVoters() == 3);
    REQUIRE(simulation.ProposeAndWait(4, Change("b", 1)).m_status ==
            CommandStatus::Accepted);
    size_t second = (lost + 1) % 3;
    simulation.Crash(second);
    simulation.EmptyDisk(second);
    simulation.Restart(second);
    simulation.RunFor(seconds(6));
    REQUIRE(simulation.Leader());
    CHECK(simulation.ProposeAndWait(4, Change("c", 2)).m_status ==
          CommandStatus::Accepted);
  }
}

// Guards against times until a host is declared dead, and then until it is
// replaced, that add up to more than a successor has.
TEST_CASE("a successor that starts at once is a voter within four seconds, and "
          "the loss of one more disk is survived")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    for (size_t offset : { 0, 1 }) {
      CAPTURE(seed);
      CAPTURE(offset);
      SimulationOptions options = FaultFreeOptions();
      options.m_seed = seed;
      options.m_replaceAfter = seconds(1);
      options.m_suspectAfter = milliseconds(1800);
      options.m_deadAfter = milliseconds(3800);
      StateSimulation simulation(options);
      const size_t successor = 3;
      simulation.RunFor(seconds(2));
      simulation.Crash(successor);
      simulation.EmptyDisk(successor);
      simulation.RunFor(seconds(8));
      REQUIRE(simulation.ProposeAndWait(4, Change("a", 0)).m_status ==
              CommandStatus::Accepted);
      size_t lost = (*simulation.Leader() + offset) % 3;
      Instant lossAt = simulation.Now();
      simulation.Crash(lost);
      simulation.Restart(successor);
      REQUIRE(simulation.ProposeAndWait(4, Change("b", 1)).m_status ==
              CommandStatus::Accepted);
      simulation.RunFor(lossAt + seconds(4) - simulation.Now());
      size_t second = (lost + 1) % 3;
      simulation.Crash(second);
      simulation.EmptyDisk(second);
      simulation.RunFor(seconds(6));
      REQUIRE(simulation.Leader());
      CHECK(simulation.ProposeAndWait(4, Change("c", 2)).m_status ==
            CommandStatus::Accepted);
    }
  }
}
