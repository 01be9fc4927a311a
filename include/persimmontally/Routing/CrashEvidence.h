#ifndef PERSIMMONTALLY_ROUTING_CRASHEVIDENCE_H
#define PERSIMMONTALLY_ROUTING_CRASHEVIDENCE_H

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
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

/// Returns the key of a part of the prompts for a service, the same on every
/// host.
uint64_t PromptPartKey(std::string_view aService, std::string_view aPart);
/// Returns the key of a request to a service as a whole.
uint64_t RequestKey(std::string_view aService,
                    std::string_view aAccount,
                    std::string_view aTarget,
                    std::string_view aBody);

/// A request that an upstream was running when it died.
struct CrashSuspect
{
  CrashKeys m_keys;
  /// Whether the upstream had begun to respond to it. A request that was only
  /// being read is the weaker suspect.
  bool m_hasBegun = false;
  /// Whether the response comes as a whole, so that its beginning cannot be
  /// seen.
  bool m_isWhole = false;
  /// Whether the request was sent after another upstream had broken it off.
  bool m_isResent = false;
  Instant m_sentAt{};
};

/// Bounded set that keeps the keys added last.
class RecentKeys
{
public:
  explicit RecentKeys(size_t aLimit)
    : m_limit(aLimit)
  {
  }

  void Add(uint64_t aKey);
  bool Contains(uint64_t aKey) const { return m_positions.contains(aKey); }

private:
  size_t m_limit;
  /// The key added last comes first.
  std::list<uint64_t> m_order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_positions;
};

/// Local view of the evidence that hosts share.
struct PoisonView
{
  const std::map<uint64_t, PoisonRow>& m_rows;
  const std::map<uint64_t, PoisonTimes>& m_times;
};

/// Finds out which requests crash upstreams, by what those have in common that
/// upstreams ran when they died. A request that receives `kSoundEvents` events
/// proves that all of its parts are sound, and one that is complete also that
/// it is sound as a whole; that voids the evidence against them on all hosts.
/// Parts with enough evidence are quarantined until a trial succeeds: a single
/// request that is sent in spite of the quarantine. The time between trials
/// grows with each that fails.
///
/// Load pattern: one shared part of a prompt crashes every engine that begins
/// to respond, in requests that are otherwise all different and reach any host;
/// others share its caller and its remaining parts. Or one request crashes each
/// of the few upstreams of a service within milliseconds, by its retries, and
/// returns unchanged. Ordinary crashes hit requests at random, several
/// upstreams at once.
class CrashEvidence
{
public:
  /// Evidence by one death. Deaths within `kDeathSpacing` count once: an
  /// ordinary fault can end many upstreams together. For a request as a whole
  /// they count in full if it was sent to the second upstream after the first
  /// had died.
  static constexpr uint32_t kStrikesIfBegun = 2;
  static constexpr uint32_t kStrikesIfRead = 1;
  static constexpr Duration kDeathSpacing = milliseconds(500);
  /// Evidence at which a key is quarantined: two deaths of requests that had
  /// begun.
  static constexpr uint32_t kQuarantineStrikes = 4;
  /// The same for a part that any host has seen in a sound request, and for a
  /// request that was sound before.
  static constexpr uint32_t kQuarantineStrikesIfSound = 8;
  /// Events after which the parts of a request count as sound.
  static constexpr uint32_t kSoundEvents = 4;
  /// Minimum time between two trials, and from the last evidence to a trial.
  /// Grows by `kTrialDelayFactor` with each death after the quarantine began,
  /// up to `kMaxTrialDelay`.
  static constexpr Duration kTrialDelay = seconds(20);
  static constexpr int kTrialDelayFactor = 4;
  static constexpr Duration kMaxTrialDelay = std::chrono::hours(1);
  /// Replaces `kTrialDelay` for a request with only one of two keys that have
  /// the same deaths: its result decides between the two.
  static constexpr Duration kDecidingTrialDelay = seconds(2);
  /// Number of hosts that may start a trial which is due, drawn at random in a
  /// larger fleet. Bounds the trials that start before the other hosts are
  /// notified of the first.
  static constexpr size_t kTrialHosts = 30;
  /// Number of sound parts, and of sound requests, that are remembered, those
  /// seen last.
  static constexpr size_t kMaxSoundParts = 4096;
  static constexpr size_t kMaxSoundRequests = 1024;

  /// Records that a request is complete. Returns the rows that become void.
  std::vector<PoisonRow> RecordSound(const PoisonView& aView,
                                     const CrashKeys& aKeys);
  /// The same for the parts of a request that is not yet complete.
  std::vector<PoisonRow> RecordSoundParts(const PoisonView& aView,
                                          const std::vector<uint64_t>& aParts);
  /// Records the death of an upstream. Returns the rows that change.
  std::vector<PoisonRow> RecordDeath(
    Instant aNow,
    const PoisonView& aView,
    const std::string& aDeath,
    const std::vector<CrashSuspect>& aSuspects);

  /// Returns the quarantined keys of a request. A key whose deaths are all
  /// explained by another one with more evidence is not quarantined.
  std::vector<uint64_t> Quarantined(const PoisonView& aView,
                                    const CrashKeys& aKeys) const;
  /// Returns when a request with these quarantined keys may be the next trial.
  Instant TrialDueAt(const PoisonView& aView,
                     const std::vector<uint64_t>& aQuarantined) const;
  /// Returns whether there is evidence against a request as a whole.
  bool IsSuspect(const PoisonView& aView, const CrashKeys& aKeys) const;
  /// Returns whether all parts of a request were seen in sound ones.
  bool AreAllPartsSound(const PoisonView& aView, const CrashKeys& aKeys) const;
  /// Returns the row of a suspected part or request, vouched for by this host;
  /// nothing if this host cannot vouch for it or another one already has.
  std::optional<PoisonRow> Vouch(const PoisonView& aView, uint64_t aKey) const;

private:
  enum class Rival
  {
    Stronger,
    Equal
  };

  bool IsSound(const PoisonView& aView, uint64_t aKey) const;
  uint32_t QuarantineLimit(const PoisonView& aView, uint64_t aKey) const;
  bool HasQuarantineEvidence(const PoisonView& aView,
                             const PoisonRow& aRow) const;
  /// Returns whether another quarantined key has all deaths of a row, and more
  /// or equal evidence.
  bool HasRival(const PoisonView& aView,
                const PoisonRow& aRow,
                Rival aRival) const;

  RecentKeys m_soundParts{ kMaxSoundParts };
  RecentKeys m_soundRequests{ kMaxSoundRequests };
};

} // namespace persimmontally

#endif
