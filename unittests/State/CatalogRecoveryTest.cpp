/// Tests of membership and the spread of the catalog together, in virtual time:
/// what hosts without a disk have in force after control hosts restarted.

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/State/CatalogSpread.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>

using namespace persimmontally;

namespace {

constexpr size_t kSources = 3;
constexpr Duration kStep = milliseconds(20);
/// Shortest time in which an acknowledged change must be in force.
constexpr Duration kInForceWithin = milliseconds(2500);

/// Control hosts, which are the seeds and have the catalog on their disks, and
/// entry hosts. The network delays messages by 1 to 14 ms and loses some
/// datagrams.
class RecoveryCluster
{
public:
  RecoveryCluster(size_t aHosts, uint64_t aSeed)
    : m_hosts(aHosts)
    , m_random(aSeed)
  {
    for (size_t i = 0; i < aHosts; ++i) {
      Start(i);
    }
  }

  /// Starts a host, or restarts it with nothing but its disk.
  void Start(size_t aHost)
  {
    Host& host = m_hosts[aHost];
    HostRow row;
    row.m_id = Id(aHost);
    row.m_dataCentre = DataCentreOf(aHost);
    row.m_peer = EndpointOf(aHost);
    row.m_isEntry = aHost >= kSources;
    row.m_incarnation = ++m_incarnation;
    std::vector<Endpoint> seeds;
    for (size_t i = 0; i < kSources; ++i) {
      seeds.push_back(EndpointOf(i));
    }
    host.m_members =
      std::make_unique<Membership>(row, seeds, MembershipOptions(), m_random());
    SpreadOptions options;
    options.m_host = row.m_id;
    options.m_peer = row.m_peer;
    options.m_dataCentre = row.m_dataCentre;
    options.m_isSource = aHost < kSources;
    host.m_spread = std::make_unique<CatalogSpread>(options);
    host.m_membersVersion = 0;
    host.m_isUp = true;
    if (options.m_isSource) {
      host.m_members->SetDisk(DiskId("disk-" + row.m_id.Value()), "group");
      Publish(aHost);
    }
  }

  void Stop(size_t aHost) { m_hosts[aHost].m_isUp = false; }

  /// Puts a new version of the catalog in force on the live control hosts.
  void Change()
  {
    ++m_version;
    for (size_t i = 0; i < kSources; ++i) {
      if (m_hosts[i].m_isUp) {
        Publish(i);
      }
    }
  }

  void RunFor(Duration aLength)
  {
    for (Instant end = m_now + aLength; m_now < end;) {
      m_now += kStep;
      Deliver();
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i].m_isUp) {
          m_hosts[i].m_members->Tick(m_now);
          UpdatePeers(m_hosts[i]);
          m_hosts[i].m_spread->Tick(m_now);
          Collect(i);
        }
      }
    }
  }

  uint64_t InForce(size_t aHost) const
  {
    return m_hosts[aHost].m_spread->Version();
  }

  uint64_t m_version = 1;

