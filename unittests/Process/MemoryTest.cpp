/// Tests of the memory of real processes.

#include "Process/ProcessSite.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace persimmontally;

// Guards against a faulty upstream that exhausts the memory of its callers.
TEST_CASE("responses without end do not take an entry host over its memory")
{
  // `memory-mb` of the smallest entry hosts.
  constexpr double kMaxMemoryMb = 110;
  for (bool isGenuine : { true, false }) {
    CAPTURE(isGenuine);
    ProcessSiteOptions options;
    options.m_isPlainEndless = true;
    options.m_isPlainGenuine = isGenuine;
    ProcessSite site(options);
    site.Start();
    constexpr int kCallers = 16;
    site.StartCallers(kCallers, "/unsafe/x", 0);
    constexpr int kOtherCallers = 4;
    site.StartCallers(kOtherCallers, "/stream/x", 0);
    site.RunFor(seconds(4));
    CHECK(!site.Entry(0).m_hasEnded);
    CHECK(ProcessSite::PeakMemoryMb(site.Entry(0)) < kMaxMemoryMb);
    site.StopCallers();
    const auto& requests = site.Requests();
    auto isServed = [](const auto& aRequest) {
      return aRequest->m_isComplete && aRequest->m_status == 200;
    };
    CHECK(std::count_if(requests.begin(), requests.end(), isServed) >
          kOtherCallers);
  }
}
