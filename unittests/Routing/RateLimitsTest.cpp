/// Tests of rate limits of upstreams, in a simulated fleet.

#include "persimmontally/Routing/RateLimits.h"
#include "persimmontally/Routing/Dispatcher.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>

using namespace persimmontally;

namespace {

struct FleetOptions
{
  const char* m_name = "";
  size_t m_hosts = 6;
  /// Requests per second of all hosts together, and the limit of the one
  /// upstream.
  double m_demand = 40;
  double m_limit = 3.4;
  /// Factor by which each further host gets less demand than the one before.
  double m_skew = 1;
  /// Limits that the upstream names in turn, a second each, from second 10 on.
  std::vector<double> m_laterLimits;
  /// Hosts that are cut off from all others, freeze, or restart at second 10.
  /// The others notice 2.5 s later, and again 2.5 s after the end, 5 s later.
  size_t m_cutOff = 0;
  size_t m_frozen = 0;
  size_t m_restarted = 0;
  /// Share of the messages between hosts that arrive twice or late.
  double m_doubled = 0;
  /// Least share of the limit that is used, where more than it is asked for.
  double m_leastUsed = 0.85;
};

/// Entry hosts in front of one service with a limited upstream.
class LimitFleet
{
public:
  LimitFleet(const FleetOptions& aOptions, uint64_t aSeed)
    : m_options(aOptions)
    , m_random(aSeed)
    , m_hosts(aOptions.m_hosts)
  {
    UpstreamRow row;
    row.m_id = kUpstream;
    row.m_incarnation = 1;
    row.m_kind = UpstreamKind::Service;
    row.m_service = "plain";
    row.m_slots = 64;
    m_table.Merge(m_now, row);
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      Restart(i);
      double share = std::pow(aOptions.m_skew, static_cast<double>(i));
      m_shares.push_back(share);
      At(m_now, [this, i] { Tick(i); });
    }
    Arrive();
    ScheduleFaults();
  }

  void RunFor(Duration aLength)
  {
    Instant end = m_now + aLength;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      m_now = m_events.begin()->first;
      auto event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
    m_now = end;
  }

  /// Returns the most requests in 4 s beyond 1.25 times the limit at the time,
  /// from 4 s after the start on.
  double MostAbove() const
  {
    double most = -1e9;
    for (auto at = m_sent.begin(); at != m_sent.end(); ++at) {
      if (*at < kStart + seconds(4)) {
        continue;
      }
      auto end = std::lower_bound(at, m_sent.end(), *at + seconds(4));
      double allowed = 0;
      for (Instant step = *at; step < *at + seconds(4);
           step += milliseconds(100)) {
        allowed += 1.25 * std::max(LimitAt(step), LimitAt(step - seconds(1))) *
                   ToSeconds(milliseconds(100));
      }
      most = std::max(most, static_cast<double>(end - at) - allowed);
    }
    return most;
  }

  /// Returns the share of the limit that was used from second 4 on.
  double Used() const
  {
    auto first =
      std::lower_bound(m_sent.begin(), m_sent.end(), kStart + seconds(4));
    double allowed = 0;
    for (Instant at = kStart + seconds(4); at < m_now;
         at += milliseconds(100)) {
      allowed += LimitAt(at) * ToSeconds(milliseconds(100));
    }
    return static_cast<double>(m_sent.end() - first) / allowed;
  }

  /// Refusals, and the longest time that a refused request was held.
  size_t m_refused = 0;
  Duration m_longestHeld{ 0 };
  size_t m_messages = 0;

private:
  static constexpr Instant kStart{ seconds(100) };
  static inline const UpstreamId kUpstream{ "u" };

  struct Host
  {
    std::unique_ptr<RateLimits> m_limits;
    std::unique_ptr<Dispatcher> m_dispatcher;
    bool m_isCutOff = false;
    bool m_isFrozen = false;
  };

  void At(Instant aTime, std::function<void()> aAction)
  {
    m_events.emplace(aTime, std::move(aAction));
  }
  double Draw() { return std::uniform_real_distribution<double>()(m_random); }
  static HostId IdOf(size_t aHost)
  {
    return HostId("h" + std::to_string(aHost));
  }

