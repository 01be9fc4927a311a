#ifndef PERSIMMONTALLY_LIB_PROXY_COMPLETIONFLOW_H
#define PERSIMMONTALLY_LIB_PROXY_COMPLETIONFLOW_H

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/SseParser.h"
#include "persimmontally/Proxy/CallerRequest.h"
#include "persimmontally/Proxy/Gateway.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmontally {

/// State of the current attempt to run a request on an upstream.
enum class AttemptState
{
  /// The request waits for a placement, or for the delay before a retry.
  Queued,
  /// Placed; no byte has been written to the upstream.
  Placed,
  /// A byte of the request may have reached the upstream.
  Sent,
  Finished,
};

/// One request for a generation, from its admission to the last byte of its
/// response. Event indices are checked against the next expected one, so that
/// the caller receives each token once, in order, and from one generation:
/// after the first token of a stream, only a resume of the same generation may
/// deliver more.
class CompletionFlow : public std::enable_shared_from_this<CompletionFlow>
{
public:
  CompletionFlow(Gateway& aGateway,
                 RequestId aId,
                 std::string aCallerId,
                 AccountId aAccount,
                 double aWeight,
                 CompletionRequest aRequest,
                 std::shared_ptr<ResponseWriter> aWriter);

  void Start();
  void OnGrant(const DispatchGrant& aGrant);
  void OnRefused(const Refusal& aRefusal);
  /// Ends the request because the host ends.
  void EndForShutdown();

private:
  Ticket MakeTicket() const;
  void Enqueue();
  void StartCall(bool aIsResume);
  void OnHead(int aStatus);
  void OnData(std::string_view aData);
  void OnEvent(const SseEvent& aEvent);
  void Deliver(const SseEvent& aEvent);
  void AppendToResponse(std::string_view aData);
  void PauseUpstreamIfCallerIsSlow();
  void OnCallEnd(const absl::Status& aStatus);
  void OnAttemptFailed(const std::string& aReason);
  void DecideAfterFailure(bool aUpstreamDied);
  void Retry(const std::string& aReason, bool aUpstreamDied);
  void Interrupt(const std::string& aReason);
  void CompleteResponse();
  void Refuse(const Refusal& aRefusal);
  void OnCallerGone();
  void CancelUpstream(std::function<void()> aOnEnd = nullptr);
  void RetryLater();
  void Close(DispatchOutcome aOutcome, const char* aResult);
  /// Whether part of a stream has reached the caller, which rules out a retry.
  bool HasDelivered() const { return m_isStreaming; }
  const UpstreamEntry* Upstream() const;
  HttpHeaders UpstreamHeaders() const;

  Gateway& m_gateway;
  RequestId m_id;
  std::string m_callerId;
  AccountId m_account;
  double m_weight;
  CompletionRequest m_request;
  std::shared_ptr<const std::string> m_upstreamBody;
  std::shared_ptr<ResponseWriter> m_writer;

  AttemptState m_state = AttemptState::Queued;
  int m_attempts = 0;
  int m_resumes = 0;
  bool m_wasSent = false;
  std::set<UpstreamId> m_excluded;
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  Endpoint m_upstreamEndpoint;
  GenerationId m_generation;
  std::shared_ptr<HttpCall> m_call;
  SseParser m_parser;
  Timer m_timer;

  /// Index of the next event expected from the generation.
  uint32_t m_nextEventIndex = 0;
  bool m_isStreaming = false;
  bool m_hasFinishReason = false;
  bool m_isPaused = false;
  bool m_isClosed = false;
  std::string m_responseText;
  std::string m_finishReason;

  Instant m_arrivedAt;
  Instant m_placedAt;
  Instant m_lastTokenAt;
};

} // namespace persimmontally

#endif
