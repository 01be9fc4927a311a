// Forwarding of streamed events to the caller.

#include "ForwardFlow.h"

#include "CrashWatch.h"

#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>

namespace persimmontally {

void ForwardFlow::ForwardEvents(std::string_view aData)
{
  Instant now = m_gateway.Loop().Now();
  uint32_t before = m_events.Events();
  std::string whole = m_events.Feed(aData);
  bool isOneEvent = m_events.Events() == before + 1;
  if (m_events.HasFailed() || m_events.HasGap()) {
    m_call->Cancel();
    Interrupt(m_events.HasGap() ? "a gap in the event ids"
                                : "an event is too long");
    return;
  }
  if (whole.empty()) {
    return;
  }
  if (m_firstEventAt == Instant()) {
    m_firstEventAt = now;
    m_gateway.Counters().Record("first_token_seconds", now - m_arrivedAt);
  } else {
    m_gateway.Counters().Record("token_gap_seconds", now - m_lastEventAt);
    if (isOneEvent && m_isPaceMeasured) {
      m_gateway.Placement().Local().Paces().RecordPause(
        m_upstream, m_upstreamIncarnation, now - m_lastEventAt);
    }
    if (now - m_lastEventAt > m_longestPause) {
      m_longestPause = now - m_lastEventAt;
      m_eventsBeforeLongestPause = m_events.Events();
    }
  }
  m_lastEventAt = now;
  m_isPaceMeasured = true;
  if (m_events.Events() >= CrashEvidence::kSoundEvents) {
    ReportSoundParts();
  }
  ReportProgress();
  m_writer->Write(whole);
  PauseUpstreamIfCallerIsSlow();
}

void ForwardFlow::ReportProgress()
{
  Instant now = m_gateway.Loop().Now();
  m_gateway.Placement().Progress(now, m_ledgerId, TokensSoFar());
  if (!m_backup.m_ledgerId.Empty()) {
    m_gateway.Placement().Progress(now, m_backup.m_ledgerId, TokensSoFar());
  }
}

void ForwardFlow::PauseUpstreamIfCallerIsSlow()
{
  bool isFull =
    m_writer->BufferedBytes() > m_gateway.Options().m_streamBufferBytes;
  if (!isFull || m_isPaused || !m_call) {
    return;
  }
  m_isPaused = true;
  m_isPaceMeasured = false;
  m_call->Pause();
  m_writer->OnDrained([self = shared_from_this()] {
    self->m_isPaused = false;
    if (self->m_call) {
      self->m_call->Resume();
    }
  });
}

void ForwardFlow::FinishStream()
{
  if (m_events.IsBehind()) {
    Interrupt("the run ends before the last event of an earlier one");
    return;
  }
  m_gateway.Crashes().OnSound(m_crashKeys);
  m_writer->Write(m_events.Remainder());
  m_writer->Finish();
  Close(DispatchOutcome::Finished, "finished");
}

void ForwardFlow::OnStreamEnd(const absl::Status& aStatus)
{
  if (absl::IsDataLoss(aStatus)) {
    OnStreamUnreadable(std::string(aStatus.message()));
    return;
  }
  // A response with neither a length nor chunks ends in this way if its engine
  // crashes.
  bool isBrokenOff = m_events.IsInsideEvent();
  m_isPerhapsComplete = aStatus.ok() && !isBrokenOff && MayBeCutShort();
  if (aStatus.ok() && !isBrokenOff && !m_isPerhapsComplete) {
    FinishStream();
    return;
  }
  m_closedReason = isBrokenOff    ? "the stream ends inside an event"
                   : aStatus.ok() ? "the stream ends with its engine"
                                  : std::string(aStatus.message());
  m_endedAt = m_gateway.Loop().Now();
  m_wasHarmless = IsHarmless();
  if (m_liveCopy || m_resume) {
    // An engine closes the stream when it stops a generation for a migration.
    m_isSourceStreamEnded = true;
    m_isSourceBrokenOff = isBrokenOff || absl::IsAborted(aStatus);
    m_state = State::Migrating;
    if (m_resume) {
      ReportDeathDuringMigration();
      ResumeAt(std::exchange(m_rescueCopy, Copy()));
    }
    return;
  }
  if (m_isPerhapsComplete) {
    ResolveStreamEnd();
    return;
  }
  m_events.Restart();
  RecordFailure(false);
  ProbeRun();
}

} // namespace persimmontally
