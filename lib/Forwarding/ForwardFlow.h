#ifndef PERSIMMONTALLY_LIB_FORWARDING_FORWARDFLOW_H
#define PERSIMMONTALLY_LIB_FORWARDING_FORWARDFLOW_H

#include "LiveCopy.h"
#include "SilenceWatch.h"
#include "StreamRecovery.h"
#include "persimmontally/Forwarding/EventSplitter.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Routing/CrashEvidence.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace persimmontally {

/// Route, service, account and priority of a request, resolved on arrival.
struct ForwardTarget
{
  /// Owns the route and the service.
  RouteTablePtr m_routes;
  const Route* m_route = nullptr;
  const ServiceSpec* m_service = nullptr;
  AccountId m_account;
  /// Combined priority: by account first, then by route; 0 is the most urgent.
  int m_urgency = 0;
  Rank m_rank = Rank::Routine;
  Residency m_residency;
};

/// One request on a route, from admission to the last byte of its response.
class ForwardFlow : public std::enable_shared_from_this<ForwardFlow>
{
public:
  ForwardFlow(ForwardGateway& aGateway,
              RequestId aId,
              RoutedRequest aRequest,
              ForwardTarget aTarget,
              std::shared_ptr<ResponseWriter> aWriter);

  void Start();
  /// Applies the newest catalog: to a queued request at once, and to the next
  /// copy, resumption or retry of another.
  void OnCatalogChange();
  void OnGrant(const DispatchGrant& aGrant);
  void OnRefused(const Refusal& aRefusal);

  /// Latest time at which the request is expected to end if it is sent now.
  Instant ExpectedEnd() const;
  /// Refuses the request if it is queued and expected to end after `aLimit`.
  void EndIfTooLong(Instant aLimit);
  /// Ends the request because the host ends: refuses one that has no response
  /// yet, and breaks off a stream.
  void EndForShutdown();

  /// Bytes of the response that are kept until it is complete.
  size_t BufferedBytes() const { return m_body.size(); }
  /// Fails the current attempt because its response takes too much memory.
  void FailOversized();

  /// Ends a request that is queued, or that its upstream is still reading, if
  /// it is now known to crash upstreams.
  void EndIfQuarantined();

  /// Whether the generation can be migrated by a rescue copy now and is long
  /// enough to be. One with a backup stays until its engine ends.
  bool CanMigrate() const;
  const UpstreamId& Upstream() const { return m_upstream; }
  const Endpoint& UpstreamEndpoint() const { return m_upstreamEndpoint; }
  /// How the stream was last heard; nothing unless it is being read.
  std::optional<StreamPace> Pace() const;
  void OnUpstreamSilent(SilenceVerdict aVerdict, ProbeAnswer aAnswer);
  const RequestId& LedgerId() const { return m_ledgerId; }
  const Residency& HomeRegions() const { return m_target.m_residency; }
  const std::string& CallerRequestId() const { return m_request.m_id; }
  const ServiceSpec& Service() const { return *m_target.m_service; }
  /// Migrates the generation off an engine that is being reclaimed.
  void StartMigration();
  /// Records that the upstream has announced its end.
  void OnUpstreamLeaving();
  /// Whether the generation has a backup, perhaps still in transfer, on an
  /// engine that is not being reclaimed or evacuated.
  bool HasBackup() const;
  /// Takes the request off an evacuated upstream to which nothing has been
  /// written yet, and gives up a rescue copy to an evacuated engine. What runs
  /// at an evacuated upstream ends there, unless the upstream leaves.
  void OnEvacuationsChange();

private:
  /// A copy of the generation's KV memory on another engine, complete or in
  /// transfer.
  struct Copy
  {
    UpstreamId m_upstream;
    Endpoint m_endpoint;
    /// Id of the copy in the ledger.
    RequestId m_ledgerId;
  };

  /// Progress of the request at its current upstream.
  enum class State
  {
    /// Waiting for a placement.
    Queued,
    /// Placed; nothing has been written to the upstream yet.
    Placed,
    /// A byte of the request may have reached the upstream.
    Sent,
    /// The head of a streamed response has been sent to the caller.
    Streaming,
    /// Stopped at one engine and not yet resumed at the next.
    Migrating,
    Ended,
  };

