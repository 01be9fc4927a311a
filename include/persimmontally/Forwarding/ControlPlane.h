#ifndef PERSIMMONTALLY_FORWARDING_CONTROLPLANE_H
#define PERSIMMONTALLY_FORWARDING_CONTROLPLANE_H

#include "persimmontally/Catalog/RouteTable.h"
#include "persimmontally/Forwarding/WireProtocol.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpServer.h"

#include <map>
#include <memory>

namespace persimmontally {

class Membership;
class Metrics;
class StateService;

/// Adds to an upstream's announcement what the catalog knows of its service,
/// and the region of its data centre: upstreams name their data centre only,
/// and without the region all of them look equally far.
void CompleteUpstream(const RouteTable* aRoutes,
                      const std::map<DataCentreId, RegionId>& aRegions,
                      UpstreamRow& aRow);

/// Takes the announcements of upstreams and the operators' catalog. A change
/// is acknowledged once a majority has it on disk; a read is answered once a
/// majority has confirmed that nothing newer was accepted before it.
class ControlPlane
{
public:
  ControlPlane(EventLoop& aLoop,
               Membership& aMembership,
               StateService& aState,
               Metrics& aMetrics,
               const WireProtocol& aProtocol,
               std::map<DataCentreId, RegionId> aRegions);

  void Handle(const HttpRequest& aRequest,
              const std::shared_ptr<ResponseWriter>& aWriter);
  /// The catalog tells which services have engines, and of what size.
  void SetRoutes(RouteTablePtr aRoutes) { m_routes = std::move(aRoutes); }

private:
  using Writer = std::shared_ptr<ResponseWriter>;

  void Answer(const Writer& aWriter, const AnnounceUpstream& aRequest);
  void Answer(const Writer& aWriter, const WithdrawUpstream& aRequest);
  void Answer(const Writer& aWriter, const StoreCatalog& aRequest);
  void Answer(const Writer& aWriter, const FetchCatalog& aRequest);
  void Answer(const Writer& aWriter, const InvalidControlRequest& aRequest);
  void SendCatalog(const Writer& aWriter, uint64_t aVersion, Instant aUntil);
  void Refuse(ResponseWriter& aWriter, ErrorKind aKind, std::string aMessage);

  EventLoop& m_loop;
  Membership& m_membership;
  StateService& m_state;
  Metrics& m_metrics;
  const WireProtocol& m_protocol;
  std::map<DataCentreId, RegionId> m_regions;
  RouteTablePtr m_routes;
  std::map<uint64_t, Timer> m_waits;
  uint64_t m_nextWait = 1;
};

} // namespace persimmontally

#endif
