// Migration of generations to another engine, by a backup or a rescue copy; see
// docs/design/platform.md.

#include "ForwardFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>

namespace persimmontally {

/// Delay before a migration is retried, if no engine had free memory or the
/// generation had not yet started at the source.
static constexpr Duration kMigrationRetryDelay = milliseconds(40);
/// Time from the request for the last part of a copy within which a generation
/// still resumes at a target that has begun to leave meanwhile. Engines that
/// leave take requests for longer than that.
static constexpr Duration kResumeAtLeaving = seconds(1);
/// Engines are reclaimed a second or more after their notice.
static constexpr Duration kShortestNotice = milliseconds(500);
/// Fraction of an engine's memory in use above which it is not chosen for a
/// backup. Above it, free memory is more valuable for new requests and for
/// rescue copies of generations whose engine is being reclaimed. Without
/// backups, a crash of an engine loses all of its generations.
static constexpr double kMaxUseForBackup = 0.45;
/// The same fraction for a rescue copy, which may fill an engine: without the
/// copy, the output generated so far is lost.
static constexpr double kMaxUseForRescue = 1.0;

uint32_t ForwardFlow::TokensSoFar() const
{
  return (m_eventsBefore + m_events.Events()) *
         m_gateway.Options().m_tokensPerEvent;
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
  return entry != nullptr && entry->m_row.m_state == UpstreamState::Serving &&
         MayUse(m_backup.m_upstream);
}

void ForwardFlow::AssignBackup()
{
  if (IsStream() && IsGeneration() &&
      m_target.m_service->m_engine->m_canBackUp &&
      ExpectedTokens() > TokensSoFar() + kTokensPerNotice) {
    m_backup = ReserveCopy(CopyPurpose::Backup, kMaxUseForBackup);
  }
}

/// Chooses an engine for a copy of the generation's KV memory and enters the
/// copy in the ledger. Returns an empty copy if no engine qualifies.
ForwardFlow::Copy ForwardFlow::ReserveCopy(CopyPurpose aPurpose, double aMaxUse)
{
  Instant now = m_gateway.Loop().Now();
  const UpstreamTable& upstreams = m_gateway.Members().Upstreams();
  const UpstreamEntry* source = upstreams.Find(m_upstream);
  if (source == nullptr) {
    return {};
  }
  Ticket ticket = MakeTicket();
  ticket.m_excluded.insert(m_upstream);
  ticket.m_excluded.insert(m_rejectingTargets.begin(),
                           m_rejectingTargets.end());
  UpstreamId target = m_gateway.Placement().Local().PickCopyTarget(
    now, upstreams, ticket, source->m_row, aPurpose, aMaxUse);
  const UpstreamEntry* entry =
    target.Empty() ? nullptr : upstreams.Find(target);
  WriteLog(
    LogLevel::Info,
    "copy_target",
    { { "request", m_request.m_id },
      { "purpose", aPurpose == CopyPurpose::Backup ? "backup" : "rescue" },
      { "source", m_upstream.Value() },
      { "target", target.Value() },
      { "most_use", aMaxUse },
      { "upstreams_version", upstreams.Version() } });
  if (entry == nullptr) {
    return {};
  }
  ticket.m_id =
    RequestId(m_id.Value() + "~" + std::to_string(++m_copiesReserved));
  m_gateway.Placement().OccupyCopy(now, ticket, target, TokensSoFar());
  return { target, entry->m_row.m_endpoint, ticket.m_id };
}

ForwardFlow::Copy ForwardFlow::ReserveRescueCopy()
{
  return ReserveCopy(CopyPurpose::Rescue, kMaxUseForRescue);
}

void ForwardFlow::ReleaseCopy(Copy& aCopy)
{
  if (!aCopy.m_ledgerId.Empty()) {
    m_gateway.Placement().Complete(
      m_gateway.Loop().Now(), aCopy.m_ledgerId, DispatchOutcome::Cancelled);
  }
  aCopy = Copy();
}

bool ForwardFlow::CanMigrate() const
{
  bool canMove = IsGeneration() && m_target.m_service->m_engine->m_canMigrate;
  bool isLong = OutlastsNotice({ m_request.m_expectedOutputTokens,
                                 m_request.m_maxOutputTokens,
                                 TokensSoFar() });
  bool isMigrating = m_liveCopy || m_resume;
  return m_state == State::Streaming && canMove && !HasBackup() &&
         !isMigrating && isLong && m_gateway.Loop().Now() >= m_nextMigrationAt;
}

void ForwardFlow::OnUpstreamLeaving()
{
  if (!m_leavingSince) {
    m_leavingSince = m_gateway.Loop().Now();
  }
}

/// Returns whether the current engine announced its end early enough that a
/// stream which breaks off now is not the sign of a crash.
bool ForwardFlow::IsEndAnnounced() const
{
  return m_leavingSince &&
         m_gateway.Loop().Now() >= *m_leavingSince + kShortestNotice;
}

// Migration to the backup.

/// Resumes a generation at its backup after its engine has ended the stream.
/// Closing the connection instead would not do: not all engines then stop the
/// generation, and it would run at both.
void ForwardFlow::SwitchToBackup(const std::string& aReason)
{
  WriteLog(LogLevel::Info,
           "switch_to_backup",
           { { "request", m_request.m_id }, { "reason", aReason } });
  m_resume = ResumePoint{ m_backup.m_endpoint, m_request.m_id, "" };
  ResumeAt(std::exchange(m_backup, Copy()));
}

// Migration by a rescue copy.

void ForwardFlow::StartMigration()
{
  m_nextMigrationAt = m_gateway.Loop().Now() + kMigrationRetryDelay;
  ReleaseCopy(m_backup);
  m_rescueCopy = ReserveRescueCopy();
  if (m_rescueCopy.m_upstream.Empty()) {
    // Engines that rejected a copy may have free memory by the next attempt.
    m_rejectingTargets.clear();
    return;
  }
  m_gateway.Counters().Add("moves_started_total");
  m_liveCopy = std::make_shared<LiveCopy>(
    m_gateway,
    m_request.m_id,
    m_upstreamEndpoint,
    m_rescueCopy.m_endpoint,
    [this] { return MayCopyTo(m_rescueCopy.m_upstream); },
    [self = shared_from_this()](const LiveCopy::Outcome& aOutcome) {
      self->OnMigrationEnd(aOutcome);
    });
  m_liveCopy->Start();
}

void ForwardFlow::OnMigrationEnd(const LiveCopy::Outcome& aOutcome)
{
  if (m_state == State::Ended) {
    return;
  }
  m_liveCopy.reset();
  m_isCopyUnanswered = !aOutcome.m_isAnswered;
  m_lastPartAt = aOutcome.m_lastPartAt;
  bool isStopped = aOutcome.m_isStopped && aOutcome.m_isAnswered;
  if (m_isRunUnknown && !isStopped) {
    ReleaseCopy(m_rescueCopy);
    if (aOutcome.m_hasNoRun) {
      OnRunGone();
    } else {
      StopRun();
    }
    return;
  }
  if (!aOutcome.m_isStopped) {
    m_rejectingTargets.insert(m_rescueCopy.m_upstream);
    ReleaseCopy(m_rescueCopy);
    if (!m_isSourceStreamEnded) {
      return;
    }
    if (aOutcome.m_hasNoRun) {
      OnRunGone();
    } else if (m_isPerhapsComplete) {
      ResolveStreamEnd();
    } else {
      RecordFailure(false);
      ProbeRun();
    }
    return;
  }
  if (m_isSourceStreamEnded) {
    ReportDeathDuringMigration();
  }
  m_resume = ResumePoint{ m_upstreamEndpoint, aOutcome.m_handle, "" };
  if (!aOutcome.m_isCopied) {
    // The source still holds the KV memory, so the generation resumes there.
    ReleaseCopy(m_rescueCopy);
    m_rescueCopy = { m_upstream, m_upstreamEndpoint, RequestId() };
  }
  if (m_isSourceStreamEnded) {
    ResumeAt(std::exchange(m_rescueCopy, Copy()));
  }
}

/// Reports a source that has broken off both the stream and the call for a copy
/// to the crash watch, unless its end was announced.
void ForwardFlow::ReportDeathDuringMigration()
{
  if (m_isSourceBrokenOff && m_isCopyUnanswered &&
      !(IsEndAnnounced() && m_arePartsSound)) {
    ReportBrokenOff([](ProbeAnswer) {});
  }
}

bool ForwardFlow::MayCopyTo(const UpstreamId& aTarget) const
{
  const UpstreamEntry* entry = m_gateway.Members().Upstreams().Find(aTarget);
  return entry != nullptr &&
         m_gateway.Placement().Local().MayCopyTo(
           m_gateway.Loop().Now(), *entry, m_target.m_residency);
}

bool ForwardFlow::MayResumeAt(const UpstreamId& aTarget) const
{
  Instant now = m_gateway.Loop().Now();
  const UpstreamEntry* entry = m_gateway.Members().Upstreams().Find(aTarget);
  bool takesWork = entry != nullptr && UpstreamTable::TakesWork(now, *entry);
  // One that has begun to leave since it was last checked still serves.
  return MayUse(aTarget) &&
         (takesWork || now <= m_lastPartAt + kResumeAtLeaving);
}

/// Resumes the generation at the engine that holds a copy of its KV memory, or
/// at the source of a rescue copy if its target may no longer be used.
void ForwardFlow::ResumeAt(Copy aCopy)
{
  bool isAtSource = m_resume->m_holder == m_upstreamEndpoint;
  if (!MayResumeAt(aCopy.m_upstream) && isAtSource) {
    ReleaseCopy(aCopy);
    aCopy = { m_upstream, m_upstreamEndpoint, RequestId() };
  }
  if (!MayUse(aCopy.m_upstream)) {
    m_gateway.Counters().Add("resumptions_not_allowed_total");
    ReleaseCopy(aCopy);
    Interrupt("the engines that hold the generation may no longer be used");
    return;
  }
  m_events.Restart();
  m_resume->m_lastEventId = m_events.LastId();
  m_isPerhapsComplete = false;
  m_isSourceStreamEnded = false;
  m_isSourceBrokenOff = false;
  m_isCopyUnanswered = false;
  m_state = State::Migrating;
  ++m_resumes;
  WriteLog(LogLevel::Info,
           "resume",
           { { "request", m_request.m_id },
             { "source", m_upstream.Value() },
             { "target", aCopy.m_upstream.Value() },
             { "last_event", m_events.LastId() } });
  m_gateway.Counters().Add("moves_resumed_total");
  if (!aCopy.m_ledgerId.Empty()) {
    m_gateway.Placement().Complete(
      m_gateway.Loop().Now(), m_ledgerId, DispatchOutcome::Cancelled);
    m_gateway.Placement().UseCopy(aCopy.m_ledgerId);
    m_ledgerId = aCopy.m_ledgerId;
  }
  m_upstream = aCopy.m_upstream;
  m_upstreamEndpoint = aCopy.m_endpoint;
  const UpstreamEntry* entry = m_gateway.Members().Upstreams().Find(m_upstream);
  m_upstreamIncarnation = entry == nullptr ? 0 : entry->m_row.m_incarnation;
  m_leavingSince.reset();
  m_gateway.UsePermit(m_upstream);
  AssignBackup();
  Send(m_upstreamEndpoint, m_resume);
}

void ForwardFlow::OnEvacuationsChange()
{
  if (m_state == State::Placed && m_gateway.IsEvacuated(m_upstream)) {
    if (m_call) {
      m_call->Cancel();
      m_call.reset();
    }
    --m_connects;
    if (!TryAgain("evacuated", false)) {
      Refuse(RefusalBuilder(ErrorKind::NoUpstream, "the upstream is evacuated")
               .Build());
    }
    return;
  }
  // From the last part of the copy on, the source has stopped the generation.
  bool isRunning =
    m_state == State::Streaming && m_liveCopy && !m_liveCopy->IsLast();
  if (isRunning && m_gateway.IsEvacuated(m_rescueCopy.m_upstream)) {
    CancelMigration();
  }
}

void ForwardFlow::CancelMigration()
{
  if (m_liveCopy) {
    m_liveCopy->Cancel();
    m_liveCopy.reset();
  }
  ReleaseCopy(m_rescueCopy);
}

} // namespace persimmontally