  double LimitAt(Instant aTime) const
  {
    auto second = (aTime - kStart - seconds(10)) / seconds(1);
    if (m_options.m_laterLimits.empty() || second < 0) {
      return m_options.m_limit;
    }
    return m_options.m_laterLimits[static_cast<size_t>(second) %
                                   m_options.m_laterLimits.size()];
  }

  void Restart(size_t aHost)
  {
    Host& host = m_hosts[aHost];
    host.m_limits = std::make_unique<RateLimits>(IdOf(aHost), m_random());
    host.m_dispatcher =
      std::make_unique<Dispatcher>(DispatchOptions(), m_random());
    host.m_dispatcher->SetRateLimits(host.m_limits.get());
    CountHosts(aHost);
  }

  /// Sets the hosts that a host reaches.
  void CountHosts(size_t aHost)
  {
    std::set<HostId> reachable = { IdOf(aHost) };
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      bool isCut = m_hosts[i].m_isCutOff || m_hosts[aHost].m_isCutOff;
      if (!isCut && !m_hosts[i].m_isFrozen) {
        reachable.insert(IdOf(i));
      }
    }
    m_hosts[aHost].m_limits->SetHosts(m_now, reachable, m_hosts.size());
  }

  void ScheduleFaults()
  {
    auto set = [this](Duration aAfter, bool aIsOn) {
      At(kStart + aAfter, [this, aIsOn] {
        for (size_t i = 0; i < m_options.m_cutOff; ++i) {
          m_hosts[i].m_isCutOff = aIsOn;
        }
        for (size_t i = 0; i < m_options.m_frozen; ++i) {
          m_hosts[i].m_isFrozen = aIsOn;
        }
        for (size_t i = 0; aIsOn && i < m_options.m_restarted; ++i) {
          Restart(i);
        }
      });
      At(kStart + aAfter + milliseconds(2500), [this] {
        for (size_t i = 0; i < m_hosts.size(); ++i) {
          CountHosts(i);
        }
      });
    };
    set(seconds(10), true);
    set(seconds(15), false);
  }

  void Arrive()
  {
    std::exponential_distribution<double> gap(m_options.m_demand);
    At(m_now + std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(gap(m_random))),
       [this] {
         std::discrete_distribution<size_t> pick(m_shares.begin(),
                                                 m_shares.end());
         size_t host = pick(m_random);
         if (!m_hosts[host].m_isFrozen) {
           Enqueue(host);
         }
         Arrive();
       });
  }

  void Enqueue(size_t aHost)
  {
    Ticket ticket;
    ticket.m_id = RequestId(std::to_string(m_nextRequest++));
    ticket.m_account = AccountId("a" + std::to_string(m_random() % 4));
    ticket.m_service = "plain";
    ticket.m_arrivedAt = m_now;
    ticket.m_placeBy = m_now + milliseconds(375);
    if (m_hosts[aHost].m_dispatcher->Enqueue(m_now, ticket)) {
      ++m_refused;
      return;
    }
    RunPlacement(aHost);
  }

  void Tick(size_t aHost)
  {
    const Host& host = m_hosts[aHost];
    if (!host.m_isFrozen) {
      RunPlacement(aHost);
    }
    bool isBusy = host.m_dispatcher->HasQueued() || host.m_limits->IsBusy();
    At(m_now + milliseconds(isBusy ? 10 : 100), [this, aHost] { Tick(aHost); });
  }

  void RunPlacement(size_t aHost)
  {
    Host& host = m_hosts[aHost];
    host.m_limits->Tick(m_now);
    for (const DispatchAction& action :
         host.m_dispatcher->Tick(m_now, m_table)) {
      if (const auto* refusal = std::get_if<DispatchRefusal>(&action)) {
        ++m_refused;
        m_longestHeld = std::max<Duration>(
          m_longestHeld, m_now - refusal->m_ticket.m_arrivedAt);
        continue;
      }
      m_sent.push_back(m_now);
      RequestId id = std::get<DispatchGrant>(action).m_ticket.m_id;
      At(m_now + milliseconds(20), [this, aHost, id] { Respond(aHost, id); });
    }
    Flush(aHost);
  }

  void Respond(size_t aHost, const RequestId& aId)
  {
    Host& host = m_hosts[aHost];
    host.m_dispatcher->Complete(m_now, aId, DispatchOutcome::Finished);
    host.m_limits->RecordResponse(m_now, kUpstream, 1, LimitAt(m_now));
    Flush(aHost);
  }

  void Flush(size_t aHost)
  {
    for (RateLimitSend& send : m_hosts[aHost].m_limits->TakeSends()) {
      ++m_messages;
      size_t to = std::stoul(send.m_to.Value().substr(1));
      int copies = Draw() < m_options.m_doubled ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        Duration delay = milliseconds(1 + m_random() % 12);
        delay += i > 0 ? milliseconds(m_random() % 2000) : Duration(0);
        At(m_now + delay, [this, aHost, to, update = send.m_update] {
          Host& host = m_hosts[to];
          if (!host.m_isCutOff && !m_hosts[aHost].m_isCutOff &&
              !host.m_isFrozen) {
            host.m_limits->Receive(m_now, IdOf(aHost), update);
            RunPlacement(to);
          }
        });
      }
    }
  }

  FleetOptions m_options;
  std::mt19937_64 m_random;
  Instant m_now = kStart;
  std::multimap<Instant, std::function<void()>> m_events;
  UpstreamTable m_table{ seconds(1000) };
  std::vector<Host> m_hosts;
  std::vector<double> m_shares;
  std::vector<Instant> m_sent;
  uint64_t m_nextRequest = 0;
};

