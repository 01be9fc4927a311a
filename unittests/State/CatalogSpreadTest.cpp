/// Tests of the spread of the catalog to hundreds of hosts, in virtual time.

#include "persimmontally/State/CatalogSpread.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <random>

using namespace persimmontally;

namespace {

constexpr size_t kDataCentres = 6;
constexpr size_t kRoutes = 1840;
constexpr Duration kStep = milliseconds(20);
/// Period at which the hosts receive their view of the others.
constexpr Duration kViewPeriod = milliseconds(100);
/// Time in which a change must be in force everywhere.
constexpr Duration kInForceWithin = seconds(3);
/// Time until gossip has spread the index of a source.
constexpr Duration kGossipDelay = milliseconds(600);

/// One source in each data centre, and other hosts that get the catalog from
/// them over a network that delays and can lose, double or alter messages.
class SpreadCluster
{
public:
  explicit SpreadCluster(size_t aHosts)
  {
    for (size_t i = 0; i < kDataCentres + aHosts; ++i) {
      SpreadOptions options;
      options.m_host = Id(i);
      options.m_peer = EndpointOf(i);
      options.m_dataCentre = DataCentreOf(i);
      options.m_region = RegionOf(i);
      options.m_isSource = i < kDataCentres;
      m_hosts.push_back(std::make_unique<CatalogSpread>(options));
      m_isUp.push_back(true);
    }
    m_gossip.resize(kDataCentres);
    for (size_t i = 0; i < kRoutes; ++i) {
      m_items["route/" + std::to_string(i)] = std::string(150, 'a');
    }
    UpdatePeers();
  }

  static HostId Id(size_t aHost) { return HostId("h" + std::to_string(aHost)); }

  /// Changes some items and puts the result in force on all live sources.
  void Change(size_t aItems)
  {
    ++m_version;
    for (size_t i = 0; i < aItems; ++i) {
      std::string key = "route/" + std::to_string(m_random() % kRoutes);
      if (m_random() % 4 == 0 && m_items.size() > kRoutes / 2) {
        m_items.erase(key);
      } else {
        m_items[key] =
          std::string(150, static_cast<char>('b' + m_version % 20));
      }
    }
    std::vector<CatalogItem> items;
    for (const auto& [key, data] : m_items) {
      items.push_back({ key, data });
    }
    for (size_t i = 0; i < kDataCentres; ++i) {
      if (m_isUp[i]) {
        m_hosts[i]->Publish(m_now, "group", 100 + m_version, m_version, items);
        m_gossip[i].emplace_back(m_now + kGossipDelay, 100 + m_version);
      }
    }
  }

  void RunFor(Duration aLength)
  {
    for (Instant end = m_now + aLength; m_now < end; m_now += kStep) {
      if (m_now >= m_nextViewAt) {
        m_nextViewAt = m_now + kViewPeriod;
        UpdatePeers();
      }
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_isUp[i]) {
          m_hosts[i]->Tick(m_now);
        }
      }
      Exchange();
    }
  }

  /// Number of live hosts that have the newest catalog.
  size_t Current() const
  {
    size_t count = 0;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      count += m_isUp[i] && m_hosts[i]->Version() == m_version ? 1 : 0;
    }
    return count;
  }
  size_t Live() const
  {
    return static_cast<size_t>(std::count(m_isUp.begin(), m_isUp.end(), true));
  }

  Instant m_now{ seconds(1) };
  std::vector<std::unique_ptr<CatalogSpread>> m_hosts;
  std::vector<bool> m_isUp;
  std::mt19937_64 m_random{ 1 };
  /// Probability that a message is lost, and that it arrives a second time.
  double m_lossRate = 0;
  double m_doubleRate = 0;
  /// Called for each update before it arrives.
  std::function<void(CatalogUpdate&)> m_alter = [](CatalogUpdate&) {};
  /// Bytes of updates sent, by receiver.
  std::map<size_t, size_t> m_bytes;
  uint64_t m_wholes = 0;

