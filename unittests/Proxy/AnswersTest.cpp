/// What callers get when upstreams answer, fail, double or leave.

#include "Proxy/TestSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

using Writer = std::shared_ptr<ResponseWriter>;

static const std::string kStreamed =
  R"({"model": "default", "prompt": "x", "stream": true})";
static const std::string kWhole = R"({"model": "default", "prompt": "x"})";

static bool IsResume(const HttpRequest& aRequest)
{
  return aRequest.m_method == "GET" &&
         aRequest.m_target.starts_with("/v1/generations/");
}

static bool IsCompletion(const HttpRequest& aRequest)
{
  return aRequest.m_target == "/v1/completions";
}

static void StreamPart(const Writer& aWriter, const std::string& aEvents)
{
  aWriter->StartStream(200, { { "Content-Type", "text/event-stream" } });
  aWriter->Write(aEvents);
}

/// Sends part of a stream, then breaks the connection once it is written.
static void StreamAndBreak(EventLoop& aLoop,
                           const Writer& aWriter,
                           const std::string& aEvents)
{
  StreamPart(aWriter, aEvents);
  auto timer = std::make_shared<Timer>();
  *timer =
    aLoop.RunAfter(milliseconds(30), [aWriter, timer] { aWriter->Abort(); });
}

static void StreamWhole(const Writer& aWriter, const std::string& aEvents)
{
  StreamPart(aWriter, aEvents);
  aWriter->Finish();
}

/// Texts of the tokens a caller saw, joined.
static std::string SeenText(const std::string& aBody)
{
  std::string text;
  constexpr std::string_view kKey = "\"text\":\"";
  size_t at = 0;
  while ((at = aBody.find(kKey, at)) != std::string::npos) {
    at += kKey.size();
    text += aBody.substr(at, aBody.find('"', at) - at);
  }
  return text;
}

TEST_CASE("answers of one upstream, by how it behaves")
{
  struct Row
  {
    std::string m_name;
    bool m_isStream;
    std::function<void(EventLoop&, const HttpRequest&, const Writer&)>
      m_upstream;
    std::string m_text;
    std::string m_errorKind;
  };
  const std::string abc =
    TokenEvent(0, "a") + TokenEvent(1, "b") + TokenEvent(2, "c");
  const std::vector<Row> rows = {
    { "whole stream",
      true,
      [&](EventLoop&, const HttpRequest&, const Writer& aWriter) {
        StreamWhole(aWriter, abc + EndEvents(3));
      },
      "abc",
      "" },
    { "whole answer",
      false,
      [&](EventLoop&, const HttpRequest&, const Writer& aWriter) {
        StreamWhole(aWriter, abc + EndEvents(3));
      },
      "abc",
      "" },
    { "doubled tokens are dropped",
      true,
      [&](EventLoop&, const HttpRequest&, const Writer& aWriter) {
        StreamWhole(aWriter, abc + TokenEvent(1, "b") + EndEvents(3));
      },
      "abc",
      "" },
    { "a skipped token is fetched by a resume",
      true,
      [&](EventLoop&, const HttpRequest& aRequest, const Writer& aWriter) {
        if (IsResume(aRequest)) {
          StreamWhole(aWriter,
                      TokenEvent(1, "b") + TokenEvent(2, "c") + EndEvents(3));
        } else if (IsCompletion(aRequest)) {
          StreamPart(aWriter, TokenEvent(0, "a") + TokenEvent(2, "c"));
          // Held open: the gateway must act on the gap by itself.
          aWriter->OnClosed([aWriter] {});
        }
      },
      "abc",
      "" },
    { "a broken stream goes on in the same generation",
      true,
      [&](
        EventLoop& aLoop, const HttpRequest& aRequest, const Writer& aWriter) {
        if (IsResume(aRequest)) {
          CHECK(aRequest.Header("Last-Event-ID") == "0");
          StreamWhole(aWriter,
                      TokenEvent(1, "b") + TokenEvent(2, "c") + EndEvents(3));
        } else if (IsCompletion(aRequest)) {
          StreamAndBreak(aLoop, aWriter, TokenEvent(0, "a"));
        }
      },
      "abc",
      "" },
    { "a broken stream that cannot resume is interrupted",
      true,
      [&](
        EventLoop& aLoop, const HttpRequest& aRequest, const Writer& aWriter) {
        if (IsCompletion(aRequest)) {
          StreamAndBreak(aLoop, aWriter, TokenEvent(0, "a"));
        } else {
          aWriter->SendWhole({ 404, {}, "{}" });
        }
      },
      "a",
      "interrupted" },
    { "an end without its marker is no whole answer",
      true,
      [&](EventLoop&, const HttpRequest& aRequest, const Writer& aWriter) {
        if (IsCompletion(aRequest)) {
          StreamWhole(aWriter, abc);
        } else {
          aWriter->SendWhole({ 404, {}, "{}" });
        }
      },
      "abc",
      "interrupted" },
    { "refusing every attempt",
      true,
      [&](EventLoop&, const HttpRequest&, const Writer& aWriter) {
        aWriter->SendWhole({ 503, {}, "{}" });
      },
      "",
      "upstream_failed" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    TestSite site;
    FakeUpstream upstream(
      site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
        row.m_upstream(site.Loop(), aRequest, aWriter);
      });
    site.Announce("engine", upstream.Listen(site.Net() + ".9"));
    HttpResponse response =
      site.Call(CompletionOf(row.m_isStream ? kStreamed : kWhole));
    CHECK(SeenText(response.m_body) == row.m_text);
    bool isWhole = response.m_body.find("data: [DONE]") != std::string::npos;
    CHECK(isWhole == (row.m_isStream && row.m_errorKind.empty()));
    if (!row.m_errorKind.empty()) {
      CHECK(response.m_body.find("\"kind\":\"" + row.m_errorKind + "\"") !=
            std::string::npos);
    }
  }
}

