#ifndef PERSIMMONTALLY_NET_EVENTLOOP_H
#define PERSIMMONTALLY_NET_EVENTLOOP_H

#include "persimmontally/Support/Time.h"

#include <functional>
#include <memory>
#include <optional>

namespace persimmontally {

struct LoopContext;

struct TimerState;

/// Handle of a scheduled action; destroying it cancels the action. A
/// default-constructed handle refers to no action.
class Timer
{
public:
  Timer() = default;
  explicit Timer(std::weak_ptr<TimerState> aState)
    : m_state(std::move(aState))
  {
  }
  ~Timer() { Cancel(); }
  Timer(Timer&&) = default;
  Timer& operator=(Timer&& aOther) noexcept
  {
    Cancel();
    m_state = std::move(aOther.m_state);
    return *this;
  }

  /// Cancels the action, and destroys it in the next event loop iteration.
  void Cancel();

private:
  /// Owned by the event loop while the action is scheduled.
  std::weak_ptr<TimerState> m_state;
};

/// Single-threaded event loop of a process: all actions run on the thread that
/// calls `Run`. Outside of tests all `Instant` values come from it.
class EventLoop
{
public:
  /// Shortest pause of the loop that counts as a standstill: senders give up on
  /// a host after a second, and processes take as long to start again.
  static constexpr Duration kStandstill = seconds(1);

  /// To be called first in the `main` of a long-running process. Ignores
  /// SIGPIPE, as when the reader of the log goes away, and holds SIGHUP back
  /// until `OnReload`: both would end the process.
  static void PrepareSignals();

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs events until `Stop` is called. A stopped loop can run again.
  void Run();
  void Stop();
  /// Returns the current time of the monotonic clock.
  Instant Now() const;
  /// Whether the loop has stood still for `kStandstill` or longer, and until
  /// `aSince` or later: the process was frozen or blocked, and what it reads
  /// may have waited since then.
  bool HasStoodStill(Instant aSince) const;
  /// Queues an action for the loop thread and returns without running it.
  void Post(std::function<void()> aAction);
  /// Runs an action once after a delay, unless the timer is cancelled before.
  [[nodiscard]] Timer RunAfter(Duration aDelay, std::function<void()> aAction);
  /// Runs an action periodically until the timer is cancelled. Each delay
  /// starts when the previous run has returned.
  [[nodiscard]] Timer RunEvery(Duration aPeriod, std::function<void()> aAction);
  /// Calls the action on the first SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> aAction);
  /// Calls the action on every SIGHUP.
  void OnReload(std::function<void()> aAction);

  LoopContext& Context() { return *m_context; }

private:
  void RecordBeat();

  std::unique_ptr<LoopContext> m_context;
  /// When the loop last ran for certain, and when its last standstill ended.
  Instant m_beatAt;
  std::optional<Instant> m_stoodStillUntil;
  Timer m_beats;
};

} // namespace persimmontally

#endif