  bool IsStream() const
  {
    return m_target.m_route->m_repeatability == Repeatability::Stream;
  }
  /// Whether a new run may continue the stream.
  bool IsResumable() const;
  /// Whether the request may run more than once. A stream may if the event
  /// after which the next run starts is known.
  bool IsRepeatable() const;
  /// Whether the current upstream has begun to stream.
  bool HasBegun() const { return m_hasStarted && m_head.m_isGenuine; }
  bool IsGeneration() const { return m_target.m_service->m_engine.has_value(); }
  Duration TimeLeft() const;
  uint32_t TokensSoFar() const;
  uint32_t ExpectedTokens() const;
  /// Chooses an engine with free memory for a backup of the generation; the
  /// next request to the upstream names it.
  void AssignBackup();
  bool StartAfterCallersEvent();
  Ticket MakeTicket() const;
  void Enqueue();
  /// Resolves a request that has no upstream yet, or no longer, by the newest
  /// catalog. Returns false if it was refused.
  bool FollowCatalog();
  /// Whether the request or a copy of its data may be sent to an upstream now.
  bool MayUse(const UpstreamId& aUpstream) const;
  /// Whether the target of a rescue copy still qualifies.
  bool MayCopyTo(const UpstreamId& aTarget) const;
  /// Whether a generation that has been copied to an upstream may go on there.
  bool MayResumeAt(const UpstreamId& aTarget) const;
  void Send(const Endpoint& aEndpoint, std::optional<ResumePoint> aResume);
  HttpCallEvents MakeEvents();
  void OnHead(int aStatus, const HttpHeaders& aHeaders);
  void CheckResponseId();
  void RecordUpstreamStatements();
  void OnData(std::string_view aData);
  void ClearBody();
  void OnCallEnd(const absl::Status& aStatus);
  void OnStreamEnd(const absl::Status& aStatus);
  /// Whether a response that its upstream has ended may have been cut short by
  /// the death of that upstream, since nothing delimits its body.
  bool MayBeCutShort() const;
  bool IsSameProcess() const;
  bool IsUpToDate() const;
  /// Probes the upstream, and reports a death to the crash watch unless it was
  /// announced. A process that has taken the place of the upstream counts as
  /// none.
  void ProbeUpstream(std::function<void(ProbeAnswer)> aOnProbed);
  void RecordResponseEnd(const char* aResult, Instant aEndedAt);
  void ResolveResponseEnd();
  void ResolveStreamEnd();
  void ProbeRun();
  void OnRunProbed(ProbeAnswer aAnswer);
  void FinishResolvedStream();
  void RecoverResolvedStream();
  void RecordRunEnd();
  void AbandonRun();
  /// Passes on the end of a complete stream.
  void FinishStream();
  bool IsHarmless() const;
  void RecoverStream(const std::string& aReason,
                     bool aWasHarmless,
                     bool aHasSurvived);
  void StartNewRun(const std::string& aReason);
  void RepeatAfterProbe(const std::string& aReason);
  void OnResponseEnd();
  void ForwardEvents(std::string_view aData);
  void PauseUpstreamIfCallerIsSlow();
  void ReportProgress();
  static CrashKeys CrashKeysOf(const RoutedRequest& aRequest,
                               const ForwardTarget& aTarget);
  /// Reports a request that the upstream has broken off to the crash watch,
  /// which calls `aOnProbed` with the answer of the upstream.
  void ReportBrokenOff(std::function<void(ProbeAnswer)> aOnProbed);
  /// Handles a call that the upstream has broken off before its response.
  void OnBrokenOffBeforeHead(const std::string& aReason);
  /// Records that the parts of the request are sound, once.
  void ReportSoundParts();
  /// Refuses a request that crashes upstreams, unless this host lets it through
  /// as a trial. Returns whether it was refused.
  bool RefuseIfQuarantined();
  void RefuseAsQuarantined();
  void RecordFailure(bool aIsGone);
  void OnConnectFailed(const std::string& aReason);
  void OnRejected();
  void OnAttemptFailed(const std::string& aReason);
  bool TryAgain(const std::string& aReason, bool aNeedsBudget);
  Copy ReserveCopy(CopyPurpose aPurpose, double aMaxUse);
  void ReleaseCopy(Copy& aCopy);
  bool IsEndAnnounced() const;
  void SwitchToBackup(const std::string& aReason);
  void OnMigrationEnd(const LiveCopy::Outcome& aOutcome);
  Copy ReserveRescueCopy();
  /// Whether the request would go on elsewhere in the same run, or in one that
  /// must not run beside the first.
  bool MustEndRunFirst() const
  {
    return IsStream() && (m_hasStarted || IsRepeatable());
  }
  /// Handles a call that this host has ended without knowing whether the
  /// upstream is still at work on the request.
  void OnClosedHere(const std::string& aReason);
  void OnStreamUnreadable(const std::string& aReason);
  /// Whether the upstream has a call that stops a run.
  bool CanStopRuns() const;
  Copy AnyCopyTarget() const;
  void StopRun();
  void RetryStop();
  void OnStopAnswered(const LiveCopy::Outcome& aOutcome);
  void ResumeStopped(const LiveCopy::Outcome& aOutcome);
  void OnRunGone();
  void ReportDeathDuringMigration();
  void ResumeAt(Copy aCopy);
  void CancelMigration();
  void OnDeadline();
  void OnCallerGone();
  void Refuse(const Refusal& aRefusal);
  void Interrupt(const std::string& aReason);
  void ReleasePlacement(DispatchOutcome aOutcome);
  void Close(DispatchOutcome aOutcome, const char* aResult);

