#include "persimmontally/Routing/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

/// Age of a lane's list of upstreams at which it is made anew.
static constexpr Duration kListPeriod = milliseconds(100);
static constexpr Duration kUrgentPeakHalfLife = seconds(10);
/// Time over which the rate of grants is averaged.
static constexpr double kDrainSeconds = 10;
/// Waiting time below which the rate is not known well enough to refuse by.
static constexpr double kLeastDrainSeconds = 0.5;
/// Longest wait that is announced to a caller.
static constexpr double kLongestWaitSeconds = 120;
/// Candidates listed in a log line.
static constexpr size_t kLoggedCandidates = 6;

Dispatcher::Dispatcher(DispatchOptions aOptions, uint64_t aSeed)
  : m_options(std::move(aOptions))
  , m_random(aSeed)
{
}

Dispatcher::LaneKey Dispatcher::KeyOf(const Ticket& aTicket)
{
  return aTicket.m_service.empty() ? "model/" + aTicket.m_model.Value()
                                   : "service/" + aTicket.m_service;
}

/// First come, first served keeps both ranks in one queue.
FairQueue& Dispatcher::QueueOf(Lane& aLane, Rank aRank)
{
  if (m_options.m_ranks.m_isFirstComeFirstServed) {
    aRank = Rank::Urgent;
  }
  return aLane.m_queues[static_cast<size_t>(aRank)];
}

// Arrival and end of requests.

std::optional<Refusal> Dispatcher::Enqueue(Instant aNow, Ticket aTicket)
{
  Lane& lane = m_lanes[KeyOf(aTicket)];
  FairQueue& queue = QueueOf(lane, aTicket.m_rank);
  Duration wait = ExpectedWait(aTicket);
  bool tooLate = aNow + wait > aTicket.m_placeBy;
  if (tooLate || !MakeQueueRoom(queue, aTicket)) {
    return RefusalBuilder(ErrorKind::Overloaded,
                          "the request cannot be started in time")
      .WithRetryAfter(std::max<Duration>(wait, seconds(1)))
      .Build();
  }
  ++m_queued[static_cast<size_t>(aTicket.m_rank)];
  m_laneOf[aTicket.m_id] = KeyOf(aTicket);
  queue.Push(std::move(aTicket));
  return std::nullopt;
}

/// When the queue is full, the account with the most waiting gives way, so that
/// a flood of one account does not keep the others from queueing.
bool Dispatcher::MakeQueueRoom(FairQueue& aQueue, const Ticket& aTicket)
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
  ForgetQueued(displaced);
  m_displaced.push_back(std::move(displaced));
  return true;
}

void Dispatcher::ForgetQueued(const Ticket& aTicket)
{
  --m_queued[static_cast<size_t>(aTicket.m_rank)];
  m_laneOf.erase(aTicket.m_id);
}

Duration Dispatcher::ExpectedWait(const Ticket& aTicket) const
{
  auto at = m_lanes.find(KeyOf(aTicket));
  if (at == m_lanes.end()) {
    return Duration(0);
  }
  auto rank = static_cast<size_t>(aTicket.m_rank);
  // In fair order an account waits for its own tickets, once for each account
  // that waits beside it.
  const FairQueue& queue = at->second.m_queues[rank];
  size_t ahead = std::min(queue.Size(),
                          queue.SizeOf(aTicket.m_account) *
                            std::max<size_t>(1, queue.BackloggedAccounts()));
  const DrainRate& drain = at->second.m_drain[rank];
  if (ahead == 0 || drain.m_seconds < kLeastDrainSeconds) {
    return Duration(0);
  }
  double rate = std::max(drain.m_grants, 0.1) / drain.m_seconds;
  double wait =
    std::min(static_cast<double>(ahead) / rate, kLongestWaitSeconds);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(wait));
}

