/// Plays traces through the decision systems and engine models in virtual
/// time and prints the measures of several ways to decide, side by side.

#include "persimmontally/Load/VirtualBench.h"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(scenarios, "", "scenarios, by commas; all when empty");
DEFINE_string(variants, "", "variants, by commas; all when empty");
DEFINE_uint32(engines, 14, "engines of the fleet");
DEFINE_uint32(kv_blocks, 1200, "blocks of key-value memory of an engine");
DEFINE_double(capacity, 60, "requests a second that the fleet can take");
DEFINE_int32(seconds, 60, "length of a trace");
DEFINE_uint64(seed, 1, "seed of the traces");
DEFINE_double(routine_floor, 0.2, "part of the slots that routine work keeps");
DEFINE_double(deviations,
              -1,
              "standard deviations of memory kept free; the default when "
              "negative");
DEFINE_int32(stall_ms, 0, "one engine stalls for this long");

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
  fleet.m_stall = milliseconds(FLAGS_stall_ms);
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