private:
  struct Packet
  {
    size_t m_to;
    PeerMessage m_message;
  };

  static DataCentreId DataCentreOf(size_t aHost)
  {
    return DataCentreId("dc" + std::to_string(aHost % kDataCentres));
  }
  static RegionId RegionOf(size_t aHost)
  {
    return RegionId("r" + std::to_string(aHost % kDataCentres / 2));
  }
  static Endpoint EndpointOf(size_t aHost)
  {
    return { "127.0.0.1", static_cast<uint16_t>(1000 + aHost) };
  }

  void UpdatePeers()
  {
    for (size_t host = 0; host < m_hosts.size(); ++host) {
      std::vector<SpreadPeer> peers;
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (i == host || !m_isUp[i]) {
          continue;
        }
        SpreadPeer peer;
        peer.m_host = Id(i);
        peer.m_dataCentre = DataCentreOf(i);
        peer.m_region = RegionOf(i);
        peer.m_peer = EndpointOf(i);
        peer.m_isSource = i < kDataCentres;
        if (peer.m_isSource) {
          for (const auto& [at, index] : m_gossip[i]) {
            peer.m_index = at <= m_now ? index : peer.m_index;
          }
        } else if (host >= kDataCentres) {
          // Only sources look at the other hosts.
          continue;
        }
        peers.push_back(std::move(peer));
      }
      m_hosts[host]->SetPeers(std::move(peers));
    }
  }

  void Exchange()
  {
    std::uniform_real_distribution<double> draw(0, 1);
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      for (const SpreadSend& send : m_hosts[i]->TakeSends()) {
        for (const Endpoint& to : send.m_to) {
          size_t copies = draw(m_random) < m_lossRate ? 0 : 1;
          copies += draw(m_random) < m_doubleRate ? 1 : 0;
          for (size_t copy = 0; copy < copies; ++copy) {
            // Later copies and messages can overtake earlier ones.
            Duration delay = milliseconds(1 + m_random() % 60);
            m_network.emplace(m_now + delay,
                              Packet{ to.m_port - 1000U, send.m_message });
          }
        }
      }
    }
    while (!m_network.empty() && m_network.begin()->first <= m_now) {
      Packet packet = std::move(m_network.begin()->second);
      m_network.erase(m_network.begin());
      if (!m_isUp[packet.m_to]) {
        continue;
      }
      CatalogSpread& to = *m_hosts[packet.m_to];
      if (auto* update = std::get_if<CatalogUpdate>(&packet.m_message)) {
        m_bytes[packet.m_to] += Encode(packet.m_message).size();
        m_wholes += update->m_baseIndex == 0 ? 1 : 0;
        m_alter(*update);
        to.Receive(m_now, *update);
      } else {
        to.Receive(m_now, std::get<CatalogPull>(packet.m_message));
      }
    }
  }

  std::map<std::string, std::string> m_items;
  uint64_t m_version = 0;
  /// When each source's index arrives by gossip.
  std::vector<std::vector<std::pair<Instant, uint64_t>>> m_gossip;
  std::multimap<Instant, Packet> m_network;
  Instant m_nextViewAt;
};

} // namespace

TEST_CASE("six changes in a row on 1,840 routes are in force on 294 hosts in "
          "time, at the size of the changes")
{
  SpreadCluster cluster(294);
  cluster.Change(10);
  cluster.RunFor(kInForceWithin);
  REQUIRE(cluster.Current() == cluster.Live());
  cluster.m_bytes.clear();
  cluster.m_wholes = 0;

  constexpr size_t kChangedItems = 20;
  for (int i = 0; i < 6; ++i) {
    cluster.Change(kChangedItems);
    cluster.RunFor(milliseconds(100));
  }
  cluster.RunFor(kInForceWithin - milliseconds(100));
  CHECK(cluster.Current() == cluster.Live());
  CHECK(cluster.m_wholes == 0);
  for (const auto& [host, bytes] : cluster.m_bytes) {
    // Each of the 120 changes at most once, with its key and lengths.
    CHECK(bytes < 6 * kChangedItems * 200 + 6 * 200);
  }
}

