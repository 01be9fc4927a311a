/// Tests of the evidence against crashing requests, in a simulated fleet.

#include "persimmontally/Routing/CrashEvidence.h"
#include "persimmontally/Membership/Membership.h"

#include <doctest/doctest.h>

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
  size_t m_engines = 14;
  double m_soundPerSecond = 12;
  double m_badPerSecond = 0.3;
  /// Parts in the second place of a prompt.
  size_t m_secondParts = 20;
  /// Ordinary faults: period, and share of the engines that die together.
  Duration m_crashPeriod{ 0 };
  double m_crashShare = 0;
  /// Until when requests with the bad part are sound.
  Duration m_badAfter{ 0 };
  /// Share of the sound requests that may be refused, beyond five.
  double m_maxRefused = 0.002;
  /// When half of the hosts restart; they get the rows of the others.
  Duration m_restartAt{ 0 };
  /// Whether responses come as a whole, within milliseconds.
  bool m_isWhole = false;
  /// Whether the bad requests are all the same one, without a bad part.
  bool m_returnsUnchanged = false;
  /// Upstreams that a request is sent to at most, one after the other, and how
  /// often its caller then sends it again at once.
  int m_attempts = 1;
  int m_repeats = 0;
  /// Number of different sound requests; 0 if no two are the same.
  size_t m_soundRequests = 0;
  /// Deaths by bad requests after which those that are sent count.
  size_t m_countedAfter = 5;
};

