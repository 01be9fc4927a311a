#ifndef PERSIMMONTALLY_PROXY_GATEWAY_H
#define PERSIMMONTALLY_PROXY_GATEWAY_H

#include "persimmontally/Admission/AccountLimits.h"
#include "persimmontally/Admission/ShareLedger.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Proxy/DecisionLog.h"
#include "persimmontally/Proxy/PlanBook.h"
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
  /// Longest wait for a placement by rank: what the first token's target
  /// leaves after the engine's own part.
  Duration m_urgentWait = milliseconds(500);
  Duration m_routineWait = seconds(60);
  Duration m_connectTimeout = milliseconds(500);
  /// Silence of an upstream before its first token, and between tokens.
  Duration m_firstTokenTimeout = seconds(20);
  Duration m_tokenTimeout = seconds(5);
  Duration m_serviceTimeout = seconds(30);
  /// How long a resend waits for the run that it repeats.
  Duration m_orderWait = seconds(30);
  int m_maxAttempts = 3;
  /// Bytes that may wait for a caller before its upstream is held back.
  size_t m_streamBufferBytes = 64 * 1024;
};

/// Takes requests from callers, upstreams and operators, and carries each to
/// its end. The decisions are made by the systems it holds.
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
  /// Runs the decision systems. Called each turn and when something ends.
  void Tick();
  /// Fails readiness, so that the balancer sends no more.
  void BeginShutdown() { m_isShuttingDown = true; }
  /// Refuses new work, after the balancer has had time.
  void StopTakingWork() { m_takesWork = false; }
  bool IsShuttingDown() const { return m_isShuttingDown; }
  size_t OpenRequests() const { return m_flows.size(); }
  void ReceiveShare(const HostId& aFrom, const ShareMessage& aMessage);
  void ReceiveDispatch(const HostId& aFrom, const DispatchBatch& aBatch);
  std::vector<std::pair<HostId, DispatchBatch>> TakeDispatchSends()
  {
    return m_placement.TakeSends();
  }
  /// Sets what is called when there are messages to take, here and at the
  /// membership.
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
  const PlanBook& Plans() const { return m_plans; }
  const GatewayOptions& Options() const { return m_options; }
  double ShareOf(const AccountId& aAccount) const;
  /// Answers with a refusal, writes its log line and counts it.
  void Refuse(ResponseWriter& aWriter,
              const Refusal& aRefusal,
              const std::string& aCallerId,
              const RequestId& aId);
  /// Gives back what a request holds: its place or slot, and its concurrency.
  void EndFlow(const RequestId& aId,
               const AccountId& aAccount,
               DispatchOutcome aOutcome);
  void Kick();
  /// Finds out whether an upstream that broke a connection has died; all that
  /// ask meanwhile get the same answer. A death puts the fingerprints under
  /// suspicion.
  void CheckUpstream(const UpstreamId& aId,
                     uint64_t aIncarnation,
                     uint64_t aFingerprint,
                     std::function<void(bool aIsDead)> aCallback);
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
  const Account* Authenticate(const HttpRequest& aRequest) const;
  RequestId NewRequestId();
  void ApplyActions(std::vector<DispatchAction> aActions);
  void UpdatePlans();
  void UpdateHosts();
  void RunPlacement();
  void MoveShares();
  void ProbeUpstream(const UpstreamId& aId, uint64_t aIncarnation);
  void EndDeathCheck(const UpstreamId& aId,
                     uint64_t aIncarnation,
                     bool aIsDead);
  void NoteGoneUpstreams();
  std::string StatusJson() const;

  EventLoop& m_loop;
  Membership& m_membership;
  StateService& m_state;
  Metrics& m_metrics;
  GatewayOptions m_options;
  SharedDispatch m_placement;
  AccountLimits m_limits;
  ShareLedger m_shares;
  RetryBudget m_retries;
  PlanBook m_plans;
  DecisionLog m_decisions;
  std::map<RequestId, Flow> m_flows;
  std::map<UpstreamId, DeathCheck> m_deathChecks;
  std::map<UpstreamId, uint64_t> m_seenIncarnations;
  std::string m_idPrefix;
  uint64_t m_nextId = 1;
  Instant m_nextShareMove;
  bool m_isShuttingDown = false;
  bool m_takesWork = true;
  bool m_kicked = false;
  std::function<void()> m_onDispatchSends;
};

/// Answers with a refusal, under the caller's own request id.
void SendRefusal(ResponseWriter& aWriter,
                 const Refusal& aRefusal,
                 const std::string& aRequestId);
void SendJson(ResponseWriter& aWriter,
              int aStatus,
              std::string aBody,
              HttpHeaders aHeaders = {});
/// Key of an `Authorization: Bearer` header; empty when absent.
std::string_view BearerKey(const HttpRequest& aRequest);

} // namespace persimmontally

#endif
