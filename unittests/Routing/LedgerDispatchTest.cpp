/// Tests of entry hosts that place requests on the same engines and exchange
/// ledgers, in virtual time.

#include "persimmontally/Routing/LedgerDispatch.h"

#include <doctest/doctest.h>

#include <memory>

using namespace persimmontally;

namespace {

constexpr uint32_t kMemoryTokens = 16000;

/// Hosts and engines; ledger updates arrive immediately, except from a host
/// that is cut off.
class TestCluster
{
public:
  TestCluster(size_t aHosts,
              size_t aEngines,
              bool aUrgentMayPreempt = false,
              double aSpread = 0)
  {
    for (size_t i = 0; i < aHosts; ++i) {
      DispatchOptions options;
      options.m_dataCentre = DataCentreId("dc");
      options.m_forecast = HintedForecast();
      options.m_ranks.m_minUrgentReserve = 0;
      options.m_ranks.m_urgentMayPreempt = aUrgentMayPreempt;
      LeastLoadPlacement placement;
      placement.m_prefillWeight = 0.3;
      placement.m_spread = aSpread;
      options.m_placement = placement;
      m_hosts.push_back(std::make_unique<LedgerDispatch>(options, i + 1));
    }
    for (size_t i = 0; i < aEngines; ++i) {
      UpstreamRow row;
      row.m_id = UpstreamId("e" + std::to_string(i));
      row.m_incarnation = 1;
      row.m_endpoint = { "127.0.0.1", static_cast<uint16_t>(9000 + i) };
      row.m_dataCentre = DataCentreId(i % 2 == 0 ? "dc" : "other");
      row.m_region = RegionId(i == 1 ? "far" : "near");
      row.m_models = { ModelId("m") };
      row.m_slots = 24;
      row.m_kvBlocks = kMemoryTokens / row.m_blockTokens;
      m_table.Merge(m_now, row);
    }
  }

  /// Queues a request, runs a tick of its host and exchanges the ledgers.
  /// Returns the engine of the placement, empty if the request stays queued.
  UpstreamId Place(size_t aHost,
                   const std::string& aId,
                   uint32_t aPrompt,
                   Rank aRank = Rank::Routine)
  {
    Ticket ticket;
    ticket.m_id = RequestId(aId);
    ticket.m_model = ModelId("m");
    ticket.m_rank = aRank;
    ticket.m_promptTokens = aPrompt;
    ticket.m_maxTokens = 2000;
    ticket.m_expectedTokens = 200;
    ticket.m_arrivedAt = m_now;
    ticket.m_placeBy = m_now + seconds(5);
    CHECK(!m_hosts[aHost]->Enqueue(m_now, ticket));
    UpstreamId placed;
    for (const auto& action : m_hosts[aHost]->Tick(m_now, m_table)) {
      if (const auto* grant = std::get_if<DispatchGrant>(&action)) {
        placed = grant->m_upstream;
      }
    }
    ExchangeLedgers();
    m_hasExchangedSnapshots = true;
    return placed;
  }

  /// Runs a tick of a host and returns the requests that it placed.
  std::vector<std::string> Tick(size_t aHost)
  {
    std::vector<std::string> placed;
    for (const auto& action : m_hosts[aHost]->Tick(m_now, m_table)) {
      if (const auto* grant = std::get_if<DispatchGrant>(&action)) {
        placed.push_back(grant->m_ticket.m_id.Value());
      }
    }
    return placed;
  }

  void ExchangeLedgers()
  {
    m_now += milliseconds(10);
    for (size_t from = 0; from < m_hosts.size(); ++from) {
      auto change = m_hosts[from]->TakeChange(m_now);
      for (size_t to = 0; to < m_hosts.size(); ++to) {
        if (to == from || from == m_cutHost) {
          continue;
        }
        if (m_hasExchangedSnapshots && change) {
          m_hosts[to]->Receive(m_now, Id(from), *change);
        } else if (!m_hasExchangedSnapshots) {
          m_hosts[to]->Receive(m_now, Id(from), m_hosts[from]->Snapshot(m_now));
        }
      }
    }
  }

