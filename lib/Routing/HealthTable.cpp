#include "persimmontally/Routing/HealthTable.h"

#include <algorithm>

namespace persimmontally {

/// Weight of a new sample in the moving average of the time between tokens.
static constexpr double kSmoothing = 0.05;
static constexpr uint32_t kMinSamples = 20;
/// Consecutive stalls after which an upstream is ejected.
static constexpr uint32_t kEjectionStalls = 2;

void HealthTable::RecordGap(Instant, const UpstreamId& aId, Duration aGap)
{
  Row& row = m_rows[aId];
  double gap = ToSeconds(aGap);
  row.m_gapSeconds =
    row.m_samples == 0
      ? gap
      : row.m_gapSeconds + kSmoothing * (gap - row.m_gapSeconds);
  ++row.m_samples;
  row.m_stalls = 0;
}

void HealthTable::RecordStall(Instant, const UpstreamId& aId)
{
  ++m_rows[aId].m_stalls;
}

std::vector<UpstreamId> HealthTable::Review(
  Instant aNow,
  const std::vector<UpstreamId>& aPeers)
{
  std::vector<double> gaps;
  size_t ejected = 0;
  for (const UpstreamId& id : aPeers) {
    auto at = m_rows.find(id);
    if (at == m_rows.end()) {
      continue;
    }
    ejected += at->second.m_ejectedUntil > aNow ? 1 : 0;
    if (at->second.m_samples >= kMinSamples) {
      gaps.push_back(at->second.m_gapSeconds);
    }
  }
  double median = 0;
  if (!gaps.empty()) {
    auto middle = gaps.begin() + static_cast<ptrdiff_t>((gaps.size() - 1) / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    median = *middle;
  }
  std::vector<UpstreamId> newlyEjected;
  for (const UpstreamId& id : aPeers) {
    auto at = m_rows.find(id);
    if (at == m_rows.end() || at->second.m_ejectedUntil > aNow) {
      continue;
    }
    Row& row = at->second;
    bool isComparable = row.m_samples >= kMinSamples && median > 0;
    row.m_slowness = isComparable ? row.m_gapSeconds / median : 1;
    bool slow = isComparable && gaps.size() > 1 &&
                row.m_slowness > kSlowRatio &&
                row.m_gapSeconds > ToSeconds(kMinSlowGap);
    bool stalled = row.m_stalls >= kEjectionStalls;
    bool isBelowLimit =
      static_cast<double>(ejected + 1) <=
      kMaxEjectedFraction * static_cast<double>(aPeers.size());
    if (!(slow || stalled) || !isBelowLimit) {
      continue;
    }
    if (row.m_wasEjected && row.m_ejectedUntil + kMaxEjection < aNow) {
      row.m_ejection = kFirstEjection;
    }
    row.m_ejectedUntil = aNow + row.m_ejection;
    row.m_ejection = std::min(row.m_ejection * 2, kMaxEjection);
    row.m_wasEjected = true;
    row.m_samples = 0;
    row.m_stalls = 0;
    ++ejected;
    newlyEjected.push_back(id);
  }
  return newlyEjected;
}

double HealthTable::SlotFactor(Instant aNow, const UpstreamId& aId) const
{
  constexpr double kInitialFraction = 0.1;
  auto at = m_rows.find(aId);
  if (at == m_rows.end() || !at->second.m_wasEjected) {
    return 1;
  }
  const Row& row = at->second;
  if (row.m_ejectedUntil > aNow) {
    return 0;
  }
  double since = ToSeconds(aNow - row.m_ejectedUntil) / ToSeconds(kReturnRamp);
  return std::min(1.0, kInitialFraction + (1 - kInitialFraction) * since);
}

double HealthTable::Slowness(const UpstreamId& aId) const
{
  auto at = m_rows.find(aId);
  return at == m_rows.end() ? 1 : at->second.m_slowness;
}

} // namespace persimmontally
