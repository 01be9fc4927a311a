#include "ServiceFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/ConnectProbe.h"
#include "persimmontally/Routing/PoisonTable.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>

namespace persimmontally {

static constexpr Duration kInitialPollInterval = milliseconds(100);
static constexpr Duration kMaxPollInterval = seconds(1);
/// Largest response body that is recorded for repeated calls, in bytes.
static constexpr size_t kMaxRecordedBytes = 1 << 20;
/// Number of times the end of a claim is proposed again while the outcome of
/// the proposal is unknown, so that a lost response of the group does not leave
/// the claim open.
static constexpr int kMaxEndClaimRetries = 24;

ServiceFlow::ServiceFlow(Gateway& aGateway,
                         RequestId aId,
                         std::string aCallerId,
                         AccountId aAccount,
                         double aWeight,
                         ServiceCall aCall,
                         std::shared_ptr<ResponseWriter> aWriter)
  : m_gateway(aGateway)
  , m_id(std::move(aId))
  , m_callerId(std::move(aCallerId))
  , m_account(std::move(aAccount))
  , m_weight(aWeight)
  , m_call(std::move(aCall))
  , m_writer(std::move(aWriter))
  , m_bodyHash(Sha256Hex(m_call.m_request.m_method + "\n" +
                         m_call.m_request.m_target + "\n" +
                         m_call.m_request.m_body))
  , m_fingerprint(Fingerprint(m_account.Value(), m_call.m_service, m_bodyHash))
  , m_arrivedAt(aGateway.Loop().Now())
{
  m_call.m_request.ShareBody();
}

void ServiceFlow::Start()
{
  m_gateway.Retries().OnRequest();
  if (m_call.m_isRepeatable) {
    // A non-repeatable call continues after its caller disconnects, so that its
    // response is recorded.
    m_writer->OnClosed([weak = weak_from_this()] {
      auto self = weak.lock();
      if (self && !self->m_isClosed) {
        self->Close(DispatchOutcome::Cancelled, "caller gone");
      }
    });
    Enqueue();
    return;
  }
  Claim();
}

// Claim of the order key, so that a repeated call runs only once.

void ServiceFlow::Claim()
{
  StartOrder command;
  command.m_key = m_call.m_orderKey;
  command.m_bodyHash = m_bodyHash;
  command.m_attempt = m_id.Value();
  command.m_owner = m_gateway.Options().m_host;
  command.m_ownerIncarnation = m_gateway.Members().Self().m_incarnation;
  m_gateway.State().Propose(
    m_gateway.Loop().Now(),
    command,
    [weak = weak_from_this()](const CommandResult& aResult) {
      auto self = weak.lock();
      if (self && !self->m_isClosed) {
        self->OnClaim(aResult);
      }
    });
}

/// Proposes the end of a claim, and repeats the proposal up to `aRetriesLeft`
/// times while its outcome is undecided.
static void ProposeEndOrder(Gateway& aGateway,
                            EndOrder aCommand,
                            int aRetriesLeft)
{
  auto& state = aGateway.State();
  state.Propose(
    aGateway.Loop().Now(),
    aCommand,
    [&aGateway, aCommand, aRetriesLeft](const CommandResult& aResult) {
      bool open = aResult.m_status == CommandStatus::Undecided;
      if (open && aRetriesLeft > 0) {
        ProposeEndOrder(aGateway, aCommand, aRetriesLeft - 1);
      }
    });
}

void ServiceFlow::OnClaim(const CommandResult& aResult)
{
  switch (aResult.m_status) {
    case CommandStatus::Accepted:
      m_hasClaim = true;
      Enqueue();
      return;
    case CommandStatus::OrderFinished:
      Respond(aResult.m_answer, true);
      return;
    case CommandStatus::OrderRunning:
      PollOtherAttempt(aResult);
      return;
    case CommandStatus::OrderKeyReused:
      Refuse(RefusalBuilder(ErrorKind::IdempotencyKeyReused,
                            "the Idempotency-Key was used for another request")
               .Build());
      return;
    case CommandStatus::Undecided: {
      if (m_pollCount > 0) {
        Refuse(RefusalBuilder(ErrorKind::OutcomeUnknown,
                              "the call may have run; its outcome cannot be "
                              "read at present")
                 .Build());
        return;
      }
      EndOrder release;
      release.m_key = m_call.m_orderKey;
      release.m_attempt = m_id.Value();
      release.m_state = OrderState::Released;
      ProposeEndOrder(m_gateway, release, kMaxEndClaimRetries);
      Refuse(RefusalBuilder(ErrorKind::NoQuorum,
                            "no majority of voters responded in time")
               .Build());
      return;
    }
    default:
      Refuse(RefusalBuilder(ErrorKind::OutcomeUnknown,
                            "the call may have run and its response is lost")
               .Build());
  }
}

bool ServiceFlow::IsOwnerGone(const CommandResult& aResult) const
{
  const HostRow* owner = m_gateway.Members().FindHost(aResult.m_owner);
  if (owner == nullptr || owner->m_state > HostState::Suspect) {
    return true;
  }
  // Refuting a suspicion raises the incarnation slightly; a restart sets it to
  // a later time.
  constexpr uint64_t kRestartGap = 1000;
  return owner->m_incarnation > aResult.m_ownerIncarnation + kRestartGap;
}

void ServiceFlow::PollOtherAttempt(const CommandResult& aResult)
{
  Instant now = m_gateway.Loop().Now();
  bool tooLong =
    now - m_arrivedAt > m_gateway.Options().m_duplicateOrderTimeout;
  if (tooLong || IsOwnerGone(aResult)) {
    Refuse(RefusalBuilder(ErrorKind::OutcomeUnknown,
                          "the call was started and its outcome is unknown")
             .Build());
    return;
  }
  Duration wait = std::min<Duration>(
    kInitialPollInterval * (1 << std::min(m_pollCount, 4)), kMaxPollInterval);
  ++m_pollCount;
  m_timer = m_gateway.Loop().RunAfter(wait, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && !self->m_isClosed) {
      self->Claim();
    }
  });
}

