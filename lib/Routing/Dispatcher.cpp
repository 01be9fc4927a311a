#include "persimmontally/Routing/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

static constexpr Duration kUrgentPeakHalfLife = seconds(10);
/// Maximum candidates listed in a log line.
static constexpr size_t kMaxLoggedCandidates = 6;

Dispatcher::Dispatcher(DispatchOptions aOptions, uint64_t aSeed)
  : m_options(std::move(aOptions))
  , m_random(aSeed)
{
}

Dispatcher::PoolKey Dispatcher::PoolKeyOf(const Ticket& aTicket)
{
  return aTicket.m_service.empty() ? "model/" + aTicket.m_model.Value()
                                   : "service/" + aTicket.m_service;
}

/// Returns the queue of a rank; first come, first served uses one for both.
FairQueue& Dispatcher::QueueOf(Pool& aPool, Rank aRank)
{
  if (m_options.m_ranks.m_isFirstComeFirstServed) {
    aRank = Rank::Urgent;
  }
  return aPool.m_queues[static_cast<size_t>(aRank)];
}

// Request arrival and completion.

std::optional<Refusal> Dispatcher::Enqueue(Instant aNow, Ticket aTicket)
{
  Pool& pool = m_pools[PoolKeyOf(aTicket)];
  NotePauseObjective(aTicket, pool);
  FairQueue& queue = QueueOf(pool, aTicket.m_rank);
  Duration wait = ExpectedWait(aTicket);
  bool tooLate = aNow + wait > aTicket.m_placeBy;
  if (tooLate || !EnsureQueueSpace(queue, aTicket)) {
    return RefusalBuilder(ErrorKind::Overloaded,
                          "the request cannot be placed before its deadline")
      .WithRetryAfter(std::max<Duration>(wait, seconds(1)))
      .Build();
  }
  ++m_queued[static_cast<size_t>(aTicket.m_rank)];
  m_poolOf[aTicket.m_id] = PoolKeyOf(aTicket);
  queue.Push(std::move(aTicket));
  return std::nullopt;
}

/// Returns whether a ticket fits into the queue. If the queue is full, evicts
/// the newest ticket of the account with the most queued tickets, so that a
/// flood from one account does not block other accounts.
bool Dispatcher::EnsureQueueSpace(FairQueue& aQueue, const Ticket& aTicket)
{
  size_t queued = m_queued[static_cast<size_t>(aTicket.m_rank)];
  if (queued < m_options.m_maxQueued) {
    return true;
  }
  if (aQueue.Empty()) {
    return false;
  }
  AccountId longest = aQueue.LongestFlow();
  if (aQueue.SizeOf(longest) <= aQueue.SizeOf(aTicket.m_account) + 1) {
    return false;
  }
  Ticket displaced = aQueue.TakeNewest(longest);
  UncountQueued(displaced);
  m_displaced.push_back(std::move(displaced));
  return true;
}

void Dispatcher::UncountQueued(const Ticket& aTicket)
{
  --m_queued[static_cast<size_t>(aTicket.m_rank)];
  m_poolOf.erase(aTicket.m_id);
}

bool Dispatcher::Withdraw(const RequestId& aId)
{
  auto pool = m_poolOf.find(aId);
  if (pool == m_poolOf.end()) {
    return false;
  }
  for (FairQueue& queue : m_pools[pool->second].m_queues) {
    auto ticket = queue.Take(aId);
    if (ticket) {
      UncountQueued(*ticket);
      return true;
    }
  }
  return false;
}

void Dispatcher::Progress(Instant aNow, const RequestId& aId, uint32_t aTokens)
{
  auto at = m_running.find(aId);
  if (at != m_running.end()) {
    at->second.m_tokens = aTokens;
    at->second.m_progressAt = aNow;
  }
}

void Dispatcher::Release(const RequestId& aId)
{
  auto at = m_running.find(aId);
  const Running& running = at->second;
  Pool& pool = m_pools[PoolKeyOf(running.m_ticket)];
  auto rank = static_cast<size_t>(running.m_ticket.m_rank);
  --pool.m_running[rank];
  auto load = m_upstreamLoads.find(running.m_upstream);
  if (load != m_upstreamLoads.end()) {
    load->second.m_requests.erase(aId);
    load->second.m_routineCount -=
      running.m_ticket.m_rank == Rank::Routine ? 1 : 0;
    load->second.m_copyCount -= running.m_isCopy ? 1 : 0;
    load->second.m_isReservedForSuspect =
      load->second.m_isReservedForSuspect && !running.m_isIsolated;
    load->second.m_forecastTime = Instant();
  }
  m_running.erase(at);
}

