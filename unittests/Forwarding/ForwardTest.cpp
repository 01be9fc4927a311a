/// Requests on routes, from the caller to upstreams that misbehave.

#include "Forwarding/ForwardSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

using Writer = ForwardSite::Writer;

static void AnswerWell(const HttpRequest& aRequest, const Writer& aWriter)
{
  aWriter->SendWhole({ 200, Genuine(aRequest), "answer" });
}

TEST_CASE("what the catalog does not allow is refused by the host itself")
{
  ForwardSite site;
  site.AddUpstream("s1", "plain", AnswerWell);
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

TEST_CASE("the upstream gets the account, and never the key")
{
  ForwardSite site;
  HttpRequest seen;
  site.AddUpstream(
    "s1", "plain", [&](const HttpRequest& aRequest, const Writer& aWriter) {
      seen = aRequest;
      AnswerWell(aRequest, aWriter);
    });
  CHECK(site.Finish("/unsafe/x?q=1").m_body == "answer");
  CHECK(seen.m_target == "/unsafe/x?q=1");
  CHECK(seen.m_body == "body");
  CHECK(seen.Header("Tenant") == "t");
  CHECK(seen.Header("X-Api-Key").empty());
  CHECK(seen.Header("Expect-Instance") == "s1");
}

TEST_CASE("answers that are not the upstream's never reach a caller")
{
  struct Row
  {
    const char* m_name;
    std::function<void(const HttpRequest&, const Writer&)> m_answer;
    int m_unsafeStatus;
    int m_safeStatus;
  };
  for (const Row& row : std::vector<Row>{
         { "genuine", AnswerWell, 200, 200 },
         { "no signature",
           [](const HttpRequest&aRequest, const Writer&aWriter) {
             HttpHeaders headers = Genuine(aRequest);
             headers.pop_back();
             aWriter->SendWhole({ 200, headers, "x" });
           },
           502,
           200 },
         { "another request's answer",
           [](const HttpRequest&, const Writer&aWriter) {
             aWriter->SendWhole(
               { 200,
                 { { "Request-Id", "z" }, { "Server-Stamp", "s" } },
                 "x" });
           },
           502,
           200 },
         { "cut before its end",
           [](const HttpRequest&aRequest, const Writer&aWriter) {
             aWriter->StartStream(200, Genuine(aRequest));
             aWriter->Write("x");
             aWriter->OnDrained([aWriter] { aWriter->Abort(); });
           },
           502,
           200 },
         { "closed without an answer",
           [](const HttpRequest&, const Writer&aWriter) { aWriter->Abort(); },
           502,
           200 },
         { "a promise that only the upstream can give",
           [](const HttpRequest&aRequest, const Writer&aWriter) {
             aWriter->SendWhole({ 503, Genuine(aRequest), "x" });
           },
           502,
           200 },
         { "turned away as not run",
           [](const HttpRequest&, const Writer&aWriter) {
             aWriter->SendWhole({ 503, { { "Not-Run", "1" } }, "" });
           },
           503,
           200 },
         { "its own failure",
           [](const HttpRequest&aRequest, const Writer&aWriter) {
             aWriter->SendWhole({ 500, Genuine(aRequest), "x" });
           },
           500,
           200 } }) {
    for (bool isSafe : { false, true }) {
      CAPTURE(row.m_name);
      CAPTURE(isSafe);
      ForwardSite site;
      int runs = 0;
      // Idempotent requests meet the fault once, and then a sound upstream.
      for (const char* id : { "s1", "s2" }) {
        site.AddUpstream(
          id, "plain", [&](const HttpRequest& aRequest, const Writer& aWriter) {
            ++runs;
            if (isSafe && runs > 1) {
              AnswerWell(aRequest, aWriter);
            } else {
              row.m_answer(aRequest, aWriter);
            }
          });
      }
      HttpResponse response = site.Finish(isSafe ? "/safe/x" : "/unsafe/x");
      CHECK(response.m_status ==
            (isSafe ? row.m_safeStatus : row.m_unsafeStatus));
      CHECK(runs <= (isSafe ? 2 : 1));
      bool isPromise = response.m_status == 503;
      CHECK(response.Header("Retry-After").empty() == !isPromise);
    }
  }
}

TEST_CASE("a connection that fails before a byte is sent costs no attempt")
{
  ForwardSite site;
  site.AddDeadUpstream("dead", "plain");
  site.AddUpstream("s1", "plain", AnswerWell);
  for (int i = 0; i < 4; ++i) {
    CHECK(site.Finish("/unsafe/x").m_status == 200);
  }
}

TEST_CASE("an upstream that is gone is left out after one answer of another")
{
  ForwardSite site;
  int misdirected = 0;
  site.AddUpstream(
    "old", "plain", [&](const HttpRequest&, const Writer& aWriter) {
      ++misdirected;
      aWriter->SendWhole({ 421, { { "Instance-Id", "new" } }, "" });
    });
  site.AddUpstream("s1", "plain", AnswerWell);
  for (int i = 0; i < 8; ++i) {
    int status = site.Finish("/unsafe/x").m_status;
    CHECK((status == 200 || status == 503));
  }
  CHECK(misdirected <= 1);
}

TEST_CASE("a request that was sent gets its final answer at its timeout")
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

TEST_CASE("the upstream's work ends when its caller leaves")
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

TEST_CASE("nothing is sent where no upstream can run it")
{
  ForwardSite site;
  HttpResponse response =
    site.Finish("/unsafe/x", { { "Deadline-Ms", "200" } });
  CHECK(response.m_status == 503);
}

TEST_CASE("requests that come before the catalog are served once it is there")
{
  struct Row
  {
    const char* m_patience;
    bool m_isKnownInTime;
    int m_status;
  };
  for (const Row& row :
       { Row{ "2500", true, 200 }, Row{ "2500", false, 503 } }) {
    CAPTURE(row.m_isKnownInTime);
    ForwardSite site;
    site.AddUpstream("s1", "plain", AnswerWell);
    RouteTablePtr routes = site.Gateway().Routes();
    site.Gateway().SetRoutes(nullptr);
    auto call =
      site.Start("/unsafe/x",
                 { { "X-Api-Key", "key" }, { "Deadline-Ms", row.m_patience } });
    site.RunUntil([&] { return site.Gateway().OpenRequests() == 1; });
    if (row.m_isKnownInTime) {
      site.Gateway().SetRoutes(routes);
    }
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_response.m_status == row.m_status);
  }
}

