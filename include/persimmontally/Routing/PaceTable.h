#ifndef PERSIMMONTALLY_ROUTING_PACETABLE_H
#define PERSIMMONTALLY_ROUTING_PACETABLE_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/PaceMessage.h"

#include <array>
#include <functional>
#include <map>
#include <vector>

namespace persimmontally {

/// Learns the pace of engines, which is their time per event of a stream while
/// they only decode, and how much longer single events take, as while the
/// engine reads a prompt or is slow for a moment. Forecasts the longest pause
/// of a long stream. Hosts share the paces: each sees a few streams at a time.
///
/// Load pattern: long streams with an objective for their pauses, beside
/// prompts, on engines of different speed.
class PaceTable
{
public:
  /// Pauses from which one sample of the pace is taken. The sample is a low
  /// quantile: the engine reads prompts during part of the pauses.
  static constexpr size_t kPausesPerSample = 8;
  static constexpr size_t kSampleRank = 2;
  /// Weight of a new sample in the pace.
  static constexpr double kSmoothing = 0.3;
  /// Relative change of a pace at which the peers are notified.
  static constexpr double kReportedChange = 0.2;
  /// Fraction of the pauses that the forecast of the longest one covers. A long
  /// stream has some two hundred pauses.
  static constexpr double kCoveredPauses = 0.995;
  /// Ratio to the pace above which a pause has another cause, as a lossy link
  /// or a preemption, and is not forecast.
  static constexpr double kMaxRatio = 8;
  /// Ratio to the pace of the fast engines above which an engine counts as
  /// slow. Among engines that are alike, the load decides.
  static constexpr double kSlowRatio = 1.4;
  /// Forecast factor before `kMinPauses` pauses have been seen, and bounds.
  static constexpr double kDefaultFactor = 4;
  static constexpr double kMinPauses = 200;

  /// Records the time between two successive events of a stream.
  void RecordPause(const UpstreamId& aUpstream,
                   uint64_t aIncarnation,
                   Duration aPause);
  /// Adopts the paces that a peer has measured.
  void Receive(const PaceUpdate& aUpdate);
  /// Returns the paces that the peers have to be notified of.
  PaceUpdate TakeReports();
  bool HasReports() const { return !m_reports.empty(); }
  /// Drops the engines for which `aIsKnown` returns false.
  void Retain(const std::function<bool(const UpstreamId&)>& aIsKnown);

  /// Returns the pace of an engine, or the median of all if it is unknown; 0 if
  /// none is known.
  Duration PaceOf(const UpstreamId& aUpstream) const;
  /// Returns the ratio of the longest pauses to the pace.
  double PauseFactor() const;
  /// Returns by which fraction of the objective the longest pause of a stream
  /// on an engine is forecast to exceed it, at most 1; 0 if it holds, if the
  /// engine is not slower than others, or if `aObjective` is 0.
  double ExcessOf(const UpstreamId& aUpstream, Duration aObjective) const;

private:
  struct Row
  {
    uint64_t m_incarnation = 0;
    double m_pace = 0;
    /// The pace that the peers know.
    double m_reportedPace = 0;
    std::vector<double> m_pauses;
  };
  /// Bins of the ratio of a pause to the pace, eight per octave.
  static constexpr size_t kBinsPerOctave = 8;
  static constexpr size_t kBinCount = 25;

  void AddSample(const UpstreamId& aUpstream, Row& aRow);
  void RecordRatio(double aRatio);
  Row& RowOf(const UpstreamId& aUpstream, uint64_t aIncarnation);
  void UpdateQuantiles();

  std::map<UpstreamId, Row> m_rows;
  double m_medianPace = 0;
  /// The first decile of the paces.
  double m_fastPace = 0;
  std::array<double, kBinCount> m_ratios{};
  double m_ratioCount = 0;
  std::map<UpstreamId, PaceRow> m_reports;
};

} // namespace persimmontally

#endif
