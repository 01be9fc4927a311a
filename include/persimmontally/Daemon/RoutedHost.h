#ifndef PERSIMMONTALLY_DAEMON_ROUTEDHOST_H
#define PERSIMMONTALLY_DAEMON_ROUTEDHOST_H

#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <memory>

namespace persimmontally {

class EventLoop;
class WireProtocol;

/// A host for traffic that is routed by the catalog. The configured listeners
/// decide its role: an entry host serves callers, a control host serves
/// upstreams and operators, and one host may do both.
class RoutedHost
{
public:
  RoutedHost(EventLoop& aLoop,
             Settings aSettings,
             const WireProtocol& aProtocol);
  ~RoutedHost();

  /// Opens the data folder and the sockets, and starts the periodic work.
  absl::Status Start();
  /// Applies those of the settings that may change at run time.
  void Reload(const Settings& aSettings);
  /// Begins a graceful shutdown and then stops the event loop. An entry host
  /// first fails readiness, waits `shutdown_grace_ms` for the load balancer to
  /// react, and waits for its open requests to end. Requests that cannot end
  /// within `shutdown_limit_s` are refused, also those that wait.
  void BeginShutdown();
  /// The error that made the host stop by itself; OK if there was none.
  const absl::Status& Failure() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
