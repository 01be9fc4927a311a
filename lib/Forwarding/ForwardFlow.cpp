#include "ForwardFlow.h"

#include "CrashWatch.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>

namespace persimmontally {

static constexpr int kFirstErrorStatus = 300;
static constexpr int kFirstServerError = 500;

/// Estimates of callers are often exceeded, but seldom by more than this.
static constexpr uint32_t kLengthMargin = 2;
/// Longest time from the send to the first token on an engine with free memory.
static constexpr Duration kLongestPrefill = seconds(1);
/// Most upstreams that send something else than a response end the connection
/// at once.
static constexpr Duration kUnparsedStreamWait = milliseconds(50);
/// Speed of an engine whose slots are all taken, against the assumed one.
static constexpr double kFullEngineSpeed = 0.5;

ForwardFlow::ForwardFlow(ForwardGateway& aGateway,
                         RequestId aId,
                         RoutedRequest aRequest,
                         ForwardTarget aTarget,
                         std::shared_ptr<ResponseWriter> aWriter)
  : m_gateway(aGateway)
  , m_id(std::move(aId))
  , m_request(std::move(aRequest))
  , m_target(std::move(aTarget))
  , m_writer(std::move(aWriter))
  , m_crashKeys(CrashKeysOf(m_request, m_target))
  , m_arrivedAt(aGateway.Loop().Now())
{
  m_request.m_http.ShareBody();
  m_deadline = m_arrivedAt + m_target.m_route->m_timeout;
  if (m_request.m_callerTimeout) {
    m_deadline = std::min(m_deadline, m_arrivedAt + *m_request.m_callerTimeout);
  }
}

Duration ForwardFlow::TimeLeft() const
{
  return m_deadline - m_gateway.Loop().Now();
}

void ForwardFlow::Start()
{
  auto self = shared_from_this();
  m_writer->OnClosed([self] { self->OnCallerGone(); });
  m_gateway.RetryBudgetOf(m_target.m_service->m_name).OnRequest();
  m_deadlineTimer =
    m_gateway.Loop().RunAfter(std::max(Duration(0), m_deadline - m_arrivedAt),
                              [self] { self->OnDeadline(); });
  if (StartAfterCallersEvent()) {
    Enqueue();
  }
}

// Queueing and placement of the request.

Ticket ForwardFlow::MakeTicket() const
{
  const ForwardOptions& options = m_gateway.Options();
  Ticket ticket;
  ticket.m_id = m_id;
  ticket.m_account = m_target.m_account;
  ticket.m_rank = m_target.m_rank;
  if (IsGeneration()) {
    ticket.m_model = ModelId(m_target.m_service->m_name);
  } else {
    ticket.m_service = m_target.m_service->m_name;
  }
  ticket.m_promptTokens = m_request.m_promptTokens;
  ticket.m_maxTokens = m_request.m_maxOutputTokens;
  ticket.m_expectedTokens = m_request.m_expectedOutputTokens;
  ticket.m_arrivedAt = m_arrivedAt;
  double objective = ToSeconds(m_target.m_route->m_latencyObjective);
  double wait = std::min(objective * options.m_maxWaitObjectiveFactor,
                         ToSeconds(m_deadline - m_arrivedAt) *
                           options.m_maxWaitTimeoutFraction);
  ticket.m_placeBy =
    m_brokenOffAt.value_or(m_arrivedAt) +
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  ticket.m_excluded = m_excluded;
  ticket.m_residency = m_target.m_residency;
  ticket.m_pauseObjective = m_target.m_route->m_timeBetweenTokensObjective;
  return ticket;
}

void ForwardFlow::Enqueue()
{
  m_state = State::Queued;
  if (!FollowCatalog() || RefuseIfQuarantined()) {
    return;
  }
  auto refusal =
    m_gateway.Placement().Enqueue(m_gateway.Loop().Now(), MakeTicket());
  if (refusal) {
    Refuse(*refusal);
    return;
  }
  m_gateway.SchedulePlacement();
}

void ForwardFlow::OnRefused(const Refusal& aRefusal)
{
  if (m_state == State::Queued) {
    Refuse(aRefusal);
  }
}

void ForwardFlow::OnGrant(const DispatchGrant& aGrant)
{
  if (m_state != State::Queued) {
    return;
  }
  m_ledgerId = m_id;
  const UpstreamEntry* entry =
    m_gateway.Members().Upstreams().Find(aGrant.m_upstream);
  WriteLog(
    LogLevel::Info,
    "place",
    { { "request", m_request.m_id },
      { "upstream", aGrant.m_upstream.Value() },
      { "score", aGrant.m_score },
      { "candidates", aGrant.m_candidates },
      { "excluded_by_residency", aGrant.m_excludedByResidency },
      { "rivals_ahead", aGrant.m_peerTicketsAhead },
      { "account", m_target.m_account.Value() },
      { "rank", ToString(m_target.m_rank) },
      { "waited_ms", ToMilliseconds(m_gateway.Loop().Now() - m_arrivedAt) },
      { "catalog", m_target.m_routes->Version() } });
  m_upstream = aGrant.m_upstream;
  if (RefuseIfQuarantined()) {
    return;
  }
  if (entry == nullptr || TimeLeft() < kMinTimeLeft) {
    Refuse(RefusalBuilder(ErrorKind::Overloaded,
                          "too little time left before the deadline")
             .Build());
    return;
  }
  const RegionId& ownRegion = m_gateway.Options().m_dispatch.m_region;
  if (entry->m_row.m_region != ownRegion &&
      !m_target.m_residency.Allows(ownRegion)) {
    m_gateway.Counters().Add("placements_abroad_by_residency_total");
  }
  m_state = State::Placed;
  m_upstreamEndpoint = entry->m_row.m_endpoint;
  m_upstreamIncarnation = entry->m_row.m_incarnation;
  m_leavingSince.reset();
  ++m_connects;
  AssignBackup();
  Send(m_upstreamEndpoint, std::nullopt);
}

// Call to the upstream.

HttpCallEvents ForwardFlow::MakeEvents()
{
  auto self = shared_from_this();
  HttpCallEvents events;
  events.m_onSend = [self] {
    self->m_wasSent = true;
    ++self->m_sends;
    ++self->m_unrejectedSends;
    self->m_sentAt = self->m_gateway.Loop().Now();
    self->m_state = State::Sent;
  };
  events.m_onHead = [self](int aStatus, const HttpHeaders& aHeaders) {
    self->OnHead(aStatus, aHeaders);
  };
  events.m_onData = [self](std::string_view aData) { self->OnData(aData); };
  events.m_onEnd = [self](const absl::Status& aStatus) {
    self->OnCallEnd(aStatus);
  };
  return events;
}

void ForwardFlow::Send(const Endpoint& aEndpoint,
                       std::optional<ResumePoint> aResume)
{
  UpstreamDirectives order;
  order.m_timeLeft = TimeLeft();
  order.m_upstream = m_upstream;
  order.m_account = m_target.m_account;
  order.m_resume = std::move(aResume);
  if (IsResumable()) {
    order.m_startAfter = m_events.LastId();
  }
  if (IsGeneration()) {
    order.m_priority = m_target.m_urgency;
  }
  if (HasBackup()) {
    order.m_backup = m_backup.m_endpoint;
  }
  m_head = ResponseHead();
  m_isRunUnknown = false;
  m_mayBeStopped = false;
  m_stopCalls = 0;
  m_wasBrokenOff = m_wasBrokenOff || std::exchange(m_isBrokenOff, false);
  m_isPaceMeasured = false;
  ClearBody();
  HttpRequest request =
    m_gateway.Protocol().EncodeForUpstream(m_request, order);
  // The idle timeout lies after the deadline, so that the deadline timer ends
  // the call, not a lack of data from the upstream.
  HttpCallTimeouts timeouts{ m_gateway.Options().m_connectTimeout,
                             order.m_timeLeft + seconds(1) };
  if (IsStream()) {
    timeouts.m_unparsed = kUnparsedStreamWait;
  }
  HttpCallEvents events = MakeEvents();
  // Streams get a new connection: a pooled one may turn out to be closed only
  // after the request was written, and losing a generation costs far more than
  // a handshake.
  m_call = IsStream()
             ? StartHttpCall(m_gateway.Loop(),
                             aEndpoint,
                             std::move(request),
                             timeouts,
                             std::move(events))
             : m_gateway.Connections().Start(
                 aEndpoint, std::move(request), timeouts, std::move(events));
}

void ForwardFlow::OnData(std::string_view aData)
{
  if (m_state == State::Streaming) {
    ForwardEvents(aData);
    return;
  }
  if (!m_head.m_isGenuine) {
    // The head decides what becomes of the request.
    m_unusedBytes += aData.size();
    if (m_unusedBytes > kMaxUnusedBody) {
      m_call->Cancel();
      m_call.reset();
      if (m_head.m_isNotRun) {
        OnRejected();
      } else {
        OnClosedHere("the response is not the upstream's, status " +
                     std::to_string(m_head.m_status));
      }
    }
    return;
  }
  m_body.append(aData);
  m_gateway.AddBufferedBytes(aData.size());
  if (m_body.size() > m_gateway.Options().m_maxResponseBytes) {
    FailOversized();
  }
}

void ForwardFlow::FailOversized()
{
  if (m_call) {
    m_call->Cancel();
    m_call.reset();
  }
  ClearBody();
  OnClosedHere("the response is too large");
}

void ForwardFlow::ClearBody()
{
  m_gateway.RemoveBufferedBytes(m_body.size());
  std::string().swap(m_body);
  m_unusedBytes = 0;
}

void ForwardFlow::OnCallEnd(const absl::Status& aStatus)
{
  if (m_state == State::Ended) {
    return;
  }
  m_call.reset();
  if (m_state == State::Streaming) {
    OnStreamEnd(aStatus);
    return;
  }
  if (m_state == State::Placed) {
    OnConnectFailed(std::string(aStatus.message()));
    return;
  }
  if (!aStatus.ok()) {
    if (absl::IsDataLoss(aStatus) && MustEndRunFirst()) {
      OnClosedHere(std::string(aStatus.message()));
      return;
    }
    if (absl::IsAborted(aStatus) || absl::IsDataLoss(aStatus)) {
      OnBrokenOffBeforeHead(std::string(aStatus.message()));
      return;
    }
    OnAttemptFailed(std::string(aStatus.message()));
    return;
  }
  if (!MayBeCutShort()) {
    OnResponseEnd();
    return;
  }
  ResolveResponseEnd();
}

// Responses that are forwarded as a whole, not as a stream.

void ForwardFlow::OnResponseEnd()
{
  if (m_head.m_isNotRun) {
    OnRejected();
    return;
  }
  if (!m_head.m_isGenuine) {
    OnAttemptFailed("the response is not the upstream's, status " +
                    std::to_string(m_head.m_status));
    return;
  }
  // Callers take these statuses to mean that the request did not run. Only the
  // upstream can know that, and it did not state it.
  constexpr std::array kNotRunStatuses = { 408, 421, 429, 503 };
  if (std::count(
        kNotRunStatuses.begin(), kNotRunStatuses.end(), m_head.m_status) > 0) {
    OnAttemptFailed(
      "rejected without a statement that the request did not run");
    return;
  }
  if (m_head.m_status >= kFirstServerError &&
      TryAgain("status " + std::to_string(m_head.m_status), true)) {
    return;
  }
  if (m_hasStarted) {
    Interrupt("the generation got status " + std::to_string(m_head.m_status) +
              " when it was resumed");
    return;
  }
  // An upstream may report an error now and crash the next time.
  if (m_head.m_status < kFirstServerError) {
    m_gateway.Crashes().OnSound(m_crashKeys);
  }
  m_gateway.RemoveBufferedBytes(m_body.size());
  m_writer->SendResponse(
    { m_head.m_status, m_head.m_headers, std::exchange(m_body, "") });
  Close(DispatchOutcome::Finished,
        m_head.m_status < kFirstErrorStatus ? "finished" : "upstream_error");
}

// Shutdown, refusal and interruption.

Instant ForwardFlow::ExpectedEnd() const
{
  double rate = m_gateway.Options().m_dispatch.m_assumedTokensPerSecond;
  if (!IsGeneration() || m_request.m_maxOutputTokens == 0 || rate <= 0) {
    return m_deadline;
  }
  uint32_t tokens = m_request.m_maxOutputTokens;
  if (m_request.m_expectedOutputTokens > 0) {
    tokens = std::min(tokens, kLengthMargin * m_request.m_expectedOutputTokens);
  }
  Duration time = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(tokens / (rate * kFullEngineSpeed)));
  return std::min(m_deadline, m_gateway.Loop().Now() + kLongestPrefill + time);
}

