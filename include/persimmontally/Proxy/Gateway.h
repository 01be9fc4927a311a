#ifndef PERSIMMONTALLY_PROXY_GATEWAY_H
#define PERSIMMONTALLY_PROXY_GATEWAY_H

#include "persimmontally/Admission/AccountLimits.h"
#include "persimmontally/Admission/ShareLedger.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Net/OrderGate.h"
#include "persimmontally/Proxy/DecisionLog.h"
#include "persimmontally/Proxy/PlanDirectory.h"
#include "persimmontally/Routing/RetryBudget.h"
#include "persimmontally/Routing/SharedDispatch.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace persimmontally {

class CompletionFlow;
class EventLoop;
class Membership;
class Metrics;
class ServiceFlow;
class StateService;

struct GatewayOptions
{
  HostId m_host;
  std::string m_adminKey;
  std::string m_upstreamKey;
  DispatchOptions m_dispatch;
  /// Longest wait for a placement, by rank: the target for the time to first
  /// token less the time that the engine itself needs.
  Duration m_urgentPlacementTimeout = milliseconds(500);
  Duration m_routinePlacementTimeout = seconds(60);
  Duration m_connectTimeout = milliseconds(500);
  /// Longest silence of an upstream before the first token, and between tokens.
  Duration m_firstTokenTimeout = seconds(20);
  Duration m_tokenTimeout = seconds(5);
  Duration m_serviceTimeout = seconds(30);
  /// How long a repeated non-repeatable call waits for the attempt that holds
  /// the claim.
  Duration m_duplicateOrderTimeout = seconds(30);
  int m_maxAttempts = 3;
  /// Data centres of the settings. If there are none, operators may name those
  /// of the hosts and upstreams in the local view.
  std::map<DataCentreId, RegionId> m_regions;
  /// Bytes buffered for a caller above which reading from its upstream pauses.
  size_t m_streamBufferBytes = 64 * 1024;
};

/// Handles the HTTP requests of callers, upstreams and operators on an entry
/// host. Owns the components that decide on admission, placement and retries,
/// and one flow for each open request.
class Gateway
{
public:
  Gateway(EventLoop& aLoop,
          Membership& aMembership,
          StateService& aState,
          Metrics& aMetrics,
          GatewayOptions aOptions,
          uint64_t aSeed);
  ~Gateway();

  void Handle(HttpRequest aRequest, std::shared_ptr<ResponseWriter> aWriter);
  /// Updates plans, hosts and upstreams, runs placement, and requests share
  /// from peers. Called periodically.
  void Tick();
  /// Fails the readiness check, so that the load balancer stops sending
  /// requests.
  void BeginShutdown() { m_isShuttingDown = true; }
  /// Refuses new requests from now on. Called after the load balancer has had
  /// time to see the failed readiness check.
  void StopAcceptingRequests() { m_acceptsRequests = false; }
  /// Ends all open requests. Called shortly before the process is killed.
  void EndRequests();
  bool IsShuttingDown() const { return m_isShuttingDown; }
  size_t OpenRequests() const { return m_flows.size(); }
  void ReceiveShare(const HostId& aFrom, const ShareMessage& aMessage);
  void ReceiveDispatch(const HostId& aFrom, const DispatchBatch& aBatch);
  std::vector<std::pair<HostId, DispatchBatch>> TakeDispatchSends()
  {
    return m_placement.TakeSends();
  }
  /// Sets the callback that runs when this object or the membership may have
  /// messages to send.
  void OnDispatchSends(std::function<void()> aAction)
  {
    m_onDispatchSends = std::move(aAction);
  }

