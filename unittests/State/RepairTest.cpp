/// Tests of failover, of the repair of lost voters, and of a partitioned
/// leader.

#include "State/StateSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

static SiteOptions FaultFreeOptions()
{
  SiteOptions options;
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
  StateSite site(FaultFreeOptions());
  site.RunFor(seconds(6));
  REQUIRE(site.Leader());
  CHECK(site.LiveVoters() == 3);
  CHECK(site.ProposeAndWait(4, Change("a", 0)).m_status ==
        CommandStatus::Accepted);
}

TEST_CASE("an accepted change survives the loss of the leader, and of a "
          "second voter right after the repair")
{
  StateSite site(FaultFreeOptions());
  site.RunFor(seconds(6));
  REQUIRE(site.ProposeAndWait(0, Change("a", 0)).m_status ==
          CommandStatus::Accepted);
  size_t first = *site.Leader();
  site.Crash(first);
  site.EmptyDisk(first);
  site.RunFor(seconds(12));
  REQUIRE(site.Leader());
  REQUIRE(site.LiveVoters() == 3);
  size_t second = *site.Leader();
  CHECK(second != first);
  site.Crash(second);
  site.EmptyDisk(second);
  site.RunFor(seconds(4));
  REQUIRE(site.Leader());
  size_t third = *site.Leader();
  CHECK(site.Service(third).Plans().m_plans.m_version == 1);
  CHECK(site.ProposeAndWait(third, Change("b", 1)).m_status ==
        CommandStatus::Accepted);
}

TEST_CASE(
  "a host with an emptied disk rejoins as a new member, not as the old voter")
{
  StateSite site(FaultFreeOptions());
  site.RunFor(seconds(6));
  REQUIRE(site.ProposeAndWait(0, Change("a", 0)).m_status ==
          CommandStatus::Accepted);
  size_t lost = (*site.Leader() + 1) % 3;
  DiskId before = site.Service(lost).Disk();
  site.Crash(lost);
  site.EmptyDisk(lost);
  site.Restart(lost);
  site.RunFor(seconds(12));
  CHECK(site.Service(lost).Disk() != before);
  CHECK(site.LiveVoters() == 3);
  const GroupConfig& config = site.Service(*site.Leader()).Raft()->Config();
  for (const GroupMember& member : config.m_members) {
    CHECK(member.m_disk != before);
  }
}

TEST_CASE(
  "a partitioned leader accepts nothing while the majority accepts changes")
{
  StateSite site(FaultFreeOptions());
  site.RunFor(seconds(6));
  size_t old = *site.Leader();
  site.SetCut(old, true);
  CHECK(site.ProposeAndWait(old, Change("lost", 0)).m_status ==
        CommandStatus::Undecided);
  size_t other = old == 4 ? 3 : 4;
  CHECK(site.ProposeAndWait(other, Change("kept", 0)).m_status ==
        CommandStatus::Accepted);
  site.SetCut(old, false);
  site.RunFor(seconds(3));
  CHECK(site.Service(old).Plans().m_plans.m_json == PlansJson("kept"));
}

TEST_CASE("a host that is partitioned repeatedly does not depose the leader")
{
  StateSite site(FaultFreeOptions());
  site.RunFor(seconds(6));
  size_t leader = *site.Leader();
  uint64_t term = site.Service(leader).Raft()->Term();
  size_t flapping = (leader + 1) % 3;
  for (int i = 0; i < 10; ++i) {
    site.SetCut(flapping, true);
    site.RunFor(milliseconds(2500));
    site.SetCut(flapping, false);
    site.RunFor(milliseconds(500));
  }
  CHECK(site.Leader() == leader);
  CHECK(site.Service(leader).Raft()->Term() == term);
}

TEST_CASE(
  "a restart after 300 changes keeps the versions and results of changes")
{
  StateSite site(FaultFreeOptions());
  site.RunFor(seconds(6));
  for (uint64_t i = 0; i < 300; ++i) {
    REQUIRE(
      site.ProposeAndWait(0, Change("c" + std::to_string(i), i)).m_status ==
      CommandStatus::Accepted);
  }
  for (size_t i = 0; i < 5; ++i) {
    site.Crash(i);
  }
  for (size_t i = 0; i < 5; ++i) {
    site.Restart(i);
  }
  site.RunFor(seconds(5));
  CHECK(site.Service(4).Plans().m_plans.m_version == 300);
  // A resend of an old change through another host gets the original result.
  CommandResult resent = site.ProposeAndWait(3, Change("c7", 7));
  CHECK(resent.m_status == CommandStatus::Accepted);
  CHECK(resent.m_version == 8);
  CHECK(site.Service(4).Plans().m_plans.m_version == 300);
}