void Dispatcher::Complete(Instant,
                          const RequestId& aId,
                          DispatchOutcome aOutcome)
{
  auto at = m_running.find(aId);
  if (at == m_running.end()) {
    return;
  }
  const Running& running = at->second;
  const Ticket& ticket = running.m_ticket;
  Pool& pool = m_pools[PoolKeyOf(ticket)];
  double used = static_cast<double>(ticket.m_promptTokens) + running.m_tokens;
  QueueOf(pool, ticket.m_rank)
    .Charge(ticket.m_account, used - running.m_chargedTokens);
  if (aOutcome == DispatchOutcome::Finished && ticket.m_service.empty()) {
    m_lengths.Record(ticket.m_model, ticket.m_account, running.m_tokens);
  }
  Release(aId);
}

size_t Dispatcher::Queued(Rank aRank) const
{
  size_t count = 0;
  for (const auto& [key, pool] : m_pools) {
    count += pool.m_queues[static_cast<size_t>(aRank)].Size();
  }
  return count;
}

size_t Dispatcher::RunningOn(const UpstreamId& aId) const
{
  auto at = m_upstreamLoads.find(aId);
  return at == m_upstreamLoads.end()
           ? 0
           : at->second.m_requests.size() - at->second.m_copyCount;
}

/// Adds a request to the load of its upstream.
void Dispatcher::Occupy(Instant, Pool& aPool, Running aRunning)
{
  const Ticket& ticket = aRunning.m_ticket;
  UpstreamLoad& load = m_upstreamLoads[aRunning.m_upstream];
  load.m_requests.insert(ticket.m_id);
  load.m_routineCount += ticket.m_rank == Rank::Routine ? 1 : 0;
  load.m_copyCount += aRunning.m_isCopy ? 1 : 0;
  load.m_isReservedForSuspect =
    load.m_isReservedForSuspect || aRunning.m_isIsolated;
  Occupancy demand = DemandOf(ticket);
  load.m_occupancy += demand;
  if (ticket.m_rank == Rank::Urgent) {
    load.m_urgentOccupancy += demand;
  }
  ++aPool.m_running[static_cast<size_t>(ticket.m_rank)];
  m_running[ticket.m_id] = std::move(aRunning);
}

void Dispatcher::Adopt(Instant aNow,
                       Ticket aTicket,
                       const UpstreamId& aUpstream,
                       uint32_t aTokens,
                       bool aIsCopy)
{
  Pool& pool = m_pools[PoolKeyOf(aTicket)];
  Running running;
  running.m_isCopy = aIsCopy;
  running.m_upstream = aUpstream;
  running.m_grantedAt = aNow;
  running.m_tokens = aTokens;
  running.m_progressAt = aNow;
  running.m_chargedTokens =
    static_cast<double>(aTicket.m_promptTokens) + aTokens;
  running.m_isIsolated = m_suspects.contains(aTicket.m_fingerprint);
  running.m_ticket = std::move(aTicket);
  m_upstreamLoads[aUpstream].m_forecastTime = Instant();
  Occupy(aNow, pool, std::move(running));
}

void Dispatcher::UseCopy(const RequestId& aId)
{
  auto at = m_running.find(aId);
  if (at != m_running.end() && std::exchange(at->second.m_isCopy, false)) {
    --m_upstreamLoads[at->second.m_upstream].m_copyCount;
  }
}

// Placement of queued requests on upstreams.

