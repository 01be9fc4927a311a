#ifndef PERSIMMONTALLY_LIB_FORWARDING_SILENCEWATCH_H
#define PERSIMMONTALLY_LIB_FORWARDING_SILENCEWATCH_H

#include "persimmontally/Net/ConnectProbe.h"
#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace persimmontally {

/// A stream that has begun and is being read.
struct StreamPace
{
  UpstreamId m_upstream;
  Instant m_heardAt{};
  /// Longest pause between its events so far, or its target if that is longer.
  Duration m_pace{ 0 };
};

enum class SilenceVerdict
{
  /// The upstream lives, or nothing is known about it.
  None,
  /// It cannot be reached: streams that can go on elsewhere should.
  Unreachable,
  /// It has ended: all of its streams are lost.
  Ended,
};

/// Finds upstreams that have ended or become unreachable without closing their
/// connections. Silence alone proves nothing, since a stream may be preempted
/// for long; it is the reason for a probe of the upstream's address. Probes
/// without an answer count only if another upstream was heard meanwhile:
/// otherwise this host may be the one that is cut off.
///
/// Load pattern: some of the engines of a service lose power together, in the
/// middle of their streams. Their connections stay open for seconds.
class SilenceWatch
{
public:
  /// Silence after which an upstream is probed, at least, and as a multiple of
  /// a stream's pace. All streams of the upstream have to be silent.
  static constexpr Duration kMinSilence = milliseconds(600);
  static constexpr int kSilentPaces = 3;
  static constexpr Duration kProbeTimeout = milliseconds(400);
  /// Time from the start of a probe to the next one, while the upstream is
  /// silent but answers.
  static constexpr Duration kProbeInterval = seconds(1);
  /// Probes in a row without an answer that make an upstream unreachable, and
  /// those after which it is taken to have ended.
  static constexpr int kUnreachableProbes = 3;
  static constexpr int kEndedProbes = 5;

  /// Records that a response of an upstream has begun.
  void RecordHeard(Instant aNow, const UpstreamId& aUpstream);
  /// Returns the upstreams to probe now. `aStreams` are all streams of the
  /// host.
  std::vector<UpstreamId> Review(Instant aNow,
                                 const std::vector<StreamPace>& aStreams);
  SilenceVerdict RecordProbe(Instant aNow,
                             const UpstreamId& aUpstream,
                             ProbeAnswer aAnswer);

private:
  struct Row
  {
    Instant m_heardAt{};
    bool m_isSilent = false;
    bool m_isProbing = false;
    Instant m_nextProbeAt{};
    int m_unanswered = 0;
    /// When the first of these probes started.
    Instant m_unansweredSince{};
  };

  bool WasAnotherHeard(const UpstreamId& aUpstream, Instant aSince) const;

  std::map<UpstreamId, Row> m_rows;
  struct Heard
  {
    UpstreamId m_upstream;
    Instant m_at{};
  };
  /// The last response to begin, and the last one of another upstream.
  Heard m_lastHeard;
  Heard m_otherHeard;
};

} // namespace persimmontally

#endif
