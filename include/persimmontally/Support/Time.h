#ifndef PERSIMMONTALLY_SUPPORT_TIME_H
#define PERSIMMONTALLY_SUPPORT_TIME_H

#include <chrono>
#include <cstdint>

namespace persimmontally {

using Duration = std::chrono::microseconds;

/// Tag clock of the monotonic time that is passed into every system. It
/// deliberately has no `now()`: only the event loop and the tests create
/// instants, so that every decision can be replayed.
struct MonotonicClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  // The standard requires this name of a clock.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using Instant = std::chrono::time_point<MonotonicClock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to seconds with a fractional part.
inline double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

inline int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace persimmontally

#endif
