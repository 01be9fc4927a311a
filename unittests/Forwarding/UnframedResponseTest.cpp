/// Tests of responses with neither a length nor chunks, which end with their
/// connection.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/RawUpstream.h"
#include "persimmontally/Support/Metrics.h"

#include <doctest/doctest.h>

using namespace persimmontally;

// Guards against broken streams that look complete to the caller.
TEST_CASE("a response that ends with its connection is complete unless it is "
          "reset or ends inside an event")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n";
  const std::string unframed = head + "\r\n";
  const std::string inside = Event(1) + "id: 2\ndata: t";
  const std::string framed =
    head + "Content-Length: " + std::to_string(inside.size()) + "\r\n\r\n";
  struct Row
  {
    const char* m_name;
    const char* m_path;
    std::string m_bytes;
    RawEnd m_end;
    bool m_isComplete;
    std::string m_body;
  };
  for (const Row& row : std::vector<Row>{
         { "a body",
           "/unsafe/",
           unframed + "body",
           RawEnd::Close,
           true,
           "body" },
         { "a body, reset",
           "/unsafe/",
           unframed + "body",
           RawEnd::Reset,
           false,
           "" },
         { "events",
           "/stream/",
           unframed + Event(1) + Event(2),
           RawEnd::Close,
           true,
           Event(1) + Event(2) },
         { "events, reset",
           "/stream/",
           unframed + Event(1),
           RawEnd::Reset,
           false,
           Event(1) },
         { "inside an event",
           "/stream/",
           unframed + inside,
           RawEnd::Close,
           false,
           Event(1) },
         { "inside an event, after all announced bytes",
           "/stream/",
           framed + inside,
           RawEnd::Close,
           false,
           Event(1) },
       }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site(false);
    RawUpstream upstream(site.Loop(), row.m_bytes, "", row.m_end);
    site.AddUpstreamAt(
      "u", row.m_path[1] == 's' ? "engines" : "plain", upstream.Address());
    auto call = site.Start(row.m_path, { { "X-Api-Key", "key" } });
    site.RunUntil([&] { return call->m_isDone; });
    bool isComplete = call->m_status.ok() && call->m_response.m_status == 200;
    CHECK(isComplete == row.m_isComplete);
    if (isComplete || row.m_path[1] == 's') {
      CHECK(call->m_response.m_body == row.m_body);
    }
  }
}

// Guards against streams that end in the middle because their engine, which
// stops them for a migration, ends them like complete ones.
TEST_CASE(
  "an unframed stream that its engine closes during a migration resumes "
  "if it was stopped, and is complete if it was not")
{
  const std::string copied = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n"
                             "{\"handle\":\"h1\"}";
  struct Row
  {
    const char* m_name;
    /// Response to the request that stops the generation for a migration.
    std::string m_lastResponse;
    std::string m_body;
    bool m_isTargetFull = false;
  };
  for (const Row& row : std::vector<Row>{
         { "stopped", copied, Event(1) + Event(2) + Event(3) },
         { "stopped, and rejected where it resumes",
           copied,
           Event(1) + Event(2),
           true },
         { "complete",
           "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
           Event(1) + Event(2) } }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site(false);
    RawUpstream source(site.Loop(),
                       "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
                       "Server-Stamp: s\r\n\r\n" +
                         Event(1) + Event(2),
                       "",
                       RawEnd::Hold);
    source.m_onRequest =
      [&](std::string_view aRequest) -> std::optional<std::string> {
      if (aRequest.find("kv-move") == std::string_view::npos) {
        return std::nullopt;
      }
      bool isLast = aRequest.find("\"last\"") != std::string_view::npos;
      if (isLast) {
        source.CloseHeld();
      }
      return isLast ? row.m_lastResponse : copied;
    };
    site.AddUpstreamAt("source", "engines", source.Address());
    auto call = site.Start("/stream/x",
                           { { "X-Api-Key", "key" },
                             { "Token-Count", "100,400" },
                             { "Length-Hint", "400" } });
    site.RunUntil([&] { return call->m_response.m_body.size() > 30; });
    site.AddUpstream(
      "target",
      "engines",
      [&](const HttpRequest& aRequest, const ForwardSite::Writer& aWriter) {
        CHECK(aRequest.Header("Last-Event-Id") == "2");
        if (row.m_isTargetFull) {
          HttpHeaders headers = Genuine(aRequest);
          headers.push_back({ "Not-Run", "1" });
          aWriter->SendResponse({ 503, headers, "" });
          return;
        }
        aWriter->StartStream(200, Genuine(aRequest));
        aWriter->Write(Event(3));
        aWriter->Finish();
      });
    site.SetState("source", UpstreamState::Leaving);
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_status.ok() == !row.m_isTargetFull);
    CHECK(call->m_response.m_body == row.m_body);
  }
}

