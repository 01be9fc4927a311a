// Runs whose connection has ended while their upstream may be at work on them:
// broken off, or closed by this host after bytes that are no response. Not all
// upstreams stop a run when its connection ends. Such a request resumes
// elsewhere only after its upstream has answered that the run is stopped or
// absent, or cannot be reached.

#include "ForwardFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

static constexpr Duration kStopRetryDelay = milliseconds(40);
/// Calls for one run. A stop without an answer leaves the end unknown.
static constexpr int kMaxStopCalls = 3;
/// Resumptions of one request after which it is broken off instead.
static constexpr int kMaxResumes = 8;

void ForwardFlow::OnClosedHere(const std::string& aReason)
{
  if (!MustEndRunFirst()) {
    OnAttemptFailed(aReason);
    return;
  }
  m_wasHarmless = IsHarmless();
  RecordFailure(false);
  m_closedReason = aReason;
  m_endedAt = m_gateway.Loop().Now();
  StopRun();
}

void ForwardFlow::OnStreamUnreadable(const std::string& aReason)
{
  WriteLog(LogLevel::Warning,
           "stream_unreadable",
           { { "request", m_request.m_id },
             { "upstream", m_upstream.Value() },
             { "events", m_events.Events() },
             { "reason", aReason } });
  m_gateway.Counters().Add("streams_unreadable_total");
  RecordFailure(false);
  m_events.Restart();
  m_closedReason = aReason;
  m_endedAt = m_gateway.Loop().Now();
  m_wasHarmless = IsHarmless();
  m_isPerhapsComplete = false;
  m_isSourceStreamEnded = true;
  m_isSourceBrokenOff = false;
  m_isRunUnknown = true;
  m_state = State::Migrating;
  if (m_liveCopy) {
    // Its last part stops the run.
    return;
  }
  if (m_resume && !m_isCopyUnanswered) {
    ResumeAt(std::exchange(m_rescueCopy, Copy()));
    return;
  }
  m_resume.reset();
  ReleaseCopy(m_rescueCopy);
  StopRun();
}

bool ForwardFlow::CanStopRuns() const
{
  return IsGeneration() && m_target.m_service->m_engine->m_canMigrate;
}

/// Returns another engine of the service, with free memory or not. A call for a
/// copy names one also where it only asks for the run.
ForwardFlow::Copy ForwardFlow::AnyCopyTarget() const
{
  for (const auto& [id, entry] : m_gateway.Members().Upstreams().Rows()) {
    if (entry.m_row.m_service == m_target.m_service->m_name &&
        entry.m_row.m_state == UpstreamState::Serving && id != m_upstream &&
        MayUse(id)) {
      return { id, entry.m_row.m_endpoint, RequestId() };
    }
  }
  return {};
}

/// Asks the upstream to stop the run, by the last part of a copy to the engine
/// of the backup or, without one, to another engine. Ends the request if that
/// is not possible.
void ForwardFlow::StopRun()
{
  m_isRunUnknown = true;
  m_state = State::Migrating;
  bool canStop = CanStopRuns() && m_stopCalls < kMaxStopCalls &&
                 m_resumes < kMaxResumes && TimeLeft() > kMinTimeLeft;
  m_isStopTargetBackup = canStop && HasBackup();
  if (m_isStopTargetBackup) {
    m_rescueCopy = std::exchange(m_backup, Copy());
  } else if (canStop) {
    m_rescueCopy = m_isPerhapsComplete ? Copy() : ReserveRescueCopy();
    if (m_rescueCopy.m_upstream.Empty()) {
      // A call that stops a run, or asks for it, needs no free memory there.
      m_rescueCopy = AnyCopyTarget();
    }
  }
  if (m_rescueCopy.m_upstream.Empty() && m_isPerhapsComplete &&
      m_stopCalls == 0) {
    ProbeRun();
    return;
  }
  if (m_rescueCopy.m_upstream.Empty()) {
    Refuse(RefusalBuilder(ErrorKind::UpstreamFailed, m_closedReason)
             .AfterSend()
             .Build());
    return;
  }
  // A run that may have ended is not stopped by the first call, so that the
  // answer that there is none shows that it has ended by itself.
  bool isQuestion = m_isPerhapsComplete && m_stopCalls == 0;
  ++m_stopCalls;
  WriteLog(LogLevel::Info,
           "stop_run",
           { { "request", m_request.m_id },
             { "upstream", m_upstream.Value() },
             { "target", m_rescueCopy.m_upstream.Value() },
             { "is_backup", m_isStopTargetBackup },
             { "is_question", isQuestion },
             { "reason", m_closedReason } });
  m_gateway.Counters().Add("run_stops_total");
  m_liveCopy = std::make_shared<LiveCopy>(
    m_gateway,
    m_request.m_id,
    m_upstreamEndpoint,
    m_rescueCopy.m_endpoint,
    [] { return true; },
    [self = shared_from_this()](const LiveCopy::Outcome& aOutcome) {
      self->OnStopAnswered(aOutcome);
    });
  isQuestion ? m_liveCopy->Start() : m_liveCopy->StartWithLastPart();
}

