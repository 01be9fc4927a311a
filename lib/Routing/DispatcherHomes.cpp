// The upstreams in the residencies of queued tickets.

#include "persimmontally/Routing/Dispatcher.h"

#include <algorithm>

namespace persimmontally {

/// Retry delays suggested for tickets without an upstream in their residency:
/// an upstream that has crashed is back, or replaced, within seconds, while
/// regions without any get one at a release.
static constexpr Duration kRetryAfterNoneServing = seconds(1);
static constexpr Duration kRetryAfterNoneKnown = seconds(5);

std::string_view ToString(NoHome aReason)
{
  switch (aReason) {
    case NoHome::NoRegion:
      return "no_region";
    case NoHome::NoneKnown:
      return "none_known";
    case NoHome::NoneServing:
      return "none_serving";
    case NoHome::Evacuated:
      return "evacuated";
  }
  return "unknown";
}

Dispatcher::HomeList Dispatcher::ListHomes(const Pool& aPool,
                                           const Residency& aResidency) const
{
  HomeList homes;
  bool isEvacuated = false;
  auto addAllowed = [&](const std::vector<const UpstreamEntry*>& aEntries) {
    for (const UpstreamEntry* entry : aEntries) {
      auto exclusion = m_eligibility.Check(aResidency, entry->m_row);
      if (!exclusion) {
        homes.m_upstreams.push_back(entry);
      }
      homes.m_excluded += exclusion == Exclusion::Residency ? 1 : 0;
      isEvacuated = isEvacuated || exclusion == Exclusion::Evacuation;
    }
  };
  addAllowed(aPool.m_upstreams);
  if (homes.m_upstreams.empty()) {
    addAllowed(aPool.m_outside);
  }
  if (!homes.m_upstreams.empty()) {
    return homes;
  }
  addAllowed(aPool.m_evacuated);
  bool isKnown = std::any_of(
    aPool.m_idle.begin(), aPool.m_idle.end(), [&](const auto* aEntry) {
      return aResidency.Allows(aEntry->m_row.m_region);
    });
  homes.m_noHome = isEvacuated                    ? NoHome::Evacuated
                   : isKnown                      ? NoHome::NoneServing
                   : aResidency.Regions().empty() ? NoHome::NoRegion
                                                  : NoHome::NoneKnown;
  return homes;
}

const Dispatcher::HomeList& Dispatcher::HomesOf(Instant aNow,
                                                Pool& aPool,
                                                const Residency& aResidency)
{
  auto [at, isNew] = aPool.m_homes.try_emplace(aResidency);
  if (!isNew) {
    return at->second;
  }
  if (!aResidency.IsRestricted()) {
    at->second.m_upstreams = aPool.m_upstreams;
    if (aPool.m_upstreams.empty() && !aPool.m_evacuated.empty()) {
      at->second.m_noHome = NoHome::Evacuated;
    }
    return at->second;
  }
  at->second = ListHomes(aPool, aResidency);
  // Those of the scope are reviewed with the pool.
  std::vector<UpstreamId> outside;
  for (const UpstreamEntry* entry : at->second.m_upstreams) {
    if (entry->m_row.m_kind == UpstreamKind::Engine &&
        !m_scope.Contains(entry->m_row)) {
      outside.push_back(entry->m_row.m_id);
    }
  }
  m_health.Review(aNow, outside);
  return at->second;
}

void Dispatcher::RefuseHomeless(Instant aNow,
                                Pool& aPool,
                                std::vector<DispatchAction>& aActions)
{
  for (FairQueue& queue : aPool.m_queues) {
    for (const Residency& residency : queue.Residencies()) {
      auto reason = HomesOf(aNow, aPool, residency).m_noHome;
      if (!reason) {
        continue;
      }
      Duration delay = *reason == NoHome::NoneServing ? kRetryAfterNoneServing
                                                      : kRetryAfterNoneKnown;
      for (Ticket& ticket : queue.TakeAll(residency)) {
        UncountQueued(ticket);
        Refusal refusal =
          RefusalBuilder(
            ErrorKind::NoUpstream,
            *reason == NoHome::Evacuated
              ? "every data centre that could serve it is evacuated"
              : "no upstream in the allowed regions takes requests")
            .WithRetryAfter(m_rateLimits == nullptr
                              ? delay
                              : m_rateLimits->SpreadRetryDelay(delay))
            .Build();
        aActions.push_back(
          DispatchRefusal{ std::move(ticket), refusal, reason });
      }
    }
  }
}

} // namespace persimmontally
