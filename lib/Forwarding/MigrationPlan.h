// Decisions about migration by rescue copies. This code uses neither sockets
// nor clocks.

#ifndef PERSIMMONTALLY_LIB_FORWARDING_MIGRATIONPLAN_H
#define PERSIMMONTALLY_LIB_FORWARDING_MIGRATIONPLAN_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/LedgerMessage.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// Number of tokens that a generation produces between the notice of a reclaim
/// and the end of its engine (at least 1.5 s, at about 9 ms per token). A
/// generation with less output left need not migrate.
inline constexpr uint32_t kTokensPerNotice = 120;

/// Expected, maximum and current output of a generation.
struct OutputSize
{
  /// The caller's estimate; 0 if there is none.
  uint32_t m_expectedTokens = 0;
  uint32_t m_maxTokens = 0;
  uint32_t m_tokensSoFar = 0;

  bool operator==(const OutputSize&) const = default;
};

/// Returns whether a generation will likely run for longer than the notice of a
/// reclaim. A generation that has exceeded its estimate is assumed to reach its
/// maximum.
bool OutlastsNotice(const OutputSize& aSize);

/// Schedules the rescue copies of an engine that is being reclaimed. Copies
/// queue on the engine's link, so a generation that is stopped for its last
/// part would wait behind the full copies of others. Generations therefore
/// migrate one after another, in the order of the ledger, which all hosts
/// share. One whose host makes no progress delays the rest only by one
/// interval.
///
/// Load pattern: an engine with many generations is reclaimed at short notice.
class MigrationSchedule
{
public:
  /// Maximum time reserved for one generation: a copy of 4,000 tokens takes
  /// 0.3 s, its last part 0.06 s.
  static constexpr Duration kIntervalPerGeneration = milliseconds(350);

  /// Sets the upstreams that are being reclaimed at `aNow`.
  void Update(Instant aNow, const std::set<UpstreamId>& aLeaving);
  bool IsLeaving(const UpstreamId& aUpstream) const
  {
    return m_leavingSince.contains(aUpstream);
  }
  /// Whether the generations before `aKey` have left the engine, or their time
  /// has passed. `aRows` are the ledger's rows for the engine, in order.
  bool IsDue(Instant aNow,
             const UpstreamId& aUpstream,
             const std::string& aKey,
             const std::vector<LedgerRow>& aRows) const;

private:
  /// When each upstream was first reported as leaving.
  std::map<UpstreamId, Instant> m_leavingSince;
};

/// Decides when live migration stops a generation to copy its last part. After
/// the first round, each round copies little, so a long one must have queued
/// behind other copies on the link. Stopping the generation then would pause
/// its stream for as long. Another round shows whether the link has become
/// idle.
///
/// Load pattern: several generations migrate off an engine while new ones send
/// the KV memory of their prompts to backups over the same links.
class CopyRounds
{
public:
  /// Longest round that shows an idle link: a last part takes 5 to 60 ms on an
  /// idle link, a full copy at least 165 ms, and callers expect pauses below
  /// 180 ms.
  static constexpr Duration kMaxIdleLinkRound = milliseconds(90);
  /// Time after which the generation is stopped even if the link is busy: a
  /// reclaimed engine is gone 1.7 s after the notice, and other generations
  /// have to migrate before that.
  static constexpr Duration kMaxLiveCopyTime = milliseconds(900);

  explicit CopyRounds(Instant aStart)
    : m_startedAt(aStart)
    , m_roundAt(aStart)
  {
  }
  /// Records the end of a round. Returns true if the generation is to be
  /// stopped and its last part copied next, false for another round.
  bool OnRoundEnd(Instant aNow);
  size_t Rounds() const { return m_rounds; }

private:
  Instant m_startedAt;
  Instant m_roundAt;
  size_t m_rounds = 0;
};

} // namespace persimmontally

#endif
