#ifndef PERSIMMONTALLY_STANDIN_ENGINEMODEL_H
#define PERSIMMONTALLY_STANDIN_ENGINEMODEL_H

#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmontally {

struct EngineOptions
{
  uint32_t m_slots = 32;
  uint32_t m_kvBlocks = 4096;
  uint32_t m_blockTokens = 16;
  Duration m_baseStepDuration = milliseconds(20);
  /// Added to the duration of a step for each running sequence.
  Duration m_stepDurationPerSequence = std::chrono::microseconds(150);
  uint32_t m_prefillTokensPerSecond = 20000;
  /// Limit on the prompt tokens that one step processes.
  uint32_t m_maxPrefillTokensPerStep = 2048;
};

/// Request for one generation.
struct EngineRequest
{
  std::string m_id;
  uint32_t m_promptTokens = 0;
  /// Length of the output.
  uint32_t m_outputTokens = 0;
  /// Sequences with a lower value are admitted first and preempted last.
  int m_priority = 0;
  /// Hashes of the prompt's leading blocks, in order.
  std::vector<uint64_t> m_prefix;
};

enum class EngineEventKind
{
  Token,
  Finished,
  Preempted
};

struct EngineEvent
{
  EngineEventKind m_kind = EngineEventKind::Token;
  std::string m_id;
  /// Zero-based index of the token; for the other kinds the number of tokens
  /// generated so far.
  uint32_t m_index = 0;
  Instant m_at;
};

struct CacheChanges
{
  uint64_t m_firstSequence = 0;
  std::vector<uint64_t> m_added;
  std::vector<uint64_t> m_removed;
};

/// Simulated inference engine with continuous batching, KV memory of a fixed
/// number of blocks, a prefix cache in the blocks that no running sequence
/// uses, and preemption by recomputation if decoding needs a block and none is
/// free.
class EngineModel
{
public:
  explicit EngineModel(EngineOptions aOptions)
    : m_options(aOptions)
  {
  }

  void Submit(Instant aNow, EngineRequest aRequest);
  void Cancel(const std::string& aId);
  /// Runs all steps that end at or before `aNow` and returns their events.
  std::vector<EngineEvent> Advance(Instant aNow);
  /// Sets `aAt` to the end of the running step; returns false if the engine is
  /// idle.
  bool NextStepEnd(Instant& aAt) const;
  /// Simulates a stalled process: no step ends before `aUntil`.
  void StallUntil(Instant aUntil) { m_stallUntil = aUntil; }

  size_t Running() const { return m_running.size(); }
  size_t Waiting() const { return m_waiting.size(); }
  /// Returns the number of blocks of running sequences. Cached blocks do not
  /// count, since they can be evicted.
  uint32_t BlocksUsed() const { return m_blocksUsed; }
  uint64_t Preemptions() const { return m_preemptions; }
  uint64_t CacheHitTokens() const { return m_cacheHitTokens; }
  /// Returns the changes of the prefix cache since the last call.
  CacheChanges TakeCacheChanges();
  const EngineOptions& Options() const { return m_options; }

private:
  struct Sequence
  {
    EngineRequest m_request;
    uint32_t m_generatedTokens = 0;
    uint32_t m_prefillTokensLeft = 0;
    uint32_t m_blocks = 0;
    uint64_t m_arrivalOrder = 0;
  };

  void CompleteStep(std::vector<EngineEvent>& aEvents);
  void AdmitWaiting();
  uint32_t Prefill();
  void Decode(Sequence& aSequence, std::vector<EngineEvent>& aEvents);
  bool AllocateBlocks(uint32_t aCount);
  void Preempt(size_t aIndex, std::vector<EngineEvent>& aEvents);
  size_t PickVictim() const;
  void Release(Sequence& aSequence);
  uint32_t MatchCachedPrefix(const EngineRequest& aRequest);
  void AddToCache(const EngineRequest& aRequest);
  void EvictLeastRecentlyUsed();
  uint32_t BlocksFor(uint32_t aTokens) const;
  void InsertWaiting(Sequence aSequence);

  EngineOptions m_options;
  std::vector<Sequence> m_running;
  /// Sorted by priority, then by order of arrival.
  std::deque<Sequence> m_waiting;
  uint32_t m_blocksUsed = 0;
  std::list<uint64_t> m_lruBlocks;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_cache;
  CacheChanges m_changes;
  Instant m_stepEnd;
  Instant m_stallUntil;
  bool m_isStepRunning = false;
  uint64_t m_nextArrivalOrder = 0;
  uint64_t m_preemptions = 0;
  uint64_t m_cacheHitTokens = 0;
};

} // namespace persimmontally

#endif
