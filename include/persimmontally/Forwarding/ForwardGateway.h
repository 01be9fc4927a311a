#ifndef PERSIMMONTALLY_FORWARDING_FORWARDGATEWAY_H
#define PERSIMMONTALLY_FORWARDING_FORWARDGATEWAY_H

#include "persimmontally/Catalog/RouteTable.h"
#include "persimmontally/Forwarding/WireProtocol.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Routing/LedgerDispatch.h"
#include "persimmontally/Routing/RetryBudget.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace persimmontally {

class EventLoop;
class ForwardFlow;
class Membership;
class Metrics;
class MoveTurns;

struct ForwardOptions
{
  HostId m_host;
  DispatchOptions m_dispatch;
  /// Time for a connection to an upstream: several round trips between
  /// regions (24 ms), and far below the objective of urgent work (1.5 s).
  Duration m_connectTimeout = milliseconds(400);
  /// Longest wait for a placement, as a part of the latency objective and of
  /// the caller's patience: beyond it callers have mostly given up (they leave
  /// at four times the objective) or an answer is worth little.
  double m_mostWaitOfObjective = 2.5;
  double m_mostWaitOfPatience = 0.6;
  /// Upstreams that are tried when connections fail before a byte is sent.
  int m_maxConnects = 4;
  /// Bytes that may wait for a caller before its upstream is held back.
  size_t m_streamBufferBytes = 64 * 1024;
  /// Largest answer that is held until it is complete.
  size_t m_maxAnswerBytes = size_t(16) << 20;
  /// Tokens of one event of a stream.
  uint32_t m_tokensPerEvent = 4;
};

/// Takes callers' requests on the routes of the catalog and carries each to
/// its end. The decisions are made by the systems it holds.
class ForwardGateway
{
public:
  ForwardGateway(EventLoop& aLoop,
                 Membership& aMembership,
                 Metrics& aMetrics,
                 const WireProtocol& aProtocol,
                 ForwardOptions aOptions,
                 uint64_t aSeed);
  ~ForwardGateway();

  void Handle(HttpRequest aRequest, std::shared_ptr<ResponseWriter> aWriter);
  /// Runs the decision systems. Called each turn and when something ends.
  void Tick();
  /// Puts a catalog in force for the requests that come from now on, and for
  /// those that waited for the first one.
  void SetRoutes(RouteTablePtr aRoutes);
  const RouteTablePtr& Routes() const { return m_routes; }
  /// Refuses new work, after the balancer has had time.
  void StopTakingWork() { m_takesWork = false; }
  size_t OpenRequests() const { return m_flows.size() + m_early.size(); }
  void ReceiveLedger(const HostId& aFrom, const LedgerUpdate& aUpdate);
  void ForgetHost(const HostId& aHost);
  /// Sets what sends a change of the ledger to the other entry hosts.
  void OnLedger(std::function<void(const LedgerUpdate&)> aAction)
  {
    m_onLedger = std::move(aAction);
  }

  // Used by the flows of single requests.
  EventLoop& Loop() { return m_loop; }
  Membership& Members() { return m_membership; }
  Metrics& Counters() { return m_metrics; }
  const WireProtocol& Protocol() const { return m_protocol; }
  const ForwardOptions& Options() const { return m_options; }
  LedgerDispatch& Placement() { return m_placement; }
  const LedgerDispatch& Placement() const { return m_placement; }
  HttpConnectionPool& Connections() { return m_connections; }
  RetryBudget& RetriesOf(const std::string& aService);
  /// Answers with a refusal, writes its log line and counts it.
  void Refuse(ResponseWriter& aWriter,
              const Refusal& aRefusal,
              const std::string& aRequestId);
  void EndFlow(const RequestId& aId);
  void Kick();

private:
  using Writer = std::shared_ptr<ResponseWriter>;

  /// A request that came before this host knew a catalog.
  struct EarlyRequest
  {
    RoutedRequest m_request;
    Writer m_writer;
    Instant m_arrivedAt;
  };

  void Route(RoutedRequest aRequest, Writer aWriter);
  void RefuseEarlyRequests();
  void ApplyActions(const std::vector<DispatchAction>& aActions);
  void RunPlacement();
  void SendLedger();
  void StartDueMoves();

  EventLoop& m_loop;
  Membership& m_membership;
  Metrics& m_metrics;
  const WireProtocol& m_protocol;
  ForwardOptions m_options;
  LedgerDispatch m_placement;
  HttpConnectionPool m_connections;
  std::mt19937_64 m_random;
  RouteTablePtr m_routes;
  std::vector<EarlyRequest> m_early;
  std::map<std::string, RetryBudget> m_retries;
  std::map<RequestId, std::shared_ptr<ForwardFlow>> m_flows;
  std::unique_ptr<MoveTurns> m_moveTurns;
  std::string m_idPrefix;
  uint64_t m_nextId = 1;
  bool m_takesWork = true;
  bool m_isKicked = false;
  std::function<void(const LedgerUpdate&)> m_onLedger;
};

} // namespace persimmontally

#endif
