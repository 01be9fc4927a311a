#include "persimmontally/Load/VirtualBench.h"

#include "persimmontally/Support/Metrics.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <set>

namespace persimmontally {

static constexpr Duration kTickPeriod = milliseconds(5);
static constexpr size_t kEntryHosts = 6;
/// Longest time after the end of the trace for which open requests continue.
static constexpr Duration kDrainTimeout = seconds(120);

std::vector<std::string> VariantNames()
{
  return { "round_robin", "least_in_flight", "mean",
           "own",         "conditional",     "oracle" };
}

absl::StatusOr<BenchVariant> MakeVariant(std::string_view aName)
{
  BenchVariant variant;
  variant.m_name = std::string(aName);
  DispatchOptions& dispatch = variant.m_dispatch;
  dispatch.m_dataCentre = DataCentreId("dc-0");
  dispatch.m_region = RegionId("region-0");
  if (aName == "round_robin" || aName == "least_in_flight") {
    variant.m_dispatchers = kEntryHosts;
    dispatch.m_slotShare = 1.0 / kEntryHosts;
    dispatch.m_remoteSlotShare = 1.0 / kEntryHosts;
    dispatch.m_forecast = NoForecast();
    dispatch.m_ranks.m_isFirstComeFirstServed = true;
    dispatch.m_maxQueued = 1'000'000;
    dispatch.m_placement = aName == "round_robin"
                             ? PlacementPolicy(RoundRobinPlacement())
                             : PlacementPolicy(LeastInFlightPlacement());
    return variant;
  }
  if (aName == "own") {
    variant.m_dispatchers = kEntryHosts;
    dispatch.m_slotShare = 1.0 / kEntryHosts;
    dispatch.m_remoteSlotShare = 1.0 / kEntryHosts;
    return variant;
  }
  variant.m_dispatcherRoundTrip = milliseconds(4);
  if (aName == "mean") {
    dispatch.m_forecast = MeanForecast();
  } else if (aName == "oracle") {
    dispatch.m_forecast = OracleForecast();
  } else if (aName != "conditional") {
    return absl::InvalidArgumentError("unknown variant '" + std::string(aName) +
                                      "'");
  }
  return variant;
}

namespace {

/// Returns the CPU time of this thread in seconds.
double ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         1e-9 * static_cast<double>(time.tv_nsec);
}

class Bench
{
public:
  Bench(const BenchVariant& aVariant,
        const BenchFleet& aFleet,
        const Trace& aTrace)
    : m_variant(aVariant)
    , m_fleet(aFleet)
    , m_trace(aTrace)
    , m_engines(aFleet.m_engines, EngineModel(aFleet.m_engine))
  {
    m_result.m_records.resize(aTrace.size());
    for (size_t i = 0; i < aTrace.size(); ++i) {
      m_result.m_records[i].m_item = aTrace[i];
      m_itemIndexById[aTrace[i].m_id] = i;
    }
    m_result.m_traceDuration =
      aTrace.empty() ? Duration(0) : aTrace.back().m_at;
    for (size_t i = 0; i < aVariant.m_dispatchers; ++i) {
      m_dispatchers.push_back(
        std::make_unique<Dispatcher>(aVariant.m_dispatch, i + 1));
      m_dispatchers.back()->SetRoutineFloor(aFleet.m_routineFloor);
    }
    for (size_t i = 0; i < m_engines.size(); ++i) {
      Announce(i);
    }
  }

  BenchResult Run()
  {
    Instant end = m_start + m_result.m_traceDuration + kDrainTimeout;
    while (m_now < end && (m_nextItem < m_trace.size() || m_openRequests > 0)) {
      m_now += kTickPeriod;
      StallFirstEngine();
      AdvanceEngines();
      AnnounceLoads();
      EnqueueArrivals();
      PlaceRequests();
    }
    for (const EngineModel& engine : m_engines) {
      m_result.m_preemptions += engine.Preemptions();
      m_result.m_cacheHitTokens += engine.CacheHitTokens();
    }
    return std::move(m_result);
  }

private:
  static UpstreamId EngineId(size_t aEngine)
  {
    return UpstreamId("engine-" + std::to_string(aEngine));
  }

