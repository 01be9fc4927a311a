/// Tests of upstreams that are cold, in a simulated fleet.

#include "persimmontally/Routing/ColdUpstreams.h"
#include "persimmontally/Routing/Dispatcher.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>

using namespace persimmontally;

namespace {

struct ColdFleetOptions
{
  const char* m_name = "";
  size_t m_hosts = 6;
  size_t m_dataCentres = 6;
  size_t m_upstreamsEach = 2;
  double m_demand = 200;
  double m_perSecond = 8;
  Duration m_warmUp = seconds(4);
  /// Data centres whose upstreams restart at second 5, and again, while they
  /// warm up, at second 7.
  size_t m_returning = 1;
  bool m_returnsTwice = false;
  /// Whether upstreams become cold again at second 12 without a restart.
  bool m_coolsDown = false;
  /// Most that a word is late behind the row, and share of words that are lost.
  Duration m_wordDelay = milliseconds(30);
  double m_lostWords = 0;
  /// Hosts that are cut off from all others from second `m_faultAt` on for 5 s,
  /// or restart then; each host notices within 8 s.
  size_t m_cutOff = 0;
  size_t m_restarted = 0;
  double m_faultAt = 5.5;
  /// Hosts that are unknown to all others until second 5.
  size_t m_added = 0;
  /// Requests a second and upstream that resume without a permit.
  double m_resumes = 0;
  /// Least share of the rate of cold upstreams that is used.
  double m_leastUsed = 0;
};

/// Entry hosts in front of one service in several data centres.
class ColdFleet
{
public:
  ColdFleet(const ColdFleetOptions& aOptions, uint64_t aSeed, bool aHasPermits)
    : m_options(aOptions)
    , m_hasPermits(aHasPermits)
    , m_random(aSeed)
    , m_hosts(aOptions.m_hosts)
  {
    for (size_t i = 0; i < aOptions.m_dataCentres * aOptions.m_upstreamsEach;
         ++i) {
      Upstream upstream;
      upstream.m_row.m_id = UpstreamId("u" + std::to_string(i));
      upstream.m_row.m_dataCentre = CentreOf(i);
      upstream.m_row.m_kind = UpstreamKind::Service;
      upstream.m_row.m_service = "plain";
      upstream.m_row.m_slots = 24;
      m_upstreams.push_back(upstream);
    }
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      m_hosts[i].m_isAdded = i < aOptions.m_added;
      Restart(i);
      At(m_now, [this, i] { Tick(i); });
    }
    // The upstreams were there before traffic.
    for (size_t i = 0; i < m_upstreams.size(); ++i) {
      At(m_now + milliseconds(100), [this, i] { Announce(i, true, 0); });
    }
    At(kStart, [this] { Arrive(); });
    ScheduleChanges();
  }

