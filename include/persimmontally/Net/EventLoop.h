#ifndef PERSIMMONTALLY_NET_EVENTLOOP_H
#define PERSIMMONTALLY_NET_EVENTLOOP_H

#include "persimmontally/Support/Time.h"

#include <functional>
#include <memory>

namespace persimmontally {

struct LoopContext;

/// Handle of a scheduled action; destroying it cancels the action. A
/// default-constructed handle refers to no action.
class Timer
{
public:
  Timer() = default;
  explicit Timer(std::shared_ptr<bool> aArmed)
    : m_armed(std::move(aArmed))
  {
  }
  ~Timer() { Cancel(); }
  Timer(Timer&&) = default;
  Timer& operator=(Timer&& aOther) noexcept
  {
    Cancel();
    m_armed = std::move(aOther.m_armed);
    return *this;
  }

  void Cancel()
  {
    if (m_armed) {
      *m_armed = false;
      m_armed.reset();
    }
  }

private:
  std::shared_ptr<bool> m_armed;
};

/// Single-threaded event loop of a process: all actions run on the thread that
/// calls `Run`. Outside of tests all `Instant` values come from it.
class EventLoop
{
public:
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
  void ScheduleNextRun(std::shared_ptr<bool> aArmed,
                       Duration aPeriod,
                       std::shared_ptr<std::function<void()>> aAction);

  std::unique_ptr<LoopContext> m_context;
};

} // namespace persimmontally

#endif
