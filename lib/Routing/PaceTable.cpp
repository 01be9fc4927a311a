#include "persimmontally/Routing/PaceTable.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

/// Pauses after which those before count half.
static constexpr double kRatioHalfLife = 2000;

PaceTable::Row& PaceTable::RowOf(const UpstreamId& aUpstream,
                                 uint64_t aIncarnation)
{
  Row& row = m_rows[aUpstream];
  if (row.m_incarnation < aIncarnation) {
    row = Row();
    row.m_incarnation = aIncarnation;
  }
  return row;
}

void PaceTable::RecordPause(const UpstreamId& aUpstream,
                            uint64_t aIncarnation,
                            Duration aPause)
{
  Row& row = RowOf(aUpstream, aIncarnation);
  if (row.m_incarnation != aIncarnation || aPause <= Duration(0)) {
    return;
  }
  double pause = ToSeconds(aPause);
  if (row.m_pace > 0 && pause <= kMaxRatio * row.m_pace) {
    RecordRatio(pause / row.m_pace);
  }
  row.m_pauses.push_back(pause);
  if (row.m_pauses.size() == kPausesPerSample) {
    AddSample(aUpstream, row);
  }
}

void PaceTable::AddSample(const UpstreamId& aUpstream, Row& aRow)
{
  std::sort(aRow.m_pauses.begin(), aRow.m_pauses.end());
  double sample = aRow.m_pauses[kSampleRank];
  aRow.m_pauses.clear();
  aRow.m_pace = aRow.m_pace == 0
                  ? sample
                  : aRow.m_pace + kSmoothing * (sample - aRow.m_pace);
  UpdateQuantiles();
  double change = std::abs(aRow.m_pace - aRow.m_reportedPace);
  if (change > kReportedChange * aRow.m_reportedPace) {
    aRow.m_reportedPace = aRow.m_pace;
    m_reports[aUpstream] = { aUpstream,
                             aRow.m_incarnation,
                             static_cast<uint32_t>(
                               std::min(aRow.m_pace * 1e6, 4e9)) };
  }
}

void PaceTable::RecordRatio(double aRatio)
{
  double decay = std::exp2(-1 / kRatioHalfLife);
  double octaves = std::log2(std::max(1.0, aRatio));
  auto bin =
    std::min(kBinCount - 1, static_cast<size_t>(octaves * kBinsPerOctave));
  for (double& count : m_ratios) {
    count *= decay;
  }
  m_ratios[bin] += 1;
  m_ratioCount = m_ratioCount * decay + 1;
}

void PaceTable::UpdateQuantiles()
{
  std::vector<double> paces;
  for (const auto& [id, row] : m_rows) {
    if (row.m_pace > 0) {
      paces.push_back(row.m_pace);
    }
  }
  std::sort(paces.begin(), paces.end());
  m_medianPace = paces[paces.size() / 2];
  m_fastPace = paces[paces.size() / 10];
}

void PaceTable::Receive(const PaceUpdate& aUpdate)
{
  for (const PaceRow& received : aUpdate.m_rows) {
    Row& row = RowOf(received.m_upstream, received.m_incarnation);
    if (row.m_incarnation != received.m_incarnation ||
        received.m_microsecondsPerEvent == 0) {
      continue;
    }
    row.m_pace = received.m_microsecondsPerEvent / 1e6;
    row.m_reportedPace = row.m_pace;
    m_reports.erase(received.m_upstream);
    UpdateQuantiles();
  }
}

PaceUpdate PaceTable::TakeReports()
{
  PaceUpdate update;
  for (auto& [id, row] : std::exchange(m_reports, {})) {
    update.m_rows.push_back(row);
  }
  return update;
}

void PaceTable::Retain(const std::function<bool(const UpstreamId&)>& aIsKnown)
{
  std::erase_if(m_rows,
                [&](const auto& aItem) { return !aIsKnown(aItem.first); });
}

Duration PaceTable::PaceOf(const UpstreamId& aUpstream) const
{
  auto at = m_rows.find(aUpstream);
  bool isKnown = at != m_rows.end() && at->second.m_pace > 0;
  double pace = isKnown ? at->second.m_pace : m_medianPace;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(pace));
}

double PaceTable::PauseFactor() const
{
  if (m_ratioCount < kMinPauses) {
    return kDefaultFactor;
  }
  double left = m_ratioCount * (1 - kCoveredPauses);
  size_t bin = kBinCount - 1;
  while (bin > 0 && left > m_ratios[bin]) {
    left -= m_ratios[bin];
    --bin;
  }
  return std::exp2((static_cast<double>(bin) + 0.5) / kBinsPerOctave);
}

double PaceTable::ExcessOf(const UpstreamId& aUpstream,
                           Duration aObjective) const
{
  double pace = ToSeconds(PaceOf(aUpstream));
  if (aObjective <= Duration(0) || pace <= kSlowRatio * m_fastPace) {
    return 0;
  }
  double longest = pace * PauseFactor();
  return std::clamp(longest / ToSeconds(aObjective) - 1, 0.0, 1.0);
}

} // namespace persimmontally
