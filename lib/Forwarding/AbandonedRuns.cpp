#include "AbandonedRuns.h"

#include "persimmontally/Forwarding/ForwardGateway.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

/// Time after which an upstream that is still unreachable is probed less often.
static constexpr Duration kUrgentTime = milliseconds(600);
static constexpr Duration kUrgentPeriod = milliseconds(25);
static constexpr Duration kUrgentTimeout = milliseconds(100);
static constexpr Duration kCalmPeriod = milliseconds(400);
/// Timeouts of the call that stops a run; the engine answers once it has copied
/// the memory of the run.
static constexpr Duration kStopConnectTimeout = milliseconds(400);
static constexpr Duration kStopTimeout = milliseconds(2500);
static constexpr size_t kMaxAnswerBytes = size_t(64) << 10;
/// Runs beyond this are left to end by themselves.
static constexpr size_t kMaxRuns = 1000;

Duration AbandonedProbeTimeout(Duration aSinceAbandoned)
{
  return aSinceAbandoned < kUrgentTime ? kUrgentTimeout : kProcessProbeTimeout;
}

Duration AbandonedProbePeriod(Duration aSinceAbandoned)
{
  return aSinceAbandoned < kUrgentTime ? kUrgentPeriod : kCalmPeriod;
}

AbandonedRuns::AbandonedRuns(ForwardGateway& aGateway)
  : m_gateway(aGateway)
{
}

void AbandonedRuns::Add(AbandonedRun aRun)
{
  if (m_runs >= kMaxRuns) {
    return;
  }
  WriteLog(LogLevel::Info,
           "run_abandoned",
           { { "request", aRun.m_requestId },
             { "upstream", ToString(aRun.m_upstream) } });
  m_gateway.Counters().Add("runs_abandoned_total");
  Instant now = m_gateway.Loop().Now();
  const Endpoint endpoint = aRun.m_upstream;
  Upstream& upstream = m_upstreams[endpoint];
  std::string id = aRun.m_requestId;
  if (upstream.m_runs.emplace(id, Run{ std::move(aRun), now }).second) {
    ++m_runs;
  }
  bool isProbedOften =
    upstream.m_runs.size() > 1 && now - upstream.m_lastAddedAt < kUrgentTime;
  upstream.m_lastAddedAt = now;
  if (!isProbedOften) {
    Probe(endpoint);
  }
}

void AbandonedRuns::Probe(const Endpoint& aUpstream)
{
  auto at = m_upstreams.find(aUpstream);
  if (at == m_upstreams.end()) {
    return;
  }
  Upstream& upstream = at->second;
  Instant now = m_gateway.Loop().Now();
  m_runs -= std::erase_if(upstream.m_runs, [&](const auto& aItem) {
    return now >= aItem.second.m_run.m_until;
  });
  if (upstream.m_runs.empty()) {
    m_upstreams.erase(at);
    return;
  }
  Duration since = now - upstream.m_lastAddedAt;
  upstream.m_probeTimer = m_gateway.Loop().RunAfter(
    AbandonedProbePeriod(since), [this, aUpstream] { Probe(aUpstream); });
  ProbeConnection(m_gateway.Loop(),
                  aUpstream,
                  AbandonedProbeTimeout(since),
                  [this, aUpstream, alive = std::weak_ptr(m_isAlive)](
                    const absl::Status& aStatus) {
                    if (!alive.expired()) {
                      OnProbed(aUpstream, ToProbeAnswer(aStatus));
                    }
                  });
}

void AbandonedRuns::OnProbed(const Endpoint& aUpstream, ProbeAnswer aAnswer)
{
  auto at = m_upstreams.find(aUpstream);
  if (at == m_upstreams.end() || aAnswer == ProbeAnswer::Unanswered) {
    return;
  }
  if (aAnswer == ProbeAnswer::Refused) {
    m_runs -= at->second.m_runs.size();
    m_upstreams.erase(at);
    return;
  }
  for (auto& [id, run] : at->second.m_runs) {
    if (!run.m_isCalling) {
      Stop(run);
    }
  }
}

void AbandonedRuns::Stop(Run& aRun)
{
  aRun.m_isCalling = true;
  const AbandonedRun& run = aRun.m_run;
  StartBufferedHttpCall(
    m_gateway.Loop(),
    run.m_upstream,
    m_gateway.Protocol().EncodeCopyRequest(run.m_requestId, run.m_target, true),
    { kStopConnectTimeout, kStopTimeout },
    [this, run, alive = std::weak_ptr(m_isAlive)](
      const absl::Status& aStatus, const HttpResponse& aResponse) {
      if (!alive.expired()) {
        OnStopAnswered(run, aStatus, aResponse);
      }
    },
    kMaxAnswerBytes);
}

void AbandonedRuns::OnStopAnswered(const AbandonedRun& aRun,
                                   const absl::Status& aStatus,
                                   const HttpResponse& aResponse)
{
  auto at = m_upstreams.find(aRun.m_upstream);
  if (at == m_upstreams.end() ||
      !at->second.m_runs.contains(aRun.m_requestId)) {
    return;
  }
  Run& run = at->second.m_runs.at(aRun.m_requestId);
  run.m_isCalling = false;
  CopyResponse answer;
  if (aStatus.ok()) {
    answer = m_gateway.Protocol().DecodeCopyResponse(aResponse);
  }
  if (answer.m_handle.empty() && !answer.m_hasNoRun) {
    // The run may go on; it is asked again after the next probe.
    return;
  }
  WriteLog(LogLevel::Info,
           "abandoned_run_ended",
           { { "request", aRun.m_requestId },
             { "upstream", ToString(aRun.m_upstream) },
             { "status", aResponse.m_status },
             { "after_ms",
               ToMilliseconds(m_gateway.Loop().Now() - run.m_abandonedAt) } });
  if (!answer.m_handle.empty()) {
    m_gateway.Counters().Add("abandoned_runs_stopped_total");
    // Nothing resumes from the memory of the run. If the call fails, the engine
    // frees the memory itself after a while.
    StartBufferedHttpCall(
      m_gateway.Loop(),
      aRun.m_upstream,
      m_gateway.Protocol().EncodeDropCopy(answer.m_handle),
      { kStopConnectTimeout, seconds(1) },
      [](const absl::Status&, const HttpResponse&) {},
      kMaxAnswerBytes);
  }
  at->second.m_runs.erase(aRun.m_requestId);
  --m_runs;
}

} // namespace persimmontally
