#ifndef PERSIMMONTALLY_LIB_FORWARDING_CRASHWATCH_H
#define PERSIMMONTALLY_LIB_FORWARDING_CRASHWATCH_H

#include "persimmontally/Net/ConnectProbe.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Routing/CrashEvidence.h"
#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace persimmontally {

class Membership;
class Metrics;

/// Finds out whether upstreams that broke off responses have died and what they
/// were running then, and quarantines the requests that crash upstreams.
class CrashWatch
{
public:
  CrashWatch(EventLoop& aLoop,
             Membership& aMembership,
             Metrics& aMetrics,
             uint64_t aSeed);

  /// Sets the action that sends queued reports to the peers.
  void OnReport(std::function<void()> aAction)
  {
    m_onReport = std::move(aAction);
  }

  /// Called when an upstream breaks off a request. Probes the upstream; if no
  /// process listens there any more, the requests that it broke off until then
  /// are the suspects of its death. `aOnProbed` is called with the answer.
  void OnBrokenOff(const UpstreamId& aUpstream,
                   const Endpoint& aEndpoint,
                   const std::string& aRequestId,
                   CrashSuspect aSuspect,
                   std::function<void(ProbeAnswer)> aOnProbed);
  /// Called once for each request that is complete.
  void OnSound(const CrashKeys& aKeys);
  /// Called once for each request whose parts are known to be sound.
  void OnSoundParts(const std::vector<uint64_t>& aParts);

  /// Vouches for suspected parts that this host has seen in sound requests.
  /// Called when poison rows have changed. One of `aHosts` hosts is enough, so
  /// each waits for a random time.
  void VouchForSoundParts(size_t aHosts);

  bool IsQuarantined(const CrashKeys& aKeys) const;
  /// Whether an upstream has died under the same request before.
  bool IsSuspect(const CrashKeys& aKeys) const;
  /// Logs why a request is refused. Returns how long it will be quarantined at
  /// least.
  Duration OnRefused(const CrashKeys& aKeys,
                     const std::string& aRequestId) const;
  /// Returns whether a quarantined request is let through as a trial. The other
  /// hosts, of `aHosts` in all, are then notified.
  bool StartTrial(const CrashKeys& aKeys,
                  const std::string& aRequestId,
                  size_t aHosts);
  /// Whether a request that its upstream has broken off can be resumed at
  /// another one without the risk that it crashes that too.
  bool MayResume(const CrashKeys& aKeys) const;

private:
  struct Check
  {
    std::vector<std::string> m_requestIds;
    std::vector<CrashSuspect> m_suspects;
    std::vector<std::function<void(ProbeAnswer)>> m_onProbed;
  };

  PoisonView View() const;
  void Report(const std::vector<PoisonRow>& aRows, const char* aEvent);
  void Vouch();
  void OnProbed(const UpstreamId& aUpstream,
                const std::string& aDeath,
                ProbeAnswer aAnswer);
  void RecordDeath(const UpstreamId& aUpstream,
                   const std::string& aDeath,
                   const Check& aCheck);

  EventLoop& m_loop;
  Membership& m_membership;
  Metrics& m_metrics;
  std::mt19937_64 m_random;
  CrashEvidence m_evidence;
  std::function<void()> m_onReport;
  /// Runs `Vouch` after the wait.
  Timer m_vouchTimer;
  /// Running probes, by `upstream/incarnation`.
  std::map<std::string, Check> m_checks;
  bool m_isVouchScheduled = false;
  /// Ends the callbacks of probes when this object is destroyed.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace persimmontally

#endif
