/// Several hosts that share upstreams through granting hosts, over a fake
/// network that loses and delays messages, in virtual time.

#include "persimmontally/Routing/SharedDispatch.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>

using namespace persimmontally;

namespace {

constexpr uint32_t kSlots = 4;
constexpr size_t kEngines = 3;

class Site
{
public:
  Site(size_t aHosts, uint64_t aSeed, double aLossRate)
    : m_random(aSeed)
    , m_lossRate(aLossRate)
    , m_isUp(aHosts, true)
  {
    for (size_t i = 0; i < aHosts; ++i) {
      DispatchOptions options;
      options.m_ranks.m_leastUrgentReserve = 0;
      m_hosts.push_back(std::make_unique<SharedDispatch>(Id(i), options, i));
    }
    TellHosts();
  }

  static HostId Id(size_t aHost)
  {
    return HostId("host-" + std::to_string(aHost));
  }

  void TellHosts()
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
    m_waiting[ticket.m_id] = aHost;
    if (m_hosts[aHost]->Enqueue(m_now, ticket)) {
      m_waiting.erase(ticket.m_id);
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
          Turn(i);
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
  std::map<RequestId, size_t> m_waiting;
  std::map<RequestId, Run> m_running;
  size_t m_submitted = 0;
  size_t m_granted = 0;
  size_t m_refused = 0;
  size_t m_finished = 0;
  size_t m_doubled = 0;
  /// Turns in which an engine held more than its slots.
  size_t m_overfull = 0;

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

  void Turn(size_t aHost)
  {
    for (DispatchAction& action : m_hosts[aHost]->Tick(m_now, m_table)) {
      if (auto* grant = std::get_if<DispatchGrant>(&action)) {
        const RequestId& id = grant->m_ticket.m_id;
        m_doubled += m_waiting.erase(id) == 0 ? 1 : 0;
        ++m_granted;
        m_running[id] = { aHost, grant->m_upstream, m_now + milliseconds(300) };
        continue;
      }
      m_waiting.erase(std::get<DispatchRefusal>(action).m_ticket.m_id);
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
    std::map<UpstreamId, uint32_t> held;
    for (const auto& [id, run] : m_running) {
      ++held[run.m_upstream];
    }
    for (const auto& [id, count] : held) {
      m_overfull += count > kSlots ? 1 : 0;
    }
  }

  UpstreamTable m_table;
  uint64_t m_sequence = 0;
  std::multimap<Instant, Packet> m_network;
};

} // namespace

TEST_CASE("hosts share the slots of their upstreams exactly")
{
  Site site(4, 1, 0);
  for (int i = 0; i < 400; ++i) {
    site.Submit(i % 4);
    site.RunFor(milliseconds(15));
  }
  site.RunFor(seconds(10));
  CHECK(site.m_granted + site.m_refused == 400);
  CHECK(site.m_finished == site.m_granted);
  CHECK(site.m_granted >= 390);
  CHECK(site.m_doubled == 0);
  CHECK(site.m_overfull == 0);
}

TEST_CASE("every request is answered once, whatever messages are lost and "
          "whichever host dies")
{
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    Site site(4, seed, 0.1);
    size_t dead = seed % 4;
    for (int i = 0; i < 200; ++i) {
      if (i == 100) {
        site.Crash(dead);
        std::erase_if(site.m_waiting,
                      [&](const auto& aItem) { return aItem.second == dead; });
      }
      if (i == 120) {
        site.TellHosts();
      }
      size_t host = static_cast<size_t>(i) % 4;
      if (site.m_isUp[host]) {
        site.Submit(host);
      }
      site.RunFor(milliseconds(20));
    }
    site.RunFor(seconds(40));
    CHECK(site.m_waiting.empty());
    CHECK(site.m_running.empty());
    CHECK(site.m_doubled == 0);
    // The slots of the lost host's requests are free again.
    size_t before = site.m_granted;
    for (int i = 0; i < 12; ++i) {
      site.Submit((dead + 1) % 4);
    }
    site.RunFor(seconds(3));
    CHECK(site.m_granted == before + 12);
  }
}

TEST_CASE("a host that leaves moves only its own requests")
{
  Site site(5, 2, 0);
  std::map<std::string, HostId> before;
  Ticket ticket;
  for (int i = 0; i < 50; ++i) {
    ticket.m_model = ModelId("model-" + std::to_string(i));
    before[ticket.m_model.Value()] = site.m_hosts[0]->OwnerOf(ticket);
  }
  site.m_isUp[3] = false;
  site.TellHosts();
  for (const auto& [model, owner] : before) {
    ticket.m_model = ModelId(model);
    HostId after = site.m_hosts[0]->OwnerOf(ticket);
    CHECK((owner == Site::Id(3) || after == owner));
  }
}
