/// Tests membership of several hosts over a simulated network in virtual time.

#include "persimmontally/Membership/Membership.h"

#include <doctest/doctest.h>

#include <memory>

using namespace persimmontally;

namespace {

/// Hosts in three data centres; the network delays packets by 1 to 14 ms and
/// drops some.
class TestCluster
{
public:
  TestCluster(size_t aHosts, uint64_t aSeed)
    : m_random(aSeed)
    , m_isUp(aHosts, true)
    , m_isPartitioned(aHosts, false)
  {
    for (size_t i = 0; i < aHosts; ++i) {
      m_hosts.push_back(MakeHost(i, 1));
    }
  }

  std::unique_ptr<Membership> MakeHost(size_t aHost, uint64_t aIncarnation)
  {
    HostRow row;
    row.m_id = HostIdOf(aHost);
    row.m_dataCentre = DataCentreId("dc-" + std::to_string(aHost % 3));
    row.m_peer = PeerEndpoint(aHost);
    row.m_incarnation = aIncarnation;
    return std::make_unique<Membership>(
      row,
      std::vector<Endpoint>{ PeerEndpoint(0), PeerEndpoint(1) },
      MembershipOptions(),
      m_random());
  }

  static HostId HostIdOf(size_t aHost)
  {
    return HostId("host-" + std::to_string(aHost));
  }
  static Endpoint PeerEndpoint(size_t aHost)
  {
    return { "127.0.0.1", static_cast<uint16_t>(1000 + aHost) };
  }

  void RunFor(Duration aLength)
  {
    for (Instant end = m_now + aLength; m_now < end;) {
      m_now += milliseconds(20);
      Deliver();
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_isUp[i]) {
          m_hosts[i]->Tick(m_now);
          Collect(i);
        }
      }
    }
  }

  /// Whether every live host outside the partition has the host in a state.
  bool AllPeersSee(size_t aHost, HostState aState)
  {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (!m_isUp[i] || m_isPartitioned[i] || i == aHost) {
        continue;
      }
      const HostRow* row = m_hosts[i]->FindHost(HostIdOf(aHost));
      if (row == nullptr || row->m_state != aState) {
        return false;
      }
    }
    return true;
  }

  bool Reaches(size_t aFrom, size_t aTo) const
  {
    return m_isUp[aFrom] && m_isUp[aTo] &&
           m_isPartitioned[aFrom] == m_isPartitioned[aTo];
  }

  Instant m_now{ seconds(1) };
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<Membership>> m_hosts;
  std::vector<bool> m_isUp;
  /// Hosts on the other side of a network partition.
  std::vector<bool> m_isPartitioned;
  double m_lossRate = 0.02;

private:
  struct Packet
  {
    size_t m_from;
    size_t m_to;
    std::variant<GossipMessage, MembershipTables> m_message;
  };

  void Collect(size_t aHost)
  {
    std::uniform_real_distribution<double> draw(0, 1);
    for (MembershipSend& send : m_hosts[aHost]->TakeSends()) {
      size_t to = send.m_to.m_port - 1000U;
      if (draw(m_random) >= m_lossRate) {
        auto delay = milliseconds(1 + m_random() % 14);
        m_network.emplace(m_now + delay,
                          Packet{ aHost, to, std::move(send.m_message) });
      }
    }
  }

  void Deliver()
  {
    while (!m_network.empty() && m_network.begin()->first <= m_now) {
      Packet packet = std::move(m_network.begin()->second);
      m_network.erase(m_network.begin());
      if (!Reaches(packet.m_from, packet.m_to)) {
        continue;
      }
      Membership& to = *m_hosts[packet.m_to];
      if (auto* gossip = std::get_if<GossipMessage>(&packet.m_message)) {
        to.Receive(m_now, HostIdOf(packet.m_from), *gossip);
      } else {
        to.ReceiveTables(m_now,
                         HostIdOf(packet.m_from),
                         std::get<MembershipTables>(packet.m_message));
      }
      Collect(packet.m_to);
    }
  }

  std::multimap<Instant, Packet> m_network;
};

} // namespace

static UpstreamRow Upstream(uint64_t aSequence, UpstreamState aState)
{
  UpstreamRow row;
  row.m_id = UpstreamId("engine");
  row.m_incarnation = 1;
  row.m_sequence = aSequence;
  row.m_state = aState;
  return row;
}

