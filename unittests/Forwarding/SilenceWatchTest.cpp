/// Tests of the decision when an upstream has ended without closing its
/// connections.

#include "../../lib/Forwarding/SilenceWatch.h"

#include <doctest/doctest.h>

#include <string>

namespace persimmontally {

TEST_CASE("an upstream is probed when all of its streams are silent for far "
          "longer than their pace")
{
  struct Row
  {
    const char* m_name;
    /// Time since each stream was heard, and its pace.
    std::vector<std::pair<Duration, Duration>> m_streams;
    bool m_isProbed;
  };
  for (const Row& row : std::vector<Row>{
         { "no stream", {}, false },
         { "brief silence", { { milliseconds(590), {} } }, false },
         { "silence", { { milliseconds(610), {} } }, true },
         { "slow", { { seconds(1), milliseconds(400) } }, false },
         { "slow, silent", { { seconds(2), milliseconds(400) } }, true },
         { "one heard", { { seconds(2), {} }, { {}, {} } }, false },
         { "all silent", { { seconds(2), {} }, { seconds(1), {} } }, true } }) {
    CAPTURE(std::string(row.m_name));
    Instant now = Instant() + seconds(100);
    SilenceWatch watch;
    std::vector<StreamPace> streams;
    for (const auto& [silence, pace] : row.m_streams) {
      streams.push_back({ UpstreamId("u"), now - silence, pace });
    }
    CHECK(watch.Review(now, streams).size() == (row.m_isProbed ? 1 : 0));
    CHECK(watch.Review(now, streams).empty());
  }
}

TEST_CASE("a silent upstream has ended if its address refuses, and cannot be "
          "reached if probes go unanswered while another one is heard")
{
  using enum ProbeAnswer;
  using enum SilenceVerdict;
  /// What is heard during each probe: an event of a stream of the other
  /// upstream, or the head of a response.
  enum class Heard
  {
    Nothing,
    Event,
    Head,
    OwnHead,
  };
  using enum Heard;
  struct Row
  {
    const char* m_name;
    std::vector<ProbeAnswer> m_answers;
    Heard m_heard;
    std::vector<SilenceVerdict> m_verdicts;
    /// Number of the probe before which a stream of the upstream is heard.
    size_t m_heardBefore = 100;
  };
  const auto u = Unanswered;
  const std::vector<ProbeAnswer> five(5, u);
  const std::vector<SilenceVerdict> dark{
    None, None, Unreachable, Unreachable, Ended
  };
  const std::vector<SilenceVerdict> unknown(5, None);
  const std::vector<SilenceVerdict> late{ None, None, None,
                                          None, None, Unreachable };
  for (const Row& row : std::vector<Row>{
         { "refused", { Refused }, Nothing, { Ended } },
         { "alive", { Connected, Connected }, Event, { None, None } },
         { "refused later", { Connected, Refused }, Event, { None, Ended } },
         { "dark, other stream", five, Event, dark },
         { "dark, other response", five, Head, dark },
         { "nothing heard", five, Nothing, unknown },
         { "own response", five, OwnHead, unknown },
         { "lost packets", { u, u, Connected, u, u, u }, Event, late },
         { "heard again", { u, u, u }, Event, { None, None, None }, 2 } }) {
    CAPTURE(std::string(row.m_name));
    Instant now = Instant() + seconds(100);
    SilenceWatch watch;
    StreamPace stream{ UpstreamId("u"), now - seconds(1), {} };
    std::vector<SilenceVerdict> verdicts;
    for (size_t i = 0; i < row.m_answers.size(); ++i) {
      now += SilenceWatch::kProbeInterval;
      if (i == row.m_heardBefore) {
        stream.m_heardAt = now;
        now += seconds(1);
      }
      StreamPace other{ UpstreamId("o"), Instant() + seconds(95), {} };
      REQUIRE(!watch.Review(now, { stream, other }).empty());
      now += SilenceWatch::kProbeTimeout;
      if (row.m_heard == Event) {
        other.m_heardAt = now;
        watch.Review(now, { stream, other });
      } else if (row.m_heard != Nothing) {
        watch.RecordHeard(now, UpstreamId(row.m_heard == Head ? "o" : "u"));
      }
      verdicts.push_back(
        watch.RecordProbe(now, UpstreamId("u"), row.m_answers[i]));
    }
    CHECK(verdicts == row.m_verdicts);
  }
}

} // namespace persimmontally
