#ifndef PERSIMMONTALLY_LIB_DAEMON_ROUTEDHOSTIMPL_H
#define PERSIMMONTALLY_LIB_DAEMON_ROUTEDHOSTIMPL_H

#include "HostCore.h"

#include "persimmontally/Daemon/RoutedHost.h"
#include "persimmontally/Forwarding/ControlPlane.h"
#include "persimmontally/Forwarding/ForwardGateway.h"
#include "persimmontally/Net/CallerGuard.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Routing/LedgerScope.h"

#include <map>
#include <memory>

namespace persimmontally {

struct RoutedHost::Impl
{
  using Writer = std::shared_ptr<ResponseWriter>;

  Impl(EventLoop& aLoop, Settings aSettings, const WireProtocol& aProtocol);

  absl::Status Start();
  absl::Status StartEntry();
  absl::Status StartControl();
  absl::Status Listen(std::unique_ptr<HttpServer>& aServer,
                      const Endpoint& aListen,
                      const HttpLimits& aLimits,
                      std::shared_ptr<CallerGuard> aGuard,
                      HttpServer::Handler aHandler);
  void HandleMonitoring(const HttpRequest& aRequest, const Writer& aWriter);
  void UpdateCatalog();
  void ApplyCatalogUpdate(const CatalogUpdate& aUpdate);
  static void LogUnreadableCatalog(uint64_t aVersion,
                                   const absl::Status& aReason);
  void SetRoutes(RouteTablePtr aRoutes);
  void ReportEvacuations(const RouteTable* aBefore);
  void HandleReadiness(const Writer& aWriter);
  bool IsReady();
  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage);
  void OnColdUpdate(const HostId& aFrom, const ColdUpdate& aUpdate);
  void SendColdWords();
  void ScheduleGatewayTick();
  void UpdateLedgerPeers();
  void UpdateRateLimitHosts();
  void SendNextFullLedger();
  void OnHostChange(const HostChange& aChange);
  void BeginShutdown();
  void StopAccepting();
  bool HasOpenExchanges() const;
  void EndRequests();
  void ContinueShutdown();
  void EndHost();

  EventLoop& m_loop;
  const WireProtocol& m_protocol;
  HostCore m_core;
  /// Callers' and operators' connections, and those of probes.
  std::shared_ptr<CallerGuard> m_callerGuard;
  std::shared_ptr<CallerGuard> m_probeGuard;
  std::unique_ptr<ForwardGateway> m_gateway;
  std::unique_ptr<ControlPlane> m_control;
  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_readinessServer;
  std::unique_ptr<HttpServer> m_operatorServer;
  std::unique_ptr<HttpServer> m_metricsServer;
  uint64_t m_catalogVersion = 0;
  /// Log index up to which a control host has applied the replicated state.
  uint64_t m_appliedIndex = 0;
  RouteTablePtr m_routes;
  bool m_wasReady = false;
  bool m_isShuttingDown = false;
  LedgerScope m_ledgerScope;
  /// Version of the membership table that `m_ledgerPeers` is based on.
  uint64_t m_ledgerPeersVersion = 0;
  /// Peer endpoints of the other entry hosts in the ledger scope that are alive
  /// or suspect.
  std::map<HostId, Endpoint> m_ledgerPeers;
  /// When the hosts that divide rate limits are next counted.
  Instant m_nextRateLimitHostsAt;
  /// When the full ledger is next sent to a peer.
  Instant m_nextFullLedgerAt;
  /// Peer that received the last full ledger.
  HostId m_lastFullLedgerTo;
  Timer m_gatewayTimer;
  Timer m_shutdownTimer;
  /// Ends the open requests, and then the host, before the process is killed.
  Timer m_endTimer;
};

} // namespace persimmontally

#endif
