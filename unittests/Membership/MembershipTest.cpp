/// Membership of many hosts over a fake network, in virtual time.

#include "persimmontally/Membership/Membership.h"

#include <doctest/doctest.h>

#include <memory>

using namespace persimmontally;

namespace {

class Site
{
public:
  Site(size_t aHosts, uint64_t aSeed)
    : m_random(aSeed)
    , m_isUp(aHosts, true)
    , m_isCut(aHosts, false)
  {
    for (size_t i = 0; i < aHosts; ++i) {
      m_hosts.push_back(Make(i, 1));
    }
  }

  std::unique_ptr<Membership> Make(size_t aHost, uint64_t aIncarnation)
  {
    HostRow row;
    row.m_id = Id(aHost);
    row.m_dataCentre = DataCentreId("dc-" + std::to_string(aHost % 3));
    row.m_peer = At(aHost);
    row.m_incarnation = aIncarnation;
    return std::make_unique<Membership>(row,
                                        std::vector<Endpoint>{ At(0), At(1) },
                                        MembershipOptions(),
                                        m_random());
  }

  static HostId Id(size_t aHost)
  {
    return HostId("host-" + std::to_string(aHost));
  }
  static Endpoint At(size_t aHost)
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

  /// Hosts that every live host sees in a state.
  bool AllSee(size_t aHost, HostState aState)
  {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (!m_isUp[i] || m_isCut[i] || i == aHost) {
        continue;
      }
      const HostRow* row = m_hosts[i]->FindHost(Id(aHost));
      if (row == nullptr || row->m_state != aState) {
        return false;
      }
    }
    return true;
  }

  bool Reaches(size_t aFrom, size_t aTo) const
  {
    return m_isUp[aFrom] && m_isUp[aTo] && m_isCut[aFrom] == m_isCut[aTo];
  }

  Instant m_now{ seconds(1) };
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<Membership>> m_hosts;
  std::vector<bool> m_isUp;
  /// Hosts on the other side of a cut.
  std::vector<bool> m_isCut;
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
        to.Receive(m_now, Id(packet.m_from), *gossip);
      } else {
        to.ReceiveTables(m_now,
                         Id(packet.m_from),
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

TEST_CASE("all hosts find each other, and a death is seen by all")
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Site site(8, seed);
    site.RunFor(seconds(5));
    for (size_t i = 0; i < 8; ++i) {
      CHECK(site.AllSee(i, HostState::Alive));
    }
    site.m_isUp[7] = false;
    site.RunFor(seconds(12));
    CHECK(site.AllSee(7, HostState::Dead));
    // Nobody else was taken for dead meanwhile.
    for (size_t i = 0; i < 7; ++i) {
      CHECK(site.AllSee(i, HostState::Alive));
    }
    // A restart is another life.
    site.m_hosts[7] = site.Make(7, 2);
    site.m_isUp[7] = true;
    site.RunFor(seconds(5));
    CHECK(site.AllSee(7, HostState::Alive));
  }
}

TEST_CASE("a host that departs on purpose is not suspected first")
{
  Site site(6, 3);
  site.RunFor(seconds(5));
  site.m_hosts[2]->Leave(site.m_now);
  site.RunFor(milliseconds(500));
  site.m_isUp[2] = false;
  CHECK(site.AllSee(2, HostState::Left));
}

TEST_CASE("a leaving upstream is known to every host within three seconds")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Site site(8, seed);
    site.RunFor(seconds(5));
    site.m_hosts[0]->Announce(site.m_now, Upstream(1, UpstreamState::Serving));
    site.RunFor(seconds(2));
    for (size_t i = 0; i < 8; ++i) {
      REQUIRE(site.m_hosts[i]->Upstreams().Find(UpstreamId("engine")) !=
              nullptr);
    }
    site.m_hosts[3]->Announce(site.m_now, Upstream(2, UpstreamState::Leaving));
    site.RunFor(seconds(3));
    for (size_t i = 0; i < 8; ++i) {
      const auto* entry =
        site.m_hosts[i]->Upstreams().Find(UpstreamId("engine"));
      REQUIRE(entry != nullptr);
      CHECK_FALSE(UpstreamTable::TakesWork(site.m_now, *entry));
    }
  }
}

TEST_CASE("leases stay open everywhere while an upstream announces itself")
{
  Site site(8, 4);
  site.RunFor(seconds(5));
  for (uint64_t second = 1; second <= 20; ++second) {
    // The balancer sends each announcement to another host.
    site.m_hosts[second % 8]->Announce(
      site.m_now, Upstream(second, UpstreamState::Serving));
    site.RunFor(seconds(1));
    if (second < 3) {
      continue;
    }
    for (size_t i = 0; i < 8; ++i) {
      const auto* entry =
        site.m_hosts[i]->Upstreams().Find(UpstreamId("engine"));
      REQUIRE(entry != nullptr);
      CHECK(UpstreamTable::TakesWork(site.m_now, *entry));
    }
  }
}

TEST_CASE("both sides of a cut go on and find each other again")
{
  Site site(9, 5);
  site.RunFor(seconds(5));
  for (size_t i : { 2U, 5U, 8U }) {
    site.m_isCut[i] = true;
  }
  site.RunFor(seconds(20));
  CHECK(site.m_hosts[0]->IsAlive(Site::Id(1)));
  CHECK_FALSE(site.m_hosts[0]->IsAlive(Site::Id(2)));
  CHECK(site.m_hosts[2]->IsAlive(Site::Id(5)));
  CHECK_FALSE(site.m_hosts[2]->IsAlive(Site::Id(0)));
  site.m_isCut.assign(9, false);
  site.RunFor(seconds(15));
  for (size_t i = 0; i < 9; ++i) {
    CHECK(site.AllSee(i, HostState::Alive));
  }
}

TEST_CASE("news of poison merges to the same everywhere")
{
  Site site(8, 6);
  site.RunFor(seconds(5));
  for (size_t i = 0; i < 2; ++i) {
    PoisonRow row;
    row.m_fingerprint = 9;
    row.m_deaths = { "engine-" + std::to_string(i) };
    site.m_hosts[i]->ReportPoison(site.m_now, row);
  }
  site.RunFor(seconds(3));
  for (size_t i = 0; i < 8; ++i) {
    CHECK(site.m_hosts[i]->Poison().at(9).m_deaths.size() == 2);
  }
}

TEST_CASE("news of poison reaches every host at once")
{
  Site site(8, 7);
  site.m_lossRate = 0;
  site.RunFor(seconds(5));
  PoisonRow row;
  row.m_fingerprint = 9;
  row.m_deaths = { "engine" };
  site.m_hosts[0]->ReportPoison(site.m_now, row);
  site.RunFor(milliseconds(60));
  for (size_t i = 0; i < 8; ++i) {
    CHECK(site.m_hosts[i]->Poison().contains(9));
  }
}
