// Failed calls of a completion to its upstream: resumption, retry, interruption
// or refusal.

#include "CompletionFlow.h"

#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

static constexpr int kMaxResumes = 3;
static constexpr Duration kResumeDelay = milliseconds(100);

void CompletionFlow::OnCallEnd(const absl::Status& aStatus)
{
  if (m_isClosed) {
    return;
  }
  if (aStatus.code() == absl::StatusCode::kDeadlineExceeded) {
    m_gateway.Placement().RecordStall(m_gateway.Loop().Now(), m_upstream);
  }
  OnAttemptFailed(aStatus.ok() ? "the upstream ended the response early"
                               : std::string(aStatus.message()));
}

void CompletionFlow::OnAttemptFailed(const std::string& aReason)
{
  auto self = shared_from_this();
  m_call.reset();
  m_gateway.Counters().Add("attempts_failed_total");
  m_gateway.Decisions().Write(m_callerId,
                              "attempt_failed",
                              { { "id", m_id.Value() },
                                { "upstream", m_upstream.Value() },
                                { "tokens", m_nextEventIndex },
                                { "reason", aReason } });
  uint64_t fingerprint =
    m_state == AttemptState::Sent ? m_request.m_fingerprint : 0;
  m_gateway.CheckUpstream(m_upstream,
                          m_incarnation,
                          fingerprint,
                          [weak = weak_from_this()](bool aIsDead) {
                            auto flow = weak.lock();
                            if (flow && !flow->m_isClosed) {
                              flow->DecideAfterFailure(aIsDead);
                            }
                          });
}

void CompletionFlow::DecideAfterFailure(bool aUpstreamDied)
{
  bool canResume = !aUpstreamDied && m_state == AttemptState::Sent &&
                   m_nextEventIndex > 0 && m_resumes < kMaxResumes;
  if (canResume) {
    ++m_resumes;
    m_gateway.Decisions().Write(m_callerId,
                                "resume",
                                { { "id", m_id.Value() },
                                  { "upstream", m_upstream.Value() },
                                  { "from", m_nextEventIndex } });
    m_timer =
      m_gateway.Loop().RunAfter(kResumeDelay, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (self && !self->m_isClosed) {
          self->StartCall(true);
        }
      });
    return;
  }
  if (HasDelivered()) {
    Interrupt(aUpstreamDied ? "the upstream died" : "the upstream failed");
    return;
  }
  Retry(aUpstreamDied ? "the upstream died" : "the upstream failed",
        aUpstreamDied);
}

/// Starts the next attempt once the cancellation of the last one has been
/// answered or given up, so that the generation does not run at two upstreams.
void CompletionFlow::Retry(const std::string& aReason, bool aUpstreamDied)
{
  Instant now = m_gateway.Loop().Now();
  m_gateway.Placement().Complete(now, m_id, DispatchOutcome::Failed);
  m_excluded.insert(m_upstream);
  bool allowed = m_attempts < m_gateway.Options().m_maxAttempts &&
                 m_gateway.Retries().TryTake();
  if (!allowed) {
    CancelUpstream();
    RefusalBuilder refusal(ErrorKind::UpstreamFailed, aReason);
    Refuse(m_wasSent ? refusal.AfterSend().Build() : refusal.Build());
    return;
  }
  m_gateway.Counters().Add("retries_total");
  if (aUpstreamDied) {
    CancelUpstream();
    RetryLater();
    return;
  }
  CancelUpstream([weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && !self->m_isClosed) {
      self->RetryLater();
    }
  });
}

void CompletionFlow::RetryLater()
{
  m_state = AttemptState::Queued;
  m_timer = m_gateway.Loop().RunAfter(m_gateway.Retries().Delay(m_attempts),
                                      [weak = weak_from_this()] {
                                        auto self = weak.lock();
                                        if (self && !self->m_isClosed) {
                                          self->Enqueue();
                                        }
                                      });
}

/// Ends a stream that cannot be resumed with an error event and without
/// `[DONE]`.
void CompletionFlow::Interrupt(const std::string& aReason)
{
  Refusal refusal = RefusalBuilder(ErrorKind::Interrupted, aReason).Build();
  m_writer->Write("event: error\ndata: " + RefusalBody(refusal, m_callerId) +
                  "\n\n");
  m_writer->Finish();
  CancelUpstream();
  Close(DispatchOutcome::Failed, "interrupted");
}

void CompletionFlow::Refuse(const Refusal& aRefusal)
{
  m_gateway.Refuse(*m_writer, aRefusal, m_callerId, m_id);
  Close(DispatchOutcome::Failed, "refused");
}

void CompletionFlow::EndForShutdown()
{
  if (m_isClosed) {
    return;
  }
  if (HasDelivered()) {
    Interrupt("the host is shutting down");
    return;
  }
  CancelUpstream();
  Refuse(
    m_wasSent
      ? RefusalBuilder(ErrorKind::UpstreamFailed, "the host is shutting down")
          .AfterSend()
          .Build()
      : RefusalBuilder(ErrorKind::ShuttingDown, "the host is shutting down")
          .Build());
}

} // namespace persimmontally
