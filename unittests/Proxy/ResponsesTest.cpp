/// Responses to callers when upstreams finish, fail, repeat or skip tokens, or
/// disconnect.

#include "Proxy/TestSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

using Writer = std::shared_ptr<ResponseWriter>;

static const std::string kStreamingBody =
  R"({"model": "default", "prompt": "x", "stream": true})";
static const std::string kNonStreamingBody =
  R"({"model": "default", "prompt": "x"})";

static bool IsResume(const HttpRequest& aRequest)
{
  return aRequest.m_method == "GET" &&
         aRequest.m_target.starts_with("/v1/generations/");
}

static bool IsCompletion(const HttpRequest& aRequest)
{
  return aRequest.m_target == "/v1/completions";
}

static void SendPartialStream(const Writer& aWriter, const std::string& aEvents)
{
  aWriter->StartStream(200, { { "Content-Type", "text/event-stream" } });
  aWriter->Write(aEvents);
}

/// Sends part of a stream, then aborts the connection after the part has been
/// written.
static void SendPartialStreamAndAbort(EventLoop& aLoop,
                                      const Writer& aWriter,
                                      const std::string& aEvents)
{
  SendPartialStream(aWriter, aEvents);
  auto timer = std::make_shared<Timer>();
  *timer =
    aLoop.RunAfter(milliseconds(30), [aWriter, timer] { aWriter->Abort(); });
}

static void SendCompleteStream(const Writer& aWriter,
                               const std::string& aEvents)
{
  SendPartialStream(aWriter, aEvents);
  aWriter->Finish();
}

/// Joins the token texts of a response body.
static std::string ReceivedText(const std::string& aBody)
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

TEST_CASE("responses to callers by the behaviour of a single upstream")
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
    { "complete stream",
      true,
      [&](EventLoop&, const HttpRequest&, const Writer& aWriter) {
        SendCompleteStream(aWriter, abc + EndEvents(3));
      },
      "abc",
      "" },
    { "complete non-streaming response",
      false,
      [&](EventLoop&, const HttpRequest&, const Writer& aWriter) {
        SendCompleteStream(aWriter, abc + EndEvents(3));
      },
      "abc",
      "" },
    { "duplicate tokens are dropped",
      true,
      [&](EventLoop&, const HttpRequest&, const Writer& aWriter) {
        SendCompleteStream(aWriter, abc + TokenEvent(1, "b") + EndEvents(3));
      },
      "abc",
      "" },
    { "a skipped token is recovered by a resume",
      true,
      [&](EventLoop&, const HttpRequest& aRequest, const Writer& aWriter) {
        if (IsResume(aRequest)) {
          SendCompleteStream(
            aWriter, TokenEvent(1, "b") + TokenEvent(2, "c") + EndEvents(3));
        } else if (IsCompletion(aRequest)) {
          SendPartialStream(aWriter, TokenEvent(0, "a") + TokenEvent(2, "c"));
          // The connection stays open: the gateway must resume because of the
          // gap alone.
          aWriter->OnClosed([aWriter] {});
        }
      },
      "abc",
      "" },
    { "a broken stream resumes in the same generation",
      true,
      [&](
        EventLoop& aLoop, const HttpRequest& aRequest, const Writer& aWriter) {
        if (IsResume(aRequest)) {
          CHECK(aRequest.Header("Last-Event-ID") == "0");
          SendCompleteStream(
            aWriter, TokenEvent(1, "b") + TokenEvent(2, "c") + EndEvents(3));
        } else if (IsCompletion(aRequest)) {
          SendPartialStreamAndAbort(aLoop, aWriter, TokenEvent(0, "a"));
        }
      },
      "abc",
      "" },
    { "a broken stream that cannot be resumed is interrupted",
      true,
      [&](
        EventLoop& aLoop, const HttpRequest& aRequest, const Writer& aWriter) {
        if (IsCompletion(aRequest)) {
          SendPartialStreamAndAbort(aLoop, aWriter, TokenEvent(0, "a"));
        } else {
          aWriter->SendResponse({ 404, {}, "{}" });
        }
      },
      "a",
      "interrupted" },
    { "a stream that ends without a finish reason is interrupted",
      true,
      [&](EventLoop&, const HttpRequest& aRequest, const Writer& aWriter) {
        if (IsCompletion(aRequest)) {
          SendCompleteStream(aWriter, abc);
        } else {
          aWriter->SendResponse({ 404, {}, "{}" });
        }
      },
      "abc",
      "interrupted" },
    { "an upstream that rejects every attempt",
      true,
      [&](EventLoop&, const HttpRequest&, const Writer& aWriter) {
        aWriter->SendResponse({ 503, {}, "{}" });
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
    site.Announce("engine", upstream.Listen(site.AddressPrefix() + ".9"));
    HttpResponse response = site.Call(
      CompletionRequestOf(row.m_isStream ? kStreamingBody : kNonStreamingBody));
    CHECK(ReceivedText(response.m_body) == row.m_text);
    bool isWhole = response.m_body.find("data: [DONE]") != std::string::npos;
    CHECK(isWhole == (row.m_isStream && row.m_errorKind.empty()));
    if (!row.m_errorKind.empty()) {
      CHECK(response.m_body.find("\"kind\":\"" + row.m_errorKind + "\"") !=
            std::string::npos);
    }
  }
}

