#include "persimmontally/Admission/MemoryForecast.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

namespace {

/// Computes the probability that a generation still holds memory after
/// `m_steps` decode steps.
struct ProbabilityVisitor
{
  const LengthModel& m_lengths;
  const GenerationSize& m_size;
  uint32_t m_steps;

  double operator()(const NoForecast&) const { return m_steps == 0 ? 1 : 0; }

  double operator()(const MeanForecast&) const
  {
    double expected = m_lengths.ExpectedTokens(
      m_size.m_model, m_size.m_account, m_size.m_maxTokens);
    expected = std::max(expected, static_cast<double>(m_size.m_tokensSoFar));
    return m_size.m_tokensSoFar + m_steps <= expected ? 1 : 0;
  }

  double operator()(const ConditionalForecast&) const
  {
    if (m_steps == 0) {
      return 1;
    }
    return m_lengths.ContinuationProbability(m_size.m_model,
                                             m_size.m_account,
                                             m_size.m_tokensSoFar,
                                             m_steps,
                                             m_size.m_maxTokens);
  }

  double operator()(const HintedForecast& aPolicy) const
  {
    if (m_size.m_expectedTokens == 0) {
      return (*this)(ConditionalForecast());
    }
    if (m_steps == 0) {
      return 1;
    }
    double soFar = m_size.m_tokensSoFar;
    if (m_size.m_maxTokens != 0 && soFar + m_steps > m_size.m_maxTokens) {
      return 0;
    }
    auto probabilityAbove = [&](double aTokens) {
      double ratio = std::max(aTokens, 1.0) / m_size.m_expectedTokens;
      return 0.5 *
             std::erfc(std::log(ratio) / (aPolicy.m_logDeviation * M_SQRT2));
    };
    return probabilityAbove(soFar + m_steps) /
           std::max(probabilityAbove(soFar), 1e-9);
  }

  double operator()(const OracleForecast&) const
  {
    return m_size.m_tokensSoFar + m_steps <= m_size.m_trueTokens ? 1 : 0;
  }
};

} // namespace

std::string_view ToString(const ForecastPolicy& aPolicy)
{
  struct Visitor
  {
    std::string_view operator()(const NoForecast&) const { return "none"; }
    std::string_view operator()(const MeanForecast&) const { return "mean"; }
    std::string_view operator()(const ConditionalForecast&) const
    {
      return "conditional";
    }
    std::string_view operator()(const HintedForecast&) const
    {
      return "hinted";
    }
    std::string_view operator()(const OracleForecast&) const
    {
      return "oracle";
    }
  };
  return std::visit(Visitor(), aPolicy);
}

Occupancy& Occupancy::operator+=(const Occupancy& aOther)
{
  for (size_t i = 0; i < kForecastSteps.size(); ++i) {
    m_mean[i] += aOther.m_mean[i];
    m_variance[i] += aOther.m_variance[i];
  }
  return *this;
}

double Occupancy::Peak(double aDeviations) const
{
  double peak = 0;
  for (size_t i = 0; i < kForecastSteps.size(); ++i) {
    peak = std::max(peak, m_mean[i] + aDeviations * std::sqrt(m_variance[i]));
  }
  return peak;
}

Occupancy ForecastGeneration(const ForecastPolicy& aPolicy,
                             const LengthModel& aLengths,
                             const GenerationSize& aSize)
{
  Occupancy occupancy;
  for (size_t i = 0; i < kForecastSteps.size(); ++i) {
    uint32_t steps = kForecastSteps[i];
    double probability =
      std::visit(ProbabilityVisitor{ aLengths, aSize, steps }, aPolicy);
    double heldTokens =
      static_cast<double>(aSize.m_promptTokens) + aSize.m_tokensSoFar + steps;
    occupancy.m_mean[i] = probability * heldTokens;
    occupancy.m_variance[i] =
      probability * (1 - probability) * heldTokens * heldTokens;
  }
  return occupancy;
}

double ForecastPeak(const ForecastPolicy& aPolicy, const Occupancy& aSum)
{
  double deviations = 0;
  if (const auto* conditional = std::get_if<ConditionalForecast>(&aPolicy)) {
    deviations = conditional->m_deviations;
  } else if (const auto* hinted = std::get_if<HintedForecast>(&aPolicy)) {
    deviations = hinted->m_deviations;
  }
  return aSum.Peak(deviations);
}

} // namespace persimmontally
