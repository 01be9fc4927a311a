// Streams that go on in a new run, after the event that their caller received
// last; see docs/design/resumable-streams.md.

#include "CrashWatch.h"
#include "ForwardFlow.h"

#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>

namespace persimmontally {

bool ForwardFlow::IsResumable() const
{
  return IsStream() && m_target.m_route->m_terms.m_isResumable;
}

bool ForwardFlow::IsRepeatable() const
{
  return m_target.m_route->m_repeatability == Repeatability::Idempotent ||
         (IsResumable() && m_events.HasKnownPlace());
}

/// Lets the stream of a caller that has returned begin after the event that it
/// received last. Returns false, having refused the request, if the id of that
/// event cannot be one of a stream.
bool ForwardFlow::StartAfterCallersEvent()
{
  if (!IsResumable() || m_request.m_lastEventId.empty()) {
    return true;
  }
  auto last = ParseNumericEventId(m_request.m_lastEventId);
  if (!last) {
    Refuse(RefusalBuilder(ErrorKind::MalformedRequest,
                          "the id of the last event is not an integer")
             .Build());
    return false;
  }
  m_events.StartAfter(*last);
  uint32_t mostEvents =
    m_request.m_maxOutputTokens / m_gateway.Options().m_tokensPerEvent;
  m_eventsBefore = static_cast<uint32_t>(std::min<uint64_t>(*last, mostEvents));
  WriteLog(LogLevel::Info,
           "resumed_by_caller",
           { { "request", m_request.m_id }, { "last_event", *last } });
  m_gateway.Counters().Add("streams_resumed_by_caller_total");
  return true;
}

/// Whether there is no evidence that the request crashes its upstreams. One
/// that breaks off as announced is none.
bool ForwardFlow::IsHarmless() const
{
  const CrashWatch& crashes = m_gateway.Crashes();
  bool isExpected = IsEndAnnounced() && m_arePartsSound;
  return isExpected || (!m_mayCrash && !crashes.IsSuspect(m_crashKeys) &&
                        (m_arePartsSound || crashes.MayResume(m_crashKeys)));
}

/// Continues a stream whose run has ended at its upstream, or interrupts it.
/// `aWasHarmless` tells what was known before that, and `aHasSurvived` that the
/// upstream has not died with it.
void ForwardFlow::RecoverStream(const std::string& aReason,
                                bool aWasHarmless,
                                bool aHasSurvived)
{
  BrokenStream stream;
  stream.m_hasBackup = HasBackup();
  stream.m_isRepeatable = IsRepeatable();
  stream.m_sends = m_sends;
  stream.m_maxAttempts = m_target.m_route->m_maxAttempts;
  stream.m_timeLeft = TimeLeft();
  stream.m_isHarmless = aWasHarmless;
  stream.m_hasSurvived = aHasSurvived;
  switch (DecideRecovery(stream)) {
    case StreamRecovery::Backup:
      SwitchToBackup(aReason);
      return;
    case StreamRecovery::NewRun:
      StartNewRun(aReason);
      return;
    case StreamRecovery::None:
      Interrupt(aReason);
      return;
  }
}

void ForwardFlow::StartNewRun(const std::string& aReason)
{
  m_events.Restart();
  m_isPerhapsComplete = false;
  m_isSourceStreamEnded = false;
  m_brokenOffAt = m_gateway.Loop().Now();
  if (!TryAgain(aReason, true)) {
    Interrupt(aReason);
  }
}

/// Handles a resumable stream that its upstream has broken off before the head:
/// it is sent again once that run has ended, unless it may have crashed the
/// upstream.
void ForwardFlow::RepeatAfterProbe(const std::string& aReason)
{
  m_wasHarmless = IsHarmless();
  m_closedReason = aReason;
  m_isPerhapsComplete = false;
  m_endedAt = m_gateway.Loop().Now();
  ProbeRun();
}

} // namespace persimmontally
