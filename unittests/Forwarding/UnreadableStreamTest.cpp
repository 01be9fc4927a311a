/// Tests of streams whose engine works on after their connection has ended: it
/// has sent bytes that are no response, or the connection is broken off.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/RawUpstream.h"
#include "Forwarding/ScriptedEngines.h"

#include <doctest/doctest.h>

#include <array>
#include <thread>

using namespace persimmontally;

namespace {

constexpr int kEvents = 9;
constexpr int kEventsBeforeGarbage = 4;
/// Longest time for which two runs of one request may go on side by side.
constexpr Duration kAllowedBeside = milliseconds(400);
const std::string kGarbage = "\x01#?!~ \x02\r\n";

enum class Garbage
{
  InsideStream,
  /// In place of the status line.
  BeforeHead,
  /// While a rescue copy of the generation is being made.
  DuringCopy,
  /// None: the connection is reset inside the stream or before the head.
  Reset,
  ResetBeforeHead,
};

/// What becomes of an engine whose connection is reset.
enum class Engine
{
  WorksOn,
  Dies,
  /// Works on, and leaves opening packets unanswered until its request has gone
  /// on elsewhere.
  CutOff,
};

struct EngineScript
{
  const char* m_name;
  const char* m_path = "/stream/x";
  bool m_canBackUp = true;
  /// Statuses of the answers to calls that stop the run, the last one for all
  /// further ones too; 0 for no answer.
  std::vector<int> m_stopStatuses;
  /// Where the request goes on: `Kv-From` with `S` and `O` for the addresses of
  /// the first engine and the other one, "new" for a new run, or empty.
  std::string m_goesOnAt;
  size_t m_stopCalls = 1;
  Garbage m_garbage = Garbage::InsideStream;
  RawEnd m_end = RawEnd::Hold;
  Engine m_engine = Engine::WorksOn;
  /// Whether the host is frozen while the connection is reset.
  bool m_isHostFrozen = false;
};

std::string Chunk(const std::string& aText)
{
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

std::string HeaderOf(std::string_view aRequest, const std::string& aName)
{
  size_t at = aRequest.find("\r\n" + aName + ": ");
  if (at == std::string_view::npos) {
    return "";
  }
  at += aName.size() + 4;
  return std::string(aRequest.substr(at, aRequest.find('\r', at) - at));
}

/// Two engines. The first to get the request sends a few events, after which
/// its connection ends, and works on until a call stops its run.
class GarbledEngines
{
public:
  explicit GarbledEngines(const EngineScript& aScript)
    : m_script(aScript)
    , m_site(aScript.m_canBackUp)
  {
    for (size_t i = 0; i < m_engines.size(); ++i) {
      m_engines[i] =
        std::make_unique<RawUpstream>(m_site.Loop(), "", "", m_script.m_end);
      m_engines[i]->m_onRequest = [this, i](std::string_view aRequest) {
        return std::optional(Answer(i, aRequest));
      };
      m_site.AddUpstreamAt(
        i == 0 ? "e1" : "e2", "engines", m_engines[i]->Address());
    }
    m_call = m_site.Start(aScript.m_path,
                          { { "X-Api-Key", "key" },
                            { "Token-Count", "1000,800" },
                            { "Length-Hint", "600" } });
    if (aScript.m_garbage == Garbage::DuringCopy) {
      m_site.RunUntil([&] { return m_first.has_value(); });
      m_site.SetState(*m_first == 0 ? "e1" : "e2", UpstreamState::Leaving);
    }
    if (aScript.m_garbage == Garbage::Reset ||
        aScript.m_garbage == Garbage::ResetBeforeHead) {
      Reset();
    }
    m_site.RunUntil([&] { return m_call->m_isDone; });
    if (aScript.m_engine == Engine::CutOff) {
      m_wasRunningBeside = false;
      m_engines[*m_first]->AnswerAgain();
      Instant end = m_site.Loop().Now() + kAllowedBeside;
      m_site.RunUntil([&] { return m_site.Loop().Now() >= end; });
      m_wasRunningBeside = m_isRunning;
    }
  }

  std::string AddressOf(char aEngine) const
  {
    size_t index = aEngine == 'S' ? *m_first : 1 - *m_first;
    return ToString(m_engines[index]->Address());
  }

  const ForwardSite::Call& Call() const { return *m_call; }

  size_t m_stopCalls = 0;
  /// Where the request went on, as in the script; empty if it did not.
  std::string m_wentOnAt;
  bool m_wasRunningBeside = false;

private:
  void Reset()
  {
    size_t bytes = m_script.m_garbage == Garbage::Reset
                     ? EventsFrom(1, kEventsBeforeGarbage).size()
                     : 0;
    m_site.RunUntil(
      [&] { return m_first && m_call->m_response.m_body.size() == bytes; });
    RawUpstream& engine = *m_engines[*m_first];
    m_isRunning = m_script.m_engine != Engine::Dies;
    if (m_script.m_engine == Engine::Dies) {
      engine.StopListening();
    } else if (m_script.m_engine == Engine::CutOff) {
      engine.StopAnswering();
    }
    engine.ResetHeld();
    if (m_script.m_isHostFrozen) {
      std::this_thread::sleep_for(EventLoop::kStandstill);
    }
  }

  std::string Answer(size_t aEngine, std::string_view aRequest)
  {
    if (aRequest.starts_with("POST /persimmontally/kv-move")) {
      bool isLast = aRequest.find("\"last\"") != std::string_view::npos;
      return isLast ? AnswerStop() : AnswerFirstPart();
    }
    if (aRequest.starts_with("DELETE")) {
      return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }
    std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderOf(aRequest, "Request-Id") +
      "\r\nServer-Stamp: s\r\nTransfer-Encoding: "
      "chunked\r\n\r\n";
    if (!m_first) {
      m_first = aEngine;
      m_isRunning = m_script.m_end == RawEnd::Hold;
      if (m_script.m_garbage == Garbage::BeforeHead) {
        return kGarbage + head;
      }
      if (m_script.m_garbage == Garbage::ResetBeforeHead) {
        return "";
      }
      return m_script.m_garbage == Garbage::DuringCopy ||
                 m_script.m_garbage == Garbage::Reset
               ? head + Chunk(EventsFrom(1, kEventsBeforeGarbage))
               : head + Chunk(EventsFrom(1, kEventsBeforeGarbage)) + kGarbage +
                   Chunk(EventsFrom(kEventsBeforeGarbage + 1, kEvents));
    }
    std::string from = HeaderOf(aRequest, "Kv-From");
    m_wentOnAt = from.empty() ? "new" : from;
    m_wasRunningBeside = m_isRunning;
    std::string last = HeaderOf(aRequest, "Last-Event-Id");
    int first = last.empty() ? 1 : std::stoi(last) + 1;
    return head + Chunk(EventsFrom(first, kEvents)) + "0\r\n\r\n";
  }

  std::string AnswerFirstPart()
  {
    // Sent before this answer, which is on a connection that is not held yet.
    m_engines[*m_first]->SendHeld(kGarbage);
    std::string body = R"({"handle":"h1"})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  std::string AnswerStop()
  {
    const std::vector<int>& statuses = m_script.m_stopStatuses;
    REQUIRE(!statuses.empty());
    int status = statuses[std::min(m_stopCalls, statuses.size() - 1)];
    ++m_stopCalls;
    bool hasHandle = status == 200 || status == 503;
    m_isRunning = m_isRunning && !hasHandle && status != 404;
    std::string body = hasHandle ? R"({"handle":"h1"})" : "{}";
    return status == 0
             ? ""
             : "HTTP/1.1 " + std::to_string(status) +
                 " x\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body;
  }

  EngineScript m_script;
  ForwardSite m_site;
  /// Ends before the loop of the site.
  std::shared_ptr<ForwardSite::Call> m_call;
  std::array<std::unique_ptr<RawUpstream>, 2> m_engines;
  std::optional<size_t> m_first;
  bool m_isRunning = false;
};

void CheckScript(const EngineScript& aScript)
{
  CAPTURE(std::string(aScript.m_name));
  GarbledEngines engines(aScript);
  std::string from = aScript.m_goesOnAt;
  if (from.find('/') != std::string::npos) {
    from = engines.AddressOf(from[0]) + from.substr(1);
  }
  CHECK(engines.m_wentOnAt == from);
  CHECK(!engines.m_wasRunningBeside);
  if (aScript.m_garbage == Garbage::DuringCopy) {
    // The copy may fail, and be repeated, before the bytes are given up.
    CHECK(engines.m_stopCalls >= aScript.m_stopCalls);
  } else {
    CHECK(engines.m_stopCalls == aScript.m_stopCalls);
  }
  const ForwardSite::Call& call = engines.Call();
  bool isComplete = call.m_status.ok() && call.m_response.m_status == 200;
  CHECK(isComplete == !aScript.m_goesOnAt.empty());
  bool hasStarted = aScript.m_garbage != Garbage::BeforeHead &&
                    aScript.m_garbage != Garbage::ResetBeforeHead;
  int events = isComplete ? kEvents : hasStarted ? kEventsBeforeGarbage : 0;
  if (isComplete || hasStarted) {
    CHECK(call.m_response.m_body == EventsFrom(1, events));
  } else {
    CHECK(call.m_response.m_status == 502);
  }
}

} // namespace

// Guards against a run that goes on at a second engine beside the first one:
// that this host has closed the connection does not end it.
TEST_CASE("a stream with unreadable bytes goes on elsewhere only once its run "
          "has ended")
{
  const char* resumable = "/resumable3/x";
  const auto beforeHead = Garbage::BeforeHead;
  const auto duringCopy = Garbage::DuringCopy;
  for (
    const EngineScript& script : std::vector<EngineScript>{
      { "backup, copied", "/stream/x", true, { 200 }, "S/h1" },
      { "backup, no room for the copy", "/stream/x", true, { 503 }, "O/r1" },
      { "backup, run is gone", "/stream/x", true, { 404 }, "O/r1" },
      { "backup, at second try", "/stream/x", true, { 409, 200 }, "S/h1", 2 },
      { "backup, never stopped", "/stream/x", true, { 500 }, "", 3 },
      { "backup, no answer", "/stream/x", true, { 0 }, "" },
      { "copied", "/stream/x", false, { 200 }, "S/h1" },
      { "no room for the copy", "/stream/x", false, { 503 }, "S/h1" },
      { "run is gone", "/stream/x", false, { 404 }, "" },
      { "resumable, copied", resumable, false, { 200 }, "S/h1" },
      { "resumable, run is gone", resumable, false, { 404 }, "new" },
      { "resumable, never stopped", resumable, false, { 500 }, "", 3 },
      { "resumable, before the head",
        resumable,
        false,
        { 200 },
        "new",
        1,
        beforeHead },
      { "resumable, before the head, never stopped",
        resumable,
        false,
        { 500 },
        "",
        3,
        beforeHead },
      { "before the head", "/stream/x", true, {}, "", 0, beforeHead },
      { "backup, engine closes",
        "/stream/x",
        true,
        { 404 },
        "O/r1",
        1,
        Garbage::InsideStream,
        RawEnd::Close },
      { "resumable, engine closes before the head",
        resumable,
        false,
        { 404 },
        "new",
        1,
        beforeHead,
        RawEnd::Close },
      { "moved, copied", "/stream/x", false, { 200 }, "S/h1", 1, duringCopy },
      { "moved, no room", "/stream/x", false, { 503 }, "S/h1", 1, duringCopy },
      { "moved, run is gone", "/stream/x", false, { 404 }, "", 1, duringCopy },
      { "moved, at second try",
        "/stream/x",
        false,
        { 500, 200 },
        "S/h1",
        2,
        duringCopy },
      { "moved, no answer", "/stream/x", false, { 0 }, "", 1, duringCopy },
    }) {
    CheckScript(script);
  }
}

// Guards against a run that goes on at a second engine beside the first one: a
// connection that was broken off does not end it.
TEST_CASE("a stream whose connection is reset goes on elsewhere only once its "
          "run has ended or its engine cannot be reached")
{
  const char* stream = "/stream/x";
  const char* resumable = "/resumable3/x";
  const auto reset = Garbage::Reset;
  const auto beforeHead = Garbage::ResetBeforeHead;
  const auto hold = RawEnd::Hold;
  for (const EngineScript& script : std::vector<EngineScript>{
         { "backup, copied", stream, true, { 200 }, "S/h1", 1, reset },
         { "backup, no room for the copy",
           stream,
           true,
           { 503 },
           "O/r1",
           1,
           reset },
         { "backup, run is gone", stream, true, { 404 }, "O/r1", 1, reset },
         { "backup, second try", stream, true, { 409, 200 }, "S/h1", 2, reset },
         { "backup, never stopped", stream, true, { 500 }, "", 3, reset },
         { "backup, dies",
           stream,
           true,
           {},
           "O/r1",
           0,
           reset,
           hold,
           Engine::Dies },
         { "backup, cut off",
           stream,
           true,
           { 200 },
           "O/r1",
           1,
           reset,
           hold,
           Engine::CutOff },
         { "backup, host was frozen",
           stream,
           true,
           { 503 },
           "O/r1",
           1,
           reset,
           hold,
           Engine::WorksOn,
           true },
         { "copied", stream, false, { 200 }, "S/h1", 1, reset },
         { "no room for the copy", stream, false, { 503 }, "S/h1", 1, reset },
         { "run is gone", stream, false, { 404 }, "", 1, reset },
         { "resumable, run is gone",
           resumable,
           false,
           { 404 },
           "new",
           1,
           reset },
         { "resumable, never stopped",
           resumable,
           false,
           { 500 },
           "",
           3,
           reset },
         { "resumable, dies",
           resumable,
           false,
           {},
           "new",
           0,
           reset,
           hold,
           Engine::Dies },
         { "resumable, before the head",
           resumable,
           false,
           { 200 },
           "new",
           1,
           beforeHead },
         { "resumable, before the head, never stopped",
           resumable,
           false,
           { 500 },
           "",
           3,
           beforeHead },
       }) {
    CheckScript(script);
  }
}

// Guards against a run that goes on for long beside the one that has replaced
// it: its engine was cut off, and nobody stopped it afterwards.
TEST_CASE("a stream leaves an engine that is cut off if its run can be stopped "
          "later, and it is stopped once the engine is reached")
{
  for (bool canStop : { true, false }) {
    CAPTURE(canStop);
    ForwardSite site(false);
    site.EditCatalog([&](Catalog& aCatalog) {
      aCatalog.m_services[0].m_engine->m_canMigrate = canStop;
      for (Route& route : aCatalog.m_routes) {
        route.m_timeout = seconds(8);
      }
    });
    RawUpstream source(site.Loop(),
                       "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
                       "Server-Stamp: s\r\n\r\n" +
                         Event(1),
                       "",
                       RawEnd::Hold);
    std::optional<Instant> stoppedAt;
    source.m_onRequest =
      [&](std::string_view aRequest) -> std::optional<std::string> {
      if (IsCopyCall(aRequest)) {
        stoppedAt = stoppedAt.value_or(site.Loop().Now());
        return JsonResponse(200, R"({"handle":"h1"})");
      }
      return std::nullopt;
    };
    site.AddUpstreamAt("source", "engines", source.Address());
    auto call = site.Start("/resumable/x", { { "X-Api-Key", "key" } });
    site.RunUntil([&] { return !call->m_response.m_body.empty(); });
    std::optional<Instant> wentOnAt;
    site.AddUpstream(
      "target",
      "engines",
      [&](const HttpRequest& aRequest, const ForwardSite::Writer& aWriter) {
        wentOnAt = site.Loop().Now();
        aWriter->StartStream(200, Genuine(aRequest));
        aWriter->Write(EventsFrom(2, 3));
        aWriter->Finish();
      });
    site.AddUpstream(
      "other",
      "plain",
      [](const HttpRequest& aRequest, const ForwardSite::Writer& aWriter) {
        aWriter->SendResponse({ 200, Genuine(aRequest), "done" });
      });
    source.StopAnswering();
    // Responses of another upstream show that this host is not cut off.
    constexpr Duration kCut = milliseconds(2200);
    Instant reachedAt = site.Loop().Now() + kCut;
    while (site.Loop().Now() < reachedAt) {
      site.Finish("/safe/x");
    }
    source.AnswerAgain();
    if (!canStop) {
      source.SendHeld(EventsFrom(2, 3));
    }
    Instant end = site.Loop().Now() + milliseconds(300);
    site.RunUntil([&] { return site.Loop().Now() >= end; });
    CHECK(wentOnAt.has_value() == canStop);
    CHECK(stoppedAt.has_value() == canStop);
    if (wentOnAt && stoppedAt) {
      CHECK(*stoppedAt < std::max(*wentOnAt, reachedAt) + kAllowedBeside);
    }
    CHECK(call->m_response.m_body == EventsFrom(1, 3));
    if (!canStop) {
      source.CloseHeld();
    }
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_status.ok());
  }
}
