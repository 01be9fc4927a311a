#ifndef PERSIMMONTALLY_LOAD_VIRTUALBENCH_H
#define PERSIMMONTALLY_LOAD_VIRTUALBENCH_H

#include "persimmontally/Load/History.h"
#include "persimmontally/Load/Trace.h"
#include "persimmontally/Routing/Dispatcher.h"
#include "persimmontally/Standin/EngineModel.h"

#include "absl/status/statusor.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmontally {

/// Placement configuration of one benchmark run.
struct BenchVariant
{
  std::string m_name;
  /// Number of dispatchers that share the engines: one for all entry hosts, or
  /// one per entry host.
  size_t m_dispatchers = 1;
  /// Round-trip time between an entry host and the dispatcher.
  Duration m_dispatcherRoundTrip{ 0 };
  DispatchOptions m_dispatch;
  /// Longest time in the queue before a request is refused, by rank.
  Duration m_urgentMaxWait = milliseconds(500);
  Duration m_routineMaxWait = seconds(60);
};

/// Returns the variant called `aName`, or `InvalidArgument` if there is none.
/// `round_robin` and `least_in_flight` are baselines without admission; `mean`,
/// `conditional` and `oracle` use one dispatcher and the forecast of that name;
/// `own` uses one dispatcher per entry host, each with a sixth of the slots.
absl::StatusOr<BenchVariant> MakeVariant(std::string_view aName);
/// Returns the names that `MakeVariant` accepts.
std::vector<std::string> VariantNames();

/// Simulated engines and their load reports.
struct BenchFleet
{
  size_t m_engines = 14;
  EngineOptions m_engine;
  /// Fraction of the slots reserved for routine requests while any is queued.
  double m_routineFloor = 0.2;
  /// Unused: a report carries the load sampled at the previous report.
  Duration m_reportLag = milliseconds(500);
  /// Period of the engines' load reports.
  Duration m_reportPeriod = seconds(1);
  /// If positive, the first engine stalls for this long, starting after a third
  /// of the trace.
  Duration m_stallDuration{ 0 };
};

/// Outcome of a benchmark run.
struct BenchResult
{
  /// One record per request of the trace, in the same order.
  std::vector<CallerRecord> m_records;
  uint64_t m_preemptions = 0;
  /// Number of requests passed to the dispatchers.
  uint64_t m_decisions = 0;
  /// Arrival time of the last request after the start.
  Duration m_traceDuration{ 0 };
  /// CPU time of the dispatchers.
  double m_decisionCpuSeconds = 0;
  uint64_t m_cacheHitTokens = 0;
};

/// Runs a trace through dispatchers and engine models in virtual time and
/// returns the outcome. Service calls are recorded as ended without being run;
/// requests still open 120 seconds after the end of the trace stay unfinished.
BenchResult RunBench(const BenchVariant& aVariant,
                     const BenchFleet& aFleet,
                     const Trace& aTrace);

/// Returns the header of a Markdown table that compares runs.
std::string BenchTableHead();
/// Returns the row of one run, labelled `aName`.
std::string BenchTableRow(const std::string& aName, const BenchResult& aResult);

} // namespace persimmontally

#endif
