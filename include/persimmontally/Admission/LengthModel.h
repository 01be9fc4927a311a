#ifndef PERSIMMONTALLY_ADMISSION_LENGTHMODEL_H
#define PERSIMMONTALLY_ADMISSION_LENGTHMODEL_H

#include "persimmontally/Support/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace persimmontally {

/// Histogram of output lengths in tokens with four bins per octave, up to
/// 65,536 tokens. Observations decay exponentially with each new one, so that
/// the histogram follows a change of the workload.
class LengthHistogram
{
public:
  static constexpr size_t kBinCount = 65;

  /// Adds the length of one output.
  void Record(uint32_t aTokens);
  /// Returns the decayed number of observations.
  double Weight() const { return m_weight; }
  /// Returns the fraction of the observations that are longer than `aTokens`,
  /// interpolated linearly within a bin; 0 without observations.
  double FractionAbove(double aTokens) const;
  /// Returns the mean length in tokens, 0 without observations.
  double Mean() const;

private:
  std::array<double, kBinCount> m_bins{};
  /// Sum of the weights of all bins above each bin. Kept so that FractionAbove
  /// does not sum over the bins.
  std::array<double, kBinCount> m_above{};
  double m_weight = 0;
  double m_sum = 0;
};

/// Predicts the remaining length of an output from the tokens that it already
/// has. Uses the observed lengths of the same model and account, else of the
/// model, else of all outputs, whichever first has kMinWeight observations.
class LengthModel
{
public:
  /// Decayed number of observations that a histogram needs to be used.
  static constexpr double kMinWeight = 20;

  /// Adds the length of one finished output.
  void Record(const ModelId& aModel,
              const AccountId& aAccount,
              uint32_t aTokens);

  /// Returns the probability that an output that has `aTokensSoFar` tokens gets
  /// more than `aFurtherTokens` further ones. `aMaxTokens` is the caller's
  /// limit.
  double ContinuationProbability(const ModelId& aModel,
                                 const AccountId& aAccount,
                                 uint32_t aTokensSoFar,
                                 uint32_t aFurtherTokens,
                                 uint32_t aMaxTokens) const;
  /// Returns the expected total length of an output that has not begun.
  double ExpectedTokens(const ModelId& aModel,
                        const AccountId& aAccount,
                        uint32_t aMaxTokens) const;

private:
  /// Returns the narrowest histogram that has kMinWeight observations, or null.
  const LengthHistogram* Find(const ModelId& aModel,
                              const AccountId& aAccount) const;

  std::map<std::pair<ModelId, AccountId>, LengthHistogram> m_byAccount;
  std::map<ModelId, LengthHistogram> m_byModel;
  LengthHistogram m_overall;
};

} // namespace persimmontally

#endif