void ForwardFlow::RetryStop()
{
  m_stopTimer =
    m_gateway.Loop().RunAfter(kStopRetryDelay, [self = shared_from_this()] {
      if (self->m_state != State::Ended) {
        self->StopRun();
      }
    });
}

void ForwardFlow::OnStopAnswered(const LiveCopy::Outcome& aOutcome)
{
  if (m_state == State::Ended) {
    return;
  }
  m_liveCopy.reset();
  m_lastPartAt = aOutcome.m_lastPartAt;
  if (aOutcome.m_isAnswered && aOutcome.m_isStopped) {
    ResumeStopped(aOutcome);
    return;
  }
  if (m_isStopTargetBackup) {
    m_backup = std::exchange(m_rescueCopy, Copy());
  } else {
    ReleaseCopy(m_rescueCopy);
  }
  if (!aOutcome.m_handle.empty()) {
    // The run went on after its stream had ended.
    m_isPerhapsComplete = false;
  }
  if (aOutcome.m_hasNoRun) {
    OnRunGone();
    return;
  }
  m_mayBeStopped = m_mayBeStopped || (!aOutcome.m_isAnswered &&
                                      aOutcome.m_lastPartAt != Instant());
  if (!aOutcome.m_isAnswered) {
    ProbeRun();
    return;
  }
  RetryStop();
}

/// Resumes a stopped run from its copy, from the backup or at its upstream; one
/// without a response yet begins anew.
void ForwardFlow::ResumeStopped(const LiveCopy::Outcome& aOutcome)
{
  RecordRunEnd();
  if (!m_hasStarted) {
    ReleaseCopy(m_rescueCopy);
    OnAttemptFailed(m_closedReason);
    return;
  }
  m_resume = ResumePoint{ m_upstreamEndpoint, aOutcome.m_handle, "" };
  bool isReserved = !m_rescueCopy.m_ledgerId.Empty();
  if (!aOutcome.m_isCopied && m_isStopTargetBackup) {
    m_resume = ResumePoint{ m_rescueCopy.m_endpoint, m_request.m_id, "" };
  } else if (!aOutcome.m_isCopied || !isReserved) {
    ReleaseCopy(m_rescueCopy);
    m_rescueCopy = { m_upstream, m_upstreamEndpoint, RequestId() };
  }
  ResumeAt(std::exchange(m_rescueCopy, Copy()));
}

/// Continues a request whose upstream states that it does not run it, or passes
/// on the end of its stream if the run has ended by itself.
void ForwardFlow::OnRunGone()
{
  m_mayCrash = false;
  if (m_isPerhapsComplete && !m_mayBeStopped && IsSameProcess() &&
      IsUpToDate()) {
    FinishResolvedStream();
    return;
  }
  RecoverResolvedStream();
}

} // namespace persimmontally