private:
  struct Host
  {
    std::unique_ptr<Membership> m_members;
    std::unique_ptr<CatalogSpread> m_spread;
    uint64_t m_membersVersion = 0;
    bool m_isUp = false;
  };
  using Message =
    std::variant<GossipMessage, MembershipTables, CatalogUpdate, CatalogPull>;
  struct Packet
  {
    size_t m_from;
    size_t m_to;
    Message m_message;
  };

  static HostId Id(size_t aHost) { return HostId("h" + std::to_string(aHost)); }
  static DataCentreId DataCentreOf(size_t aHost)
  {
    return DataCentreId("dc" + std::to_string(aHost % kSources));
  }
  static Endpoint EndpointOf(size_t aHost)
  {
    return { "127.0.0.1", static_cast<uint16_t>(1000 + aHost) };
  }

  void Publish(size_t aHost)
  {
    m_hosts[aHost].m_spread->Publish(
      m_now,
      "group",
      m_version,
      m_version,
      { { "route/r", std::to_string(m_version) } });
    m_hosts[aHost].m_members->SetListsIndex(m_version);
  }

  static void UpdatePeers(Host& aHost)
  {
    const Membership& members = *aHost.m_members;
    if (aHost.m_membersVersion == members.HostsVersion()) {
      return;
    }
    aHost.m_membersVersion = members.HostsVersion();
    std::vector<SpreadPeer> peers;
    for (const auto& [id, row] : members.Hosts()) {
      if (id != members.Self().m_id && row.m_state <= HostState::Suspect) {
        peers.push_back({ id,
                          row.m_dataCentre,
                          row.m_region,
                          row.m_peer,
                          !row.m_disk.Empty(),
                          row.m_listsIndex });
      }
    }
    aHost.m_spread->SetPeers(std::move(peers));
  }

  void Collect(size_t aHost)
  {
    constexpr double kLossRate = 0.02;
    std::uniform_real_distribution<double> draw(0, 1);
    auto post = [&](const Endpoint& aTo, Message aMessage) {
      m_network.emplace(
        m_now + milliseconds(1 + m_random() % 14),
        Packet{ aHost, aTo.m_port - 1000U, std::move(aMessage) });
    };
    for (MembershipSend& send : m_hosts[aHost].m_members->TakeSends()) {
      if (auto* tables = std::get_if<MembershipTables>(&send.m_message)) {
        post(send.m_to, std::move(*tables));
      } else if (draw(m_random) >= kLossRate) {
        post(send.m_to, std::get<GossipMessage>(send.m_message));
      }
    }
    for (const SpreadSend& send : m_hosts[aHost].m_spread->TakeSends()) {
      for (const Endpoint& to : send.m_to) {
        if (const auto* pull = std::get_if<CatalogPull>(&send.m_message)) {
          post(to, *pull);
        } else {
          post(to, std::get<CatalogUpdate>(send.m_message));
        }
      }
    }
  }

  void Deliver()
  {
    while (!m_network.empty() && m_network.begin()->first <= m_now) {
      Packet packet = std::move(m_network.begin()->second);
      m_network.erase(m_network.begin());
      Host& to = m_hosts[packet.m_to];
      if (!to.m_isUp) {
        continue;
      }
      HostId from = Id(packet.m_from);
      if (auto* gossip = std::get_if<GossipMessage>(&packet.m_message)) {
        to.m_members->Receive(m_now, from, *gossip);
      } else if (auto* rows =
                   std::get_if<MembershipTables>(&packet.m_message)) {
        to.m_members->ReceiveTables(m_now, from, *rows);
      } else if (auto* pull = std::get_if<CatalogPull>(&packet.m_message)) {
        to.m_spread->Receive(m_now, *pull);
      } else {
        to.m_spread->Receive(m_now, std::get<CatalogUpdate>(packet.m_message));
      }
    }
  }

  std::vector<Host> m_hosts;
  std::mt19937_64 m_random;
  std::multimap<Instant, Packet> m_network;
  Instant m_now{ seconds(1) };
  uint64_t m_incarnation = 0;
};

} // namespace

// Guards against control hosts that ignore entry hosts which they do not know.
TEST_CASE(
  "a change made after all control hosts restarted is in force on every "
  "entry host in time")
{
  struct Row
  {
    size_t m_hosts;
    Duration m_downFor;
    Duration m_changeAfter;
  };
  for (const Row& row : { Row{ 9, milliseconds(100), milliseconds(500) },
                          Row{ 9, seconds(2), milliseconds(100) },
                          Row{ 9, seconds(2), milliseconds(1600) },
                          Row{ 9, seconds(5), milliseconds(500) },
                          Row{ 40, seconds(2), milliseconds(1600) } }) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(row.m_hosts);
      CAPTURE(row.m_downFor.count());
      CAPTURE(row.m_changeAfter.count());
      CAPTURE(seed);
      RecoveryCluster cluster(row.m_hosts, seed);
      cluster.RunFor(seconds(10));
      for (size_t i = 0; i < kSources; ++i) {
        cluster.Stop(i);
      }
      cluster.RunFor(row.m_downFor);
      for (size_t i = 0; i < kSources; ++i) {
        cluster.Start(i);
      }
      cluster.RunFor(row.m_changeAfter);
      cluster.Change();
      cluster.RunFor(kInForceWithin);
      for (size_t i = kSources; i < row.m_hosts; ++i) {
        CAPTURE(i);
        CHECK(cluster.InForce(i) == cluster.m_version);
      }
    }
  }
}
