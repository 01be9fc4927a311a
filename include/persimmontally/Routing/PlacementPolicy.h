#ifndef PERSIMMONTALLY_ROUTING_PLACEMENTPOLICY_H
#define PERSIMMONTALLY_ROUTING_PLACEMENTPOLICY_H

#include "persimmontally/Support/Ids.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmontally {

/// What a policy may weigh of one upstream for one request.
struct PlacementView
{
  UpstreamId m_upstream;
  bool m_sameDataCentre = false;
  bool m_sameRegion = false;
  /// Requests on it, with the lag of reports corrected.
  double m_inFlight = 0;
  double m_slots = 1;
  /// Prompt tokens that it has still to read for the requests on it.
  double m_unreadTokens = 0;
  /// Forecast peak of memory over what admission plans with.
  double m_memoryUse = 0;
  /// Part of the prompt that its cache likely holds.
  double m_prefixHit = 0;
  /// Time between tokens over the median of its peers.
  double m_slowness = 1;
  /// Drawn evenly from 0 to 1 for this decision.
  double m_draw = 0;
};

/// Takes the upstreams in turn; a baseline.
struct RoundRobinPlacement
{};
/// Takes the one with the fewest requests; a baseline.
struct LeastInFlightPlacement
{};
/// Weighs load, memory, prefix cache, slowness and the cost of links.
struct LeastLoadPlacement
{
  double m_memoryWeight = 0.5;
  double m_prefixWeight = 0.5;
  double m_slownessWeight = 0.3;
  /// For each 1,000 prompt tokens that are to be read before the request's own:
  /// an engine reads one prompt after the other.
  double m_unreadWeight = 0;
  /// Added for another data centre of the region, and for another region.
  double m_otherDataCentre = 0.2;
  double m_otherRegion = 1.0;
  /// Upstreams whose scores differ by less than about this much are taken by
  /// chance: hosts that decide within the time that news takes between them
  /// would all take the same one. 0 where one host decides alone.
  double m_spread = 0;
};

using PlacementPolicy =
  std::variant<RoundRobinPlacement, LeastInFlightPlacement, LeastLoadPlacement>;

std::string_view ToString(const PlacementPolicy& aPolicy);
absl::StatusOr<PlacementPolicy> ParsePlacementPolicy(std::string_view aName);

/// Score of each view, in their order; the lowest is taken. `aTurn` counts the
/// placements so far.
std::vector<double> ScorePlacements(const PlacementPolicy& aPolicy,
                                    const std::vector<PlacementView>& aViews,
                                    uint64_t aTurn);

} // namespace persimmontally

#endif
