#ifndef PERSIMMONTALLY_DAEMON_ROUTEDHOST_H
#define PERSIMMONTALLY_DAEMON_ROUTEDHOST_H

#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <memory>

namespace persimmontally {

class EventLoop;
class WireProtocol;

/// One host of routed traffic. By its listeners it takes callers (entry host),
/// upstreams and operators (control host), or both.
class RoutedHost
{
public:
  RoutedHost(EventLoop& aLoop,
             Settings aSettings,
             const WireProtocol& aProtocol);
  ~RoutedHost();

  /// Opens the data folder and the sockets.
  absl::Status Start();
  /// Applies the settings that may change while the host runs.
  void Reload(const Settings& aSettings);
  /// Fails readiness, waits for the balancer, ends the open requests, then
  /// stops the loop.
  void BeginShutdown();
  /// Set when the host had to stop by itself.
  const absl::Status& Failure() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