PlacementView Dispatcher::ViewOf(Instant aNow,
                                 const Pool& aPool,
                                 const UpstreamEntry& aEntry,
                                 const Ticket& aTicket,
                                 const Origin& aOrigin)
{
  const UpstreamRow& row = aEntry.m_row;
  PlacementView view;
  view.m_upstream = row.m_id;
  view.m_sameDataCentre = row.m_dataCentre == aOrigin.m_dataCentre;
  view.m_sameRegion = row.m_region == aOrigin.m_region;
  view.m_inFlight = InFlight(aEntry);
  view.m_slots = std::max(1.0, UsableSlots(aNow, aEntry));
  if (row.m_kind == UpstreamKind::Engine) {
    double peak =
      ForecastPeak(m_options.m_forecast, RefreshOccupancy(aNow, row.m_id));
    view.m_memoryUse = peak / std::max(1.0, row.KvMemoryTokens());
    view.m_pendingPrefillTokens = PendingPrefillTokens(row.m_id);
    view.m_prefixHit = m_prefixes.HitRatio(row.m_id, aTicket.m_prefix);
    ForecastPauses(aNow, aPool, aTicket, view);
  }
  view.m_slowness = m_health.Slowness(row.m_id);
  view.m_randomDraw = std::uniform_real_distribution<double>(0, 1)(m_random);
  return view;
}

/// Selects the upstreams to compare for a request, preferring those in the data
/// centre of its host. Samples from a random offset and bounds the count, so
/// that the cost of a placement does not grow with the number of upstreams.
std::vector<const UpstreamEntry*> Dispatcher::Candidates(
  Instant aNow,
  const std::vector<const UpstreamEntry*>& aUpstreams,
  const Ticket& aTicket,
  const Origin& aOrigin)
{
  std::vector<const UpstreamEntry*> live;
  std::vector<const UpstreamEntry*> usable;
  size_t start = 0;
  if (aUpstreams.size() > m_options.m_candidates) {
    start =
      std::uniform_int_distribution<size_t>(0, aUpstreams.size() - 1)(m_random);
  }
  size_t scanned = std::min(aUpstreams.size(), 4 * m_options.m_candidates);
  for (size_t i = 0; i < scanned; ++i) {
    const UpstreamEntry* entry = aUpstreams[(start + i) % aUpstreams.size()];
    if (!UpstreamTable::TakesWork(aNow, *entry) ||
        m_eligibility.Check(aTicket.m_residency, entry->m_row)) {
      continue;
    }
    live.push_back(entry);
    if (!aTicket.m_excluded.contains(entry->m_row.m_id)) {
      usable.push_back(entry);
    }
  }
  if (usable.empty()) {
    // Every upstream has failed this request once; allow a second attempt.
    usable = live;
  }
  std::stable_partition(
    usable.begin(), usable.end(), [&](const UpstreamEntry* aEntry) {
      return aEntry->m_row.m_dataCentre == aOrigin.m_dataCentre;
    });
  if (usable.size() > m_options.m_candidates) {
    DeferCold(aNow, usable);
    usable.resize(m_options.m_candidates);
  }
  return usable;
}

static std::string DescribeScores(const std::vector<PlacementView>& aViews,
                                  const std::vector<double>& aScores)
{
  std::string text;
  for (size_t i = 0; i < aViews.size() && i < kMaxLoggedCandidates; ++i) {
    char score[32];
    std::snprintf(score, sizeof score, ":%.3f", aScores[i]);
    text.append(text.empty() ? "" : ",");
    text.append(aViews[i].m_upstream.Value()).append(score);
  }
  return text;
}

std::optional<DispatchGrant> Dispatcher::Place(Instant aNow,
                                               Pool& aPool,
                                               const Ticket& aTicket,
                                               const Origin& aOrigin)
{
  const HomeList& homes = HomesOf(aNow, aPool, aTicket.m_residency);
  size_t count = aPool.m_upstreams.size();
  std::vector<const UpstreamEntry*> entries;
  std::vector<PlacementView> views;
  Occupancy demand = DemandOf(aTicket);
  for (const UpstreamEntry* entry :
       Candidates(aNow, homes.m_upstreams, aTicket, aOrigin)) {
    if (HasCapacity(aNow, *entry, aPool, aTicket, demand, count)) {
      entries.push_back(entry);
      views.push_back(ViewOf(aNow, aPool, *entry, aTicket, aOrigin));
    }
  }
  if (views.empty()) {
    return std::nullopt;
  }
  std::vector<double> scores =
    ScorePlacements(m_options.m_placement, views, m_placementSequence++);
  KeepRateLimits(aNow, aTicket, entries, views, scores);
  if (views.empty()) {
    return std::nullopt;
  }
  auto best = static_cast<size_t>(
    std::min_element(scores.begin(), scores.end()) - scores.begin());
  DispatchGrant grant;
  grant.m_ticket = aTicket;
  grant.m_upstream = views[best].m_upstream;
  grant.m_incarnation = entries[best]->m_row.m_incarnation;
  grant.m_score = scores[best];
  grant.m_candidates = DescribeScores(views, scores);
  grant.m_excludedByResidency = homes.m_excluded;
  return grant;
}

