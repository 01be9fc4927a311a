// Forecast of the pauses of streams on an engine.

#include "persimmontally/Routing/Dispatcher.h"

namespace persimmontally {

/// Tokens still to come from which on a stream counts as long: it meets several
/// prompts of others.
static constexpr uint32_t kLongStreamTokens = 120;
static constexpr double kTokensPerPromptUnit = 1000;

static bool IsLong(uint32_t aExpected, uint32_t aMax, uint32_t aSoFar)
{
  uint32_t total = aExpected > aSoFar ? std::min(aExpected, aMax) : aMax;
  return total > aSoFar + kLongStreamTokens;
}

void Dispatcher::NotePauseObjective(const Ticket& aTicket, Pool& aPool)
{
  if (aTicket.m_pauseObjective > Duration(0) &&
      IsLong(aTicket.m_expectedTokens, aTicket.m_maxTokens, 0)) {
    aPool.m_pauseObjective = aTicket.m_pauseObjective;
  }
}

void Dispatcher::ForecastPauses(Instant aNow,
                                const Pool& aPool,
                                const Ticket& aTicket,
                                PlacementView& aView) const
{
  double excess = m_paces.ExcessOf(aView.m_upstream, aPool.m_pauseObjective);
  if (excess <= 0) {
    return;
  }
  if (IsLong(aTicket.m_expectedTokens, aTicket.m_maxTokens, 0)) {
    aView.m_pauseExcess = excess;
  }
  auto load = m_upstreamLoads.find(aView.m_upstream);
  if (load == m_upstreamLoads.end()) {
    return;
  }
  double longStreams = 0;
  for (const RequestId& id : load->second.m_requests) {
    const Running& running = m_running.at(id);
    GenerationSize size = SizeOf(aNow, running);
    longStreams +=
      !running.m_isCopy &&
          IsLong(size.m_expectedTokens, size.m_maxTokens, size.m_tokensSoFar)
        ? 1
        : 0;
  }
  aView.m_pauseExcessOfOthers =
    excess * longStreams * aTicket.m_promptTokens / kTokensPerPromptUnit;
}

} // namespace persimmontally
