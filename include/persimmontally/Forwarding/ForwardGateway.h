#ifndef PERSIMMONTALLY_FORWARDING_FORWARDGATEWAY_H
#define PERSIMMONTALLY_FORWARDING_FORWARDGATEWAY_H

#include "persimmontally/Catalog/RouteTable.h"
#include "persimmontally/Forwarding/WireProtocol.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Routing/ColdUpstreams.h"
#include "persimmontally/Routing/LedgerDispatch.h"
#include "persimmontally/Routing/RateLimits.h"
#include "persimmontally/Routing/RetryBudget.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>

namespace persimmontally {

class AbandonedRuns;
class CrashWatch;
class EventLoop;
class ForwardFlow;
struct ForwardTarget;
class Membership;
class Metrics;
class MigrationSchedule;
class SilenceWatch;

struct ForwardOptions
{
  HostId m_host;
  DispatchOptions m_dispatch;
  /// Timeout for connecting to an upstream: several round trips between regions
  /// (24 ms), and far below the latency objective of urgent work (1.5 s).
  Duration m_connectTimeout = milliseconds(400);
  /// Longest wait for a placement, as a multiple of the latency objective and
  /// as a fraction of the caller's timeout; the shorter one applies. Beyond
  /// it, most callers have given up (they do at four times the objective) or
  /// the response is of little value.
  double m_maxWaitObjectiveFactor = 2.5;
  double m_maxWaitTimeoutFraction = 0.6;
  /// Maximum number of upstreams tried for one request, including those whose
  /// connections fail before a byte is sent.
  int m_maxUpstreamsTried = 4;
  /// Bytes buffered for a slow caller before reading from its upstream pauses.
  size_t m_streamBufferBytes = 64 * 1024;
  /// Maximum size of a response that is buffered until it is complete.
  size_t m_maxResponseBytes = size_t(16) << 20;
  /// The same for all responses together.
  size_t m_maxBufferedBytes = size_t(32) << 20;
  /// Tokens per event of a stream.
  uint32_t m_tokensPerEvent = 4;
};

/// Retry delay suggested to callers whose request is refused because this host
/// is shutting down: other hosts take it at once.
constexpr Duration kRetryAfterShutdown = milliseconds(10);

/// Accepts callers' requests on the routes of the catalog and forwards each to
/// an upstream until its response ends. Placement, retry budgets and the
/// schedule of migrations are decided by the member objects.
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
  /// Runs placement, due migrations and timeouts. Called periodically.
  void Tick();
  /// Applies a catalog to requests that arrive from now on, to those that wait
  /// for the first catalog or for a placement, and to the next send, retry or
  /// copy of the others. Its evacuations apply to
  /// all requests.
  void SetRoutes(RouteTablePtr aRoutes);
  const RouteTablePtr& Routes() const { return m_routes; }
  /// From now on refuses requests, also queued ones, that are expected to end
  /// after `aLimit`, so that their callers go to other hosts.
  void BeginShutdown(Instant aLimit) { m_endsBy = aLimit; }
  /// Ends all open requests. Called shortly before the process is killed.
  void EndRequests();
  /// Refuses new requests from now on. Called during shutdown, after the load
  /// balancer has had time to stop sending requests to this host.
  void StopAcceptingRequests() { m_acceptsRequests = false; }
  const RateLimits& Limits() const { return m_rateLimits; }
  const ColdUpstreams& Cold() const { return m_cold; }
  /// Sets all known hosts but this one, which agree on the requests to cold
  /// upstreams.
  void SetColdPeers(std::vector<ColdPeer> aPeers);
  void ReceiveCold(const HostId& aFrom, const ColdUpdate& aUpdate);
  /// Sets the function that sends updates about cold upstreams to peer hosts.
  void OnCold(std::function<void(const ColdSend&)> aAction)
  {
    m_onCold = std::move(aAction);
  }
  /// Bytes of responses that are kept until they are complete.
  size_t BufferedBytes() const { return m_bufferedBytes; }
  /// Counts such bytes. If there are too many, fails the request whose response
  /// is the largest.
  void AddBufferedBytes(size_t aCount);
  void RemoveBufferedBytes(size_t aCount) { m_bufferedBytes -= aCount; }
  size_t OpenRequests() const
  {
    return m_flows.size() + m_earlyRequests.size();
  }
  /// Sets the number of live entry hosts, which share the limits on retries.
  void SetEntryHosts(size_t aCount);
  void ReceiveLedger(const HostId& aFrom, const LedgerUpdate& aUpdate);
  void ForgetHost(const HostId& aHost);
  /// Adopts the paces of engines that a peer has measured.
  void ReceivePaces(const PaceUpdate& aUpdate);
  void ReceiveRateLimits(const HostId& aFrom, const RateLimitUpdate& aUpdate);
  /// Sets the entry hosts in reach and the number of all known ones, which
  /// divide the rate limits of upstreams.
  void SetRateLimitHosts(std::set<HostId> aReachable, size_t aKnown);
  /// Sets the function that sends updates of rate limits to peer hosts.
  void OnRateLimits(std::function<void(const RateLimitSend&)> aAction)
  {
    m_onRateLimits = std::move(aAction);
  }
  /// Sets the function that sends the paces of engines to the peer hosts.
  void OnPaces(std::function<void(const PaceUpdate&)> aAction)
  {
    m_onPaces = std::move(aAction);
  }
  /// Sets the function that sends ledger updates to the peer hosts.
  void OnLedger(std::function<void(const LedgerUpdate&)> aAction)
  {
    m_onLedger = std::move(aAction);
  }

