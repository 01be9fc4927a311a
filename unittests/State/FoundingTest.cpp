/// Tests of ends of a host while it founds the group.

#include "State/FakeDisk.h"

#include "persimmontally/State/StateService.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

/// The host that founds a group of three, beside two that wait for it.
class Founder
{
public:
  Founder() { m_image->m_disk = DiskId("disk-0"); }

  void Start()
  {
    StateOptions options;
    options.m_host = HostId("host-0");
    for (const char* name : { "host-0", "host-1", "host-2" }) {
      options.m_bootstrapHosts.emplace_back(name);
    }
    m_service = std::make_unique<StateService>(options, OpenDisk(), 1);
  }

  std::unique_ptr<LogStore> OpenDisk()
  {
    return std::make_unique<FakeDisk>(m_image, [this] {
      return std::exchange(m_nextOutcome, FakeDisk::WriteOutcome::Done);
    });
  }

  void RunFor(Duration aLength)
  {
    for (Instant end = m_now + aLength; m_now < end;
         m_now += milliseconds(10)) {
      std::vector<StatePeer> peers;
      for (const char* name : { "host-0", "host-1", "host-2" }) {
        StatePeer peer;
        peer.m_host = HostId(name);
        peer.m_disk = DiskId(std::string("disk") + (name + 4));
        peer.m_isAlive = true;
        peer.m_group = m_groupOfOthers;
        if (peer.m_host == HostId("host-0")) {
          peer.m_group = m_image->m_group;
        }
        peers.push_back(peer);
      }
      m_service->SetPeers(std::move(peers));
      m_service->Tick(m_now);
    }
  }

  Instant m_now{ seconds(1) };
  std::shared_ptr<DiskImage> m_image = std::make_shared<DiskImage>();
  FakeDisk::WriteOutcome m_nextOutcome = FakeDisk::WriteOutcome::Done;
  /// Group that the other two hosts belong to.
  std::string m_groupOfOthers;
  std::unique_ptr<StateService> m_service;
};

} // namespace

// Guards against a group that never has a leader: its founder ended, or its
// disk was full, when the name of the group was stored and its member was not.
TEST_CASE("a host that ends while it founds the group founds it afterwards")
{
  struct Row
  {
    const char* m_name;
    FakeDisk::WriteOutcome m_outcome;
    bool m_isRestarted;
  };
  for (const Row& row :
       { Row{
           "end before the write", FakeDisk::WriteOutcome::CrashBefore, true },
         Row{ "end after the write", FakeDisk::WriteOutcome::CrashAfter, true },
         Row{ "full disk", FakeDisk::WriteOutcome::CrashBefore, false },
         Row{ "no end", FakeDisk::WriteOutcome::Done, false } }) {
    CAPTURE(std::string(row.m_name));
    Founder founder;
    founder.m_nextOutcome = row.m_outcome;
    founder.Start();
    founder.RunFor(seconds(1));
    CHECK(founder.m_service->Failure().ok() ==
          (row.m_outcome == FakeDisk::WriteOutcome::Done));
    if (row.m_isRestarted) {
      founder.Start();
    } else if (!founder.m_service->Failure().ok()) {
      founder.m_service->Recover(founder.OpenDisk());
    }
    founder.RunFor(seconds(4));
    CHECK(founder.m_service->IsLeader());
    CHECK(founder.m_service->Failure().ok());
    CHECK(founder.m_service->Group() == founder.m_image->m_group);
  }
}

TEST_CASE("a host founds no second group beside one that others belong to")
{
  for (bool isBlankMember : { false, true }) {
    CAPTURE(isBlankMember);
    Founder founder;
    founder.m_image->m_group = isBlankMember ? "first" : "";
    founder.m_groupOfOthers = "first";
    founder.Start();
    founder.RunFor(seconds(4));
    CHECK(!founder.m_service->IsLeader());
    CHECK(founder.m_image->m_group == (isBlankMember ? "first" : ""));
  }
}