/// Places a ticket in the capacity left after setting aside capacity for the
/// peer tickets that precede it.
std::optional<DispatchGrant> Dispatcher::PlaceAfterPeers(Instant aNow,
                                                         Pool& aPool,
                                                         const Ticket& aTicket)
{
  Origin self{ m_options.m_dataCentre, m_options.m_region };
  auto grant = Place(aNow, aPool, aTicket, self);
  if (!grant || m_peerTickets.Empty()) {
    return grant;
  }
  std::vector<RequestId> deferredTo;
  for (const PeerTicket* peerTicket :
       m_peerTickets.TicketsAhead(aNow, aTicket)) {
    auto peerGrant = Place(aNow,
                           aPool,
                           peerTicket->m_ticket,
                           { peerTicket->m_dataCentre, peerTicket->m_region });
    if (peerGrant) {
      Running running;
      running.m_ticket = peerTicket->m_ticket;
      running.m_upstream = peerGrant->m_upstream;
      running.m_grantedAt = aNow;
      deferredTo.push_back(peerTicket->m_ticket.m_id);
      Occupy(aNow, aPool, std::move(running));
    }
  }
  grant = Place(aNow, aPool, aTicket, self);
  for (const RequestId& id : deferredTo) {
    Release(id);
  }
  if (grant) {
    grant->m_peerTicketsAhead = deferredTo.size();
  } else {
    m_peerTickets.RecordDeferral(aNow, deferredTo);
  }
  return grant;
}

std::vector<const Ticket*> Dispatcher::QueueHeads() const
{
  std::vector<const Ticket*> heads;
  for (const auto& [key, pool] : m_pools) {
    for (const FairQueue& queue : pool.m_queues) {
      for (const Ticket* head : queue.Heads(m_options.m_maxHeadsTried)) {
        if (head->m_service.empty()) {
          heads.push_back(head);
        }
      }
    }
  }
  return heads;
}

void Dispatcher::Grant(Instant aNow, Pool& aPool, const DispatchGrant& aGrant)
{
  const Ticket& ticket = aGrant.m_ticket;
  auto rank = static_cast<size_t>(ticket.m_rank);
  UncountQueued(ticket);
  Running running;
  running.m_ticket = ticket;
  running.m_upstream = aGrant.m_upstream;
  running.m_grantedAt = aNow;
  running.m_chargedTokens =
    ticket.m_promptTokens + m_lengths.ExpectedTokens(ticket.m_model,
                                                     ticket.m_account,
                                                     ticket.m_maxTokens);
  running.m_isIsolated = m_suspects.contains(ticket.m_fingerprint);
  QueueOf(aPool, ticket.m_rank)
    .Charge(ticket.m_account, running.m_chargedTokens);
  m_prefixes.RecordPrompt(aGrant.m_upstream, ticket.m_prefix);
  for (RateLimits* limits : { m_rateLimits, m_coldPermits }) {
    if (limits != nullptr) {
      limits->Use(aNow, aGrant.m_upstream);
    }
  }
  Occupy(aNow, aPool, std::move(running));
  ++aPool.m_drains[ticket.m_residency].m_grantedInTick[rank];
}

void Dispatcher::RecordFailure(Instant aNow,
                               const UpstreamId& aId,
                               bool aIsGone)
{
  // Two stalls reach the ejection threshold of HealthTable.
  for (int i = 0; i < (aIsGone ? 2 : 1); ++i) {
    m_health.RecordStall(aNow, aId);
  }
  for (auto& [key, pool] : m_pools) {
    pool.m_listedAt = Instant();
  }
}

