#ifndef PERSIMMONTALLY_ADMISSION_LENGTHMODEL_H
#define PERSIMMONTALLY_ADMISSION_LENGTHMODEL_H

#include "persimmontally/Support/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace persimmontally {

/// Histogram of output lengths in tokens with four bins an octave, up to
/// 65,536 tokens. Old observations fade, so that it follows a change of work.
class LengthHistogram
{
public:
  static constexpr size_t kBinCount = 65;

  void Record(uint32_t aTokens);
  double Weight() const { return m_weight; }
  /// Part of the observations that are longer than a number of tokens, with
  /// linear interpolation within a bin.
  double FractionAbove(double aTokens) const;
  double Mean() const;

private:
  std::array<double, kBinCount> m_bins{};
  /// Weight of all bins above each one, so that a look-up is cheap.
  std::array<double, kBinCount> m_above{};
  double m_weight = 0;
  double m_sum = 0;
};

/// Predicts how much longer an output will get from how long it already is,
/// by the lengths seen of the same account and model, else of the model, else
/// of everything.
class LengthModel
{
public:
  /// Observations below which the wider group is used.
  static constexpr double kLeastWeight = 20;

  void Record(const ModelId& aModel,
              const AccountId& aAccount,
              uint32_t aTokens);

  /// Chance that an output that has `aSoFar` tokens gets more than `aFurther`
  /// further ones. `aMaxTokens` is the caller's own bound.
  double ChanceOfMore(const ModelId& aModel,
                      const AccountId& aAccount,
                      uint32_t aSoFar,
                      uint32_t aFurther,
                      uint32_t aMaxTokens) const;
  /// Expected whole length of an output that has not begun.
  double ExpectedTokens(const ModelId& aModel,
                        const AccountId& aAccount,
                        uint32_t aMaxTokens) const;

private:
  const LengthHistogram* Find(const ModelId& aModel,
                              const AccountId& aAccount) const;

  std::map<std::pair<ModelId, AccountId>, LengthHistogram> m_byAccount;
  std::map<ModelId, LengthHistogram> m_byModel;
  LengthHistogram m_all;
};

} // namespace persimmontally

#endif
