#ifndef PERSIMMONTALLY_ADMISSION_RESIDENCY_H
#define PERSIMMONTALLY_ADMISSION_RESIDENCY_H

#include "persimmontally/Support/Ids.h"

#include <optional>
#include <set>
#include <vector>

namespace persimmontally {

/// Regions in which a request may be served and its data may be stored.
class Residency
{
public:
  /// Allows all regions.
  Residency() = default;
  /// Allows the regions that both lists allow; an empty list allows all.
  Residency(const std::vector<RegionId>& aFirst,
            const std::vector<RegionId>& aSecond);

  bool Allows(const RegionId& aRegion) const
  {
    return !m_regions || m_regions->contains(aRegion);
  }
  bool IsRestricted() const { return m_regions.has_value(); }
  /// The allowed regions; none unless the residency is restricted.
  std::vector<RegionId> Regions() const;

  auto operator<=>(const Residency&) const = default;

private:
  /// Empty if all regions are allowed.
  std::optional<std::set<RegionId>> m_regions;
};

} // namespace persimmontally

#endif