  void Announce(size_t aEngine)
  {
    UpstreamRow row;
    row.m_id = EngineId(aEngine);
    row.m_incarnation = 1;
    row.m_sequence = ++m_sequence;
    row.m_dataCentre = DataCentreId("dc-" + std::to_string(aEngine % 3));
    row.m_region = RegionId("region-" + std::to_string(aEngine % 3));
    row.m_models = { ModelId("default") };
    row.m_slots = m_fleet.m_engine.m_slots;
    row.m_kvBlocks = m_fleet.m_engine.m_kvBlocks;
    row.m_blockTokens = m_fleet.m_engine.m_blockTokens;
    row.m_load = m_sampledLoads[aEngine];
    m_table.Merge(m_now, row);
    const EngineModel& engine = m_engines[aEngine];
    m_sampledLoads[aEngine] = { static_cast<uint32_t>(engine.Running()),
                                static_cast<uint32_t>(engine.Waiting()),
                                engine.BlocksUsed() };
  }

  /// Announces all engines once per report period, each with the load that was
  /// sampled at its previous announcement.
  void AnnounceLoads()
  {
    if (m_now < m_nextReport) {
      return;
    }
    m_nextReport = m_now + m_fleet.m_reportPeriod;
    for (size_t i = 0; i < m_engines.size(); ++i) {
      Announce(i);
    }
  }

  void StallFirstEngine()
  {
    bool isDue = m_fleet.m_stallDuration.count() > 0 && !m_hasStalled &&
                 m_now >= m_start + m_result.m_traceDuration / 3;
    if (isDue) {
      m_hasStalled = true;
      m_engines[0].StallUntil(m_now + m_fleet.m_stallDuration);
    }
  }

  size_t DispatcherOf(size_t aIndex) const
  {
    return aIndex % m_dispatchers.size();
  }

  Ticket MakeTicket(const TraceItem& aItem) const
  {
    Ticket ticket;
    ticket.m_id = RequestId(aItem.m_id);
    ticket.m_account = aItem.m_account;
    ticket.m_rank = aItem.m_rank;
    ticket.m_model = ModelId(aItem.m_model);
    ticket.m_promptTokens = aItem.m_promptTokens;
    ticket.m_maxTokens = 32768;
    ticket.m_trueTokens = aItem.m_outputTokens;
    uint32_t blocks = aItem.m_sharedTokens / m_fleet.m_engine.m_blockTokens;
    for (uint32_t i = 0; i < blocks; ++i) {
      ticket.m_prefix.push_back(
        std::hash<std::string>()(aItem.m_account.Value()) * 131 + i);
    }
    ticket.m_arrivedAt = m_now;
    ticket.m_placeBy =
      m_now + (aItem.m_rank == Rank::Urgent ? m_variant.m_urgentMaxWait
                                            : m_variant.m_routineMaxWait);
    return ticket;
  }

  bool IsBaseline() const
  {
    return std::holds_alternative<NoForecast>(m_variant.m_dispatch.m_forecast);
  }

  void EnqueueArrivals()
  {
    while (m_nextItem < m_trace.size() &&
           m_start + m_trace[m_nextItem].m_at <= m_now) {
      size_t index = m_nextItem++;
      CallerRecord& record = m_result.m_records[index];
      record.m_sentAt = m_start + m_trace[index].m_at;
      if (!m_trace[index].m_service.empty()) {
        record.m_hasEnded = true;
        continue;
      }
      double before = ThreadCpuSeconds();
      auto refusal = m_dispatchers[DispatcherOf(index)]->Enqueue(
        m_now, MakeTicket(m_trace[index]));
      m_result.m_decisionCpuSeconds += ThreadCpuSeconds() - before;
      ++m_result.m_decisions;
      if (refusal) {
        Refuse(record);
        continue;
      }
      ++m_openRequests;
    }
  }

  void Refuse(CallerRecord& aRecord)
  {
    aRecord.m_errorKind = "overloaded";
    aRecord.m_ran = "no";
    aRecord.m_hasEnded = true;
    aRecord.m_endedAt = m_now;
  }

