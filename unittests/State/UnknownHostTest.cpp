/// Tests that a restarted voter answers hosts that it does not know yet.

#include "State/FakeDisk.h"

#include "persimmontally/State/StateService.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

/// The only voter of a group, which knows no other host.
class LonelyVoter
{
public:
  LonelyVoter()
  {
    auto image = std::make_shared<DiskImage>();
    image->m_disk = DiskId("disk-0");
    StateOptions options;
    options.m_host = HostId("host-0");
    options.m_bootstrapHosts = { options.m_host };
    options.m_voters = 1;
    m_service = std::make_unique<StateService>(
      options,
      std::make_unique<FakeDisk>(image,
                                 [] { return FakeDisk::WriteOutcome::Done; }),
      1);
    StatePeer self;
    self.m_host = options.m_host;
    self.m_disk = image->m_disk;
    self.m_isAlive = true;
    m_service->SetPeers({ self });
    RunFor(seconds(3));
    m_service->Propose(
      m_now, PutCatalog{ 1, "one" }, [](const CommandResult&) {});
    RunFor(seconds(1));
    m_service->TakeSends();
  }

  void RunFor(Duration aLength)
  {
    for (Instant end = m_now + aLength; m_now < end;
         m_now += milliseconds(10)) {
      m_service->Tick(m_now);
    }
  }

  /// Returns the messages of one type that are sent to an address.
  template<class Message>
  std::vector<Message> SentTo(const Endpoint& aTo)
  {
    std::vector<Message> messages;
    for (const StateSend& send : m_service->TakeSends()) {
      if (const auto* message = std::get_if<Message>(&send.m_message)) {
        CHECK(send.m_to == aTo);
        messages.push_back(*message);
      }
    }
    return messages;
  }

  Instant m_now{ seconds(1) };
  std::unique_ptr<StateService> m_service;
};

const Endpoint kStranger{ "127.0.0.1", 7000 };

} // namespace

// Guards against pulls that stay unanswered after the voters restarted.
TEST_CASE("a voter sends its lists to an unknown host that pulls them")
{
  LonelyVoter voter;
  voter.m_service->Receive(voter.m_now,
                           ListsPull{ HostId("host-9"), kStranger, 0 });
  auto lists = voter.SentTo<ListsState>(kStranger);
  REQUIRE(lists.size() == 1);
  CHECK(lists[0].m_catalog.m_json == "one");
}

// Guards against proposals that take effect and whose sender gets no reply.
TEST_CASE("a voter replies to the proposal of an unknown host")
{
  LonelyVoter voter;
  voter.m_service->Receive(
    voter.m_now,
    ProposeRequest{ "p-1", HostId("host-9"), kStranger, ReadCatalog() });
  voter.RunFor(seconds(1));
  auto replies = voter.SentTo<ProposeReply>(kStranger);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].m_result.m_version == 1);
}
