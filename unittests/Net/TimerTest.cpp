/// Tests of the timers of the event loop.

#include "persimmontally/Net/EventLoop.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>

using namespace persimmontally;

// Guards against requests that stay in memory until their deadline although
// they have ended and their timer was cancelled.
TEST_CASE("a cancelled timer releases what its action holds")
{
  struct Row
  {
    const char* m_name;
    bool m_isPeriodic;
    std::function<void(Timer&)> m_cancel;
  };
  auto cancel = [](Timer& aTimer) { aTimer.Cancel(); };
  auto replace = [](Timer& aTimer) { aTimer = Timer(); };
  for (const Row& row : { Row{ "once, cancelled", false, cancel },
                          Row{ "once, replaced", false, replace },
                          Row{ "periodic, cancelled", true, cancel },
                          Row{ "periodic, replaced", true, replace } }) {
    CAPTURE(std::string(row.m_name));
    EventLoop loop;
    auto held = std::make_shared<int>(0);
    auto action = [held] { ++*held; };
    Timer timer = row.m_isPeriodic
                    ? loop.RunEvery(std::chrono::hours(1), action)
                    : loop.RunAfter(std::chrono::hours(1), action);
    CHECK(held.use_count() > 2);
    row.m_cancel(timer);
    Timer stop = loop.RunAfter(milliseconds(10), [&] { loop.Stop(); });
    loop.Run();
    // `held` and the copy in `action`.
    CHECK(held.use_count() == 2);
    CHECK(*held == 0);
  }
}

TEST_CASE("an action may cancel or replace its own timer")
{
  EventLoop loop;
  int runs = 0;
  Timer periodic;
  Timer replaced;
  periodic = loop.RunEvery(milliseconds(1), [&] {
    if (++runs == 3) {
      periodic.Cancel();
    }
  });
  bool wasReplaced = false;
  replaced = loop.RunAfter(milliseconds(1), [&] {
    replaced = loop.RunAfter(milliseconds(1), [&] { wasReplaced = true; });
  });
  Timer stop = loop.RunAfter(milliseconds(50), [&] { loop.Stop(); });
  loop.Run();
  CHECK(runs == 3);
  CHECK(wasReplaced);
}

TEST_CASE("a timer may outlive its loop")
{
  Timer timer;
  {
    EventLoop loop;
    timer = loop.RunAfter(std::chrono::hours(1), [] {});
  }
  timer.Cancel();
}
