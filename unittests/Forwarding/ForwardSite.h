#ifndef PERSIMMONTALLY_UNITTESTS_FORWARDING_FORWARDSITE_H
#define PERSIMMONTALLY_UNITTESTS_FORWARDING_FORWARDSITE_H

#include "persimmontally/Forwarding/ForwardGateway.h"
#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Support/Metrics.h"
#include "platform/PlatformProtocol.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmontally {

/// One entry host between a caller and servers whose answers a test writes, on
/// loopback in one process.
class ForwardSite
{
public:
  using Writer = std::shared_ptr<ResponseWriter>;
  using Handler = std::function<void(const HttpRequest&, const Writer&)>;

  struct Call
  {
    bool m_isDone = false;
    absl::Status m_status;
    HttpResponse m_response;
    std::shared_ptr<HttpCall> m_call;
  };

  /// `aCanBackUp` says whether engines keep copies while they run requests.
  explicit ForwardSite(bool aCanBackUp = true);

  /// Starts a server and announces it, as an engine or a plain service.
  void AddUpstream(const std::string& aId,
                   const std::string& aService,
                   Handler aHandler);
  /// Announces a server that does not listen.
  void AddDeadUpstream(const std::string& aId, const std::string& aService);
  void SetState(const std::string& aId, UpstreamState aState);
  Endpoint EndpointOf(const std::string& aId) const;

  std::shared_ptr<Call> Start(const std::string& aPath, HttpHeaders aHeaders);
  /// Runs the loop until a condition holds; fails the test after ten seconds.
  void RunUntil(const std::function<bool()>& aCondition);
  HttpResponse Finish(const std::string& aPath, HttpHeaders aHeaders = {});

  Metrics& Counters() { return m_metrics; }
  ForwardGateway& Gateway() { return *m_gateway; }
  EventLoop& Loop() { return m_loop; }

private:
  void Announce(const std::string& aId,
                const std::string& aService,
                const Endpoint& aEndpoint,
                UpstreamState aState);

  EventLoop m_loop;
  Metrics m_metrics;
  platform::PlatformProtocol m_protocol;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ForwardGateway> m_gateway;
  std::unique_ptr<HttpServer> m_callers;
  Endpoint m_callersAt;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::map<std::string, UpstreamRow> m_rows;
  Timer m_ticker;
  int m_nextRequest = 1;
};

/// Headers of a genuine answer to a request.
HttpHeaders Genuine(const HttpRequest& aRequest);
/// Event of a stream.
std::string Event(int aId);

} // namespace persimmontally

#endif
