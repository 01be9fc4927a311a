#ifndef PERSIMMONTALLY_LIB_FORWARDING_CRASHWATCH_H
#define PERSIMMONTALLY_LIB_FORWARDING_CRASHWATCH_H

#include "persimmontally/Routing/CrashEvidence.h"
#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Settings.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmontally {

class EventLoop;
class Membership;
class Metrics;

/// Finds out whether upstreams that broke off responses have died, and what
/// they were running then.
class CrashWatch
{
public:
  CrashWatch(EventLoop& aLoop, Membership& aMembership, Metrics& aMetrics);

  /// Called when an upstream breaks off a request before it is known to be
  /// sound. Probes the upstream; if no process listens there any more, the
  /// requests that it broke off until then are the suspects of its death.
  void OnBrokenOff(const UpstreamId& aUpstream,
                   const Endpoint& aEndpoint,
                   const std::string& aRequestId,
                   CrashSuspect aSuspect);

private:
  struct Check
  {
    std::vector<std::string> m_requestIds;
    std::vector<CrashSuspect> m_suspects;
  };

  void OnProbed(const UpstreamId& aUpstream,
                const std::string& aDeath,
                bool aIsDead);

  EventLoop& m_loop;
  Membership& m_membership;
  Metrics& m_metrics;
  /// Running probes, by `upstream/incarnation`.
  std::map<std::string, Check> m_checks;
  /// Ends the callbacks of probes when this object is destroyed.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace persimmontally

#endif
