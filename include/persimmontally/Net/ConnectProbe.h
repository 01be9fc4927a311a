#ifndef PERSIMMONTALLY_NET_CONNECTPROBE_H
#define PERSIMMONTALLY_NET_CONNECTPROBE_H

#include "persimmontally/Support/Settings.h"
#include "persimmontally/Support/Time.h"

#include "absl/status/status.h"

#include <functional>

namespace persimmontally {

class EventLoop;

/// Timeout of a probe whether a process has ended: several round trips between
/// regions. The address of a process that has ended refuses at once.
inline constexpr Duration kProcessProbeTimeout = milliseconds(400);
/// Probes in a row without an answer that make a process unreachable. A lost
/// opening packet is only sent again after a second.
inline constexpr int kMaxProcessProbes = 3;

enum class ProbeAnswer
{
  Connected,
  /// No process listens at the address.
  Refused,
  /// Nothing is known about the process.
  Unanswered,
};

/// Opens a TCP connection, closes it at once, and reports the result: `Ok`,
/// `Unavailable` if no process listens at the address, or `DeadlineExceeded` if
/// nothing answered within the timeout, and `Unknown` otherwise.
void ProbeConnection(EventLoop& aLoop,
                     const Endpoint& aServer,
                     Duration aTimeout,
                     std::function<void(absl::Status)> aOnEnd);

/// Returns what the result of `ProbeConnection` tells of the process.
ProbeAnswer ToProbeAnswer(const absl::Status& aStatus);

/// Probes whether a process listens at an address: up to `kMaxProcessProbes`
/// times, until one is answered.
void ProbeProcess(EventLoop& aLoop,
                  const Endpoint& aServer,
                  std::function<void(ProbeAnswer)> aOnEnd);

} // namespace persimmontally

#endif