bool Dispatcher::Withdraw(const RequestId& aId)
{
  auto lane = m_laneOf.find(aId);
  if (lane == m_laneOf.end()) {
    return false;
  }
  for (FairQueue& queue : m_lanes[lane->second].m_queues) {
    auto ticket = queue.Take(aId);
    if (ticket) {
      ForgetQueued(*ticket);
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
  Lane& lane = m_lanes[KeyOf(running.m_ticket)];
  auto rank = static_cast<size_t>(running.m_ticket.m_rank);
  --lane.m_running[rank];
  auto slot = m_slots.find(running.m_upstream);
  if (slot != m_slots.end()) {
    slot->second.m_requests.erase(aId);
    slot->second.m_routine -= running.m_ticket.m_rank == Rank::Routine ? 1 : 0;
    slot->second.m_copies -= running.m_isCopy ? 1 : 0;
    slot->second.m_reservedAlone =
      slot->second.m_reservedAlone && !running.m_isAlone;
    slot->second.m_forecastAt = Instant();
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
  Lane& lane = m_lanes[KeyOf(ticket)];
  double used = static_cast<double>(ticket.m_promptTokens) + running.m_tokens;
  QueueOf(lane, ticket.m_rank)
    .Charge(ticket.m_account, used - running.m_charged);
  if (aOutcome == DispatchOutcome::Finished && ticket.m_service.empty()) {
    m_lengths.Record(ticket.m_model, ticket.m_account, running.m_tokens);
  }
  Release(aId);
}

size_t Dispatcher::Queued(Rank aRank) const
{
  size_t count = 0;
  for (const auto& [key, lane] : m_lanes) {
    count += lane.m_queues[static_cast<size_t>(aRank)].Size();
  }
  return count;
}

size_t Dispatcher::RunningOn(const UpstreamId& aId) const
{
  auto at = m_slots.find(aId);
  return at == m_slots.end()
           ? 0
           : at->second.m_requests.size() - at->second.m_copies;
}

/// Counts a request among those that run on its upstream.
void Dispatcher::Occupy(Instant, Lane& aLane, Running aRunning)
{
  const Ticket& ticket = aRunning.m_ticket;
  Slot& slot = m_slots[aRunning.m_upstream];
  slot.m_requests.insert(ticket.m_id);
  slot.m_routine += ticket.m_rank == Rank::Routine ? 1 : 0;
  slot.m_copies += aRunning.m_isCopy ? 1 : 0;
  slot.m_reservedAlone = slot.m_reservedAlone || aRunning.m_isAlone;
  Occupancy need = NeedOf(ticket);
  slot.m_occupancy += need;
  if (ticket.m_rank == Rank::Urgent) {
    slot.m_urgentOccupancy += need;
  }
  ++aLane.m_running[static_cast<size_t>(ticket.m_rank)];
  m_running[ticket.m_id] = std::move(aRunning);
}

void Dispatcher::Adopt(Instant aNow,
                       Ticket aTicket,
                       const UpstreamId& aUpstream,
                       uint32_t aTokens,
                       bool aIsCopy)
{
  Lane& lane = m_lanes[KeyOf(aTicket)];
  Running running;
  running.m_isCopy = aIsCopy;
  running.m_upstream = aUpstream;
  running.m_grantedAt = aNow;
  running.m_tokens = aTokens;
  running.m_progressAt = aNow;
  running.m_charged = static_cast<double>(aTicket.m_promptTokens) + aTokens;
  running.m_isAlone = m_suspects.contains(aTicket.m_fingerprint);
  running.m_ticket = std::move(aTicket);
  m_slots[aUpstream].m_forecastAt = Instant();
  Occupy(aNow, lane, std::move(running));
}

void Dispatcher::UseCopy(const RequestId& aId)
{
  auto at = m_running.find(aId);
  if (at != m_running.end() && std::exchange(at->second.m_isCopy, false)) {
    --m_slots[at->second.m_upstream].m_copies;
  }
}

// Placement.

PlacementView Dispatcher::ViewOf(Instant aNow,
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
    view.m_memoryUse = peak / std::max(1.0, row.MemoryTokens());
    view.m_unreadTokens = UnreadTokens(row.m_id);
    view.m_prefixHit = m_prefixes.HitRatio(row.m_id, aTicket.m_prefix);
  }
  view.m_slowness = m_health.Slowness(row.m_id);
  view.m_draw = std::uniform_real_distribution<double>(0, 1)(m_random);
  return view;
}

/// Bounds the upstreams compared for one request, so that its cost does not
/// grow with the fleet: those of its data centre first, a random part.
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
  size_t looked = std::min(aUpstreams.size(), 4 * m_options.m_candidates);
  for (size_t i = 0; i < looked; ++i) {
    const UpstreamEntry* entry = aUpstreams[(start + i) % aUpstreams.size()];
    if (!UpstreamTable::TakesWork(aNow, *entry)) {
      continue;
    }
    live.push_back(entry);
    if (!aTicket.m_excluded.contains(entry->m_row.m_id)) {
      usable.push_back(entry);
    }
  }
  if (usable.empty()) {
    // Every upstream failed it once; a second try beats none.
    usable = live;
  }
  std::stable_partition(
    usable.begin(), usable.end(), [&](const UpstreamEntry* aEntry) {
      return aEntry->m_row.m_dataCentre == aOrigin.m_dataCentre;
    });
  if (usable.size() > m_options.m_candidates) {
    usable.resize(m_options.m_candidates);
  }
  return usable;
}

static std::string DescribeScores(const std::vector<PlacementView>& aViews,
                                  const std::vector<double>& aScores)
{
  std::string text;
  for (size_t i = 0; i < aViews.size() && i < kLoggedCandidates; ++i) {
    char score[32];
    std::snprintf(score, sizeof score, ":%.3f", aScores[i]);
    text.append(text.empty() ? "" : ",");
    text.append(aViews[i].m_upstream.Value()).append(score);
  }
  return text;
}

std::optional<DispatchGrant> Dispatcher::Place(
  Instant aNow,
  const std::vector<const UpstreamEntry*>& aUpstreams,
  const Lane& aLane,
  const Ticket& aTicket,
  const Origin& aOrigin)
{
  std::vector<const UpstreamEntry*> entries;
  std::vector<PlacementView> views;
  Occupancy need = NeedOf(aTicket);
  for (const UpstreamEntry* entry :
       Candidates(aNow, aUpstreams, aTicket, aOrigin)) {
    if (HasRoom(aNow, *entry, aLane, aTicket, need, aUpstreams.size())) {
      entries.push_back(entry);
      views.push_back(ViewOf(aNow, *entry, aTicket, aOrigin));
    }
  }
  if (views.empty()) {
    return std::nullopt;
  }
  std::vector<double> scores =
    ScorePlacements(m_options.m_placement, views, m_roundRobin++);
  auto best = static_cast<size_t>(
    std::min_element(scores.begin(), scores.end()) - scores.begin());
  DispatchGrant grant;
  grant.m_ticket = aTicket;
  grant.m_upstream = views[best].m_upstream;
  grant.m_incarnation = entries[best]->m_row.m_incarnation;
  grant.m_score = scores[best];
  grant.m_candidates = DescribeScores(views, scores);
  return grant;
}

/// Places a ticket in what the tickets before it at other hosts leave free.
std::optional<DispatchGrant> Dispatcher::PlaceAfterRivals(
  Instant aNow,
  const std::vector<const UpstreamEntry*>& aUpstreams,
  Lane& aLane,
  const Ticket& aTicket)
{
  Origin self{ m_options.m_dataCentre, m_options.m_region };
  auto grant = Place(aNow, aUpstreams, aLane, aTicket, self);
  if (!grant || m_rivals.Empty()) {
    return grant;
  }
  std::vector<RequestId> held;
  for (const RivalTicket* rival : m_rivals.Ahead(aNow, aTicket)) {
    auto theirs = Place(aNow,
                        aUpstreams,
                        aLane,
                        rival->m_ticket,
                        { rival->m_dataCentre, rival->m_region });
    if (theirs) {
      Running running;
      running.m_ticket = rival->m_ticket;
      running.m_upstream = theirs->m_upstream;
      running.m_grantedAt = aNow;
      held.push_back(rival->m_ticket.m_id);
      Occupy(aNow, aLane, std::move(running));
    }
  }
  grant = Place(aNow, aUpstreams, aLane, aTicket, self);
  for (const RequestId& id : held) {
    Release(id);
  }
  if (grant) {
    grant->m_rivalsAhead = held.size();
  } else {
    m_rivals.NoteDeferred(aNow, held);
  }
  return grant;
}

std::vector<const Ticket*> Dispatcher::WaitingHeads() const
{
  std::vector<const Ticket*> heads;
  for (const auto& [key, lane] : m_lanes) {
    for (const FairQueue& queue : lane.m_queues) {
      for (const Ticket* head : queue.Heads(m_options.m_headsTried)) {
        if (head->m_service.empty()) {
          heads.push_back(head);
        }
      }
    }
  }
  return heads;
}

void Dispatcher::Grant(Instant aNow, Lane& aLane, const DispatchGrant& aGrant)
{
  const Ticket& ticket = aGrant.m_ticket;
  auto rank = static_cast<size_t>(ticket.m_rank);
  ForgetQueued(ticket);
  Running running;
  running.m_ticket = ticket;
  running.m_upstream = aGrant.m_upstream;
  running.m_grantedAt = aNow;
  running.m_charged = ticket.m_promptTokens +
                      m_lengths.ExpectedTokens(
                        ticket.m_model, ticket.m_account, ticket.m_maxTokens);
  running.m_isAlone = m_suspects.contains(ticket.m_fingerprint);
  QueueOf(aLane, ticket.m_rank).Charge(ticket.m_account, running.m_charged);
  m_prefixes.Sent(aGrant.m_upstream, ticket.m_prefix);
  Occupy(aNow, aLane, std::move(running));
  ++aLane.m_grantedInTick[rank];
}

void Dispatcher::RecordFailure(Instant aNow,
                               const UpstreamId& aId,
                               bool aIsGone)
{
  // Two stalls eject an upstream.
  for (int i = 0; i < (aIsGone ? 2 : 1); ++i) {
    m_health.RecordStall(aNow, aId);
  }
  for (auto& [key, lane] : m_lanes) {
    lane.m_listedAt = Instant();
  }
}

void Dispatcher::NoteDrain(Instant aNow, Lane& aLane)
{
  double elapsed = ToSeconds(aNow - aLane.m_tickedAt);
  bool isFirst = aLane.m_tickedAt == Instant();
  aLane.m_tickedAt = aNow;
  for (size_t rank = 0; rank < kRanks.size(); ++rank) {
    uint32_t granted = std::exchange(aLane.m_grantedInTick[rank], 0);
    // The grant that empties a queue ends a wait and counts with it.
    bool wasBacklogged =
      std::exchange(aLane.m_wasBacklogged[rank], !aLane.m_queues[rank].Empty());
    if (!wasBacklogged || isFirst) {
      continue;
    }
    DrainRate& drain = aLane.m_drain[rank];
    double fade = std::exp(-elapsed / kDrainSeconds);
    drain.m_grants = drain.m_grants * fade + granted;
    drain.m_seconds = drain.m_seconds * fade + elapsed;
  }
}

void Dispatcher::NoteUrgentPeak(Instant aNow, Lane& aLane) const
{
  double running = aLane.m_running[static_cast<size_t>(Rank::Urgent)];
  if (aLane.m_peakAt != Instant()) {
    double halves =
      ToSeconds(aNow - aLane.m_peakAt) / ToSeconds(kUrgentPeakHalfLife);
    aLane.m_urgentPeak *= std::exp2(-halves);
  }
  aLane.m_peakAt = aNow;
  aLane.m_urgentPeak = std::max(aLane.m_urgentPeak, running);
}

/// Urgent work goes first, unless routine work waits and holds less than its
/// floor of the slots.
std::vector<Rank> Dispatcher::RankSequence(const Lane& aLane,
                                           double aSlots) const
{
  if (m_options.m_ranks.m_isFirstComeFirstServed) {
    return { Rank::Urgent };
  }
  double routine = aLane.m_running[static_cast<size_t>(Rank::Routine)];
  if (routine + 1 <= m_options.m_ranks.m_routineFloor * aSlots) {
    return { Rank::Routine, Rank::Urgent };
  }
  return { Rank::Urgent, Rank::Routine };
}

bool Dispatcher::ServeRank(Instant aNow,
                           const std::vector<const UpstreamEntry*>& aUpstreams,
                           Lane& aLane,
                           Rank aRank,
                           std::vector<DispatchAction>& aActions)
{
  FairQueue& queue = QueueOf(aLane, aRank);
  for (const Ticket* head : queue.Heads(m_options.m_headsTried)) {
    auto grant = PlaceAfterRivals(aNow, aUpstreams, aLane, *head);
    if (!grant) {
      continue;
    }
    queue.Take(head->m_id);
    Grant(aNow, aLane, *grant);
    aActions.push_back(std::move(*grant));
    return true;
  }
  return false;
}

void Dispatcher::RefuseExpired(Instant aNow,
                               Lane& aLane,
                               std::vector<DispatchAction>& aActions)
{
  for (FairQueue& queue : aLane.m_queues) {
    for (Ticket& ticket : queue.TakeExpired(aNow)) {
      ForgetQueued(ticket);
      Duration wait = std::max<Duration>(ExpectedWait(ticket), seconds(1));
      Refusal refusal =
        RefusalBuilder(ErrorKind::Overloaded, "no upstream had room in time")
          .WithRetryAfter(wait)
          .Build();
      aActions.push_back(DispatchRefusal{ std::move(ticket), refusal });
    }
  }
}

void Dispatcher::ListUpstreams(Instant aNow,
                               const UpstreamTable& aTable,
                               const Ticket& aSample,
                               Lane& aLane)
{
  bool isFresh = aLane.m_tableVersion == aTable.Version() &&
                 aNow < aLane.m_listedAt + kListPeriod;
  if (isFresh) {
    return;
  }
  aLane.m_tableVersion = aTable.Version();
  aLane.m_listedAt = aNow;
  aLane.m_upstreams.clear();
  aLane.m_slots = 0;
  std::vector<UpstreamId> peers;
  for (const auto& [id, entry] : aTable.Rows()) {
    const UpstreamRow& row = entry.m_row;
    bool serves = aSample.m_service.empty()
                    ? std::count(row.m_models.begin(),
                                 row.m_models.end(),
                                 aSample.m_model) > 0
                    : row.m_service == aSample.m_service;
    if (serves && UpstreamTable::TakesWork(aNow, entry)) {
      aLane.m_upstreams.push_back(&entry);
      aLane.m_slots += UsableSlots(aNow, entry);
      peers.push_back(id);
    }
  }
  m_health.Review(aNow, peers);
}

void Dispatcher::ServeLane(Instant aNow,
                           const UpstreamTable& aTable,
                           Lane& aLane,
                           std::vector<DispatchAction>& aActions)
{
  NoteUrgentPeak(aNow, aLane);
  const Ticket* sample = nullptr;
  for (const FairQueue& queue : aLane.m_queues) {
    if (!queue.Empty()) {
      sample = &queue.Front();
    }
  }
  if (sample == nullptr) {
    NoteDrain(aNow, aLane);
    return;
  }
  ListUpstreams(aNow, aTable, *sample, aLane);
  const std::vector<const UpstreamEntry*>& upstreams = aLane.m_upstreams;
  bool progress = !upstreams.empty();
  while (progress) {
    progress = false;
    for (Rank rank : RankSequence(aLane, aLane.m_slots)) {
      if (ServeRank(aNow, upstreams, aLane, rank, aActions)) {
        progress = true;
        break;
      }
    }
  }
  RefuseExpired(aNow, aLane, aActions);
  NoteDrain(aNow, aLane);
}

std::vector<DispatchAction> Dispatcher::Tick(Instant aNow,
                                             const UpstreamTable& aTable)
{
  std::vector<DispatchAction> actions;
  for (Ticket& ticket : std::exchange(m_displaced, {})) {
    Duration wait = std::max<Duration>(ExpectedWait(ticket), seconds(1));
    Refusal refusal =
      RefusalBuilder(ErrorKind::Overloaded, "the account has too much waiting")
        .WithRetryAfter(wait)
        .Build();
    actions.push_back(DispatchRefusal{ std::move(ticket), refusal });
  }
  for (auto& [key, lane] : m_lanes) {
    ServeLane(aNow, aTable, lane, actions);
  }
  return actions;
}

} // namespace persimmontally
