/// Open-loop trace player: sends a trace through entry hosts, records what
/// every caller saw, checks the promises on it and prints the measures.

#include "Player.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Log.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

DEFINE_string(hosts, "", "entry hosts, ADDRESS:PORT, by commas");
DEFINE_string(upstreams, "", "stand-ins whose runs are counted, by commas");
DEFINE_string(keys, "", "JSON file: account name to key");
DEFINE_string(trace, "", "JSON-lines file with a trace");
DEFINE_string(scenario, "", "scenario to generate instead of a trace");
DEFINE_double(capacity, 10, "requests a second that the fleet can take");
DEFINE_int32(seconds, 20, "length of a generated trace");
DEFINE_uint64(seed, 1, "seed of a generated trace");
DEFINE_string(write_trace, "", "file to write the trace to");
DEFINE_string(history, "", "file to write what callers saw to");
DEFINE_bool(check, true, "check the promises; exit 1 if one is broken");
DEFINE_string(cut_hosts_file,
              "",
              "file, read at the end, with a line ADDRESS:PORT for each host "
              "that was killed: its callers may lose their answers");
DEFINE_string(direct_key_file, "", "send straight to stand-ins with this key");
DEFINE_int32(drain_seconds, 120, "longest wait for answers after the trace");

using namespace persimmontally;

static std::string ReadAll(const std::string& aFile)
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
    return ParseTrace(ReadAll(FLAGS_trace));
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
  options.m_keysJson = FLAGS_keys.empty() ? "{}" : ReadAll(FLAGS_keys);
  options.m_drain = seconds(FLAGS_drain_seconds);
  if (!FLAGS_direct_key_file.empty()) {
    std::string key = ReadAll(FLAGS_direct_key_file);
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
    std::cout << "BROKEN " << violation.m_promise << ": " << violation.m_request
              << ": " << violation.m_detail << "\n";
  }
  std::cout << (violations.empty() ? "all promises held\n"
                                   : "promises were broken\n");
  return violations.empty() ? 0 : 1;
}
