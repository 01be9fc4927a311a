#ifndef PERSIMMONTALLY_ROUTING_POISONTABLE_H
#define PERSIMMONTALLY_ROUTING_POISONTABLE_H

#include "persimmontally/Wire/PoisonRow.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>

namespace persimmontally {

enum class PoisonVerdict
{
  Clean,
  Suspect,
  Quarantined
};

/// Uncleared upstream deaths after which a request is quarantined.
inline constexpr size_t kQuarantineDeaths = 2;

/// Returns a hash that identifies resends of a request, the same on every host.
uint64_t Fingerprint(std::string_view aAccount,
                     std::string_view aModel,
                     std::string_view aBody);

PoisonVerdict JudgePoison(const std::map<uint64_t, PoisonRow>& aRows,
                          uint64_t aFingerprint);

/// Returns the fingerprints that must run alone on an upstream.
std::set<uint64_t> PoisonSuspects(const std::map<uint64_t, PoisonRow>& aRows);

/// Returns a row in which all recorded deaths are cleared.
PoisonRow ClearPoison(const PoisonRow& aRow);

} // namespace persimmontally

#endif
