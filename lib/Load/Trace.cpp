#include "persimmontally/Load/Trace.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace persimmontally {

namespace json = boost::json;

std::string FormatTraceItem(const TraceItem& aItem)
{
  json::object line{ { "at_us", aItem.m_at.count() },
                     { "id", aItem.m_id },
                     { "account", aItem.m_account.Value() },
                     { "rank", ToString(aItem.m_rank) },
                     { "model", aItem.m_model },
                     { "prompt_tokens", aItem.m_promptTokens },
                     { "shared_tokens", aItem.m_sharedTokens },
                     { "output_tokens", aItem.m_outputTokens },
                     { "stream", aItem.m_isStream },
                     { "service", aItem.m_service },
                     { "idempotency_key", aItem.m_idempotencyKey } };
  return json::serialize(line);
}

static TraceItem ReadItem(const json::object& aLine)
{
  TraceItem item;
  auto text = [&](const char* aKey) {
    return std::string(aLine.at(aKey).as_string());
  };
  item.m_at = Duration(aLine.at("at_us").to_number<int64_t>());
  item.m_id = text("id");
  item.m_account = AccountId(text("account"));
  item.m_rank = text("rank") == "urgent" ? Rank::Urgent : Rank::Routine;
  item.m_model = text("model");
  item.m_promptTokens = aLine.at("prompt_tokens").to_number<uint32_t>();
  item.m_sharedTokens = aLine.at("shared_tokens").to_number<uint32_t>();
  item.m_outputTokens = aLine.at("output_tokens").to_number<uint32_t>();
  item.m_isStream = aLine.at("stream").as_bool();
  item.m_service = text("service");
  item.m_idempotencyKey = text("idempotency_key");
  return item;
}

absl::StatusOr<Trace> ParseTrace(std::string_view aText)
{
  Trace trace;
  int number = 0;
  while (!aText.empty()) {
    ++number;
    size_t end = aText.find('\n');
    std::string_view line = aText.substr(0, end);
    aText = end == std::string_view::npos ? std::string_view()
                                          : aText.substr(end + 1);
    if (line.empty()) {
      continue;
    }
    try {
      trace.push_back(ReadItem(json::parse(line).as_object()));
    } catch (const std::exception& error) {
      return absl::InvalidArgumentError("line " + std::to_string(number) +
                                        ": " + error.what());
    }
  }
  return trace;
}

static void GenerateStream(const TraceSpec& aSpec,
                           const TraceStream& aStream,
                           std::mt19937_64& aRandom,
                           Trace& aTrace)
{
  if (aStream.m_requestsPerSecond <= 0) {
    return;
  }
  std::exponential_distribution<double> gap(aStream.m_requestsPerSecond);
  std::lognormal_distribution<double> output(
    std::log(aStream.m_medianOutputTokens), aStream.m_outputSigma);
  double end = ToSeconds(aSpec.m_duration) * aStream.m_endFraction;
  double at =
    ToSeconds(aSpec.m_duration) * aStream.m_startFraction + gap(aRandom);
  for (; at < end; at += gap(aRandom)) {
    TraceItem item;
    item.m_at = Duration(static_cast<int64_t>(at * 1e6));
    item.m_account = aStream.m_account;
    item.m_rank = aStream.m_rank;
    item.m_model = aSpec.m_model;
    item.m_promptTokens = aStream.m_promptTokens;
    item.m_sharedTokens = aStream.m_sharedTokens;
    item.m_outputTokens =
      static_cast<uint32_t>(std::clamp(output(aRandom), 1.0, 32768.0));
    aTrace.push_back(std::move(item));
  }
}