  void RunUntil(double aSecond)
  {
    Instant end = After(aSecond);
    while (!m_events.empty() && m_events.begin()->first <= end) {
      m_now = m_events.begin()->first;
      auto event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
  }

  /// Returns the most requests that arrived at one cold upstream in a second.
  size_t MostInOneSecond() const
  {
    size_t most = 0;
    for (const Upstream& upstream : m_upstreams) {
      const std::vector<Instant>& at = upstream.m_coldArrivals;
      for (size_t first = 0, last = 0; last < at.size(); ++last) {
        for (; at[first] + seconds(1) <= at[last]; ++first) {
        }
        most = std::max(most, last - first + 1);
      }
    }
    return most;
  }

  /// Returns the share of what the cold upstreams could bear that was used.
  double Used() const
  {
    double used = 0;
    double bearable = 0;
    for (const Upstream& upstream : m_upstreams) {
      used += static_cast<double>(upstream.m_coldArrivals.size());
      bearable += upstream.m_coldSeconds * m_options.m_perSecond;
    }
    return bearable > 0 ? used / bearable : 1;
  }

  size_t m_placed = 0;
  size_t m_refused = 0;
  size_t m_messages = 0;

private:
  static constexpr Instant kStart{ seconds(100) };

  struct Host
  {
    std::unique_ptr<ColdUpstreams> m_cold;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<UpstreamTable> m_table;
    std::set<size_t> m_unreachable;
    bool m_isCutOff = false;
    bool m_isAdded = false;
  };
  struct Upstream
  {
    UpstreamRow m_row;
    Instant m_coldUntil;
    /// When all hosts in reach know that it is cold.
    Instant m_isKnownColdAt;
    double m_coldSeconds = 0;
    std::vector<Instant> m_coldArrivals;
  };

  void At(Instant aTime, std::function<void()> aAction)
  {
    m_events.emplace(aTime, std::move(aAction));
  }
  static Instant After(double aSecond)
  {
    return kStart + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(aSecond));
  }
  double Draw() { return std::uniform_real_distribution<double>()(m_random); }
  Duration DrawUpTo(Duration aLongest)
  {
    return std::chrono::duration_cast<Duration>(aLongest * Draw());
  }
  static HostId IdOf(size_t aHost)
  {
    return HostId("h" + std::to_string(aHost));
  }
  DataCentreId CentreOf(size_t aIndex) const
  {
    return DataCentreId("dc" +
                        std::to_string(aIndex % m_options.m_dataCentres));
  }
  bool CanTalk(size_t aLeft, size_t aRight) const
  {
    return aLeft == aRight ||
           (!m_hosts[aLeft].m_isCutOff && !m_hosts[aRight].m_isCutOff);
  }

  void Restart(size_t aHost)
  {
    Host& host = m_hosts[aHost];
    host.m_cold = std::make_unique<ColdUpstreams>(
      m_now, IdOf(aHost), CentreOf(aHost), m_random());
    DispatchOptions options;
    options.m_dataCentre = CentreOf(aHost);
    host.m_dispatcher = std::make_unique<Dispatcher>(options, m_random());
    if (m_hasPermits) {
      host.m_dispatcher->SetColdPermits(&host.m_cold->Permits());
    }
    host.m_table = std::make_unique<UpstreamTable>(seconds(1000));
    CountHosts(aHost);
    for (const Upstream& upstream : m_upstreams) {
      LearnRow(aHost, upstream.m_row);
    }
  }

