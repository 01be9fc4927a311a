#ifndef PERSIMMONTALLY_ROUTING_PREFIXINDEX_H
#define PERSIMMONTALLY_ROUTING_PREFIXINDEX_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace persimmontally {

/// A batch of cache events published by one upstream.
struct CacheEvents
{
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  /// Sequence number of the first event; events are numbered consecutively
  /// across batches.
  uint64_t m_firstSequence = 0;
  std::vector<uint64_t> m_added;
  std::vector<uint64_t> m_removed;
};

/// Estimates which prompt blocks the prefix caches of the upstreams hold, from
/// their cache events and from the prompts sent to them. Events may be delayed
/// or lost; a gap clears the upstream's entries, since removals may be missing.
class PrefixIndex
{
public:
  /// Maximum blocks tracked per upstream; the least recently used is evicted.
  static constexpr size_t kMaxBlocksPerUpstream = 8192;
  /// Maximum leading blocks of one prompt that are considered.
  static constexpr size_t kMaxPrefixBlocks = 64;

  /// Records the blocks of a prompt sent to an upstream.
  void RecordPrompt(const UpstreamId& aUpstream,
                    const std::vector<uint64_t>& aPrefix);
  /// Applies a batch of events. Returns false if events before it are missing.
  bool Apply(const CacheEvents& aEvents);
  void Forget(const UpstreamId& aUpstream) { m_caches.erase(aUpstream); }
  /// Returns the fraction of a prompt's leading blocks that an upstream holds.
  double HitRatio(const UpstreamId& aUpstream,
                  const std::vector<uint64_t>& aPrefix) const;

private:
  struct Cache
  {
    uint64_t m_incarnation = 0;
    uint64_t m_nextSequence = 0;
    std::list<uint64_t> m_recent;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
  };

  static void Touch(Cache& aCache, uint64_t aBlock);

  std::map<UpstreamId, Cache> m_caches;
};

} // namespace persimmontally

#endif
