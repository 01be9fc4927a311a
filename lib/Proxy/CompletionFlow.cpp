#include "CompletionFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Routing/PoisonTable.h"
#include "persimmontally/Support/Metrics.h"

#include <boost/json.hpp>

#include <charconv>

namespace persimmontally {

namespace json = boost::json;

/// Longest wait for a placement after a failed attempt.
static constexpr Duration kRetryPlacementTimeout = seconds(5);

CompletionFlow::CompletionFlow(Gateway& aGateway,
                               RequestId aId,
                               std::string aCallerId,
                               AccountId aAccount,
                               double aWeight,
                               CompletionRequest aRequest,
                               std::shared_ptr<ResponseWriter> aWriter)
  : m_gateway(aGateway)
  , m_id(std::move(aId))
  , m_callerId(std::move(aCallerId))
  , m_account(std::move(aAccount))
  , m_weight(aWeight)
  , m_request(std::move(aRequest))
  , m_upstreamBody(
      std::make_shared<const std::string>(std::move(m_request.m_upstreamBody)))
  , m_writer(std::move(aWriter))
  , m_arrivedAt(aGateway.Loop().Now())
{
}

// Admission and placement.

void CompletionFlow::Start()
{
  m_writer->OnClosed([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  m_gateway.Retries().OnRequest();
  Enqueue();
}

Ticket CompletionFlow::MakeTicket() const
{
  const GatewayOptions& options = m_gateway.Options();
  Ticket ticket;
  ticket.m_id = m_id;
  ticket.m_account = m_account;
  ticket.m_weight = m_weight;
  ticket.m_rank = m_request.m_rank;
  ticket.m_model = m_request.m_model;
  ticket.m_promptTokens = m_request.m_promptTokens;
  ticket.m_maxTokens = m_request.m_maxTokens;
  ticket.m_prefix = m_request.m_prefix;
  ticket.m_fingerprint = m_request.m_fingerprint;
  ticket.m_arrivedAt = m_arrivedAt;
  Duration wait = m_request.m_rank == Rank::Urgent
                    ? options.m_urgentPlacementTimeout
                    : options.m_routinePlacementTimeout;
  ticket.m_placeBy = m_attempts == 0
                       ? m_arrivedAt + wait
                       : m_gateway.Loop().Now() + kRetryPlacementTimeout;
  ticket.m_excluded = m_excluded;
  return ticket;
}

void CompletionFlow::Enqueue()
{
  PoisonVerdict verdict =
    JudgePoison(m_gateway.Members().Poison(), m_request.m_fingerprint);
  if (verdict == PoisonVerdict::Quarantined) {
    RefusalBuilder refusal(ErrorKind::Quarantined,
                           "upstreams died while running this request");
    Refuse(m_wasSent ? refusal.AfterSend().Build() : refusal.Build());
    return;
  }
  m_state = AttemptState::Queued;
  auto refusal =
    m_gateway.Placement().Enqueue(m_gateway.Loop().Now(), MakeTicket());
  if (refusal) {
    OnRefused(*refusal);
    return;
  }
  m_gateway.SchedulePlacement();
}

void CompletionFlow::OnRefused(const Refusal& aRefusal)
{
  if (!m_wasSent) {
    Refuse(aRefusal);
    return;
  }
  Refuse(RefusalBuilder(ErrorKind::UpstreamFailed,
                        "the upstream failed and no other had free capacity")
           .AfterSend()
           .WithRetryAfter(aRefusal.m_retryAfter)
           .Build());
}

void CompletionFlow::OnGrant(const DispatchGrant& aGrant)
{
  m_state = AttemptState::Placed;
  m_placedAt = m_gateway.Loop().Now();
  m_upstream = aGrant.m_upstream;
  m_incarnation = aGrant.m_incarnation;
  ++m_attempts;
  m_resumes = 0;
  m_generation = GenerationId(m_id.Value() + "." + std::to_string(m_attempts));
  m_nextEventIndex = 0;
  m_hasFinishReason = false;
  m_responseText.clear();
  m_gateway.Decisions().Write(
    m_callerId,
    "route",
    { { "id", m_id.Value() },
      { "upstream", m_upstream.Value() },
      { "score", aGrant.m_score },
      { "candidates", aGrant.m_candidates },
      { "account", m_account.Value() },
      { "rank", std::string(ToString(m_request.m_rank)) },
      { "attempt", m_attempts },
      { "waited_ms", ToMilliseconds(m_placedAt - m_arrivedAt) },
      { "reason", m_attempts == 1 ? "lowest score" : "retry" } });
  m_gateway.Counters().Record("queue_wait{rank=\"" +
                                std::string(ToString(m_request.m_rank)) + "\"}",
                              m_placedAt - m_arrivedAt);
  const UpstreamEntry* upstream = Upstream();
  if (upstream == nullptr) {
    OnAttemptFailed("the upstream is gone");
    return;
  }
  m_upstreamEndpoint = upstream->m_row.m_endpoint;
  StartCall(false);
}

const UpstreamEntry* CompletionFlow::Upstream() const
{
  const UpstreamEntry* entry = m_gateway.Members().Upstreams().Find(m_upstream);
  bool same = entry != nullptr && entry->m_row.m_incarnation == m_incarnation;
  return same ? entry : nullptr;
}

// The call to the upstream.

HttpHeaders CompletionFlow::UpstreamHeaders() const
{
  return { { "Authorization", "Bearer " + m_gateway.Options().m_upstreamKey },
           { "X-Request-Id", m_id.Value() },
           { "X-Caller-Request-Id", m_callerId },
           { "X-Generation-Id", m_generation.Value() },
           { "X-Priority", m_request.m_rank == Rank::Urgent ? "0" : "1" },
           { "Content-Type", "application/json" } };
}

void CompletionFlow::StartCall(bool aIsResume)
{
  const GatewayOptions& options = m_gateway.Options();
  HttpRequest request;
  request.m_headers = UpstreamHeaders();
  if (aIsResume) {
    request.m_method = "GET";
    request.m_target = "/v1/generations/" + m_generation.Value() + "/stream";
    request.m_headers.push_back(
      { "Last-Event-ID",
        std::to_string(static_cast<int64_t>(m_nextEventIndex) - 1) });
  } else {
    request.m_method = "POST";
    request.m_target =
      m_request.m_isChat ? "/v1/chat/completions" : "/v1/completions";
    request.m_sharedBody = m_upstreamBody;
  }
  m_parser = SseParser();
  m_isPaused = false;
  std::weak_ptr<CompletionFlow> weak = weak_from_this();
  HttpCallEvents events;
  events.m_onSend = [weak] {
    if (auto self = weak.lock()) {
      self->m_state = AttemptState::Sent;
      self->m_wasSent = true;
    }
  };
  events.m_onHead = [weak](int aStatus, const HttpHeaders&) {
    if (auto self = weak.lock()) {
      self->OnHead(aStatus);
    }
  };
  events.m_onData = [weak](std::string_view aData) {
    if (auto self = weak.lock()) {
      self->OnData(aData);
    }
  };
  events.m_onEnd = [weak](const absl::Status& aStatus) {
    if (auto self = weak.lock()) {
      self->OnCallEnd(aStatus);
    }
  };
  HttpCallTimeouts timeouts{ options.m_connectTimeout,
                             m_nextEventIndex > 0
                               ? options.m_tokenTimeout
                               : options.m_firstTokenTimeout };
  m_call = StartHttpCall(m_gateway.Loop(),
                         m_upstreamEndpoint,
                         std::move(request),
                         timeouts,
                         std::move(events));
}

void CompletionFlow::OnHead(int aStatus)
{
  if (aStatus == 200) {
    return;
  }
  m_call->Cancel();
  OnAttemptFailed("the upstream responded with status " +
                  std::to_string(aStatus));
}

void CompletionFlow::OnData(std::string_view aData)
{
  auto self = shared_from_this();
  bool ok = m_parser.Feed(aData, [this](const SseEvent& aEvent) {
    // An earlier event of the same bytes may have failed the attempt.
    if (!m_isClosed && m_call) {
      OnEvent(aEvent);
    }
  });
  if (m_isClosed || !m_call) {
    return;
  }
  if (!ok) {
    m_call->Cancel();
    OnAttemptFailed("the upstream sent an oversized event");
    return;
  }
  PauseUpstreamIfCallerIsSlow();
}

void CompletionFlow::OnEvent(const SseEvent& aEvent)
{
  if (aEvent.m_data == "[DONE]") {
    if (m_hasFinishReason) {
      CompleteResponse();
    }
    return;
  }
  uint32_t index = 0;
  const char* end = aEvent.m_id.data() + aEvent.m_id.size();
  auto parsed = std::from_chars(aEvent.m_id.data(), end, index);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    m_gateway.Counters().Add("events_without_index_total");
    return;
  }
  if (index < m_nextEventIndex) {
    m_gateway.Counters().Add("duplicate_tokens_dropped_total");
    return;
  }
  if (index > m_nextEventIndex) {
    m_gateway.Counters().Add("token_gaps_total");
    m_call->Cancel();
    OnAttemptFailed("the upstream skipped a token");
    return;
  }
  Deliver(aEvent);
}

void CompletionFlow::Deliver(const SseEvent& aEvent)
{
  Instant now = m_gateway.Loop().Now();
  Metrics& metrics = m_gateway.Counters();
  bool isUrgent = m_request.m_rank == Rank::Urgent;
  if (m_nextEventIndex == 0) {
    metrics.Record(isUrgent ? "time_to_first_token{rank=\"urgent\"}"
                            : "time_to_first_token{rank=\"routine\"}",
                   now - m_arrivedAt);
  } else {
    metrics.Record(isUrgent ? "time_between_tokens{rank=\"urgent\"}"
                            : "time_between_tokens{rank=\"routine\"}",
                   now - m_lastTokenAt);
    m_gateway.Placement().Local().Health().RecordGap(
      now, m_upstream, now - m_lastTokenAt);
  }
  m_lastTokenAt = now;
  ++m_nextEventIndex;
  m_gateway.Placement().Progress(now, m_id, m_nextEventIndex);
  m_gateway.Limits().ChargeTokens(m_account, 1);
  m_hasFinishReason =
    m_hasFinishReason ||
    aEvent.m_data.find("\"finish_reason\":\"") != std::string_view::npos;
  if (!m_request.m_isStream) {
    AppendToResponse(aEvent.m_data);
    return;
  }
  if (!m_isStreaming) {
    m_isStreaming = true;
    m_writer->StartStream(200,
                          { { "Content-Type", "text/event-stream" },
                            { "Cache-Control", "no-store" },
                            { "X-Request-Id", m_callerId } });
  }
  std::string event;
  event.reserve(aEvent.m_data.size() + 8);
  event.append("data: ").append(aEvent.m_data).append("\n\n");
  m_writer->Write(event);
}

void CompletionFlow::AppendToResponse(std::string_view aData)
{
  json::error_code error;
  json::value chunk = json::parse(aData, error);
  const json::value* choice =
    error ? nullptr : chunk.find_pointer("/choices/0", error);
  if (choice == nullptr || !choice->is_object()) {
    return;
  }
  const json::value* text = choice->find_pointer(
    m_request.m_isChat ? "/delta/content" : "/text", error);
  if (text != nullptr && text->is_string()) {
    m_responseText.append(text->as_string());
    m_writer->SetKeptBytes(m_responseText.size());
  }
  if (m_responseText.size() > kMaxBufferedBody) {
    m_call->Cancel();
    OnAttemptFailed("the response is too large");
    return;
  }
  const json::value* reason = choice->as_object().if_contains("finish_reason");
  if (reason != nullptr && reason->is_string()) {
    m_finishReason = std::string(reason->as_string());
  }
}

/// Pauses reading from the upstream while more than `m_streamBufferBytes` are
/// buffered for the caller.
void CompletionFlow::PauseUpstreamIfCallerIsSlow()
{
  size_t limit = m_gateway.Options().m_streamBufferBytes;
  if (m_isPaused || m_writer->BufferedBytes() <= limit) {
    return;
  }
  m_isPaused = true;
  m_call->Pause();
  m_gateway.Counters().Add("streams_held_back_total");
  m_writer->OnDrained([weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && self->m_isPaused && self->m_call) {
      self->m_isPaused = false;
      self->m_call->Resume();
    }
  });
}

// End of the request: completion, or cancellation at the upstream.

void CompletionFlow::CompleteResponse()
{
  if (m_request.m_isStream) {
    m_writer->Write("data: [DONE]\n\n");
    m_writer->Finish();
  } else {
    json::object choice;
    choice["index"] = 0;
    if (m_request.m_isChat) {
      choice["message"] = { { "role", "assistant" },
                            { "content", m_responseText } };
    } else {
      choice["text"] = m_responseText;
    }
    choice["finish_reason"] = m_finishReason;
    // The last event carries the finish reason and no token.
    uint32_t tokens = m_nextEventIndex - 1;
    json::object body;
    body["id"] = m_generation.Value();
    body["object"] = m_request.m_isChat ? "chat.completion" : "text_completion";
    body["model"] = m_request.m_model.Value();
    body["choices"] = json::array{ choice };
    body["usage"] = { { "prompt_tokens", m_request.m_promptTokens },
                      { "completion_tokens", tokens },
                      { "total_tokens", m_request.m_promptTokens + tokens } };
    SendJson(*m_writer,
             200,
             json::serialize(body),
             { { "X-Request-Id", m_callerId } });
  }
  m_gateway.ClearSuspicion(m_request.m_fingerprint);
  m_gateway.Counters().Add("requests_finished_total{rank=\"" +
                           std::string(ToString(m_request.m_rank)) + "\"}");
  Close(DispatchOutcome::Finished, "finished");
}

void CompletionFlow::OnCallerGone()
{
  if (m_isClosed) {
    return;
  }
  m_gateway.Counters().Add("callers_gone_total");
  CancelUpstream();
  Close(DispatchOutcome::Cancelled, "caller gone");
}

/// Cancels the generation at the upstream. Closing the connection alone would
/// leave it running until the upstream's resume window ends. `aOnEnd` is called
/// once the upstream has answered, or does not within the time limit.
void CompletionFlow::CancelUpstream(std::function<void()> aOnEnd)
{
  if (m_call) {
    m_call->Cancel();
    m_call.reset();
  }
  if (m_state != AttemptState::Sent || m_hasFinishReason) {
    if (aOnEnd) {
      aOnEnd();
    }
    return;
  }
  HttpRequest request;
  request.m_method = "DELETE";
  request.m_target = "/v1/generations/" + m_generation.Value();
  request.m_headers = UpstreamHeaders();
  StartBufferedHttpCall(
    m_gateway.Loop(),
    m_upstreamEndpoint,
    std::move(request),
    { m_gateway.Options().m_connectTimeout, seconds(1) },
    [onEnd = std::move(aOnEnd)](const absl::Status&, const HttpResponse&) {
      if (onEnd) {
        onEnd();
      }
    },
    kMaxUnusedBody);
}

void CompletionFlow::Close(DispatchOutcome aOutcome, const char* aResult)
{
  if (m_isClosed) {
    return;
  }
  m_isClosed = true;
  auto self = shared_from_this();
  m_timer.Cancel();
  Instant now = m_gateway.Loop().Now();
  if (m_call) {
    m_call->Cancel();
    m_call.reset();
  }
  m_state = AttemptState::Finished;
  m_gateway.Decisions().Write(m_callerId,
                              "end",
                              { { "id", m_id.Value() },
                                { "result", aResult },
                                { "tokens", m_nextEventIndex },
                                { "attempts", m_attempts },
                                { "ms", ToMilliseconds(now - m_arrivedAt) } });
  m_gateway.ReleaseFlow(m_id, m_account, aOutcome);
}

} // namespace persimmontally