  /// Sets the hosts that a host knows.
  void CountHosts(size_t aHost)
  {
    std::vector<ColdPeer> peers;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (i != aHost && !m_hosts[i].m_isAdded) {
        peers.push_back({ IdOf(i), CentreOf(i), true, CanTalk(aHost, i) });
      }
    }
    m_hosts[aHost].m_cold->SetPeers(m_now, peers);
  }

  void LearnRow(size_t aHost, const UpstreamRow& aRow)
  {
    Host& host = m_hosts[aHost];
    host.m_table->Merge(m_now, aRow);
    host.m_cold->SetUpstreams(m_now, *host.m_table, [this](const auto&) {
      return ColdTerms{ m_options.m_warmUp, m_options.m_perSecond };
    });
  }

  /// An upstream starts, or becomes cold, and announces it.
  void Announce(size_t aUpstream, bool aIsStart, uint64_t aLeftMs)
  {
    Upstream& upstream = m_upstreams[aUpstream];
    upstream.m_row.m_incarnation += aIsStart ? 1 : 0;
    ++upstream.m_row.m_sequence;
    Instant until = m_now + milliseconds(static_cast<int64_t>(aLeftMs));
    Instant counted = std::max(m_now, upstream.m_coldUntil);
    upstream.m_coldSeconds += ToSeconds(std::max(until, counted) - counted);
    upstream.m_coldUntil = until;
    upstream.m_isKnownColdAt =
      m_now + (aIsStart ? Duration(0) : m_options.m_wordDelay);
    ColdUpdate update;
    const UpstreamRow& row = upstream.m_row;
    update.m_words = {
      { row.m_id, row.m_incarnation, row.m_sequence, aLeftMs }
    };
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (m_hosts[i].m_isCutOff) {
        continue;
      }
      Duration delay = milliseconds(1) + DrawUpTo(milliseconds(12));
      if (aIsStart) {
        At(m_now + delay, [this, i, row] { LearnRow(i, row); });
      }
      if (Draw() >= m_options.m_lostWords) {
        At(m_now + DrawUpTo(m_options.m_wordDelay), [this, i, update] {
          m_hosts[i].m_cold->Receive(m_now, HostId("control"), update);
          Flush(i);
        });
      }
    }
  }

  void ScheduleChanges()
  {
    auto warmUpMs = static_cast<uint64_t>(ToMilliseconds(m_options.m_warmUp));
    for (size_t i = 0; i < m_upstreams.size(); ++i) {
      if (i % m_options.m_dataCentres >= m_options.m_returning) {
        continue;
      }
      At(After(5), [=, this] { Announce(i, true, warmUpMs); });
      if (m_options.m_returnsTwice) {
        At(After(7), [=, this] { Announce(i, true, warmUpMs); });
      }
      if (m_options.m_coolsDown) {
        At(After(12), [=, this] { Announce(i, false, warmUpMs); });
      }
    }
    At(After(5), [this] {
      for (Host& host : m_hosts) {
        host.m_isAdded = false;
      }
      NoticeHosts();
    });
    At(After(m_options.m_faultAt), [this] {
      for (size_t i = 0; i < m_options.m_cutOff; ++i) {
        m_hosts[i].m_isCutOff = true;
      }
      for (size_t i = 0; i < m_options.m_restarted; ++i) {
        Restart(i);
      }
      NoticeHosts();
    });
    At(After(m_options.m_faultAt + 5), [this] {
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        m_hosts[i].m_isCutOff = false;
        for (const Upstream& upstream : m_upstreams) {
          LearnRow(i, upstream.m_row);
        }
      }
      NoticeHosts();
    });
    for (size_t i = 0; m_options.m_resumes > 0 && i < m_upstreams.size(); ++i) {
      At(kStart, [this, i] { Resume(i); });
    }
  }

  void NoticeHosts()
  {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      At(m_now + DrawUpTo(seconds(8)), [this, i] { CountHosts(i); });
    }
  }

  Duration DrawGap(double aRate)
  {
    std::exponential_distribution<double> gap(aRate);
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(m_random)));
  }

  /// A generation resumes at its backup, which may have become cold.
  void Resume(size_t aUpstream)
  {
    size_t host = m_random() % m_hosts.size();
    const UpstreamRow& row = m_upstreams[aUpstream].m_row;
    m_hosts[host].m_cold->Charge(m_now, row.m_id);
    Flush(host);
    Arrived(row.m_id, row.m_incarnation);
    At(m_now + DrawGap(m_options.m_resumes),
       [this, aUpstream] { Resume(aUpstream); });
  }

  void Arrive()
  {
    At(m_now + DrawGap(m_options.m_demand), [this] {
      size_t host = m_random() % m_hosts.size();
      Ticket ticket;
      ticket.m_id = RequestId(std::to_string(m_nextRequest++));
      ticket.m_account = AccountId("a" + std::to_string(m_random() % 4));
      ticket.m_service = "plain";
      ticket.m_arrivedAt = m_now;
      ticket.m_placeBy = m_now + milliseconds(375);
      if (m_hosts[host].m_dispatcher->Enqueue(m_now, ticket)) {
        ++m_refused;
      } else {
        RunPlacement(host);
      }
      Arrive();
    });
  }

  void Tick(size_t aHost)
  {
    const Host& host = m_hosts[aHost];
    RunPlacement(aHost);
    bool isBusy = host.m_dispatcher->HasQueued() || host.m_cold->IsBusy();
    At(m_now + milliseconds(isBusy ? 10 : 100), [this, aHost] { Tick(aHost); });
  }

  void RunPlacement(size_t aHost)
  {
    Host& host = m_hosts[aHost];
    host.m_cold->Tick(m_now);
    for (const DispatchAction& action :
         host.m_dispatcher->Tick(m_now, *host.m_table)) {
      const auto* grant = std::get_if<DispatchGrant>(&action);
      if (grant == nullptr) {
        ++m_refused;
        continue;
      }
      ++m_placed;
      RequestId id = grant->m_ticket.m_id;
      Duration delay = DrawUpTo(milliseconds(14));
      At(m_now + delay,
         [this, upstream = grant->m_upstream, own = grant->m_incarnation] {
           Arrived(upstream, own);
         });
      At(m_now + delay + milliseconds(40), [this, aHost, id] {
        m_hosts[aHost].m_dispatcher->Complete(
          m_now, id, DispatchOutcome::Finished);
      });
    }
    Flush(aHost);
  }

  /// Counts an arrival, unless the upstream rejects it as not its own.
  void Arrived(const UpstreamId& aId, uint64_t aIncarnation)
  {
    for (Upstream& upstream : m_upstreams) {
      if (upstream.m_row.m_id == aId &&
          upstream.m_row.m_incarnation == aIncarnation &&
          m_now >= upstream.m_isKnownColdAt && m_now < upstream.m_coldUntil) {
        upstream.m_coldArrivals.push_back(m_now);
      }
    }
  }

  void Flush(size_t aHost)
  {
    for (ColdSend& send : m_hosts[aHost].m_cold->TakeSends()) {
      ++m_messages;
      size_t to = std::stoul(send.m_to.Value().substr(1));
      Duration delay = milliseconds(1) + DrawUpTo(milliseconds(12));
      At(m_now + delay, [this, aHost, to, update = send.m_update] {
        if (CanTalk(aHost, to)) {
          m_hosts[to].m_cold->Receive(m_now, IdOf(aHost), update);
          RunPlacement(to);
        }
      });
    }
  }

  ColdFleetOptions m_options;
  bool m_hasPermits;
  std::mt19937_64 m_random;
  Instant m_now = kStart - seconds(3);
  std::multimap<Instant, std::function<void()>> m_events;
  std::vector<Host> m_hosts;
  std::vector<Upstream> m_upstreams;
  uint64_t m_nextRequest = 0;
};

