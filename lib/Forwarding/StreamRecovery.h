#ifndef PERSIMMONTALLY_LIB_FORWARDING_STREAMRECOVERY_H
#define PERSIMMONTALLY_LIB_FORWARDING_STREAMRECOVERY_H

#include "persimmontally/Support/Time.h"

namespace persimmontally {

/// Minimum time before the deadline at which a request is still sent: a round
/// trip between regions and a first token.
inline constexpr Duration kMinTimeLeft = milliseconds(30);

/// What is known about a stream when its upstream breaks it off.
struct BrokenStream
{
  /// Whether another upstream holds a backup of the generation.
  bool m_hasBackup = false;
  /// Whether the route allows a new run, and the event after which it would
  /// start is known.
  bool m_isRepeatable = false;
  /// Upstreams that the request was sent to, and their limit.
  int m_sends = 0;
  int m_maxAttempts = 1;
  Duration m_timeLeft{ 0 };
  /// Whether there is no evidence that the request crashes its upstreams.
  bool m_isHarmless = false;
  /// Whether the upstream that has broken it off lives on, as far as this host
  /// knows.
  bool m_hasSurvived = false;
};

enum class StreamRecovery
{
  /// The end of the caller's connection tells it that the stream is incomplete.
  None,
  Backup,
  /// Another upstream runs the request from the last delivered event on.
  NewRun,
};

/// Decides how a stream goes on. The retry budget is not included: it is used
/// up only by a new run that would otherwise take place.
///
/// Load pattern: engines crash together, each under a few streams of every
/// host, and one request may be the cause of such a crash.
StreamRecovery DecideRecovery(const BrokenStream& aStream);

} // namespace persimmontally

#endif
