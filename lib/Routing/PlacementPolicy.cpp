#include "persimmontally/Routing/PlacementPolicy.h"

#include <string>

namespace persimmontally {

namespace {

struct ScoreVisitor
{
  const std::vector<PlacementView>& m_views;
  uint64_t m_placementCount;

  std::vector<double> operator()(const RoundRobinPlacement&) const
  {
    std::vector<double> scores;
    for (size_t i = 0; i < m_views.size(); ++i) {
      scores.push_back(static_cast<double>(
        (i + m_views.size() - m_placementCount % m_views.size()) %
        m_views.size()));
    }
    return scores;
  }

  std::vector<double> operator()(const LeastInFlightPlacement&) const
  {
    std::vector<double> scores;
    for (const PlacementView& view : m_views) {
      scores.push_back(view.m_inFlight);
    }
    return scores;
  }

  std::vector<double> operator()(const LeastLoadPlacement& aPolicy) const
  {
    std::vector<double> scores;
    for (const PlacementView& view : m_views) {
      double score = view.m_inFlight / view.m_slots;
      score += aPolicy.m_memoryWeight * view.m_memoryUse;
      score += aPolicy.m_prefillWeight * view.m_pendingPrefillTokens / 1000;
      score -= aPolicy.m_prefixWeight * view.m_prefixHit;
      score += aPolicy.m_slownessWeight * (view.m_slowness - 1);
      score += aPolicy.m_pauseWeight * view.m_pauseExcess;
      score += aPolicy.m_delayedPauseWeight * view.m_pauseExcessOfOthers;
      score += aPolicy.m_spread * view.m_randomDraw;
      if (!view.m_sameRegion) {
        score += aPolicy.m_otherRegion;
      } else if (!view.m_sameDataCentre) {
        score += aPolicy.m_otherDataCentre;
      }
      scores.push_back(score);
    }
    return scores;
  }
};

} // namespace

std::string_view ToString(const PlacementPolicy& aPolicy)
{
  struct Visitor
  {
    std::string_view operator()(const RoundRobinPlacement&) const
    {
      return "round_robin";
    }
    std::string_view operator()(const LeastInFlightPlacement&) const
    {
      return "least_in_flight";
    }
    std::string_view operator()(const LeastLoadPlacement&) const
    {
      return "least_load";
    }
  };
  return std::visit(Visitor(), aPolicy);
}

absl::StatusOr<PlacementPolicy> ParsePlacementPolicy(std::string_view aName)
{
  for (const PlacementPolicy& policy :
       { PlacementPolicy(RoundRobinPlacement()),
         PlacementPolicy(LeastInFlightPlacement()),
         PlacementPolicy(LeastLoadPlacement()) }) {
    if (ToString(policy) == aName) {
      return policy;
    }
  }
  return absl::InvalidArgumentError("unknown placement policy '" +
                                    std::string(aName) + "'");
}

std::vector<double> ScorePlacements(const PlacementPolicy& aPolicy,
                                    const std::vector<PlacementView>& aViews,
                                    uint64_t aPlacementCount)
{
  if (aViews.empty()) {
    return {};
  }
  return std::visit(ScoreVisitor{ aViews, aPlacementCount }, aPolicy);
}

} // namespace persimmontally
