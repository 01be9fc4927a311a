// Tests for the schedule and the rounds of rescue copies off a reclaimed
// engine.

#include "../../lib/Forwarding/MigrationPlan.h"

#include <doctest/doctest.h>

namespace persimmontally {

TEST_CASE("generations that outlast the notice of a reclaim are migrated")
{
  struct Row
  {
    const char* m_name;
    OutputSize m_size;
    bool m_outlasts;
  };
  for (const Row& row : {
         Row{ "long by its estimate", { 600, 900, 100 }, true },
         Row{ "nearly done by its estimate", { 600, 900, 500 }, false },
         Row{ "no estimate", { 0, 900, 100 }, true },
         Row{ "no estimate, nearly done", { 0, 900, 800 }, false },
         Row{ "beyond its estimate, far from its maximum",
              { 600, 1200, 700 },
              true },
         Row{
           "beyond its estimate, near its maximum", { 600, 800, 700 }, false },
         Row{ "an estimate above the maximum", { 5000, 200, 100 }, false },
       }) {
    CAPTURE(row.m_name);
    CHECK(OutlastsNotice(row.m_size) == row.m_outlasts);
  }
}

TEST_CASE("generations migrate off an engine one after another")
{
  auto makeRow = [](const char* aKey, OutputSize aSize, bool aIsCopy) {
    LedgerRow row;
    row.m_key = aKey;
    row.m_upstream = UpstreamId("e");
    row.m_expectedTokens = aSize.m_expectedTokens;
    row.m_maxTokens = aSize.m_maxTokens;
    row.m_tokens = aSize.m_tokensSoFar;
    row.m_isCopy = aIsCopy;
    return row;
  };
  // "b" has exceeded its estimate and still runs, so it is scheduled too.
  const std::vector<LedgerRow> rows = {
    makeRow("a", { 600, 900, 100 }, false),
    makeRow("b", { 600, 1200, 700 }, false),
    makeRow("c", { 10, 20, 0 }, false),
    makeRow("d", { 600, 900, 100 }, true),
    makeRow("e", { 600, 900, 100 }, false),
  };
  struct Row
  {
    const char* m_name;
    const char* m_key;
    size_t m_departed;
    Duration m_sinceNotice;
    bool m_isDue;
  };
  for (const Row& row : {
         Row{ "the first is due at once", "a", 0, milliseconds(0), true },
         Row{ "the second is not due within the first interval",
              "b",
              0,
              milliseconds(300),
              false },
         Row{ "the second is due once the first has left",
              "b",
              1,
              milliseconds(300),
              true },
         Row{ "the second is due after the first interval",
              "b",
              0,
              milliseconds(350),
              true },
         Row{ "the last is not due within two intervals",
              "e",
              0,
              milliseconds(650),
              false },
         Row{ "one beyond its estimate delays the last",
              "e",
              1,
              milliseconds(300),
              false },
         Row{ "short ones and copies delay nothing",
              "e",
              2,
              milliseconds(0),
              true },
       }) {
    CAPTURE(row.m_name);
    Instant start = Instant() + seconds(1);
    MigrationSchedule turns;
    turns.Update(start, { UpstreamId("e") });
    std::vector<LedgerRow> there(
      rows.begin() + static_cast<std::ptrdiff_t>(row.m_departed), rows.end());
    CHECK(turns.IsDue(
            start + row.m_sinceNotice, UpstreamId("e"), row.m_key, there) ==
          row.m_isDue);
  }
  MigrationSchedule turns;
  turns.Update(Instant(), { UpstreamId("e") });
  turns.Update(Instant(), {});
  CHECK(!turns.IsLeaving(UpstreamId("e")));
  CHECK(!turns.IsDue(Instant(), UpstreamId("e"), "a", rows));
}

TEST_CASE("a generation is stopped for its last part when the link is idle")
{
  struct Row
  {
    const char* m_name;
    std::vector<int> m_roundsMs;
    /// Number of rounds after which the generation is stopped.
    size_t m_expectedRounds;
  };
  for (const Row& row : {
         Row{ "a small copy on an idle link", { 40 }, 1 },
         Row{ "a full copy, then an idle link", { 215, 6 }, 2 },
         Row{ "another copy occupies the link in between", { 215, 190, 6 }, 3 },
         Row{ "the link stays busy until the time limit",
              { 215, 240, 240, 240, 240 },
              4 },
       }) {
    CAPTURE(row.m_name);
    Instant now = Instant() + seconds(1);
    CopyRounds rounds(now);
    bool isStopped = false;
    for (int took : row.m_roundsMs) {
      now += milliseconds(took);
      isStopped = rounds.OnRoundEnd(now);
      if (isStopped) {
        break;
      }
    }
    CHECK(isStopped);
    CHECK(rounds.Rounds() == row.m_expectedRounds);
  }
}

} // namespace persimmontally