  static HostId Id(size_t aHost) { return HostId("h" + std::to_string(aHost)); }

  Instant m_now{ seconds(1) };
  UpstreamTable m_table{ seconds(100) };
  std::vector<std::unique_ptr<LedgerDispatch>> m_hosts;
  size_t m_cutHost = SIZE_MAX;
  /// Whether the hosts have exchanged snapshots, so that changes suffice.
  bool m_hasExchangedSnapshots = false;
};

} // namespace

TEST_CASE("hosts that exchange ledgers do not overfill an engine")
{
  TestCluster cluster(3, 1);
  size_t placed = 0;
  for (int i = 0; i < 9; ++i) {
    UpstreamId engine =
      cluster.Place(static_cast<size_t>(i % 3), "r" + std::to_string(i), 3500);
    placed += engine.Empty() ? 0 : 1;
  }
  // Four prompts of 3,500 tokens and their outputs fit into 16,000 tokens.
  CHECK(placed == 4);
  CHECK(cluster.m_hosts[1]->RowsOn(UpstreamId("e0")).size() == 4);
}

TEST_CASE("a request is placed on an engine without a pending prefill")
{
  TestCluster cluster(2, 4);
  std::set<UpstreamId> engines;
  engines.insert(cluster.Place(0, "a", 2500));
  engines.insert(cluster.Place(1, "b", 2500));
  CHECK(engines.size() == 2);
  CHECK(!engines.contains(UpstreamId()));
}

TEST_CASE("the capacity used by a silent or dead host is released")
{
  struct Row
  {
    const char* m_name;
    bool m_isKnownDead;
    Duration m_silence;
    bool m_isReleased;
  };
  for (const Row& row :
       { Row{ "recent update", false, seconds(1), false },
         Row{ "silent", false, LedgerDispatch::kForgetAfter * 2, true },
         Row{ "known dead", true, Duration(0), true } }) {
    CAPTURE(row.m_name);
    TestCluster cluster(2, 1);
    for (int i = 0; i < 4; ++i) {
      REQUIRE(!cluster.Place(0, "r" + std::to_string(i), 3500).Empty());
    }
    cluster.m_cutHost = 0;
    if (row.m_isKnownDead) {
      cluster.m_hosts[1]->ForgetHost(cluster.m_now, TestCluster::Id(0));
    }
    cluster.m_now += row.m_silence;
    cluster.m_hosts[1]->Tick(cluster.m_now, cluster.m_table);
    CHECK(!cluster.Place(1, "new", 3500).Empty() == row.m_isReleased);
  }
}

// Guards against a flood of short urgent requests on full engines that preempts
// long generations: 44 a day were preempted midway and prefilled again.
TEST_CASE("urgent work is placed on a full engine only if it may preempt")
{
  for (bool mayPreempt : { false, true }) {
    CAPTURE(mayPreempt);
    TestCluster cluster(1, 1, mayPreempt);
    for (int i = 0; i < 4; ++i) {
      REQUIRE(!cluster.Place(0, "r" + std::to_string(i), 3500).Empty());
    }
    UpstreamId engine = cluster.Place(0, "urgent", 3500, Rank::Urgent);
    CHECK(engine.Empty() == !mayPreempt);
    if (!mayPreempt) {
      // The urgent request is placed as soon as capacity is free.
      cluster.m_hosts[0]->Complete(
        cluster.m_now, RequestId("r0"), DispatchOutcome::Finished);
      cluster.m_hosts[0]->Tick(cluster.m_now, cluster.m_table);
      CHECK(cluster.m_hosts[0]->RowsOn(UpstreamId("e0")).size() == 4);
    }
  }
}

static LedgerUpdate MakeWhole(uint64_t aEpoch,
                              uint64_t aSequence,
                              std::vector<LedgerRow> aRows)
{
  LedgerUpdate update;
  update.m_epoch = aEpoch;
  update.m_sequence = aSequence;
  update.m_isSnapshot = true;
  update.m_rows = std::move(aRows);
  return update;
}

