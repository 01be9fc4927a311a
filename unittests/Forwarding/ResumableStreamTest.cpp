/// Tests of streams that go on in a new run after they were broken off.

#include "../../lib/Forwarding/SilenceWatch.h"
#include "Forwarding/RawUpstream.h"
#include "Forwarding/ScriptedEngines.h"
#include "persimmontally/Support/Metrics.h"

#include <doctest/doctest.h>

#include <optional>

using namespace persimmontally;
using Ids = std::vector<std::string>;

// Guards against events that come twice or are missing when a caller returns.
TEST_CASE("a caller that returns to a resumable stream gets the events after "
          "the last one that it has")
{
  struct Row
  {
    const char* m_name;
    const char* m_path;
    Ids m_lastIds;
    EngineStep m_step;
    int m_status;
    bool m_isComplete;
    std::string m_body;
    Ids m_sentIds;
  };
  const char* resumable = "/resumable/x";
  const EngineStep all{ 5 };
  const EngineStep fromFirst{ 5, EngineEnd::Finish, 1 };
  for (const Row& row : std::vector<Row>{
         { "none", resumable, {}, all, 200, true, EventsFrom(1, 5), { "" } },
         { "empty",
           resumable,
           { "" },
           all,
           200,
           true,
           EventsFrom(1, 5),
           { "" } },
         { "first",
           resumable,
           { "1" },
           all,
           200,
           true,
           EventsFrom(2, 5),
           { "1" } },
         { "middle",
           resumable,
           { "3" },
           all,
           200,
           true,
           EventsFrom(4, 5),
           { "3" } },
         { "last", resumable, { "5" }, all, 200, true, "", { "5" } },
         { "beyond", resumable, { "9" }, all, 200, true, "", { "9" } },
         { "beyond, denied by the engine",
           resumable,
           { "9" },
           { 0, EngineEnd::Deny },
           400,
           true,
           "",
           { "9" } },
         { "the engine starts anew",
           resumable,
           { "3" },
           fromFirst,
           200,
           true,
           EventsFrom(4, 5),
           { "3" } },
         { "the engine starts anew, beyond",
           resumable,
           { "9" },
           fromFirst,
           200,
           false,
           "",
           { "9" } },
         { "the engine leaves one out",
           resumable,
           { "3" },
           { 6, EngineEnd::Finish, 5 },
           200,
           false,
           "",
           { "3" } },
         { "no number", resumable, { "3x" }, all, 400, true, "-", {} },
         { "negative", resumable, { "-3" }, all, 400, true, "-", {} },
         { "too large",
           resumable,
           { "99999999999999999999" },
           all,
           400,
           true,
           "-",
           {} },
         { "several", resumable, { "3", "4" }, all, 400, true, "-", {} },
         { "not resumable",
           "/stream/x",
           { "3" },
           all,
           200,
           true,
           EventsFrom(1, 5),
           { "" } } }) {
    CAPTURE(std::string(row.m_name));
    ScriptedEngines engines;
    HttpHeaders headers;
    for (const std::string& id : row.m_lastIds) {
      headers.push_back({ "Last-Event-Id", id });
    }
    auto call = engines.Run({ row.m_step }, row.m_path, headers);
    CHECK(call->m_response.m_status == row.m_status);
    CHECK(call->m_status.ok() == row.m_isComplete);
    bool isRefusal = row.m_body == "-";
    CHECK((isRefusal || call->m_response.m_body == row.m_body));
    CHECK(engines.Sent("Last-Event-Id") == row.m_sentIds);
  }
}

