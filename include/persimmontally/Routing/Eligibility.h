#ifndef PERSIMMONTALLY_ROUTING_ELIGIBILITY_H
#define PERSIMMONTALLY_ROUTING_ELIGIBILITY_H

#include "persimmontally/Admission/Residency.h"
#include "persimmontally/Wire/UpstreamRow.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

namespace persimmontally {

/// Why a request may not use an upstream, whatever the load.
enum class Exclusion : uint8_t
{
  /// The upstream is in a region outside the request's residency.
  Residency,
  /// The upstream's data centre is being evacuated.
  Evacuation,
};

/// Returns the name of an exclusion, for logs.
std::string_view ToString(Exclusion aExclusion);

/// Decides which upstreams a request may use, whatever their load. Each path
/// that sends a request or a copy of its data to an upstream asks it.
class Eligibility
{
public:
  void SetEvacuated(std::set<DataCentreId> aDataCentres)
  {
    m_evacuated = std::move(aDataCentres);
  }
  const std::set<DataCentreId>& Evacuated() const { return m_evacuated; }

  /// Returns why a request may not use an upstream; nothing if it may.
  std::optional<Exclusion> Check(const Residency& aResidency,
                                 const UpstreamRow& aUpstream) const;

private:
  std::set<DataCentreId> m_evacuated;
};

} // namespace persimmontally

#endif
