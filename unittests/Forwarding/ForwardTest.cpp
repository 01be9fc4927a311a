// Tests for requests on routes, with upstreams that fail or misbehave.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/TwoEngines.h"

#include <doctest/doctest.h>

using namespace persimmontally;

using Writer = ForwardSite::Writer;

static void SendGenuineResponse(const HttpRequest& aRequest,
                                const Writer& aWriter)
{
  aWriter->SendResponse({ 200, Genuine(aRequest), "answer" });
}

TEST_CASE("requests without a route or a valid key are refused by the host")
{
  ForwardSite site;
  site.AddUpstream("s1", "plain", SendGenuineResponse);
  struct Row
  {
    const char* m_path;
    const char* m_key;
    int m_status;
  };
  for (const Row& row : { Row{ "/safe/x", "key", 200 },
                          Row{ "/safe/x", "other", 401 },
                          Row{ "/safe/x", "", 401 },
                          Row{ "/public/x", "", 200 },
                          Row{ "/none/x", "key", 404 },
                          Row{ "/safe", "key", 404 } }) {
    CAPTURE(row.m_path);
    CAPTURE(row.m_key);
    auto call = site.Start(row.m_path, { { "X-Api-Key", row.m_key } });
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_response.m_status == row.m_status);
  }
}

TEST_CASE("the upstream receives the account but not the API key")
{
  ForwardSite site;
  HttpRequest seen;
  site.AddUpstream(
    "s1", "plain", [&](const HttpRequest& aRequest, const Writer& aWriter) {
      seen = aRequest;
      SendGenuineResponse(aRequest, aWriter);
    });
  CHECK(site.Finish("/unsafe/x?q=1").m_body == "answer");
  CHECK(seen.m_target == "/unsafe/x?q=1");
  CHECK(seen.m_body == "body");
  CHECK(seen.Header("Tenant") == "t");
  CHECK(seen.Header("X-Api-Key").empty());
  CHECK(seen.Header("Expect-Instance") == "s1");
}

TEST_CASE("responses that are not genuine are not forwarded to the caller")
{
  struct Row
  {
    const char* m_name;
    std::function<void(const HttpRequest&, const Writer&)> m_answer;
    int m_unsafeStatus;
    int m_safeStatus;
  };
  for (const Row& row : std::vector<Row>{
         { "genuine", SendGenuineResponse, 200, 200 },
         { "no signature",
           [](const HttpRequest&aRequest, const Writer&aWriter) {
             HttpHeaders headers = Genuine(aRequest);
             headers.pop_back();
             aWriter->SendResponse({ 200, headers, "x" });
           },
           502,
           200 },
         { "response to another request",
           [](const HttpRequest&, const Writer&aWriter) {
             aWriter->SendResponse(
               { 200,
                 { { "Request-Id", "z" }, { "Server-Stamp", "s" } },
                 "x" });
           },
           502,
           200 },
         { "truncated response",
           [](const HttpRequest&aRequest, const Writer&aWriter) {
             aWriter->StartStream(200, Genuine(aRequest));
             aWriter->Write("x");
             aWriter->OnDrained([aWriter] { aWriter->Abort(); });
           },
           502,
           200 },
         { "connection closed without a response",
           [](const HttpRequest&, const Writer&aWriter) { aWriter->Abort(); },
           502,
           200 },
         { "status 503 without a statement that it did not run",
           [](const HttpRequest&aRequest, const Writer&aWriter) {
             aWriter->SendResponse({ 503, Genuine(aRequest), "x" });
           },
           502,
           200 },
         { "rejected as not run",
           [](const HttpRequest&, const Writer&aWriter) {
             aWriter->SendResponse({ 503, { { "Not-Run", "1" } }, "" });
           },
           503,
           200 },
         { "genuine status 500",
           [](const HttpRequest&aRequest, const Writer&aWriter) {
             aWriter->SendResponse({ 500, Genuine(aRequest), "x" });
           },
           500,
           200 } }) {
    for (bool isSafe : { false, true }) {
      CAPTURE(row.m_name);
      CAPTURE(isSafe);
      ForwardSite site;
      int runs = 0;
      // For idempotent requests, only the first attempt fails.
      for (const char* id : { "s1", "s2" }) {
        site.AddUpstream(
          id, "plain", [&](const HttpRequest& aRequest, const Writer& aWriter) {
            ++runs;
            if (isSafe && runs > 1) {
              SendGenuineResponse(aRequest, aWriter);
            } else {
              row.m_answer(aRequest, aWriter);
            }
          });
      }
      HttpResponse response = site.Finish(isSafe ? "/safe/x" : "/unsafe/x");
      CHECK(response.m_status ==
            (isSafe ? row.m_safeStatus : row.m_unsafeStatus));
      CHECK(runs <= (isSafe ? 2 : 1));
      bool isRefusal = response.m_status == 503;
      CHECK(response.Header("Retry-After").empty() == !isRefusal);
    }
  }
}

