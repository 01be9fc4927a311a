#ifndef PERSIMMONTALLY_ROUTING_CRASHEVIDENCE_H
#define PERSIMMONTALLY_ROUTING_CRASHEVIDENCE_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/PoisonRow.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmontally {

/// What requests can have in common when they crash upstreams: the parts of
/// their prompts that others may share, and the request as a whole.
struct CrashKeys
{
  std::vector<uint64_t> m_parts;
  uint64_t m_request = 0;

  bool operator==(const CrashKeys&) const = default;
};

/// Returns the key of a part of a prompt, the same on every host.
uint64_t PromptPartKey(std::string_view aPart);

/// A request that an upstream was running when it died.
struct CrashSuspect
{
  CrashKeys m_keys;
  /// Whether the upstream had begun to respond to it. A request that was only
  /// being read is the weaker suspect.
  bool m_hasBegun = false;
};

/// Local view of the evidence that hosts share.
struct PoisonView
{
  const std::map<uint64_t, PoisonRow>& m_rows;
  /// When the local row last changed, by fingerprint.
  const std::map<uint64_t, Instant>& m_changedAt;
};

/// Finds out which requests crash upstreams, by what those have in common that
/// upstreams ran when they died. A request that receives `kSoundEvents` events
/// or a whole response proves that all of its parts are sound, and voids the
/// evidence against them on all hosts. Parts with enough evidence are
/// quarantined, until a single request that is let through as a trial succeeds.
/// Trials become rarer while they fail.
///
/// Load pattern: one shared part of a prompt crashes every engine that begins
/// to respond, in requests that are otherwise all different and reach any host;
/// others share its caller and its remaining parts. Ordinary crashes hit
/// requests at random, several engines at once.
class CrashEvidence
{
public:
  /// Evidence by one death. Deaths within `kDeathSpacing` count once: an
  /// ordinary fault can end many upstreams together.
  static constexpr uint32_t kStrikesIfBegun = 2;
  static constexpr uint32_t kStrikesIfRead = 1;
  static constexpr Duration kDeathSpacing = milliseconds(500);
  /// Evidence at which a key is quarantined: two deaths of requests that had
  /// begun.
  static constexpr uint32_t kQuarantineStrikes = 4;
  /// The same for a part that this host has seen in a sound request.
  static constexpr uint32_t kQuarantineStrikesIfSound = 6;
  /// Events after which a request counts as sound.
  static constexpr uint32_t kSoundEvents = 4;
  /// Time from the last evidence or trial until the first trial; doubles with
  /// each trial, up to `kMaxTrialDelay`.
  static constexpr Duration kTrialDelay = seconds(30);
  static constexpr Duration kMaxTrialDelay = std::chrono::hours(1);
  /// Number of sound parts that are remembered, those seen last.
  static constexpr size_t kMaxSoundParts = 4096;

  /// Records that a request is sound. Returns the rows that become void.
  std::vector<PoisonRow> RecordSound(const PoisonView& aView,
                                     const CrashKeys& aKeys);
  /// Records the death of an upstream. Parts that are known to be sound are
  /// suspects only if all parts of the request are. Returns the rows that
  /// change.
  std::vector<PoisonRow> RecordDeath(
    Instant aNow,
    const PoisonView& aView,
    const std::string& aDeath,
    const std::vector<CrashSuspect>& aSuspects);

  /// Returns the quarantined keys of a request.
  std::vector<uint64_t> Quarantined(const PoisonView& aView,
                                    const CrashKeys& aKeys) const;
  /// Returns when the next trial of a quarantined key is due.
  static Instant TrialDueAt(const PoisonView& aView, uint64_t aKey);
  /// Returns whether this host has seen all parts of a request in sound ones.
  bool AreAllPartsSound(const CrashKeys& aKeys) const;

private:
  bool IsSound(uint64_t aPart) const { return m_soundParts.contains(aPart); }
  void Remember(uint64_t aPart);

  /// The part seen last comes first.
  std::list<uint64_t> m_soundOrder;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_soundParts;
};

} // namespace persimmontally

#endif
