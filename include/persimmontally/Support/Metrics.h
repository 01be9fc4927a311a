#ifndef PERSIMMONTALLY_SUPPORT_METRICS_H
#define PERSIMMONTALLY_SUPPORT_METRICS_H

#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace persimmontally {

/// Histogram of durations with logarithmic bins from 10 microseconds to 1000
/// seconds. Shorter durations are counted in the first bin.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Record(Duration aValue);
  uint64_t Count() const;
  Duration Sum() const;
  /// Returns the upper edge of the bin that holds the quantile `aQuantile` (0
  /// to 1): zero if the histogram is empty, 1000 seconds if the quantile lies
  /// above all bins.
  Duration Quantile(double aQuantile) const;
  /// Returns the number of values in the bins that lie wholly at or below
  /// `aBound`, which may be less than the number of values at or below it.
  uint64_t CountAtMost(Duration aBound) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Counters, gauges and histograms of the process by name, exported in the
/// Prometheus text format. The label set is part of the name:
/// `requests_total{rank="urgent"}`.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  /// Adds to a counter, which starts at zero.
  void Add(std::string_view aName, uint64_t aAmount = 1);
  void SetGauge(std::string_view aName, double aValue);
  /// Adds a duration to a histogram, which is exported as `aName` with the
  /// suffix `_seconds`.
  void Record(std::string_view aName, Duration aValue);
  /// Returns the value of a counter, or zero if nothing was added to it.
  uint64_t Counter(std::string_view aName) const;
  std::string PrometheusText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
