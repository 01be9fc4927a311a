#ifndef PERSIMMONTALLY_ROUTING_COLDWORDS_H
#define PERSIMMONTALLY_ROUTING_COLDWORDS_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/ColdMessage.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace persimmontally {

/// What upstreams have announced about their coldness. Times are relative to
/// the receipt of a word, since hosts share no clock; a word that travels long
/// only prolongs the coldness.
class ColdWords
{
public:
  /// Deviation from the known end of the coldness up to which a later word is
  /// not sent to other hosts.
  static constexpr Duration kTolerance = milliseconds(200);

  enum class Result
  {
    Stale,
    /// Confirms what is known.
    Same,
    Changed
  };

  Result Record(Instant aNow, const ColdWord& aWord);
  /// Returns how much longer an incarnation stays cold; nothing if no word of
  /// it is known.
  std::optional<Duration> LeftOf(Instant aNow,
                                 const UpstreamId& aUpstream,
                                 uint64_t aIncarnation) const;
  /// Returns the known words, with the time that is left now.
  std::optional<ColdWord> Find(Instant aNow, const UpstreamId& aUpstream) const;
  std::vector<ColdWord> OfColdUpstreams(Instant aNow) const;
  /// Drops the words of upstreams for which `aIsKnown` returns false.
  void Retain(const std::function<bool(const UpstreamId&)>& aIsKnown);

private:
  struct Entry
  {
    uint64_t m_incarnation = 0;
    uint64_t m_sequence = 0;
    Instant m_until;
  };

  std::map<UpstreamId, Entry> m_entries;
};

} // namespace persimmontally

#endif
