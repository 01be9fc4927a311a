/// Runs concurrent callers against the replicated state with random faults
/// drawn from seeds, and checks the results that the callers received.

#include "State/StateSimulation.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace persimmontally;

static uint64_t NumberFromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

TEST_CASE("histories with random faults show no violation")
{
  constexpr uint64_t kSeedsPerShard = 1'000'000;
  uint64_t shard = NumberFromEnvironment("PERSIMMONTALLY_SHARD", 0);
  uint64_t seeds = NumberFromEnvironment("PERSIMMONTALLY_SEEDS", 20);
  uint64_t first = NumberFromEnvironment("PERSIMMONTALLY_FIRST_SEED",
                                         shard * kSeedsPerShard + 1);
  size_t accepted = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    SimulationOptions options;
    options.m_seed = seed;
    StateSimulation simulation(options);
    simulation.Run();
    for (const std::string& violation : simulation.CheckHistory()) {
      FAIL_CHECK("seed " << seed << ": " << violation);
    }
    accepted += simulation.AcceptedChanges();
  }
  // Without enough accepted changes the runs would check nothing.
  CHECK(accepted > 20 * seeds);
}
