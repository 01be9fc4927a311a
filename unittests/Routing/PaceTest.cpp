/// Tests of the forecast of pauses and of placements by it.

#include "persimmontally/Routing/LedgerDispatch.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace persimmontally;

static const UpstreamId kEngine("e0");

/// Records pauses of which every `aEvery`th is `aLong`.
static void RecordPauses(PaceTable& aTable,
                         const UpstreamId& aEngine,
                         int aCount,
                         Duration aShort,
                         Duration aLong,
                         int aEvery)
{
  for (int i = 1; i <= aCount; ++i) {
    aTable.RecordPause(aEngine, 1, i % aEvery == 0 ? aLong : aShort);
  }
}

TEST_CASE("the longest pause of a long stream is forecast from those seen")
{
  struct Row
  {
    const char* m_name;
    int m_count;
    Duration m_short;
    Duration m_long;
    int m_every;
    bool m_exceeds;
  };
  for (const Row& row : std::vector<Row>{
         { "no pause seen", 0, Duration(0), Duration(0), 1, false },
         { "few pauses, fast",
           16,
           milliseconds(23),
           milliseconds(23),
           1,
           false },
         { "few pauses, slow",
           16,
           milliseconds(56),
           milliseconds(56),
           1,
           true },
         { "fast, prompts beside it",
           2000,
           milliseconds(23),
           milliseconds(105),
           20,
           false },
         { "slow, prompts beside it",
           2000,
           milliseconds(56),
           milliseconds(256),
           20,
           true },
         { "slow, nothing beside it",
           2000,
           milliseconds(56),
           milliseconds(57),
           20,
           false },
         { "slow, a lossy link now and then",
           2000,
           milliseconds(56),
           milliseconds(900),
           400,
           false } }) {
    CAPTURE(row.m_name);
    PaceTable table;
    for (const char* fast : { "f1", "f2", "f3" }) {
      table.Receive({ { { UpstreamId(fast), 1, 23'000 } } });
    }
    RecordPauses(
      table, kEngine, row.m_count, row.m_short, row.m_long, row.m_every);
    CHECK((table.ExcessOf(kEngine, milliseconds(180)) > 0) == row.m_exceeds);
    CHECK(table.ExcessOf(kEngine, Duration(0)) == 0);
    CHECK(table.ExcessOf(UpstreamId("f1"), milliseconds(180)) == 0);
    CHECK(table.ExcessOf(kEngine, milliseconds(180)) <= 1);
  }
}

TEST_CASE("among engines that are alike, pauses exclude none")
{
  PaceTable table;
  for (int i = 0; i < 8; ++i) {
    RecordPauses(table,
                 UpstreamId("e" + std::to_string(i)),
                 400,
                 milliseconds(60 + 2 * i),
                 milliseconds(300),
                 20);
  }
  for (int i = 0; i < 8; ++i) {
    CHECK(table.ExcessOf(UpstreamId("e" + std::to_string(i)),
                         milliseconds(180)) == 0);
  }
}

TEST_CASE("hosts share the paces that they measure")
{
  PaceTable measuring;
  PaceTable other;
  RecordPauses(measuring, kEngine, 8, milliseconds(50), milliseconds(50), 1);
  PaceUpdate update = measuring.TakeReports();
  REQUIRE(update.m_rows.size() == 1);
  CHECK(!measuring.HasReports());
  other.Receive(update);
  CHECK(other.PaceOf(kEngine) == milliseconds(50));
  // What the peers know is not reported again.
  RecordPauses(other, kEngine, 80, milliseconds(51), milliseconds(51), 1);
  CHECK(!other.HasReports());
  RecordPauses(other, kEngine, 80, milliseconds(90), milliseconds(90), 1);
  CHECK(other.HasReports());
  // An earlier start of the engine says nothing about the present one.
  measuring.Receive({ { { kEngine, 2, 20'000 } } });
  measuring.Receive({ { { kEngine, 1, 70'000 } } });
  CHECK(measuring.PaceOf(kEngine) == milliseconds(20));
  measuring.Receive({ { { kEngine, 2, 0 } } });
  CHECK(measuring.PaceOf(kEngine) == milliseconds(20));
  measuring.Retain([](const UpstreamId&) { return false; });
  CHECK(measuring.PaceOf(UpstreamId("e1")) > Duration(0));
}

namespace {

/// Engines of uneven speed under one host. An event takes longer while the
/// engine reads a prompt, and in its slow spells.
class UnevenEngines
{
public:
  UnevenEngines(double aPauseWeight, uint64_t aSeed)
    : m_random(aSeed)
    , m_dispatch(Options(aPauseWeight), aSeed)
  {
    for (size_t i = 0; i < kEngines; ++i) {
      UpstreamRow row;
      row.m_id = UpstreamId("e" + std::to_string(i));
      row.m_incarnation = 1;
      row.m_endpoint = { "127.0.0.1", static_cast<uint16_t>(9000 + i) };
      row.m_dataCentre = DataCentreId("dc");
      row.m_models = { ModelId("m") };
      row.m_slots = 24;
      row.m_kvBlocks = 27'000 / row.m_blockTokens;
      m_table.Merge(m_now, row);
      m_engines.push_back({ row.m_id, i % 3 == 2 ? 1.7 : 0.7, {}, false });
    }
  }

  /// Plays the load and returns the fraction of the long streams with a pause
  /// above the objective.
  double Play(Duration aTime)
  {
    for (Instant end = m_now + aTime; m_now < end; m_now += kStep) {
      Arrive(0.2, 3000, 750);
      Arrive(0.33, 2200, 8);
      for (const auto& action : m_dispatch.Tick(m_now, m_table)) {
        if (const auto* grant = std::get_if<DispatchGrant>(&action)) {
          m_streams.push_back({ grant->m_ticket, EngineOf(grant->m_upstream) });
        }
      }
      Advance();
    }
    REQUIRE(m_longStreams > 100);
    return static_cast<double>(m_lateStreams) / m_longStreams;
  }

private:
  static constexpr size_t kEngines = 12;
  static constexpr Duration kStep = milliseconds(50);
  static constexpr Duration kObjective = milliseconds(180);

  struct Engine
  {
    UpstreamId m_id;
    double m_speed = 1;
    Instant m_spellEnd;
    bool m_isSlow = false;
  };
  struct Stream
  {
    Ticket m_ticket;
    size_t m_engine = 0;
    double m_promptLeft = -1;
    double m_tokens = 0;
    Duration m_sinceEvent{ 0 };
    bool m_isLate = false;
  };

  static DispatchOptions Options(double aPauseWeight)
  {
    DispatchOptions options;
    options.m_dataCentre = DataCentreId("dc");
    options.m_forecast = HintedForecast();
    LeastLoadPlacement placement;
    placement.m_prefillWeight = 0.3;
    placement.m_pauseWeight = aPauseWeight;
    placement.m_delayedPauseWeight = aPauseWeight / 5;
    options.m_placement = placement;
    return options;
  }

  void Arrive(double aChance, uint32_t aPrompt, uint32_t aTokens)
  {
    if (m_draw(m_random) > aChance) {
      return;
    }
    Ticket ticket;
    ticket.m_id = RequestId("r" + std::to_string(m_next++));
    ticket.m_model = ModelId("m");
    ticket.m_rank = aTokens > 100 ? Rank::Routine : Rank::Urgent;
    ticket.m_promptTokens = aPrompt;
    ticket.m_maxTokens = 2 * aTokens;
    ticket.m_expectedTokens = aTokens;
    ticket.m_pauseObjective = kObjective;
    ticket.m_arrivedAt = m_now;
    ticket.m_placeBy = m_now + seconds(5);
    m_dispatch.Enqueue(m_now, ticket);
  }

  size_t EngineOf(const UpstreamId& aId) const
  {
    auto at =
      std::find_if(m_engines.begin(), m_engines.end(), [&](const auto& aItem) {
        return aItem.m_id == aId;
      });
    return static_cast<size_t>(at - m_engines.begin());
  }

  void Advance()
  {
    constexpr double kStepsPerPrompt = 112;
    std::array<bool, kEngines> isReading{};
    for (const Stream& stream : m_streams) {
      isReading[stream.m_engine] |= stream.m_tokens == 0;
    }
    std::array<double, kEngines> eventTime{};
    for (size_t i = 0; i < kEngines; ++i) {
      Engine& engine = m_engines[i];
      if (m_now >= engine.m_spellEnd) {
        engine.m_isSlow = m_draw(m_random) < 0.15;
        engine.m_spellEnd = m_now + milliseconds(600);
      }
      eventTime[i] = 4 * (isReading[i] ? 0.0179 : 0.0099) / engine.m_speed *
                     (engine.m_isSlow ? 2.5 : 1);
    }
    std::array<bool, kEngines> hasRead{};
    for (Stream& stream : m_streams) {
      double time = eventTime[stream.m_engine];
      double steps = ToSeconds(kStep) / (time / 4);
      if (stream.m_tokens == 0) {
        // An engine reads one prompt at a time.
        if (std::exchange(hasRead[stream.m_engine], true)) {
          continue;
        }
        stream.m_promptLeft = stream.m_promptLeft < 0
                                ? stream.m_ticket.m_promptTokens
                                : stream.m_promptLeft - steps * kStepsPerPrompt;
        stream.m_tokens = stream.m_promptLeft <= 0 ? 1 : 0;
        continue;
      }
      stream.m_tokens += steps;
      auto pause = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(time));
      stream.m_isLate = stream.m_isLate || pause > kObjective;
      stream.m_sinceEvent += kStep;
      if (stream.m_sinceEvent >= pause) {
        stream.m_sinceEvent = Duration(0);
        m_dispatch.Paces().RecordPause(
          m_engines[stream.m_engine].m_id, 1, pause);
      }
      m_dispatch.Progress(
        m_now, stream.m_ticket.m_id, static_cast<uint32_t>(stream.m_tokens));
    }
    std::erase_if(m_streams, [&](const Stream& aStream) {
      bool isDone = aStream.m_tokens >= aStream.m_ticket.m_expectedTokens;
      if (isDone) {
        bool isLong = aStream.m_ticket.m_expectedTokens > 100;
        m_longStreams += isLong ? 1 : 0;
        m_lateStreams += isLong && aStream.m_isLate ? 1 : 0;
        m_dispatch.Complete(
          m_now, aStream.m_ticket.m_id, DispatchOutcome::Finished);
      }
      return isDone;
    });
  }

  Instant m_now = Instant() + seconds(1);
  std::mt19937_64 m_random;
  std::uniform_real_distribution<double> m_draw{ 0, 1 };
  UpstreamTable m_table{ std::chrono::hours(1) };
  Dispatcher m_dispatch;
  std::vector<Engine> m_engines;
  std::vector<Stream> m_streams;
  size_t m_next = 0;
  int m_longStreams = 0;
  int m_lateStreams = 0;
};

} // namespace

TEST_CASE("long streams keep their pauses on uneven engines beside prompts")
{
  double before = 0;
  double after = 0;
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    // Without the forecast, the load alone decides.
    before += UnevenEngines(0, seed).Play(seconds(60));
    after += UnevenEngines(3, seed).Play(seconds(60));
  }
  MESSAGE("late: " << before / 6 << " without the forecast, " << after / 6
                   << " with it");
  CHECK(after < 0.5 * before);
}
