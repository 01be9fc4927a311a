// The rate of placements and the wait of a new request that follows from it.

#include "persimmontally/Routing/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

/// Time constant of the exponentially decayed placement rate.
static constexpr double kDrainTimeConstantSeconds = 10;
/// Backlogged time below which the rate is too uncertain to refuse requests.
static constexpr double kMinDrainSeconds = 0.5;
/// Upper bound of the wait reported to a caller.
static constexpr double kMaxWaitSeconds = 120;

void Dispatcher::UpdateDrainRate(Instant aNow, Pool& aPool)
{
  double elapsed = ToSeconds(aNow - aPool.m_tickedAt);
  bool isFirst = aPool.m_tickedAt == Instant();
  aPool.m_tickedAt = aNow;
  for (const FairQueue& queue : aPool.m_queues) {
    for (const Residency& residency : queue.Residencies()) {
      aPool.m_drains.try_emplace(residency);
    }
  }
  double decay = std::exp(-elapsed / kDrainTimeConstantSeconds);
  for (auto& [residency, drain] : aPool.m_drains) {
    for (size_t rank = 0; rank < kRanks.size(); ++rank) {
      uint32_t granted = std::exchange(drain.m_grantedInTick[rank], 0);
      // A tick that starts with a backlog counts, even if it drains the queue.
      bool wasBacklogged = std::exchange(
        drain.m_wasBacklogged[rank], aPool.m_queues[rank].Size(residency) > 0);
      if (!wasBacklogged || isFirst) {
        continue;
      }
      DrainRate& rate = drain.m_rates[rank];
      rate.m_grants = rate.m_grants * decay + granted;
      rate.m_seconds = rate.m_seconds * decay + elapsed;
    }
  }
}

Duration Dispatcher::ExpectedWait(const Ticket& aTicket) const
{
  auto at = m_pools.find(PoolKeyOf(aTicket));
  if (at == m_pools.end()) {
    return Duration(0);
  }
  auto rank = static_cast<size_t>(aTicket.m_rank);
  // Under fair queueing, each queued ticket of the account is preceded by at
  // most one ticket of every other account with queued tickets. Tickets with
  // another residency use other upstreams.
  const FairQueue& queue = at->second.m_queues[rank];
  const Residency& residency = aTicket.m_residency;
  size_t accounts = std::max<size_t>(1, queue.BackloggedAccounts(residency));
  size_t ahead =
    std::min(queue.Size(residency),
             queue.SizeOf(aTicket.m_account, residency) * accounts);
  auto known = at->second.m_drains.find(residency);
  if (ahead == 0 || known == at->second.m_drains.end()) {
    return Duration(0);
  }
  const DrainRate& drain = known->second.m_rates[rank];
  if (drain.m_seconds < kMinDrainSeconds) {
    return Duration(0);
  }
  double rate = std::max(drain.m_grants, 0.1) / drain.m_seconds;
  double wait = std::min(static_cast<double>(ahead) / rate, kMaxWaitSeconds);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(wait));
}

} // namespace persimmontally
