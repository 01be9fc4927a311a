/// Runs traces through dispatchers and engine models in virtual time and prints
/// a table that compares several placement variants.

#include "persimmontally/Load/VirtualBench.h"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(scenarios, "", "scenarios, separated by commas; all if empty");
DEFINE_string(variants, "", "variants, separated by commas; all if empty");
DEFINE_uint32(engines, 14, "number of engines");
DEFINE_uint32(kv_blocks, 1200, "blocks of KV memory of an engine");
DEFINE_double(capacity, 60, "capacity of the fleet in requests per second");
DEFINE_int32(seconds, 60, "duration of a trace");
DEFINE_uint64(seed, 1, "seed of the traces");
DEFINE_double(routine_floor,
              0.2,
              "fraction of the slots that is kept for routine requests");
DEFINE_double(deviations,
              -1,
              "KV memory kept free, in standard deviations of the forecast; "
              "the default if negative");
DEFINE_int32(stall_ms, 0, "duration of a stall of one engine");

using namespace persimmontally;

static std::vector<std::string> Split(const std::string& aText,
                                      const std::vector<std::string>& aAll)
{
  if (aText.empty()) {
    return aAll;
  }
  std::vector<std::string> parts;
  std::istringstream in(aText);
  std::string part;
  while (std::getline(in, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("persimmontally-bench [--scenarios LIST]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  BenchFleet fleet;
  fleet.m_engines = FLAGS_engines;
  fleet.m_engine.m_kvBlocks = FLAGS_kv_blocks;
  fleet.m_routineFloor = FLAGS_routine_floor;
  fleet.m_stallDuration = milliseconds(FLAGS_stall_ms);
  for (const std::string& name : Split(FLAGS_scenarios, ScenarioNames())) {
    auto spec =
      MakeScenario(name, FLAGS_capacity, seconds(FLAGS_seconds), FLAGS_seed);
    if (!spec.ok()) {
      std::cerr << spec.status().message() << "\n";
      return 2;
    }
    Trace trace = GenerateTrace(*spec);
    std::cout << "\n### " << name << " (" << trace.size() << " requests)\n\n"
              << BenchTableHead();
    for (const std::string& variantName :
         Split(FLAGS_variants, VariantNames())) {
      auto variant = MakeVariant(variantName);
      if (!variant.ok()) {
        std::cerr << variant.status().message() << "\n";
        return 2;
      }
      auto* conditional =
        std::get_if<ConditionalForecast>(&variant->m_dispatch.m_forecast);
      if (conditional != nullptr && FLAGS_deviations >= 0) {
        conditional->m_deviations = FLAGS_deviations;
      }
      std::cout << BenchTableRow(variantName, RunBench(*variant, fleet, trace))
                << std::flush;
    }
  }
  return 0;
}