uint64_t SeedCount()
{
  const char* text = std::getenv("PERSIMMONTALLY_SEEDS");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against upstreams that all hosts together send more than they bear
// while they are cold, and against capacity that does not return.
TEST_CASE("all hosts together keep the rate of cold upstreams")
{
  std::vector<ColdFleetOptions> rows;
  auto add = [&](const char* aName, auto aChange) {
    for (size_t hosts : { 6, 90, 300 }) {
      ColdFleetOptions options;
      options.m_name = aName;
      options.m_hosts = hosts;
      aChange(options);
      // With one seed, only the fleets in which upstreams just return.
      bool isShort = hosts < 300 || options.m_leastUsed > 0;
      if (isShort || SeedCount() > 1) {
        rows.push_back(options);
      }
    }
  };
  add("a data centre returns", [](auto& aRow) { aRow.m_demand = 600; });
  add("all return at once", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_leastUsed = 0.6;
  });
  add("all return at once, at a high rate", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_perSecond = 32;
    aRow.m_demand = 1000;
    aRow.m_leastUsed = 0.6;
  });
  add("all return twice", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_returnsTwice = true;
  });
  add("all cool down", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_coolsDown = true;
  });
  add("words are late", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_wordDelay = seconds(3);
  });
  add("words are lost", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_lostWords = 0.5;
  });
  add("all hosts are cut off", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_cutOff = aRow.m_hosts;
  });
  add("half of the hosts are cut off", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_cutOff = aRow.m_hosts / 2;
  });
  add("half of the hosts restart", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_restarted = aRow.m_hosts / 2;
  });
  add("hosts in one data centre are cut off", [](auto& aRow) {
    aRow.m_dataCentres = 1;
    aRow.m_upstreamsEach = 8;
    aRow.m_cutOff = aRow.m_hosts / 2;
  });
  add("hosts in one data centre restart", [](auto& aRow) {
    aRow.m_dataCentres = 1;
    aRow.m_upstreamsEach = 8;
    aRow.m_restarted = aRow.m_hosts * 2 / 3;
  });
  add("hosts are added", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_added = aRow.m_hosts / 4;
  });
  add("generations resume", [](auto& aRow) {
    aRow.m_returning = 6;
    aRow.m_resumes = 2;
  });
  for (const ColdFleetOptions& row : rows) {
    for (uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      ColdFleet fleet(row, seed, true);
      fleet.RunUntil(17);
      CAPTURE(std::string(row.m_name));
      CAPTURE(row.m_hosts);
      CAPTURE(seed);
      CAPTURE(fleet.m_placed);
      CAPTURE(fleet.m_refused);
      CAPTURE(fleet.m_messages);
      CAPTURE(fleet.Used());
      double bound = row.m_perSecond * 1.5 + 5;
      CHECK(static_cast<double>(fleet.MostInOneSecond()) <= bound);
      CHECK(fleet.Used() >= row.m_leastUsed);
    }
  }
}

