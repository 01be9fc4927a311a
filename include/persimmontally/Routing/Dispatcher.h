#ifndef PERSIMMONTALLY_ROUTING_DISPATCHER_H
#define PERSIMMONTALLY_ROUTING_DISPATCHER_H

#include "persimmontally/Admission/FairQueue.h"
#include "persimmontally/Admission/LengthModel.h"
#include "persimmontally/Admission/MemoryForecast.h"
#include "persimmontally/Membership/UpstreamTable.h"
#include "persimmontally/Routing/Eligibility.h"
#include "persimmontally/Routing/HealthTable.h"
#include "persimmontally/Routing/LedgerScope.h"
#include "persimmontally/Routing/PaceTable.h"
#include "persimmontally/Routing/PeerQueue.h"
#include "persimmontally/Routing/PlacementPolicy.h"
#include "persimmontally/Routing/PrefixIndex.h"
#include "persimmontally/Routing/RateLimits.h"
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

/// How ranks are ordered and how capacity is divided between them.
struct RankOrder
{
  /// Serves both ranks from one first-come, first-served queue; a baseline.
  bool m_isFirstComeFirstServed = false;
  /// Fraction of the slots reserved for routine work while any is queued.
  double m_routineFloor = 0;
  /// Minimum fraction of each engine's slots reserved for urgent work. The
  /// actual reserve rises with the recent peak of urgent work.
  double m_minUrgentReserve = 0.1;
  /// Whether urgent work may be placed on an engine that has to preempt routine
  /// work for it. If false, it stays queued instead: a preempted generation
  /// stalls until its prompt has been prefilled again.
  bool m_urgentMayPreempt = true;
};

struct DispatchOptions
{
  DataCentreId m_dataCentre;
  RegionId m_region;
  PlacementPolicy m_placement = LeastLoadPlacement();
  ForecastPolicy m_forecast = ConditionalForecast();
  RankOrder m_ranks;
  /// Fraction of an engine's KV memory that admission may allocate.
  double m_memoryLimit = 0.97;
  /// Maximum number of upstreams whose scores are compared for one request.
  size_t m_candidates = 16;
  /// Queue heads tried for one placement before the queue is skipped.
  size_t m_maxHeadsTried = 8;
  /// Maximum queued tickets of each rank. When it is reached, the account with
  /// the most queued tickets loses its newest one.
  size_t m_maxQueued = 2000;
  /// Fraction of the upstreams' slots that this dispatcher may use; 1 if no
  /// other dispatcher places requests on them.
  double m_slotShare = 1;
  /// The same for upstreams in other data centres, where the local hosts place
  /// most of the requests.
  double m_remoteSlotShare = 1;
  /// Token rate assumed for a generation since its last progress report, once
  /// it has produced a token; 0 counts reported tokens only.
  double m_assumedTokensPerSecond = 0;
};

/// A placement decision and the scores behind it.
struct DispatchGrant
{
  Ticket m_ticket;
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  double m_score = 0;
  /// Comma-separated `upstream:score` pairs of the candidates, for the log.
  std::string m_candidates;
  /// Tickets of peer hosts for which capacity was set aside first.
  size_t m_peerTicketsAhead = 0;
  /// Number of upstreams that the residency excluded.
  size_t m_excludedByResidency = 0;
};

/// Why no upstream in a ticket's residency can take it, whatever the load.
enum class NoHome : uint8_t
{
  /// Route and account allow no region in common.
  NoRegion,
  /// No upstream is known in the allowed regions.
  NoneKnown,
  /// Those in the allowed regions are leaving or have fallen silent.
  NoneServing,
  /// Those in the allowed regions are in data centres that are evacuated.
  Evacuated,
};

/// Returns the name of a reason, for logs and metrics.
std::string_view ToString(NoHome aReason);

