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

/// Placement configuration that is compared with others on the same trace.
struct BenchVariant
{
  std::string m_name;
  /// Dispatchers that share the engines: one for all entry hosts, or one per
  /// entry host.
  size_t m_dispatchers = 1;
  /// Round-trip time between an entry host and the dispatcher.
  Duration m_dispatcherRoundTrip{ 0 };
  DispatchOptions m_dispatch;
  /// Longest time in the queue before a request is refused, by rank.
  Duration m_urgentMaxWait = milliseconds(500);
  Duration m_routineMaxWait = seconds(60);
};

/// Returns the variant with a name, or `InvalidArgument` if it is unknown:
/// `round_robin` and `least_in_flight` are baselines without admission;
/// `mean`, `conditional` and `oracle` use one dispatcher and the forecast of
/// that name; in `own` each of six hosts places its requests on its own.
absl::StatusOr<BenchVariant> MakeVariant(std::string_view aName);
std::vector<std::string> VariantNames();

struct BenchFleet
{
  size_t m_engines = 14;
  EngineOptions m_engine;
  double m_routineFloor = 0.2;
  /// Age of the reported load, and period of the reports.
  Duration m_reportLag = milliseconds(500);
  Duration m_reportPeriod = seconds(1);
  /// If positive, the first engine stalls for this long, starting after a third
  /// of the trace.
  Duration m_stallDuration{ 0 };
};

struct BenchResult
{
  std::vector<CallerRecord> m_records;
  uint64_t m_preemptions = 0;
  uint64_t m_decisions = 0;
  Duration m_traceDuration{ 0 };
  /// CPU time of the dispatchers.
  double m_decisionCpuSeconds = 0;
  uint64_t m_cacheHitTokens = 0;
};

/// Runs a trace through dispatchers and engine models in virtual time.
BenchResult RunBench(const BenchVariant& aVariant,
                     const BenchFleet& aFleet,
                     const Trace& aTrace);

/// Return the head and one row of a Markdown table that compares runs.
std::string BenchTableHead();
std::string BenchTableRow(const std::string& aName, const BenchResult& aResult);

} // namespace persimmontally

#endif