  /// Sets the action that sends queued membership messages to the peers.
  void OnMembershipSends(std::function<void()> aAction);

  /// Returns whether requests are queued, generations may have to migrate or
  /// changes of the ledger are to be sent, which are handled by `Tick`.
  bool IsBusy() const;
  /// Sets the action that runs when the gateway becomes busy.
  void OnBusy(std::function<void()> aAction) { m_onBusy = std::move(aAction); }

  // Used by `ForwardFlow`.
  EventLoop& Loop() { return m_loop; }
  Membership& Members() { return m_membership; }
  Metrics& Counters() { return m_metrics; }
  size_t EntryHosts() const { return m_entryHosts; }
  const WireProtocol& Protocol() const { return m_protocol; }
  const ForwardOptions& Options() const { return m_options; }
  LedgerDispatch& Placement() { return m_placement; }
  const LedgerDispatch& Placement() const { return m_placement; }
  CrashWatch& Crashes() { return *m_crashWatch; }
  AbandonedRuns& Abandoned() { return *m_abandonedRuns; }
  HttpConnectionPool& Connections() { return m_connections; }
  RetryBudget& RetryBudgetOf(const std::string& aService);
  /// Sends a refusal to the caller, logs it and counts it.
  void Refuse(ResponseWriter& aWriter,
              const Refusal& aRefusal,
              const std::string& aRequestId);
  /// Records what the response of an upstream says about its rate limit.
  void RecordRateLimit(const UpstreamId& aUpstream,
                       uint64_t aIncarnation,
                       const ResponseHead& aHead);
  /// Sends an upstream nothing for as long as it has asked this host to.
  void HoldBack(const UpstreamId& aUpstream,
                uint64_t aIncarnation,
                Duration aTime);
  /// Returns the retry delay suggested to the caller of a request that an
  /// upstream has rejected for `aTime`, at least `aLeast`, so that callers do
  /// not return together.
  Duration RetryDelayAfter(Duration aTime, Duration aLeast);
  /// Records that an upstream has stated in a response that it is leaving, and
  /// notifies the other hosts.
  void RecordLeaving(const UpstreamId& aUpstream, uint64_t aIncarnation);
  /// Records that a response of an upstream has begun.
  void RecordHeard(const UpstreamId& aUpstream);
  /// Uses up a permit for a request that is sent without a placement.
  void UsePermit(const UpstreamId& aUpstream);
  /// Whether the data centre of an upstream is evacuated.
  bool IsEvacuated(const UpstreamId& aUpstream) const;
  void ReleaseFlow(const RequestId& aId);
  void SchedulePlacement();
  /// Resolves a request by the newest catalog. Keeps `aService` if the route
  /// still leads to it, else draws a service. Returns the refusal if the
  /// catalog does not allow the request.
  std::variant<ForwardTarget, Refusal> Resolve(const RoutedRequest& aRequest,
                                               const std::string& aService);

private:
  using Writer = std::shared_ptr<ResponseWriter>;