// Guards against streams that are lost with their engine although their route
// allows a new run, and against second runs where it does not.
TEST_CASE("a resumable stream that its engine breaks off goes on at another "
          "one within its attempts")
{
  using End = EngineEnd;
  struct Row
  {
    const char* m_name;
    const char* m_path;
    std::vector<EngineStep> m_script;
    /// 0 if the connection ends with no response.
    int m_status;
    bool m_isComplete;
    int m_lastEvent;
    Ids m_sentIds;
    const char* m_parts = "";
  };
  const char* once = "/stream/x";
  const char* twice = "/resumable/x";
  const char* thrice = "/resumable3/x";
  const EngineStep last{ 5 };
  for (const Row& row : std::vector<Row>{
         { "after an event",
           twice,
           { { 2, End::Abort }, last },
           200,
           true,
           5,
           { "", "2" } },
         { "inside an event",
           twice,
           { { 2, End::AbortInsideEvent }, last },
           200,
           true,
           5,
           { "", "2" } },
         { "inside an event, ended in form",
           twice,
           { { 2, End::FinishInsideEvent }, last },
           200,
           true,
           5,
           { "", "2" } },
         { "inside an event, run anew from the first one",
           twice,
           { { 2, End::AbortInsideEvent }, { 5, End::Finish, 1 } },
           200,
           true,
           5,
           { "", "2" } },
         { "inside an event, with one left out",
           twice,
           { { 2, End::AbortInsideEvent }, { 5, End::Finish, 4 } },
           200,
           false,
           2,
           { "", "2" } },
         { "a shorter run",
           twice,
           { { 3, End::Abort }, { 2, End::Finish, 1 } },
           200,
           false,
           3,
           { "", "3" } },
         { "after the last event",
           twice,
           { { 5, End::Abort }, last },
           200,
           true,
           5,
           { "", "5" } },
         { "after the head",
           twice,
           { { 0, End::Abort }, last },
           200,
           true,
           5,
           { "", "" } },
         { "before the head",
           twice,
           { { 0, End::AbortBeforeHead }, last },
           200,
           true,
           5,
           { "", "" } },
         { "rejected",
           twice,
           { { 0, End::Reject }, last },
           200,
           true,
           5,
           { "", "" } },
         { "failed",
           twice,
           { { 0, End::Fail }, last },
           200,
           true,
           5,
           { "", "" } },
         { "denied", twice, { { 0, End::Deny }, last }, 400, true, 0, { "" } },
         { "rejected twice",
           twice,
           { { 0, End::Reject }, { 0, End::Reject }, last },
           502,
           true,
           0,
           { "", "" } },
         { "two breaks, two attempts",
           twice,
           { { 2, End::Abort }, { 4, End::Abort }, last },
           200,
           false,
           4,
           { "", "2" } },
         { "two breaks, three attempts",
           thrice,
           { { 2, End::Abort }, { 4, End::AbortInsideEvent }, last },
           200,
           true,
           5,
           { "", "2", "4" } },
         { "then rejected, two attempts",
           twice,
           { { 2, End::Abort }, { 0, End::Reject }, last },
           200,
           false,
           2,
           { "", "2" } },
         { "then rejected, three attempts",
           thrice,
           { { 2, End::Abort }, { 0, End::Reject }, last },
           200,
           true,
           5,
           { "", "2", "2" } },
         { "then broken off before the head",
           thrice,
           { { 2, End::Abort }, { 0, End::AbortBeforeHead }, last },
           200,
           true,
           5,
           { "", "2", "2" } },
         { "then failed",
           thrice,
           { { 2, End::Abort }, { 0, End::Fail }, last },
           200,
           true,
           5,
           { "", "2", "2" } },
         { "then denied",
           thrice,
           { { 2, End::Abort }, { 0, End::Deny }, last },
           200,
           false,
           2,
           { "", "2" } },
         { "the engine dies",
           twice,
           { { 2, End::Die }, last },
           200,
           true,
           5,
           { "", "2" } },
         { "two engines die",
           thrice,
           { { 2, End::Die }, { 4, End::Die }, last },
           200,
           false,
           4,
           { "", "2" } },
         { "a part of the prompt may crash engines",
           twice,
           { { 2, End::Die }, last },
           200,
           false,
           2,
           { "" },
           "new:50,own:50" },
         { "a part of the prompt may crash engines, before the head",
           twice,
           { { 0, End::DieBeforeHead }, last },
           502,
           true,
           0,
           { "" },
           "new:50,own:50" },
         { "a new part of the prompt, and the engine lives",
           twice,
           { { 2, End::Abort }, last },
           200,
           true,
           5,
           { "", "2" },
           "new:50,own:50" },
         { "a part that has proved sound",
           twice,
           { { 4, End::Die }, last },
           200,
           true,
           5,
           { "", "4" },
           "new:50,own:50" },
         { "not resumable",
           once,
           { { 2, End::Abort }, last },
           200,
           false,
           2,
           { "" } },
         { "not resumable, before the head",
           once,
           { { 0, End::AbortBeforeHead }, last },
           502,
           true,
           0,
           { "" } },
       }) {
    CAPTURE(std::string(row.m_name));
    ScriptedEngines engines;
    engines.EarnRetries(1);
    auto call =
      engines.Run(row.m_script, row.m_path, { { "Prefix-Hash", row.m_parts } });
    CHECK(call->m_response.m_status == row.m_status);
    CHECK(call->m_status.ok() == row.m_isComplete);
    if (row.m_status == 200) {
      CHECK(call->m_response.m_body == EventsFrom(1, row.m_lastEvent));
    }
    CHECK(engines.Sent("Last-Event-Id") == row.m_sentIds);
    // The head is that of the first engine that sent events.
    bool isFirst = row.m_script[0].m_lastEvent > 0;
    if (isFirst) {
      CHECK(FindHeader(call->m_response.m_headers, "Server-Stamp") == "s1");
    }
  }
}

