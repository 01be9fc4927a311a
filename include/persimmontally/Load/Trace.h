#ifndef PERSIMMONTALLY_LOAD_TRACE_H
#define PERSIMMONTALLY_LOAD_TRACE_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"
#include "persimmontally/Support/Time.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmontally {

/// One request of a trace.
struct TraceItem
{
  /// Arrival time, relative to the start of the trace.
  Duration m_at{ 0 };
  std::string m_id;
  AccountId m_account;
  Rank m_rank = Rank::Routine;
  std::string m_model;
  uint32_t m_promptTokens = 0;
  /// Length of the prompt prefix that all requests of the account share.
  uint32_t m_sharedTokens = 0;
  uint32_t m_outputTokens = 0;
  bool m_isStream = true;
  /// Name of the service to call; empty for a generation.
  std::string m_service;
  /// Set for a non-repeatable call, else empty.
  std::string m_idempotencyKey;

  bool operator==(const TraceItem&) const = default;
};

using Trace = std::vector<TraceItem>;

/// Returns the item as one line of JSON, without a line break.
std::string FormatTraceItem(const TraceItem& aItem);
/// Parses a trace in JSON lines. An error message starts with the number of the
/// line.
absl::StatusOr<Trace> ParseTrace(std::string_view aText);

/// Poisson stream of generations of one account and rank.
struct TraceStream
{
  AccountId m_account;
  Rank m_rank = Rank::Routine;
  double m_requestsPerSecond = 0;
  /// Median, in tokens, and sigma of the log-normal output length.
  double m_medianOutputTokens = 120;
  double m_outputSigma = 0.8;
  uint32_t m_promptTokens = 256;
  uint32_t m_sharedTokens = 128;
  /// Start and end of the stream as fractions of the trace's duration.
  double m_startFraction = 0;
  double m_endFraction = 1;
};

struct TraceSpec
{
  Duration m_duration = seconds(60);
  uint64_t m_seed = 1;
  std::string m_model = "default";
  std::vector<TraceStream> m_streams;
  /// Rate of non-repeatable service calls, made by the first stream's account.
  double m_ordersPerSecond = 0;
};

/// Generates a trace with Poisson arrivals, ordered by arrival time. Equal
/// specifications, with equal seeds, give equal traces.
Trace GenerateTrace(const TraceSpec& aSpec);

/// Returns the names that `MakeScenario` accepts.
std::vector<std::string> ScenarioNames();
/// Returns the specification of a workload scenario, or `InvalidArgument` for
/// an unknown name. `aCapacity` is the fleet's capacity for this mix in
/// requests per second.
absl::StatusOr<TraceSpec> MakeScenario(std::string_view aName,
                                       double aCapacity,
                                       Duration aDuration,
                                       uint64_t aSeed);

} // namespace persimmontally

#endif
