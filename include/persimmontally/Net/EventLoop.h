#ifndef PERSIMMONTALLY_NET_EVENTLOOP_H
#define PERSIMMONTALLY_NET_EVENTLOOP_H

#include "persimmontally/Support/Time.h"

#include <functional>
#include <memory>

namespace persimmontally {

struct LoopContext;

/// Cancels its timer when destroyed. A default-made one holds no timer.
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

/// The one loop of a process, on the one thread that calls `Run`. It is the
/// only source of instants outside of the tests.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until `Stop`.
  void Run();
  void Stop();
  Instant Now() const;
  void Post(std::function<void()> aAction);
  [[nodiscard]] Timer RunAfter(Duration aDelay, std::function<void()> aAction);
  /// Runs an action again and again, a fixed delay after each end.
  [[nodiscard]] Timer RunEvery(Duration aPeriod, std::function<void()> aAction);
  /// Calls the action on SIGTERM and SIGINT.
  void OnTerminate(std::function<void()> aAction);
  /// Calls the action on each SIGHUP.
  void OnReload(std::function<void()> aAction);

  LoopContext& Context() { return *m_context; }

private:
  void Rearm(std::shared_ptr<bool> aArmed,
             Duration aPeriod,
             std::shared_ptr<std::function<void()>> aAction);

  std::unique_ptr<LoopContext> m_context;
};

} // namespace persimmontally

#endif
