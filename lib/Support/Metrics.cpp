#include "persimmontally/Support/Metrics.h"

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <sstream>

namespace persimmontally {

namespace bh = boost::histogram;

/// Number of bins per histogram; each bin edge is about 11% above the
/// previous one.
static constexpr int kBinCount = 180;
static constexpr double kMinSeconds = 1e-5;
static constexpr double kMaxSeconds = 1e3;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<uint64_t>;
using Bins = decltype(bh::make_histogram_with(
  Storage(),
  LogAxis(kBinCount, kMinSeconds, kMaxSeconds)));

struct LatencyHistogram::Impl
{
  Bins m_bins =
    bh::make_histogram_with(Storage(),
                            LogAxis(kBinCount, kMinSeconds, kMaxSeconds));
  uint64_t m_count = 0;
  Duration m_sum{ 0 };
};

LatencyHistogram::LatencyHistogram()
  : m_impl(std::make_unique<Impl>())
{
}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
  default;

void LatencyHistogram::Record(Duration aValue)
{
  m_impl->m_bins(std::max(ToSeconds(aValue), kMinSeconds));
  ++m_impl->m_count;
  m_impl->m_sum += aValue;
}

uint64_t LatencyHistogram::Count() const
{
  return m_impl->m_count;
}

Duration LatencyHistogram::Sum() const
{
  return m_impl->m_sum;
}

Duration LatencyHistogram::Quantile(double aQuantile) const
{
  double targetCount = aQuantile * static_cast<double>(m_impl->m_count);
  uint64_t cumulativeCount = 0;
  for (int bin = 0; bin < kBinCount; ++bin) {
    cumulativeCount += m_impl->m_bins.at(bin);
    if (cumulativeCount > 0 &&
        static_cast<double>(cumulativeCount) >= targetCount) {
      double upperEdge = m_impl->m_bins.axis().value(bin + 1);
      return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(upperEdge));
    }
  }
  if (m_impl->m_count == 0) {
    return Duration(0);
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(kMaxSeconds));
}

uint64_t LatencyHistogram::CountAtMost(Duration aBound) const
{
  uint64_t cumulativeCount = 0;
  for (int bin = 0; bin < kBinCount; ++bin) {
    if (m_impl->m_bins.axis().value(bin + 1) > ToSeconds(aBound)) {
      break;
    }
    cumulativeCount += m_impl->m_bins.at(bin);
  }
  return cumulativeCount;
}

struct Metrics::Impl
{
  std::map<std::string, uint64_t, std::less<>> m_counters;
  std::map<std::string, double, std::less<>> m_gauges;
  std::map<std::string, LatencyHistogram, std::less<>> m_histograms;
};

Metrics::Metrics()
  : m_impl(std::make_unique<Impl>())
{
}
Metrics::~Metrics() = default;

void Metrics::Add(std::string_view aName, uint64_t aAmount)
{
  auto at = m_impl->m_counters.find(aName);
  if (at == m_impl->m_counters.end()) {
    at = m_impl->m_counters.emplace(std::string(aName), 0).first;
  }
  at->second += aAmount;
}

void Metrics::SetGauge(std::string_view aName, double aValue)
{
  m_impl->m_gauges[std::string(aName)] = aValue;
}

void Metrics::Record(std::string_view aName, Duration aValue)
{
  auto at = m_impl->m_histograms.find(aName);
  if (at == m_impl->m_histograms.end()) {
    at = m_impl->m_histograms.emplace(std::string(aName), LatencyHistogram())
           .first;
  }
  at->second.Record(aValue);
}

uint64_t Metrics::Counter(std::string_view aName) const
{
  auto at = m_impl->m_counters.find(aName);
  return at == m_impl->m_counters.end() ? 0 : at->second;
}

/// Splits `name{labels}` into the name and the labels. Labels that are not
/// empty end in a comma, so that another label can be appended.
static std::pair<std::string, std::string> SplitLabels(const std::string& aName)
{
  auto brace = aName.find('{');
  if (brace == std::string::npos) {
    return { aName, "" };
  }
  return { aName.substr(0, brace),
           aName.substr(brace + 1, aName.size() - brace - 2) + "," };
}

static void PrintHistogram(std::ostream& aOut,
                           const std::string& aName,
                           const LatencyHistogram& aHistogram)
{
  static constexpr std::array<int, 14> kBoundsMs = {
    1, 5, 10, 25, 53, 100, 250, 590, 1000, 2500, 5000, 10000, 60000, 600000
  };
  auto [name, labels] = SplitLabels(aName);
  for (int boundMs : kBoundsMs) {
    aOut << name << "_seconds_bucket{" << labels << "le=\"" << boundMs / 1000.0
         << "\"} " << aHistogram.CountAtMost(milliseconds(boundMs)) << "\n";
  }
  aOut << name << "_seconds_bucket{" << labels << "le=\"+Inf\"} "
       << aHistogram.Count() << "\n";
  std::string labelSet = labels.empty()
                           ? std::string()
                           : "{" + labels.substr(0, labels.size() - 1) + "}";
  aOut << name << "_seconds_sum" << labelSet << " "
       << ToSeconds(aHistogram.Sum()) << "\n";
  aOut << name << "_seconds_count" << labelSet << " " << aHistogram.Count()
       << "\n";
}

std::string Metrics::PrometheusText() const
{
  std::ostringstream out;
  for (const auto& [name, value] : m_impl->m_counters) {
    out << name << " " << value << "\n";
  }
  for (const auto& [name, value] : m_impl->m_gauges) {
    out << name << " " << value << "\n";
  }
  for (const auto& [name, histogram] : m_impl->m_histograms) {
    PrintHistogram(out, name, histogram);
  }
  return out.str();
}

} // namespace persimmontally
