/// Histories of concurrent runs of the replicated state, with faults drawn
/// from seeds and a checker over what callers saw.

#include "State/StateSite.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace persimmontally;

static uint64_t NumberFromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

TEST_CASE("histories with faults keep every promise")
{
  constexpr uint64_t kSeedsPerShard = 1'000'000;
  uint64_t shard = NumberFromEnvironment("PERSIMMONTALLY_SHARD", 0);
  uint64_t seeds = NumberFromEnvironment("PERSIMMONTALLY_SEEDS", 20);
  uint64_t first = NumberFromEnvironment("PERSIMMONTALLY_FIRST_SEED",
                                         shard * kSeedsPerShard + 1);
  size_t accepted = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    SiteOptions options;
    options.m_seed = seed;
    StateSite site(options);
    site.Run();
    for (const std::string& fault : site.CheckHistory()) {
      FAIL_CHECK("seed " << seed << ": " << fault);
    }
    accepted += site.AcceptedChanges();
  }
  // The runs must have done something for their verdict to count.
  CHECK(accepted > 20 * seeds);
}
