#ifndef PERSIMMONTALLY_ROUTING_DISPATCHER_H
#define PERSIMMONTALLY_ROUTING_DISPATCHER_H

#include "persimmontally/Admission/FairQueue.h"
#include "persimmontally/Admission/LengthModel.h"
#include "persimmontally/Admission/MemoryForecast.h"
#include "persimmontally/Membership/UpstreamTable.h"
#include "persimmontally/Routing/HealthTable.h"
#include "persimmontally/Routing/PlacementPolicy.h"
#include "persimmontally/Routing/PrefixIndex.h"
#include "persimmontally/Routing/RivalQueue.h"
#include "persimmontally/Support/ErrorKind.h"

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace persimmontally {

/// Order in which ranks are served.
struct RankOrder
{
  /// First come, first served over both ranks; a baseline.
  bool m_isFirstComeFirstServed = false;
  /// Part of the slots that routine work keeps while it waits.
  double m_routineFloor = 0;
  /// Slots of each engine that only urgent work may take, as a part of the
  /// slots; rises with the urgent work seen of late.
  double m_leastUrgentReserve = 0.1;
  /// Whether urgent work is sent to an engine that has to preempt routine work
  /// for it. Off, it waits: a preempted generation pauses for the time that
  /// its prompt takes to be read again.
  bool m_urgentMayPreempt = true;
};

struct DispatchOptions
{
  DataCentreId m_dataCentre;
  RegionId m_region;
  PlacementPolicy m_placement = LeastLoadPlacement();
  ForecastPolicy m_forecast = ConditionalForecast();
  RankOrder m_ranks;
  /// Part of an engine's memory that admission plans with.
  double m_memoryLimit = 0.97;
  /// Upstreams whose scores are compared for one request.
  size_t m_candidates = 16;
  /// Heads of queues that are tried before a tick gives up.
  size_t m_headsTried = 8;
  /// Waiting tickets of each rank. Beyond it the account that has the most
  /// waiting loses its newest one.
  size_t m_maxQueued = 2000;
  /// Parts of the fleet that other dispatchers use: slots are divided by it.
  /// 1 when this dispatcher alone grants slots of the upstreams.
  double m_slotShare = 1;
  /// The same for upstreams of other data centres, whose own hosts grant most
  /// of their slots.
  double m_remoteSlotShare = 1;
  /// Tokens a second that a generation is taken to make since its progress was
  /// last told, once it has begun; 0 to count told tokens only.
  double m_assumedTokensPerSecond = 0;
};

/// A placement, with what spoke for it.
struct DispatchGrant
{
  Ticket m_ticket;
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  double m_score = 0;
  /// `upstream:score` of the candidates, for the log.
  std::string m_candidates;
  /// Tickets of other hosts that came before it.
  size_t m_rivalsAhead = 0;
};

struct DispatchRefusal
{
  Ticket m_ticket;
  Refusal m_refusal;
};

using DispatchAction = std::variant<DispatchGrant, DispatchRefusal>;

/// How a placed request ended.
enum class DispatchOutcome
{
  Finished,
  Failed,
  Cancelled
};

/// What the copy of a running generation is for.
enum class CopyPurpose
{
  /// It is kept up to date in case the engine goes. Only within the data
  /// centre: it follows the generation over the links all the time.
  Backup,
  /// The engine leaves, and without the copy the work done is lost. Within the
  /// region, the data centre first, and also in the room that new routine work
  /// leaves to urgent work. Not beyond: a copy to another region held up all
  /// others to the same engine for more than a second.
  Rescue
};

/// Decides which waiting request goes to which upstream and when. It holds
/// what cannot be placed yet, refuses what cannot be placed in time, and keeps
/// a forecast of the memory of each engine.
class Dispatcher
{
public:
  /// Names the model or service whose upstreams a request competes for.
  using LaneKey = std::string;

  Dispatcher(DispatchOptions aOptions, uint64_t aSeed);

  static LaneKey KeyOf(const Ticket& aTicket);

  /// Queues a ticket, or refuses it at once.
  std::optional<Refusal> Enqueue(Instant aNow, Ticket aTicket);
  /// Takes over a request that another dispatcher placed.
  /// With `aIsCopy` the request runs elsewhere and only its memory is here.
  void Adopt(Instant aNow,
             Ticket aTicket,
             const UpstreamId& aUpstream,
             uint32_t aTokens,
             bool aIsCopy = false);
  /// States that a request whose copy was here now runs here.
  void UseCopy(const RequestId& aId);
  /// Removes a ticket whose caller has gone; false if it does not wait.
  bool Withdraw(const RequestId& aId);
  /// Tokens that a placed request has produced so far.
  void Progress(Instant aNow, const RequestId& aId, uint32_t aTokens);
  void Complete(Instant aNow, const RequestId& aId, DispatchOutcome aOutcome);

  std::vector<DispatchAction> Tick(Instant aNow, const UpstreamTable& aTable);

  /// Engine with room for the copy of a generation that runs on `aSource`, the
  /// emptiest first; empty if there is none. `aMostUse` bounds the part of the
  /// memory that is in use with the copy.
  UpstreamId PickCopyTarget(Instant aNow,
                            const UpstreamTable& aTable,
                            const Ticket& aTicket,
                            const UpstreamRow& aSource,
                            CopyPurpose aPurpose,
                            double aMostUse);

  /// Notes that an upstream failed a connection or broke a request off; with
  /// `aIsGone` it is certain that it no longer serves. Counts at once.
  void RecordFailure(Instant aNow, const UpstreamId& aId, bool aIsGone);

  void SetRoutineFloor(double aFloor)
  {
    m_options.m_ranks.m_routineFloor = aFloor;
  }
  /// Sets the part of the upstreams' slots that this dispatcher may count on.
  void SetSlotShare(double aOwn, double aRemote)
  {
    m_options.m_slotShare = aOwn;
    m_options.m_remoteSlotShare = aRemote;
  }
  void SetMemoryLimit(double aPart) { m_options.m_memoryLimit = aPart; }
  double MemoryLimit() const { return m_options.m_memoryLimit; }
  void SetPoisonSuspects(std::set<uint64_t> aSuspects)
  {
    m_suspects = std::move(aSuspects);
  }
  size_t Queued(Rank aRank) const;
  size_t RunningOn(const UpstreamId& aId) const;
  PrefixIndex& Prefixes() { return m_prefixes; }
  HealthTable& Health() { return m_health; }
  /// What waits at other hosts.
  RivalQueue& Rivals() { return m_rivals; }
  /// Tickets for engines that could be next here, in no order; one for each
  /// account and rank.
  std::vector<const Ticket*> WaitingHeads() const;
  const LengthModel& Lengths() const { return m_lengths; }
  /// Wait that a request of the rank would have now, by the rate of grants.
  Duration ExpectedWait(const Ticket& aTicket) const;

private:
  struct Running
  {
    Ticket m_ticket;
    UpstreamId m_upstream;
    Instant m_grantedAt;
    uint32_t m_tokens = 0;
    /// When the tokens were told.
    Instant m_progressAt;
    double m_charged = 0;
    bool m_isAlone = false;
    bool m_isCopy = false;
  };
  /// What this dispatcher has on one upstream.
  struct Slot
  {
    std::set<RequestId> m_requests;
    Occupancy m_occupancy;
    /// The part of it that is urgent.
    Occupancy m_urgentOccupancy;
    Instant m_forecastAt;
    uint32_t m_routine = 0;
    /// Copies of requests that run elsewhere.
    uint32_t m_copies = 0;
    bool m_reservedAlone = false;
  };
  /// Grants and seconds of the time in which a queue was never empty; old
  /// ones fade.
  struct DrainRate
  {
    double m_grants = 0;
    double m_seconds = 0;
  };
  /// Waiting work for one model or service.
  struct Lane
  {
    std::array<FairQueue, kRanks.size()> m_queues;
    std::array<uint32_t, kRanks.size()> m_running{};
    std::array<DrainRate, kRanks.size()> m_drain{};
    std::array<uint32_t, kRanks.size()> m_grantedInTick{};
    std::array<bool, kRanks.size()> m_wasBacklogged{};
    Instant m_tickedAt;
    /// Upstreams that serve this work, as of a version of their table, and
    /// their usable slots. Rebuilt once in a while, so that one decision does
    /// not cost a look at the whole fleet.
    std::vector<const UpstreamEntry*> m_upstreams;
    uint64_t m_tableVersion = 0;
    Instant m_listedAt;
    double m_slots = 0;
    /// Highest number of urgent requests that ran of late; it fades.
    double m_urgentPeak = 0;
    Instant m_peakAt;
  };
  /// Where the host of a request is.
  struct Origin
  {
    DataCentreId m_dataCentre;
    RegionId m_region;
  };
  bool MakeQueueRoom(FairQueue& aQueue, const Ticket& aTicket);
  void ForgetQueued(const Ticket& aTicket);
  FairQueue& QueueOf(Lane& aLane, Rank aRank);
  void ListUpstreams(Instant aNow,
                     const UpstreamTable& aTable,
                     const Ticket& aSample,
                     Lane& aLane);
  void ServeLane(Instant aNow,
                 const UpstreamTable& aTable,
                 Lane& aLane,
                 std::vector<DispatchAction>& aActions);
  std::vector<Rank> RankSequence(const Lane& aLane, double aSlots) const;
  bool ServeRank(Instant aNow,
                 const std::vector<const UpstreamEntry*>& aUpstreams,
                 Lane& aLane,
                 Rank aRank,
                 std::vector<DispatchAction>& aActions);
  std::optional<DispatchGrant> PlaceAfterRivals(
    Instant aNow,
    const std::vector<const UpstreamEntry*>& aUpstreams,
    Lane& aLane,
    const Ticket& aTicket);
  std::optional<DispatchGrant> Place(
    Instant aNow,
    const std::vector<const UpstreamEntry*>& aUpstreams,
    const Lane& aLane,
    const Ticket& aTicket,
    const Origin& aOrigin);
  std::vector<const UpstreamEntry*> Candidates(
    Instant aNow,
    const std::vector<const UpstreamEntry*>& aUpstreams,
    const Ticket& aTicket,
    const Origin& aOrigin);
  PlacementView ViewOf(Instant aNow,
                       const UpstreamEntry& aEntry,
                       const Ticket& aTicket,
                       const Origin& aOrigin);
  bool HasRoom(Instant aNow,
               const UpstreamEntry& aEntry,
               const Lane& aLane,
               const Ticket& aTicket,
               const Occupancy& aNeed,
               size_t aUpstreamCount);
  double ShareOf(const UpstreamEntry& aEntry) const;
  void Occupy(Instant aNow, Lane& aLane, Running aRunning);
  double OwnSlots(Instant aNow, const UpstreamEntry& aEntry) const;
  bool HasSlot(Instant aNow,
               const UpstreamEntry& aEntry,
               const Ticket& aTicket,
               double aUrgentReserve);
  bool HasMemory(Instant aNow,
                 const UpstreamEntry& aEntry,
                 const Ticket& aTicket,
                 const Occupancy& aNeed,
                 double aUrgentReserve);
  double UrgentReserve(const UpstreamEntry& aEntry,
                       const Lane& aLane,
                       size_t aUpstreamCount) const;
  Occupancy NeedOf(const Ticket& aTicket) const;
  bool MayRunAlone(const UpstreamEntry& aEntry, const Ticket& aTicket);
  double InFlight(const UpstreamEntry& aEntry) const;
  double UnreadTokens(const UpstreamId& aId) const;
  double UsableSlots(Instant aNow, const UpstreamEntry& aEntry) const;
  const Occupancy& RefreshOccupancy(Instant aNow, const UpstreamId& aId);
  GenerationSize SizeOf(Instant aNow, const Running& aRunning) const;
  void Grant(Instant aNow, Lane& aLane, const DispatchGrant& aGrant);
  void RefuseExpired(Instant aNow,
                     Lane& aLane,
                     std::vector<DispatchAction>& aActions);
  static void NoteDrain(Instant aNow, Lane& aLane);
  void NoteUrgentPeak(Instant aNow, Lane& aLane) const;
  void Release(const RequestId& aId);

  DispatchOptions m_options;
  std::mt19937_64 m_random;
  std::map<LaneKey, Lane> m_lanes;
  std::unordered_map<RequestId, LaneKey> m_laneOf;
  std::unordered_map<RequestId, Running> m_running;
  std::map<UpstreamId, Slot> m_slots;
  LengthModel m_lengths;
  PrefixIndex m_prefixes;
  HealthTable m_health;
  RivalQueue m_rivals;
  std::set<uint64_t> m_suspects;
  uint64_t m_roundRobin = 0;
  /// Waiting tickets by rank.
  std::array<size_t, kRanks.size()> m_queued{};
  /// Tickets that gave way to others; refused at the next tick.
  std::vector<Ticket> m_displaced;
};

} // namespace persimmontally

#endif