// Guards against a fleet that serves nothing in its first seconds, and against
// refusals while warm upstreams have room.
TEST_CASE("upstreams that were there before traffic are warm, and warm ones "
          "take what cold ones cannot bear")
{
  ColdFleetOptions options;
  options.m_demand = 600;
  for (size_t hosts : { 6, 90, 300 }) {
    CAPTURE(hosts);
    options.m_hosts = hosts;
    ColdFleet fleet(options, 1, true);
    fleet.RunUntil(12);
    CHECK(fleet.m_refused == 0);
    CHECK(fleet.m_placed >= 6500);
  }
}

// Shows that the load of the tests above needs the limit.
TEST_CASE("without permits cold upstreams get far more than they bear")
{
  ColdFleetOptions options;
  for (size_t returning : { 1, 6 }) {
    options.m_returning = returning;
    options.m_demand = returning == 1 ? 600 : 200;
    ColdFleet fleet(options, 1, false);
    fleet.RunUntil(10);
    CHECK(static_cast<double>(fleet.MostInOneSecond()) >
          options.m_perSecond * 1.5 + 5);
  }
}

TEST_CASE("a later word replaces an earlier one of the same incarnation")
{
  Instant now = seconds(100) + Instant();
  UpstreamId id("u");
  struct Row
  {
    const char* m_name;
    ColdWord m_word;
    ColdWords::Result m_result;
    int64_t m_leftMs;
  };
  for (const Row& row : std::vector<Row>{
         { "later", { id, 2, 6, 500 }, ColdWords::Result::Changed, 500 },
         { "warm", { id, 2, 6, 0 }, ColdWords::Result::Changed, 0 },
         { "confirmed", { id, 2, 6, 2050 }, ColdWords::Result::Same, 2050 },
         { "earlier", { id, 2, 4, 0 }, ColdWords::Result::Stale, 2000 },
         { "a copy", { id, 2, 5, 9000 }, ColdWords::Result::Stale, 2000 },
         { "earlier start", { id, 1, 9, 0 }, ColdWords::Result::Stale, 2000 },
         { "huge",
           { id, 2, 6, ~uint64_t(0) },
           ColdWords::Result::Changed,
           1'000'000'000'000 } }) {
    CAPTURE(std::string(row.m_name));
    ColdWords words;
    words.Record(now, { id, 2, 5, 2000 });
    CHECK(words.Record(now, row.m_word) == row.m_result);
    CHECK(words.LeftOf(now, id, 2) == milliseconds(row.m_leftMs));
    CHECK(!words.LeftOf(now, id, 3));
    CHECK(words.LeftOf(now + milliseconds(3000), id, 2) ==
          std::max<Duration>(Duration(0), milliseconds(row.m_leftMs - 3000)));
  }
}
