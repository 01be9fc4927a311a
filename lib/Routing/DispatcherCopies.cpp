// Selection of engines for copies of running generations.

#include "persimmontally/Routing/Dispatcher.h"

#include <algorithm>

namespace persimmontally {

/// Returns 0 within a data centre, 1 within a region, 2 across regions.
static int DistanceOf(const UpstreamRow& aLeft, const UpstreamRow& aRight)
{
  if (aLeft.m_dataCentre == aRight.m_dataCentre) {
    return 0;
  }
  return aLeft.m_region == aRight.m_region ? 1 : 2;
}

bool Dispatcher::MayCopyTo(Instant aNow,
                           const UpstreamEntry& aEntry,
                           const Residency& aResidency) const
{
  return !IsLimited(aEntry.m_row) && UpstreamTable::TakesWork(aNow, aEntry) &&
         !m_eligibility.Check(aResidency, aEntry.m_row);
}

UpstreamId Dispatcher::PickCopyTarget(Instant aNow,
                                      const UpstreamTable& aTable,
                                      const Ticket& aTicket,
                                      const UpstreamRow& aSource,
                                      CopyPurpose aPurpose,
                                      double aMaxMemoryUse)
{
  Pool& pool = m_pools[PoolKeyOf(aTicket)];
  ListUpstreams(aNow, aTable, aTicket, pool);
  Occupancy demand = DemandOf(aTicket);
  Ticket ticket = aTicket;
  int maxDistance = 0;
  if (aPurpose == CopyPurpose::Rescue) {
    ticket.m_rank = Rank::Urgent;
    maxDistance = 1;
  }
  UpstreamId best;
  std::pair<int, double> least(maxDistance, 0);
  const HomeList& homes = HomesOf(aNow, pool, ticket.m_residency);
  for (const UpstreamEntry* entry : homes.m_upstreams) {
    const UpstreamRow& row = entry->m_row;
    int distance = DistanceOf(row, aSource);
    bool isCandidate = distance <= least.first &&
                       MayCopyTo(aNow, *entry, ticket.m_residency) &&
                       !ticket.m_excluded.contains(row.m_id);
    if (!isCandidate ||
        !HasCapacity(
          aNow, *entry, pool, ticket, demand, pool.m_upstreams.size())) {
      continue;
    }
    Occupancy sum = RefreshOccupancy(aNow, row.m_id);
    sum += demand;
    double use = ForecastPeak(m_options.m_forecast, sum) /
                 std::max(1.0, row.KvMemoryTokens());
    if (use > aMaxMemoryUse) {
      continue;
    }
    // The generation goes on there, or may have to.
    double excess = m_paces.ExcessOf(row.m_id, aTicket.m_pauseObjective);
    std::pair<int, double> cost(distance, use + excess);
    if (best.Empty() || cost <= least) {
      least = cost;
      best = row.m_id;
    }
  }
  return best;
}

} // namespace persimmontally