TEST_CASE("a failed connection does not count as an attempt")
{
  ForwardSite site;
  site.AddDeadUpstream("dead", "plain");
  site.AddUpstream("s1", "plain", SendGenuineResponse);
  for (int i = 0; i < 4; ++i) {
    CHECK(site.Finish("/unsafe/x").m_status == 200);
  }
}

TEST_CASE(
  "an upstream whose address was taken over is excluded after one response")
{
  ForwardSite site;
  int misdirected = 0;
  site.AddUpstream(
    "old", "plain", [&](const HttpRequest&, const Writer& aWriter) {
      ++misdirected;
      aWriter->SendResponse({ 421, { { "Instance-Id", "new" } }, "" });
    });
  site.AddUpstream("s1", "plain", SendGenuineResponse);
  for (int i = 0; i < 8; ++i) {
    int status = site.Finish("/unsafe/x").m_status;
    CHECK((status == 200 || status == 503));
  }
  CHECK(misdirected <= 1);
}

TEST_CASE("a request that was sent is answered with 504 at its timeout")
{
  ForwardSite site;
  bool isClosed = false;
  site.AddUpstream(
    "s1", "plain", [&](const HttpRequest&, const Writer& aWriter) {
      aWriter->OnClosed([&, aWriter] { isClosed = true; });
    });
  HttpResponse response =
    site.Finish("/unsafe/x", { { "Deadline-Ms", "100" } });
  CHECK(response.m_status == 504);
  CHECK(response.Header("Retry-After").empty());
  site.RunUntil([&] { return isClosed; });
}

TEST_CASE("the upstream call is closed when the caller disconnects")
{
  ForwardSite site;
  bool isRunning = false;
  bool isClosed = false;
  site.AddUpstream(
    "s1", "plain", [&](const HttpRequest&, const Writer& aWriter) {
      isRunning = true;
      aWriter->OnClosed([&, aWriter] { isClosed = true; });
    });
  auto call = site.Start("/unsafe/x", { { "X-Api-Key", "key" } });
  site.RunUntil([&] { return isRunning; });
  call->m_call->Cancel();
  site.RunUntil([&] { return isClosed; });
  CHECK(site.Gateway().OpenRequests() == 0);
}

TEST_CASE("a request that no upstream can run is refused with 503")
{
  ForwardSite site;
  HttpResponse response =
    site.Finish("/unsafe/x", { { "Deadline-Ms", "200" } });
  CHECK(response.m_status == 503);
}

TEST_CASE("requests that arrive before the catalog are held until it arrives")
{
  struct Row
  {
    const char* m_callerTimeout;
    bool m_isCatalogInTime;
    int m_status;
  };
  for (const Row& row :
       { Row{ "2500", true, 200 }, Row{ "2500", false, 503 } }) {
    CAPTURE(row.m_isCatalogInTime);
    ForwardSite site;
    site.AddUpstream("s1", "plain", SendGenuineResponse);
    RouteTablePtr routes = site.Gateway().Routes();
    site.Gateway().SetRoutes(nullptr);
    auto call = site.Start(
      "/unsafe/x",
      { { "X-Api-Key", "key" }, { "Deadline-Ms", row.m_callerTimeout } });
    site.RunUntil([&] { return site.Gateway().OpenRequests() == 1; });
    if (row.m_isCatalogInTime) {
      site.Gateway().SetRoutes(routes);
    }
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_response.m_status == row.m_status);
  }
}

// Generations whose engine fails or is reclaimed: backups and migration.

