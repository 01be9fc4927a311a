#include "persimmontally/Admission/AccountLimits.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

/// Capacity of the request bucket, in seconds of the plan's request rate.
static constexpr double kRequestBurstSeconds = 2;
/// Capacity of the token bucket, in seconds of the plan's token rate.
static constexpr double kTokenBurstSeconds = 60;
static constexpr double kSecondsPerMinute = 60;

void AccountLimits::Refill(Instant aNow,
                           AccountUsage& aUsage,
                           const Plan& aPlan,
                           double aShare)
{
  double requestRate = aPlan.m_requestsPerSecond * aShare;
  double tokenRate = aPlan.m_tokensPerMinute / kSecondsPerMinute * aShare;
  double maxRequests = std::max(1.0, requestRate * kRequestBurstSeconds);
  double maxTokens = tokenRate * kTokenBurstSeconds;
  if (aUsage.m_isNew) {
    aUsage.m_isNew = false;
    aUsage.m_requestBucket = maxRequests;
    aUsage.m_tokenBucket = maxTokens;
    aUsage.m_refilledAt = aNow;
    return;
  }
  double elapsed = ToSeconds(aNow - aUsage.m_refilledAt);
  aUsage.m_refilledAt = aNow;
  aUsage.m_requestBucket =
    std::min(maxRequests, aUsage.m_requestBucket + requestRate * elapsed);
  aUsage.m_tokenBucket =
    std::min(maxTokens, aUsage.m_tokenBucket + tokenRate * elapsed);
}

/// Returns the time in which a bucket gains a missing amount, at most 60 s.
static Duration RefillWait(double aMissing, double aRate)
{
  constexpr double kMaxWaitSeconds = 60;
  double waitSeconds =
    aRate <= 0 ? kMaxWaitSeconds : std::min(kMaxWaitSeconds, aMissing / aRate);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(waitSeconds));
}

std::optional<Refusal> AccountLimits::Admit(Instant aNow,
                                            const AccountId& aAccount,
                                            const Plan& aPlan,
                                            double aShare,
                                            uint32_t aPromptTokens)
{
  AccountUsage& usage = m_usage[aAccount];
  Refill(aNow, usage, aPlan, aShare);
  double maxRunning = std::floor(aPlan.m_maxConcurrent * aShare + 1e-6);
  if (usage.m_running >= maxRunning) {
    usage.m_hasShareShortage = true;
    return RefusalBuilder(ErrorKind::ConcurrencyLimited,
                          "the plan's limit of concurrent requests is reached")
      .Build();
  }
  if (usage.m_requestBucket < 1) {
    usage.m_hasShareShortage = true;
    double rate = aPlan.m_requestsPerSecond * aShare;
    return RefusalBuilder(ErrorKind::RateLimited,
                          "the plan's limit of requests per second is reached")
      .WithRetryAfter(RefillWait(1 - usage.m_requestBucket, rate))
      .Build();
  }
  if (usage.m_tokenBucket < aPromptTokens || usage.m_tokenBucket <= 0) {
    usage.m_hasShareShortage = true;
    double rate = aPlan.m_tokensPerMinute / kSecondsPerMinute * aShare;
    return RefusalBuilder(ErrorKind::RateLimited,
                          "the plan's limit of tokens per minute is reached")
      .WithRetryAfter(RefillWait(aPromptTokens + 1 - usage.m_tokenBucket, rate))
      .Build();
  }
  usage.m_requestBucket -= 1;
  usage.m_tokenBucket -= aPromptTokens;
  ++usage.m_running;
  return std::nullopt;
}

void AccountLimits::ChargeTokens(const AccountId& aAccount, uint32_t aTokens)
{
  m_usage[aAccount].m_tokenBucket -= aTokens;
}

void AccountLimits::Finish(const AccountId& aAccount)
{
  AccountUsage& usage = m_usage[aAccount];
  if (usage.m_running > 0) {
    --usage.m_running;
  }
}

uint32_t AccountLimits::Running(const AccountId& aAccount) const
{
  auto at = m_usage.find(aAccount);
  return at == m_usage.end() ? 0 : at->second.m_running;
}

bool AccountLimits::ConsumeShareShortage(const AccountId& aAccount)
{
  auto at = m_usage.find(aAccount);
  return at != m_usage.end() &&
         std::exchange(at->second.m_hasShareShortage, false);
}

bool AccountLimits::IsIdle(const AccountId& aAccount) const
{
  auto at = m_usage.find(aAccount);
  return at == m_usage.end() ||
         (at->second.m_running == 0 && !at->second.m_hasShareShortage);
}

} // namespace persimmontally
