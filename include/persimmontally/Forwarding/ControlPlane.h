#ifndef PERSIMMONTALLY_FORWARDING_CONTROLPLANE_H
#define PERSIMMONTALLY_FORWARDING_CONTROLPLANE_H

#include "persimmontally/Catalog/RouteTable.h"
#include "persimmontally/Forwarding/WireProtocol.h"

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Net/OrderGate.h"
#include "persimmontally/Routing/ColdWords.h"

#include <map>
#include <memory>
#include <set>

namespace persimmontally {

class Membership;
class Metrics;
class StateService;

/// Returns the regions in the terms of a catalog that no data centre is in.
std::set<RegionId> RegionsWithoutDataCentre(
  const RouteTable& aRoutes,
  const std::map<DataCentreId, RegionId>& aRegions);

/// Fills in the fields of an announced upstream that the announcement lacks:
/// its kind, model and memory size from the catalog, and the region of its
/// data centre. Upstreams announce only their data centre; without the region,
/// placement would treat all upstreams as equally distant.
void FillUpstreamRow(const RouteTable* aRoutes,
                     const std::map<DataCentreId, RegionId>& aRegions,
                     UpstreamRow& aRow);

/// Serves the control interface: announcements of upstreams, reads and writes
/// of the operators' catalog, and orders of evacuations. A catalog write or an
/// order is acknowledged once a majority of voters has it on disk. A catalog
/// read is linearizable: a majority confirms that no newer version was accepted
/// before the read.
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
  /// Sets the catalog that determines which services run on engines, and the
  /// memory size of those engines.
  /// Applies a catalog. Logs the regions in its terms that no data centre is
  /// in.
  void SetRoutes(RouteTablePtr aRoutes);
  /// Records what an upstream has announced about its coldness to another host.
  void RecordColdWord(const ColdWord& aWord)
  {
    m_coldWords.Record(m_loop.Now(), aWord);
  }
  const ColdWords& Cold() const { return m_coldWords; }
  /// Returns the words that all hosts have to learn.
  std::vector<ColdWord> TakeColdWords()
  {
    return std::exchange(m_changedColdWords, {});
  }

private:
  using Writer = std::shared_ptr<ResponseWriter>;

  void LogUnknownRegions() const;

  void Answer(const Writer& aWriter, const AnnounceUpstream& aRequest);
  void Answer(const Writer& aWriter, const WithdrawUpstream& aRequest);
  void Answer(const Writer& aWriter, const StoreCatalog& aRequest);
  void Answer(const Writer& aWriter, const FetchCatalog& aRequest);
  void Answer(const Writer& aWriter, const OrderEvacuation& aRequest);
  void Withdraw(const Writer& aWriter, const WithdrawUpstream& aRequest);
  void Propose(const Writer& aWriter, const OrderEvacuation& aRequest);
  void Answer(const Writer& aWriter, const InvalidControlRequest& aRequest);
  void SendCatalog(const Writer& aWriter, uint64_t aVersion, Instant aUntil);
  void Refuse(ResponseWriter& aWriter, ErrorKind aKind, std::string aMessage);

  EventLoop& m_loop;
  Membership& m_membership;
  StateService& m_state;
  Metrics& m_metrics;
  const WireProtocol& m_protocol;
  std::map<DataCentreId, RegionId> m_regions;
  void RecordAnnouncedCold(const AnnounceUpstream& aRequest);

  RouteTablePtr m_routes;
  OrderGate m_gate;
  ColdWords m_coldWords;
  std::vector<ColdWord> m_changedColdWords;
  std::map<uint64_t, Timer> m_catchUpTimers;
  uint64_t m_nextTimerId = 1;
};

} // namespace persimmontally

#endif