  /// A request that arrived before this host had a catalog.
  struct EarlyRequest
  {
    RoutedRequest m_request;
    Writer m_writer;
    Instant m_arrivedAt;
  };

  void Route(RoutedRequest aRequest, Writer aWriter);
  /// Logs and counts a request without an upstream in its residency.
  void RecordNoHome(const ForwardFlow& aFlow, NoHome aReason);
  void ApplyEvacuations();
  void RefuseEarlyRequests();
  /// Returns the flows of all open requests, some of which the caller may end.
  std::vector<std::shared_ptr<ForwardFlow>> OpenFlows() const;
  void ApplyActions(const std::vector<DispatchAction>& aActions);
  void RunPlacement();
  void SendLedger();
  void SendRateLimits();
  void SendPaces();
  void UpdateCold();
  void SendCold();
  /// Calls the action of `OnBusy` if the gateway has become busy.
  void NotifyIfBusy();
  void StartDueMigrations();
  /// Probes the upstreams whose streams have fallen silent.
  void ReviewSilence();
  /// Address at which the open streams of an upstream run.
  Endpoint EndpointOfStreamsAt(const UpstreamId& aUpstream) const;
  void OnSilenceProbed(const UpstreamId& aUpstream,
                       const absl::Status& aStatus);
  /// Ends requests that have been quarantined since they arrived.
  void EndQuarantinedRequests();

  EventLoop& m_loop;
  Membership& m_membership;
  Metrics& m_metrics;
  const WireProtocol& m_protocol;
  ForwardOptions m_options;
  RateLimits m_rateLimits;
  ColdUpstreams m_cold;
  /// Versions of the upstreams and the catalog that `m_cold` is based on.
  std::pair<uint64_t, uint64_t> m_coldVersion;
  size_t m_coldCount = 0;
  uint64_t m_coldDetours = 0;
  LedgerDispatch m_placement;
  HttpConnectionPool m_connections;
  std::mt19937_64 m_random;
  RouteTablePtr m_routes;
  std::vector<EarlyRequest> m_earlyRequests;
  std::map<std::string, RetryBudget> m_retryBudgets;
  size_t m_entryHosts = 1;
  std::map<RequestId, std::shared_ptr<ForwardFlow>> m_flows;
  std::unique_ptr<MigrationSchedule> m_migrationSchedule;
  std::unique_ptr<CrashWatch> m_crashWatch;
  std::unique_ptr<SilenceWatch> m_silence;
  std::unique_ptr<AbandonedRuns> m_abandonedRuns;
  Instant m_nextSilenceReviewAt{};
  /// Ends the callbacks of probes when this object is destroyed.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
  /// Version of the upstream table that the schedule is based on.
  uint64_t m_scheduledUpstreams = 0;
  /// Version of the poison rows that all open requests were compared with.
  uint64_t m_checkedPoison = 0;
  std::string m_idPrefix;
  uint64_t m_nextId = 1;
  size_t m_bufferedBytes = 0;
  bool m_acceptsRequests = true;
  /// When the host ends, once that is known.
  std::optional<Instant> m_endsBy;
  bool m_isKicked = false;
  bool m_wasBusy = false;
  bool m_hasFlowsOnLeavingUpstreams = false;
  std::function<void()> m_onBusy;
  std::function<void(const LedgerUpdate&)> m_onLedger;
  std::function<void(const RateLimitSend&)> m_onRateLimits;
  std::function<void(const PaceUpdate&)> m_onPaces;
  std::function<void(const ColdSend&)> m_onCold;
  std::function<void()> m_onMembershipSends;
};

} // namespace persimmontally

#endif
