#include "persimmontally/Routing/Eligibility.h"

namespace persimmontally {

std::string_view ToString(Exclusion aExclusion)
{
  switch (aExclusion) {
    case Exclusion::Residency:
      return "residency";
    case Exclusion::Evacuation:
      return "evacuation";
  }
  return "unknown";
}

std::optional<Exclusion> Eligibility::Check(const Residency& aResidency,
                                            const UpstreamRow& aUpstream) const
{
  if (!aResidency.Allows(aUpstream.m_region)) {
    return Exclusion::Residency;
  }
  if (m_evacuated.contains(aUpstream.m_dataCentre)) {
    return Exclusion::Evacuation;
  }
  return std::nullopt;
}

} // namespace persimmontally
