// Moves of running generations to other engines; see docs/design/platform.md.

#include "ForwardFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

/// Wait before a move is tried again, when no engine had room or the
/// generation had not begun.
static constexpr Duration kMoveRetry = milliseconds(40);
/// Outputs below this end by themselves before a reclaimed engine is gone.
static constexpr uint32_t kLeastTokensToMove = 80;

bool ForwardFlow::CanMove() const
{
  bool isRunning = m_state == State::Streaming;
  bool canMove = IsGeneration() && m_target.m_service->m_engine->m_canMove;
  uint32_t expected = m_request.m_expectedOutputTokens > 0
                        ? m_request.m_expectedOutputTokens
                        : m_request.m_maxOutputTokens;
  return isRunning && canMove && !m_move && expected >= kLeastTokensToMove &&
         m_gateway.Loop().Now() >= m_nextMoveTry;
}

void ForwardFlow::StartMove()
{
  Instant now = m_gateway.Loop().Now();
  m_nextMoveTry = now + kMoveRetry;
  uint32_t made = m_events.Events() * m_gateway.Options().m_tokensPerEvent;
  Ticket ticket = MakeTicket();
  ticket.m_excluded.insert(m_upstream);
  const UpstreamTable& upstreams = m_gateway.Members().Upstreams();
  UpstreamId target =
    m_gateway.Placement().PickTarget(now, upstreams, ticket);
  const UpstreamEntry* entry =
    target.Empty() ? nullptr : upstreams.Find(target);
  if (entry == nullptr || target == m_upstream) {
    return;
  }
  ++m_moves;
  m_moveTarget = target;
  m_moveEndpoint = entry->m_row.m_endpoint;
  m_movePlacedAs = RequestId(m_id.Value() + "~" + std::to_string(m_moves));
  ticket.m_id = m_movePlacedAs;
  m_gateway.Placement().Occupy(now, ticket, target, made);
  m_gateway.Counters().Add("moves_started_total");
  m_move = std::make_shared<GenerationMove>(
    m_gateway,
    m_request.m_id,
    m_upstreamEndpoint,
    m_moveEndpoint,
    [self = shared_from_this()](const GenerationMove::Outcome& aOutcome) {
      self->OnMoveEnd(aOutcome);
    });
  m_move->Start();
}

void ForwardFlow::OnMoveEnd(const GenerationMove::Outcome& aOutcome)
{
  if (m_state == State::Ended) {
    return;
  }
  m_move.reset();
  if (!aOutcome.m_isStopped) {
    AbandonMove();
    if (m_isSourceDone) {
      Interrupt("the engine ended before the generation had moved");
    }
    return;
  }
  m_resume = ResumePoint{ m_upstreamEndpoint, aOutcome.m_handle, "" };
  if (!aOutcome.m_isCopied) {
    // The source holds the memory still: there the generation can go on.
    AbandonMove();
    m_moveTarget = m_upstream;
    m_moveEndpoint = m_upstreamEndpoint;
  }
  if (m_isSourceDone) {
    ResumeElsewhere();
  }
}

void ForwardFlow::ResumeElsewhere()
{
  m_resume->m_lastEventId = m_events.LastId();
  WriteLog(LogLevel::Info,
           "resume",
           { { "request", m_request.m_id },
             { "source", m_upstream.Value() },
             { "target", m_moveTarget.Value() },
             { "last_event", m_events.LastId() } });
  m_gateway.Counters().Add("moves_resumed_total");
  if (!m_movePlacedAs.Empty()) {
    ReleasePlace(DispatchOutcome::Cancelled);
    m_placedAs = std::exchange(m_movePlacedAs, RequestId());
  }
  m_isSourceDone = false;
  m_upstream = m_moveTarget;
  m_upstreamEndpoint = m_moveEndpoint;
  Send(m_upstreamEndpoint, m_resume);
}

void ForwardFlow::AbandonMove()
{
  if (m_move) {
    m_move->Cancel();
    m_move.reset();
  }
  if (!m_movePlacedAs.Empty()) {
    m_gateway.Placement().Complete(m_gateway.Loop().Now(),
                                   std::exchange(m_movePlacedAs, RequestId()),
                                   DispatchOutcome::Cancelled);
  }
}

} // namespace persimmontally
