#ifndef PERSIMMONTALLY_DAEMON_ENTRYHOST_H
#define PERSIMMONTALLY_DAEMON_ENTRYHOST_H

#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <memory>

namespace persimmontally {

class EventLoop;

/// An entry host for generations and service calls: owns the sockets, the
/// membership, the replicated state and the gateway, and runs them on the event
/// loop.
class EntryHost
{
public:
  EntryHost(EventLoop& aLoop, Settings aSettings);
  ~EntryHost();

  /// Opens the data folder and the sockets, and starts the periodic work.
  absl::Status Start();
  /// Begins a graceful shutdown: fails readiness, waits `shutdown_grace_ms` for
  /// the load balancer to react, waits for the open requests to end, and then
  /// stops the event loop.
  void BeginShutdown();
  /// The error that made the host stop by itself; OK if there was none.
  const absl::Status& Failure() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
