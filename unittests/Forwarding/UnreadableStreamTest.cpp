/// Tests of streams whose engine sends bytes that are no response and works on.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/RawUpstream.h"
#include "Forwarding/ScriptedEngines.h"

#include <doctest/doctest.h>

#include <array>

using namespace persimmontally;

namespace {

constexpr int kEvents = 9;
constexpr int kEventsBeforeGarbage = 4;
const std::string kGarbage = "\x01#?!~ \x02\r\n";

enum class Garbage
{
  InsideStream,
  /// In place of the status line.
  BeforeHead,
  /// While a rescue copy of the generation is being made.
  DuringCopy,
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

/// Two engines. The first to get the request sends a few events and then bytes
/// that are no response, and works on until a call stops its run.
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
    m_site.RunUntil([&] { return m_call->m_isDone; });
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
      return m_script.m_garbage == Garbage::DuringCopy
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
        {},
        "O/r1",
        0,
        Garbage::InsideStream,
        RawEnd::Close },
      { "resumable, engine closes before the head",
        resumable,
        false,
        {},
        "new",
        0,
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
    CAPTURE(std::string(script.m_name));
    GarbledEngines engines(script);
    std::string from = script.m_goesOnAt;
    if (from.find('/') != std::string::npos) {
      from = engines.AddressOf(from[0]) + from.substr(1);
    }
    CHECK(engines.m_wentOnAt == from);
    CHECK(!engines.m_wasRunningBeside);
    if (script.m_garbage == duringCopy) {
      // The copy may fail, and be repeated, before the bytes are given up.
      CHECK(engines.m_stopCalls >= script.m_stopCalls);
    } else {
      CHECK(engines.m_stopCalls == script.m_stopCalls);
    }
    const ForwardSite::Call& call = engines.Call();
    bool isComplete = call.m_status.ok() && call.m_response.m_status == 200;
    CHECK(isComplete == !script.m_goesOnAt.empty());
    bool hasStarted = script.m_garbage != beforeHead;
    int events = isComplete ? kEvents : hasStarted ? kEventsBeforeGarbage : 0;
    if (isComplete || hasStarted) {
      CHECK(call.m_response.m_body == EventsFrom(1, events));
    } else {
      CHECK(call.m_response.m_status == 502);
    }
  }
}