Trace GenerateTrace(const TraceSpec& aSpec)
{
  std::mt19937_64 random(aSpec.m_seed);
  Trace trace;
  for (const TraceStream& stream : aSpec.m_streams) {
    GenerateStream(aSpec, stream, random, trace);
  }
  if (aSpec.m_ordersPerSecond > 0 && !aSpec.m_streams.empty()) {
    std::exponential_distribution<double> gap(aSpec.m_ordersPerSecond);
    for (double at = gap(random); at < ToSeconds(aSpec.m_duration);
         at += gap(random)) {
      TraceItem item;
      item.m_at = Duration(static_cast<int64_t>(at * 1e6));
      item.m_account = aSpec.m_streams.front().m_account;
      item.m_service = "orders";
      item.m_isStream = false;
      item.m_idempotencyKey = "order";
      trace.push_back(std::move(item));
    }
  }
  std::stable_sort(trace.begin(),
                   trace.end(),
                   [](const TraceItem& aLeft, const TraceItem& aRight) {
                     return aLeft.m_at < aRight.m_at;
                   });
  std::string prefix = "r" + std::to_string(aSpec.m_seed) + "-";
  for (size_t i = 0; i < trace.size(); ++i) {
    trace[i].m_id = prefix + std::to_string(i);
    if (!trace[i].m_idempotencyKey.empty()) {
      trace[i].m_idempotencyKey = "order-" + trace[i].m_id;
    }
  }
  return trace;
}

/// Client accounts of a typical deployment. The first `kLargeAccounts` of them
/// each send `kLargeAccountWeight` times the requests of a small account.
static constexpr int kAccounts = 10;
static constexpr int kLargeAccounts = 3;
static constexpr double kLargeAccountWeight = 4;

/// Adds a stream per account that together have a total rate in requests per
/// second for one rank.
static void AddRankStreams(TraceSpec& aSpec, Rank aRank, double aRate)
{
  double totalWeight =
    kLargeAccounts * kLargeAccountWeight + kAccounts - kLargeAccounts;
  for (int i = 0; i < kAccounts; ++i) {
    TraceStream stream;
    stream.m_account = AccountId("account-" + std::to_string(i));
    stream.m_rank = aRank;
    double weight = i < kLargeAccounts ? kLargeAccountWeight : 1;
    stream.m_requestsPerSecond = aRate * weight / totalWeight;
    if (aRank == Rank::Urgent) {
      stream.m_medianOutputTokens = 80;
      stream.m_outputSigma = 0.6;
    } else {
      stream.m_medianOutputTokens = 220;
      stream.m_outputSigma = 1.0;
    }
    aSpec.m_streams.push_back(std::move(stream));
  }
}

std::vector<std::string> ScenarioNames()
{
  return { "ordinary",   "dawn",        "routine_flood", "urgent_flood",
           "both_flood", "one_account", "long_outputs" };
}

absl::StatusOr<TraceSpec> MakeScenario(std::string_view aName,
                                       double aCapacity,
                                       Duration aDuration,
                                       uint64_t aSeed)
{
  TraceSpec spec;
  spec.m_duration = aDuration;
  spec.m_seed = aSeed;
  double urgent = 0.2 * aCapacity;
  double routine = 0.4 * aCapacity;
  if (aName == "ordinary") {
    spec.m_ordersPerSecond = 1;
  } else if (aName == "dawn") {
    urgent = 0.7 * aCapacity;
    routine = 0.2 * aCapacity;
    spec.m_ordersPerSecond = 2;
  } else if (aName == "routine_flood") {
    routine *= 10;
  } else if (aName == "urgent_flood") {
    urgent *= 4 * 2;
  } else if (aName == "both_flood") {
    urgent *= 4 * 2;
    routine *= 10;
  } else if (aName == "one_account") {
    AddRankStreams(spec, Rank::Urgent, urgent);
    AddRankStreams(spec, Rank::Routine, routine);
    TraceStream heavy = spec.m_streams.back();
    heavy.m_account = AccountId("account-0");
    heavy.m_requestsPerSecond = 20 * routine / kAccounts;
    spec.m_streams.push_back(heavy);
    return spec;
  } else if (aName == "long_outputs") {
    AddRankStreams(spec, Rank::Urgent, urgent);
    AddRankStreams(spec, Rank::Routine, routine);
    for (TraceStream& stream : spec.m_streams) {
      if (stream.m_rank == Rank::Routine) {
        stream.m_medianOutputTokens *= 2;
        stream.m_outputSigma = 1.4;
      }
    }
    return spec;
  } else {
    return absl::InvalidArgumentError("unknown scenario '" +
                                      std::string(aName) + "'");
  }
  AddRankStreams(spec, Rank::Urgent, urgent);
  AddRankStreams(spec, Rank::Routine, routine);
  return spec;
}

} // namespace persimmontally