TEST_CASE("the catalog reaches all live hosts in time under faults")
{
  struct Row
  {
    std::string m_name;
    std::function<void(SpreadCluster&)> m_fault;
    bool m_needsWhole = false;
  };
  for (const Row& row : std::vector<Row>{
         { "a tenth of the messages is lost",
           [](SpreadCluster& aCluster) { aCluster.m_lossRate = 0.1; } },
         { "half of the messages arrive twice",
           [](SpreadCluster& aCluster) { aCluster.m_doubleRate = 0.5; } },
         { "a source is gone",
           [](SpreadCluster& aCluster) { aCluster.m_isUp[2] = false; } },
         { "all sources but one are gone",
           [](SpreadCluster& aCluster) {
             for (size_t i = 1; i < kDataCentres; ++i) {
               aCluster.m_isUp[i] = false;
             }
           } },
         { "an item is altered on the way",
           [](SpreadCluster& aCluster) {
             aCluster.m_alter = [left = 5](CatalogUpdate& aUpdate) mutable {
               if (left > 0 && !aUpdate.m_changed.empty()) {
                 --left;
                 aUpdate.m_changed.front().m_data += "x";
               }
             };
           },
           true },
         { "a removal is dropped on the way",
           [](SpreadCluster& aCluster) {
             aCluster.m_alter = [left = 5](CatalogUpdate& aUpdate) mutable {
               if (left > 0 && !aUpdate.m_removed.empty()) {
                 --left;
                 aUpdate.m_removed.pop_back();
               }
             };
           },
           true },
       }) {
    CAPTURE(row.m_name);
    SpreadCluster cluster(60);
    cluster.Change(10);
    cluster.RunFor(kInForceWithin);
    REQUIRE(cluster.Current() == cluster.Live());
    cluster.m_wholes = 0;
    row.m_fault(cluster);
    for (int i = 0; i < 6; ++i) {
      cluster.Change(20);
      cluster.RunFor(milliseconds(100));
    }
    cluster.RunFor(kInForceWithin - milliseconds(100));
    CHECK(cluster.Current() == cluster.Live());
    CHECK((cluster.m_wholes > 0) == row.m_needsWhole);
  }
}

TEST_CASE("hosts that start together pull the whole catalog once each, from "
          "the source in their data centre")
{
  SpreadCluster cluster(120);
  constexpr size_t kFirstNew = kDataCentres + 60;
  for (size_t i = kFirstNew; i < cluster.m_hosts.size(); ++i) {
    cluster.m_isUp[i] = false;
  }
  cluster.Change(10);
  cluster.RunFor(kInForceWithin);
  cluster.m_wholes = 0;
  for (size_t i = kFirstNew; i < cluster.m_hosts.size(); ++i) {
    cluster.m_isUp[i] = true;
  }
  cluster.RunFor(seconds(1));
  CHECK(cluster.Current() == cluster.Live());
  CHECK(cluster.m_wholes == cluster.m_hosts.size() - kFirstNew);
}

TEST_CASE("a catalog that is not newer or of another group changes nothing")
{
  SpreadOptions options;
  options.m_host = HostId("h");
  CatalogSpread host(options);
  Instant now(seconds(1));
  CatalogUpdate whole;
  whole.m_group = "group";
  whole.m_index = 7;
  whole.m_version = 3;
  REQUIRE(host.Receive(now, whole));
  struct Row
  {
    std::string m_name;
    std::function<void(CatalogUpdate&)> m_change;
  };
  for (const Row& row : std::vector<Row>{
         { "the same", [](CatalogUpdate&) {} },
         { "older", [](CatalogUpdate& aUpdate) { aUpdate.m_index = 6; } },
         { "another group",
           [](CatalogUpdate& aUpdate) {
             aUpdate.m_index = 9;
             aUpdate.m_group = "other";
           } },
         { "after a gap",
           [](CatalogUpdate& aUpdate) {
             aUpdate.m_baseIndex = 8;
             aUpdate.m_index = 9;
           } },
       }) {
    CAPTURE(row.m_name);
    CatalogUpdate update = whole;
    row.m_change(update);
    CHECK_FALSE(host.Receive(now, update));
    CHECK(host.Index() == 7);
    CHECK(host.Version() == 3);
  }
}

TEST_CASE("a source answers the pull of a host that it does not know")
{
  SpreadOptions options;
  options.m_host = HostId("source");
  options.m_isSource = true;
  CatalogSpread source(options);
  Instant now(seconds(1));
  source.Publish(now, "group", 7, 3, { { "route/1", "data" } });
  Endpoint peer{ "127.0.0.1", 1001 };
  source.Receive(now, CatalogPull{ HostId("unknown"), peer, 5 });
  auto sends = source.TakeSends();
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].m_to == std::vector<Endpoint>{ peer });
  const auto* update = std::get_if<CatalogUpdate>(&sends[0].m_message);
  REQUIRE(update != nullptr);
  CHECK(update->m_baseIndex == 0);
  CHECK(update->m_index == 7);
  CHECK(update->m_changed.size() == 1);
}