TEST_CASE(
  "a generation with a backup survives its engine without gaps or repeats")
{
  struct Row
  {
    const char* m_name;
    int m_failAfterEvents;
    bool m_isNoticeGiven;
    bool m_hasCopy;
    bool m_isComplete;
  };
  for (const Row& row : {
         Row{ "no failure", 0, false, true, true },
         Row{ "the engine fails", 10, false, true, true },
         Row{ "the engine is reclaimed", 10, true, true, true },
         Row{ "the engine fails before its backup is complete",
              2,
              false,
              false,
              false },
       }) {
    CAPTURE(row.m_name);
    TwoEngines engines(
      true, [&](FakeEngine& aEngine) { aEngine.m_hasCopy = row.m_hasCopy; });
    FakeEngine& first = engines.First();
    FakeEngine& second = engines.Second();
    Endpoint backup = engines.m_site.EndpointOf(second.m_id);
    CHECK(first.m_backups == std::vector<std::string>{ ToString(backup) });
    if (row.m_failAfterEvents > 0) {
      engines.m_site.RunUntil(
        [&] { return first.m_eventsSent >= row.m_failAfterEvents; });
      if (row.m_isNoticeGiven) {
        engines.m_site.SetState(first.m_id, UpstreamState::Leaving);
        engines.m_site.RunUntil(
          [&] { return first.m_eventsSent >= 2 * row.m_failAfterEvents; });
        CHECK(second.m_generationsStarted == 0);
      }
      first.AbortStream();
    }
    engines.Finish();
    CHECK(engines.m_call->m_status.ok() == row.m_isComplete);
    CHECK((engines.m_call->m_response.m_body == Events(40)) ==
          row.m_isComplete);
    CHECK(second.m_generationsStarted ==
          (row.m_failAfterEvents > 0 && row.m_hasCopy ? 1 : 0));
  }
}

TEST_CASE("without backups a generation migrates by a rescue copy")
{
  struct Row
  {
    const char* m_name;
    int m_copyStatus;
    int m_lastPartStatus;
    /// Whether the generation resumes at the target of the copy.
    bool m_resumesAtTarget;
  };
  for (const Row& row : {
         Row{ "both parts are copied", 200, 200, true },
         Row{ "the last part is not copied, and the source resumes",
              200,
              503,
              false },
         Row{ "the first copy is rejected", 503, 200, true },
       }) {
    CAPTURE(row.m_name);
    TwoEngines engines(false, [&](FakeEngine& aEngine) {
      aEngine.m_copyStatus = row.m_copyStatus;
      aEngine.m_lastPartStatus = row.m_lastPartStatus;
    });
    FakeEngine& source = engines.First();
    CHECK(source.m_backups == std::vector<std::string>{ "" });
    engines.m_site.RunUntil([&] { return source.m_eventsSent >= 5; });
    engines.m_site.SetState(source.m_id, UpstreamState::Leaving);
    if (row.m_copyStatus != 200) {
      engines.m_site.RunUntil([&] { return source.m_copyRequests >= 2; });
      source.m_copyStatus = 200;
    }
    engines.Finish();
    CHECK(engines.m_call->m_status.ok());
    CHECK(engines.m_call->m_response.m_body == Events(40));
    CHECK(engines.Second().m_generationsStarted ==
          (row.m_resumesAtTarget ? 1 : 0));
    CHECK(source.m_generationsStarted >= (row.m_resumesAtTarget ? 1 : 2));
  }
}