/// Entry hosts that share evidence, and engines that die when they begin to
/// respond to a request with the part `kBadPart`.
class CrashFleet
{
public:
  explicit CrashFleet(const FleetOptions& aOptions, uint64_t aSeed)
    : m_options(aOptions)
    , m_random(aSeed)
    , m_hosts(aOptions.m_hosts)
    , m_engines(aOptions.m_engines)
  {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      Restart(i);
    }
    if (aOptions.m_restartAt > Duration(0)) {
      At(m_now + aOptions.m_restartAt, [this] { RestartHalf(); });
    }
    Arrive(m_options.m_soundPerSecond, false);
    Arrive(m_options.m_badPerSecond, true);
    if (m_options.m_crashPeriod > Duration(0)) {
      At(m_now + m_options.m_crashPeriod, [this] { CrashSome(); });
    }
  }

  void RunFor(Duration aLength)
  {
    Instant end = m_now + aLength;
    while (m_events.begin()->first <= end) {
      m_now = m_events.begin()->first;
      auto event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
    m_now = end;
  }

  /// Deaths caused by bad requests, and those that reached an engine later than
  /// 4 s after the last death that does not count.
  size_t m_badDeaths = 0;
  size_t m_badSentLate = 0;
  size_t m_sound = 0;
  size_t m_soundRefused = 0;

private:
  struct Host
  {
    std::unique_ptr<Membership> m_members;
    CrashEvidence m_evidence;
    PoisonView View() const
    {
      return { m_members->Poison(), m_members->PoisonTimesByFingerprint() };
    }
  };
  struct Request
  {
    size_t m_host = 0;
    bool m_isBad = false;
    bool m_hasBegun = false;
    CrashKeys m_keys;
    int m_sends = 0;
    int m_repeatsLeft = 0;
    Instant m_sentAt;
  };
  struct Engine
  {
    uint64_t m_incarnation = 1;
    bool m_isUp = true;
    /// Requests that are not yet known to be sound.
    std::map<uint64_t, Request> m_running;
  };

  static constexpr uint64_t kBadPart = 1;
  static constexpr uint64_t kBadRequest = 10'000;

  void At(Instant aTime, std::function<void()> aAction)
  {
    m_events.emplace(aTime, std::move(aAction));
  }
  double Draw() { return std::uniform_real_distribution<double>()(m_random); }

  void Restart(size_t aHost)
  {
    HostRow row;
    row.m_id = HostId("h" + std::to_string(aHost));
    m_hosts[aHost].m_members = std::make_unique<Membership>(
      row, std::vector<Endpoint>(), MembershipOptions(), m_random());
    m_hosts[aHost].m_evidence = CrashEvidence();
  }

  void RestartHalf()
  {
    MembershipTables tables;
    for (const auto& [key, row] : m_hosts[0].m_members->Poison()) {
      tables.m_poison.push_back(row);
    }
    for (size_t i = 1; i < m_hosts.size(); i += 2) {
      Restart(i);
      m_hosts[i].m_members->ReceiveTables(m_now, HostId("h0"), tables);
    }
  }

  void Arrive(double aPerSecond, bool aIsBad)
  {
    if (aPerSecond <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(aPerSecond);
    At(m_now + std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(gap(m_random))),
       [this, aPerSecond, aIsBad] {
         Send(aIsBad);
         Arrive(aPerSecond, aIsBad);
       });
  }

  void Send(bool aIsBad)
  {
    Request request;
    request.m_host = m_random() % m_hosts.size();
    request.m_isBad = aIsBad;
    request.m_keys.m_request = 1'000'000 + m_nextRequest++;
    request.m_keys.m_parts = { 10 + m_random() % 4,
                               100 + m_random() % m_options.m_secondParts };
    if (aIsBad && !m_options.m_returnsUnchanged) {
      request.m_keys.m_parts.push_back(kBadPart);
    }
    if (m_options.m_returnsUnchanged) {
      request.m_keys.m_parts.clear();
    }
    if (aIsBad && m_options.m_returnsUnchanged) {
      request.m_keys.m_request = kBadRequest;
    } else if (m_options.m_soundRequests > 0) {
      request.m_keys.m_request =
        kBadRequest + 1 + m_random() % m_options.m_soundRequests;
    }
    request.m_repeatsLeft = m_options.m_repeats;
    m_sound += aIsBad ? 0 : 1;
    Place(std::move(request));
  }

  /// Sends a request to an engine unless it is quarantined.
  void Place(Request aRequest)
  {
    if (IsRefused(m_hosts[aRequest.m_host], aRequest)) {
      m_soundRefused += aRequest.m_isBad ? 0 : 1;
      return;
    }
    size_t engine = m_random() % m_engines.size();
    if (!m_engines[engine].m_isUp) {
      return;
    }
    bool isLate = m_countedFrom && m_now > *m_countedFrom;
    m_badSentLate += aRequest.m_isBad && isLate ? 1 : 0;
    ++aRequest.m_sends;
    aRequest.m_sentAt = m_now;
    uint64_t id = m_nextRun++;
    m_engines[engine].m_running.emplace(id, std::move(aRequest));
    if (m_options.m_isWhole) {
      At(m_now + milliseconds(5 + m_random() % 20),
         [this, engine, id] { Finish(engine, id); });
      return;
    }
    At(m_now + milliseconds(200 + m_random() % 300),
       [this, engine, id] { Begin(engine, id); });
  }

  /// Sends a request that was broken off to another engine, or lets its caller
  /// send it again.
  void Retry(Request aRequest)
  {
    if (aRequest.m_sends < m_options.m_attempts) {
      Place(std::move(aRequest));
      return;
    }
    if (aRequest.m_repeatsLeft-- > 0) {
      aRequest.m_sends = 0;
      aRequest.m_host = m_random() % m_hosts.size();
      At(m_now + milliseconds(25), [this, aRequest] { Place(aRequest); });
    }
  }

  /// Applies the quarantine and its trials as hosts do.
  bool IsRefused(Host& aHost, const Request& aRequest)
  {
    std::vector<uint64_t> keys =
      aHost.m_evidence.Quarantined(aHost.View(), aRequest.m_keys);
    bool isTrial = m_random() % m_hosts.size() < CrashEvidence::kTrialHosts &&
                   m_now >= aHost.m_evidence.TrialDueAt(aHost.View(), keys) &&
                   aRequest.m_sends == 0;
    std::vector<PoisonRow> rows;
    for (uint64_t key : keys) {
      rows.push_back(aHost.m_members->Poison().at(key));
      ++rows.back().m_trials;
    }
    if (!keys.empty() && isTrial) {
      Share(aRequest.m_host, rows);
    }
    return !keys.empty() && !isTrial;
  }

  void Begin(size_t aEngine, uint64_t aId)
  {
    auto at = m_engines[aEngine].m_running.find(aId);
    if (at == m_engines[aEngine].m_running.end()) {
      return;
    }
    at->second.m_hasBegun = true;
    bool isBad =
      at->second.m_isBad && m_now >= m_startedAt + m_options.m_badAfter;
    At(m_now + milliseconds(isBad ? 40 : 150),
       [this, aEngine, aId] { Finish(aEngine, aId); });
  }

  void Finish(size_t aEngine, uint64_t aId)
  {
    auto at = m_engines[aEngine].m_running.find(aId);
    if (at == m_engines[aEngine].m_running.end()) {
      return;
    }
    if (at->second.m_isBad && m_now >= m_startedAt + m_options.m_badAfter) {
      ++m_badDeaths;
      if (m_badDeaths == m_options.m_countedAfter) {
        m_countedFrom = m_now + seconds(4);
      }
      Die(aEngine);
      return;
    }
    Request request =
      std::move(m_engines[aEngine].m_running.extract(at).mapped());
    Host& host = m_hosts[request.m_host];
    Share(request.m_host,
          host.m_evidence.RecordSound(host.View(), request.m_keys));
  }

  void Die(size_t aEngine)
  {
    Engine& engine = m_engines[aEngine];
    std::string death =
      std::to_string(aEngine) + "/" + std::to_string(engine.m_incarnation);
    std::map<size_t, std::vector<CrashSuspect>> suspects;
    auto running = std::exchange(engine.m_running, {});
    for (const auto& [id, request] : running) {
      suspects[request.m_host].push_back({ request.m_keys,
                                           request.m_hasBegun,
                                           m_options.m_isWhole,
                                           request.m_sends > 1,
                                           request.m_sentAt });
    }
    for (const auto& [index, list] : suspects) {
      Host& host = m_hosts[index];
      Share(index,
            host.m_evidence.RecordDeath(m_now, host.View(), death, list));
    }
    engine.m_isUp = false;
    ++engine.m_incarnation;
    At(m_now + seconds(3), [&engine] { engine.m_isUp = true; });
    for (const auto& item : running) {
      At(m_now + milliseconds(1),
         [this, request = item.second] { Retry(request); });
    }
  }

  void CrashSome()
  {
    for (size_t i = 0; i < m_engines.size(); ++i) {
      if (m_engines[i].m_isUp && Draw() < m_options.m_crashShare) {
        Die(i);
      }
    }
    At(m_now + m_options.m_crashPeriod, [this] { CrashSome(); });
  }

  /// Spreads rows to all hosts, and lets each vouch for the parts it has seen.
  void Share(size_t aFrom, const std::vector<PoisonRow>& aRows)
  {
    for (const PoisonRow& row : aRows) {
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        Duration delay = milliseconds(m_random() % 60);
        // A retry follows at once, on the host that has seen the death.
        bool isAtOnce = i == aFrom && m_options.m_isWhole;
        At(m_now + (isAtOnce ? Duration(0) : delay),
           [this, i, row] { Receive(i, row); });
      }
    }
  }

  void Receive(size_t aHost, const PoisonRow& aRow)
  {
    Host& host = m_hosts[aHost];
    host.m_members->ReportPoison(m_now, aRow);
    host.m_members->TakeSends();
    if (!host.m_evidence.Vouch(host.View(), aRow.m_fingerprint)) {
      return;
    }
    At(m_now + milliseconds(m_random() % 1000),
       [this, aHost, key = aRow.m_fingerprint] {
         Host& late = m_hosts[aHost];
         if (auto row = late.m_evidence.Vouch(late.View(), key)) {
           Share(aHost, { *row });
         }
       });
  }

  FleetOptions m_options;
  std::mt19937_64 m_random;
  const Instant m_startedAt{ seconds(100) };
  Instant m_now = m_startedAt;
  std::multimap<Instant, std::function<void()>> m_events;
  std::vector<Host> m_hosts;
  std::vector<Engine> m_engines;
  uint64_t m_nextRequest = 0;
  uint64_t m_nextRun = 0;
  std::optional<Instant> m_countedFrom;
};

