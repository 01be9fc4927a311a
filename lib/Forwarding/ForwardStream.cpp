// Forwarding of streamed events to the caller.

#include "ForwardFlow.h"

#include "CrashWatch.h"

#include "persimmontally/Net/ConnectProbe.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>
#include <array>

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
  bool isMigrating = m_liveCopy || m_resume;
  bool isLeaving = IsEndAnnounced();
  // It also ends like a complete one if its engine stops it for a migration,
  // or is reclaimed.
  m_isPerhapsComplete = aStatus.ok() && !isBrokenOff &&
                        m_head.m_endsWithConnection &&
                        (isMigrating || (isLeaving && HasBackup()));
  if (aStatus.ok() && !isBrokenOff && !m_isPerhapsComplete) {
    if (!MayBeCutShort()) {
      FinishStream();
      return;
    }
    m_state = State::Migrating;
    ProbeEnd(
      [self = shared_from_this(), wasHarmless = IsHarmless()](bool aIsDead) {
        self->OnStreamEndProbed(aIsDead, wasHarmless);
      });
    return;
  }
  std::string reason(isBrokenOff    ? "the stream ends inside an event"
                     : aStatus.ok() ? "the stream ends with its engine"
                                    : aStatus.message());
  m_events.Restart();
  if (isMigrating) {
    // An engine closes the stream when it stops a generation for a migration.
    m_isSourceStreamEnded = true;
    m_isSourceBrokenOff = isBrokenOff || absl::IsAborted(aStatus);
    m_state = State::Migrating;
    if (m_resume) {
      m_isPerhapsComplete = false;
      ReportDeathDuringMigration();
      ResumeAt(std::exchange(m_rescueCopy, Copy()));
    }
    return;
  }
  RecordFailure(false);
  bool wasHarmless = IsHarmless();
  // The announced end of an engine is no sign that a request crashes engines.
  bool isExpected = isLeaving && m_arePartsSound;
  bool isProbed = !isExpected && (isBrokenOff || absl::IsAborted(aStatus));
  if (isProbed) {
    m_mayCrash = true;
    ReportBrokenOff([self = shared_from_this()](bool aIsDead) {
      self->OnStreamProbed(aIsDead);
    });
  }
  RecoverStream(reason, wasHarmless, isProbed);
}

// Responses that end with their connection.

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

void ForwardFlow::ProbeEnd(std::function<void(bool)> aOnProbed)
{
  m_gateway.Counters().Add("response_ends_probed_total");
  if (!IsEndAnnounced()) {
    ReportBrokenOff(std::move(aOnProbed));
    return;
  }
  ProbeConnection(
    m_gateway.Loop(),
    m_upstreamEndpoint,
    kProcessProbeTimeout,
    [onProbed = std::move(aOnProbed)](const absl::Status& aStatus) {
      onProbed(absl::IsUnavailable(aStatus));
    });
}

void ForwardFlow::OnStreamEndProbed(bool aIsDead, bool aWasHarmless)
{
  if (m_state == State::Ended) {
    return;
  }
  if (!aIsDead) {
    FinishStream();
    return;
  }
  m_mayCrash = true;
  RecordFailure(false);
  m_events.Restart();
  RecoverStream("the stream ends with its engine", aWasHarmless, false);
}

} // namespace persimmontally
