/// Tests of the choice of the next repair step.

#include "persimmontally/State/VoterRepair.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

enum class HostState
{
  Absent,
  Up,
  Suspected,
  Down,
  /// Up with another disk than the one in the group.
  Emptied,
};

/// A host, and its member of the group if it has one.
struct RepairHost
{
  const char* m_name;
  HostState m_state = HostState::Up;
  bool m_isMember = true;
  bool m_votes = true;
  Duration m_silence{ 0 };
};

RepairView MakeView(const std::vector<RepairHost>& aHosts)
{
  RepairView view;
  view.m_group = "group";
  view.m_leader = DiskId("disk-a");
  view.m_replaceAfter = seconds(1);
  view.m_lostAfterSilence = seconds(1);
  for (const RepairHost& item : aHosts) {
    std::string name = item.m_name;
    DiskId disk("disk-" + name);
    DiskHost host;
    host.m_host = HostId(name);
    host.m_disk = item.m_state == HostState::Emptied ? DiskId("new") : disk;
    host.m_isAlive = item.m_state != HostState::Down;
    host.m_isSuspected = item.m_state == HostState::Suspected;
    host.m_downFor = host.m_isAlive ? Duration(0) : seconds(2);
    if (item.m_state != HostState::Absent) {
      view.m_hosts.push_back(host);
    }
    if (item.m_isMember) {
      view.m_config.m_members.push_back(
        { disk, host.m_host, {}, item.m_votes });
      view.m_silence[disk] = item.m_silence;
    }
    if (!item.m_votes) {
      view.m_caughtUp.push_back(disk);
    }
  }
  return view;
}

} // namespace

// Guards against voters that count as sound because no table names their hosts,
// and against the removal of their successors as surplus.
TEST_CASE("a repair step takes members without a host for lost once they have "
          "been silent for long enough")
{
  constexpr auto kAbsent = HostState::Absent;
  const RepairHost spare{ "d", HostState::Up, false };
  const RepairHost learner{ "d", HostState::Up, true, false };
  struct Row
  {
    const char* m_name;
    std::vector<RepairHost> m_hosts;
    std::string m_step;
  };
  for (const Row& row : {
         Row{ "gone, silent",
              { { "a" }, { "b" }, { "c", kAbsent, 1, 1, seconds(1) }, spare },
              "add learner d" },
         Row{ "gone, not silent for long enough",
              { { "a" },
                { "b" },
                { "c", kAbsent, 1, 1, milliseconds(999) },
                spare },
              "" },
         Row{ "silent, but up",
              { { "a" },
                { "b" },
                { "c", HostState::Up, 1, 1, seconds(9) },
                spare },
              "" },
         Row{ "suspected, silent",
              { { "a" },
                { "b" },
                { "c", HostState::Suspected, 1, 1, seconds(1) },
                spare },
              "add learner d" },
         Row{ "suspected, but answers",
              { { "a" },
                { "b" },
                { "c", HostState::Suspected, 1, 1, milliseconds(999) },
                spare },
              "" },
         Row{ "suspected, successor votes",
              { { "a" }, { "b" }, { "c", HostState::Suspected }, { "d" } },
              "" },
         Row{ "gone, with a learner",
              { { "a" }, { "b" }, { "c", kAbsent, 1, 1, seconds(1) }, learner },
              "promote learner d" },
         Row{ "perhaps gone, with a learner",
              { { "a" }, { "b" }, { "c", kAbsent }, learner },
              "" },
         Row{ "back, with a learner",
              { { "a" }, { "b" }, { "c" }, learner },
              "remove learner d" },
         Row{ "gone, successor votes",
              { { "a" }, { "b" }, { "c", kAbsent, 1, 1, seconds(1) }, { "d" } },
              "remove lost voter c" },
         Row{ "perhaps gone, successor votes",
              { { "a" }, { "b" }, { "c", kAbsent }, { "d" } },
              "" },
         Row{ "back, successor votes",
              { { "a" }, { "b" }, { "c" }, { "d" } },
              "remove surplus voter d" },
         Row{ "learner gone",
              { { "a" },
                { "b" },
                { "c", HostState::Down },
                { "d", kAbsent, 1, 0, seconds(1) } },
              "remove learner d" },
         Row{ "emptied, silent for a moment",
              { { "a" }, { "b" }, { "c", HostState::Emptied }, spare },
              "add learner c" },
         Row{ "two gone of five, successors for both",
              { { "a" },
                { "b" },
                { "e" },
                { "c", kAbsent, 1, 1, seconds(1) },
                { "f", kAbsent, 1, 1, seconds(1) },
                spare,
                { "g", HostState::Up, false } },
              "add learner d" },
       }) {
    CAPTURE(std::string(row.m_name));
    RepairView view = MakeView(row.m_hosts);
    view.m_targetVoters = row.m_hosts.size() > 4 ? 5 : 3;
    auto step = PlanRepairStep(view);
    CHECK((step ? step->m_reason : std::string()) == row.m_step);
  }
}