/// PERSIMMONTALLY_SEEDS sets the number of seeds.
uint64_t SeedCount()
{
  const char* text = std::getenv("PERSIMMONTALLY_SEEDS");
  return text == nullptr ? 40 : std::strtoull(text, nullptr, 10);
}

void CheckFleets(const std::vector<FleetOptions>& aRows)
{
  for (const FleetOptions& row : aRows) {
    for (uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      CAPTURE(std::string(row.m_name));
      CAPTURE(seed);
      CrashFleet fleet(row, seed);
      fleet.RunFor(seconds(60));
      CAPTURE(fleet.m_badDeaths);
      CHECK(fleet.m_badSentLate <= 3);
      CHECK(static_cast<double>(fleet.m_soundRefused) <=
            5 + row.m_maxRefused * static_cast<double>(fleet.m_sound));
    }
  }
}

} // namespace

// Guards against crashes without end, and against blame of the other parts.
TEST_CASE(
  "a part that crashes engines is quarantined on all hosts, and requests "
  "without it are served")
{
  std::vector<FleetOptions> rows;
  auto add = [&](const char* aName, auto aChange) {
    FleetOptions options;
    options.m_name = aName;
    aChange(options);
    rows.push_back(options);
  };
  add("small site", [](FleetOptions&) {});
  add("small site, many bad requests",
      [](FleetOptions& aRow) { aRow.m_badPerSecond = 2; });
  add("many rare parts", [](FleetOptions& aRow) { aRow.m_secondParts = 400; });
  add("half of the hosts restart", [](FleetOptions& aRow) {
    aRow.m_badPerSecond = 1;
    aRow.m_restartAt = seconds(15);
  });
  add("a part that was sound before", [](FleetOptions& aRow) {
    aRow.m_badPerSecond = 1;
    aRow.m_badAfter = seconds(20);
  });
  add("ordinary crashes beside it", [](FleetOptions& aRow) {
    aRow.m_crashPeriod = seconds(5);
    aRow.m_crashShare = 0.3;
  });
  add("ordinary crashes alone", [](FleetOptions& aRow) {
    aRow.m_badPerSecond = 0;
    aRow.m_crashPeriod = seconds(5);
    aRow.m_crashShare = 0.3;
  });
  add("most engines crash together, again and again", [](FleetOptions& aRow) {
    aRow.m_badPerSecond = 0;
    aRow.m_crashPeriod = milliseconds(3500);
    aRow.m_crashShare = 0.6;
    aRow.m_maxRefused = 0.5;
  });
  add("large fleet", [](FleetOptions& aRow) {
    aRow.m_hosts = 294;
    aRow.m_engines = 122;
    aRow.m_soundPerSecond = 60;
    aRow.m_badPerSecond = 3;
  });
  CheckFleets(rows);
}