TEST_CASE("hosts discover each other, and all detect a death and a restart")
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    TestCluster cluster(8, seed);
    cluster.RunFor(seconds(5));
    for (size_t i = 0; i < 8; ++i) {
      CHECK(cluster.AllPeersSee(i, HostState::Alive));
    }
    cluster.m_isUp[7] = false;
    cluster.RunFor(seconds(12));
    CHECK(cluster.AllPeersSee(7, HostState::Dead));
    // No other host was declared dead.
    for (size_t i = 0; i < 7; ++i) {
      CHECK(cluster.AllPeersSee(i, HostState::Alive));
    }
    // A restart is a new incarnation.
    cluster.m_hosts[7] = cluster.MakeHost(7, 2);
    cluster.m_isUp[7] = true;
    cluster.RunFor(seconds(5));
    CHECK(cluster.AllPeersSee(7, HostState::Alive));
  }
}

TEST_CASE("a host that leaves is seen as left by all hosts without suspicion")
{
  TestCluster cluster(6, 3);
  cluster.RunFor(seconds(5));
  cluster.m_hosts[2]->Leave(cluster.m_now);
  cluster.RunFor(milliseconds(500));
  cluster.m_isUp[2] = false;
  CHECK(cluster.AllPeersSee(2, HostState::Left));
}

TEST_CASE("every host stops using a leaving upstream within three seconds")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    TestCluster cluster(8, seed);
    cluster.RunFor(seconds(5));
    cluster.m_hosts[0]->Announce(cluster.m_now,
                                 Upstream(1, UpstreamState::Serving));
    cluster.RunFor(seconds(2));
    for (size_t i = 0; i < 8; ++i) {
      REQUIRE(cluster.m_hosts[i]->Upstreams().Find(UpstreamId("engine")) !=
              nullptr);
    }
    cluster.m_hosts[3]->Announce(cluster.m_now,
                                 Upstream(2, UpstreamState::Leaving));
    cluster.RunFor(seconds(3));
    for (size_t i = 0; i < 8; ++i) {
      const auto* entry =
        cluster.m_hosts[i]->Upstreams().Find(UpstreamId("engine"));
      REQUIRE(entry != nullptr);
      CHECK_FALSE(UpstreamTable::TakesWork(cluster.m_now, *entry));
    }
  }
}

TEST_CASE("leases stay open on all hosts while an upstream announces itself")
{
  TestCluster cluster(8, 4);
  cluster.RunFor(seconds(5));
  for (uint64_t second = 1; second <= 20; ++second) {
    // The load balancer sends each announcement to a different host.
    cluster.m_hosts[second % 8]->Announce(
      cluster.m_now, Upstream(second, UpstreamState::Serving));
    cluster.RunFor(seconds(1));
    if (second < 3) {
      continue;
    }
    for (size_t i = 0; i < 8; ++i) {
      const auto* entry =
        cluster.m_hosts[i]->Upstreams().Find(UpstreamId("engine"));
      REQUIRE(entry != nullptr);
      CHECK(UpstreamTable::TakesWork(cluster.m_now, *entry));
    }
  }
}

TEST_CASE(
  "both sides of a network partition stay alive and merge after it heals")
{
  TestCluster cluster(9, 5);
  cluster.RunFor(seconds(5));
  for (size_t i : { 2U, 5U, 8U }) {
    cluster.m_isPartitioned[i] = true;
  }
  cluster.RunFor(seconds(20));
  CHECK(cluster.m_hosts[0]->IsAlive(TestCluster::HostIdOf(1)));
  CHECK_FALSE(cluster.m_hosts[0]->IsAlive(TestCluster::HostIdOf(2)));
  CHECK(cluster.m_hosts[2]->IsAlive(TestCluster::HostIdOf(5)));
  CHECK_FALSE(cluster.m_hosts[2]->IsAlive(TestCluster::HostIdOf(0)));
  cluster.m_isPartitioned.assign(9, false);
  cluster.RunFor(seconds(15));
  for (size_t i = 0; i < 9; ++i) {
    CHECK(cluster.AllPeersSee(i, HostState::Alive));
  }
}

TEST_CASE("poison reports from two hosts merge to the same row on all hosts")
{
  TestCluster cluster(8, 6);
  cluster.RunFor(seconds(5));
  for (size_t i = 0; i < 2; ++i) {
    PoisonRow row;
    row.m_fingerprint = 9;
    row.m_deaths = { "engine-" + std::to_string(i) };
    cluster.m_hosts[i]->ReportPoison(cluster.m_now, row);
  }
  cluster.RunFor(seconds(3));
  for (size_t i = 0; i < 8; ++i) {
    CHECK(cluster.m_hosts[i]->Poison().at(9).m_deaths.size() == 2);
  }
}

