/// Tests of the catalog in the replicated state, and of a member whose disk
/// fails.

#include "State/FakeDisk.h"
#include "State/StateSimulation.h"

#include <doctest/doctest.h>

using namespace persimmontally;

TEST_CASE(
  "a catalog is replaced only by a higher version, in any order of arrival")
{
  StateMachine machine{ Duration(0) };
  struct Row
  {
    uint64_t m_version;
    const char* m_document;
    uint64_t m_inForce;
    const char* m_documentInForce;
  };
  uint64_t index = 0;
  for (const Row& row : { Row{ 5, "five", 5, "five" },
                          Row{ 5, "other", 5, "five" },
                          Row{ 3, "three", 5, "five" },
                          Row{ 9, "nine", 9, "nine" },
                          Row{ 0, "none", 9, "nine" } }) {
    CAPTURE(row.m_version);
    LogEntry entry{ ++index,
                    1,
                    EntryKind::Command,
                    0,
                    Encode(
                      Command(PutCatalog{ row.m_version, row.m_document })) };
    CommandResult result = machine.Apply(entry);
    CHECK(result.m_status == CommandStatus::Accepted);
    CHECK(result.m_version == row.m_inForce);
    CHECK(machine.Catalog().m_json == row.m_documentInForce);
  }
  StateMachine copy{ Duration(0) };
  REQUIRE(copy.LoadSnapshot(machine.TakeSnapshot()).ok());
  CHECK(copy.Catalog() == machine.Catalog());
}

TEST_CASE("every host reads an acknowledged catalog")
{
  SimulationOptions options;
  options.m_hasFaults = false;
  StateSimulation simulation(options);
  simulation.RunFor(seconds(6));
  CommandResult stored = simulation.ProposeAndWait(4, PutCatalog{ 7, "seven" });
  REQUIRE(stored.m_status == CommandStatus::Accepted);
  for (size_t host = 0; host < options.m_hosts; ++host) {
    CommandResult read = simulation.ProposeAndWait(host, ReadCatalog());
    CHECK(read.m_status == CommandStatus::Accepted);
    CHECK(read.m_version == 7);
  }
  simulation.RunFor(seconds(1));
  for (size_t host = 0; host < options.m_hosts; ++host) {
    CHECK(simulation.Service(host).Plans().m_catalog.m_json == "seven");
  }
}

TEST_CASE("a catalog read without a majority stays undecided")
{
  SimulationOptions options;
  options.m_hasFaults = false;
  StateSimulation simulation(options);
  simulation.RunFor(seconds(6));
  REQUIRE(simulation.ProposeAndWait(4, PutCatalog{ 7, "seven" }).m_status ==
          CommandStatus::Accepted);
  size_t leader = *simulation.Leader();
  for (size_t host = 0; host < options.m_hosts; ++host) {
    if (host != leader) {
      simulation.SetPartitioned(host, true);
    }
  }
  CHECK(simulation.ProposeAndWait(leader, ReadCatalog()).m_status ==
        CommandStatus::Undecided);
}

TEST_CASE(
  "a member whose disk failed recovers from the disk once it works again")
{
  auto image = std::make_shared<DiskImage>();
  image->m_disk = DiskId("disk-0");
  bool isFull = false;
  auto open = [&] {
    return std::make_unique<FakeDisk>(image, [&] {
      return isFull ? FakeDisk::WriteOutcome::CrashBefore
                    : FakeDisk::WriteOutcome::Done;
    });
  };
  StateOptions options;
  options.m_host = HostId("host-0");
  options.m_bootstrapHosts = { HostId("host-0") };
  options.m_voters = 1;
  StateService service(options, open(), 1);
  StatePeer self;
  self.m_host = options.m_host;
  self.m_disk = image->m_disk;
  self.m_isAlive = true;
  Instant now(seconds(1));
  auto run = [&](Duration aLength) {
    for (Instant end = now + aLength; now < end; now += milliseconds(10)) {
      service.SetPeers({ self });
      service.Tick(now);
    }
  };
  auto put = [&](uint64_t aVersion) {
    auto status = std::make_shared<CommandStatus>(CommandStatus::Undecided);
    service.Propose(
      now,
      PutCatalog{ aVersion, std::to_string(aVersion) },
      [status](const CommandResult& aResult) { *status = aResult.m_status; });
    run(seconds(6));
    return *status;
  };
  run(seconds(3));
  REQUIRE(put(1) == CommandStatus::Accepted);
  isFull = true;
  CHECK(put(2) == CommandStatus::Undecided);
  CHECK(!service.Failure().ok());
  service.CloseStore();
  run(seconds(1));
  CHECK(service.Plans().m_catalog.m_version == 1);
  isFull = false;
  service.Recover(open());
  CHECK(service.Failure().ok());
  run(seconds(3));
  CHECK(put(3) == CommandStatus::Accepted);
  CHECK(service.Plans().m_catalog.m_version == 3);
}