TEST_CASE("a new run of a stream uses up the budget of retries")
{
  using End = EngineEnd;
  for (int earned : { 0, 1 }) {
    CAPTURE(earned);
    ScriptedEngines engines;
    engines.EarnRetries(earned);
    auto call = engines.Run({ { 2, End::Abort }, { 4, End::Abort }, { 5 } },
                            "/resumable3/x");
    CHECK(call->m_status.ok() == (earned > 0));
    CHECK(engines.m_requests.size() == (earned > 0 ? 3 : 2));
  }
}

// Guards against streams that end with a host which could still finish them.
TEST_CASE("a stream that is broken off during a shutdown goes on")
{
  ScriptedEngines engines;
  engines.m_delay = milliseconds(60);
  auto call = engines.Start({ { 2, EngineEnd::Abort }, { 5 } }, "/resumable/x");
  engines.m_site.RunUntil([&] { return !call->m_response.m_body.empty(); });
  engines.m_site.Gateway().BeginShutdown(engines.m_site.Loop().Now());
  engines.m_site.RunUntil([&] { return call->m_isDone; });
  CHECK(call->m_status.ok());
  CHECK(call->m_response.m_body == EventsFrom(1, 5));
}

TEST_CASE("a stream with a backup goes on there first, and in a new run if the "
          "backup is gone")
{
  using End = EngineEnd;
  struct Row
  {
    const char* m_name;
    const char* m_path;
    bool m_canBackUp;
    std::vector<EngineStep> m_script;
    bool m_isComplete;
    /// Whether each request resumes at a backup.
    std::vector<bool> m_areResumes;
  };
  for (const Row& row :
       std::vector<Row>{ { "no backup",
                           "/resumable/x",
                           false,
                           { { 2, End::Abort }, { 5 } },
                           true,
                           { false, false } },
                         { "backup",
                           "/resumable/x",
                           true,
                           { { 2, End::Abort }, { 5 } },
                           true,
                           { false, true } },
                         { "backup gone, two attempts",
                           "/resumable/x",
                           true,
                           { { 2, End::Abort }, { 0, End::Reject }, { 5 } },
                           false,
                           { false, true } },
                         { "backup gone, three attempts",
                           "/resumable3/x",
                           true,
                           { { 2, End::Abort }, { 0, End::Reject }, { 5 } },
                           true,
                           { false, true, false } },
                         { "backup gone, not resumable",
                           "/stream/x",
                           true,
                           { { 2, End::Abort }, { 0, End::Reject }, { 5 } },
                           false,
                           { false, true } } }) {
    CAPTURE(std::string(row.m_name));
    ScriptedEngines engines(row.m_canBackUp);
    auto call = engines.Run(row.m_script, row.m_path);
    CHECK(call->m_status.ok() == row.m_isComplete);
    CHECK(call->m_response.m_body == EventsFrom(1, row.m_isComplete ? 5 : 2));
    std::vector<bool> areResumes;
    for (const std::string& value : engines.Sent("Kv-From")) {
      areResumes.push_back(!value.empty());
    }
    CHECK(areResumes == row.m_areResumes);
  }
}