TEST_CASE("an attempt that fails before the first token is retried on another "
          "upstream")
{
  TestSite site;
  FakeUpstream bad(site.Loop(), [&](const HttpRequest&, const Writer& aWriter) {
    aWriter->Abort();
  });
  FakeUpstream good(site.Loop(), [](const HttpRequest&, const Writer& aWriter) {
    SendCompleteStream(aWriter, TokenEvent(0, "a") + EndEvents(1));
  });
  site.Announce("a-bad", bad.Listen(site.AddressPrefix() + ".9"));
  site.Announce("b-good", good.Listen(site.AddressPrefix() + ".10"));
  for (int i = 0; i < 4; ++i) {
    HttpResponse response = site.Call(CompletionRequestOf(kStreamingBody));
    CHECK(ReceivedText(response.m_body) == "a");
  }
  CHECK(bad.Count("POST /v1/completions") >= 1);
}

// Guards against a generation that runs at two engines: an engine works on
// until its cancellation, whatever becomes of the connection.
TEST_CASE("the next attempt starts after the cancellation of the last one")
{
  TestSite site;
  bool isRunning = false;
  bool wasRunningBeside = false;
  Timer cancellation;
  FakeUpstream bad(
    site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
      if (IsCompletion(aRequest)) {
        isRunning = true;
        aWriter->Abort();
        return;
      }
      cancellation = site.Loop().RunAfter(milliseconds(200), [&, aWriter] {
        isRunning = false;
        aWriter->SendResponse({ 200, {}, "{}" });
      });
    });
  FakeUpstream good(
    site.Loop(), [&](const HttpRequest&, const Writer& aWriter) {
      wasRunningBeside = wasRunningBeside || isRunning;
      SendCompleteStream(aWriter, TokenEvent(0, "a") + EndEvents(1));
    });
  site.Announce("a-bad", bad.Listen(site.AddressPrefix() + ".9"));
  site.Announce("b-good", good.Listen(site.AddressPrefix() + ".10"));
  for (int i = 0; i < 4; ++i) {
    HttpResponse response = site.Call(CompletionRequestOf(kStreamingBody));
    CHECK(ReceivedText(response.m_body) == "a");
  }
  CHECK(bad.Count("POST /v1/completions") >= 1);
  CHECK(!wasRunningBeside);
}

TEST_CASE("hosts of a data centre together never exceed the slots of an "
          "upstream")
{
  TestSite site(3);
  size_t running = 0;
  size_t peak = 0;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
      if (!IsCompletion(aRequest)) {
        aWriter->SendResponse({ 404, {}, "{}" });
        return;
      }
      peak = std::max(peak, ++running);
      auto timer = std::make_shared<Timer>();
      *timer = site.Loop().RunAfter(milliseconds(40), [&, aWriter, timer] {
        --running;
        SendCompleteStream(aWriter, TokenEvent(0, "a") + EndEvents(1));
      });
    });
  site.Announce("engine", upstream.Listen(site.AddressPrefix() + ".9"));
  std::vector<std::shared_ptr<TestSite::PendingCall>> calls;
  for (size_t i = 0; i < 60; ++i) {
    calls.push_back(site.Start(CompletionRequestOf(kStreamingBody), i % 3));
  }
  for (const auto& call : calls) {
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(ReceivedText(call->m_response.m_body) == "a");
  }
  // The upstream announced eight slots.
  CHECK(peak <= 8);
  CHECK(peak >= 6);
}

