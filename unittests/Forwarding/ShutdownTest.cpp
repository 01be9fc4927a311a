/// Tests of requests at a host that is shutting down.

#include "Forwarding/ForwardSite.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace persimmontally;

using Writer = ForwardSite::Writer;

static void SendAnswer(const HttpRequest& aRequest, const Writer& aWriter)
{
  if (aRequest.m_target.starts_with("/stream")) {
    aWriter->StartStream(200, Genuine(aRequest));
    aWriter->Write(Event(1));
    aWriter->Finish();
    return;
  }
  aWriter->SendResponse({ 200, Genuine(aRequest), "answer" });
}

// Guards against requests that are cut when the process is killed.
TEST_CASE("a host that is shutting down takes only what can end in time")
{
  struct Row
  {
    const char* m_path;
    HttpHeaders m_headers;
    int m_status;
  };
  for (const Row& row : std::vector<Row>{
         { "/unsafe/x", { { "Deadline-Ms", "1000" } }, 200 },
         // The timeout of the route, 1.5 s, comes first.
         { "/unsafe/x", { { "Deadline-Ms", "9000" } }, 200 },
         { "/stream/x", { { "Token-Count", "100,8" } }, 200 },
       }) {
    for (bool hasTime : { true, false }) {
      CAPTURE(std::string(row.m_path));
      CAPTURE(hasTime);
      ForwardSite site;
      site.AddUpstream("engine", "engines", SendAnswer);
      site.AddUpstream("plain", "plain", SendAnswer);
      site.Gateway().BeginShutdown(
        site.Loop().Now() + (hasTime ? milliseconds(2500) : milliseconds(500)));
      Instant sentAt = site.Loop().Now();
      HttpResponse response = site.Finish(row.m_path, row.m_headers);
      CHECK(response.m_status == (hasTime ? 200 : 503));
      CHECK(response.Header("Retry-After").empty() == hasTime);
      CHECK(site.Loop().Now() - sentAt < milliseconds(300));
    }
  }
}

// Guards against requests that wait at a host until it is killed.
TEST_CASE("a shutdown refuses what waits and could not end in time, at once")
{
  ForwardSite site;
  std::vector<Writer> held;
  site.AddUpstream(
    "engine", "engines", [&](const HttpRequest&, const Writer& aWriter) {
      held.push_back(aWriter);
    });
  const HttpHeaders headers = { { "X-Api-Key", "key" },
                                { "Token-Count", "1000,800" } };
  std::vector<std::shared_ptr<ForwardSite::Call>> calls;
  constexpr size_t kCalls = 20;
  for (size_t i = 0; i < kCalls; ++i) {
    calls.push_back(site.Start("/stream/x", headers));
  }
  site.RunUntil(
    [&] { return site.Gateway().OpenRequests() == kCalls && held.size() > 2; });
  Instant begin = site.Loop().Now();
  site.Gateway().BeginShutdown(begin + milliseconds(800));
  size_t sent = held.size();
  auto countDone = [&] {
    return static_cast<size_t>(
      std::count_if(calls.begin(), calls.end(), [](const auto& aCall) {
        return aCall->m_isDone && aCall->m_response.m_status == 503;
      }));
  };
  site.RunUntil([&] { return countDone() == kCalls - sent; });
  CHECK(site.Loop().Now() - begin < milliseconds(300));
  CHECK(held.size() == sent);
  site.Gateway().EndRequests();
  site.RunUntil([&] { return site.Gateway().OpenRequests() == 0; });
  site.RunUntil([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& aCall) {
      return aCall->m_isDone;
    });
  });
  CHECK(std::count_if(calls.begin(), calls.end(), [](const auto& aCall) {
          return aCall->m_response.m_status == 502;
        }) == static_cast<int>(sent));
}
