#include "persimmontally/Routing/CrashEvidence.h"

#include "persimmontally/Support/Crypto.h"

#include <algorithm>

namespace persimmontally {

uint64_t PromptPartKey(std::string_view aPart)
{
  return StableHash("part/" + std::string(aPart));
}

static PoisonRow FindRow(const PoisonView& aView, uint64_t aKey)
{
  auto at = aView.m_rows.find(aKey);
  if (at != aView.m_rows.end()) {
    return at->second;
  }
  PoisonRow row;
  row.m_fingerprint = aKey;
  return row;
}

static Instant ChangedAt(const PoisonView& aView, uint64_t aKey)
{
  auto at = aView.m_changedAt.find(aKey);
  return at == aView.m_changedAt.end() ? Instant() : at->second;
}

void CrashEvidence::Remember(uint64_t aPart)
{
  auto at = m_soundParts.find(aPart);
  if (at != m_soundParts.end()) {
    m_soundOrder.splice(m_soundOrder.begin(), m_soundOrder, at->second);
    return;
  }
  m_soundOrder.push_front(aPart);
  m_soundParts.emplace(aPart, m_soundOrder.begin());
  if (m_soundParts.size() > kMaxSoundParts) {
    m_soundParts.erase(m_soundOrder.back());
    m_soundOrder.pop_back();
  }
}

std::vector<PoisonRow> CrashEvidence::RecordSound(const PoisonView& aView,
                                                  const CrashKeys& aKeys)
{
  for (uint64_t part : aKeys.m_parts) {
    Remember(part);
  }
  std::vector<uint64_t> keys = aKeys.m_parts;
  keys.push_back(aKeys.m_request);
  std::vector<PoisonRow> changed;
  for (uint64_t key : keys) {
    auto at = aView.m_rows.find(key);
    if (at == aView.m_rows.end() || at->second.m_strikes == 0) {
      continue;
    }
    PoisonRow row;
    row.m_fingerprint = key;
    row.m_epoch = at->second.m_epoch + 1;
    changed.push_back(std::move(row));
  }
  return changed;
}

std::vector<PoisonRow> CrashEvidence::RecordDeath(
  Instant aNow,
  const PoisonView& aView,
  const std::string& aDeath,
  const std::vector<CrashSuspect>& aSuspects)
{
  std::map<uint64_t, uint32_t> strikes;
  for (const CrashSuspect& suspect : aSuspects) {
    uint32_t weight = suspect.m_hasBegun ? kStrikesIfBegun : kStrikesIfRead;
    bool blamesSoundParts = AreAllPartsSound(suspect.m_keys);
    for (uint64_t part : suspect.m_keys.m_parts) {
      if (blamesSoundParts || !IsSound(part)) {
        strikes[part] = std::max(strikes[part], weight);
      }
    }
    uint32_t& request = strikes[suspect.m_keys.m_request];
    request = std::max(request, weight);
  }
  std::vector<PoisonRow> changed;
  for (const auto& [key, weight] : strikes) {
    PoisonRow row = FindRow(aView, key);
    if (!row.m_deaths.insert(aDeath).second) {
      continue;
    }
    bool isSeparate =
      row.m_strikes == 0 || aNow >= ChangedAt(aView, key) + kDeathSpacing;
    row.m_strikes += isSeparate ? weight : 0;
    changed.push_back(std::move(row));
  }
  return changed;
}

std::vector<uint64_t> CrashEvidence::Quarantined(const PoisonView& aView,
                                                 const CrashKeys& aKeys) const
{
  std::vector<uint64_t> keys = aKeys.m_parts;
  keys.push_back(aKeys.m_request);
  std::erase_if(keys, [&](uint64_t aKey) {
    auto at = aView.m_rows.find(aKey);
    uint32_t limit =
      IsSound(aKey) ? kQuarantineStrikesIfSound : kQuarantineStrikes;
    return at == aView.m_rows.end() || at->second.m_strikes < limit;
  });
  return keys;
}

Instant CrashEvidence::TrialDueAt(const PoisonView& aView, uint64_t aKey)
{
  constexpr uint32_t kMaxDoublings = 10;
  uint32_t trials = FindRow(aView, aKey).m_trials;
  Duration delay = kTrialDelay * (1 << std::min(trials, kMaxDoublings));
  return ChangedAt(aView, aKey) + std::min<Duration>(delay, kMaxTrialDelay);
}

bool CrashEvidence::AreAllPartsSound(const CrashKeys& aKeys) const
{
  return std::all_of(aKeys.m_parts.begin(),
                     aKeys.m_parts.end(),
                     [&](uint64_t aPart) { return IsSound(aPart); });
}

} // namespace persimmontally
