#include "persimmontally/Standin/EngineModel.h"

#include <algorithm>

namespace persimmontally {

uint32_t EngineModel::BlocksFor(uint32_t aTokens) const
{
  return (aTokens + m_options.m_blockTokens - 1) / m_options.m_blockTokens;
}

void EngineModel::InsertWaiting(Sequence aSequence)
{
  auto key = [](const Sequence& aItem) {
    return std::make_pair(aItem.m_request.m_priority, aItem.m_arrivalOrder);
  };
  auto at =
    std::upper_bound(m_waiting.begin(),
                     m_waiting.end(),
                     aSequence,
                     [&](const Sequence& aLeft, const Sequence& aRight) {
                       return key(aLeft) < key(aRight);
                     });
  m_waiting.insert(at, std::move(aSequence));
}

void EngineModel::Submit(Instant aNow, EngineRequest aRequest)
{
  Sequence sequence;
  sequence.m_request = std::move(aRequest);
  sequence.m_arrivalOrder = m_nextArrivalOrder++;
  InsertWaiting(std::move(sequence));
  if (!m_isStepRunning) {
    m_isStepRunning = true;
    m_stepEnd = aNow;
  }
}

void EngineModel::Cancel(const std::string& aId)
{
  auto hasId = [&](const Sequence& aItem) {
    return aItem.m_request.m_id == aId;
  };
  std::erase_if(m_waiting, hasId);
  auto at = std::find_if(m_running.begin(), m_running.end(), hasId);
  if (at != m_running.end()) {
    Release(*at);
    m_running.erase(at);
  }
}

bool EngineModel::NextStepEnd(Instant& aAt) const
{
  aAt = std::max(m_stepEnd, m_stallUntil);
  return m_isStepRunning;
}

std::vector<EngineEvent> EngineModel::Advance(Instant aNow)
{
  std::vector<EngineEvent> events;
  Instant at;
  while (NextStepEnd(at) && at <= aNow) {
    m_stepEnd = at;
    CompleteStep(events);
  }
  return events;
}

/// Completes the running step, which emits its tokens, and starts the next one
/// if there is work.
void EngineModel::CompleteStep(std::vector<EngineEvent>& aEvents)
{
  for (size_t i = 0; i < m_running.size();) {
    std::string id = m_running[i].m_request.m_id;
    if (m_running[i].m_prefillTokensLeft == 0) {
      Decode(m_running[i], aEvents);
    }
    // `Decode` removes this sequence if it finishes, and may preempt this or
    // another one.
    bool isStillRunning =
      i < m_running.size() && m_running[i].m_request.m_id == id;
    i += isStillRunning ? 1 : 0;
  }
  AdmitWaiting();
  uint32_t prefilled = Prefill();
  if (m_running.empty() && m_waiting.empty()) {
    m_isStepRunning = false;
    return;
  }
  Duration length =
    m_options.m_baseStepDuration + m_options.m_stepDurationPerSequence *
                                     static_cast<int64_t>(m_running.size());
  length += std::chrono::microseconds(int64_t(1'000'000) * prefilled /
                                      m_options.m_prefillTokensPerSecond);
  m_stepEnd += length;
}

void EngineModel::AdmitWaiting()
{
  while (!m_waiting.empty() && m_running.size() < m_options.m_slots) {
    Sequence& next = m_waiting.front();
    uint32_t tokens =
      next.m_request.m_promptTokens + next.m_generatedTokens + 1;
    uint32_t blocks = BlocksFor(tokens);
    if (blocks > m_options.m_kvBlocks - m_blocksUsed) {
      return;
    }
    uint32_t cached = MatchCachedPrefix(next.m_request);
    m_cacheHitTokens += cached;
    AllocateBlocks(blocks);
    Sequence sequence = std::move(next);
    m_waiting.pop_front();
    sequence.m_blocks = blocks;
    uint32_t tokensToCompute =
      sequence.m_request.m_promptTokens + sequence.m_generatedTokens;
    sequence.m_prefillTokensLeft = std::max<uint32_t>(
      1, tokensToCompute > cached ? tokensToCompute - cached : 0);
    m_running.push_back(std::move(sequence));
  }
}

uint32_t EngineModel::Prefill()
{
  uint32_t budget = m_options.m_maxPrefillTokensPerStep;
  for (Sequence& sequence : m_running) {
    uint32_t chunk = std::min(budget, sequence.m_prefillTokensLeft);
    sequence.m_prefillTokensLeft -= chunk;
    budget -= chunk;
  }
  return m_options.m_maxPrefillTokensPerStep - budget;
}

void EngineModel::Decode(Sequence& aSequence, std::vector<EngineEvent>& aEvents)
{
  const EngineRequest& request = aSequence.m_request;
  uint32_t tokens = request.m_promptTokens + aSequence.m_generatedTokens + 1;
  if (BlocksFor(tokens) > aSequence.m_blocks) {
    if (!AllocateBlocks(1)) {
      size_t victim = PickVictim();
      bool isSelf = &m_running[victim] == &aSequence;
      std::string id = request.m_id;
      Preempt(victim, aEvents);
      if (isSelf) {
        return;
      }
      auto at = std::find_if(
        m_running.begin(), m_running.end(), [&](const Sequence& aItem) {
          return aItem.m_request.m_id == id;
        });
      Decode(*at, aEvents);
      return;
    }
    ++aSequence.m_blocks;
  }
  aEvents.push_back({ EngineEventKind::Token,
                      request.m_id,
                      aSequence.m_generatedTokens,
                      m_stepEnd });
  ++aSequence.m_generatedTokens;
  if (aSequence.m_generatedTokens < request.m_outputTokens) {
    return;
  }
  aEvents.push_back({ EngineEventKind::Finished,
                      request.m_id,
                      aSequence.m_generatedTokens,
                      m_stepEnd });
  AddToCache(request);
  Release(aSequence);
  m_running.erase(m_running.begin() + (&aSequence - m_running.data()));
}

bool EngineModel::AllocateBlocks(uint32_t aCount)
{
  if (aCount > m_options.m_kvBlocks - m_blocksUsed) {
    return false;
  }
  m_blocksUsed += aCount;
  while (m_blocksUsed + m_cache.size() > m_options.m_kvBlocks) {
    EvictLeastRecentlyUsed();
  }
  return true;
}

/// Returns the index of the running sequence that is preempted first: of those
/// with the highest priority value, the one that arrived last.
size_t EngineModel::PickVictim() const
{
  size_t victim = 0;
  for (size_t i = 1; i < m_running.size(); ++i) {
    const Sequence& candidate = m_running[i];
    const Sequence& current = m_running[victim];
    bool isWorse =
      std::make_pair(candidate.m_request.m_priority, candidate.m_arrivalOrder) >
      std::make_pair(current.m_request.m_priority, current.m_arrivalOrder);
    victim = isWorse ? i : victim;
  }
  return victim;
}

void EngineModel::Preempt(size_t aIndex, std::vector<EngineEvent>& aEvents)
{
  Sequence sequence = std::move(m_running[aIndex]);
  m_running.erase(m_running.begin() + static_cast<ptrdiff_t>(aIndex));
  Release(sequence);
  ++m_preemptions;
  aEvents.push_back({ EngineEventKind::Preempted,
                      sequence.m_request.m_id,
                      sequence.m_generatedTokens,
                      m_stepEnd });
  InsertWaiting(std::move(sequence));
}

void EngineModel::Release(Sequence& aSequence)
{
  m_blocksUsed -= aSequence.m_blocks;
  aSequence.m_blocks = 0;
}

uint32_t EngineModel::MatchCachedPrefix(const EngineRequest& aRequest)
{
  uint32_t hits = 0;
  for (uint64_t block : aRequest.m_prefix) {
    auto at = m_cache.find(block);
    if (at == m_cache.end()) {
      break;
    }
    m_lruBlocks.splice(m_lruBlocks.begin(), m_lruBlocks, at->second);
    ++hits;
  }
  return std::min(hits * m_options.m_blockTokens, aRequest.m_promptTokens);
}

void EngineModel::AddToCache(const EngineRequest& aRequest)
{
  for (uint64_t block : aRequest.m_prefix) {
    if (m_cache.contains(block)) {
      continue;
    }
    m_lruBlocks.push_front(block);
    m_cache[block] = m_lruBlocks.begin();
    m_changes.m_added.push_back(block);
  }
  while (m_blocksUsed + m_cache.size() > m_options.m_kvBlocks) {
    EvictLeastRecentlyUsed();
  }
}

void EngineModel::EvictLeastRecentlyUsed()
{
  uint64_t block = m_lruBlocks.back();
  m_lruBlocks.pop_back();
  m_cache.erase(block);
  m_changes.m_removed.push_back(block);
}

CacheChanges EngineModel::TakeCacheChanges()
{
  CacheChanges changes = m_changes;
  m_changes.m_firstSequence +=
    m_changes.m_added.size() + m_changes.m_removed.size();
  m_changes.m_added.clear();
  m_changes.m_removed.clear();
  return changes;
}

} // namespace persimmontally