TEST_CASE("a poison report reaches every host within 60 ms")
{
  TestCluster cluster(8, 7);
  cluster.m_lossRate = 0;
  cluster.RunFor(seconds(5));
  PoisonRow row;
  row.m_fingerprint = 9;
  row.m_deaths = { "engine" };
  cluster.m_hosts[0]->ReportPoison(cluster.m_now, row);
  cluster.RunFor(milliseconds(60));
  for (size_t i = 0; i < 8; ++i) {
    CHECK(cluster.m_hosts[i]->Poison().contains(9));
  }
}

TEST_CASE("with 300 hosts, the reclaim of 20 upstreams and a poison report "
          "reach every host in time, also past relays that are gone")
{
  constexpr size_t kHosts = 300;
  constexpr size_t kUpstreams = 20;
  constexpr size_t kFirstWithDisk = kHosts - 3;
  TestCluster cluster(kHosts, 8);
  // One host in each data centre has a disk, which makes it the relay.
  for (size_t i = kFirstWithDisk; i < kHosts; ++i) {
    cluster.m_hosts[i]->SetDisk(DiskId("disk-" + std::to_string(i)), "group");
  }
  cluster.RunFor(seconds(6));
  auto announce = [&](uint64_t aSequence, UpstreamState aState) {
    for (size_t i = 0; i < kUpstreams; ++i) {
      UpstreamRow row = Upstream(aSequence, aState);
      row.m_id = UpstreamId("engine-" + std::to_string(i));
      row.m_endpoint.m_port = static_cast<uint16_t>(2000 + i);
      cluster.m_hosts[0]->Announce(cluster.m_now, row);
    }
  };
  // Number of rows in a state in the views of all live hosts.
  auto rowsWith = [&](UpstreamState aState) {
    size_t count = 0;
    for (size_t i = 0; i < kHosts; ++i) {
      for (const auto& [id, entry] : cluster.m_hosts[i]->Upstreams().Rows()) {
        count += cluster.m_isUp[i] && entry.m_row.m_state == aState ? 1 : 0;
      }
    }
    return count;
  };
  // Updates go over TCP, which does not lose them.
  cluster.m_lossRate = 0;
  announce(1, UpstreamState::Serving);
  cluster.RunFor(seconds(1));
  CHECK(rowsWith(UpstreamState::Serving) == kHosts * kUpstreams);

  // The hosts still count as alive, as in the first seconds after a crash.
  for (size_t i = kFirstWithDisk; i < kHosts; ++i) {
    cluster.m_isUp[i] = false;
  }
  cluster.m_lossRate = 0.02;
  announce(2, UpstreamState::Leaving);
  PoisonRow poison;
  poison.m_fingerprint = 9;
  poison.m_deaths = { "engine" };
  cluster.m_hosts[1]->ReportPoison(cluster.m_now, poison);
  // Hosts must not use a leaving upstream for longer than 3 s. Upstreams
  // announce themselves about once a second.
  for (uint64_t second = 1; second <= 3; ++second) {
    cluster.RunFor(seconds(1));
    announce(2 + second, UpstreamState::Leaving);
  }
  CHECK(rowsWith(UpstreamState::Leaving) == kFirstWithDisk * kUpstreams);
  for (size_t i = 0; i < kFirstWithDisk; ++i) {
    CHECK(cluster.m_hosts[i]->Poison().contains(9));
  }
}

TEST_CASE("hosts whose seeds all restart at once are known to them again "
          "within 2.5 s")
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    TestCluster cluster(9, seed);
    cluster.RunFor(seconds(10));
    // The seeds are the only addresses that the restarted hosts have.
    for (size_t i : { 0U, 1U }) {
      cluster.m_hosts[i] = cluster.MakeHost(i, 2);
    }
    // The shortest time in which a change of the catalog must be in force.
    cluster.RunFor(milliseconds(2500));
    for (size_t from = 0; from < 9; ++from) {
      for (size_t to = 0; to < 9; ++to) {
        CAPTURE(from);
        CAPTURE(to);
        HostId id = TestCluster::HostIdOf(to);
        CHECK(cluster.m_hosts[from]->IsAlive(id));
        const HostRow* row = cluster.m_hosts[from]->FindHost(id);
        bool hasRestarted = to < 2;
        CHECK((row != nullptr && row->m_incarnation >= (hasRestarted ? 2 : 1)));
      }
    }
  }
}