void Dispatcher::UpdateUrgentPeak(Instant aNow, Pool& aPool) const
{
  double running = aPool.m_running[static_cast<size_t>(Rank::Urgent)];
  if (aPool.m_peakAt != Instant()) {
    double halfLives =
      ToSeconds(aNow - aPool.m_peakAt) / ToSeconds(kUrgentPeakHalfLife);
    aPool.m_urgentPeak *= std::exp2(-halfLives);
  }
  aPool.m_peakAt = aNow;
  aPool.m_urgentPeak = std::max(aPool.m_urgentPeak, running);
}

/// Returns the ranks in the order to serve: urgent first, unless routine work
/// holds less than its floor of the slots.
std::vector<Rank> Dispatcher::RankSequence(const Pool& aPool,
                                           double aSlots) const
{
  if (m_options.m_ranks.m_isFirstComeFirstServed) {
    return { Rank::Urgent };
  }
  double routine = aPool.m_running[static_cast<size_t>(Rank::Routine)];
  if (routine + 1 <= m_options.m_ranks.m_routineFloor * aSlots) {
    return { Rank::Routine, Rank::Urgent };
  }
  return { Rank::Urgent, Rank::Routine };
}

bool Dispatcher::ServeRank(Instant aNow,
                           Pool& aPool,
                           Rank aRank,
                           std::vector<DispatchAction>& aActions)
{
  FairQueue& queue = QueueOf(aPool, aRank);
  for (const Ticket* head : queue.Heads(m_options.m_maxHeadsTried)) {
    auto grant = PlaceAfterPeers(aNow, aPool, *head);
    if (!grant) {
      continue;
    }
    queue.Take(head->m_id);
    Grant(aNow, aPool, *grant);
    aActions.push_back(std::move(*grant));
    return true;
  }
  return false;
}

void Dispatcher::RefuseExpired(Instant aNow,
                               Pool& aPool,
                               std::vector<DispatchAction>& aActions)
{
  for (FairQueue& queue : aPool.m_queues) {
    for (Ticket& ticket : queue.TakeExpired(aNow)) {
      UncountQueued(ticket);
      Duration wait = std::max<Duration>(ExpectedWait(ticket), seconds(1));
      Refusal refusal =
        RefusalBuilder(ErrorKind::Overloaded,
                       "no upstream had capacity before the deadline")
          .WithRetryAfter(wait)
          .Build();
      aActions.push_back(DispatchRefusal{ std::move(ticket), refusal });
    }
  }
}

void Dispatcher::ServePool(Instant aNow,
                           const UpstreamTable& aTable,
                           Pool& aPool,
                           std::vector<DispatchAction>& aActions)
{
  UpdateUrgentPeak(aNow, aPool);
  const Ticket* sample = nullptr;
  for (const FairQueue& queue : aPool.m_queues) {
    if (!queue.Empty()) {
      sample = &queue.Front();
    }
  }
  if (sample == nullptr) {
    UpdateDrainRate(aNow, aPool);
    return;
  }
  ListUpstreams(aNow, aTable, *sample, aPool);
  RefuseHomeless(aNow, aPool, aActions);
  bool progress = true;
  while (progress) {
    progress = false;
    for (Rank rank : RankSequence(aPool, aPool.m_slots)) {
      if (ServeRank(aNow, aPool, rank, aActions)) {
        progress = true;
        break;
      }
    }
  }
  RefuseExpired(aNow, aPool, aActions);
  RefuseDenied(aNow, aPool, aActions);
  UpdateDrainRate(aNow, aPool);
}

std::vector<DispatchAction> Dispatcher::Tick(Instant aNow,
                                             const UpstreamTable& aTable)
{
  std::vector<DispatchAction> actions;
  for (Ticket& ticket : std::exchange(m_displaced, {})) {
    Duration wait = std::max<Duration>(ExpectedWait(ticket), seconds(1));
    Refusal refusal =
      RefusalBuilder(
        ErrorKind::Overloaded,
        "the queue is full and the account has the most queued requests")
        .WithRetryAfter(wait)
        .Build();
    actions.push_back(DispatchRefusal{ std::move(ticket), refusal });
  }
  for (auto& [key, pool] : m_pools) {
    ServePool(aNow, aTable, pool, actions);
  }
  return actions;
}

} // namespace persimmontally