void ForwardFlow::EndIfTooLong(Instant aLimit)
{
  // A stream that goes on may well end before the process does.
  if (m_state == State::Queued && !m_hasStarted && ExpectedEnd() > aLimit) {
    EndForShutdown();
  }
}

void ForwardFlow::EndForShutdown()
{
  if (m_state == State::Ended) {
    return;
  }
  Refuse(RefusalBuilder(ErrorKind::ShuttingDown, "the host is shutting down")
           .WithRetryAfter(kRetryAfterShutdown)
           .Build());
}

void ForwardFlow::OnCallerGone()
{
  if (m_state != State::Ended) {
    Close(DispatchOutcome::Cancelled, "caller_gone");
  }
}

void ForwardFlow::Refuse(const Refusal& aRefusal)
{
  if (m_hasStarted) {
    Interrupt(aRefusal.m_message);
    return;
  }
  bool mayHaveRun = m_unrejectedSends > 0 && aRefusal.m_ran == Ran::No;
  m_gateway.Refuse(
    *m_writer,
    mayHaveRun ? RefusalBuilder(ErrorKind::UpstreamFailed, aRefusal.m_message)
                   .AfterSend()
                   .Build()
               : aRefusal,
    m_request.m_id);
  Close(DispatchOutcome::Failed, "refused");
}

