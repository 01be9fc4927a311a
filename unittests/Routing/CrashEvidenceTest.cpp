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

  /// Deaths caused by the part, and requests with it that reached an engine
  /// later than 4 s after the fifth.
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
  };
  struct Engine
  {
    uint64_t m_incarnation = 1;
    bool m_isUp = true;
    /// Requests that are not yet known to be sound.
    std::map<uint64_t, Request> m_running;
  };

  static constexpr uint64_t kBadPart = 1;

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
    if (aIsBad) {
      request.m_keys.m_parts.push_back(kBadPart);
    }
    m_sound += aIsBad ? 0 : 1;
    Host& host = m_hosts[request.m_host];
    if (IsRefused(host, request.m_keys)) {
      m_soundRefused += aIsBad ? 0 : 1;
      return;
    }
    size_t engine = m_random() % m_engines.size();
    if (!m_engines[engine].m_isUp) {
      return;
    }
    bool isLate = m_fifthDeathAt && m_now > *m_fifthDeathAt + seconds(4);
    m_badSentLate += aIsBad && isLate ? 1 : 0;
    uint64_t id = request.m_keys.m_request;
    m_engines[engine].m_running.emplace(id, std::move(request));
    At(m_now + milliseconds(200 + m_random() % 300),
       [this, engine, id] { Begin(engine, id); });
  }

  /// Applies the quarantine and its trials as hosts do.
  bool IsRefused(Host& aHost, const CrashKeys& aKeys)
  {
    std::vector<uint64_t> keys =
      aHost.m_evidence.Quarantined(aHost.View(), aKeys);
    bool isTrial = m_random() % m_hosts.size() < CrashEvidence::kTrialHosts &&
                   m_now >= aHost.m_evidence.TrialDueAt(aHost.View(), keys);
    std::vector<PoisonRow> rows;
    for (uint64_t key : keys) {
      rows.push_back(aHost.m_members->Poison().at(key));
      ++rows.back().m_trials;
    }
    if (!keys.empty() && isTrial) {
      Share(rows);
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
    At(m_now + milliseconds(isBad ? 40 : 150), [this, aEngine, aId, isBad] {
      if (!m_engines[aEngine].m_running.contains(aId)) {
        return;
      }
      if (isBad) {
        ++m_badDeaths;
        if (m_badDeaths == 5) {
          m_fifthDeathAt = m_now;
        }
        Die(aEngine);
        return;
      }
      Request request =
        std::move(m_engines[aEngine].m_running.extract(aId).mapped());
      Host& host = m_hosts[request.m_host];
      Share(host.m_evidence.RecordSound(host.View(), request.m_keys));
    });
  }

  void Die(size_t aEngine)
  {
    Engine& engine = m_engines[aEngine];
    std::string death =
      std::to_string(aEngine) + "/" + std::to_string(engine.m_incarnation);
    std::map<size_t, std::vector<CrashSuspect>> suspects;
    for (const auto& [id, request] : std::exchange(engine.m_running, {})) {
      suspects[request.m_host].push_back(
        { request.m_keys, request.m_hasBegun });
    }
    for (const auto& [index, list] : suspects) {
      Host& host = m_hosts[index];
      Share(host.m_evidence.RecordDeath(m_now, host.View(), death, list));
    }
    engine.m_isUp = false;
    ++engine.m_incarnation;
    At(m_now + seconds(3), [&engine] { engine.m_isUp = true; });
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
  void Share(const std::vector<PoisonRow>& aRows)
  {
    for (const PoisonRow& row : aRows) {
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        At(m_now + milliseconds(m_random() % 60),
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
           Share({ *row });
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
  std::optional<Instant> m_fifthDeathAt;
};

/// PERSIMMONTALLY_SEEDS sets the number of seeds.
uint64_t SeedCount()
{
  const char* text = std::getenv("PERSIMMONTALLY_SEEDS");
  return text == nullptr ? 40 : std::strtoull(text, nullptr, 10);
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
  for (const FleetOptions& row : rows) {
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
