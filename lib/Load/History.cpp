#include "persimmontally/Load/History.h"

#include "persimmontally/Support/Metrics.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

namespace persimmontally {

/// The part of a time between tokens above this threshold is stall time.
static constexpr Duration kStallThreshold = milliseconds(200);

namespace {

/// Generation id and token index, parsed from `GENERATION:INDEX`.
struct TokenLabel
{
  std::string m_generation;
  std::string m_index;

  explicit TokenLabel(const std::string& aText)
  {
    auto colon = aText.rfind(':');
    if (colon != std::string::npos) {
      m_generation = aText.substr(0, colon);
      m_index = aText.substr(colon + 1);
    }
  }
};

class HistoryChecker
{
public:
  HistoryChecker(const std::vector<CallerRecord>& aRecords,
                 const RunCounts& aRuns,
                 const std::set<std::string>& aKilledHosts)
    : m_records(aRecords)
    , m_runs(aRuns)
    , m_killedHosts(aKilledHosts)
  {
  }

  std::vector<Violation> Check()
  {
    for (const CallerRecord& record : m_records) {
      CheckTokens(record);
      CheckCompleteAnswers(record);
      CheckRefusedNotRun(record);
      CheckAnswered(record);
    }
    CheckOrders();
    CheckDistinctGenerations();
    return std::move(m_violations);
  }

private:
  void AddViolation(const char* aGuarantee,
                    const CallerRecord& aRecord,
                    std::string aDetail)
  {
    m_violations.push_back(
      { aGuarantee, aRecord.m_item.m_id, std::move(aDetail) });
  }

  void CheckTokens(const CallerRecord& aRecord)
  {
    std::string generation;
    for (size_t i = 0; i < aRecord.m_tokens.size(); ++i) {
      TokenLabel token(aRecord.m_tokens[i]);
      if (i == 0) {
        generation = token.m_generation;
      }
      if (token.m_generation != generation) {
        AddViolation("one generation", aRecord, aRecord.m_tokens[i]);
        return;
      }
      if (token.m_index != std::to_string(i)) {
        AddViolation("each token once, in order",
                     aRecord,
                     "token " + std::to_string(i) + " is " +
                       aRecord.m_tokens[i]);
        return;
      }
    }
  }

  void CheckCompleteAnswers(const CallerRecord& aRecord)
  {
    const TraceItem& item = aRecord.m_item;
    bool claimsComplete = aRecord.m_status == 200 && item.m_service.empty() &&
                          aRecord.m_errorKind.empty() &&
                          (aRecord.m_sawDone || !item.m_isStream);
    if (claimsComplete && aRecord.m_tokens.size() != item.m_outputTokens) {
      AddViolation("complete answer",
                   aRecord,
                   std::to_string(aRecord.m_tokens.size()) + " of " +
                     std::to_string(item.m_outputTokens) + " tokens");
    }
  }

  void CheckRefusedNotRun(const CallerRecord& aRecord)
  {
    if (aRecord.m_ran != "no") {
      return;
    }
    auto runs = m_runs.find(aRecord.m_item.m_id);
    if (runs != m_runs.end() && runs->second > 0) {
      AddViolation(
        "request refused as not run was not run", aRecord, aRecord.m_errorKind);
    }
  }

  void CheckAnswered(const CallerRecord& aRecord)
  {
    bool answered = aRecord.m_sawDone || !aRecord.m_errorKind.empty() ||
                    (aRecord.m_status == 200 && !aRecord.m_item.m_isStream);
    bool wasHostKilled =
      !aRecord.m_hasEnded && m_killedHosts.contains(aRecord.m_host);
    if ((!aRecord.m_hasEnded || !answered) && !wasHostKilled) {
      AddViolation("no answer lost", aRecord, "end of the answer is missing");
    }
  }

  void CheckOrders()
  {
    std::map<std::string, std::set<std::string>> answers;
    for (const CallerRecord& record : m_records) {
      const std::string& key = record.m_item.m_idempotencyKey;
      if (key.empty()) {
        continue;
      }
      auto runs = m_runs.find(key);
      if (runs != m_runs.end() && runs->second > 1) {
        AddViolation("runs at most once",
                     record,
                     std::to_string(runs->second) + " runs of " + key);
      }
      if (record.m_status == 200) {
        answers[key].insert(record.m_body);
        if (answers[key].size() > 1) {
          AddViolation("same answer for the same idempotency key", record, key);
        }
      }
    }
  }

