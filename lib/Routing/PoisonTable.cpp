#include "persimmontally/Routing/PoisonTable.h"

#include "persimmontally/Support/Crypto.h"

#include <algorithm>
#include <string>

namespace persimmontally {

uint64_t Fingerprint(std::string_view aAccount,
                     std::string_view aModel,
                     std::string_view aBody)
{
  std::string text(aAccount);
  text.append(1, '\0').append(aModel).append(1, '\0').append(aBody);
  return StableHash(text);
}

static size_t UnclearedDeaths(const PoisonRow& aRow)
{
  return static_cast<size_t>(std::count_if(
    aRow.m_deaths.begin(), aRow.m_deaths.end(), [&](const std::string& aDeath) {
      return !aRow.m_cleared.contains(aDeath);
    }));
}

PoisonVerdict JudgePoison(const std::map<uint64_t, PoisonRow>& aRows,
                          uint64_t aFingerprint)
{
  auto at = aRows.find(aFingerprint);
  size_t deaths = at == aRows.end() ? 0 : UnclearedDeaths(at->second);
  if (deaths >= kQuarantineDeaths) {
    return PoisonVerdict::Quarantined;
  }
  return deaths > 0 ? PoisonVerdict::Suspect : PoisonVerdict::Clean;
}

std::set<uint64_t> PoisonSuspects(const std::map<uint64_t, PoisonRow>& aRows)
{
  std::set<uint64_t> suspects;
  for (const auto& [fingerprint, row] : aRows) {
    if (UnclearedDeaths(row) > 0) {
      suspects.insert(fingerprint);
    }
  }
  return suspects;
}

PoisonRow ClearPoison(const PoisonRow& aRow)
{
  PoisonRow row = aRow;
  row.m_cleared = row.m_deaths;
  return row;
}

} // namespace persimmontally
