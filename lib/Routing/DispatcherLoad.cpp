// The upstreams of a pool, the slots and memory used by the requests on each,
// and the checks whether one more request fits.

#include "persimmontally/Routing/Dispatcher.h"

#include <algorithm>

namespace persimmontally {

/// Interval at which a pool's list of upstreams is rebuilt.
static constexpr Duration kListPeriod = milliseconds(100);
/// Interval at which an engine's forecast is recomputed; placements in between
/// are added to it.
static constexpr Duration kForecastPeriod = milliseconds(200);
/// Lag of load reports: a report does not include requests placed within this
/// time before it.
static constexpr Duration kReportLag = milliseconds(500);
/// Maximum fraction of an engine reserved for urgent work. Beyond it, urgent
/// work queues for freed slots, so that slots are not left idle.
static constexpr double kMaxUrgentReserve = 0.5;
/// Headroom factor over the recent peak of urgent work.
static constexpr double kUrgentPeakHeadroom = 1.25;

void Dispatcher::ListUpstreams(Instant aNow,
                               const UpstreamTable& aTable,
                               const Ticket& aSample,
                               Pool& aPool)
{
  bool isFresh = aPool.m_listedAt != Instant() &&
                 aPool.m_tableVersion == aTable.Version() &&
                 aNow < aPool.m_listedAt + kListPeriod;
  if (isFresh) {
    return;
  }
  aPool.m_tableVersion = aTable.Version();
  aPool.m_listedAt = aNow;
  aPool.m_upstreams.clear();
  aPool.m_outside.clear();
  aPool.m_idle.clear();
  aPool.m_homes.clear();
  aPool.m_evacuated.clear();
  for (const auto& [id, entry] : aTable.Rows()) {
    const UpstreamRow& row = entry.m_row;
    bool serves = aSample.m_service.empty()
                    ? std::count(row.m_models.begin(),
                                 row.m_models.end(),
                                 aSample.m_model) > 0
                    : row.m_service == aSample.m_service;
    if (!serves) {
      continue;
    }
    if (!UpstreamTable::TakesWork(aNow, entry)) {
      aPool.m_idle.push_back(&entry);
      continue;
    }
    if (m_eligibility.Evacuated().contains(row.m_dataCentre)) {
      aPool.m_evacuated.push_back(&entry);
      continue;
    }
    bool isInScope =
      row.m_kind == UpstreamKind::Service || m_scope.Contains(row);
    (isInScope ? aPool.m_upstreams : aPool.m_outside).push_back(&entry);
  }
  if (aPool.m_upstreams.empty()) {
    aPool.m_upstreams = std::exchange(aPool.m_outside, {});
  }
  aPool.m_slots = 0;
  std::vector<UpstreamId> peers;
  for (const UpstreamEntry* entry : aPool.m_upstreams) {
    aPool.m_slots += UsableSlots(aNow, *entry);
    peers.push_back(entry->m_row.m_id);
  }
  m_health.Review(aNow, peers);
}

void Dispatcher::SetScope(const PlacementScope& aScope)
{
  m_scope = aScope;
  for (auto& [key, pool] : m_pools) {
    pool.m_listedAt = Instant();
  }
}

double Dispatcher::PendingPrefillTokens(const UpstreamId& aId) const
{
  auto load = m_upstreamLoads.find(aId);
  if (load == m_upstreamLoads.end()) {
    return 0;
  }
  double tokens = 0;
  for (const RequestId& id : load->second.m_requests) {
    const Running& running = m_running.at(id);
    bool isPrefillPending = running.m_tokens == 0 && !running.m_isCopy;
    tokens += isPrefillPending ? running.m_ticket.m_promptTokens : 0;
  }
  return tokens;
}

double Dispatcher::InFlight(const UpstreamEntry& aEntry) const
{
  auto load = m_upstreamLoads.find(aEntry.m_row.m_id);
  auto own = static_cast<double>(RunningOn(aEntry.m_row.m_id));
  if (ShareOf(aEntry) >= 1) {
    return own;
  }
  // Requests of peers: the reported ones less the own ones included in the
  // report.
  double reported = static_cast<double>(aEntry.m_row.m_load.m_running) +
                    aEntry.m_row.m_load.m_waiting;
  double ownReported = 0;
  if (load != m_upstreamLoads.end()) {
    for (const RequestId& id : load->second.m_requests) {
      const Running& running = m_running.at(id);
      ownReported +=
        running.m_grantedAt + kReportLag <= aEntry.m_reportedAt ? 1 : 0;
    }
  }
  return own + std::max(0.0, reported - ownReported);
}

double Dispatcher::UsableSlots(Instant aNow, const UpstreamEntry& aEntry) const
{
  return aEntry.m_row.m_slots * m_health.SlotFactor(aNow, aEntry.m_row.m_id);
}

GenerationSize Dispatcher::SizeOf(Instant aNow, const Running& aRunning) const
{
  const Ticket& ticket = aRunning.m_ticket;
  double tokens = aRunning.m_tokens;
  if (aRunning.m_tokens > 0) {
    tokens += ToSeconds(aNow - aRunning.m_progressAt) *
              m_options.m_assumedTokensPerSecond;
  }
  if (ticket.m_maxTokens > 0) {
    tokens = std::min(tokens, static_cast<double>(ticket.m_maxTokens));
  }
  return { ticket.m_model,         ticket.m_account,
           ticket.m_promptTokens,  static_cast<uint32_t>(tokens),
           ticket.m_maxTokens,     ticket.m_trueTokens,
           ticket.m_expectedTokens };
}

const Occupancy& Dispatcher::RefreshOccupancy(Instant aNow,
                                              const UpstreamId& aId)
{
  UpstreamLoad& load = m_upstreamLoads[aId];
  if (load.m_forecastTime != Instant() &&
      load.m_forecastTime + kForecastPeriod > aNow) {
    return load.m_occupancy;
  }
  load.m_forecastTime = aNow;
  load.m_occupancy = Occupancy();
  load.m_urgentOccupancy = Occupancy();
  for (const RequestId& id : load.m_requests) {
    const Running& running = m_running.at(id);
    Occupancy forecast = ForecastGeneration(
      m_options.m_forecast, m_lengths, SizeOf(aNow, running));
    load.m_occupancy += forecast;
    if (running.m_ticket.m_rank == Rank::Urgent) {
      load.m_urgentOccupancy += forecast;
    }
  }
  return load.m_occupancy;
}

/// Returns whether an upstream may take a ticket under the isolation of
/// suspects: a suspect requires an idle upstream, and an upstream that runs a
/// suspect takes no other request.
bool Dispatcher::RespectsIsolation(const UpstreamEntry& aEntry,
                                   const Ticket& aTicket)
{
  UpstreamLoad& load = m_upstreamLoads[aEntry.m_row.m_id];
  bool suspect = m_suspects.contains(aTicket.m_fingerprint);
  if (!suspect) {
    return !load.m_isReservedForSuspect;
  }
  bool idle = load.m_requests.empty() && InFlight(aEntry) < 1;
  return idle && !load.m_isReservedForSuspect;
}

/// Returns the fraction of an engine reserved for urgent work: its recent peak
/// plus headroom, bounded by what the routine floor allows.
double Dispatcher::UrgentReserve(const UpstreamEntry& aEntry,
                                 const Pool& aPool,
                                 size_t aUpstreamCount) const
{
  const RankOrder& ranks = m_options.m_ranks;
  double slots = aEntry.m_row.m_slots;
  double share = aPool.m_urgentPeak * kUrgentPeakHeadroom /
                 static_cast<double>(std::max<size_t>(aUpstreamCount, 1));
  double fraction = std::max(ranks.m_minUrgentReserve, share / slots);
  return std::min({ fraction, kMaxUrgentReserve, 1 - ranks.m_routineFloor });
}

double Dispatcher::ShareOf(const UpstreamEntry& aEntry) const
{
  bool isOwn = aEntry.m_row.m_dataCentre == m_options.m_dataCentre;
  return isOwn ? m_options.m_slotShare : m_options.m_remoteSlotShare;
}

/// Returns the slots that this dispatcher may use: all of them if it does not
/// share the upstream. Otherwise its share of all slots, or, if larger, its own
/// requests plus its share of the free slots, so that dispatchers that cannot
/// see each other's recent placements do not overfill the engine.
double Dispatcher::AllottedSlots(Instant aNow,
                                 const UpstreamEntry& aEntry) const
{
  double slots = UsableSlots(aNow, aEntry);
  double share = ShareOf(aEntry);
  if (share >= 1) {
    return slots;
  }
  double own = static_cast<double>(RunningOn(aEntry.m_row.m_id));
  double free = std::max(0.0, slots - InFlight(aEntry));
  return std::max(slots * share, own + free * share);
}

bool Dispatcher::HasSlot(Instant aNow,
                         const UpstreamEntry& aEntry,
                         const Ticket& aTicket,
                         double aUrgentReserve)
{
  double slots = AllottedSlots(aNow, aEntry);
  double own = static_cast<double>(RunningOn(aEntry.m_row.m_id));
  if (slots <= 0 || own + 1 > std::max(slots, 1.0)) {
    return false;
  }
  const RankOrder& ranks = m_options.m_ranks;
  if (aTicket.m_rank == Rank::Urgent || ranks.m_isFirstComeFirstServed) {
    return true;
  }
  double routine = m_upstreamLoads[aEntry.m_row.m_id].m_routineCount;
  double reserved = std::max(0.0, aUrgentReserve * slots - (own - routine));
  bool isBelowFloor = routine + 1 <= ranks.m_routineFloor * slots;
  return own + 1 + reserved <= slots || isBelowFloor;
}

/// Returns whether an engine has memory for a request. Routine work must leave
/// the urgent reserve free. Urgent work may use the reserve and, if preemption
/// is allowed, the memory that routine work holds above its floor; the engine
/// then preempts routine work by priority.
bool Dispatcher::HasMemory(Instant aNow,
                           const UpstreamEntry& aEntry,
                           const Ticket& aTicket,
                           const Occupancy& aDemand,
                           double aUrgentReserve)
{
  const UpstreamRow& row = aEntry.m_row;
  Occupancy sum = RefreshOccupancy(aNow, row.m_id);
  UpstreamLoad& load = m_upstreamLoads[row.m_id];
  double limit = row.KvMemoryTokens() * m_options.m_memoryLimit;
  double share = ShareOf(aEntry);
  if (share < 1) {
    double reported =
      static_cast<double>(row.m_load.m_kvBlocksUsed) * row.m_blockTokens;
    double others = std::max(0.0, reported - load.m_occupancy.m_mean[0]);
    double own = ForecastPeak(m_options.m_forecast, sum);
    double free = std::max(0.0, limit - others - own);
    limit = std::max(limit * share, own + free * share);
  }
  sum += aDemand;
  double peak = ForecastPeak(m_options.m_forecast, sum);
  const RankOrder& ranks = m_options.m_ranks;
  if (ranks.m_isFirstComeFirstServed) {
    return peak <= limit;
  }
  double urgentPeak =
    ForecastPeak(m_options.m_forecast, load.m_urgentOccupancy);
  if (aTicket.m_rank == Rank::Routine) {
    double reserved = std::max(0.0, aUrgentReserve * limit - urgentPeak);
    return peak + reserved <= limit;
  }
  if (!ranks.m_urgentMayPreempt) {
    return peak <= limit;
  }
  Occupancy urgent = load.m_urgentOccupancy;
  urgent += aDemand;
  return peak <= limit || ForecastPeak(m_options.m_forecast, urgent) <=
                            (1 - ranks.m_routineFloor) * limit;
}

bool Dispatcher::HasCapacity(Instant aNow,
                             const UpstreamEntry& aEntry,
                             const Pool& aPool,
                             const Ticket& aTicket,
                             const Occupancy& aDemand,
                             size_t aUpstreamCount)
{
  if (!RespectsIsolation(aEntry, aTicket)) {
    return false;
  }
  if (std::holds_alternative<NoForecast>(m_options.m_forecast)) {
    return true;
  }
  double reserve = UrgentReserve(aEntry, aPool, aUpstreamCount);
  if (!HasSlot(aNow, aEntry, aTicket, reserve)) {
    return false;
  }
  if (aEntry.m_row.m_kind == UpstreamKind::Service) {
    return true;
  }
  // A request that exceeds the memory limit may still run on an empty engine.
  bool isEmpty =
    InFlight(aEntry) < 1 && m_upstreamLoads[aEntry.m_row.m_id].m_copyCount == 0;
  return isEmpty || HasMemory(aNow, aEntry, aTicket, aDemand, reserve);
}

Occupancy Dispatcher::DemandOf(const Ticket& aTicket) const
{
  return ForecastGeneration(m_options.m_forecast,
                            m_lengths,
                            { aTicket.m_model,
                              aTicket.m_account,
                              aTicket.m_promptTokens,
                              0,
                              aTicket.m_maxTokens,
                              aTicket.m_trueTokens,
                              aTicket.m_expectedTokens });
}

} // namespace persimmontally