/// PERSIMMONTALLY_SEEDS sets the number of seeds; with more than one, fleets
/// that take long to simulate are included.
uint64_t SeedCount()
{
  const char* text = std::getenv("PERSIMMONTALLY_SEEDS");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against limits that each host keeps for itself, and against unused
// ones.
TEST_CASE("all hosts together keep the limit of an upstream and use it")
{
  std::vector<FleetOptions> rows;
  auto add = [&](const char* aName, auto aChange) {
    FleetOptions options;
    options.m_name = aName;
    aChange(options);
    rows.push_back(options);
  };
  for (size_t hosts : { 6, 24, 100, 300 }) {
    for (double limit : { 0.5, 3.4, 50.0 }) {
      for (double factor : { 0.5, 2.0, 20.0 }) {
        bool isLong = static_cast<double>(hosts) * factor * limit > 2500;
        if (isLong && SeedCount() == 1) {
          continue;
        }
        add("demand", [&](FleetOptions& aRow) {
          aRow.m_hosts = hosts;
          aRow.m_limit = limit;
          aRow.m_demand = factor * limit;
          aRow.m_leastUsed = hosts == 300 ? 0.75 : 0.85;
          aRow.m_leastUsed = factor < 1 ? 0 : aRow.m_leastUsed;
        });
      }
    }
  }
  add("uneven over hosts", [](FleetOptions& aRow) { aRow.m_skew = 0.5; });
  add("the limit moves", [](FleetOptions& aRow) {
    aRow.m_laterLimits = { 10, 2, 20, 0.5, 5 };
    aRow.m_leastUsed = 0.5;
  });
  add("all hosts are cut off", [](FleetOptions& aRow) {
    aRow.m_cutOff = 6;
    aRow.m_leastUsed = 0.5;
  });
  add("half of 24 hosts are cut off", [](FleetOptions& aRow) {
    aRow.m_hosts = 24;
    aRow.m_cutOff = 12;
    aRow.m_leastUsed = 0.5;
  });
  add("hosts freeze", [](FleetOptions& aRow) {
    aRow.m_frozen = 3;
    aRow.m_leastUsed = 0.5;
  });
  add("hosts restart", [](FleetOptions& aRow) { aRow.m_restarted = 3; });
  add("messages come twice and late",
      [](FleetOptions& aRow) { aRow.m_doubled = 0.3; });
  for (const FleetOptions& row : rows) {
    for (uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      CAPTURE(std::string(row.m_name));
      CAPTURE(row.m_hosts);
      CAPTURE(row.m_limit);
      CAPTURE(row.m_demand);
      CAPTURE(seed);
      LimitFleet fleet(row, seed);
      // Long enough for the use of a low limit to be more than a few requests.
      fleet.RunFor(seconds(row.m_limit < 1 ? 200 : 30));
      CAPTURE(fleet.m_messages);
      CAPTURE(fleet.m_refused);
      CAPTURE(ToMilliseconds(fleet.m_longestHeld));
      CHECK(fleet.MostAbove() <= 4);
      CHECK(fleet.Used() >= row.m_leastUsed);
    }
  }
}
