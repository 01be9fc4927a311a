/// Tests of generations that resume at another engine.

#include "Forwarding/TwoEngines.h"
#include "persimmontally/Support/Metrics.h"

#include <doctest/doctest.h>

using namespace persimmontally;

// Guards against the head of an engine's error response inside a stream.
TEST_CASE(
  "a stream is broken off if the engine at which its generation resumes "
  "answers with an error")
{
  struct Row
  {
    const char* m_name;
    bool m_canBackUp;
    bool m_isReclaimed;
    int m_status;
  };
  for (const Row& row : { Row{ "backup, reclaimed, 500", true, true, 500 },
                          Row{ "backup, failed, 500", true, false, 500 },
                          Row{ "backup, failed, 504", true, false, 504 },
                          Row{ "backup, failed, 400", true, false, 400 },
                          Row{ "backup, failed, 204", true, false, 204 },
                          Row{ "rescue copy, 500", false, true, 500 } }) {
    CAPTURE(std::string(row.m_name));
    TwoEngines engines(row.m_canBackUp, [&](FakeEngine& aEngine) {
      aEngine.m_resumeStatus = row.m_status;
    });
    FakeEngine& source = engines.First();
    engines.m_site.RunUntil([&] { return source.m_eventsSent >= 10; });
    if (row.m_isReclaimed) {
      engines.m_site.SetState(source.m_id, UpstreamState::Leaving);
    }
    if (row.m_canBackUp) {
      engines.m_site.RunUntil([&] { return source.m_eventsSent >= 12; });
      source.AbortStream();
    }
    engines.Finish();
    CHECK(engines.Second().m_generationsStarted == 1);
    // The end of the connection, in place of a chunk.
    CHECK(engines.m_call->m_status.message() == "read: partial message");
    std::string body = engines.m_call->m_response.m_body;
    CHECK(Events(40).starts_with(body));
    CHECK(body.size() < Events(40).size());
    CHECK(engines.m_site.Counters().PrometheusText().find(
            "requests_total{result=\"interrupted\"} 1") != std::string::npos);
  }
}

// Guards against a generation that runs at two engines: not all engines stop
// one whose connection has closed.
TEST_CASE(
  "a generation with a backup resumes once its engine has ended it, and "
  "not before")
{
  struct Row
  {
    const char* m_name;
    bool m_stopsIfClosed;
    /// Events after which the engine ends, as announced.
    int m_endsAfterEvents;
    int m_resumes;
  };
  for (const Row& row : { Row{ "runs on when closed", false, 35, 1 },
                          Row{ "stops when closed", true, 35, 1 },
                          Row{ "ends with its output", false, 40, 0 } }) {
    CAPTURE(std::string(row.m_name));
    TwoEngines engines(true, [&](FakeEngine& aEngine) {
      aEngine.m_stopsIfClosed = row.m_stopsIfClosed;
    });
    FakeEngine& source = engines.First();
    bool isSourceRunning = false;
    engines.Second().m_onResume = [&] {
      isSourceRunning = !source.m_isStopped;
    };
    // Long enough for the backup to be complete.
    Instant noticeAt = engines.m_site.Loop().Now() + milliseconds(300);
    engines.m_site.RunUntil(
      [&] { return engines.m_site.Loop().Now() >= noticeAt; });
    engines.m_site.SetState(source.m_id, UpstreamState::Leaving);
    engines.m_site.RunUntil([&] {
      return source.m_eventsSent >= row.m_endsAfterEvents ||
             engines.m_call->m_isDone;
    });
    if (row.m_resumes > 0) {
      source.AbortStream();
      engines.m_site.Kill(source.m_id);
    }
    engines.Finish();
    CHECK(engines.m_call->m_status.ok());
    CHECK(engines.m_call->m_response.m_body == Events(40));
    CHECK(engines.Second().m_generationsStarted == row.m_resumes);
    CHECK(!isSourceRunning);
    // The announced end of an engine is no sign that a request crashes engines.
    CHECK(engines.m_site.Counters().PrometheusText().find(
            "upstream_deaths_total") == std::string::npos);
  }
}
