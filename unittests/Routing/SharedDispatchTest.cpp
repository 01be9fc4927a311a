/// Tests of hosts that share upstreams through owner hosts, over a simulated
/// network that loses and delays messages, in virtual time.

#include "persimmontally/Routing/SharedDispatch.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>

using namespace persimmontally;

namespace {

constexpr uint32_t kSlots = 4;
constexpr size_t kEngines = 3;

class TestCluster
{
public:
  TestCluster(size_t aHosts, uint64_t aSeed, double aLossRate)
    : m_random(aSeed)
    , m_lossRate(aLossRate)
    , m_isUp(aHosts, true)
  {
    for (size_t i = 0; i < aHosts; ++i) {
      DispatchOptions options;
      options.m_ranks.m_minUrgentReserve = 0;
      m_hosts.push_back(std::make_unique<SharedDispatch>(Id(i), options, i));
    }
    UpdateHosts();
  }

  static HostId Id(size_t aHost)
  {
    return HostId("host-" + std::to_string(aHost));
  }

  void UpdateHosts()
  {
    std::vector<HostId> live;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (m_isUp[i]) {
        live.push_back(Id(i));
      }
    }
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (m_isUp[i]) {
        m_hosts[i]->SetHosts(m_now, live);
      }
    }
  }

  void Crash(size_t aHost)
  {
    m_isUp[aHost] = false;
    std::erase_if(m_running, [&](const auto& aItem) {
      return aItem.second.m_host == aHost;
    });
  }

  void Submit(size_t aHost)
  {
    Ticket ticket;
    ticket.m_id = RequestId("r" + std::to_string(m_submitted++));
    ticket.m_account = AccountId("account-" + std::to_string(m_submitted % 4));
    ticket.m_rank = m_submitted % 3 == 0 ? Rank::Urgent : Rank::Routine;
    ticket.m_model = ModelId("m");
    ticket.m_promptTokens = 10;
    ticket.m_maxTokens = 100;
    ticket.m_placeBy = m_now + seconds(30);
    m_queued[ticket.m_id] = aHost;
    if (m_hosts[aHost]->Enqueue(m_now, ticket)) {
      m_queued.erase(ticket.m_id);
      ++m_refused;
    }
  }

  void RunFor(Duration aLength)
  {
    for (Instant end = m_now + aLength; m_now < end;) {
      m_now += milliseconds(5);
      Announce();
      Deliver();
      FinishRuns();
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_isUp[i]) {
          TickHost(i);
        }
      }
      CountOverfull();
    }
  }

  struct Run
  {
    size_t m_host;
    UpstreamId m_upstream;
    Instant m_end;
  };

  std::mt19937_64 m_random;
  double m_lossRate;
  Instant m_now{ seconds(1) };
  std::vector<bool> m_isUp;
  std::vector<std::unique_ptr<SharedDispatch>> m_hosts;
  std::map<RequestId, size_t> m_queued;
  std::map<RequestId, Run> m_running;
  size_t m_submitted = 0;
  size_t m_granted = 0;
  size_t m_refused = 0;
  size_t m_finished = 0;
  size_t m_duplicateGrants = 0;
  /// Sum over all ticks of the engines that ran more requests than their slots.
  size_t m_overfullCount = 0;

