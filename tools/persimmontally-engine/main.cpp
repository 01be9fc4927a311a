/// Stand-in upstream: a simulated inference engine or a service.

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Standin/EngineServer.h"
#include "persimmontally/Support/Log.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(id, "engine-1", "id of the upstream");
DEFINE_string(listen, "127.0.0.1:0", "address and port to serve on");
DEFINE_string(advertise, "", "address to announce; --listen if empty");
DEFINE_string(data_centre, "", "data centre of the upstream");
DEFINE_string(region, "", "region of the data centre");
DEFINE_string(service, "", "name of the service; empty for an engine");
DEFINE_string(models, "default", "models served, separated by commas");
DEFINE_string(entry_hosts,
              "",
              "entry hosts to announce to, separated by commas");
DEFINE_string(upstream_key_file, "", "file that holds the upstream key");
DEFINE_uint32(slots, 32, "limit on concurrent sequences");
DEFINE_uint32(kv_blocks, 4096, "blocks of KV memory");
DEFINE_uint32(block_tokens, 16, "tokens per block");
DEFINE_int32(step_us, 20000, "base duration of a step in microseconds");
DEFINE_int32(step_per_sequence_us, 150, "step duration added per sequence");
DEFINE_uint32(prefill_tokens_per_s,
              20000,
              "prefill rate in prompt tokens per second");
DEFINE_int32(service_ms, 20, "duration of one service call");
DEFINE_int32(report_lag_ms, 500, "age of the reported load");
DEFINE_int32(resume_window_ms,
             2000,
             "time for which a generation without a connection can be resumed");
DEFINE_double(cache_event_loss,
              0,
              "probability that a cache event message is dropped");
DEFINE_bool(checks_fencing,
            true,
            "announce that outdated fencing numbers are rejected");
DEFINE_uint64(seed, 1, "seed of output lengths and dropped cache events");

using namespace persimmontally;

static std::vector<std::string> SplitCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream in(aText);
  std::string part;
  while (std::getline(in, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

static EngineServerOptions OptionsFromFlags()
{
  EngineServerOptions options;
  options.m_id = FLAGS_id;
  options.m_dataCentre = FLAGS_data_centre;
  options.m_region = FLAGS_region;
  options.m_service = FLAGS_service;
  options.m_models = SplitCommas(FLAGS_models);
  options.m_engine.m_slots = FLAGS_slots;
  options.m_engine.m_kvBlocks = FLAGS_kv_blocks;
  options.m_engine.m_blockTokens = FLAGS_block_tokens;
  options.m_engine.m_baseStepDuration = Duration(FLAGS_step_us);
  options.m_engine.m_stepDurationPerSequence =
    Duration(FLAGS_step_per_sequence_us);
  options.m_engine.m_prefillTokensPerSecond = FLAGS_prefill_tokens_per_s;
  options.m_serviceTime = milliseconds(FLAGS_service_ms);
  options.m_reportLag = milliseconds(FLAGS_report_lag_ms);
  options.m_resumeWindow = milliseconds(FLAGS_resume_window_ms);
  options.m_cacheEventLossProbability = FLAGS_cache_event_loss;
  options.m_checksFencing = FLAGS_checks_fencing;
  options.m_seed = FLAGS_seed;
  return options;
}

int main(int argc, char** argv)
{
  EventLoop::PrepareSignals();
  gflags::SetUsageMessage(
    "persimmontally-engine --id ID --listen ADDRESS:PORT");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  EngineServerOptions options = OptionsFromFlags();
  auto listen = ParseEndpoint(FLAGS_listen);
  if (!listen.ok()) {
    std::cerr << "--listen: " << listen.status().message() << "\n";
    return 2;
  }
  options.m_listen = *listen;
  if (!FLAGS_advertise.empty()) {
    auto advertise = ParseEndpoint(FLAGS_advertise);
    if (!advertise.ok()) {
      std::cerr << "--advertise: " << advertise.status().message() << "\n";
      return 2;
    }
    options.m_advertise = *advertise;
  }
  for (const std::string& text : SplitCommas(FLAGS_entry_hosts)) {
    auto host = ParseEndpoint(text);
    if (!host.ok()) {
      std::cerr << "--entry_hosts: " << host.status().message() << "\n";
      return 2;
    }
    options.m_entryHosts.push_back(*host);
  }
  std::ifstream keyFile(FLAGS_upstream_key_file);
  if (!std::getline(keyFile, options.m_upstreamKey)) {
    std::cerr << "--upstream_key_file: cannot read a key from the file\n";
    return 2;
  }
  InitLog(LogLevel::Info, LogFormat::Text, FLAGS_id);
  EventLoop loop;
  EngineServer server(loop, options);
  absl::Status started = server.Start();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return 1;
  }
  loop.OnTerminate([&] { server.Leave(); });
  loop.Run();
  return 0;
}
