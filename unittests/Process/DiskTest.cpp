/// Tests of real control hosts whose disks are full for a while.

#include "Process/ProcessSite.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <random>
#include <sys/resource.h>

using namespace persimmontally;

namespace {

/// Lets a process extend no file, or lifts this limit.
void SetDiskFull(const DaemonProcess& aProcess, bool aIsFull)
{
  rlimit limit{ aIsFull ? 0 : RLIM_INFINITY, RLIM_INFINITY };
  REQUIRE(::prlimit(aProcess.m_pid, RLIMIT_FSIZE, &limit, nullptr) == 0);
}

} // namespace

// Guards against a group that takes no change once its disks have been full one
// after another.
TEST_CASE("changes are taken again after the disks were full in turn")
{
  constexpr Duration kAckTime = seconds(5);
  constexpr int kHosts = 3;
  constexpr int kRounds = 2;
  // Writes above the limit then fail instead of ending the process.
  std::signal(SIGXFSZ, SIG_IGN);
  const char* seed = std::getenv("PERSIMMONTALLY_SEED");
  std::mt19937 random(seed != nullptr ? std::atoi(seed) : 1);
  std::uniform_int_distribution<int> drawFull(300, 3000);
  std::uniform_int_distribution<int> drawGap(0, 500);
  ProcessSite site(ProcessSiteOptions{});
  site.Start();
  int version = 1;
  int next = 0;
  std::vector<std::shared_ptr<ProcessRequest>> orders;
  auto sendOrder = [&] {
    orders.push_back(site.SendOrder("PUT",
                                    "/persimmontally/config",
                                    ProcessSite::Catalog(++version),
                                    next++ % kHosts));
  };
  Timer orderTimer = site.Loop().RunEvery(milliseconds(100), sendOrder);
  for (int i = 0; i < kRounds * kHosts; ++i) {
    DaemonProcess& host = site.Control(i % kHosts);
    SetDiskFull(host, true);
    site.RunFor(milliseconds(drawFull(random)));
    SetDiskFull(host, false);
    site.RunFor(milliseconds(drawGap(random)));
  }
  orderTimer.Cancel();
  Instant end = site.Loop().Now();
  site.RunFor(milliseconds(500));
  for (int host = 0; host < kHosts; ++host) {
    CAPTURE(host);
    CHECK(!site.Control(host).m_hasEnded);
    // Operators send an order again until it gets a clear answer.
    std::shared_ptr<ProcessRequest> order;
    std::string catalog = ProcessSite::Catalog(++version);
    do {
      order = site.SendOrder("PUT", "/persimmontally/config", catalog, host);
      site.RunUntil([&] { return order->m_isDone; });
      site.RunFor(milliseconds(50));
    } while (order->m_status != 200 && site.Loop().Now() < end + 2 * kAckTime);
    CHECK(order->m_status == 200);
    CHECK(site.Loop().Now() < end + kAckTime);
  }
  for (int host = 0; host < kHosts; ++host) {
    auto read = site.SendOrder("GET", "/persimmontally/config", "", host);
    site.RunUntil([&] { return read->m_isDone; });
    CHECK(read->m_status == 200);
    // The limit was felt.
    CHECK(site.LogOf(site.Control(host)).find("disk_recovered") !=
          std::string::npos);
    CHECK(read->m_body.find("\"version\":" + std::to_string(version)) !=
          std::string::npos);
  }
}
