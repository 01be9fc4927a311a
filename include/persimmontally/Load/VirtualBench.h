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

/// One way to decide, to be compared with others on the same trace.
struct BenchVariant
{
  std::string m_name;
  /// Dispatchers that share the engines: one that grants every slot, or one
  /// on each entry host.
  size_t m_dispatchers = 1;
  /// Time from an entry host to the dispatcher and back.
  Duration m_grantDelay{ 0 };
  DispatchOptions m_dispatch;
  Duration m_urgentWait = milliseconds(500);
  Duration m_routineWait = seconds(60);
};

/// Variants by name: `round_robin`, `least_in_flight` (baselines without
/// admission), `mean`, `conditional`, `oracle` (one dispatcher grants), and
/// `own` (each of six hosts decides alone).
absl::StatusOr<BenchVariant> MakeVariant(std::string_view aName);
std::vector<std::string> VariantNames();

struct BenchFleet
{
  size_t m_engines = 14;
  EngineOptions m_engine;
  double m_routineFloor = 0.2;
  /// Age of the reported load, and how often it is reported.
  Duration m_reportLag = milliseconds(500);
  Duration m_reportPeriod = seconds(1);
  /// One engine stalls from a part of the trace on, for this long.
  Duration m_stall{ 0 };
};

struct BenchResult
{
  std::vector<CallerRecord> m_records;
  uint64_t m_preemptions = 0;
  uint64_t m_decisions = 0;
  Duration m_traceLength{ 0 };
  /// Processor time of the dispatchers.
  double m_decisionSeconds = 0;
  uint64_t m_cacheHitTokens = 0;
};

/// Plays a trace through dispatchers and engine models in virtual time.
BenchResult RunBench(const BenchVariant& aVariant,
                     const BenchFleet& aFleet,
                     const Trace& aTrace);

/// The brief's measures of a run, as one row of a table.
std::string BenchTableHead();
std::string BenchTableRow(const std::string& aName, const BenchResult& aResult);

} // namespace persimmontally

#endif
