#ifndef PERSIMMONTALLY_LIB_FORWARDING_ABANDONEDRUNS_H
#define PERSIMMONTALLY_LIB_FORWARDING_ABANDONEDRUNS_H

#include "persimmontally/Net/ConnectProbe.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpMessage.h"
#include "persimmontally/Support/Settings.h"

#include <map>
#include <memory>
#include <string>

namespace persimmontally {

class ForwardGateway;

/// A run at an upstream that could not be reached when its request went on
/// elsewhere.
struct AbandonedRun
{
  std::string m_requestId;
  Endpoint m_upstream;
  /// Engine that the call which stops the run names as its target.
  Endpoint m_target;
  /// When the upstream ends the run by itself.
  Instant m_until{};
};

/// Returns how long a probe of an upstream with abandoned runs may take, and
/// the time to the next one. The upstream may be reached again at any moment;
/// it then works on the same request as another one until it is told to stop.
Duration AbandonedProbeTimeout(Duration aSinceAbandoned);
Duration AbandonedProbePeriod(Duration aSinceAbandoned);

/// Stops abandoned runs as soon as their upstreams can be reached again.
///
/// Load pattern: an engine is cut off for seconds with a few streams of every
/// host, and works on.
class AbandonedRuns
{
public:
  explicit AbandonedRuns(ForwardGateway& aGateway);

  void Add(AbandonedRun aRun);

private:
  struct Run
  {
    AbandonedRun m_run;
    Instant m_abandonedAt{};
    bool m_isCalling = false;
  };
  /// The runs at one upstream, by the ids of their requests.
  struct Upstream
  {
    std::map<std::string, Run> m_runs;
    Instant m_lastAddedAt{};
    Timer m_probeTimer;
  };

  void Probe(const Endpoint& aUpstream);
  void OnProbed(const Endpoint& aUpstream, ProbeAnswer aAnswer);
  void Stop(Run& aRun);
  void OnStopAnswered(const AbandonedRun& aRun,
                      const absl::Status& aStatus,
                      const HttpResponse& aResponse);

  ForwardGateway& m_gateway;
  std::map<Endpoint, Upstream> m_upstreams;
  size_t m_runs = 0;
  /// Ends the callbacks of probes and calls when this object is destroyed.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace persimmontally

#endif