TEST_CASE("a request that finds no upstream before its deadline is refused as "
          "not run")
{
  TestSite site;
  HttpRequest request = CompletionRequestOf(kStreamingBody);
  request.m_headers.push_back({ "X-Rank", "urgent" });
  HttpResponse response = site.Call(request);
  CHECK(response.m_status == 503);
  CHECK(JsonAt(response.m_body, "/error/ran") == "no");
  CHECK_FALSE(response.Header("Retry-After").empty());
}

TEST_CASE(
  "a generation is cancelled at the upstream when its caller disconnects")
{
  TestSite site;
  std::string cancelled;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
      if (aRequest.m_method == "DELETE") {
        cancelled = aRequest.m_target;
        aWriter->SendResponse({ 200, {}, "{}" });
        return;
      }
      SendPartialStream(aWriter, TokenEvent(0, "a"));
      // The connection stays open until the caller disconnects.
      aWriter->OnClosed([aWriter] {});
    });
  site.Announce("engine", upstream.Listen(site.AddressPrefix() + ".9"));
  auto pending = site.Start(CompletionRequestOf(kStreamingBody));
  site.RunUntil([&] { return upstream.Count("POST /v1/completions") == 1; });
  site.RunFor(milliseconds(50));
  pending->m_call->Cancel();
  site.RunUntil([&] { return !cancelled.empty(); });
  CHECK(cancelled.starts_with("/v1/generations/"));
}

TEST_CASE(
  "a non-repeatable call runs once when it is repeated on several hosts")
{
  TestSite site(3);
  int runs = 0;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest&, const Writer& aWriter) {
      ++runs;
      auto timer = std::make_shared<Timer>();
      *timer = site.Loop().RunAfter(milliseconds(200), [aWriter, timer] {
        aWriter->SendResponse(
          { 201, { { "Content-Type", "text/plain" } }, "crew sent" });
      });
    });
  site.Announce(
    "orders", upstream.Listen(site.AddressPrefix() + ".9"), "orders");
  std::vector<std::shared_ptr<TestSite::PendingCall>> calls;
  for (size_t i = 0; i < 6; ++i) {
    calls.push_back(site.Start(OrderRequestOf("curve-17", "{}"), i % 3));
  }
  for (const auto& call : calls) {
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_response.m_status == 201);
    CHECK(call->m_response.m_body == "crew sent");
  }
  HttpResponse late = site.Call(OrderRequestOf("curve-17", "{}"), 2);
  CHECK(late.m_body == "crew sent");
  CHECK(late.Header("Idempotent-Replayed") == "true");
  CHECK(runs == 1);
  HttpResponse other =
    site.Call(OrderRequestOf("curve-17", "{\"other\": 1}"), 1);
  CHECK(other.m_status == 422);
  CHECK(runs == 1);
}

TEST_CASE("a non-repeatable call whose response is lost is never run again")
{
  TestSite site;
  int runs = 0;
  FakeUpstream upstream(site.Loop(),
                        [&](const HttpRequest&, const Writer& aWriter) {
                          ++runs;
                          aWriter->Abort();
                        });
  site.Announce(
    "orders", upstream.Listen(site.AddressPrefix() + ".9"), "orders");
  for (int i = 0; i < 3; ++i) {
    HttpResponse response = site.Call(OrderRequestOf("lost", "{}"));
    CHECK(response.m_status == 409);
    CHECK(JsonAt(response.m_body, "/error/kind") == "outcome_unknown");
    CHECK(JsonAt(response.m_body, "/error/ran") == "unknown");
  }
  CHECK(runs == 1);
}

