/// Open-loop load generator: sends the requests of a trace to entry hosts,
/// records the responses, checks them against the guarantees of the system and
/// prints latency and fairness metrics.

#include "Player.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Log.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

DEFINE_string(hosts, "", "entry hosts, ADDRESS:PORT, separated by commas");
DEFINE_string(
  upstreams,
  "",
  "stand-in upstreams to read run counts from, separated by commas");
DEFINE_string(keys, "", "JSON file that maps account names to keys");
DEFINE_string(trace, "", "JSON-lines file with a trace");
DEFINE_string(scenario, "", "scenario to generate instead of a trace");
DEFINE_double(capacity, 10, "capacity of the fleet in requests per second");
DEFINE_int32(seconds, 20, "duration of a generated trace");
DEFINE_uint64(seed, 1, "seed of a generated trace");
DEFINE_string(write_trace, "", "file to write the trace to");
DEFINE_string(history, "", "file to write the recorded responses to");
DEFINE_bool(check, true, "check the guarantees; exit 1 if one is violated");
DEFINE_string(
  cut_hosts_file,
  "",
  "file, read after the run, with a line ADDRESS:PORT for each host "
  "that was killed; requests sent to it may lack an answer");
DEFINE_string(
  direct_key_file,
  "",
  "file with the upstream key; if set, --hosts are stand-in upstreams");
DEFINE_int32(drain_seconds, 120, "longest wait for responses after the trace");

using namespace persimmontally;

static std::string ReadFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

static std::set<std::string> ReadLines(const std::string& aFile)
{
  std::ifstream in(aFile);
  std::set<std::string> lines;
  std::string line;
  while (std::getline(in, line)) {
    lines.insert(line);
  }
  return lines;
}

static absl::StatusOr<std::vector<Endpoint>> ParseEndpoints(
  const std::string& aText)
{
  std::vector<Endpoint> endpoints;
  std::istringstream in(aText);
  std::string part;
  while (std::getline(in, part, ',')) {
    auto endpoint = ParseEndpoint(part);
    if (!endpoint.ok()) {
      return endpoint.status();
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

static absl::StatusOr<Trace> LoadTrace()
{
  if (!FLAGS_trace.empty()) {
    return ParseTrace(ReadFile(FLAGS_trace));
  }
  auto spec = MakeScenario(
    FLAGS_scenario, FLAGS_capacity, seconds(FLAGS_seconds), FLAGS_seed);
  if (!spec.ok()) {
    return spec.status();
  }
  return GenerateTrace(*spec);
}

int main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "persimmontally-load --hosts LIST --keys FILE (--trace FILE | --scenario "
    "NAME)");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  InitLog(LogLevel::Warning, LogFormat::Text, "load");
  auto trace = LoadTrace();
  auto hosts = ParseEndpoints(FLAGS_hosts);
  auto upstreams = ParseEndpoints(FLAGS_upstreams);
  for (const absl::Status& status :
       { trace.status(), hosts.status(), upstreams.status() }) {
    if (!status.ok()) {
      std::cerr << status.message() << "\n";
      return 2;
    }
  }
  if (!FLAGS_write_trace.empty()) {
    std::ofstream out(FLAGS_write_trace);
    for (const TraceItem& item : *trace) {
      out << FormatTraceItem(item) << "\n";
    }
  }
  if (hosts->empty()) {
    return 0;
  }
  PlayerOptions options;
  options.m_hosts = *hosts;
  options.m_upstreams = *upstreams;
  options.m_keysJson = FLAGS_keys.empty() ? "{}" : ReadFile(FLAGS_keys);
  options.m_drainTimeout = seconds(FLAGS_drain_seconds);
  if (!FLAGS_direct_key_file.empty()) {
    std::string key = ReadFile(FLAGS_direct_key_file);
    options.m_directKey = key.substr(0, key.find('\n'));
  }
  EventLoop loop;
  Player player(loop, options, *trace);
  player.Start([&] { loop.Stop(); });
  loop.Run();

  if (!FLAGS_history.empty()) {
    std::ofstream(FLAGS_history) << player.HistoryJson();
  }
  std::cout << ReportHistory(player.Records());
  std::cout << "preemptions: " << player.Preemptions() << "\n";
  if (!FLAGS_check) {
    return 0;
  }
  auto violations = CheckHistory(
    player.Records(), player.Runs(), ReadLines(FLAGS_cut_hosts_file));
  for (const Violation& violation : violations) {
    std::cout << "BROKEN " << violation.m_guarantee << ": "
              << violation.m_request << ": " << violation.m_detail << "\n";
  }
  std::cout << (violations.empty() ? "all guarantees held\n"
                                   : "guarantees were violated\n");
  return violations.empty() ? 0 : 1;
}