TEST_CASE(
  "snapshots apply in sequence order, and a new epoch restarts the sequence")
{
  TestCluster cluster(2, 1);
  LedgerDispatch& host = *cluster.m_hosts[1];
  LedgerRow row;
  row.m_key = "k";
  row.m_upstream = UpstreamId("e0");
  row.m_model = ModelId("m");
  row.m_promptTokens = 100;
  auto rows = [&] { return host.RowsOn(UpstreamId("e0")).size(); };
  host.Receive(cluster.m_now, TestCluster::Id(0), MakeWhole(5, 2, { row }));
  CHECK(rows() == 1);
  host.Receive(cluster.m_now, TestCluster::Id(0), MakeWhole(5, 1, {}));
  CHECK(rows() == 1);
  host.Receive(cluster.m_now, TestCluster::Id(0), MakeWhole(5, 3, {}));
  CHECK(rows() == 0);
  host.Receive(cluster.m_now, TestCluster::Id(0), MakeWhole(6, 1, { row }));
  CHECK(rows() == 1);
  CHECK(host.Local().RunningOn(UpstreamId("e0")) == 1);
}

TEST_CASE(
  "a copy goes to the emptiest engine: a backup in the data centre, a rescue "
  "copy within the region")
{
  struct Row
  {
    const char* m_name;
    CopyPurpose m_purpose;
    double m_maxMemoryUse;
    /// Full engines in the data centre of the source.
    std::vector<const char*> m_full;
    const char* m_engine;
  };
  const CopyPurpose backup = CopyPurpose::Backup;
  const CopyPurpose rescue = CopyPurpose::Rescue;
  for (const Row& row :
       { Row{ "backup on the emptiest engine", backup, 0.7, {}, "e4" },
         Row{
           "no backup if all engines exceed the bound", backup, 0.1, {}, "" },
         Row{ "rescue copy on the emptiest engine", rescue, 1, {}, "e4" },
         Row{
           "backup stays in the data centre", backup, 1, { "e2", "e4" }, "" },
         Row{ "rescue copy in another data centre",
              rescue,
              1,
              { "e2", "e4" },
              "e3" } }) {
    CAPTURE(row.m_name);
    // Engines 0, 2 and 4 share a data centre; engine 0 is the source.
    TestCluster cluster(1, 5);
    LedgerDispatch& host = *cluster.m_hosts[0];
    Ticket ticket;
    ticket.m_id = RequestId("r");
    ticket.m_model = ModelId("m");
    ticket.m_promptTokens = 3000;
    ticket.m_maxTokens = 1000;
    ticket.m_expectedTokens = 200;
    ticket.m_excluded = { UpstreamId("e0") };
    Ticket other = ticket;
    other.m_id = RequestId("o");
    host.OccupyCopy(cluster.m_now, other, UpstreamId("e2"), 0);
    CHECK(host.Local().RunningOn(UpstreamId("e2")) == 0);
    other.m_id = RequestId("p");
    host.OccupyCopy(cluster.m_now, other, UpstreamId("e1"), 0);
    other.m_promptTokens = kMemoryTokens;
    for (const char* engine : row.m_full) {
      other.m_id = RequestId(std::string("full-") + engine);
      host.OccupyCopy(cluster.m_now, other, UpstreamId(engine), 0);
    }
    const UpstreamEntry* source = cluster.m_table.Find(UpstreamId("e0"));
    CHECK(host.Local().PickCopyTarget(cluster.m_now,
                                      cluster.m_table,
                                      ticket,
                                      source->m_row,
                                      row.m_purpose,
                                      row.m_maxMemoryUse) ==
          UpstreamId(row.m_engine));
    host.UseCopy(RequestId("o"));
    CHECK(host.Local().RunningOn(UpstreamId("e2")) == 1);
    host.Complete(cluster.m_now, RequestId("o"), DispatchOutcome::Finished);
    CHECK(host.Local().RunningOn(UpstreamId("e2")) == 0);
  }
}

