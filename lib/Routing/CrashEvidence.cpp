#include "persimmontally/Routing/CrashEvidence.h"

#include "persimmontally/Routing/PoisonTable.h"
#include "persimmontally/Support/Crypto.h"

#include <algorithm>

namespace persimmontally {

uint64_t PromptPartKey(std::string_view aService, std::string_view aPart)
{
  return StableHash("part/" + std::string(aService) + "/" + std::string(aPart));
}

uint64_t RequestKey(std::string_view aService,
                    std::string_view aAccount,
                    std::string_view aTarget,
                    std::string_view aBody)
{
  std::string target = std::string(aService) + '\0' + std::string(aTarget);
  return Fingerprint(aAccount, target, aBody);
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

static PoisonTimes FindTimes(const PoisonView& aView, uint64_t aKey)
{
  auto at = aView.m_times.find(aKey);
  return at == aView.m_times.end() ? PoisonTimes() : at->second;
}

void RecentKeys::Add(uint64_t aKey)
{
  auto at = m_positions.find(aKey);
  if (at != m_positions.end()) {
    m_order.splice(m_order.begin(), m_order, at->second);
    return;
  }
  m_order.push_front(aKey);
  m_positions.emplace(aKey, m_order.begin());
  if (m_positions.size() > m_limit) {
    m_positions.erase(m_order.back());
    m_order.pop_back();
  }
}

/// Appends the void row of a key if there is evidence against it.
static void AddVoidRow(const PoisonView& aView,
                       uint64_t aKey,
                       std::vector<PoisonRow>& aChanged)
{
  auto at = aView.m_rows.find(aKey);
  if (at == aView.m_rows.end() || at->second.m_strikes == 0) {
    return;
  }
  PoisonRow row;
  row.m_fingerprint = aKey;
  row.m_epoch = at->second.m_epoch + 1;
  row.m_isVouched = true;
  aChanged.push_back(std::move(row));
}

std::vector<PoisonRow> CrashEvidence::RecordSound(const PoisonView& aView,
                                                  const CrashKeys& aKeys)
{
  std::vector<PoisonRow> changed = RecordSoundParts(aView, aKeys.m_parts);
  m_soundRequests.Add(aKeys.m_request);
  AddVoidRow(aView, aKeys.m_request, changed);
  return changed;
}

std::vector<PoisonRow> CrashEvidence::RecordSoundParts(
  const PoisonView& aView,
  const std::vector<uint64_t>& aParts)
{
  std::vector<PoisonRow> changed;
  for (uint64_t part : aParts) {
    m_soundParts.Add(part);
    AddVoidRow(aView, part, changed);
  }
  return changed;
}

std::vector<PoisonRow> CrashEvidence::RecordDeath(
  Instant aNow,
  const PoisonView& aView,
  const std::string& aDeath,
  const std::vector<CrashSuspect>& aSuspects)
{
  struct Blame
  {
    uint32_t m_weight = 0;
    bool m_isLater = false;
  };
  std::map<uint64_t, Blame> blames;
  for (const CrashSuspect& suspect : aSuspects) {
    uint32_t weight = suspect.m_hasBegun ? kStrikesIfBegun : kStrikesIfRead;
    for (uint64_t part : suspect.m_keys.m_parts) {
      blames[part].m_weight = std::max(blames[part].m_weight, weight);
    }
    uint64_t key = suspect.m_keys.m_request;
    Blame& request = blames[key];
    request.m_weight =
      std::max(request.m_weight, suspect.m_isWhole ? kStrikesIfBegun : weight);
    request.m_isLater = request.m_isLater || suspect.m_isResent ||
                        suspect.m_sentAt >= FindTimes(aView, key).m_struckAt;
  }
  std::vector<PoisonRow> changed;
  for (const auto& [key, blame] : blames) {
    PoisonRow row = FindRow(aView, key);
    if (!row.m_deaths.insert(aDeath).second) {
      continue;
    }
    bool isSeparate = row.m_strikes == 0 || blame.m_isLater ||
                      aNow >= FindTimes(aView, key).m_struckAt + kDeathSpacing;
    row.m_strikes += isSeparate ? blame.m_weight : 0;
    changed.push_back(std::move(row));
  }
  return changed;
}

uint32_t CrashEvidence::QuarantineLimit(const PoisonView& aView,
                                        uint64_t aKey) const
{
  return IsSound(aView, aKey) ? kQuarantineStrikesIfSound : kQuarantineStrikes;
}

bool CrashEvidence::HasQuarantineEvidence(const PoisonView& aView,
                                          const PoisonRow& aRow) const
{
  return aRow.m_strikes >= QuarantineLimit(aView, aRow.m_fingerprint);
}

bool CrashEvidence::HasRival(const PoisonView& aView,
                             const PoisonRow& aRow,
                             Rival aRival) const
{
  auto evidence = [](const PoisonRow& aSide) {
    return std::pair(aSide.m_strikes, aSide.m_deaths.size());
  };
  return std::any_of(
    aView.m_rows.begin(), aView.m_rows.end(), [&](const auto& aItem) {
      const PoisonRow& other = aItem.second;
      bool isStronger =
        other.m_strikes >= aRow.m_strikes && evidence(other) != evidence(aRow);
      bool isRival = aRival == Rival::Stronger
                       ? isStronger
                       : evidence(other) == evidence(aRow);
      return isRival && other.m_fingerprint != aRow.m_fingerprint &&
             HasQuarantineEvidence(aView, other) &&
             std::includes(other.m_deaths.begin(),
                           other.m_deaths.end(),
                           aRow.m_deaths.begin(),
                           aRow.m_deaths.end());
    });
}

std::vector<uint64_t> CrashEvidence::Quarantined(const PoisonView& aView,
                                                 const CrashKeys& aKeys) const
{
  std::vector<uint64_t> keys = aKeys.m_parts;
  keys.push_back(aKeys.m_request);
  std::erase_if(keys, [&](uint64_t aKey) {
    auto at = aView.m_rows.find(aKey);
    return at == aView.m_rows.end() ||
           !HasQuarantineEvidence(aView, at->second) ||
           HasRival(aView, at->second, Rival::Stronger);
  });
  return keys;
}

Instant CrashEvidence::TrialDueAt(
  const PoisonView& aView,
  const std::vector<uint64_t>& aQuarantined) const
{
  Instant dueAt;
  for (uint64_t key : aQuarantined) {
    PoisonRow row = FindRow(aView, key);
    Duration delay = kTrialDelay;
    uint32_t failedTrials =
      (row.m_strikes - QuarantineLimit(aView, key)) / kStrikesIfBegun;
    for (uint32_t i = 0; i < failedTrials && delay < kMaxTrialDelay; ++i) {
      delay *= kTrialDelayFactor;
    }
    if (aQuarantined.size() == 1 && HasRival(aView, row, Rival::Equal)) {
      delay = kDecidingTrialDelay;
    }
    PoisonTimes times = FindTimes(aView, key);
    dueAt = std::max(dueAt,
                     std::max(times.m_struckAt, times.m_triedAt) +
                       std::min<Duration>(delay, kMaxTrialDelay));
  }
  return dueAt;
}

bool CrashEvidence::IsSound(const PoisonView& aView, uint64_t aKey) const
{
  auto at = aView.m_rows.find(aKey);
  return m_soundParts.Contains(aKey) || m_soundRequests.Contains(aKey) ||
         (at != aView.m_rows.end() && at->second.m_isVouched);
}

std::optional<PoisonRow> CrashEvidence::Vouch(const PoisonView& aView,
                                              uint64_t aKey) const
{
  auto at = aView.m_rows.find(aKey);
  bool isOpen = at != aView.m_rows.end() && at->second.m_strikes > 0 &&
                !at->second.m_isVouched;
  bool isSound = m_soundParts.Contains(aKey) || m_soundRequests.Contains(aKey);
  if (!isOpen || !isSound) {
    return std::nullopt;
  }
  PoisonRow row = at->second;
  row.m_isVouched = true;
  return row;
}

bool CrashEvidence::IsSuspect(const PoisonView& aView,
                              const CrashKeys& aKeys) const
{
  return FindRow(aView, aKeys.m_request).m_strikes > 0;
}

bool CrashEvidence::AreAllPartsSound(const PoisonView& aView,
                                     const CrashKeys& aKeys) const
{
  return std::all_of(aKeys.m_parts.begin(),
                     aKeys.m_parts.end(),
                     [&](uint64_t aPart) { return IsSound(aView, aPart); });
}

} // namespace persimmontally