  /// Reports a generation whose tokens reached more than one request.
  void CheckDistinctGenerations()
  {
    std::map<std::string, std::string> requestByGeneration;
    for (const CallerRecord& record : m_records) {
      if (record.m_tokens.empty()) {
        continue;
      }
      std::string generation = TokenLabel(record.m_tokens[0]).m_generation;
      auto [at, isNew] =
        requestByGeneration.emplace(generation, record.m_item.m_id);
      if (!isNew && at->second != record.m_item.m_id) {
        AddViolation("one request per generation",
                     record,
                     "tokens also received by " + at->second);
      }
    }
  }

  const std::vector<CallerRecord>& m_records;
  const RunCounts& m_runs;
  const std::set<std::string>& m_killedHosts;
  std::vector<Violation> m_violations;
};

/// Metrics of the requests of one account and rank, or of one rank.
struct GroupMetrics
{
  LatencyHistogram m_timeToFirstToken;
  LatencyHistogram m_timeBetweenTokens;
  Duration m_stallTime{ 0 };
  uint64_t m_requests = 0;
  uint64_t m_finished = 0;
  uint64_t m_tokens = 0;
  std::map<std::string, uint64_t> m_errors;

  void Add(const CallerRecord& aRecord)
  {
    ++m_requests;
    if (!aRecord.m_errorKind.empty()) {
      ++m_errors[aRecord.m_errorKind];
    } else if (aRecord.m_hasEnded && aRecord.m_status == 200) {
      ++m_finished;
    }
    m_tokens += aRecord.m_tokens.size();
    for (size_t i = 0; i < aRecord.m_tokenTimes.size(); ++i) {
      if (i == 0) {
        m_timeToFirstToken.Record(aRecord.m_tokenTimes[0] - aRecord.m_sentAt);
        continue;
      }
      Duration gap = aRecord.m_tokenTimes[i] - aRecord.m_tokenTimes[i - 1];
      m_timeBetweenTokens.Record(gap);
      m_stallTime +=
        gap > kStallThreshold ? gap - kStallThreshold : Duration(0);
    }
  }

  std::string Line() const
  {
    auto ms = [](Duration aValue) { return ToSeconds(aValue) * 1000; };
    char text[256];
    std::snprintf(text,
                  sizeof text,
                  "%8llu %8llu %9llu | %8.1f %8.1f %8.1f | %7.1f %7.1f %7.1f | "
                  "%8.2f",
                  static_cast<unsigned long long>(m_requests),
                  static_cast<unsigned long long>(m_finished),
                  static_cast<unsigned long long>(m_tokens),
                  ms(m_timeToFirstToken.Quantile(0.5)),
                  ms(m_timeToFirstToken.Quantile(0.95)),
                  ms(m_timeToFirstToken.Quantile(0.99)),
                  ms(m_timeBetweenTokens.Quantile(0.5)),
                  ms(m_timeBetweenTokens.Quantile(0.95)),
                  ms(m_timeBetweenTokens.Quantile(0.99)),
                  ToSeconds(m_stallTime));
    std::string line = text;
    for (const auto& [kind, count] : m_errors) {
      line += " " + kind + "=" + std::to_string(count);
    }
    return line;
  }
};

} // namespace

std::vector<Violation> CheckHistory(const std::vector<CallerRecord>& aRecords,
                                    const RunCounts& aRuns,
                                    const std::set<std::string>& aKilledHosts)
{
  return HistoryChecker(aRecords, aRuns, aKilledHosts).Check();
}

double JainIndex(const std::vector<double>& aValues)
{
  double sum = 0;
  double squares = 0;
  for (double value : aValues) {
    sum += value;
    squares += value * value;
  }
  if (squares <= 0) {
    return 1;
  }
  return sum * sum / (static_cast<double>(aValues.size()) * squares);
}

std::string ReportHistory(const std::vector<CallerRecord>& aRecords)
{
  std::map<std::string, GroupMetrics> groups;
  std::map<std::string, double> tokens;
  for (const CallerRecord& record : aRecords) {
    const TraceItem& item = record.m_item;
    std::string kind =
      item.m_service.empty() ? std::string(ToString(item.m_rank)) : "orders";
    groups["all " + kind].Add(record);
    groups[kind + " " + item.m_account.Value()].Add(record);
    tokens[item.m_account.Value()] +=
      static_cast<double>(record.m_tokens.size());
  }
  std::ostringstream out;
  out << "group                          requests finished    tokens | "
         "first token ms p50/p95/p99 | between ms p50/p95/p99 | stalled s, "
         "refusals\n";
  for (const auto& [name, group] : groups) {
    std::string padded = name;
    padded.resize(30, ' ');
    out << padded << group.Line() << "\n";
  }
  std::vector<double> values;
  for (const auto& [account, count] : tokens) {
    values.push_back(count);
  }
  out << "Jain's index over the accounts' tokens: " << JainIndex(values)
      << "\n";
  return out.str();
}

} // namespace persimmontally
