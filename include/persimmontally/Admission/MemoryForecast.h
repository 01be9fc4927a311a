#ifndef PERSIMMONTALLY_ADMISSION_MEMORYFORECAST_H
#define PERSIMMONTALLY_ADMISSION_MEMORYFORECAST_H

#include "persimmontally/Admission/LengthModel.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

namespace persimmontally {

/// Numbers of decode steps from now at which the KV memory occupancy of an
/// engine is forecast. One step adds one token to each running generation.
inline constexpr std::array<uint32_t, 6> kForecastSteps = { 0,   32,   128,
                                                            512, 2048, 8192 };

/// Inputs of the forecast for one generation.
struct GenerationSize
{
  ModelId m_model;
  AccountId m_account;
  uint32_t m_promptTokens = 0;
  uint32_t m_tokensSoFar = 0;
  uint32_t m_maxTokens = 0;
  /// True output length for the oracle baseline; 0 otherwise.
  uint32_t m_trueTokens = 0;
  /// The caller's estimate of the output length; 0 without one.
  uint32_t m_expectedTokens = 0;
};

/// Mean and variance of the tokens that a generation, or a sum of independent
/// generations, holds in KV memory at each forecast step.
struct Occupancy
{
  std::array<double, kForecastSteps.size()> m_mean{};
  std::array<double, kForecastSteps.size()> m_variance{};

  Occupancy& operator+=(const Occupancy& aOther);
  /// Returns the maximum over the steps of the mean plus `aDeviations` standard
  /// deviations.
  double Peak(double aDeviations) const;
};

/// No forecast: counts only the tokens that are held now.
struct NoForecast
{};
/// Assumes that every output has the expected length.
struct MeanForecast
{};
/// Uses the distribution of the output length, conditional on the tokens that
/// the output already has.
struct ConditionalForecast
{
  /// Safety margin in standard deviations. A larger margin lowers the
  /// probability of an overflow and leaves more memory unused; docs/RESULTS.md
  /// compares values.
  double m_deviations = 0.5;
};
/// Models the length as lognormal with the caller's estimate as its median.
/// Falls back to ConditionalForecast without an estimate. Meant for callers
/// whose estimates are right at the median but often far off.
struct HintedForecast
{
  /// Standard deviation of ln(length / estimate).
  double m_logDeviation = 0.6;
  /// Safety margin in standard deviations.
  double m_deviations = 1.0;
};
/// Uses the true output length. A baseline for experiments only.
struct OracleForecast
{};

using ForecastPolicy = std::variant<NoForecast,
                                    MeanForecast,
                                    ConditionalForecast,
                                    HintedForecast,
                                    OracleForecast>;

/// Returns the name of a policy in settings and reports.
std::string_view ToString(const ForecastPolicy& aPolicy);

/// Returns the occupancy of one generation under a policy.
Occupancy ForecastGeneration(const ForecastPolicy& aPolicy,
                             const LengthModel& aLengths,
                             const GenerationSize& aSize);

/// Returns the peak of a summed occupancy in tokens, including the safety
/// margin of the policy.
double ForecastPeak(const ForecastPolicy& aPolicy, const Occupancy& aSum);

} // namespace persimmontally

#endif
