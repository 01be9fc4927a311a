// Placement while data centres are evacuated.

#include "persimmontally/Routing/Dispatcher.h"

namespace persimmontally {

void Dispatcher::SetEvacuated(std::set<DataCentreId> aDataCentres)
{
  m_eligibility.SetEvacuated(std::move(aDataCentres));
  for (auto& [key, pool] : m_pools) {
    pool.m_listedAt = Instant();
  }
}

} // namespace persimmontally