// Guards against a generation that is moved to an engine which has begun to
// leave, and is lost with it.
TEST_CASE("a migration whose target begins to leave carries on to another "
          "engine")
{
  struct Row
  {
    const char* m_name;
    UpstreamState m_state;
    bool m_isDuringLastPart;
    bool m_goesOnAtTarget;
  };
  for (const Row& row :
       { Row{ "target leaves", UpstreamState::Leaving, false, false },
         Row{ "target is gone", UpstreamState::Gone, false, false },
         // It is still within its notice, and the source has stopped.
         Row{ "target leaves after the last check",
              UpstreamState::Leaving,
              true,
              true } }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site(false);
    std::vector<std::unique_ptr<FakeEngine>> engines;
    std::map<std::string, FakeEngine*> byAddress;
    std::string target;
    for (const char* id : { "e1", "e2", "e3" }) {
      engines.push_back(std::make_unique<FakeEngine>(site, id));
      FakeEngine* engine = engines.back().get();
      engine->m_onCopyRequest = [&](const std::string& aBody) {
        bool isLast = aBody.find("last") != std::string::npos;
        if (!target.empty() || isLast != row.m_isDuringLastPart) {
          return;
        }
        for (const auto& [address, other] : byAddress) {
          target =
            aBody.find(address) != std::string::npos ? other->m_id : target;
        }
        site.SetState(target, row.m_state);
      };
      site.AddUpstream(
        id,
        "engines",
        [engine](const HttpRequest& aRequest, const Writer& aWriter) {
          engine->Handle(aRequest, aWriter);
        });
      byAddress[ToString(site.EndpointOf(id))] = engine;
    }
    auto call = site.Start("/stream/x", kLongOutput);
    FakeEngine* source = nullptr;
    site.RunUntil([&] {
      for (const auto& engine : engines) {
        source = engine->m_eventsSent >= 5 ? engine.get() : source;
      }
      return source != nullptr;
    });
    site.SetState(source->m_id, UpstreamState::Leaving);
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_status.ok());
    CHECK(call->m_response.m_body == Events(40));
    REQUIRE(!target.empty());
    CHECK(source->m_generationsStarted == 1);
    for (const auto& engine : engines) {
      if (engine->m_id == target) {
        CHECK(engine->m_generationsStarted == (row.m_goesOnAtTarget ? 1 : 0));
      } else if (engine.get() != source) {
        // From a target that leaves it is migrated once more.
        CHECK(engine->m_generationsStarted == 1);
      }
    }
  }
}

TEST_CASE("a short generation has no backup and fails with its engine")
{
  ForwardSite site;
  FakeEngine engine(site, "e1");
  site.AddUpstream(
    "e1", "engines", [&](const HttpRequest& aRequest, const Writer& aWriter) {
      engine.Handle(aRequest, aWriter);
    });
  site.AddUpstream("e2", "engines", SendGenuineResponse);
  HttpHeaders headers = { { "X-Api-Key", "key" }, { "Token-Count", "100,20" } };
  auto call = site.Start("/stream/x", headers);
  site.RunUntil(
    [&] { return engine.m_generationsStarted > 0 || call->m_isDone; });
  if (engine.m_generationsStarted > 0) {
    CHECK(engine.m_backups == std::vector<std::string>{ "" });
    engine.AbortStream();
  }
  site.RunUntil([&] { return call->m_isDone; });
  CHECK(engine.m_generationsStarted <= 1);
  if (engine.m_generationsStarted > 0) {
    CHECK(!call->m_status.ok());
  }
}

TEST_CASE("the gateway reports that it is busy once a generation has to leave "
          "its engine")
{
  TwoEngines engines(false, [](FakeEngine&) {});
  ForwardGateway& gateway = engines.m_site.Gateway();
  FakeEngine& source = engines.First();
  engines.m_site.RunUntil(
    [&] { return source.m_eventsSent >= 5 && !gateway.IsBusy(); });
  int reports = 0;
  gateway.OnBusy([&] { ++reports; });
  engines.m_site.SetState(source.m_id, UpstreamState::Leaving);
  gateway.Tick();
  CHECK(gateway.IsBusy());
  CHECK(reports == 1);
  engines.Finish();
}

// Guards against hosts that restart together and count as the only one each:
// 294 of them may repeat 441 requests at once.
TEST_CASE("a host that has just started repeats few requests")
{
  constexpr int kRequests = 8;
  ForwardSite site;
  int arrivals = 0;
  for (const char* id : { "s1", "s2" }) {
    site.AddUpstream(
      id, "plain", [&](const HttpRequest& aRequest, const Writer& aWriter) {
        ++arrivals;
        aWriter->SendResponse({ 500, Genuine(aRequest), "x" });
      });
  }
  for (int i = 0; i < kRequests; ++i) {
    CHECK(site.Finish("/safe/x").m_status == 500);
  }
  double earned = kRequests * RetryBudget::kRetriesPerRequest;
  CHECK(arrivals - kRequests <= RetryBudget::kMinSavedRetries + earned);
}