// Guards against one request that ends the few upstreams of a service again
// and again.
TEST_CASE("a request that returns unchanged is quarantined on all hosts, and "
          "the others of its service are served")
{
  FleetOptions small;
  small.m_engines = 3;
  small.m_soundPerSecond = 36;
  small.m_badPerSecond = 0.65;
  small.m_isWhole = true;
  small.m_returnsUnchanged = true;
  small.m_countedAfter = 3;
  std::vector<FleetOptions> rows;
  auto add = [&](const char* aName, auto aChange) {
    FleetOptions options = small;
    options.m_name = aName;
    aChange(options);
    rows.push_back(options);
  };
  add("one attempt", [](FleetOptions&) {});
  add("two attempts", [](FleetOptions& aRow) { aRow.m_attempts = 2; });
  add("two attempts, and its caller repeats it", [](FleetOptions& aRow) {
    aRow.m_attempts = 2;
    aRow.m_repeats = 2;
  });
  add("few different sound requests", [](FleetOptions& aRow) {
    aRow.m_attempts = 2;
    aRow.m_soundRequests = 20;
  });
  add("a request that was sound before", [](FleetOptions& aRow) {
    aRow.m_attempts = 2;
    aRow.m_badAfter = seconds(20);
  });
  add("ordinary crashes beside it", [](FleetOptions& aRow) {
    aRow.m_attempts = 2;
    aRow.m_soundRequests = 200;
    aRow.m_crashPeriod = seconds(5);
    aRow.m_crashShare = 0.4;
  });
  add("half of the hosts restart", [](FleetOptions& aRow) {
    aRow.m_attempts = 2;
    aRow.m_restartAt = seconds(15);
  });
  add("large fleet", [](FleetOptions& aRow) {
    aRow.m_hosts = 294;
    aRow.m_engines = 30;
    aRow.m_soundPerSecond = 300;
    aRow.m_badPerSecond = 3;
    aRow.m_attempts = 2;
  });
  CheckFleets(rows);
}

