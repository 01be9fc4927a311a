#include "persimmontally/Admission/LengthModel.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

static constexpr double kBinsPerOctave = 4;
/// Factor that is applied to the weights of all earlier observations when one
/// is added. The effective window is 2,000 observations.
static constexpr double kDecayFactor = 1.0 - 1.0 / 2000;

static size_t BinOf(double aTokens)
{
  double bin = std::log2(std::max(aTokens, 1.0)) * kBinsPerOctave;
  return std::min(static_cast<size_t>(bin), LengthHistogram::kBinCount - 1);
}

static double LowEdge(size_t aBin)
{
  return std::exp2(static_cast<double>(aBin) / kBinsPerOctave);
}

void LengthHistogram::Record(uint32_t aTokens)
{
  for (double& bin : m_bins) {
    bin *= kDecayFactor;
  }
  m_weight = m_weight * kDecayFactor + 1;
  m_sum = m_sum * kDecayFactor + aTokens;
  m_bins[BinOf(aTokens)] += 1;
  double above = 0;
  for (size_t bin = kBinCount; bin-- > 0;) {
    m_above[bin] = above;
    above += m_bins[bin];
  }
}

double LengthHistogram::FractionAbove(double aTokens) const
{
  if (m_weight <= 0) {
    return 0;
  }
  size_t bin = BinOf(aTokens);
  double low = LowEdge(bin);
  double high = LowEdge(bin + 1);
  double binFraction = std::clamp((high - aTokens) / (high - low), 0.0, 1.0);
  return (m_above[bin] + binFraction * m_bins[bin]) / m_weight;
}

double LengthHistogram::Mean() const
{
  return m_weight <= 0 ? 0 : m_sum / m_weight;
}

void LengthModel::Record(const ModelId& aModel,
                         const AccountId& aAccount,
                         uint32_t aTokens)
{
  m_byAccount[{ aModel, aAccount }].Record(aTokens);
  m_byModel[aModel].Record(aTokens);
  m_overall.Record(aTokens);
}

const LengthHistogram* LengthModel::Find(const ModelId& aModel,
                                         const AccountId& aAccount) const
{
  auto byAccount = m_byAccount.find({ aModel, aAccount });
  if (byAccount != m_byAccount.end() &&
      byAccount->second.Weight() >= kMinWeight) {
    return &byAccount->second;
  }
  auto byModel = m_byModel.find(aModel);
  if (byModel != m_byModel.end() && byModel->second.Weight() >= kMinWeight) {
    return &byModel->second;
  }
  return m_overall.Weight() >= kMinWeight ? &m_overall : nullptr;
}

/// Returns the prior fraction of outputs that are longer than `aTokens`:
/// lengths are log-uniform up to the caller's limit.
static double PriorFractionAbove(double aTokens, uint32_t aMaxTokens)
{
  double most = std::log2(std::max(2.0, static_cast<double>(aMaxTokens)));
  return std::clamp(1 - std::log2(std::max(1.0, aTokens)) / most, 0.0, 1.0);
}

double LengthModel::ContinuationProbability(const ModelId& aModel,
                                            const AccountId& aAccount,
                                            uint32_t aTokensSoFar,
                                            uint32_t aFurtherTokens,
                                            uint32_t aMaxTokens) const
{
  double end = static_cast<double>(aTokensSoFar) + aFurtherTokens;
  if (end >= aMaxTokens) {
    return 0;
  }
  const LengthHistogram* lengths = Find(aModel, aAccount);
  // The prior counts as one observation, so that outputs longer than any
  // observed one stay possible and become less likely with the number of
  // observations.
  double priorWeight = lengths == nullptr ? 1 : 1 / (1 + lengths->Weight());
  auto above = [&](double aTokens) {
    double prior = PriorFractionAbove(aTokens, aMaxTokens);
    double seen = lengths == nullptr ? 0 : lengths->FractionAbove(aTokens);
    return (1 - priorWeight) * seen + priorWeight * prior;
  };
  double now = above(aTokensSoFar);
  return now <= 0 ? 0 : std::min(1.0, above(end) / now);
}

double LengthModel::ExpectedTokens(const ModelId& aModel,
                                   const AccountId& aAccount,
                                   uint32_t aMaxTokens) const
{
  const LengthHistogram* lengths = Find(aModel, aAccount);
  // The median of the prior: with its mean, the first requests of an account
  // would be charged many times the tokens that they use.
  double priorMedian = std::sqrt(static_cast<double>(aMaxTokens));
  double expected = lengths != nullptr ? lengths->Mean() : priorMedian;
  return std::min(expected, static_cast<double>(aMaxTokens));
}

} // namespace persimmontally
