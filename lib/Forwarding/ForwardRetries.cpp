// Failed attempts of a request, their retries, and its deadline.

#include "ForwardFlow.h"

#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

/// Retry delay suggested to a caller whose request was rejected by an upstream:
/// long enough for this host to receive the update that shows the upstream
/// full.
static constexpr Duration kRetryAfterRejected = milliseconds(100);

void ForwardFlow::RecordFailure(bool aIsGone)
{
  m_gateway.Placement().Local().RecordFailure(
    m_gateway.Loop().Now(), m_upstream, aIsGone);
}

/// Queues the request again, excluding the current upstream. Returns false if
/// the route, the deadline or the retry budget does not allow another attempt.
bool ForwardFlow::TryAgain(const std::string& aReason, bool aNeedsBudget)
{
  const Route& route = *m_target.m_route;
  bool mayRetry =
    !m_wasSent || (IsRepeatable() && m_sends < route.m_maxAttempts);
  bool hasTime = TimeLeft() > kMinTimeLeft;
  RetryBudget& budget = m_gateway.RetryBudgetOf(m_target.m_service->m_name);
  if (!mayRetry || !hasTime ||
      m_connects >= m_gateway.Options().m_maxUpstreamsTried ||
      (aNeedsBudget && !budget.TryTake())) {
    return false;
  }
  WriteLog(LogLevel::Info,
           "retry",
           { { "request", m_request.m_id },
             { "upstream", m_upstream.Value() },
             { "sends", m_sends },
             { "reason", aReason } });
  m_gateway.Counters().Add("retries_total");
  if (m_hasStarted) {
    WriteLog(LogLevel::Info,
             "new_run",
             { { "request", m_request.m_id },
               { "upstream", m_upstream.Value() },
               { "last_event", m_events.LastId() },
               { "reason", aReason } });
    m_gateway.Counters().Add("streams_run_anew_total");
  }
  m_resume.reset();
  m_excluded.insert(m_upstream);
  ReleasePlacement(DispatchOutcome::Failed);
  Enqueue();
  return true;
}

void ForwardFlow::OnConnectFailed(const std::string& aReason)
{
  RecordFailure(false);
  WriteLog(LogLevel::Warning,
           "connect_failed",
           { { "request", m_request.m_id },
             { "upstream", m_upstream.Value() },
             { "reason", aReason } });
  if (!TryAgain("connect", false)) {
    Refuse(RefusalBuilder(ErrorKind::Overloaded, "no upstream is reachable")
             .WithRetryAfter(kRetryAfterRejected)
             .Build());
  }
}

/// Handles a rejection by the upstream: retries at another upstream if allowed,
/// otherwise refuses the request, as not run unless it was sent before.
void ForwardFlow::OnRejected()
{
  m_gateway.Counters().Add("turned_away_total");
  --m_unrejectedSends;
  if (m_head.m_isMisdirected) {
    RecordFailure(true);
  }
  if (m_sends >= m_target.m_route->m_maxAttempts ||
      !TryAgain("rejected by the upstream", true)) {
    m_wasSent = m_sends > 1;
    Refusal refusal =
      RefusalBuilder(ErrorKind::Overloaded, "rejected by the upstream")
        .WithRetryAfter(m_gateway.RetryDelayAfter(
          m_head.m_retryAfter.value_or(Duration(0)), kRetryAfterRejected))
        .Build();
    if (m_wasSent) {
      // An earlier attempt may have run.
      refusal = RefusalBuilder(ErrorKind::UpstreamFailed,
                               "rejected after an earlier attempt")
                  .AfterSend()
                  .Build();
    }
    Refuse(refusal);
  }
}

void ForwardFlow::OnAttemptFailed(const std::string& aReason)
{
  if (m_state == State::Ended) {
    return;
  }
  WriteLog(LogLevel::Warning,
           "attempt_failed",
           { { "request", m_request.m_id },
             { "upstream", m_upstream.Value() },
             { "reason", aReason } });
  if (!TryAgain(aReason, true)) {
    Refuse(
      RefusalBuilder(ErrorKind::UpstreamFailed, aReason).AfterSend().Build());
  }
}

void ForwardFlow::OnDeadline()
{
  if (m_state == State::Ended) {
    return;
  }
  if (m_hasStarted) {
    Interrupt("the deadline of the request has passed");
    return;
  }
  if (m_wasSent) {
    Refuse(RefusalBuilder(ErrorKind::UpstreamTimeout,
                          "no response before the deadline")
             .AfterSend()
             .Build());
    return;
  }
  Refuse(RefusalBuilder(ErrorKind::Overloaded, "not placed before the deadline")
           .Build());
}

} // namespace persimmontally
