#ifndef PERSIMMONTALLY_ROUTING_HEALTHTABLE_H
#define PERSIMMONTALLY_ROUTING_HEALTHTABLE_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Time.h"

#include <map>
#include <vector>

namespace persimmontally {

/// Tracks the token rate of upstreams and ejects outliers: those that stall or
/// are slow compared with the upstreams that serve the same work. After an
/// ejection, the usable slots of an upstream ramp up gradually.
class HealthTable
{
public:
  /// Ratio to the median time between tokens above which an upstream is slow.
  static constexpr double kSlowRatio = 3;
  /// Time between tokens up to which an upstream never counts as slow.
  static constexpr Duration kMinSlowGap = milliseconds(106);
  static constexpr Duration kFirstEjection = seconds(5);
  static constexpr Duration kMaxEjection = seconds(60);
  static constexpr Duration kReturnRamp = seconds(10);
  /// Maximum fraction of the reviewed upstreams that is ejected at a time.
  static constexpr double kMaxEjectedFraction = 0.5;

  void RecordGap(Instant aNow, const UpstreamId& aId, Duration aGap);
  /// Records that an upstream produced no token in time or failed a connection.
  void RecordStall(Instant aNow, const UpstreamId& aId);
  /// Compares upstreams that serve the same work, ejects outliers and returns
  /// the newly ejected ones.
  std::vector<UpstreamId> Review(Instant aNow,
                                 const std::vector<UpstreamId>& aPeers);

  /// Returns the fraction of an upstream's slots that may be used: 0 while it
  /// is ejected, then rising to 1.
  double SlotFactor(Instant aNow, const UpstreamId& aId) const;
  /// Returns the time between tokens relative to the median at the last review;
  /// 1 if unknown.
  double Slowness(const UpstreamId& aId) const;
  void Forget(const UpstreamId& aId) { m_rows.erase(aId); }

private:
  struct Row
  {
    double m_gapSeconds = 0;
    uint32_t m_samples = 0;
    uint32_t m_stalls = 0;
    double m_slowness = 1;
    Instant m_ejectedUntil;
    Duration m_ejection = kFirstEjection;
    bool m_wasEjected = false;
  };

  std::map<UpstreamId, Row> m_rows;
};

} // namespace persimmontally

#endif