void ServiceFlow::EndClaim(OrderState aState, OrderAnswer aAnswer)
{
  EndOrder command;
  command.m_key = m_call.m_orderKey;
  command.m_attempt = m_id.Value();
  command.m_state = aState;
  command.m_answer = std::move(aAnswer);
  ProposeEndOrder(m_gateway, command, kMaxEndClaimRetries);
}

// Queueing, placement and the call to the upstream.

bool ServiceFlow::RefuseIfQuarantined()
{
  if (JudgePoison(m_gateway.Members().Poison(), m_fingerprint) !=
      PoisonVerdict::Quarantined) {
    return false;
  }
  if (m_hasClaim) {
    EndClaim(OrderState::Released, {});
  }
  RefusalBuilder refusal(ErrorKind::Quarantined,
                         "upstreams died while running this call");
  Refuse(m_wasSent ? refusal.AfterSend().Build() : refusal.Build());
  return true;
}

void ServiceFlow::Enqueue()
{
  if (RefuseIfQuarantined()) {
    return;
  }
  const GatewayOptions& options = m_gateway.Options();
  Instant now = m_gateway.Loop().Now();
  Ticket ticket;
  ticket.m_id = m_id;
  ticket.m_account = m_account;
  ticket.m_weight = m_weight;
  ticket.m_rank = m_call.m_rank;
  ticket.m_service = m_call.m_service;
  ticket.m_fingerprint = m_fingerprint;
  ticket.m_promptTokens = 1;
  ticket.m_arrivedAt = m_arrivedAt;
  ticket.m_placeBy =
    now + (m_call.m_rank == Rank::Urgent ? options.m_urgentPlacementTimeout
                                         : options.m_routinePlacementTimeout);
  ticket.m_excluded = m_excluded;
  auto refusal = m_gateway.Placement().Enqueue(now, std::move(ticket));
  if (refusal) {
    OnRefused(*refusal);
    return;
  }
  m_gateway.SchedulePlacement();
}

void ServiceFlow::OnRefused(const Refusal& aRefusal)
{
  if (m_hasClaim) {
    EndClaim(OrderState::Released, {});
  }
  if (!m_wasSent) {
    Refuse(aRefusal);
    return;
  }
  Refuse(RefusalBuilder(ErrorKind::UpstreamFailed,
                        "the upstream failed and no other had free capacity")
           .AfterSend()
           .Build());
}

void ServiceFlow::OnGrant(const DispatchGrant& aGrant)
{
  m_upstream = aGrant.m_upstream;
  m_incarnation = aGrant.m_incarnation;
  ++m_attempts;
  m_gateway.Decisions().Write(
    m_callerId,
    "route",
    { { "id", m_id.Value() },
      { "upstream", m_upstream.Value() },
      { "score", aGrant.m_score },
      { "candidates", aGrant.m_candidates },
      { "account", m_account.Value() },
      { "rank", std::string(ToString(m_call.m_rank)) },
      { "attempt", m_attempts },
      { "reason", m_hasClaim ? "claimed" : "repeatable" } });
  const UpstreamEntry* entry = m_gateway.Members().Upstreams().Find(m_upstream);
  if (entry == nullptr || entry->m_row.m_incarnation != m_incarnation) {
    RetryUnsent("the upstream is gone");
    return;
  }
  Send(*entry);
}