  // Used by the flows of single requests.
  EventLoop& Loop() { return m_loop; }
  Membership& Members() { return m_membership; }
  StateService& State() { return m_state; }
  Metrics& Counters() { return m_metrics; }
  SharedDispatch& Placement() { return m_placement; }
  AccountLimits& Limits() { return m_limits; }
  RetryBudget& Retries() { return m_retries; }
  DecisionLog& Decisions() { return m_decisions; }
  const PlanDirectory& Plans() const { return m_plans; }
  const GatewayOptions& Options() const { return m_options; }
  double ShareOf(const AccountId& aAccount) const;
  /// Sends a refusal, logs it and counts it.
  void Refuse(ResponseWriter& aWriter,
              const Refusal& aRefusal,
              const std::string& aCallerId,
              const RequestId& aId);
  /// Releases what a request holds: its place in the queue or its slot, and its
  /// part of the account's concurrency limit. Removes its flow.
  void ReleaseFlow(const RequestId& aId,
                   const AccountId& aAccount,
                   DispatchOutcome aOutcome);
  /// Runs placement in the next event loop iteration, once for any number of
  /// calls until then.
  void SchedulePlacement();
  /// Probes whether an upstream has died after a failed attempt. Calls that
  /// arrive during a probe share its result. If the upstream has died, each
  /// non-zero fingerprint is reported as a suspect.
  void CheckUpstream(const UpstreamId& aId,
                     uint64_t aIncarnation,
                     uint64_t aFingerprint,
                     std::function<void(bool aIsDead)> aCallback);
  /// Clears the suspicion against a request that has completed.
  void ClearSuspicion(uint64_t aFingerprint);

private:
  using Flow =
    std::variant<std::shared_ptr<CompletionFlow>, std::shared_ptr<ServiceFlow>>;
  using Writer = std::shared_ptr<ResponseWriter>;
  struct DeathCheck
  {
    std::set<uint64_t> m_fingerprints;
    std::vector<std::function<void(bool)>> m_callbacks;
  };

  void HandleCompletion(const HttpRequest& aRequest, const Writer& aWriter);
  void HandleService(const HttpRequest& aRequest, const Writer& aWriter);
  void HandleUpstream(const HttpRequest& aRequest, const Writer& aWriter);
  void HandleAdmin(const HttpRequest& aRequest, const Writer& aWriter);
  void HandlePutList(const HttpRequest& aRequest,
                     const Writer& aWriter,
                     ListKind aKind);
  void HandleEvacuation(const HttpRequest& aRequest,
                        const Writer& aWriter,
                        const DataCentreId& aDataCentre);
  void WithdrawUpstream(const UpstreamId& aId, const Writer& aWriter);
  void ProposeEvacuationOf(const DataCentreId& aDataCentre,
                           bool aIsEvacuated,
                           const Writer& aWriter);
  bool KnowsDataCentre(const DataCentreId& aDataCentre) const;
  std::string EvacuationsJson() const;
  void UpdateEvacuations();
  const Account* Authenticate(const HttpRequest& aRequest) const;
  RequestId NewRequestId();
  void ApplyActions(std::vector<DispatchAction> aActions);
  void UpdatePlans();
  void UpdateHosts();
  void RunPlacement();
  void RequestShares();
  void ProbeUpstream(const UpstreamId& aId, uint64_t aIncarnation);
  void EndDeathCheck(const UpstreamId& aId,
                     uint64_t aIncarnation,
                     bool aIsDead);
  void ForgetRestartedUpstreams();
  std::string StatusJson() const;

  EventLoop& m_loop;
  Membership& m_membership;
  StateService& m_state;
  Metrics& m_metrics;
  GatewayOptions m_options;
  SharedDispatch m_placement;
  AccountLimits m_limits;
  OrderGate m_orderGate;
  ShareLedger m_shares;
  RetryBudget m_retries;
  PlanDirectory m_plans;
  DecisionLog m_decisions;
  std::map<RequestId, Flow> m_flows;
  std::map<UpstreamId, DeathCheck> m_deathChecks;
  std::map<UpstreamId, uint64_t> m_lastIncarnations;
  std::string m_idPrefix;
  uint64_t m_nextId = 1;
  Instant m_nextShareRequestAt;
  bool m_isShuttingDown = false;
  bool m_acceptsRequests = true;
  bool m_isPlacementScheduled = false;
  std::function<void()> m_onDispatchSends;
};

/// Sends a refusal with the given request id and, if it has one, a
/// `Retry-After` header.
void SendRefusal(ResponseWriter& aWriter,
                 const Refusal& aRefusal,
                 const std::string& aRequestId);
void SendJson(ResponseWriter& aWriter,
              int aStatus,
              std::string aBody,
              HttpHeaders aHeaders = {});
/// Returns the key of an `Authorization: Bearer` header; empty if absent.
std::string_view BearerKey(const HttpRequest& aRequest);

} // namespace persimmontally

#endif
