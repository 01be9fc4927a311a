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
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// An entry host between a caller and upstreams whose responses are scripted by
/// the test, all in one process on the loopback interface.
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

  /// `aCanBackUp` sets whether the engines support backups.
  explicit ForwardSite(bool aCanBackUp = true);

  /// Starts an upstream and announces it, as an engine or a plain service.
  void AddUpstream(const std::string& aId,
                   const std::string& aService,
                   Handler aHandler);
  /// Sets the region of an upstream that is added afterwards.
  void SetRegion(const std::string& aId, const std::string& aRegion);
  /// Puts a new version of the catalog into force.
  void EditCatalog(const std::function<void(Catalog&)>& aEdit);
  /// Announces an upstream that the test runs at an address.
  void AddUpstreamAt(const std::string& aId,
                     const std::string& aService,
                     const Endpoint& aEndpoint);
  /// Announces an upstream whose port refuses connections.
  void AddDeadUpstream(const std::string& aId, const std::string& aService);
  /// Ends an upstream and its connections, so that its port refuses new ones.
  void Kill(const std::string& aId);
  void SetState(const std::string& aId, UpstreamState aState);
  /// Announces a new incarnation of an upstream at the same address.
  void Restart(const std::string& aId);
  /// Announces an upstream in another data centre than `dc`.
  void SetDataCentre(const std::string& aId, const std::string& aDataCentre);
  /// Puts the catalog in force with evacuations of data centres.
  void Evacuate(const std::vector<std::string>& aDataCentres);
  Endpoint EndpointOf(const std::string& aId) const;

  std::shared_ptr<Call> Start(const std::string& aPath, HttpHeaders aHeaders);
  /// Runs the event loop until a condition holds. Fails the test after ten
  /// seconds.
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

  std::set<DataCentreId> m_evacuated;
  EventLoop m_loop;
  Metrics m_metrics;
  Catalog m_catalog;
  platform::PlatformProtocol m_protocol;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ForwardGateway> m_gateway;
  std::unique_ptr<HttpServer> m_callers;
  Endpoint m_callersAt;
  std::map<std::string, std::unique_ptr<HttpServer>> m_servers;
  std::map<std::string, UpstreamRow> m_rows;
  Timer m_ticker;
  int m_nextRequest = 1;
};

/// Returns the headers of a genuine response to a request.
HttpHeaders Genuine(const HttpRequest& aRequest);
/// Returns a server-sent event with the given id.
std::string Event(int aId);

} // namespace persimmontally

#endif
