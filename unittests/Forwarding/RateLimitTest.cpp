/// Tests of upstreams that name a rate limit in their responses.

#include "Forwarding/ForwardSite.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
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

using Calls = std::vector<std::shared_ptr<ForwardSite::Call>>;

/// Sends `aCount` requests at a constant rate.
Calls StartSteadily(ForwardSite& aSite,
                    const std::string& aPath,
                    int aCount,
                    Duration aGap)
{
  Calls calls;
  for (int i = 0; i < aCount; ++i) {
    calls.push_back(aSite.Start(aPath, { { "X-Api-Key", "key" } }));
    Instant next = aSite.Loop().Now() + aGap;
    aSite.RunUntil([&] { return aSite.Loop().Now() >= next; });
  }
  return calls;
}

/// The same; waits for the responses and returns their statuses.
std::vector<int> SendSteadily(ForwardSite& aSite,
                              const std::string& aPath,
                              int aCount,
                              Duration aGap)
{
  std::vector<int> statuses;
  for (const auto& call : StartSteadily(aSite, aPath, aCount, aGap)) {
    aSite.RunUntil([&] { return call->m_isDone; });
    statuses.push_back(call->m_response.m_status);
  }
  return statuses;
}

} // namespace

// Guards against upstreams that get more than the limit that they name.
TEST_CASE("an upstream gets no more than its limit, and others serve the rest")
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

// Guards against limits that outlast the responses that name them.
TEST_CASE("a limit ends with a response that names none, and belongs to one "
          "incarnation of an upstream")
{
  for (bool isReplaced : { false, true }) {
    CAPTURE(isReplaced);
    ForwardSite site;
    LimitedUpstream limited{ "4", {} };
    LimitedUpstream successor;
    Add(site, "limited", "plain", limited);
    SendSteadily(site, "/safe/x", 20, milliseconds(25));
    size_t before = limited.m_arrivals.size();
    LimitedUpstream& later = isReplaced ? successor : limited;
    if (isReplaced) {
      site.SetState("limited", UpstreamState::Gone);
      Add(site, "successor", "plain", successor);
    }
    limited.m_limit = "";
    std::vector<int> statuses =
      SendSteadily(site, "/safe/x", 120, milliseconds(25));
    CHECK(before <= 10);
    CHECK(later.m_arrivals.size() >= 90);
    CHECK(statuses.back() == 200);
  }
}

// Guards against requests that wait for a limit which is used up.
TEST_CASE("what all limited upstreams of a service cannot serve is refused at "
          "once as not run, with retry delays that differ")
{
  // With upstreams that have permits left, but outside the allowed regions.
  for (bool areOthersElsewhere : { false, true }) {
    CAPTURE(areOthersElsewhere);
    ForwardSite site;
    LimitedUpstream limited{ "4", {} };
    LimitedUpstream elsewhere;
    site.SetRegion("limited", "north");
    Add(site, "limited", "plain", limited);
    if (areOthersElsewhere) {
      Add(site, "elsewhere", "plain", elsewhere);
      site.EditCatalog([](Catalog& aCatalog) {
        aCatalog.m_routes[1].m_terms.m_allowedRegions = { RegionId("north") };
      });
    }
    Calls calls = StartSteadily(site, "/safe/x", 150, milliseconds(10));
    Instant end = site.Loop().Now() + milliseconds(60);
    site.RunUntil([&] { return site.Loop().Now() >= end; });
    std::set<std::string> delays;
    size_t waiting = 0;
    for (const auto& call : calls) {
      waiting += call->m_isDone ? 0 : 1;
      if (call->m_isDone && call->m_response.m_status == 503) {
        delays.emplace(call->m_response.Header("Retry-After"));
        CHECK(call->m_response.Header("Server-Stamp").empty());
      }
    }
    // One permit in 250 ms, and a request that waits for each.
    CHECK(waiting <= 4);
    CHECK(delays.size() >= 20);
    // Responses that are still due hold their connections.
    for (const auto& call : calls) {
      site.RunUntil([&] { return call->m_isDone; });
    }
    CHECK(elsewhere.m_arrivals.empty());
  }
}
