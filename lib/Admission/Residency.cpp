#include "persimmontally/Admission/Residency.h"

namespace persimmontally {

Residency::Residency(const std::vector<RegionId>& aFirst,
                     const std::vector<RegionId>& aSecond)
{
  for (const auto* list : { &aFirst, &aSecond }) {
    if (list->empty()) {
      continue;
    }
    std::set<RegionId> allowed(list->begin(), list->end());
    if (m_regions) {
      std::erase_if(allowed, [this](const RegionId& aRegion) {
        return !m_regions->contains(aRegion);
      });
    }
    m_regions = std::move(allowed);
  }
}

std::vector<RegionId> Residency::Regions() const
{
  return m_regions ? std::vector<RegionId>(m_regions->begin(), m_regions->end())
                   : std::vector<RegionId>();
}

} // namespace persimmontally