struct DispatchRefusal
{
  Ticket m_ticket;
  Refusal m_refusal;
  /// Set if no upstream in the residency can take the ticket.
  std::optional<NoHome> m_noHome = std::nullopt;
};

using DispatchAction = std::variant<DispatchGrant, DispatchRefusal>;

/// How a placed request ended.
enum class DispatchOutcome
{
  Finished,
  Failed,
  Cancelled
};

/// Purpose of a copy of a running generation's KV memory.
enum class CopyPurpose
{
  /// Kept up to date in case the engine is lost. Restricted to the data centre,
  /// since it continuously uses link bandwidth.
  Backup,
  /// Made because the engine is being reclaimed and the generated tokens would
  /// be lost. Prefers the data centre and stays within the region: a copy to
  /// another region blocked all other copies to the same engine for more than a
  /// second. May use the capacity reserved for urgent work.
  Rescue
};

/// Places queued requests on upstreams. Keeps requests queued until an upstream
/// has capacity, refuses those that cannot be placed before their deadline, and
/// maintains a forecast of each engine's KV memory.
class Dispatcher
{
public:
  /// Identifies a pool: the model or service that a request needs.
  using PoolKey = std::string;

  Dispatcher(DispatchOptions aOptions, uint64_t aSeed);

  static PoolKey PoolKeyOf(const Ticket& aTicket);

  /// Queues a ticket. Returns a refusal if the queue is full or the expected
  /// wait exceeds the placement deadline.
  std::optional<Refusal> Enqueue(Instant aNow, Ticket aTicket);
  /// Accounts for a request that another dispatcher placed on `aUpstream`. With
  /// `aIsCopy`, the upstream only holds a copy of its KV memory.
  void Adopt(Instant aNow,
             Ticket aTicket,
             const UpstreamId& aUpstream,
             uint32_t aTokens,
             bool aIsCopy = false);
  /// Marks a request as running on the upstream that held its copy.
  void UseCopy(const RequestId& aId);
  /// Removes a queued ticket. Returns false if it is not queued.
  bool Withdraw(const RequestId& aId);
  /// Records the total number of tokens a placed request has produced.
  void Progress(Instant aNow, const RequestId& aId, uint32_t aTokens);
  void Complete(Instant aNow, const RequestId& aId, DispatchOutcome aOutcome);

  std::vector<DispatchAction> Tick(Instant aNow, const UpstreamTable& aTable);

  /// Returns the engine to hold a copy of a generation running on `aSource`:
  /// the nearest one, then the one with the lowest memory use. Empty if none
  /// has capacity. `aMaxMemoryUse` bounds the fraction of the engine's memory
  /// in use, including the copy.
  /// Whether a generation may be copied to an upstream now: it takes work, is
  /// neither limited nor cold, and lies where the generation may be served.
  bool MayCopyTo(Instant aNow,
                 const UpstreamEntry& aEntry,
                 const Residency& aResidency) const;
  UpstreamId PickCopyTarget(Instant aNow,
                            const UpstreamTable& aTable,
                            const Ticket& aTicket,
                            const UpstreamRow& aSource,
                            CopyPurpose aPurpose,
                            double aMaxMemoryUse);

  /// Records a failed connection or an interrupted request. With `aIsGone` the
  /// upstream is known to be unavailable and is ejected at the next review. The
  /// next tick rebuilds the upstream lists.
  void RecordFailure(Instant aNow, const UpstreamId& aId, bool aIsGone);

