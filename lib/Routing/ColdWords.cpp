#include "persimmontally/Routing/ColdWords.h"

#include <algorithm>
#include <tuple>

namespace persimmontally {

/// Far above any warm-up, and far below the maximum of a Duration.
static constexpr uint64_t kMaxLeftMs = 1'000'000'000'000;

static uint64_t RoundUpMs(Duration aLeft)
{
  return static_cast<uint64_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aLeft).count());
}

ColdWords::Result ColdWords::Record(Instant aNow, const ColdWord& aWord)
{
  auto [at, isNew] = m_entries.try_emplace(aWord.m_upstream);
  Entry& entry = at->second;
  bool isSame = !isNew && aWord.m_incarnation == entry.m_incarnation;
  if (!isNew && std::tie(aWord.m_incarnation, aWord.m_sequence) <=
                  std::tie(entry.m_incarnation, entry.m_sequence)) {
    return Result::Stale;
  }
  Instant until =
    aNow +
    milliseconds(static_cast<int64_t>(std::min(aWord.m_leftMs, kMaxLeftMs)));
  Duration change = std::max(until, aNow) - std::max(entry.m_until, aNow);
  entry = { aWord.m_incarnation, aWord.m_sequence, until };
  bool isClose = change <= kTolerance && change >= -kTolerance;
  return isSame && isClose ? Result::Same : Result::Changed;
}

std::optional<Duration> ColdWords::LeftOf(Instant aNow,
                                          const UpstreamId& aUpstream,
                                          uint64_t aIncarnation) const
{
  auto at = m_entries.find(aUpstream);
  if (at == m_entries.end() || at->second.m_incarnation != aIncarnation) {
    return std::nullopt;
  }
  return std::max<Duration>(Duration(0), at->second.m_until - aNow);
}

std::optional<ColdWord> ColdWords::Find(Instant aNow,
                                        const UpstreamId& aUpstream) const
{
  auto at = m_entries.find(aUpstream);
  if (at == m_entries.end()) {
    return std::nullopt;
  }
  const Entry& entry = at->second;
  Duration left = std::max<Duration>(Duration(0), entry.m_until - aNow);
  return ColdWord{
    aUpstream, entry.m_incarnation, entry.m_sequence, RoundUpMs(left)
  };
}

std::vector<ColdWord> ColdWords::OfColdUpstreams(Instant aNow) const
{
  std::vector<ColdWord> words;
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_until > aNow) {
      words.push_back(*Find(aNow, id));
    }
  }
  return words;
}

void ColdWords::Retain(const std::function<bool(const UpstreamId&)>& aIsKnown)
{
  std::erase_if(m_entries,
                [&](const auto& aItem) { return !aIsKnown(aItem.first); });
}

} // namespace persimmontally