void ServiceFlow::Send(const UpstreamEntry& aUpstream)
{
  static constexpr const char* kForwarded[] = { "Content-Type", "Accept" };
  HttpRequest request;
  request.m_method = m_call.m_request.m_method;
  request.m_target = m_call.m_request.m_target;
  request.m_sharedBody = m_call.m_request.m_sharedBody;
  request.m_headers = {
    { "Authorization", "Bearer " + m_gateway.Options().m_upstreamKey },
    { "X-Request-Id", m_id.Value() },
    { "X-Caller-Request-Id", m_callerId },
  };
  for (const char* name : kForwarded) {
    std::string_view value = m_call.m_request.Header(name);
    if (!value.empty()) {
      request.m_headers.push_back({ name, std::string(value) });
    }
  }
  if (!m_call.m_idempotencyKey.empty()) {
    request.m_headers.push_back({ "Idempotency-Key", m_call.m_idempotencyKey });
  }
  auto response = std::make_shared<HttpResponse>();
  std::weak_ptr<ServiceFlow> weak = weak_from_this();
  HttpCallEvents events;
  events.m_onSend = [weak] {
    if (auto self = weak.lock()) {
      self->m_wasSent = true;
    }
  };
  events.m_onHead = [response](int aStatus, const HttpHeaders& aHeaders) {
    response->m_status = aStatus;
    response->m_headers = aHeaders;
  };
  events.m_onData = [weak, response](std::string_view aData) {
    response->m_body.append(aData);
    auto self = weak.lock();
    if (self) {
      self->m_writer->SetKeptBytes(response->m_body.size());
    }
    if (response->m_body.size() > kMaxBufferedBody && self &&
        self->m_httpCall) {
      self->m_httpCall->Cancel();
      self->OnCallEnd(absl::ResourceExhaustedError("the response is too large"),
                      {});
    }
  };
  events.m_onEnd = [weak, response](const absl::Status& aStatus) {
    auto self = weak.lock();
    if (self && !self->m_isClosed) {
      self->OnCallEnd(aStatus, std::move(*response));
    }
  };
  m_httpCall = StartHttpCall(m_gateway.Loop(),
                             aUpstream.m_row.m_endpoint,
                             std::move(request),
                             { m_gateway.Options().m_connectTimeout,
                               m_gateway.Options().m_serviceTimeout },
                             std::move(events));
}

void ServiceFlow::RetryUnsent(const std::string& aReason)
{
  Instant now = m_gateway.Loop().Now();
  m_gateway.Placement().Complete(now, m_id, DispatchOutcome::Failed);
  m_gateway.Placement().RecordStall(now, m_upstream);
  m_excluded.insert(m_upstream);
  if (m_attempts < m_gateway.Options().m_maxAttempts) {
    Enqueue();
    return;
  }
  OnRefused(RefusalBuilder(ErrorKind::UpstreamFailed, aReason).Build());
}

void ServiceFlow::OnCallEnd(const absl::Status& aStatus, HttpResponse aResponse)
{
  auto self = shared_from_this();
  m_httpCall.reset();
  bool isDelimited = !aResponse.Header("Content-Length").empty() ||
                     !aResponse.Header("Transfer-Encoding").empty();
  if (aStatus.ok() && !isDelimited) {
    OnUndelimitedResponse(std::move(aResponse));
    return;
  }
  if (aStatus.ok()) {
    OnResponse(std::move(aResponse));
    return;
  }
  m_gateway.Decisions().Write(m_callerId,
                              "attempt_failed",
                              { { "id", m_id.Value() },
                                { "upstream", m_upstream.Value() },
                                { "sent", m_wasSent ? 1 : 0 },
                                { "reason", std::string(aStatus.message()) } });
  if (!m_wasSent) {
    RetryUnsent(std::string(aStatus.message()));
    return;
  }
  m_gateway.CheckUpstream(
    m_upstream, m_incarnation, m_fingerprint, [self](bool) {
      if (!self->m_isClosed) {
        self->OnResponseLost();
      }
    });
}

void ServiceFlow::OnUndelimitedResponse(HttpResponse aResponse)
{
  const UpstreamEntry* entry = m_gateway.Members().Upstreams().Find(m_upstream);
  if (entry == nullptr) {
    OnCallEnd(absl::AbortedError("the response ends, and its upstream is gone"),
              {});
    return;
  }
  ProbeProcess(
    m_gateway.Loop(),
    entry->m_row.m_endpoint,
    [self = shared_from_this(),
     response = std::move(aResponse)](ProbeAnswer aAnswer) {
      if (self->m_isClosed) {
        return;
      }
      const UpstreamEntry* probed =
        self->m_gateway.Members().Upstreams().Find(self->m_upstream);
      bool isSame =
        probed != nullptr && probed->m_row.m_incarnation == self->m_incarnation;
      if (aAnswer == ProbeAnswer::Connected && isSame) {
        self->OnResponse(response);
      } else {
        self->OnCallEnd(
          absl::AbortedError("the response ends with its upstream"), {});
      }
    });
}