// Generations.

namespace {

/// An engine that makes events one by one and knows the copies it holds.
struct FakeEngine
{
  FakeEngine(ForwardSite& aSite, std::string aId)
    : m_site(aSite)
    , m_id(std::move(aId))
  {
  }

  ForwardSite& m_site;
  std::string m_id;
  int m_most = 40;
  bool m_hasCopy = true;
  /// What it answers when it is asked for a copy, and for the last part.
  int m_copyStatus = 200;
  int m_lastCopyStatus = 200;
  int m_copies = 0;
  std::vector<std::string> m_backups;
  Writer m_writer;
  int m_made = 0;
  int m_starts = 0;
  bool m_isStopped = false;
  Timer m_timer;

  void Handle(const HttpRequest& aRequest, const Writer& aWriter)
  {
    if (aRequest.m_target.starts_with("/persimmontally/kv-move")) {
      bool isLast = aRequest.m_body.find("last") != std::string::npos;
      ++m_copies;
      int status = isLast ? m_lastCopyStatus : m_copyStatus;
      aWriter->SendWhole({ status, {}, R"({"handle":"h1"})" });
      if (isLast) {
        Break();
      }
      return;
    }
    bool isResume = !aRequest.Header("Kv-From").empty();
    if (isResume && !m_hasCopy) {
      aWriter->SendWhole({ 503, { { "Not-Run", "1" } }, "" });
      return;
    }
    ++m_starts;
    m_backups.emplace_back(aRequest.Header("Kv-Backup"));
    m_made =
      isResume ? std::stoi(std::string(aRequest.Header("Last-Event-Id"))) : 0;
    m_writer = aWriter;
    m_isStopped = false;
    m_writer->OnClosed([this] { m_isStopped = true; });
    m_writer->StartStream(200, Genuine(aRequest));
    Make();
  }

  void Make()
  {
    if (m_isStopped) {
      return;
    }
    if (m_made == m_most) {
      m_writer->Finish();
      return;
    }
    m_writer->Write(Event(++m_made));
    m_timer = m_site.Loop().RunAfter(milliseconds(25), [this] { Make(); });
  }

  void Break()
  {
    m_isStopped = true;
    m_writer->Abort();
  }
};

std::string Events(int aCount)
{
  std::string events;
  for (int i = 1; i <= aCount; ++i) {
    events += Event(i);
  }
  return events;
}

const HttpHeaders kLongOutput = { { "X-Api-Key", "key" },
                                  { "Token-Count", "1000,800" },
                                  { "Length-Hint", "600" } };

} // namespace