  void PlaceRequests()
  {
    for (auto& dispatcher : m_dispatchers) {
      double before = ThreadCpuSeconds();
      auto actions = dispatcher->Tick(m_now, m_table);
      m_result.m_decisionCpuSeconds += ThreadCpuSeconds() - before;
      for (const DispatchAction& action : actions) {
        if (const auto* grant = std::get_if<DispatchGrant>(&action)) {
          Submit(*grant);
          continue;
        }
        const auto& refusal = std::get<DispatchRefusal>(action);
        Refuse(m_result
                 .m_records[m_itemIndexById.at(refusal.m_ticket.m_id.Value())]);
        --m_openRequests;
      }
    }
  }

  void Submit(const DispatchGrant& aGrant)
  {
    const Ticket& ticket = aGrant.m_ticket;
    size_t index = m_itemIndexById.at(ticket.m_id.Value());
    size_t engine = 0;
    while (EngineId(engine) != aGrant.m_upstream) {
      ++engine;
    }
    EngineRequest request;
    request.m_id = ticket.m_id.Value();
    request.m_promptTokens = ticket.m_promptTokens;
    request.m_outputTokens = m_trace[index].m_outputTokens;
    // The baselines ignore ranks, so all their requests have one priority.
    request.m_priority = IsBaseline() || ticket.m_rank == Rank::Routine ? 1 : 0;
    request.m_prefix = ticket.m_prefix;
    m_engines[engine].Submit(m_now + m_variant.m_dispatcherRoundTrip,
                             std::move(request));
  }

  void AdvanceEngines()
  {
    for (size_t i = 0; i < m_engines.size(); ++i) {
      for (const EngineEvent& event : m_engines[i].Advance(m_now)) {
        OnEvent(i, event);
      }
    }
  }

  void OnEvent(size_t aEngine, const EngineEvent& aEvent)
  {
    if (aEvent.m_kind == EngineEventKind::Preempted) {
      return;
    }
    size_t index = m_itemIndexById.at(aEvent.m_id);
    CallerRecord& record = m_result.m_records[index];
    Dispatcher& dispatcher = *m_dispatchers[DispatcherOf(index)];
    RequestId id(aEvent.m_id);
    if (aEvent.m_kind == EngineEventKind::Finished) {
      dispatcher.Complete(m_now, id, DispatchOutcome::Finished);
      record.m_hasEnded = true;
      record.m_status = 200;
      record.m_sawDone = true;
      record.m_endedAt = aEvent.m_at;
      --m_openRequests;
      return;
    }
    if (!record.m_tokenTimes.empty()) {
      dispatcher.Health().RecordGap(
        m_now, EngineId(aEngine), aEvent.m_at - record.m_tokenTimes.back());
    }
    record.m_tokenTimes.push_back(aEvent.m_at +
                                  m_variant.m_dispatcherRoundTrip);
    dispatcher.Progress(m_now, id, aEvent.m_index + 1);
  }

  const BenchVariant& m_variant;
  const BenchFleet& m_fleet;
  const Trace& m_trace;
  std::vector<EngineModel> m_engines;
  std::map<size_t, UpstreamLoad> m_sampledLoads;
  std::vector<std::unique_ptr<Dispatcher>> m_dispatchers;
  UpstreamTable m_table;
  std::map<std::string, size_t> m_itemIndexById;
  BenchResult m_result;
  Instant m_start{ seconds(10) };
  Instant m_now{ seconds(10) };
  Instant m_nextReport;
  uint64_t m_sequence = 0;
  size_t m_nextItem = 0;
  size_t m_openRequests = 0;
  bool m_hasStalled = false;
};

struct RankMetrics
{
  LatencyHistogram m_timeToFirstToken;
  LatencyHistogram m_timeBetweenTokens;
  uint64_t m_requests = 0;
  uint64_t m_refused = 0;
  uint64_t m_tokens = 0;
  Duration m_stallTime{ 0 };
};

} // namespace

BenchResult RunBench(const BenchVariant& aVariant,
                     const BenchFleet& aFleet,
                     const Trace& aTrace)
{
  return Bench(aVariant, aFleet, aTrace).Run();
}

