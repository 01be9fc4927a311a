#ifndef PERSIMMONTALLY_LOAD_HISTORY_H
#define PERSIMMONTALLY_LOAD_HISTORY_H

#include "persimmontally/Load/Trace.h"
#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// Response to one request as the caller received it.
struct CallerRecord
{
  TraceItem m_item;
  std::string m_host;
  Instant m_sentAt;
  Instant m_endedAt;
  std::vector<Instant> m_tokenTimes;
  /// Text of each token; the stand-in engine writes `GENERATION:INDEX`.
  std::vector<std::string> m_tokens;
  int m_status = 0;
  bool m_sawDone = false;
  std::string m_errorKind;
  std::string m_ran;
  std::string m_body;
  bool m_hasEnded = false;
};

/// Number of runs on the upstreams, by request id or idempotency key.
using RunCounts = std::map<std::string, uint64_t>;

/// A guarantee that was violated, and the request that shows it.
struct Violation
{
  std::string m_guarantee;
  std::string m_request;
  std::string m_detail;

  bool operator==(const Violation&) const = default;
};

/// Checks the callers' records and the upstreams' run counts against the
/// guarantees of the system and returns all violations. Requests sent to a host
/// in `aKilledHosts` may lack an end of the response: those hosts were killed
/// during the run, and their connections with them.
std::vector<Violation> CheckHistory(
  const std::vector<CallerRecord>& aRecords,
  const RunCounts& aRuns,
  const std::set<std::string>& aKilledHosts = {});

/// Returns a text table of latencies, stalls and refusals by rank and account.
std::string ReportHistory(const std::vector<CallerRecord>& aRecords);

/// Returns Jain's fairness index: 1 if all values are equal, 1/n if all but one
/// are zero.
double JainIndex(const std::vector<double>& aValues);

} // namespace persimmontally

#endif