TEST_CASE("evidence counts by what the upstream had begun, and a sound request "
          "voids it")
{
  HostRow self;
  self.m_id = HostId("h");
  Membership members(self, {}, MembershipOptions(), 1);
  CrashEvidence evidence;
  Instant now(seconds(100));
  auto view = [&] {
    return PoisonView{ members.Poison(), members.PoisonTimesByFingerprint() };
  };
  auto report = [&](const std::vector<PoisonRow>& aRows) {
    for (const PoisonRow& row : aRows) {
      members.ReportPoison(now, row);
    }
  };
  CrashKeys keys{ { 1, 2 }, 9 };
  struct Row
  {
    const char* m_death;
    bool m_hasBegun;
    Duration m_after;
    uint32_t m_strikes;
    size_t m_quarantined;
  };
  for (const Row& row : { Row{ "a/1", true, seconds(1), 2, 0 },
                          // Reported twice.
                          Row{ "a/1", true, seconds(1), 2, 0 },
                          Row{ "b/1", false, seconds(1), 3, 0 },
                          // Dies together with the one before.
                          Row{ "c/1", true, milliseconds(10), 3, 0 },
                          Row{ "b/2", true, seconds(1), 5, 3 } }) {
    CAPTURE(row.m_death);
    now += row.m_after;
    report(evidence.RecordDeath(
      now, view(), row.m_death, { { keys, row.m_hasBegun } }));
    CHECK(members.Poison().at(1).m_strikes == row.m_strikes);
    CHECK(evidence.Quarantined(view(), keys).size() == row.m_quarantined);
  }
  // Only a request with one of several keys shows which of them is to blame.
  CHECK(evidence.TrialDueAt(view(), { 1, 2, 9 }) ==
        now + CrashEvidence::kTrialDelay);
  CHECK(evidence.TrialDueAt(view(), { 1 }) ==
        now + CrashEvidence::kDecidingTrialDelay);
  report(evidence.RecordSound(view(), { { 1 }, 7 }));
  CHECK(evidence.Quarantined(view(), keys) == std::vector<uint64_t>{ 2, 9 });
  // The sound part starts anew.
  now += seconds(1);
  report(
    evidence.RecordDeath(now, view(), "d/1", { { { { 1, 2 }, 8 }, true } }));
  CHECK(members.Poison().at(1).m_strikes == 2);
  CHECK(members.Poison().at(2).m_strikes == 7);
}

TEST_CASE("a late report of an earlier epoch does not restore void evidence")
{
  HostRow self;
  self.m_id = HostId("h");
  Membership members(self, {}, MembershipOptions(), 1);
  PoisonRow old;
  old.m_fingerprint = 1;
  old.m_strikes = 4;
  old.m_deaths = { "a/1", "b/1" };
  PoisonRow cleared;
  cleared.m_fingerprint = 1;
  cleared.m_epoch = 1;
  members.ReportPoison(Instant(seconds(1)), old);
  members.ReportPoison(Instant(seconds(2)), cleared);
  members.ReportPoison(Instant(seconds(3)), old);
  CHECK(members.Poison().at(1) == cleared);
}

// Guards against memory without bound while callers vary the part.
TEST_CASE("rows with the least evidence make room for others")
{
  HostRow self;
  self.m_id = HostId("h");
  Membership members(self, {}, MembershipOptions(), 1);
  PoisonRow row;
  row.m_strikes = 4;
  members.ReportPoison(Instant(seconds(1)), row);
  row.m_strikes = 2;
  for (row.m_fingerprint = 1; row.m_fingerprint < 3000; ++row.m_fingerprint) {
    members.ReportPoison(Instant(seconds(2)), row);
  }
  CHECK(members.Poison().size() == 1000);
  CHECK(members.Poison().contains(0));
}