TEST_CASE("a resumable stream without framing goes on if it is reset or ends "
          "inside an event")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n\r\n";
  struct Row
  {
    const char* m_name;
    std::string m_bytes;
    RawEnd m_end;
    std::string m_body;
  };
  for (const Row& row : std::vector<Row>{
         { "reset", head + Event(1), RawEnd::Reset, EventsFrom(1, 3) },
         { "inside an event",
           head + Event(1) + "id: 2\n",
           RawEnd::Close,
           EventsFrom(1, 3) },
         { "closed", head + Event(1), RawEnd::Close, Event(1) },
       }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site(false);
    RawUpstream source(site.Loop(), row.m_bytes, "", row.m_end);
    source.m_onRequest = AnswerNoRun;
    site.AddUpstreamAt("source", "engines", source.Address());
    auto call = site.Start("/resumable/x", { { "X-Api-Key", "key" } });
    site.RunUntil([&] { return source.Requests() > 0; });
    site.AddUpstream(
      "target",
      "engines",
      [](const HttpRequest& aRequest, const ForwardSite::Writer& aWriter) {
        CHECK(aRequest.Header("Last-Event-Id") == "1");
        aWriter->StartStream(200, Genuine(aRequest));
        aWriter->Write(EventsFrom(2, 3));
        aWriter->Finish();
      });
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_status.ok());
    CHECK(call->m_response.m_body == row.m_body);
  }
}

// Guards against streams whose callers wait for an engine that has ended
// without closing its connections.
TEST_CASE("a stream whose engine has ended without a sign goes on or ends at "
          "once")
{
  struct Row
  {
    const char* m_path;
    bool m_isListening;
    /// Whether the caller gets the rest, and how long its stream takes at most.
    bool m_isComplete;
    Duration m_most;
  };
  for (const Row& row :
       { Row{ "/resumable/x", false, true, milliseconds(1100) },
         Row{ "/stream/x", false, false, milliseconds(1100) },
         // Until the timeout of the route.
         Row{ "/resumable/x", true, false, seconds(5) } }) {
    CAPTURE(std::string(row.m_path));
    CAPTURE(row.m_isListening);
    ForwardSite site(false);
    RawUpstream source(site.Loop(),
                       "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
                       "Server-Stamp: s\r\n\r\n" +
                         Event(1),
                       "",
                       RawEnd::Hold);
    site.AddUpstreamAt("source", "engines", source.Address());
    Instant start = site.Loop().Now();
    auto call = site.Start(row.m_path, { { "X-Api-Key", "key" } });
    site.RunUntil([&] { return !call->m_response.m_body.empty(); });
    site.AddUpstream(
      "target",
      "engines",
      [](const HttpRequest& aRequest, const ForwardSite::Writer& aWriter) {
        aWriter->StartStream(200, Genuine(aRequest));
        aWriter->Write(EventsFrom(2, 3));
        aWriter->Finish();
      });
    if (!row.m_isListening) {
      source.StopListening();
    }
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_status.ok() == row.m_isComplete);
    CHECK(call->m_response.m_body == EventsFrom(1, row.m_isComplete ? 3 : 1));
    CHECK(site.Loop().Now() - start < row.m_most);
    CHECK(site.Loop().Now() - start > SilenceWatch::kMinSilence);
  }
}
