#include "persimmontally/Routing/RetryBudget.h"

#include <algorithm>

namespace persimmontally {

void RetryBudget::SetHosts(size_t aHosts)
{
  double share = kSavedRetriesOfFleet / static_cast<double>(aHosts);
  m_maxSavedRetries = std::clamp(share, kMinSavedRetries, kMaxSavedRetries);
  m_savedRetries = std::min(m_savedRetries, m_maxSavedRetries);
}

void RetryBudget::OnRequest()
{
  m_savedRetries =
    std::min(m_maxSavedRetries, m_savedRetries + kRetriesPerRequest);
}

bool RetryBudget::TryTake()
{
  if (m_savedRetries < 1) {
    return false;
  }
  m_savedRetries -= 1;
  return true;
}

Duration RetryBudget::Delay(int aRetry)
{
  constexpr int kMaxDoublings = 6;
  Duration bound = kBaseDelay * (1 << std::min(aRetry, kMaxDoublings));
  std::uniform_int_distribution<Duration::rep> draw(
    0, std::min(bound, kMaxDelay).count());
  return Duration(draw(m_random));
}

} // namespace persimmontally
