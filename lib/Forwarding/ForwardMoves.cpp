// Generations that go on at another engine; see docs/design/platform.md.

#include "ForwardFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>

namespace persimmontally {

/// Wait before a move is tried again, when no engine had room or the
/// generation had not begun.
static constexpr Duration kMoveRetry = milliseconds(40);
/// Time from the first token until the backup has the prompt's memory: a copy
/// takes 0.3 s, and others may be before it on the link.
static constexpr Duration kBackupDelay = milliseconds(700);
/// Part of an engine's memory up to which it takes backups: above it, room for
/// new requests, and for generations whose engine gives notice, is worth more.
/// At 0.65 one day of a site short of memory was worth 0.51, at 0.45 0.57;
/// without backups every crash loses its generations.
static constexpr double kMostUseWithBackup = 0.45;
/// A copy that has to be made may fill an engine: else the work done is lost.
static constexpr double kMostUseWithMove = 1.0;

uint32_t ForwardFlow::TokensSoFar() const
{
  return m_events.Events() * m_gateway.Options().m_tokensPerEvent;
}

uint32_t ForwardFlow::ExpectedTokens() const
{
  uint32_t most = m_request.m_maxOutputTokens;
  uint32_t expected = m_request.m_expectedOutputTokens;
  return expected > 0 ? std::min(expected, most) : most;
}

bool ForwardFlow::HasBackup() const
{
  const UpstreamEntry* entry =
    m_gateway.Members().Upstreams().Find(m_backup.m_upstream);
  return entry != nullptr && entry->m_row.m_state == UpstreamState::Serving;
}

void ForwardFlow::BackUp()
{
  if (IsStream() && IsGeneration() &&
      m_target.m_service->m_engine->m_canBackUp &&
      ExpectedTokens() > TokensSoFar() + kTokensWithinNotice) {
    m_backup = PickCopy(CopyPurpose::Backup, kMostUseWithBackup);
  }
}

/// An engine for a copy of what the present one has.
ForwardFlow::Copy ForwardFlow::PickCopy(CopyPurpose aPurpose, double aMostUse)
{
  Instant now = m_gateway.Loop().Now();
  const UpstreamTable& upstreams = m_gateway.Members().Upstreams();
  const UpstreamEntry* source = upstreams.Find(m_upstream);
  if (source == nullptr) {
    return {};
  }
  Ticket ticket = MakeTicket();
  ticket.m_excluded.insert(m_upstream);
  ticket.m_excluded.insert(m_fullTargets.begin(), m_fullTargets.end());
  UpstreamId target = m_gateway.Placement().Local().PickCopyTarget(
    now, upstreams, ticket, source->m_row, aPurpose, aMostUse);
  const UpstreamEntry* entry =
    target.Empty() ? nullptr : upstreams.Find(target);
  WriteLog(
    LogLevel::Info,
    "copy_target",
    { { "request", m_request.m_id },
      { "purpose", aPurpose == CopyPurpose::Backup ? "backup" : "rescue" },
      { "source", m_upstream.Value() },
      { "target", target.Value() },
      { "most_use", aMostUse },
      { "upstreams_version", upstreams.Version() } });
  if (entry == nullptr) {
    return {};
  }
  ticket.m_id = RequestId(m_id.Value() + "~" + std::to_string(++m_copies));
  m_gateway.Placement().OccupyCopy(now, ticket, target, TokensSoFar());
  return { target, entry->m_row.m_endpoint, ticket.m_id };
}

void ForwardFlow::DropCopy(Copy& aCopy)
{
  if (!aCopy.m_placedAs.Empty()) {
    m_gateway.Placement().Complete(
      m_gateway.Loop().Now(), aCopy.m_placedAs, DispatchOutcome::Cancelled);
  }
  aCopy = Copy();
}

bool ForwardFlow::CanMove() const
{
  bool canMove = IsGeneration() && m_target.m_service->m_engine->m_canMove;
  bool isLong = OutlastsNotice({ m_request.m_expectedOutputTokens,
                                 m_request.m_maxOutputTokens,
                                 TokensSoFar() });
  bool isMoving = m_move || m_resume;
  return m_state == State::Streaming && (canMove || HasBackup()) && !isMoving &&
         isLong && (!HasBackup() || IsBackupSettled()) &&
         m_gateway.Loop().Now() >= m_nextMoveTry;
}

bool ForwardFlow::IsBackupSettled() const
{
  return HasBackup() && m_engineBeganAt != Instant() &&
         m_gateway.Loop().Now() >= m_engineBeganAt + kBackupDelay;
}

void ForwardFlow::LeaveUpstream()
{
  if (HasBackup()) {
    SwitchToBackup("the engine leaves");
  } else {
    StartMove();
  }
}

// By the backup.

void ForwardFlow::SwitchToBackup(const std::string& aReason)
{
  if (m_call) {
    // The engine drops a request whose connection closes.
    m_call->Cancel();
    m_call.reset();
  }
  m_events.Restart();
  WriteLog(LogLevel::Info,
           "switch_to_backup",
           { { "request", m_request.m_id }, { "reason", aReason } });
  m_resume = ResumePoint{ m_backup.m_endpoint, m_request.m_id, "" };
  ResumeAt(std::exchange(m_backup, Copy()));
}

// By a copy that is made when the engine leaves.

void ForwardFlow::StartMove()
{
  m_nextMoveTry = m_gateway.Loop().Now() + kMoveRetry;
  DropCopy(m_backup);
  m_moveCopy = PickCopy(CopyPurpose::Rescue, kMostUseWithMove);
  if (m_moveCopy.m_upstream.Empty()) {
    // Those that had no room may have some by now.
    m_fullTargets.clear();
    return;
  }
  m_gateway.Counters().Add("moves_started_total");
  m_move = std::make_shared<GenerationMove>(
    m_gateway,
    m_request.m_id,
    m_upstreamEndpoint,
    m_moveCopy.m_endpoint,
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
    m_fullTargets.insert(m_moveCopy.m_upstream);
    DropCopy(m_moveCopy);
    if (m_isSourceDone) {
      Interrupt("the engine ended before the generation had moved");
    }
    return;
  }
  m_resume = ResumePoint{ m_upstreamEndpoint, aOutcome.m_handle, "" };
  if (!aOutcome.m_isCopied) {
    // The source holds the memory still: there the generation can go on.
    DropCopy(m_moveCopy);
    m_moveCopy = { m_upstream, m_upstreamEndpoint, RequestId() };
  }
  if (m_isSourceDone) {
    ResumeAt(std::exchange(m_moveCopy, Copy()));
  }
}

/// Goes on with the generation at the engine that holds its memory.
void ForwardFlow::ResumeAt(Copy aCopy)
{
  m_resume->m_lastEventId = m_events.LastId();
  m_isSourceDone = false;
  m_state = State::Moving;
  ++m_moves;
  WriteLog(LogLevel::Info,
           "resume",
           { { "request", m_request.m_id },
             { "source", m_upstream.Value() },
             { "target", aCopy.m_upstream.Value() },
             { "last_event", m_events.LastId() } });
  m_gateway.Counters().Add("moves_resumed_total");
  if (!aCopy.m_placedAs.Empty()) {
    m_gateway.Placement().Complete(
      m_gateway.Loop().Now(), m_placedAs, DispatchOutcome::Cancelled);
    m_gateway.Placement().UseCopy(aCopy.m_placedAs);
    m_placedAs = aCopy.m_placedAs;
  }
  m_engineBeganAt = Instant();
  m_upstream = aCopy.m_upstream;
  m_upstreamEndpoint = aCopy.m_endpoint;
  BackUp();
  Send(m_upstreamEndpoint, m_resume);
}

void ForwardFlow::AbandonMove()
{
  if (m_move) {
    m_move->Cancel();
    m_move.reset();
  }
  DropCopy(m_moveCopy);
}

} // namespace persimmontally
