// Ends of connections that do not show what has become of the run. A response
// with neither a length nor chunks ends in the same way if it is complete, if
// its upstream has died and if that has stopped the run; and not all upstreams
// stop a run whose connection is broken off.

#include "AbandonedRuns.h"
#include "ForwardFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>
#include <array>

namespace persimmontally {

bool ForwardFlow::MayBeCutShort() const
{
  constexpr std::array kBodiless = { 204, 304 };
  bool hasBody =
    m_request.m_http.m_method != "HEAD" &&
    std::count(kBodiless.begin(), kBodiless.end(), m_head.m_status) == 0;
  uint32_t most = m_request.m_maxOutputTokens;
  bool hasAllTokens =
    m_state == State::Streaming && most > 0 && TokensSoFar() >= most;
  return m_head.m_endsWithConnection && m_head.m_isGenuine && hasBody &&
         !hasAllTokens;
}

/// Whether the process that has the address of the upstream now is the one that
/// the request was sent to, as far as this host knows.
bool ForwardFlow::IsSameProcess() const
{
  const UpstreamTable& upstreams = m_gateway.Members().Upstreams();
  const UpstreamEntry* entry = upstreams.Find(m_upstream);
  bool isRestarted =
    entry != nullptr && entry->m_row.m_incarnation != m_upstreamIncarnation;
  return !isRestarted &&
         std::none_of(upstreams.Rows().begin(),
                      upstreams.Rows().end(),
                      [&](const auto& aItem) {
                        const UpstreamRow& row = aItem.second.m_row;
                        return row.m_endpoint == m_upstreamEndpoint &&
                               row.m_id != m_upstream &&
                               row.m_state != UpstreamState::Gone;
                      });
}

/// Whether this host knows of all processes that may have taken the place of
/// the upstream before its answer: one that has stood still since the last
/// event may not have read their announcements yet.
bool ForwardFlow::IsUpToDate() const
{
  return !m_gateway.Loop().HasStoodStill(std::max(m_lastEventAt, m_sentAt));
}

void ForwardFlow::ProbeUpstream(std::function<void(ProbeAnswer)> aOnProbed)
{
  m_gateway.Counters().Add("response_ends_probed_total");
  auto onAnswer = [self = shared_from_this(),
                   onProbed = std::move(aOnProbed)](ProbeAnswer aAnswer) {
    bool isAnother =
      aAnswer == ProbeAnswer::Connected && !self->IsSameProcess();
    onProbed(isAnother ? ProbeAnswer::Refused : aAnswer);
  };
  // The announced end of an engine is no sign that a request crashes engines.
  bool isExpected =
    IsEndAnnounced() && (m_arePartsSound || m_head.m_endsWithConnection);
  if (isExpected) {
    ProbeProcess(m_gateway.Loop(), m_upstreamEndpoint, std::move(onAnswer));
  } else {
    ReportBrokenOff(std::move(onAnswer));
  }
}

void ForwardFlow::RecordResponseEnd(const char* aResult, Instant aEndedAt)
{
  Metrics& metrics = m_gateway.Counters();
  metrics.Add(std::string("undelimited_responses_total{result=\"") + aResult +
              "\"}");
  metrics.Record("undelimited_response_wait_seconds",
                 m_gateway.Loop().Now() - aEndedAt);
}

// Responses that are forwarded as a whole.

void ForwardFlow::ResolveResponseEnd()
{
  ProbeUpstream([self = shared_from_this(),
                 endedAt = m_gateway.Loop().Now()](ProbeAnswer aAnswer) {
    if (self->m_state == State::Ended) {
      return;
    }
    bool isComplete = aAnswer == ProbeAnswer::Connected && self->IsUpToDate();
    self->RecordResponseEnd(isComplete ? "complete" : "cut_short", endedAt);
    if (isComplete) {
      self->OnResponseEnd();
      return;
    }
    self->RecordFailure(false);
    self->OnAttemptFailed("the response ends with its upstream");
  });
}

// Streams.

/// Finds out whether a stream is complete: asks the engine for the run or, if
/// its runs cannot be asked for, whether it lives.
void ForwardFlow::ResolveStreamEnd()
{
  if (CanStopRuns()) {
    StopRun();
  } else {
    ProbeRun();
  }
}

/// Finds out whether the run of a broken stream has ended. An engine that has
/// died, which is the most frequent reason, refuses the probe at once.
void ForwardFlow::ProbeRun()
{
  if (m_state == State::Streaming) {
    m_state = State::Migrating;
  }
  ProbeUpstream([self = shared_from_this()](ProbeAnswer aAnswer) {
    if (self->m_state != State::Ended) {
      self->OnRunProbed(aAnswer);
    }
  });
}

void ForwardFlow::OnRunProbed(ProbeAnswer aAnswer)
{
  bool isAlive = aAnswer == ProbeAnswer::Connected;
  bool isAsked = m_stopCalls > 0;
  if (isAlive && m_isPerhapsComplete && !isAsked) {
    // Its runs cannot be asked for, or there is no other engine to name.
    if (IsUpToDate()) {
      FinishResolvedStream();
    } else {
      RecoverResolvedStream();
    }
    return;
  }
  if (isAlive && CanStopRuns()) {
    if (isAsked) {
      RetryStop();
    } else {
      StopRun();
    }
    return;
  }
  if (isAlive && IsGeneration() && HasBegun()) {
    Interrupt("the run may go on at its engine");
    return;
  }
  m_mayCrash = aAnswer == ProbeAnswer::Refused;
  if (m_isPerhapsComplete) {
    RecordFailure(false);
  }
  if (aAnswer == ProbeAnswer::Unanswered) {
    AbandonRun();
  }
  RecoverResolvedStream();
}

/// Passes on the end of a stream that is known to be complete.
void ForwardFlow::FinishResolvedStream()
{
  RecordResponseEnd("complete", m_endedAt);
  FinishStream();
}

/// Continues a request whose run has ended, or can no longer be reached, or
/// breaks it off.
void ForwardFlow::RecoverResolvedStream()
{
  if (m_isPerhapsComplete) {
    RecordResponseEnd("cut_short", m_endedAt);
  } else {
    RecordRunEnd();
  }
  if (HasBegun()) {
    RecoverStream(m_closedReason, m_wasHarmless, !m_mayCrash);
    return;
  }
  if (m_mayCrash && !m_wasHarmless) {
    Refuse(RefusalBuilder(ErrorKind::UpstreamFailed, m_closedReason)
             .AfterSend()
             .Build());
    return;
  }
  OnAttemptFailed(m_closedReason);
}

void ForwardFlow::RecordRunEnd()
{
  m_gateway.Counters().Record("run_end_wait_seconds",
                              m_gateway.Loop().Now() - m_endedAt);
}

/// Leaves a run behind at an upstream that cannot be reached. It is stopped
/// once the upstream can be reached again; the request does not return there.
void ForwardFlow::AbandonRun()
{
  m_excluded.insert(m_upstream);
  Copy target = HasBackup() ? m_backup : AnyCopyTarget();
  if (CanStopRuns() && !target.m_upstream.Empty()) {
    m_gateway.Abandoned().Add(
      { m_request.m_id, m_upstreamEndpoint, target.m_endpoint, m_deadline });
  }
}

} // namespace persimmontally