/// Aborts a stream that cannot continue. The connection is closed without the
/// final chunk, so the caller can tell that the response is incomplete.
void ForwardFlow::Interrupt(const std::string& aReason)
{
  WriteLog(LogLevel::Warning,
           "interrupt",
           { { "request", m_request.m_id },
             { "upstream", m_upstream.Value() },
             { "events", m_events.Events() },
             { "reason", aReason } });
  m_gateway.Counters().Add("interrupted_total");
  m_writer->Abort();
  Close(DispatchOutcome::Failed, "interrupted");
}

// End of the request and release of its placement.

void ForwardFlow::ReleasePlacement(DispatchOutcome aOutcome)
{
  if (m_state == State::Queued) {
    m_gateway.Placement().Withdraw(m_id);
  }
  if (!m_ledgerId.Empty()) {
    m_gateway.Placement().Complete(
      m_gateway.Loop().Now(), m_ledgerId, aOutcome);
    m_ledgerId = RequestId();
  }
  ReleaseCopy(m_backup);
}

void ForwardFlow::Close(DispatchOutcome aOutcome, const char* aResult)
{
  if (m_state == State::Ended) {
    return;
  }
  ReleasePlacement(aOutcome);
  ClearBody();
  m_state = State::Ended;
  m_deadlineTimer.Cancel();
  m_stopTimer.Cancel();
  if (m_call) {
    m_call->Cancel();
    m_call.reset();
  }
  CancelMigration();
  ReleaseCopy(m_backup);
  Instant now = m_gateway.Loop().Now();
  WriteLog(LogLevel::Info,
           "end",
           { { "request", m_request.m_id },
             { "route", m_target.m_route->m_name },
             { "upstream", m_upstream.Value() },
             { "result", aResult },
             { "status", m_head.m_status },
             { "rate_limit", m_head.m_rateLimit.value_or(-1) },
             { "events", m_events.Events() },
             { "moves", m_resumes },
             { "sent_after_ms",
               m_wasSent ? ToMilliseconds(m_sentAt - m_arrivedAt) : -1 },
             { "first_after_ms",
               m_firstEventAt == Instant()
                 ? -1
                 : ToMilliseconds(m_firstEventAt - m_arrivedAt) },
             { "longest_pause_ms", ToMilliseconds(m_longestPause) },
             { "pause_after_events", m_eventsBeforeLongestPause },
             { "took_ms", ToMilliseconds(now - m_arrivedAt) } });
  m_gateway.Counters().Add(std::string("requests_total{result=\"") + aResult +
                           "\"}");
  m_gateway.Counters().Record("request_seconds", now - m_arrivedAt);
  m_gateway.ReleaseFlow(m_id);
}

} // namespace persimmontally