std::string BenchTableHead()
{
  return "| variant | urgent first token ms p50 / p95 / p99 | urgent refused | "
         "between tokens ms p95 / p99 urgent | routine | routine first token s "
         "p95 | routine refused | routine part of tokens in the trace | "
         "stalled "
         "s | preemptions | tokens/s | Jain of routine | us a decision |\n"
         "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

std::string BenchTableRow(const std::string& aName, const BenchResult& aResult)
{
  constexpr Duration kStallThreshold = milliseconds(200);
  RankMetrics ranks[2];
  std::map<AccountId, double> routineTokens;
  uint64_t tokensInTrace = 0;
  uint64_t routineTokensInTrace = 0;
  Instant traceEnd = Instant(seconds(10)) + aResult.m_traceDuration;
  for (const CallerRecord& record : aResult.m_records) {
    if (!record.m_item.m_service.empty()) {
      continue;
    }
    RankMetrics& rank = ranks[static_cast<size_t>(record.m_item.m_rank)];
    ++rank.m_requests;
    rank.m_refused += record.m_errorKind.empty() ? 0 : 1;
    bool isRoutine = record.m_item.m_rank == Rank::Routine;
    for (size_t i = 0; i < record.m_tokenTimes.size(); ++i) {
      ++rank.m_tokens;
      if (record.m_tokenTimes[i] <= traceEnd) {
        ++tokensInTrace;
        routineTokensInTrace += isRoutine ? 1 : 0;
        if (isRoutine) {
          routineTokens[record.m_item.m_account] += 1;
        }
      }
      if (i == 0) {
        rank.m_timeToFirstToken.Record(record.m_tokenTimes[0] -
                                       record.m_sentAt);
        continue;
      }
      Duration gap = record.m_tokenTimes[i] - record.m_tokenTimes[i - 1];
      rank.m_timeBetweenTokens.Record(gap);
      rank.m_stallTime +=
        gap > kStallThreshold ? gap - kStallThreshold : Duration(0);
    }
  }
  std::vector<double> tokensPerAccount;
  for (const auto& [account, tokens] : routineTokens) {
    tokensPerAccount.push_back(tokens);
  }
  auto ms = [](Duration aValue) { return ToSeconds(aValue) * 1000; };
  const RankMetrics& urgent = ranks[0];
  const RankMetrics& routine = ranks[1];
  double seconds = std::max(1e-9, ToSeconds(aResult.m_traceDuration));
  char text[512];
  std::snprintf(
    text,
    sizeof text,
    "| %s | %.0f / %.0f / %.0f | %llu of %llu | %.0f / %.0f | %.0f / %.0f | "
    "%.1f | %llu of %llu | %.3f | %.1f | %llu | %.0f | %.3f | %.1f |\n",
    aName.c_str(),
    ms(urgent.m_timeToFirstToken.Quantile(0.5)),
    ms(urgent.m_timeToFirstToken.Quantile(0.95)),
    ms(urgent.m_timeToFirstToken.Quantile(0.99)),
    static_cast<unsigned long long>(urgent.m_refused),
    static_cast<unsigned long long>(urgent.m_requests),
    ms(urgent.m_timeBetweenTokens.Quantile(0.95)),
    ms(urgent.m_timeBetweenTokens.Quantile(0.99)),
    ms(routine.m_timeBetweenTokens.Quantile(0.95)),
    ms(routine.m_timeBetweenTokens.Quantile(0.99)),
    ToSeconds(routine.m_timeToFirstToken.Quantile(0.95)),
    static_cast<unsigned long long>(routine.m_refused),
    static_cast<unsigned long long>(routine.m_requests),
    tokensInTrace == 0 ? 0.0
                       : static_cast<double>(routineTokensInTrace) /
                           static_cast<double>(tokensInTrace),
    ToSeconds(urgent.m_stallTime + routine.m_stallTime),
    static_cast<unsigned long long>(aResult.m_preemptions),
    static_cast<double>(tokensInTrace) / seconds,
    JainIndex(tokensPerAccount),
    aResult.m_decisionCpuSeconds * 1e6 /
      static_cast<double>(std::max<uint64_t>(1, aResult.m_decisions)));
  return text;
}

} // namespace persimmontally