TEST_CASE("before the first token a failed attempt is made anew elsewhere")
{
  TestSite site;
  FakeUpstream bad(site.Loop(), [&](const HttpRequest&, const Writer& aWriter) {
    aWriter->Abort();
  });
  FakeUpstream good(site.Loop(), [](const HttpRequest&, const Writer& aWriter) {
    StreamWhole(aWriter, TokenEvent(0, "a") + EndEvents(1));
  });
  site.Announce("a-bad", bad.Listen(site.Net() + ".9"));
  site.Announce("b-good", good.Listen(site.Net() + ".10"));
  for (int i = 0; i < 4; ++i) {
    HttpResponse response = site.Call(CompletionOf(kStreamed));
    CHECK(SeenText(response.m_body) == "a");
  }
  CHECK(bad.Count("POST /v1/completions") >= 1);
}

TEST_CASE("hosts of a data centre never overfill an upstream together")
{
  TestSite site(3);
  size_t running = 0;
  size_t most = 0;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
      if (!IsCompletion(aRequest)) {
        aWriter->SendWhole({ 404, {}, "{}" });
        return;
      }
      most = std::max(most, ++running);
      auto timer = std::make_shared<Timer>();
      *timer = site.Loop().RunAfter(milliseconds(40), [&, aWriter, timer] {
        --running;
        StreamWhole(aWriter, TokenEvent(0, "a") + EndEvents(1));
      });
    });
  site.Announce("engine", upstream.Listen(site.Net() + ".9"));
  std::vector<std::shared_ptr<TestSite::PendingCall>> calls;
  for (size_t i = 0; i < 60; ++i) {
    calls.push_back(site.Start(CompletionOf(kStreamed), i % 3));
  }
  for (const auto& call : calls) {
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(SeenText(call->m_response.m_body) == "a");
  }
  // The upstream announced eight slots.
  CHECK(most <= 8);
  CHECK(most >= 6);
}

TEST_CASE("without an upstream in time a request is refused as not run")
{
  TestSite site;
  HttpRequest request = CompletionOf(kStreamed);
  request.m_headers.push_back({ "X-Rank", "urgent" });
  HttpResponse response = site.Call(request);
  CHECK(response.m_status == 503);
  CHECK(JsonAt(response.m_body, "/error/ran") == "no");
  CHECK_FALSE(response.Header("Retry-After").empty());
}

TEST_CASE("a caller that goes away ends its generation at the upstream")
{
  TestSite site;
  std::string cancelled;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
      if (aRequest.m_method == "DELETE") {
        cancelled = aRequest.m_target;
        aWriter->SendWhole({ 200, {}, "{}" });
        return;
      }
      StreamPart(aWriter, TokenEvent(0, "a"));
      // Held open until the caller goes.
      aWriter->OnClosed([aWriter] {});
    });
  site.Announce("engine", upstream.Listen(site.Net() + ".9"));
  auto pending = site.Start(CompletionOf(kStreamed));
  site.RunUntil([&] { return upstream.Count("POST /v1/completions") == 1; });
  site.RunFor(milliseconds(50));
  pending->m_call->Cancel();
  site.RunUntil([&] { return !cancelled.empty(); });
  CHECK(cancelled.starts_with("/v1/generations/"));
}

