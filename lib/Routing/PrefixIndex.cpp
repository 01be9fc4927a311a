#include "persimmontally/Routing/PrefixIndex.h"

#include <algorithm>

namespace persimmontally {

void PrefixIndex::Touch(Cache& aCache, uint64_t aBlock)
{
  auto known = aCache.m_blocks.find(aBlock);
  if (known != aCache.m_blocks.end()) {
    aCache.m_recent.splice(
      aCache.m_recent.begin(), aCache.m_recent, known->second);
    return;
  }
  aCache.m_recent.push_front(aBlock);
  aCache.m_blocks[aBlock] = aCache.m_recent.begin();
  if (aCache.m_blocks.size() > kMaxBlocksPerUpstream) {
    aCache.m_blocks.erase(aCache.m_recent.back());
    aCache.m_recent.pop_back();
  }
}

void PrefixIndex::RecordPrompt(const UpstreamId& aUpstream,
                               const std::vector<uint64_t>& aPrefix)
{
  if (aPrefix.empty()) {
    return;
  }
  Cache& cache = m_caches[aUpstream];
  size_t count = std::min(aPrefix.size(), kMaxPrefixBlocks);
  for (size_t i = 0; i < count; ++i) {
    Touch(cache, aPrefix[i]);
  }
}

bool PrefixIndex::Apply(const CacheEvents& aEvents)
{
  Cache& cache = m_caches[aEvents.m_upstream];
  if (aEvents.m_incarnation < cache.m_incarnation) {
    return true;
  }
  bool isNewIncarnation = aEvents.m_incarnation > cache.m_incarnation;
  bool gap =
    !isNewIncarnation && aEvents.m_firstSequence > cache.m_nextSequence;
  if (!isNewIncarnation && aEvents.m_firstSequence < cache.m_nextSequence) {
    return true;
  }
  if (isNewIncarnation || gap) {
    cache.m_recent.clear();
    cache.m_blocks.clear();
  }
  cache.m_incarnation = aEvents.m_incarnation;
  cache.m_nextSequence =
    aEvents.m_firstSequence + aEvents.m_added.size() + aEvents.m_removed.size();
  for (uint64_t block : aEvents.m_added) {
    Touch(cache, block);
  }
  for (uint64_t block : aEvents.m_removed) {
    auto known = cache.m_blocks.find(block);
    if (known != cache.m_blocks.end()) {
      cache.m_recent.erase(known->second);
      cache.m_blocks.erase(known);
    }
  }
  return !gap;
}

double PrefixIndex::HitRatio(const UpstreamId& aUpstream,
                             const std::vector<uint64_t>& aPrefix) const
{
  auto at = m_caches.find(aUpstream);
  size_t count = std::min(aPrefix.size(), kMaxPrefixBlocks);
  if (at == m_caches.end() || count == 0) {
    return 0;
  }
  size_t hits = 0;
  while (hits < count && at->second.m_blocks.contains(aPrefix[hits])) {
    ++hits;
  }
  return static_cast<double>(hits) / static_cast<double>(count);
}

} // namespace persimmontally
