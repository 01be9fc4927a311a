// Decisions on generations that leave an engine by a copy; no sockets, no
// clocks.

#ifndef PERSIMMONTALLY_LIB_FORWARDING_MOVEPLAN_H
#define PERSIMMONTALLY_LIB_FORWARDING_MOVEPLAN_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/LedgerMessage.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// Output that an engine makes while a notice of its reclaim runs (1.5 s and
/// more, at about 9 ms a token): what ends sooner need not move.
inline constexpr uint32_t kTokensWithinNotice = 120;

/// How much output a generation is expected to have, and has.
struct OutputSize
{
  /// The caller's estimate; 0 without one.
  uint32_t m_expectedTokens = 0;
  uint32_t m_maxTokens = 0;
  uint32_t m_tokensSoFar = 0;

  bool operator==(const OutputSize&) const = default;
};

/// Whether a generation will likely run for longer than the notice that an
/// engine gives. One that has outrun its estimate counts with its maximum:
/// nothing better is known of it.
bool OutlastsNotice(const OutputSize& aSize);

/// Order in which generations leave an engine by a copy. Copies queue on the
/// engine's link, and a generation that was stopped for its last part waits
/// behind the whole copies of others: so they go one after the other, in the
/// order of the ledger, which all hosts share. One whose host does not get on
/// holds up the rest only for the time of its turn.
///
/// Load pattern: an engine with many generations is reclaimed at short notice.
class MoveTurns
{
public:
  /// Longest turn: a copy of 4,000 tokens took 0.3 s on the links of the
  /// engines that were measured, its last part 0.06 s.
  static constexpr Duration kTurn = milliseconds(350);

  /// Sets which upstreams leave at present.
  void Update(Instant aNow, const std::set<UpstreamId>& aLeaving);
  bool IsLeaving(const UpstreamId& aUpstream) const
  {
    return m_leavingSince.contains(aUpstream);
  }
  /// Whether the generations before `aKey` have left the engine, or have had
  /// the time for it. `aRows` is what the ledger has on the engine, in order.
  bool IsTurnOf(Instant aNow,
                const UpstreamId& aUpstream,
                const std::string& aKey,
                const std::vector<LedgerRow>& aRows) const;

private:
  /// When each leaving upstream was first seen to leave.
  std::map<UpstreamId, Instant> m_leavingSince;
};

/// Rounds of the copy of one generation that runs meanwhile. What was made
/// since the round before is small, so a round that took long waited behind
/// other copies on the link: stopping the generation then would make its caller
/// wait as long. Another round shows whether the link has become quiet.
///
/// Load pattern: several generations leave an engine, and new ones send their
/// prompts to their backups, over the same links.
class CopyRounds
{
public:
  /// A round up to this long says that the link is quiet: a last part on a
  /// quiet link took 5 to 60 ms, a whole copy 165 ms and more, and callers
  /// count on pauses under 180 ms.
  static constexpr Duration kQuietRound = milliseconds(90);
  /// Time after which the generation is stopped all the same: an engine that
  /// is reclaimed is gone 1.7 s after the notice, and others wait their turn.
  static constexpr Duration kMostTime = milliseconds(900);

  explicit CopyRounds(Instant aStart)
    : m_startedAt(aStart)
    , m_roundAt(aStart)
  {
  }
  /// Notes that a round has ended; true if the generation is to be stopped and
  /// its last part copied next, false for one more round.
  bool OnCopied(Instant aNow);
  size_t Rounds() const { return m_rounds; }

private:
  Instant m_startedAt;
  Instant m_roundAt;
  size_t m_rounds = 0;
};

} // namespace persimmontally

#endif