namespace {

/// A generation on one of two engines.
class TwoEngines
{
public:
  TwoEngines(bool aCanBackUp, const std::function<void(FakeEngine&)>& aSetUp)
    : m_site(aCanBackUp)
  {
    for (const char* id : { "e1", "e2" }) {
      m_engines.push_back(std::make_unique<FakeEngine>(m_site, id));
      FakeEngine* engine = m_engines.back().get();
      aSetUp(*engine);
      m_site.AddUpstream(
        id,
        "engines",
        [engine](const HttpRequest& aRequest, const Writer& aWriter) {
          engine->Handle(aRequest, aWriter);
        });
    }
    m_call = m_site.Start("/stream/x", kLongOutput);
    m_site.RunUntil(
      [&] { return m_engines[0]->m_starts + m_engines[1]->m_starts > 0; });
    m_first = m_engines[0]->m_starts > 0 ? 0 : 1;
  }

  /// Engine that runs the generation at first, and the other one.
  FakeEngine& First() { return *m_engines[m_first]; }
  FakeEngine& Second() { return *m_engines[1 - m_first]; }
  void Finish()
  {
    m_site.RunUntil([&] { return m_call->m_isDone; });
    CHECK(m_site.Gateway().OpenRequests() == 0);
  }

  ForwardSite m_site;
  std::shared_ptr<ForwardSite::Call> m_call;

private:
  std::vector<std::unique_ptr<FakeEngine>> m_engines;
  size_t m_first = 0;
};

} // namespace

TEST_CASE("a generation survives its engine, without a gap or a repeat")
{
  struct Row
  {
    const char* m_name;
    int m_breakAfter;
    bool m_isNoticeGiven;
    bool m_hasCopy;
    bool m_isWhole;
  };
  for (const Row& row : {
         Row{ "nothing happens", 0, false, true, true },
         Row{ "the engine breaks off", 10, false, true, true },
         Row{ "the engine leaves", 10, true, true, true },
         Row{ "the engine breaks off before its copy arrived",
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
    if (row.m_breakAfter > 0) {
      engines.m_site.RunUntil([&] { return first.m_made >= row.m_breakAfter; });
      if (row.m_isNoticeGiven) {
        engines.m_site.SetState(first.m_id, UpstreamState::Leaving);
      } else {
        first.Break();
      }
    }
    engines.Finish();
    CHECK(engines.m_call->m_status.ok() == row.m_isWhole);
    CHECK((engines.m_call->m_response.m_body == Events(40)) == row.m_isWhole);
    CHECK(second.m_starts == (row.m_breakAfter > 0 && row.m_hasCopy ? 1 : 0));
  }
}

TEST_CASE("without backups a generation moves by a copy made at the notice")
{
  struct Row
  {
    const char* m_name;
    int m_copyStatus;
    int m_lastCopyStatus;
    /// Where the generation goes on.
    bool m_isAtTarget;
  };
  for (const Row& row : {
         Row{ "both parts are copied", 200, 200, true },
         Row{
           "the last part is not, and the source keeps it", 200, 503, false },
         Row{ "there is no room at first", 503, 200, true },
       }) {
    CAPTURE(row.m_name);
    TwoEngines engines(false, [&](FakeEngine& aEngine) {
      aEngine.m_copyStatus = row.m_copyStatus;
      aEngine.m_lastCopyStatus = row.m_lastCopyStatus;
    });
    FakeEngine& source = engines.First();
    CHECK(source.m_backups == std::vector<std::string>{ "" });
    engines.m_site.RunUntil([&] { return source.m_made >= 5; });
    engines.m_site.SetState(source.m_id, UpstreamState::Leaving);
    if (row.m_copyStatus != 200) {
      engines.m_site.RunUntil([&] { return source.m_copies >= 2; });
      source.m_copyStatus = 200;
    }
    engines.Finish();
    CHECK(engines.m_call->m_status.ok());
    CHECK(engines.m_call->m_response.m_body == Events(40));
    CHECK(engines.Second().m_starts == (row.m_isAtTarget ? 1 : 0));
    CHECK(source.m_starts >= (row.m_isAtTarget ? 1 : 2));
  }
}

TEST_CASE("a short generation has no backup, and its break is shown")
{
  ForwardSite site;
  FakeEngine engine(site, "e1");
  site.AddUpstream(
    "e1", "engines", [&](const HttpRequest& aRequest, const Writer& aWriter) {
      engine.Handle(aRequest, aWriter);
    });
  site.AddUpstream("e2", "engines", AnswerWell);
  HttpHeaders headers = { { "X-Api-Key", "key" }, { "Token-Count", "100,20" } };
  auto call = site.Start("/stream/x", headers);
  site.RunUntil([&] { return engine.m_starts > 0 || call->m_isDone; });
  if (engine.m_starts > 0) {
    CHECK(engine.m_backups == std::vector<std::string>{ "" });
    engine.Break();
  }
  site.RunUntil([&] { return call->m_isDone; });
  CHECK(engine.m_starts <= 1);
  if (engine.m_starts > 0) {
    CHECK(!call->m_status.ok());
  }
}