// Guards against hosts that claim the same freed capacity. In a flood with 82
// hosts and 44 engines, three of four queued requests were placed on an engine
// within 30 ms of another host's request, which raised the time to first token
// from 0.7 s to 2.8 s.
TEST_CASE("freed capacity goes to the first queued request of all hosts")
{
  struct Row
  {
    const char* m_name;
    Rank m_oldest;
    Rank m_youngest;
    bool m_isOldestFrozen;
    Duration m_delay;
    /// Hosts expected to place their queued request.
    std::vector<size_t> m_placing;
  };
  const Rank routine = Rank::Routine;
  for (const Row& row : {
         Row{ "oldest first", routine, routine, false, {}, { 1 } },
         Row{ "urgent before older routine",
              routine,
              Rank::Urgent,
              false,
              {},
              { 3 } },
         Row{ "capacity set aside for a frozen host",
              routine,
              routine,
              true,
              PeerQueue::kMaxDeferral / 2,
              {} },
         Row{ "deferral to a frozen host expires",
              routine,
              routine,
              true,
              PeerQueue::kMaxDeferral,
              { 2 } },
       }) {
    CAPTURE(row.m_name);
    TestCluster cluster(4, 1);
    for (int i = 0; i < 4; ++i) {
      REQUIRE(!cluster.Place(0, "r" + std::to_string(i), 3500).Empty());
    }
    // Each request has been queued 10 ms longer than the next one.
    REQUIRE(cluster.Place(1, "w1", 3500, row.m_oldest).Empty());
    REQUIRE(cluster.Place(2, "w2", 3500, routine).Empty());
    REQUIRE(cluster.Place(3, "w3", 3500, row.m_youngest).Empty());
    cluster.m_hosts[0]->Complete(
      cluster.m_now, RequestId("r0"), DispatchOutcome::Finished);
    cluster.ExchangeLedgers();
    std::vector<size_t> placing;
    auto tick = [&] {
      for (size_t host : { 3, 2, 1 }) {
        bool isFrozen = row.m_isOldestFrozen && host == 1;
        if (!isFrozen && !cluster.Tick(host).empty()) {
          placing.push_back(host);
        }
      }
    };
    tick();
    if (row.m_delay > Duration(0)) {
      cluster.m_now += row.m_delay;
      cluster.ExchangeLedgers();
      // Host 2 publishes its placement before the other hosts decide.
      if (!cluster.Tick(2).empty()) {
        placing.push_back(2);
        cluster.ExchangeLedgers();
      }
      tick();
    }
    CHECK(placing == row.m_placing);
  }
}

TEST_CASE("no request is deferred if there is capacity for all queued requests")
{
  TestCluster cluster(3, 4);
  cluster.m_cutHost = 0;
  for (int i = 0; i < 3; ++i) {
    CHECK(!cluster.Place(static_cast<size_t>(i), "r" + std::to_string(i), 3500)
             .Empty());
  }
}

TEST_CASE("a random spread makes concurrent decisions choose different engines")
{
  for (double spread : { 0.0, 0.2 }) {
    CAPTURE(spread);
    TestCluster cluster(8, 8, false, spread);
    std::set<UpstreamId> engines;
    for (size_t host = 0; host < 8; ++host) {
      // The other hosts receive no update.
      cluster.m_cutHost = host;
      engines.insert(cluster.Place(host, "r" + std::to_string(host), 2500));
    }
    CHECK((engines.size() == 1) == (spread == 0));
    CHECK((engines.size() >= 3) == (spread > 0));
  }
}

