/// Tests of streams with neither a length nor chunks whose end has to be
/// explained by their engine.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/RawUpstream.h"

#include <doctest/doctest.h>

#include <thread>

using namespace persimmontally;

namespace {

const std::string kHead =
  "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n\r\n";
const std::string kHandle = R"({"handle":"h1"})";

struct EndScript
{
  const char* m_name;
  /// Whether the engine is gone, or its process another one.
  bool m_isGone = false;
  bool m_isRestarted = false;
  /// Statuses of the answers to the calls for a copy after the end of the
  /// stream, the last one for all further ones too; 0 for no answer.
  std::vector<int> m_statuses = { 404 };
  bool m_isComplete = false;
  /// Whether the generation goes on at its engine.
  bool m_goesOn = false;
  /// Whether this host is frozen while the stream ends, and may have missed a
  /// restart of the engine.
  bool m_isFrozen = false;
};

} // namespace

// Guards against streams that look complete because their engine was gone
// before it had answered the call for a copy.
TEST_CASE("an undelimited stream that ends while its generation is copied is "
          "complete only if its engine states that it has no such run")
{
  for (const EndScript& script : std::vector<EndScript>{
         { "gone", true },
         { "no run", false, false, { 404 }, true },
         { "no run, at second try", false, false, { 500, 404 }, true },
         { "no run, after a lost answer", false, false, { 0, 404 }, true },
         { "a new process has no run", false, true, { 404 } },
         { "no run, host was frozen",
           false,
           false,
           { 404 },
           false,
           false,
           true },
         { "never answered in form", false, false, { 500 } },
         { "run goes on", false, false, { 200, 200, 404 }, true, true },
         { "run goes on, no room",
           false,
           false,
           { 503, 503, 404 },
           true,
           true },
       }) {
    CAPTURE(std::string(script.m_name));
    ForwardSite site(false);
    RawUpstream source(site.Loop(), "", "", RawEnd::Hold);
    size_t copyCalls = 0;
    std::string resumedFrom;
    source.m_onRequest =
      [&](std::string_view aRequest) -> std::optional<std::string> {
      if (IsCopyCall(aRequest)) {
        size_t call = copyCalls++;
        if (call == 0) {
          return "";
        }
        int status =
          script.m_statuses[std::min(call, script.m_statuses.size()) - 1];
        bool isLast = aRequest.find("\"last\"") != std::string_view::npos;
        bool hasHandle = status == 200 || (status == 503 && isLast);
        return status == 0 ? ""
                           : JsonResponse(status, hasHandle ? kHandle : "{}");
      }
      if (aRequest.starts_with("DELETE")) {
        return JsonResponse(200, "");
      }
      size_t idAt = aRequest.find("Request-Id: ") + 12;
      std::string head = kHead;
      head.replace(head.find("ID"),
                   2,
                   aRequest.substr(idAt, aRequest.find('\r', idAt) - idAt));
      size_t fromAt = aRequest.find("Kv-From: ");
      if (fromAt == std::string_view::npos) {
        return head + Event(1) + Event(2);
      }
      resumedFrom =
        aRequest.substr(fromAt + 9, aRequest.find('\r', fromAt) - fromAt - 9);
      return head + Event(3);
    };
    site.AddUpstreamAt("source", "engines", source.Address());
    auto call = site.Start("/stream/x",
                           { { "X-Api-Key", "key" },
                             { "Token-Count", "100,400" },
                             { "Length-Hint", "400" } });
    site.RunUntil([&] { return call->m_response.m_body.size() > 30; });
    site.AddUpstream(
      "target", "engines", [](const HttpRequest&, const ForwardSite::Writer&) {
        FAIL("the target has no copy");
      });
    site.SetState("source", UpstreamState::Leaving);
    site.RunUntil([&] { return copyCalls == 1; });
    if (script.m_isGone) {
      source.StopListening();
    }
    if (script.m_isRestarted) {
      site.Restart("source");
    }
    // Ends the stream and the call for a copy. Later streams end as well.
    source.CloseHeld();
    if (script.m_isFrozen) {
      std::this_thread::sleep_for(EventLoop::kStandstill);
    }
    bool hasEnded = false;
    site.RunUntil([&] {
      bool mayEnd = resumedFrom.empty() || call->m_response.m_body.size() > 45;
      if ((copyCalls == 2 && script.m_statuses[0] == 0) ||
          (!hasEnded && !resumedFrom.empty() && mayEnd)) {
        hasEnded = !resumedFrom.empty();
        source.CloseHeld();
      }
      return call->m_isDone;
    });
    CHECK(call->m_status.ok() == script.m_isComplete);
    CHECK(call->m_response.m_body ==
          Event(1) + Event(2) + (script.m_goesOn ? Event(3) : ""));
    CHECK(resumedFrom.empty() != script.m_goesOn);
  }
}

// Guards against responses that look complete because a probe of their upstream
// had no answer.
TEST_CASE("an undelimited response is not complete while its upstream answers "
          "no probe")
{
  struct Row
  {
    const char* m_name;
    const char* m_path;
    bool m_canBackUp;
    bool m_isReachedAgain;
    bool m_isComplete;
    std::string m_body;
  };
  const std::string body = Event(1) + Event(2);
  for (const Row& row : std::vector<Row>{
         { "backup", "/stream/x", true, false, true, body + Event(3) },
         { "no backup", "/stream/x", false, false, false, body },
         { "reached again", "/stream/x", false, true, true, body },
         { "plain", "/unsafe/x", false, false, false, "" },
         { "plain, reached again", "/unsafe/x", false, true, true, body } }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site(row.m_canBackUp);
    site.EditCatalog([](Catalog& aCatalog) {
      aCatalog.m_services[0].m_engine->m_canMigrate = false;
    });
    bool isStream = std::string(row.m_path) == "/stream/x";
    std::string service = isStream ? "engines" : "plain";
    RawUpstream first(site.Loop(), kHead + body, "", RawEnd::Hold);
    site.AddUpstreamAt("first", service, first.Address());
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
        CHECK(!aRequest.Header("Kv-From").empty());
        aWriter->StartStream(200, Genuine(aRequest));
        aWriter->Write(Event(3));
        aWriter->Finish();
      });
    std::shared_ptr<ForwardSite::Call> call;
    do {
      HttpHeaders headers = { { "X-Api-Key", "key" } };
      if (isStream) {
        headers.push_back({ "Token-Count", "100,400" });
        headers.push_back({ "Length-Hint", "400" });
      }
      call = site.Start(row.m_path, std::move(headers));
      site.RunUntil([&] {
        return call->m_isDone || (first.Requests() > 0 && first.HasSentAll());
      });
    } while (call->m_isDone);
    first.StopAnswering();
    first.CloseHeld();
    Instant reachedAt = site.Loop().Now() + milliseconds(500);
    site.RunUntil([&] {
      if (row.m_isReachedAgain && site.Loop().Now() >= reachedAt) {
        first.AnswerAgain();
      }
      return call->m_isDone;
    });
    bool isComplete = call->m_status.ok() && call->m_response.m_status == 200;
    CHECK(isComplete == row.m_isComplete);
    if (isStream || isComplete) {
      CHECK(call->m_response.m_body == row.m_body);
    }
  }
}
