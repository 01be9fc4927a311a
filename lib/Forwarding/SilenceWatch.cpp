#include "SilenceWatch.h"

#include <algorithm>
#include <utility>

namespace persimmontally {

void SilenceWatch::RecordHeard(Instant aNow, const UpstreamId& aUpstream)
{
  if (aUpstream != m_lastHeard.m_upstream) {
    m_otherHeard = std::exchange(m_lastHeard, { aUpstream, aNow });
  }
  m_lastHeard.m_at = aNow;
}

std::vector<UpstreamId> SilenceWatch::Review(
  Instant aNow,
  const std::vector<StreamPace>& aStreams)
{
  std::map<UpstreamId, Row> rows;
  for (const StreamPace& stream : aStreams) {
    auto [at, isNew] = rows.try_emplace(stream.m_upstream);
    Row& row = at->second;
    if (isNew) {
      auto before = m_rows.find(stream.m_upstream);
      row = before == m_rows.end() ? Row() : before->second;
      row.m_isSilent = true;
    }
    if (stream.m_heardAt > row.m_heardAt) {
      row.m_heardAt = stream.m_heardAt;
      row.m_unanswered = 0;
    }
    Duration patience = std::max(kMinSilence, kSilentPaces * stream.m_pace);
    row.m_isSilent = row.m_isSilent && aNow - stream.m_heardAt >= patience;
  }
  m_rows = std::move(rows);
  std::vector<UpstreamId> due;
  for (auto& [id, row] : m_rows) {
    if (row.m_isSilent && !row.m_isProbing && aNow >= row.m_nextProbeAt) {
      row.m_isProbing = true;
      row.m_nextProbeAt = aNow + kProbeInterval;
      row.m_unansweredSince =
        row.m_unanswered == 0 ? aNow : row.m_unansweredSince;
      due.push_back(id);
    }
  }
  return due;
}

bool SilenceWatch::WasAnotherHeard(const UpstreamId& aUpstream,
                                   Instant aSince) const
{
  const Heard& response =
    m_lastHeard.m_upstream != aUpstream ? m_lastHeard : m_otherHeard;
  return response.m_at > aSince ||
         std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& aItem) {
           return aItem.first != aUpstream && aItem.second.m_heardAt > aSince;
         });
}

SilenceVerdict SilenceWatch::RecordProbe(Instant aNow,
                                         const UpstreamId& aUpstream,
                                         ProbeAnswer aAnswer)
{
  auto at = m_rows.find(aUpstream);
  if (at == m_rows.end()) {
    return SilenceVerdict::None;
  }
  Row& row = at->second;
  row.m_isProbing = false;
  // An event may have come during the probe.
  if (aAnswer == ProbeAnswer::Connected || !row.m_isSilent) {
    row.m_unanswered = 0;
    return SilenceVerdict::None;
  }
  if (aAnswer == ProbeAnswer::Refused) {
    return SilenceVerdict::Ended;
  }
  row.m_nextProbeAt = aNow;
  ++row.m_unanswered;
  if (row.m_unanswered < kUnreachableProbes ||
      !WasAnotherHeard(aUpstream, row.m_unansweredSince)) {
    return SilenceVerdict::None;
  }
  return row.m_unanswered < kEndedProbes ? SilenceVerdict::Unreachable
                                         : SilenceVerdict::Ended;
}

} // namespace persimmontally