  ForwardGateway& m_gateway;
  RequestId m_id;
  RoutedRequest m_request;
  ForwardTarget m_target;
  std::shared_ptr<ResponseWriter> m_writer;
  CrashKeys m_crashKeys;
  bool m_arePartsSound = false;
  /// Whether the current upstream has broken the request off, and whether an
  /// earlier one has.
  bool m_isBrokenOff = false;
  bool m_wasBrokenOff = false;
  /// Whether an engine has died under the stream, or may have.
  bool m_mayCrash = false;
  /// Whether the request runs in spite of a quarantine.
  bool m_isTrial = false;

  State m_state = State::Queued;
  int m_sends = 0;
  int m_connects = 0;
  bool m_wasSent = false;
  /// Sends after which the upstream has not stated that it did not run the
  /// request.
  int m_unrejectedSends = 0;
  /// Whether the head of a streamed response has been sent to the caller.
  bool m_hasStarted = false;
  std::set<UpstreamId> m_excluded;
  UpstreamId m_upstream;
  Endpoint m_upstreamEndpoint;
  uint64_t m_upstreamIncarnation = 0;
  /// Id of the request in the ledger; empty while it is not placed.
  RequestId m_ledgerId;
  std::shared_ptr<HttpCall> m_call;
  ResponseHead m_head;
  std::string m_body;
  /// Size of a response body that is not kept, because it is not used.
  size_t m_unusedBytes = 0;
  EventSplitter m_events;
  /// Events that the caller received in earlier responses.
  uint32_t m_eventsBefore = 0;
  /// When the stream was last broken off and sent to another upstream.
  std::optional<Instant> m_brokenOffAt;
  bool m_isPaused = false;
  /// Whether the time since the last event shows the pace of the upstream.
  bool m_isPaceMeasured = false;

  /// Kept up to date by the current engine while the generation runs.
  Copy m_backup;
  std::shared_ptr<LiveCopy> m_liveCopy;
  Copy m_rescueCopy;
  /// Engines that rejected a copy although the local view showed free memory.
  std::set<UpstreamId> m_rejectingTargets;
  int m_copiesReserved = 0;
  int m_resumes = 0;
  /// Set once the generation is stopped and until the next engine resumes it.
  std::optional<ResumePoint> m_resume;
  /// Whether the source engine has closed its stream.
  bool m_isSourceStreamEnded = false;
  /// Whether that stream was broken off, as by a crash of the engine.
  bool m_isSourceBrokenOff = false;
  /// Whether the source has left the last call for a copy unanswered.
  bool m_isCopyUnanswered = false;
  /// Whether the stream ended like a complete one, so that only its engine can
  /// tell whether it is.
  bool m_isPerhapsComplete = false;
  /// When the connection to the upstream ended, and whether there was no
  /// evidence then that the request crashes its upstreams.
  Instant m_endedAt;
  bool m_wasHarmless = false;
  /// Whether a call that stops the run was left unanswered.
  bool m_mayBeStopped = false;
  /// Whether this host has ended the connection while the upstream may be at
  /// work on the request.
  bool m_isRunUnknown = false;
  /// Why the connection to the upstream has ended.
  std::string m_closedReason;
  /// When the last part of a copy was last asked for, which stops the run.
  Instant m_lastPartAt;
  /// Calls that asked upstreams to stop such a run.
  int m_stopCalls = 0;
  /// Whether the copy that such a call makes goes to the engine of the backup.
  bool m_isStopTargetBackup = false;
  Timer m_stopTimer;
  Instant m_nextMigrationAt;
  /// When the end of the current upstream was first known, if it is.
  std::optional<Instant> m_leavingSince;

  Timer m_deadlineTimer;
  Instant m_arrivedAt;
  Instant m_deadline;
  Instant m_sentAt;
  Instant m_firstEventAt;
  Instant m_lastEventAt;
  Duration m_longestPause{ 0 };
  uint32_t m_eventsBeforeLongestPause = 0;
};

} // namespace persimmontally

#endif