TEST_CASE(
  "ledger changes apply in sequence order, and a snapshot repairs a gap")
{
  LedgerRow row;
  row.m_key = "k";
  row.m_upstream = UpstreamId("e0");
  row.m_model = ModelId("m");
  row.m_promptTokens = 100;
  LedgerRow other = row;
  other.m_key = "o";
  auto change = [](uint64_t aEpoch,
                   uint64_t aSequence,
                   std::vector<LedgerRow> aRows,
                   std::vector<std::string> aRemoved) {
    LedgerUpdate update = MakeWhole(aEpoch, aSequence, std::move(aRows));
    update.m_isSnapshot = false;
    update.m_removed = std::move(aRemoved);
    return update;
  };
  struct Row
  {
    const char* m_name;
    std::vector<LedgerUpdate> m_updates;
    size_t m_rows;
  };
  const LedgerUpdate start = MakeWhole(5, 1, { row });
  for (const Row& test : {
         Row{ "row added", { start, change(5, 2, { other }, {}) }, 2 },
         Row{ "row removed", { start, change(5, 2, {}, { "k" }) }, 0 },
         Row{ "outdated snapshot",
              { start, change(5, 2, {}, { "k" }), start },
              0 },
         Row{ "change before the first snapshot",
              { change(5, 2, { other }, {}) },
              0 },
         Row{ "change after a gap", { start, change(5, 3, { other }, {}) }, 1 },
         Row{ "snapshot repairs the gap",
              { start,
                change(5, 3, { other }, {}),
                MakeWhole(5, 3, { row, other }) },
              2 },
         Row{ "duplicate snapshot", { start, start }, 1 },
         Row{ "change of another epoch",
              { start, change(6, 2, { other }, {}) },
              1 },
       }) {
    CAPTURE(test.m_name);
    TestCluster cluster(2, 1);
    LedgerDispatch& host = *cluster.m_hosts[1];
    for (const LedgerUpdate& update : test.m_updates) {
      host.Receive(cluster.m_now, TestCluster::Id(0), update);
    }
    CHECK(host.RowsOn(UpstreamId("e0")).size() == test.m_rows);
    CHECK(host.Local().RunningOn(UpstreamId("e0")) == test.m_rows);
  }
}

TEST_CASE("a change contains only rows that differ from the published ledger")
{
  TestCluster cluster(1, 1);
  LedgerDispatch& host = *cluster.m_hosts[0];
  REQUIRE(!cluster.Place(0, "a", 3500).Empty());
  REQUIRE(!cluster.Place(0, "b", 3500).Empty());
  CHECK(host.Snapshot(cluster.m_now).m_rows.size() == 2);
  cluster.m_now += milliseconds(10);
  CHECK(!host.TakeChange(cluster.m_now));
  // Only the first token is published as a change.
  for (uint32_t tokens : { 4, 8 }) {
    host.Progress(cluster.m_now, RequestId("a"), tokens);
    cluster.m_now += milliseconds(10);
    auto change = host.TakeChange(cluster.m_now);
    CHECK(change.has_value() == (tokens == 4));
    CHECK((!change || change->m_rows.size() == 1));
  }
  host.Complete(cluster.m_now, RequestId("b"), DispatchOutcome::Finished);
  cluster.m_now += milliseconds(10);
  auto change = host.TakeChange(cluster.m_now);
  REQUIRE(change);
  CHECK(change->m_rows.empty());
  CHECK(change->m_removed == std::vector<std::string>{ "b" });
  CHECK(host.Snapshot(cluster.m_now).m_rows.front().m_tokens == 8);
}

TEST_CASE(
  "the memory limit decreases with the number of peer hosts to a minimum")
{
  struct Row
  {
    size_t m_peerCount;
    double m_limit;
  };
  for (const Row& row :
       { Row{ 0, 0.97 }, Row{ 5, 0.965 }, Row{ 40, 0.93 }, Row{ 200, 0.90 } }) {
    CAPTURE(row.m_peerCount);
    TestCluster cluster(1, 1);
    LedgerDispatch& host = *cluster.m_hosts[0];
    for (size_t i = 1; i <= row.m_peerCount; ++i) {
      host.Receive(cluster.m_now, TestCluster::Id(i), MakeWhole(i, 1, {}));
    }
    host.Tick(cluster.m_now, cluster.m_table);
    CHECK(host.Local().MemoryLimit() == doctest::Approx(row.m_limit));
  }
}
