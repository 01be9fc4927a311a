#ifndef PERSIMMONTALLY_ADMISSION_MEMORYFORECAST_H
#define PERSIMMONTALLY_ADMISSION_MEMORYFORECAST_H

#include "persimmontally/Admission/LengthModel.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

namespace persimmontally {

/// Output steps ahead at which the occupancy of an engine is forecast.
inline constexpr std::array<uint32_t, 6> kForecastSteps = { 0,   32,   128,
                                                            512, 2048, 8192 };

/// One generation as the forecast sees it.
struct GenerationSize
{
  ModelId m_model;
  AccountId m_account;
  uint32_t m_promptTokens = 0;
  uint32_t m_tokensSoFar = 0;
  uint32_t m_maxTokens = 0;
  /// Known only to the oracle baseline; 0 otherwise.
  uint32_t m_trueTokens = 0;
  /// The caller's estimate of the output; 0 without one.
  uint32_t m_expectedTokens = 0;
};

/// Sum over generations of the mean and variance of the tokens that each holds
/// in memory at the forecast steps.
struct Occupancy
{
  std::array<double, kForecastSteps.size()> m_mean{};
  std::array<double, kForecastSteps.size()> m_variance{};

  Occupancy& operator+=(const Occupancy& aOther);
  /// Highest mean plus `aDeviations` standard deviations over the steps.
  double Peak(double aDeviations) const;
};

/// Admits whatever has a slot.
struct NoForecast
{};
/// Takes every output to have the mean length.
struct MeanForecast
{};
/// Uses the distribution of the length, given the tokens so far.
struct ConditionalForecast
{
  /// Standard deviations kept free. More bounds the chance of an overflow
  /// closer and leaves memory unused; docs/RESULTS.md compares values.
  double m_deviations = 0.5;
};
/// Takes the caller's estimate as the median of a lognormal length, and the
/// distribution of the length where there is no estimate. For callers whose
/// estimates are right in the middle and often far off.
struct HintedForecast
{
  /// Standard deviation of the logarithm of length over estimate.
  double m_spread = 0.6;
  double m_deviations = 1.0;
};
/// Knows the true length; a baseline for experiments only.
struct OracleForecast
{};

using ForecastPolicy = std::variant<NoForecast,
                                    MeanForecast,
                                    ConditionalForecast,
                                    HintedForecast,
                                    OracleForecast>;

std::string_view ToString(const ForecastPolicy& aPolicy);

/// Contribution of one generation under a policy.
Occupancy ForecastGeneration(const ForecastPolicy& aPolicy,
                             const LengthModel& aLengths,
                             const GenerationSize& aSize);

/// Tokens that the sum of contributions may need, by the policy's margin.
double ForecastPeak(const ForecastPolicy& aPolicy, const Occupancy& aSum);

} // namespace persimmontally

#endif