TEST_CASE("an order runs once, whatever is resent where")
{
  TestSite site(3);
  int runs = 0;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest&, const Writer& aWriter) {
      ++runs;
      auto timer = std::make_shared<Timer>();
      *timer = site.Loop().RunAfter(milliseconds(200), [aWriter, timer] {
        aWriter->SendWhole(
          { 201, { { "Content-Type", "text/plain" } }, "crew sent" });
      });
    });
  site.Announce("orders", upstream.Listen(site.Net() + ".9"), "orders");
  std::vector<std::shared_ptr<TestSite::PendingCall>> calls;
  for (size_t i = 0; i < 6; ++i) {
    calls.push_back(site.Start(OrderOf("curve-17", "{}"), i % 3));
  }
  for (const auto& call : calls) {
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_response.m_status == 201);
    CHECK(call->m_response.m_body == "crew sent");
  }
  HttpResponse late = site.Call(OrderOf("curve-17", "{}"), 2);
  CHECK(late.m_body == "crew sent");
  CHECK(late.Header("Idempotent-Replayed") == "true");
  CHECK(runs == 1);
  HttpResponse other = site.Call(OrderOf("curve-17", "{\"other\": 1}"), 1);
  CHECK(other.m_status == 422);
  CHECK(runs == 1);
}

TEST_CASE("an order whose answer is lost is never run again")
{
  TestSite site;
  int runs = 0;
  FakeUpstream upstream(site.Loop(),
                        [&](const HttpRequest&, const Writer& aWriter) {
                          ++runs;
                          aWriter->Abort();
                        });
  site.Announce("orders", upstream.Listen(site.Net() + ".9"), "orders");
  for (int i = 0; i < 3; ++i) {
    HttpResponse response = site.Call(OrderOf("lost", "{}"));
    CHECK(response.m_status == 409);
    CHECK(JsonAt(response.m_body, "/error/kind") == "outcome_unknown");
    CHECK(JsonAt(response.m_body, "/error/ran") == "unknown");
  }
  CHECK(runs == 1);
}

TEST_CASE("an order that was never sent can be sent later under its key")
{
  TestSite site;
  // Nothing listens at this address.
  site.Announce("orders", { site.Net() + ".9", 9 }, "orders");
  HttpResponse refused = site.Call(OrderOf("later", "{}"));
  CHECK(JsonAt(refused.m_body, "/error/ran") == "no");
  FakeUpstream upstream(site.Loop(),
                        [&](const HttpRequest&, const Writer& aWriter) {
                          aWriter->SendWhole({ 200, {}, "done" });
                        });
  site.Announce("orders-2", upstream.Listen(site.Net() + ".10"), "orders");
  HttpResponse response;
  for (int i = 0; i < 20 && response.m_body != "done"; ++i) {
    response = site.Call(OrderOf("later", "{}"));
  }
  CHECK(response.m_body == "done");
}

TEST_CASE("a shutdown lets open answers end and refuses new work as not run")
{
  TestSite site;
  Writer held;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
      if (IsCompletion(aRequest)) {
        StreamPart(aWriter, TokenEvent(0, "a"));
        held = aWriter;
      }
    });
  site.Announce("engine", upstream.Listen(site.Net() + ".9"));
  auto pending = site.Start(CompletionOf(kStreamed));
  site.RunUntil([&] { return held != nullptr; });
  site.Host(0).BeginShutdown();
  HttpRequest ready;
  ready.m_method = "GET";
  ready.m_target = "/readyz";
  CHECK(site.Call(ready).m_status == 503);
  site.RunFor(milliseconds(200));
  CHECK_FALSE(pending->m_isDone);
  held->Write(TokenEvent(1, "b") + EndEvents(2));
  held->Finish();
  held.reset();
  site.RunUntil([&] { return pending->m_isDone; });
  CHECK(SeenText(pending->m_response.m_body) == "ab");
  CHECK(pending->m_response.m_body.find("[DONE]") != std::string::npos);
}
