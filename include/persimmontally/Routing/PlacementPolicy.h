#ifndef PERSIMMONTALLY_ROUTING_PLACEMENTPOLICY_H
#define PERSIMMONTALLY_ROUTING_PLACEMENTPOLICY_H

#include "persimmontally/Support/Ids.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmontally {

/// Inputs to a placement policy for one upstream and one request.
struct PlacementView
{
  UpstreamId m_upstream;
  bool m_sameDataCentre = false;
  bool m_sameRegion = false;
  /// Requests on the upstream, corrected for the lag of its load reports.
  double m_inFlight = 0;
  double m_slots = 1;
  /// Prompt tokens of its requests that have not been prefilled yet.
  double m_pendingPrefillTokens = 0;
  /// Forecast peak of KV memory as a fraction of the engine's memory.
  double m_memoryUse = 0;
  /// Fraction of the prompt that its prefix cache likely holds.
  double m_prefixHit = 0;
  /// Time between tokens relative to the median of upstreams that serve the
  /// same work.
  double m_slowness = 1;
  /// Forecast excess of the request's longest pause over its objective; 0 for a
  /// short response.
  double m_pauseExcess = 0;
  /// The same excess, summed over the long streams that run on the engine, for
  /// each 1,000 tokens of the request's prompt: they pause while it is read.
  double m_pauseExcessOfOthers = 0;
  /// Uniform random number in [0, 1), drawn for this decision.
  double m_randomDraw = 0;
};

/// Cycles through the upstreams; a baseline.
struct RoundRobinPlacement
{};
/// Selects the upstream with the fewest requests; a baseline.
struct LeastInFlightPlacement
{};
/// Scores upstreams by load, memory, prefix cache hits, slowness and distance.
struct LeastLoadPlacement
{
  double m_memoryWeight = 0.5;
  double m_prefixWeight = 0.5;
  double m_slownessWeight = 0.3;
  /// Cost per 1,000 prompt tokens that are prefilled before the request's own
  /// prompt: an engine prefills one prompt at a time.
  double m_prefillWeight = 0;
  /// Costs of pauses above the objective, for the request itself and for the
  /// streams that its prompt delays.
  double m_pauseWeight = 0;
  double m_delayedPauseWeight = 0;
  /// Costs of another data centre in the same region and of another region.
  double m_otherDataCentre = 0.2;
  double m_otherRegion = 1.0;
  /// Width of the random term in the score. Without it, hosts that decide
  /// within the propagation delay of an update would all select the same
  /// upstream. 0 if a single host places all requests.
  double m_spread = 0;
};

using PlacementPolicy =
  std::variant<RoundRobinPlacement, LeastInFlightPlacement, LeastLoadPlacement>;

std::string_view ToString(const PlacementPolicy& aPolicy);
absl::StatusOr<PlacementPolicy> ParsePlacementPolicy(std::string_view aName);

/// Returns the score of each view, in the same order; the lowest one wins.
/// `aPlacementCount` is the number of placements so far.
std::vector<double> ScorePlacements(const PlacementPolicy& aPolicy,
                                    const std::vector<PlacementView>& aViews,
                                    uint64_t aPlacementCount);

} // namespace persimmontally

#endif