  void SetRoutineFloor(double aFloor)
  {
    m_options.m_ranks.m_routineFloor = aFloor;
  }
  /// Sets the fractions of the slots that this dispatcher may use on upstreams
  /// of its own and of other data centres.
  void SetSlotShare(double aOwn, double aRemote)
  {
    m_options.m_slotShare = aOwn;
    m_options.m_remoteSlotShare = aRemote;
  }
  /// Sets the rate limits of upstreams, which placements keep. They must
  /// outlive this object.
  void SetRateLimits(RateLimits* aLimits) { m_rateLimits = aLimits; }
  /// Sets the permits for upstreams that are cold.
  void SetColdPermits(RateLimits* aPermits) { m_coldPermits = aPermits; }
  /// Number of placements so far that would have gone to a cold upstream, but
  /// for its limit, and were made elsewhere.
  uint64_t ColdDetours() const { return m_coldDetours; }
  /// Restricts the engines on which requests are placed. Services are not
  /// restricted. If no engine of the scope takes work, all engines do.
  void SetScope(const PlacementScope& aScope);
  /// Sets the data centres to whose upstreams nothing is sent from now on.
  void SetEvacuated(std::set<DataCentreId> aDataCentres);
  void SetMemoryLimit(double aFraction) { m_options.m_memoryLimit = aFraction; }
  double MemoryLimit() const { return m_options.m_memoryLimit; }
  void SetPoisonSuspects(std::set<uint64_t> aSuspects)
  {
    m_suspects = std::move(aSuspects);
  }
  size_t Queued(Rank aRank) const;
  bool HasQueued() const { return !m_poolOf.empty(); }
  size_t RunningOn(const UpstreamId& aId) const;
  PrefixIndex& Prefixes() { return m_prefixes; }
  HealthTable& Health() { return m_health; }
  PaceTable& Paces() { return m_paces; }
  /// Which upstreams requests may use, whatever their load.
  const Eligibility& Eligible() const { return m_eligibility; }
  /// Tickets queued at peer hosts.
  PeerQueue& PeerTickets() { return m_peerTickets; }
  /// Tickets for models at the heads of the queues, in no particular order; at
  /// most one per account, rank and model.
  std::vector<const Ticket*> QueueHeads() const;
  const LengthModel& Lengths() const { return m_lengths; }
  /// Estimates the queue wait of a new request from the recent rate of
  /// placements.
  Duration ExpectedWait(const Ticket& aTicket) const;

private:
  struct Running
  {
    Ticket m_ticket;
    UpstreamId m_upstream;
    Instant m_grantedAt;
    uint32_t m_tokens = 0;
    /// Time of the last progress report.
    Instant m_progressAt;
    double m_chargedTokens = 0;
    bool m_isIsolated = false;
    bool m_isCopy = false;
  };
  /// Upstreams of a pool that tickets with one residency may use.
  struct HomeList
  {
    std::vector<const UpstreamEntry*> m_upstreams;
    size_t m_excluded = 0;
    /// Set if there are none.
    std::optional<NoHome> m_noHome;
  };
  /// Requests that this dispatcher accounts for on one upstream.
  struct UpstreamLoad
  {
    std::set<RequestId> m_requests;
    Occupancy m_occupancy;
    /// Occupancy of the urgent requests alone.
    Occupancy m_urgentOccupancy;
    Instant m_forecastTime;
    uint32_t m_routineCount = 0;
    /// Number of copies of requests that run on other upstreams.
    uint32_t m_copyCount = 0;
    bool m_isReservedForSuspect = false;
  };
  /// Exponentially decayed counts of placements and of seconds, over the time
  /// in which the queue was backlogged.
  struct DrainRate
  {
    double m_grants = 0;
    double m_seconds = 0;
  };
  /// Placements of the tickets with one residency, by rank.
  struct Drain
  {
    std::array<DrainRate, kRanks.size()> m_rates{};
    std::array<uint32_t, kRanks.size()> m_grantedInTick{};
    std::array<bool, kRanks.size()> m_wasBacklogged{};
  };
  /// Queues and upstreams of one model or service.
  struct Pool
  {
    std::array<FairQueue, kRanks.size()> m_queues;
    std::array<uint32_t, kRanks.size()> m_running{};
    std::map<Residency, Drain> m_drains;
    Instant m_tickedAt;
    /// Upstreams of this pool as of `m_tableVersion`, with the sum of their
    /// usable slots in `m_slots`. Cached so that a placement does not scan the
    /// whole upstream table.
    std::vector<const UpstreamEntry*> m_upstreams;
    /// Those that take work outside the scope.
    std::vector<const UpstreamEntry*> m_outside;
    /// Those that do not take work.
    std::vector<const UpstreamEntry*> m_idle;
    /// Upstreams in the residencies asked for since `m_listedAt`.
    std::map<Residency, HomeList> m_homes;
    /// Those that take work, but are in evacuated data centres.
    std::vector<const UpstreamEntry*> m_evacuated;
    uint64_t m_tableVersion = 0;
    Instant m_listedAt;
    double m_slots = 0;
    /// Exponentially decayed maximum of the running urgent requests.
    double m_urgentPeak = 0;
    Instant m_peakAt;
    /// The objective of the last long stream that had one; the streams of peers
    /// are assumed to have it too.
    Duration m_pauseObjective{ 0 };
  };
  /// Location of the host that received a request.
  struct Origin
  {
    DataCentreId m_dataCentre;
    RegionId m_region;
  };
  /// Removes the upstreams for which this host has no permit from those that a
  /// queued ticket can be placed on, and asks for one if the best is among
  /// them.
  /// Whether neither a limit nor coldness keeps this host from an upstream now.
  bool MaySend(Instant aNow, const UpstreamRow& aRow) const;
  bool IsLimited(const UpstreamRow& aRow) const;
  std::optional<Duration> DeniedFor(Instant aNow,
                                    const UpstreamRow& aRow,
                                    Rank aRank) const;
  /// Moves cold upstreams without a permit to the end of the candidates, and
  /// keeps one of them in reach, so that permits are asked for.
  void DeferCold(Instant aNow,
                 std::vector<const UpstreamEntry*>& aEntries) const;
  void KeepRateLimits(Instant aNow,
                      const Ticket& aTicket,
                      std::vector<const UpstreamEntry*>& aEntries,
                      std::vector<PlacementView>& aViews,
                      std::vector<double>& aScores);
  /// Refuses the queued tickets for which no upstream in their residency
  /// will have a permit: routine ones first, then those of the accounts with
  /// the most.
  void RefuseDenied(Instant aNow,
                    Pool& aPool,
                    std::vector<DispatchAction>& aActions);
  void RefuseDenied(Instant aNow,
                    Pool& aPool,
                    const Residency& aResidency,
                    std::vector<DispatchAction>& aActions);
  bool EnsureQueueSpace(FairQueue& aQueue, const Ticket& aTicket);
  void UncountQueued(const Ticket& aTicket);
  FairQueue& QueueOf(Pool& aPool, Rank aRank);
  void ListUpstreams(Instant aNow,
                     const UpstreamTable& aTable,
                     const Ticket& aSample,
                     Pool& aPool);
  /// Returns the upstreams that tickets with a residency may use: those of the
  /// scope, or all of them if the scope has none in the residency.
  const HomeList& HomesOf(Instant aNow,
                          Pool& aPool,
                          const Residency& aResidency);
  HomeList ListHomes(const Pool& aPool, const Residency& aResidency) const;
  /// Refuses the queued tickets for whose residency there is no upstream.
  void RefuseHomeless(Instant aNow,
                      Pool& aPool,
                      std::vector<DispatchAction>& aActions);
  void ServePool(Instant aNow,
                 const UpstreamTable& aTable,
                 Pool& aPool,
                 std::vector<DispatchAction>& aActions);
  std::vector<Rank> RankSequence(const Pool& aPool, double aSlots) const;
  bool ServeRank(Instant aNow,
                 Pool& aPool,
                 Rank aRank,
                 std::vector<DispatchAction>& aActions);
  std::optional<DispatchGrant> PlaceAfterPeers(Instant aNow,
                                               Pool& aPool,
                                               const Ticket& aTicket);
  std::optional<DispatchGrant> Place(Instant aNow,
                                     Pool& aPool,
                                     const Ticket& aTicket,
                                     const Origin& aOrigin);
  std::vector<const UpstreamEntry*> Candidates(
    Instant aNow,
    const std::vector<const UpstreamEntry*>& aUpstreams,
    const Ticket& aTicket,
    const Origin& aOrigin);
  static void NotePauseObjective(const Ticket& aTicket, Pool& aPool);
  /// Adds the forecast of pauses to the view of an engine.
  void ForecastPauses(Instant aNow,
                      const Pool& aPool,
                      const Ticket& aTicket,
                      PlacementView& aView) const;
  PlacementView ViewOf(Instant aNow,
                       const Pool& aPool,
                       const UpstreamEntry& aEntry,
                       const Ticket& aTicket,
                       const Origin& aOrigin);
  bool HasCapacity(Instant aNow,
                   const UpstreamEntry& aEntry,
                   const Pool& aPool,
                   const Ticket& aTicket,
                   const Occupancy& aDemand,
                   size_t aUpstreamCount);
  double ShareOf(const UpstreamEntry& aEntry) const;
  void Occupy(Instant aNow, Pool& aPool, Running aRunning);
  double AllottedSlots(Instant aNow, const UpstreamEntry& aEntry) const;
  bool HasSlot(Instant aNow,
               const UpstreamEntry& aEntry,
               const Ticket& aTicket,
               double aUrgentReserve);
  bool HasMemory(Instant aNow,
                 const UpstreamEntry& aEntry,
                 const Ticket& aTicket,
                 const Occupancy& aDemand,
                 double aUrgentReserve);
  double UrgentReserve(const UpstreamEntry& aEntry,
                       const Pool& aPool,
                       size_t aUpstreamCount) const;
  Occupancy DemandOf(const Ticket& aTicket) const;
  bool RespectsIsolation(const UpstreamEntry& aEntry, const Ticket& aTicket);
  double InFlight(const UpstreamEntry& aEntry) const;
  double PendingPrefillTokens(const UpstreamId& aId) const;
  double UsableSlots(Instant aNow, const UpstreamEntry& aEntry) const;
  const Occupancy& RefreshOccupancy(Instant aNow, const UpstreamId& aId);
  GenerationSize SizeOf(Instant aNow, const Running& aRunning) const;
  void Grant(Instant aNow, Pool& aPool, const DispatchGrant& aGrant);
  void RefuseExpired(Instant aNow,
                     Pool& aPool,
                     std::vector<DispatchAction>& aActions);
  static void UpdateDrainRate(Instant aNow, Pool& aPool);
  void UpdateUrgentPeak(Instant aNow, Pool& aPool) const;
  void Release(const RequestId& aId);

  DispatchOptions m_options;
  PlacementScope m_scope;
  Eligibility m_eligibility;
  std::mt19937_64 m_random;
  std::map<PoolKey, Pool> m_pools;
  std::unordered_map<RequestId, PoolKey> m_poolOf;
  std::unordered_map<RequestId, Running> m_running;
  std::map<UpstreamId, UpstreamLoad> m_upstreamLoads;
  LengthModel m_lengths;
  PrefixIndex m_prefixes;
  HealthTable m_health;
  PaceTable m_paces;
  PeerQueue m_peerTickets;
  std::set<uint64_t> m_suspects;
  RateLimits* m_rateLimits = nullptr;
  RateLimits* m_coldPermits = nullptr;
  uint64_t m_coldDetours = 0;
  uint64_t m_placementSequence = 0;
  /// Number of queued tickets by rank.
  std::array<size_t, kRanks.size()> m_queued{};
  /// Tickets evicted from full queues; refused at the next tick.
  std::vector<Ticket> m_displaced;
};

} // namespace persimmontally

#endif
