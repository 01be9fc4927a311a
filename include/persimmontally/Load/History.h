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

/// What one caller saw of one request.
struct CallerRecord
{
  TraceItem m_item;
  std::string m_host;
  Instant m_sentAt;
  Instant m_endedAt;
  std::vector<Instant> m_tokenTimes;
  /// `GENERATION:INDEX` of each token, as the stand-in writes them.
  std::vector<std::string> m_tokens;
  int m_status = 0;
  bool m_sawDone = false;
  std::string m_errorKind;
  std::string m_ran;
  std::string m_body;
  bool m_hasEnded = false;
};

/// How often upstreams ran what, by request id and by idempotency key.
using RunCounts = std::map<std::string, uint64_t>;

/// A broken promise: which, and on which request.
struct Violation
{
  std::string m_promise;
  std::string m_request;
  std::string m_detail;

  bool operator==(const Violation&) const = default;
};

/// Checks what callers saw and what upstreams ran against the promises. Hosts
/// in `aCutHosts` were killed meanwhile: their callers' connections ended with
/// them.
std::vector<Violation> CheckHistory(
  const std::vector<CallerRecord>& aRecords,
  const RunCounts& aRuns,
  const std::set<std::string>& aCutHosts = {});

/// Measures over the records, as text for people.
std::string ReportHistory(const std::vector<CallerRecord>& aRecords);

/// Jain's index of fairness: 1 when all are equal, 1/n when one has all.
double JainIndex(const std::vector<double>& aValues);

} // namespace persimmontally

#endif