void ServiceFlow::OnResponse(HttpResponse aResponse)
{
  auto self = shared_from_this();
  OrderAnswer answer;
  answer.m_status = aResponse.m_status;
  answer.m_contentType = std::string(aResponse.Header("Content-Type"));
  answer.m_body = std::move(aResponse.m_body);
  if (!m_hasClaim || answer.m_body.size() > kMaxRecordedBytes) {
    if (m_hasClaim) {
      EndClaim(OrderState::Unknown, {});
    }
    Respond(answer, false);
    return;
  }
  EndOrder command;
  command.m_key = m_call.m_orderKey;
  command.m_attempt = m_id.Value();
  command.m_state = OrderState::Finished;
  command.m_answer = answer;
  m_gateway.State().Propose(m_gateway.Loop().Now(),
                            command,
                            [self, answer](const CommandResult& aResult) {
                              if (aResult.m_status ==
                                  CommandStatus::Undecided) {
                                self->EndClaim(OrderState::Finished, answer);
                              }
                              if (!self->m_isClosed) {
                                self->Respond(answer, false);
                              }
                            });
}

void ServiceFlow::OnResponseLost()
{
  if (m_hasClaim) {
    EndClaim(OrderState::Unknown, {});
    Refuse(RefusalBuilder(ErrorKind::OutcomeUnknown,
                          "the call was sent and its response is lost")
             .Build());
    return;
  }
  Instant now = m_gateway.Loop().Now();
  m_gateway.Placement().Complete(now, m_id, DispatchOutcome::Failed);
  m_excluded.insert(m_upstream);
  if (m_attempts < m_gateway.Options().m_maxAttempts &&
      m_gateway.Retries().TryTake()) {
    m_gateway.Counters().Add("retries_total");
    Enqueue();
    return;
  }
  Refuse(RefusalBuilder(ErrorKind::UpstreamFailed, "the upstream failed")
           .AfterSend()
           .Build());
}

void ServiceFlow::EndForShutdown()
{
  if (m_isClosed) {
    return;
  }
  if (!m_wasSent) {
    OnRefused(
      RefusalBuilder(ErrorKind::ShuttingDown, "the host is shutting down")
        .Build());
    return;
  }
  if (m_hasClaim) {
    EndClaim(OrderState::Unknown, {});
  }
  Refuse(
    m_hasClaim
      ? RefusalBuilder(ErrorKind::OutcomeUnknown, "the host is shutting down")
          .Build()
      : RefusalBuilder(ErrorKind::UpstreamFailed, "the host is shutting down")
          .AfterSend()
          .Build());
}

// Response to the caller and end of the request.

void ServiceFlow::Respond(const OrderAnswer& aAnswer, bool aIsReplay)
{
  constexpr int kFirstServerError = 500;
  if (!aIsReplay && aAnswer.m_status < kFirstServerError) {
    m_gateway.ClearSuspicion(m_fingerprint);
  }
  HttpResponse response;
  response.m_status = aAnswer.m_status;
  response.m_body = aAnswer.m_body;
  response.m_headers = { { "X-Request-Id", m_callerId } };
  if (!aAnswer.m_contentType.empty()) {
    response.m_headers.push_back({ "Content-Type", aAnswer.m_contentType });
  }
  if (aIsReplay) {
    response.m_headers.push_back({ "Idempotent-Replayed", "true" });
  }
  m_writer->SendResponse(std::move(response));
  Close(DispatchOutcome::Finished, aIsReplay ? "replayed" : "finished");
}

void ServiceFlow::Refuse(const Refusal& aRefusal)
{
  m_gateway.Refuse(*m_writer, aRefusal, m_callerId, m_id);
  Close(DispatchOutcome::Failed, "refused");
}

void ServiceFlow::Close(DispatchOutcome aOutcome, const char* aResult)
{
  if (m_isClosed) {
    return;
  }
  m_isClosed = true;
  auto self = shared_from_this();
  m_timer.Cancel();
  Instant now = m_gateway.Loop().Now();
  if (m_httpCall) {
    m_httpCall->Cancel();
    m_httpCall.reset();
  }
  m_gateway.Decisions().Write(m_callerId,
                              "end",
                              { { "id", m_id.Value() },
                                { "result", aResult },
                                { "attempts", m_attempts },
                                { "ms", ToMilliseconds(now - m_arrivedAt) } });
  m_gateway.ReleaseFlow(m_id, m_account, aOutcome);
}

} // namespace persimmontally