// Guards against streams that end in the middle because the end of a reclaimed
// engine looks like that of a complete stream. A backup that is not there does
// not show that the generation has ended: its engine may have had no room.
TEST_CASE("an unframed stream that a reclaimed engine closes is complete if "
          "the engine has no such run, and resumes at its backup if it is gone")
{
  struct Row
  {
    const char* m_name;
    bool m_isGone;
    bool m_hasCopy;
    bool m_isComplete;
    std::string m_body;
  };
  for (const Row& row : std::vector<Row>{
         { "reclaimed", true, true, true, Event(1) + Event(2) + Event(3) },
         { "reclaimed, no backup", true, false, false, Event(1) + Event(2) },
         { "complete", false, false, true, Event(1) + Event(2) } }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site;
    RawUpstream source(site.Loop(),
                       "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
                       "Server-Stamp: s\r\n\r\n" +
                         Event(1) + Event(2),
                       "",
                       RawEnd::Hold);
    source.m_onRequest = AnswerNoRun;
    site.AddUpstreamAt("source", "engines", source.Address());
    int resumes = 0;
    // Takes the generation only if it resumes here.
    site.AddUpstream(
      "target",
      "engines",
      [&](const HttpRequest& aRequest, const ForwardSite::Writer& aWriter) {
        bool isResume = !aRequest.Header("Kv-From").empty();
        resumes += isResume ? 1 : 0;
        if (!isResume || !row.m_hasCopy) {
          HttpHeaders headers = Genuine(aRequest);
          headers.push_back({ "Not-Run", "1" });
          aWriter->SendResponse({ 503, headers, "" });
          return;
        }
        CHECK(aRequest.Header("Last-Event-Id") == "2");
        aWriter->StartStream(200, Genuine(aRequest));
        aWriter->Write(Event(3));
        aWriter->Finish();
      });
    std::shared_ptr<ForwardSite::Call> call;
    do {
      call = site.Start("/stream/x",
                        { { "X-Api-Key", "key" },
                          { "Token-Count", "100,400" },
                          { "Length-Hint", "400" } });
      site.RunUntil(
        [&] { return call->m_isDone || call->m_response.m_body.size() > 30; });
    } while (call->m_isDone);
    site.SetState("source", UpstreamState::Leaving);
    Instant end = site.Loop().Now() + milliseconds(800);
    site.RunUntil([&] { return site.Loop().Now() >= end; });
    if (row.m_isGone) {
      source.StopListening();
    }
    source.CloseHeld();
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_status.ok() == row.m_isComplete);
    CHECK(call->m_response.m_body == row.m_body);
    CHECK(resumes == (row.m_isGone ? 1 : 0));
  }
}

// Guards against responses that are cut short by the death of their upstream,
// whose kernel ends the connection in the ordinary way.
TEST_CASE("a response that ends with its connection is incomplete if its "
          "upstream has died")
{
  struct Row
  {
    const char* m_name;
    const char* m_path;
    bool m_canBackUp;
    /// Most output tokens of the request, at four an event.
    const char* m_tokens;
    bool m_dies;
    /// Where the request goes on: at the backup, in a new run, or nowhere.
    const char* m_goesOn;
    bool m_isComplete;
  };
  for (const Row& row : std::vector<Row>{
         { "lives", "/stream/x", true, "100,400", false, "", true },
         { "lives, plain", "/unsafe/x", false, "", false, "", true },
         { "dies, backup", "/stream/x", true, "100,400", true, "backup", true },
         { "dies", "/stream/x", false, "100,400", true, "", false },
         { "dies, after all tokens",
           "/stream/x",
           false,
           "100,8",
           true,
           "",
           true },
         { "dies, plain", "/unsafe/x", false, "", true, "", false },
         { "dies, may be repeated",
           "/safe/x",
           false,
           "",
           true,
           "new",
           true } }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site(row.m_canBackUp);
    bool isStream = std::string(row.m_path) == "/stream/x";
    std::string service = isStream ? "engines" : "plain";
    const std::string body = Event(1) + Event(2);
    RawUpstream first(site.Loop(),
                      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
                      "Server-Stamp: s\r\n\r\n" +
                        body,
                      "",
                      RawEnd::Hold);
    first.m_onRequest = AnswerNoRun;
    site.AddUpstreamAt("first", service, first.Address());
    std::string wentOn;
    // Takes the request only if it goes on here.
    site.AddUpstream(
      "second",
      service,
      [&](const HttpRequest& aRequest, const ForwardSite::Writer& aWriter) {
        if (first.Requests() == 0) {
          HttpHeaders headers = Genuine(aRequest);
          headers.push_back({ "Not-Run", "1" });
          aWriter->SendResponse({ 503, headers, "" });
          return;
        }
        wentOn = aRequest.Header("Kv-From").empty() ? "new" : "backup";
        aWriter->StartStream(200, Genuine(aRequest));
        aWriter->Write(wentOn == "new" ? body : Event(3));
        aWriter->Finish();
      });
    std::shared_ptr<ForwardSite::Call> call;
    do {
      HttpHeaders headers = { { "X-Api-Key", "key" } };
      if (isStream) {
        headers.push_back({ "Token-Count", row.m_tokens });
        headers.push_back({ "Length-Hint", "400" });
      }
      call = site.Start(row.m_path, std::move(headers));
      site.RunUntil([&] {
        return call->m_isDone || (first.Requests() > 0 && first.HasSentAll());
      });
    } while (call->m_isDone);
    if (isStream) {
      site.RunUntil([&] { return call->m_response.m_body == body; });
    }
    if (row.m_dies) {
      first.StopListening();
    }
    first.CloseHeld();
    site.RunUntil([&] { return call->m_isDone; });
    bool isComplete = call->m_status.ok() && call->m_response.m_status == 200;
    CHECK(isComplete == row.m_isComplete);
    CHECK(wentOn == row.m_goesOn);
    if (isComplete) {
      CHECK(call->m_response.m_body ==
            body + (wentOn == "backup" ? Event(3) : ""));
    }
    bool isSound = site.Counters().PrometheusText().find(
                     "upstream_deaths_total") == std::string::npos;
    bool isDeathSeen = row.m_dies && std::string(row.m_tokens) != "100,8";
    CHECK(isSound != isDeathSeen);
  }
}
