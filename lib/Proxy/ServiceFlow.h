#ifndef PERSIMMONTALLY_LIB_PROXY_SERVICEFLOW_H
#define PERSIMMONTALLY_LIB_PROXY_SERVICEFLOW_H

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Proxy/Gateway.h"
#include "persimmontally/Support/Rank.h"
#include "persimmontally/Wire/StateMessage.h"

#include <memory>
#include <string>

namespace persimmontally {

/// A validated service call.
struct ServiceCall
{
  std::string m_service;
  Rank m_rank = Rank::Routine;
  bool m_isRepeatable = true;
  /// Key of the order: account, service and idempotency key. Empty for
  /// repeatable calls.
  std::string m_orderKey;
  std::string m_idempotencyKey;
  HttpRequest m_request;
};

/// One service call, from its admission to its response. A non-repeatable call
/// is first claimed in the replicated log. Only the holder of the claim sends
/// it, once, and the response is recorded before it is sent to the caller.
class ServiceFlow : public std::enable_shared_from_this<ServiceFlow>
{
public:
  ServiceFlow(Gateway& aGateway,
              RequestId aId,
              std::string aCallerId,
              AccountId aAccount,
              double aWeight,
              ServiceCall aCall,
              std::shared_ptr<ResponseWriter> aWriter);

  void Start();
  void OnGrant(const DispatchGrant& aGrant);
  void OnRefused(const Refusal& aRefusal);
  /// Ends the request because the host ends.
  void EndForShutdown();

private:
  void Claim();
  void OnClaim(const CommandResult& aResult);
  /// Claims again after a delay while another attempt holds the claim. Refuses
  /// the call if that takes too long or the holder's host is gone.
  void PollOtherAttempt(const CommandResult& aResult);
  bool IsOwnerGone(const CommandResult& aResult) const;
  void Enqueue();
  void Send(const UpstreamEntry& aUpstream);
  void OnCallEnd(const absl::Status& aStatus, HttpResponse aResponse);
  /// Handles a response that its upstream has ended and that nothing else
  /// delimits: it is incomplete if the upstream has died.
  void OnUndelimitedResponse(HttpResponse aResponse);
  void OnResponse(HttpResponse aResponse);
  /// Handles a call that was sent and whose response is lost, once it is known
  /// whether its upstream has died.
  void OnResponseLost();
  /// Refuses a call that crashes upstreams. Returns whether it was refused.
  bool RefuseIfQuarantined();
  /// Retries a call of which nothing was sent on another upstream, or refuses
  /// it after the last attempt.
  void RetryUnsent(const std::string& aReason);
  void EndClaim(OrderState aState, OrderAnswer aAnswer);
  void Respond(const OrderAnswer& aAnswer, bool aIsReplay);
  void Refuse(const Refusal& aRefusal);
  void Close(DispatchOutcome aOutcome, const char* aResult);

  Gateway& m_gateway;
  RequestId m_id;
  std::string m_callerId;
  AccountId m_account;
  double m_weight;
  ServiceCall m_call;
  std::shared_ptr<ResponseWriter> m_writer;

  std::string m_bodyHash;
  uint64_t m_fingerprint;
  bool m_hasClaim = false;
  bool m_wasSent = false;
  bool m_isClosed = false;
  int m_attempts = 0;
  int m_pollCount = 0;
  std::set<UpstreamId> m_excluded;
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  std::shared_ptr<HttpCall> m_httpCall;
  Timer m_timer;
  Instant m_arrivedAt;
};

} // namespace persimmontally

#endif
