/// Tests of upstreams that name a rate limit in their responses.

#include "Forwarding/ForwardSite.h"

#include <doctest/doctest.h>

#include <vector>

using namespace persimmontally;

namespace {

using Writer = ForwardSite::Writer;

/// An upstream that names a limit in its responses and records its requests.
struct LimitedUpstream
{
  std::string m_limit;
  std::vector<Instant> m_arrivals;

  /// Returns the most requests in a window, after half a second from the first.
  size_t MostIn(Duration aWindow) const
  {
    size_t most = 0;
    for (auto at = m_arrivals.begin(); at != m_arrivals.end(); ++at) {
      if (*at >= m_arrivals.front() + milliseconds(500)) {
        auto end = std::lower_bound(at, m_arrivals.end(), *at + aWindow);
        most = std::max(most, static_cast<size_t>(end - at));
      }
    }
    return most;
  }
};

void Add(ForwardSite& aSite,
         const std::string& aId,
         const std::string& aService,
         LimitedUpstream& aUpstream)
{
  aSite.AddUpstream(
    aId,
    aService,
    [&aSite, &aUpstream](const HttpRequest& aRequest, const Writer& aWriter) {
      aUpstream.m_arrivals.push_back(aSite.Loop().Now());
      HttpHeaders headers = Genuine(aRequest);
      if (!aUpstream.m_limit.empty()) {
        headers.push_back({ "Server-Limit", aUpstream.m_limit });
      }
      // Takes longer than the time between requests, so that one upstream is
      // not always idle.
      auto timer = std::make_shared<Timer>();
      *timer = aSite.Loop().RunAfter(milliseconds(40), [=] {
        aWriter->SendResponse({ 200, headers, "done" });
        timer->Cancel();
      });
    });
}

/// Sends `aCount` requests at a constant rate and returns their statuses.
std::vector<int> SendSteadily(ForwardSite& aSite,
                              const std::string& aPath,
                              int aCount,
                              Duration aGap)
{
  std::vector<std::shared_ptr<ForwardSite::Call>> calls;
  for (int i = 0; i < aCount; ++i) {
    calls.push_back(aSite.Start(aPath, { { "X-Api-Key", "key" } }));
    Instant next = aSite.Loop().Now() + aGap;
    aSite.RunUntil([&] { return aSite.Loop().Now() >= next; });
  }
  std::vector<int> statuses;
  for (const auto& call : calls) {
    aSite.RunUntil([&] { return call->m_isDone; });
    statuses.push_back(call->m_response.m_status);
  }
  return statuses;
}

} // namespace

// Guards against upstreams that get more than the limit that they name.
TEST_CASE("an upstream gets no more than its limit, and others serve the rest" *
          doctest::should_fail())
{
  for (const char* route : { "/safe/x", "/unsafe/x", "/other/x" }) {
    CAPTURE(std::string(route));
    ForwardSite site;
    LimitedUpstream limited{ "4", {} };
    LimitedUpstream free;
    std::string service = route == std::string("/other/x") ? "other" : "plain";
    Add(site, "limited", service, limited);
    Add(site, "free", service, free);
    std::vector<int> statuses =
      SendSteadily(site, route, 120, milliseconds(25));
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == 120);
    // 1.25 times the limit in 2 s, and 4 requests.
    CHECK(limited.MostIn(seconds(2)) <= 14);
    CHECK(limited.m_arrivals.size() >= 2);
  }
}
