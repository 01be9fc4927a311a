#include "MigrationPlan.h"

namespace persimmontally {

bool OutlastsNotice(const OutputSize& aSize)
{
  uint32_t total = aSize.m_expectedTokens;
  if (total == 0 || total > aSize.m_maxTokens || total <= aSize.m_tokensSoFar) {
    total = aSize.m_maxTokens;
  }
  return total > aSize.m_tokensSoFar + kTokensPerNotice;
}

void MigrationSchedule::Update(Instant aNow,
                               const std::set<UpstreamId>& aLeaving)
{
  std::erase_if(m_leavingSince, [&](const auto& aItem) {
    return !aLeaving.contains(aItem.first);
  });
  for (const UpstreamId& id : aLeaving) {
    m_leavingSince.try_emplace(id, aNow);
  }
}

bool MigrationSchedule::IsDue(Instant aNow,
                              const UpstreamId& aUpstream,
                              const std::string& aKey,
                              const std::vector<LedgerRow>& aRows) const
{
  auto since = m_leavingSince.find(aUpstream);
  if (since == m_leavingSince.end()) {
    return false;
  }
  Duration before(0);
  for (const LedgerRow& row : aRows) {
    if (row.m_key == aKey) {
      break;
    }
    OutputSize size{ row.m_expectedTokens, row.m_maxTokens, row.m_tokens };
    if (!row.m_isCopy && OutlastsNotice(size)) {
      before += kIntervalPerGeneration;
    }
  }
  return before == Duration(0) || aNow >= since->second + before;
}

bool CopyRounds::OnRoundEnd(Instant aNow)
{
  ++m_rounds;
  Duration took = aNow - m_roundAt;
  m_roundAt = aNow;
  return took <= kMaxIdleLinkRound || aNow >= m_startedAt + kMaxLiveCopyTime;
}

} // namespace persimmontally
