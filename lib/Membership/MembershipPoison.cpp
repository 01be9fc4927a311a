// Poison rows: how they are merged and bounded.

#include "persimmontally/Membership/Membership.h"

#include <algorithm>

namespace persimmontally {

static constexpr size_t kMaxPoisonDeaths = 16;
/// Bounds the memory, and the tables that a joining host receives, while
/// callers vary what crashes upstreams.
static constexpr size_t kMaxPoisonRows = 1000;

/// Returns the union of two rows of one epoch. Rows with `kMaxPoisonDeaths`
/// take no further deaths.
static PoisonRow JoinPoison(const PoisonRow& aKnown, const PoisonRow& aRow)
{
  PoisonRow joined = aKnown;
  joined.m_deaths.insert(aRow.m_deaths.begin(), aRow.m_deaths.end());
  joined.m_cleared.insert(aRow.m_cleared.begin(), aRow.m_cleared.end());
  bool tooLarge = joined.m_deaths.size() > kMaxPoisonDeaths ||
                  joined.m_cleared.size() > kMaxPoisonDeaths;
  if (tooLarge && !aKnown.m_deaths.empty()) {
    joined = aKnown;
  }
  joined.m_strikes = std::max(aKnown.m_strikes, aRow.m_strikes);
  joined.m_trials = std::max(aKnown.m_trials, aRow.m_trials);
  joined.m_isVouched = aKnown.m_isVouched || aRow.m_isVouched;
  return joined;
}

void Membership::EvictPoison()
{
  auto evidence = [&](const auto& aItem) {
    return std::pair(aItem.second.m_strikes,
                     m_poisonTimes[aItem.first].m_changedAt);
  };
  auto least = std::min_element(m_poison.begin(),
                                m_poison.end(),
                                [&](const auto& aLeft, const auto& aRight) {
                                  return evidence(aLeft) < evidence(aRight);
                                });
  m_poisonTimes.erase(least->first);
  m_poisonPushesLeft.erase(least->first);
  m_poison.erase(least);
}

void Membership::MergePoison(Instant aNow, const PoisonRow& aRow)
{
  auto at = m_poison.find(aRow.m_fingerprint);
  bool isNew = at == m_poison.end();
  if (!isNew && aRow.m_epoch < at->second.m_epoch) {
    return;
  }
  bool isSameEpoch = !isNew && aRow.m_epoch == at->second.m_epoch;
  PoisonRow merged = isSameEpoch ? JoinPoison(at->second, aRow) : aRow;
  if (!isNew && merged == at->second) {
    return;
  }
  if (isNew && m_poison.size() >= kMaxPoisonRows) {
    EvictPoison();
  }
  PoisonRow& known = m_poison[aRow.m_fingerprint];
  PoisonTimes& times = m_poisonTimes[aRow.m_fingerprint];
  times.m_changedAt = aNow;
  if (merged.m_strikes > known.m_strikes) {
    times.m_struckAt = aNow;
  }
  if (merged.m_trials > known.m_trials) {
    times.m_triedAt = aNow;
  }
  known = std::move(merged);
  m_poisonPushesLeft[aRow.m_fingerprint] = RetransmitCount();
  ++m_poisonVersion;
}

} // namespace persimmontally
