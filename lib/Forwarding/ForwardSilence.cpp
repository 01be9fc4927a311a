// Streams whose upstream has fallen silent; see
// docs/design/resumable-streams.md.

#include "ForwardFlow.h"

#include "persimmontally/Forwarding/ForwardGateway.h"
#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/ConnectProbe.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>

namespace persimmontally {

static constexpr Duration kSilenceReviewPeriod = milliseconds(100);

std::optional<StreamPace> ForwardFlow::Pace() const
{
  // A stream that is not read says nothing about its upstream.
  if (m_state != State::Streaming || !m_call || m_isPaused ||
      m_events.Events() == 0) {
    return std::nullopt;
  }
  return StreamPace{ m_upstream,
                     std::max(m_lastEventAt, m_sentAt),
                     std::max(m_longestPause,
                              m_target.m_route->m_timeBetweenTokensObjective) };
}

/// Breaks off a stream whose upstream has ended without a sign, or can no
/// longer be reached. In the second case only if it can go on elsewhere, and
/// the run that is left behind can be stopped later: it may still be heard.
void ForwardFlow::OnUpstreamSilent(SilenceVerdict aVerdict, ProbeAnswer aAnswer)
{
  bool canGoOn = (HasBackup() && IsHarmless()) ||
                 (IsRepeatable() && m_sends < m_target.m_route->m_maxAttempts);
  bool canLeave = canGoOn && (CanStopRuns() || !IsGeneration());
  if (!Pace() || (aVerdict == SilenceVerdict::Unreachable && !canLeave)) {
    return;
  }
  std::exchange(m_call, nullptr)->Cancel();
  bool isMigrating = m_liveCopy || m_resume;
  if (isMigrating || aAnswer != ProbeAnswer::Unanswered) {
    OnStreamEnd(absl::AbortedError("the upstream has fallen silent"));
    return;
  }
  // It need not be probed once more.
  m_closedReason = "the upstream has fallen silent";
  m_wasHarmless = IsHarmless();
  m_isPerhapsComplete = false;
  m_endedAt = m_gateway.Loop().Now();
  m_events.Restart();
  RecordFailure(false);
  OnRunProbed(aAnswer);
}

void ForwardGateway::RecordHeard(const UpstreamId& aUpstream)
{
  m_silence->RecordHeard(m_loop.Now(), aUpstream);
}

void ForwardGateway::ReviewSilence()
{
  Instant now = m_loop.Now();
  if (now < m_nextSilenceReviewAt) {
    return;
  }
  m_nextSilenceReviewAt = now + kSilenceReviewPeriod;
  std::vector<StreamPace> streams;
  for (const auto& [id, flow] : m_flows) {
    if (auto pace = flow->Pace()) {
      streams.push_back(*pace);
    }
  }
  for (const UpstreamId& id : m_silence->Review(now, streams)) {
    auto onProbed = [this, id, alive = std::weak_ptr(m_isAlive)](
                      const absl::Status& aStatus) {
      if (!alive.expired()) {
        OnSilenceProbed(id, aStatus);
      }
    };
    m_metrics.Add("silence_probes_total");
    ProbeConnection(m_loop,
                    EndpointOfStreamsAt(id),
                    SilenceWatch::kProbeTimeout,
                    std::move(onProbed));
  }
}

Endpoint ForwardGateway::EndpointOfStreamsAt(const UpstreamId& aUpstream) const
{
  for (const auto& [id, flow] : m_flows) {
    if (flow->Upstream() == aUpstream && flow->Pace()) {
      return flow->UpstreamEndpoint();
    }
  }
  return {};
}

void ForwardGateway::OnSilenceProbed(const UpstreamId& aUpstream,
                                     const absl::Status& aStatus)
{
  ProbeAnswer answer = ToProbeAnswer(aStatus);
  SilenceVerdict verdict =
    m_silence->RecordProbe(m_loop.Now(), aUpstream, answer);
  if (verdict == SilenceVerdict::None) {
    return;
  }
  WriteLog(LogLevel::Warning,
           "upstream_silent",
           { { "upstream", aUpstream.Value() },
             { "probe", std::string(aStatus.message()) },
             { "is_ended", verdict == SilenceVerdict::Ended } });
  m_metrics.Add("silent_upstreams_total");
  for (const auto& flow : OpenFlows()) {
    if (flow->Upstream() == aUpstream) {
      flow->OnUpstreamSilent(verdict, answer);
    }
  }
}

} // namespace persimmontally
