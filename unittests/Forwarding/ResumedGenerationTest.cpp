/// Tests of generations that resume at another engine and fail there.

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
    engines.m_site.SetState(source.m_id, UpstreamState::Leaving);
    if (!row.m_isReclaimed) {
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
