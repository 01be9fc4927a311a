// What the requests on an upstream take of its slots and memory, and what is
// left for one more.

#include "persimmontally/Routing/Dispatcher.h"

#include <algorithm>

namespace persimmontally {

/// The forecast of an engine is made anew after this; between, placements are
/// added to it.
static constexpr Duration kForecastPeriod = milliseconds(200);
/// Reports lag: what was placed within this time before one is not in it.
static constexpr Duration kReportLag = milliseconds(500);
/// Most of an engine that is kept free for urgent work: beyond this, urgent
/// work waits for slots that come free rather than leave them idle.
static constexpr double kMostUrgentReserve = 0.5;
/// Head room over the urgent work seen of late.
static constexpr double kUrgentPeakMargin = 1.25;

double Dispatcher::UnreadTokens(const UpstreamId& aId) const
{
  auto slot = m_slots.find(aId);
  if (slot == m_slots.end()) {
    return 0;
  }
  double tokens = 0;
  for (const RequestId& id : slot->second.m_requests) {
    const Running& running = m_running.at(id);
    bool isUnread = running.m_tokens == 0 && !running.m_isCopy;
    tokens += isUnread ? running.m_ticket.m_promptTokens : 0;
  }
  return tokens;
}

double Dispatcher::InFlight(const UpstreamEntry& aEntry) const
{
  auto slot = m_slots.find(aEntry.m_row.m_id);
  auto own = static_cast<double>(RunningOn(aEntry.m_row.m_id));
  if (ShareOf(aEntry) >= 1) {
    return own;
  }
  // Others' part: what the report shows beyond the own requests in it.
  double reported = static_cast<double>(aEntry.m_row.m_load.m_running) +
                    aEntry.m_row.m_load.m_waiting;
  double ownReported = 0;
  if (slot != m_slots.end()) {
    for (const RequestId& id : slot->second.m_requests) {
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
  Slot& slot = m_slots[aId];
  if (slot.m_forecastAt != Instant() &&
      slot.m_forecastAt + kForecastPeriod > aNow) {
    return slot.m_occupancy;
  }
  slot.m_forecastAt = aNow;
  slot.m_occupancy = Occupancy();
  slot.m_urgentOccupancy = Occupancy();
  for (const RequestId& id : slot.m_requests) {
    const Running& running = m_running.at(id);
    Occupancy part = ForecastGeneration(
      m_options.m_forecast, m_lengths, SizeOf(aNow, running));
    slot.m_occupancy += part;
    if (running.m_ticket.m_rank == Rank::Urgent) {
      slot.m_urgentOccupancy += part;
    }
  }
  return slot.m_occupancy;
}

/// A suspect runs on an upstream that has nothing else; one that drains for it
/// takes no other work.
bool Dispatcher::MayRunAlone(const UpstreamEntry& aEntry, const Ticket& aTicket)
{
  Slot& slot = m_slots[aEntry.m_row.m_id];
  bool suspect = m_suspects.contains(aTicket.m_fingerprint);
  if (!suspect) {
    return !slot.m_reservedAlone;
  }
  bool idle = slot.m_requests.empty() && InFlight(aEntry) < 1;
  return idle && !slot.m_reservedAlone;
}

/// Part of an engine that routine work leaves free for urgent work: what
/// urgent work took at its peak of late, with head room, but never more than
/// the routine floor allows.
double Dispatcher::UrgentReserve(const UpstreamEntry& aEntry,
                                 const Lane& aLane,
                                 size_t aUpstreamCount) const
{
  const RankOrder& ranks = m_options.m_ranks;
  double slots = aEntry.m_row.m_slots;
  double share = aLane.m_urgentPeak * kUrgentPeakMargin /
                 static_cast<double>(std::max<size_t>(aUpstreamCount, 1));
  double part = std::max(ranks.m_leastUrgentReserve, share / slots);
  return std::min({ part, kMostUrgentReserve, 1 - ranks.m_routineFloor });
}

double Dispatcher::ShareOf(const UpstreamEntry& aEntry) const
{
  bool isOwn = aEntry.m_row.m_dataCentre == m_options.m_dataCentre;
  return isOwn ? m_options.m_slotShare : m_options.m_remoteSlotShare;
}

/// Slots that this dispatcher may use: all of them, or its own share and the
/// same share of what seems free beyond, so that dispatchers that do not know
/// of each other's placements do not overfill the engine together.
double Dispatcher::OwnSlots(Instant aNow, const UpstreamEntry& aEntry) const
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
  double slots = OwnSlots(aNow, aEntry);
  double own = static_cast<double>(RunningOn(aEntry.m_row.m_id));
  if (slots <= 0 || own + 1 > std::max(slots, 1.0)) {
    return false;
  }
  const RankOrder& ranks = m_options.m_ranks;
  if (aTicket.m_rank == Rank::Urgent || ranks.m_isFirstComeFirstServed) {
    return true;
  }
  double routine = m_slots[aEntry.m_row.m_id].m_routine;
  double reserved = std::max(0.0, aUrgentReserve * slots - (own - routine));
  bool isBelowFloor = routine + 1 <= ranks.m_routineFloor * slots;
  return own + 1 + reserved <= slots || isBelowFloor;
}

/// Routine work must leave the reserve of memory free. Urgent work may use the
/// reserve, and beyond it whatever routine work holds above its floor: the
/// engine then preempts routine work by its priority.
bool Dispatcher::HasMemory(Instant aNow,
                           const UpstreamEntry& aEntry,
                           const Ticket& aTicket,
                           const Occupancy& aNeed,
                           double aUrgentReserve)
{
  const UpstreamRow& row = aEntry.m_row;
  Occupancy sum = RefreshOccupancy(aNow, row.m_id);
  Slot& slot = m_slots[row.m_id];
  double limit = row.MemoryTokens() * m_options.m_memoryLimit;
  double share = ShareOf(aEntry);
  if (share < 1) {
    double reported =
      static_cast<double>(row.m_load.m_kvBlocksUsed) * row.m_blockTokens;
    double others = std::max(0.0, reported - slot.m_occupancy.m_mean[0]);
    double own = ForecastPeak(m_options.m_forecast, sum);
    double free = std::max(0.0, limit - others - own);
    limit = std::max(limit * share, own + free * share);
  }
  sum += aNeed;
  double peak = ForecastPeak(m_options.m_forecast, sum);
  const RankOrder& ranks = m_options.m_ranks;
  if (ranks.m_isFirstComeFirstServed) {
    return peak <= limit;
  }
  double urgentPeak =
    ForecastPeak(m_options.m_forecast, slot.m_urgentOccupancy);
  if (aTicket.m_rank == Rank::Routine) {
    double reserved = std::max(0.0, aUrgentReserve * limit - urgentPeak);
    return peak + reserved <= limit;
  }
  if (!ranks.m_urgentMayPreempt) {
    return peak <= limit;
  }
  Occupancy urgent = slot.m_urgentOccupancy;
  urgent += aNeed;
  return peak <= limit || ForecastPeak(m_options.m_forecast, urgent) <=
                            (1 - ranks.m_routineFloor) * limit;
}

bool Dispatcher::HasRoom(Instant aNow,
                         const UpstreamEntry& aEntry,
                         const Lane& aLane,
                         const Ticket& aTicket,
                         const Occupancy& aNeed,
                         size_t aUpstreamCount)
{
  if (!MayRunAlone(aEntry, aTicket)) {
    return false;
  }
  if (std::holds_alternative<NoForecast>(m_options.m_forecast)) {
    return true;
  }
  double reserve = UrgentReserve(aEntry, aLane, aUpstreamCount);
  if (!HasSlot(aNow, aEntry, aTicket, reserve)) {
    return false;
  }
  if (aEntry.m_row.m_kind == UpstreamKind::Service) {
    return true;
  }
  // A request larger than the forecast allows still runs on an empty engine.
  bool isEmpty =
    InFlight(aEntry) < 1 && m_slots[aEntry.m_row.m_id].m_copies == 0;
  return isEmpty || HasMemory(aNow, aEntry, aTicket, aNeed, reserve);
}

Occupancy Dispatcher::NeedOf(const Ticket& aTicket) const
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