private:
  struct Packet
  {
    size_t m_from;
    size_t m_to;
    DispatchBatch m_batch;
  };

  void Announce()
  {
    for (size_t i = 0; i < kEngines; ++i) {
      UpstreamRow row;
      row.m_id = UpstreamId("engine-" + std::to_string(i));
      row.m_incarnation = 1;
      row.m_sequence = ++m_sequence;
      row.m_models = { ModelId("m") };
      row.m_slots = kSlots;
      row.m_kvBlocks = 1000;
      m_table.Merge(m_now, row);
    }
  }

  void TickHost(size_t aHost)
  {
    for (DispatchAction& action : m_hosts[aHost]->Tick(m_now, m_table)) {
      if (auto* grant = std::get_if<DispatchGrant>(&action)) {
        const RequestId& id = grant->m_ticket.m_id;
        m_duplicateGrants += m_queued.erase(id) == 0 ? 1 : 0;
        ++m_granted;
        m_running[id] = { aHost, grant->m_upstream, m_now + milliseconds(300) };
        continue;
      }
      m_queued.erase(std::get<DispatchRefusal>(action).m_ticket.m_id);
      ++m_refused;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    for (auto& [host, batch] : m_hosts[aHost]->TakeSends()) {
      size_t to = 0;
      while (Id(to) != host) {
        ++to;
      }
      if (draw(m_random) >= m_lossRate) {
        m_network.emplace(m_now + milliseconds(1 + m_random() % 10),
                          Packet{ aHost, to, std::move(batch) });
      }
    }
  }

  void Deliver()
  {
    while (!m_network.empty() && m_network.begin()->first <= m_now) {
      Packet packet = std::move(m_network.begin()->second);
      m_network.erase(m_network.begin());
      if (m_isUp[packet.m_to]) {
        m_hosts[packet.m_to]->Receive(m_now, Id(packet.m_from), packet.m_batch);
      }
    }
  }

  void FinishRuns()
  {
    std::vector<RequestId> ended;
    for (const auto& [id, run] : m_running) {
      if (run.m_end <= m_now) {
        ended.push_back(id);
      }
    }
    for (const RequestId& id : ended) {
      Run run = m_running.at(id);
      m_running.erase(id);
      ++m_finished;
      m_hosts[run.m_host]->Progress(m_now, id, 10);
      m_hosts[run.m_host]->Complete(m_now, id, DispatchOutcome::Finished);
    }
  }

  void CountOverfull()
  {
    std::map<UpstreamId, uint32_t> deferredTo;
    for (const auto& [id, run] : m_running) {
      ++deferredTo[run.m_upstream];
    }
    for (const auto& [id, count] : deferredTo) {
      m_overfullCount += count > kSlots ? 1 : 0;
    }
  }

  UpstreamTable m_table;
  uint64_t m_sequence = 0;
  std::multimap<Instant, Packet> m_network;
};

} // namespace

TEST_CASE("hosts that share upstreams never exceed their slots")
{
  TestCluster cluster(4, 1, 0);
  for (int i = 0; i < 400; ++i) {
    cluster.Submit(i % 4);
    cluster.RunFor(milliseconds(15));
  }
  cluster.RunFor(seconds(10));
  CHECK(cluster.m_granted + cluster.m_refused == 400);
  CHECK(cluster.m_finished == cluster.m_granted);
  CHECK(cluster.m_granted >= 390);
  CHECK(cluster.m_duplicateGrants == 0);
  CHECK(cluster.m_overfullCount == 0);
}

TEST_CASE("every request is answered exactly once despite lost messages and a "
          "host crash")
{
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    TestCluster cluster(4, seed, 0.1);
    size_t dead = seed % 4;
    for (int i = 0; i < 200; ++i) {
      if (i == 100) {
        cluster.Crash(dead);
        std::erase_if(cluster.m_queued,
                      [&](const auto& aItem) { return aItem.second == dead; });
      }
      if (i == 120) {
        cluster.UpdateHosts();
      }
      size_t host = static_cast<size_t>(i) % 4;
      if (cluster.m_isUp[host]) {
        cluster.Submit(host);
      }
      cluster.RunFor(milliseconds(20));
    }
    cluster.RunFor(seconds(40));
    CHECK(cluster.m_queued.empty());
    CHECK(cluster.m_running.empty());
    CHECK(cluster.m_duplicateGrants == 0);
    // The slots of the crashed host's requests have been released.
    size_t before = cluster.m_granted;
    for (int i = 0; i < 12; ++i) {
      cluster.Submit((dead + 1) % 4);
    }
    cluster.RunFor(seconds(3));
    CHECK(cluster.m_granted == before + 12);
  }
}

TEST_CASE("a host that leaves changes only the owners of its own pools")
{
  TestCluster cluster(5, 2, 0);
  std::map<std::string, HostId> before;
  Ticket ticket;
  for (int i = 0; i < 50; ++i) {
    ticket.m_model = ModelId("model-" + std::to_string(i));
    before[ticket.m_model.Value()] = cluster.m_hosts[0]->OwnerOf(ticket);
  }
  cluster.m_isUp[3] = false;
  cluster.UpdateHosts();
  for (const auto& [model, owner] : before) {
    ticket.m_model = ModelId(model);
    HostId after = cluster.m_hosts[0]->OwnerOf(ticket);
    CHECK((owner == TestCluster::Id(3) || after == owner));
  }
}
