#ifndef PERSIMMONTALLY_LIB_FORWARDING_FORWARDFLOW_H
#define PERSIMMONTALLY_LIB_FORWARDING_FORWARDFLOW_H

#include "GenerationMove.h"
#include "persimmontally/Forwarding/EventSplitter.h"
#include "persimmontally/Net/EventLoop.h"

#include <memory>
#include <set>
#include <string>

namespace persimmontally {

/// Where a request goes and for whom, as decided when it arrived.
struct ForwardTarget
{
  /// Keeps the route and the service alive.
  RouteTablePtr m_routes;
  const Route* m_route = nullptr;
  const ServiceSpec* m_service = nullptr;
  AccountId m_account;
  /// Priority of the account before that of the route; 0 is the most urgent.
  int m_urgency = 0;
  Rank m_rank = Rank::Routine;
};

/// One request on a route, from its admission to the last byte of its answer.
class ForwardFlow : public std::enable_shared_from_this<ForwardFlow>
{
public:
  ForwardFlow(ForwardGateway& aGateway,
              RequestId aId,
              RoutedRequest aRequest,
              ForwardTarget aTarget,
              std::shared_ptr<ResponseWriter> aWriter);

  void Start();
  void OnGrant(const DispatchGrant& aGrant);
  void OnRefused(const Refusal& aRefusal);

  /// Whether the generation is worth a move to another engine.
  bool CanMove() const;
  const UpstreamId& Upstream() const { return m_upstream; }
  const RequestId& PlacedAs() const { return m_placedAs; }
  const ServiceSpec& Service() const { return *m_target.m_service; }
  /// Moves the generation off its upstream, which is about to leave: to its
  /// backup, else by a copy made now.
  void LeaveUpstream();
  /// Whether an engine that stays has, or will have, a copy of the memory.
  bool HasBackup() const;
  /// Whether the backup has had the time to arrive.
  bool IsBackupSettled() const;

private:
  /// An engine that holds a copy of the generation's memory, or will.
  struct Copy
  {
    UpstreamId m_upstream;
    Endpoint m_endpoint;
    /// Under which id the ledger counts it.
    RequestId m_placedAs;
  };

  /// What is known of the request at its present upstream.
  enum class State
  {
    /// Waits for a placement.
    Queued,
    /// Placed; no byte was written to the upstream yet.
    Placed,
    /// A byte of the request may have reached the upstream.
    Sent,
    /// The head of a streamed answer went to the caller.
    Streaming,
    /// Stopped at one engine, not yet at the next.
    Moving,
    Ended,
  };

  bool IsStream() const
  {
    return m_target.m_route->m_repeatability == Repeatability::Stream;
  }
  bool IsGeneration() const { return m_target.m_service->m_engine.has_value(); }
  Duration TimeLeft() const;
  uint32_t TokensSoFar() const;
  uint32_t ExpectedTokens() const;
  /// Has the present engine send a copy of the memory to a second one, where
  /// one has room.
  void BackUp();
  Ticket MakeTicket() const;
  void Enqueue();
  void Send(const Endpoint& aEndpoint, std::optional<ResumePoint> aResume);
  HttpCallEvents MakeEvents();
  void OnHead(int aStatus, const HttpHeaders& aHeaders);
  void OnData(std::string_view aData);
  void OnCallEnd(const absl::Status& aStatus);
  void OnStreamEnd(const absl::Status& aStatus);
  void OnWholeAnswer();
  void ForwardEvents(std::string_view aData);
  void HoldBackIfSlow();
  void NoteProgress();
  void RecordFailure(bool aIsGone);
  void OnConnectFailed(const std::string& aReason);
  void OnNotRun();
  void OnAttemptFailed(const std::string& aReason);
  bool TryAgain(const std::string& aReason, bool aNeedsBudget);
  Copy PickCopy(CopyPurpose aPurpose, double aMostUse);
  void DropCopy(Copy& aCopy);
  void SwitchToBackup(const std::string& aReason);
  void StartMove();
  void OnMoveEnd(const GenerationMove::Outcome& aOutcome);
  void ResumeAt(Copy aCopy);
  void AbandonMove();
  void OnDeadline();
  void OnCallerGone();
  void Refuse(const Refusal& aRefusal);
  void Interrupt(const std::string& aReason);
  void ReleasePlace(DispatchOutcome aOutcome);
  void Close(DispatchOutcome aOutcome, const char* aResult);

  ForwardGateway& m_gateway;
  RequestId m_id;
  RoutedRequest m_request;
  ForwardTarget m_target;
  std::shared_ptr<ResponseWriter> m_writer;

  State m_state = State::Queued;
  int m_sends = 0;
  int m_connects = 0;
  bool m_wasSent = false;
  /// Whether the head of a streamed answer went to the caller.
  bool m_hasStarted = false;
  std::set<UpstreamId> m_excluded;
  UpstreamId m_upstream;
  Endpoint m_upstreamEndpoint;
  /// Under which id the dispatcher counts the request; empty while it has no
  /// place.
  RequestId m_placedAs;
  std::shared_ptr<HttpCall> m_call;
  AnswerHead m_head;
  std::string m_body;
  EventSplitter m_events;
  bool m_isPaused = false;

  /// Kept up to date by the engine while the generation runs.
  Copy m_backup;
  std::shared_ptr<GenerationMove> m_move;
  Copy m_moveCopy;
  /// Engines that took no copy of it, though they seemed to have room.
  std::set<UpstreamId> m_fullTargets;
  int m_copies = 0;
  int m_moves = 0;
  /// Set once the source has stopped the generation.
  std::optional<ResumePoint> m_resume;
  /// Whether the stream of the source has ended.
  bool m_isSourceDone = false;
  Instant m_nextMoveTry;

  Timer m_deadlineTimer;
  Instant m_arrivedAt;
  Instant m_deadline;
  Instant m_sentAt;
  Instant m_firstEventAt;
  Instant m_lastEventAt;
  Duration m_longestPause{ 0 };
  uint32_t m_longestPauseAt = 0;
  /// When the present engine gave its first event.
  Instant m_engineBeganAt;
};

} // namespace persimmontally

#endif
