#include "persimmontally/Admission/LengthModel.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

static constexpr double kBinsPerOctave = 4;
/// Weight that every earlier observation keeps when one is added: the last
/// 2,000 count most.
static constexpr double kFading = 1.0 - 1.0 / 2000;

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
    bin *= kFading;
  }
  m_weight = m_weight * kFading + 1;
  m_sum = m_sum * kFading + aTokens;
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
  double part = std::clamp((high - aTokens) / (high - low), 0.0, 1.0);
  return (m_above[bin] + part * m_bins[bin]) / m_weight;
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
  m_all.Record(aTokens);
}

const LengthHistogram* LengthModel::Find(const ModelId& aModel,
                                         const AccountId& aAccount) const
{
  auto byAccount = m_byAccount.find({ aModel, aAccount });
  if (byAccount != m_byAccount.end() &&
      byAccount->second.Weight() >= kLeastWeight) {
    return &byAccount->second;
  }
  auto byModel = m_byModel.find(aModel);
  if (byModel != m_byModel.end() && byModel->second.Weight() >= kLeastWeight) {
    return &byModel->second;
  }
  return m_all.Weight() >= kLeastWeight ? &m_all : nullptr;
}

/// Chance without any observation: lengths even in their logarithm up to the
/// caller's bound.
static double PriorAbove(double aTokens, uint32_t aMaxTokens)
{
  double most = std::log2(std::max(2.0, static_cast<double>(aMaxTokens)));
  return std::clamp(1 - std::log2(std::max(1.0, aTokens)) / most, 0.0, 1.0);
}

double LengthModel::ChanceOfMore(const ModelId& aModel,
                                 const AccountId& aAccount,
                                 uint32_t aSoFar,
                                 uint32_t aFurther,
                                 uint32_t aMaxTokens) const
{
  double end = static_cast<double>(aSoFar) + aFurther;
  if (end >= aMaxTokens) {
    return 0;
  }
  const LengthHistogram* lengths = Find(aModel, aAccount);
  // The prior counts as one observation, so that outputs longer than any seen
  // stay possible and matter less the more is known.
  double priorPart = lengths == nullptr ? 1 : 1 / (1 + lengths->Weight());
  auto above = [&](double aTokens) {
    double prior = PriorAbove(aTokens, aMaxTokens);
    double seen = lengths == nullptr ? 0 : lengths->FractionAbove(aTokens);
    return (1 - priorPart) * seen + priorPart * prior;
  };
  double now = above(aSoFar);
  return now <= 0 ? 0 : std::min(1.0, above(end) / now);
}

double LengthModel::ExpectedTokens(const ModelId& aModel,
                                   const AccountId& aAccount,
                                   uint32_t aMaxTokens) const
{
  const LengthHistogram* lengths = Find(aModel, aAccount);
  // The median of the prior: its mean would charge the first requests of an
  // account many times what they use.
  double unseen = std::sqrt(static_cast<double>(aMaxTokens));
  double expected = lengths != nullptr ? lengths->Mean() : unseen;
  return std::min(expected, static_cast<double>(aMaxTokens));
}

} // namespace persimmontally
