// Placement within the rate limits that upstreams name, and those of cold ones.

#include "persimmontally/Routing/Dispatcher.h"

#include <algorithm>
#include <set>

namespace persimmontally {

bool Dispatcher::MaySend(Instant aNow, const UpstreamRow& aRow) const
{
  for (const RateLimits* limits : { m_rateLimits, m_coldPermits }) {
    if (limits != nullptr &&
        !limits->MaySend(aNow, aRow.m_id, aRow.m_incarnation)) {
      return false;
    }
  }
  return true;
}

bool Dispatcher::IsLimited(const UpstreamRow& aRow) const
{
  for (const RateLimits* limits : { m_rateLimits, m_coldPermits }) {
    if (limits != nullptr && limits->IsLimited(aRow.m_id, aRow.m_incarnation)) {
      return true;
    }
  }
  return false;
}

std::optional<Duration> Dispatcher::DeniedFor(Instant aNow,
                                              const UpstreamRow& aRow,
                                              Rank aRank) const
{
  std::optional<Duration> longest;
  for (const RateLimits* limits : { m_rateLimits, m_coldPermits }) {
    if (limits != nullptr) {
      longest = std::max(longest, limits->DeniedFor(aNow, aRow.m_id, aRank));
    }
  }
  return longest;
}

void Dispatcher::DeferCold(Instant aNow,
                           std::vector<const UpstreamEntry*>& aEntries) const
{
  if (m_coldPermits == nullptr || m_options.m_candidates == 0) {
    return;
  }
  auto cold = std::stable_partition(
    aEntries.begin(), aEntries.end(), [&](const UpstreamEntry* aEntry) {
      const UpstreamRow& row = aEntry->m_row;
      return m_coldPermits->MaySend(aNow, row.m_id, row.m_incarnation);
    });
  auto last =
    aEntries.begin() + static_cast<ptrdiff_t>(m_options.m_candidates) - 1;
  if (cold != aEntries.end() && cold > last) {
    std::iter_swap(last, cold);
  }
}

void Dispatcher::KeepRateLimits(Instant aNow,
                                const Ticket& aTicket,
                                std::vector<const UpstreamEntry*>& aEntries,
                                std::vector<PlacementView>& aViews,
                                std::vector<double>& aScores)
{
  if (m_rateLimits == nullptr && m_coldPermits == nullptr) {
    return;
  }
  auto maySend = [&](size_t aIndex) {
    return MaySend(aNow, aEntries[aIndex]->m_row);
  };
  auto isColdBlocked = [&](const UpstreamRow& aRow) {
    return m_coldPermits != nullptr &&
           !m_coldPermits->MaySend(aNow, aRow.m_id, aRow.m_incarnation);
  };
  std::optional<size_t> best;
  for (size_t i = 0; i < aEntries.size(); ++i) {
    bool isDenied =
      !maySend(i) && DeniedFor(aNow, aEntries[i]->m_row, aTicket.m_rank);
    if (!isDenied && (!best || aScores[i] < aScores[*best])) {
      best = i;
    }
  }
  // Tickets of peers, for which capacity is only set aside, are not queued.
  if (best && !maySend(*best) && m_poolOf.contains(aTicket.m_id)) {
    const UpstreamRow& row = aEntries[*best]->m_row;
    for (RateLimits* limits : { m_rateLimits, m_coldPermits }) {
      if (limits != nullptr &&
          !limits->MaySend(aNow, row.m_id, row.m_incarnation)) {
        limits->Want(aNow, aTicket, row.m_id);
      }
    }
  }
  bool isDetour = best && isColdBlocked(aEntries[*best]->m_row);
  size_t kept = 0;
  for (size_t i = 0; i < aEntries.size(); ++i) {
    if (maySend(i)) {
      aEntries[kept] = aEntries[i];
      aViews[kept] = aViews[i];
      aScores[kept] = aScores[i];
      ++kept;
    }
  }
  m_coldDetours += isDetour && kept > 0 ? 1 : 0;
  aEntries.resize(kept);
  aViews.resize(kept);
  aScores.resize(kept);
}

void Dispatcher::RefuseDenied(Instant aNow,
                              Pool& aPool,
                              std::vector<DispatchAction>& aActions)
{
  if (m_rateLimits == nullptr && m_coldPermits == nullptr) {
    return;
  }
  std::set<Residency> residencies;
  for (const FairQueue& queue : aPool.m_queues) {
    for (const Residency& residency : queue.Residencies()) {
      residencies.insert(residency);
    }
  }
  for (const Residency& residency : residencies) {
    RefuseDenied(aNow, aPool, residency, aActions);
  }
}

void Dispatcher::RefuseDenied(Instant aNow,
                              Pool& aPool,
                              const Residency& aResidency,
                              std::vector<DispatchAction>& aActions)
{
  const std::vector<const UpstreamEntry*>& upstreams =
    HomesOf(aNow, aPool, aResidency).m_upstreams;
  if (upstreams.empty()) {
    return;
  }
  size_t expected = 0;
  for (const UpstreamEntry* entry : upstreams) {
    const UpstreamRow& row = entry->m_row;
    if (MaySend(aNow, row)) {
      return;
    }
    for (const RateLimits* limits : { m_rateLimits, m_coldPermits }) {
      expected += limits != nullptr ? limits->Expected(aNow, row.m_id) : 0;
    }
  }
  size_t queued = 0;
  for (const FairQueue& queue : aPool.m_queues) {
    queued += queue.Size(aResidency);
  }
  for (Rank rank : { Rank::Routine, Rank::Urgent }) {
    Duration delay{ 0 };
    bool areAllDenied = true;
    for (const UpstreamEntry* entry : upstreams) {
      auto denied = DeniedFor(aNow, entry->m_row, rank);
      areAllDenied = areAllDenied && denied;
      delay = std::max(delay, denied.value_or(delay));
    }
    FairQueue& queue = QueueOf(aPool, rank);
    for (; areAllDenied && queued > expected && queue.Size(aResidency) > 0;
         --queued) {
      Ticket ticket = queue.TakeNewest(aResidency);
      UncountQueued(ticket);
      Refusal refusal =
        RefusalBuilder(ErrorKind::Overloaded,
                       "the rate limits of the upstreams are used up")
          .WithRetryAfter(
            (m_rateLimits != nullptr ? m_rateLimits : m_coldPermits)
              ->SpreadRetryDelay(delay))
          .Build();
      aActions.push_back(DispatchRefusal{ std::move(ticket), refusal });
    }
  }
}

} // namespace persimmontally
