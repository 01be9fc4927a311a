#ifndef PERSIMMONTALLY_ROUTING_RETRYBUDGET_H
#define PERSIMMONTALLY_ROUTING_RETRYBUDGET_H

#include "persimmontally/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace persimmontally {

/// Limits retries to a fraction of the requests, so that they do not amplify an
/// overload. A new budget holds as many retries as it can save.
///
/// Load pattern: upstreams that begin to fail meet the saved retries of all
/// hosts at once.
class RetryBudget
{
public:
  /// Retries earned by each request.
  static constexpr double kRetriesPerRequest = 0.1;
  /// Maximum retries that one host can save.
  static constexpr double kMaxSavedRetries = 10;
  /// Maximum retries that all hosts of a fleet save together, unless that is
  /// less than `kMinSavedRetries` for each.
  static constexpr double kSavedRetriesOfFleet = 60;
  static constexpr double kMinSavedRetries = 1.5;
  static constexpr Duration kBaseDelay = milliseconds(10);
  static constexpr Duration kMaxDelay = milliseconds(500);

  /// A host that may be one of many which have just started, and do not know
  /// each other yet, begins with `kMinSavedRetries`.
  explicit RetryBudget(uint64_t aSeed, double aSavedRetries = kMaxSavedRetries)
    : m_savedRetries(aSavedRetries)
    , m_random(aSeed)
  {
  }

  /// Sets the number of hosts that send requests to the same upstreams.
  void SetHosts(size_t aHosts);
  /// Adds `kRetriesPerRequest` to the budget. Called once per request.
  void OnRequest();
  /// Consumes one retry and returns true, or returns false if less than one is
  /// available.
  bool TryTake();
  /// Returns a random delay before retry `aRetry` of a request (1 is the
  /// first), from zero to the lesser of `kBaseDelay * 2^aRetry` and
  /// `kMaxDelay`: exponential backoff with full jitter.
  Duration Delay(int aRetry);

private:
  double m_maxSavedRetries = kMaxSavedRetries;
  double m_savedRetries;
  std::mt19937_64 m_random;
};

} // namespace persimmontally

#endif