TEST_CASE("a non-repeatable call that was never sent can be repeated under its "
          "key")
{
  TestSite site;
  // Nothing listens at this address.
  site.Announce("orders", { site.AddressPrefix() + ".9", 9 }, "orders");
  HttpResponse refused = site.Call(OrderRequestOf("later", "{}"));
  CHECK(JsonAt(refused.m_body, "/error/ran") == "no");
  FakeUpstream upstream(site.Loop(),
                        [&](const HttpRequest&, const Writer& aWriter) {
                          aWriter->SendResponse({ 200, {}, "done" });
                        });
  site.Announce(
    "orders-2", upstream.Listen(site.AddressPrefix() + ".10"), "orders");
  HttpResponse response;
  for (int i = 0; i < 20 && response.m_body != "done"; ++i) {
    response = site.Call(OrderRequestOf("later", "{}"));
  }
  CHECK(response.m_body == "done");
}

TEST_CASE("a shutdown lets open responses finish and fails readiness")
{
  TestSite site;
  Writer held;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
      if (IsCompletion(aRequest)) {
        SendPartialStream(aWriter, TokenEvent(0, "a"));
        held = aWriter;
      }
    });
  site.Announce("engine", upstream.Listen(site.AddressPrefix() + ".9"));
  auto pending = site.Start(CompletionRequestOf(kStreamingBody));
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
  CHECK(ReceivedText(pending->m_response.m_body) == "ab");
  CHECK(pending->m_response.m_body.find("[DONE]") != std::string::npos);
}

// Guards against requests that a shutdown cuts without a response.
TEST_CASE("a shutdown ends what is still open before the process is killed")
{
  TestSite site;
  std::vector<Writer> held;
  FakeUpstream engine(site.Loop(),
                      [&](const HttpRequest& aRequest, const Writer& aWriter) {
                        if (IsCompletion(aRequest)) {
                          held.push_back(aWriter);
                          if (held.size() == 1) {
                            SendPartialStream(aWriter, TokenEvent(0, "a"));
                          }
                        }
                      });
  FakeUpstream orders(site.Loop(), [&](const auto&, const Writer& aWriter) {
    held.push_back(aWriter);
  });
  site.Announce("engine", engine.Listen(site.AddressPrefix() + ".9"));
  auto streamed = site.Start(CompletionRequestOf(kStreamingBody));
  site.RunUntil([&] { return held.size() == 1; });
  auto unstarted = site.Start(CompletionRequestOf(kStreamingBody));
  site.RunUntil([&] { return held.size() == 2; });
  site.Announce(
    "orders", orders.Listen(site.AddressPrefix() + ".10"), "orders");
  auto order = site.Start(OrderRequestOf("key-1", "{}"));
  site.RunUntil([&] { return held.size() == 3; });
  site.Host(0).BeginShutdown();
  site.RunUntil([&] {
    return streamed->m_isDone && unstarted->m_isDone && order->m_isDone;
  });
  CHECK(streamed->m_status.ok());
  CHECK(streamed->m_response.m_body.find("interrupted") != std::string::npos);
  CHECK(JsonAt(unstarted->m_response.m_body, "/error/ran") == "unknown");
  CHECK(JsonAt(order->m_response.m_body, "/error/kind") == "outcome_unknown");
}

// Guards against an engine that ends the process by two wrong events at once.
TEST_CASE("an engine that skips tokens fails its request and nothing else")
{
  TestSite site;
  FakeUpstream upstream(
    site.Loop(), [&](const HttpRequest& aRequest, const Writer& aWriter) {
      if (IsCompletion(aRequest)) {
        SendPartialStream(aWriter,
                          TokenEvent(0, "a") + TokenEvent(2, "c") +
                            TokenEvent(3, "d"));
        aWriter->Finish();
        return;
      }
      aWriter->SendResponse({ 404, {}, "" });
    });
  site.Announce("engine", upstream.Listen(site.AddressPrefix() + ".9"));
  HttpResponse response = site.Call(CompletionRequestOf(kStreamingBody));
  CHECK(ReceivedText(response.m_body) == "a");
  CHECK(response.m_body.find("interrupted") != std::string::npos);
}
