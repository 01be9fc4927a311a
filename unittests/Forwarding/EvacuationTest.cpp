/// Tests of requests while data centres are evacuated: nothing more is sent to
/// their upstreams, and what runs there is not cut.

#include "Forwarding/TwoEngines.h"
#include "persimmontally/Support/Metrics.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

using Writer = ForwardSite::Writer;

/// An upstream that keeps its requests until it is told to answer.
struct HeldUpstream
{
  HeldUpstream(ForwardSite& aSite,
               const std::string& aId,
               const std::string& aDataCentre)
  {
    aSite.AddUpstream(
      aId, "plain", [this](const HttpRequest& aRequest, const Writer& aWriter) {
        ++m_requests;
        if (m_status != 0) {
          aWriter->SendResponse({ m_status, Genuine(aRequest), "done" });
          return;
        }
        m_held.emplace_back(aRequest, aWriter);
      });
    aSite.SetDataCentre(aId, aDataCentre);
  }

  void AnswerAll()
  {
    for (auto& [request, writer] : m_held) {
      writer->SendResponse({ 200, Genuine(request), "done" });
    }
    m_held.clear();
  }

  /// Status of its responses; 0 while it keeps the requests.
  int m_status = 200;
  int m_requests = 0;
  std::vector<std::pair<HttpRequest, Writer>> m_held;
};

std::shared_ptr<ForwardSite::Call> Start(ForwardSite& aSite,
                                         const std::string& aPath)
{
  return aSite.Start(aPath, { { "X-Api-Key", "key" } });
}

void RunFor(ForwardSite& aSite, Duration aLength)
{
  Instant end = aSite.Loop().Now() + aLength;
  aSite.RunUntil([&] { return aSite.Loop().Now() >= end; });
}

} // namespace

TEST_CASE("first sends and retries go to other data centres until the "
          "evacuation is taken back")
{
  ForwardSite site;
  HeldUpstream west(site, "a", "west");
  HeldUpstream east(site, "b", "dc");
  site.Evacuate({ "west" });
  for (int i = 0; i < 10; ++i) {
    CHECK(site.Finish("/unsafe/x").m_status == 200);
  }
  east.m_status = 500;
  CHECK(site.Finish("/safe/x").m_status != 200);
  CHECK(west.m_requests == 0);
  east.m_status = 200;
  int onEast = east.m_requests;
  site.Evacuate({ "dc" });
  for (int i = 0; i < 10; ++i) {
    CHECK(site.Finish("/unsafe/x").m_status == 200);
  }
  CHECK(west.m_requests == 10);
  CHECK(east.m_requests == onEast);
  site.Evacuate({});
  CHECK(site.Finish("/unsafe/x").m_status == 200);
}

TEST_CASE("the last data centre evacuated leads to an immediate refusal as not "
          "run, and cuts nothing")
{
  for (bool areTwo : { false, true }) {
    CAPTURE(areTwo);
    ForwardSite site;
    HeldUpstream west(site, "a", "west");
    std::unique_ptr<HeldUpstream> east;
    if (areTwo) {
      east = std::make_unique<HeldUpstream>(site, "b", "dc");
      east->m_status = 0;
    }
    west.m_status = 0;
    auto running = Start(site, "/unsafe/x");
    site.RunUntil(
      [&] { return west.m_requests + (areTwo ? east->m_requests : 0) == 1; });
    site.Evacuate({ "west", "dc" });
    Instant sentAt = site.Loop().Now();
    for (const char* path : { "/unsafe/x", "/safe/x" }) {
      HttpResponse refused = site.Finish(path);
      CHECK(refused.m_status == 503);
      CHECK(std::stod(std::string(refused.Header("Retry-After"))) > 0);
    }
    CHECK(site.Loop().Now() - sentAt < milliseconds(300));
    CHECK(!running->m_isDone);
    west.AnswerAll();
    if (areTwo) {
      east->AnswerAll();
    }
    site.RunUntil([&] { return running->m_isDone; });
    CHECK(running->m_response.m_status == 200);
    CHECK(west.m_requests + (areTwo ? east->m_requests : 0) == 1);
  }
}

// Guards against a waiting request that gets the place of one that ends in the
// evacuated data centre.
TEST_CASE("a request that waits goes to another data centre")
{
  ForwardSite site;
  HeldUpstream west(site, "a", "west");
  HeldUpstream east(site, "b", "dc");
  west.m_status = 0;
  east.m_status = 0;
  std::vector<std::shared_ptr<ForwardSite::Call>> calls;
  auto count = [&] { return west.m_requests + east.m_requests; };
  // Fills both upstreams; the last call waits.
  for (;;) {
    int before = count();
    calls.push_back(Start(site, "/unsafe/x"));
    RunFor(site, milliseconds(20));
    if (count() == before) {
      break;
    }
  }
  REQUIRE(calls.size() > 2);
  int onWest = west.m_requests;
  site.Evacuate({ "west" });
  west.AnswerAll();
  RunFor(site, milliseconds(100));
  CHECK(!calls.back()->m_isDone);
  east.AnswerAll();
  east.m_status = 200;
  site.RunUntil([&] { return calls.back()->m_isDone; });
  CHECK(calls.back()->m_response.m_status == 200);
  CHECK(west.m_requests == onWest);
}

// Guards against a resume at a backup that was assigned before.
TEST_CASE("a generation does not resume at a backup in an evacuated data "
          "centre, and runs on if nothing ends it")
{
  for (bool isBrokenOff : { true, false }) {
    CAPTURE(isBrokenOff);
    TwoEngines engines(true, [](FakeEngine&) {});
    FakeEngine& source = engines.First();
    engines.m_site.RunUntil([&] { return source.m_eventsSent >= 15; });
    REQUIRE(!source.m_backups.at(0).empty());
    engines.m_site.Evacuate({ "dc" });
    if (isBrokenOff) {
      source.AbortStream();
    }
    engines.Finish();
    CHECK(engines.Second().m_generationsStarted == 0);
    CHECK((engines.m_call->m_response.m_body == Events(40)) == !isBrokenOff);
  }
}

TEST_CASE("a rescue copy goes to no evacuated data centre, and is not resumed "
          "in one that is evacuated during the copy")
{
  struct Row
  {
    const char* m_name;
    bool m_isBefore;
    /// Whether the source, which runs the generation, is evacuated instead.
    bool m_isSource;
    int m_atSource;
    int m_atTarget;
  };
  for (const Row& row : { Row{ "target, before", true, false, 1, 0 },
                          Row{ "target, during", false, false, 2, 0 },
                          Row{ "source, before", true, true, 1, 1 },
                          Row{ "source, during", false, true, 1, 1 } }) {
    CAPTURE(std::string(row.m_name));
    TwoEngines engines(false, [](FakeEngine&) {});
    FakeEngine& source = engines.First();
    FakeEngine& target = engines.Second();
    ForwardSite& site = engines.m_site;
    site.SetDataCentre(target.m_id, "west");
    site.RunUntil([&] { return source.m_eventsSent >= 10; });
    auto evacuate = [&] { site.Evacuate({ row.m_isSource ? "dc" : "west" }); };
    if (row.m_isBefore) {
      evacuate();
    }
    source.m_onLastPart = [&] {
      evacuate();
      // Otherwise the generation would be moved again and again.
      site.SetState(source.m_id, UpstreamState::Serving);
    };
    site.SetState(source.m_id, UpstreamState::Leaving);
    engines.Finish();
    CHECK(source.m_generationsStarted == row.m_atSource);
    CHECK(target.m_generationsStarted == row.m_atTarget);
    CHECK(engines.m_call->m_response.m_body == Events(40));
  }
}

// Guards against a request that was placed, but not sent, before the
// evacuation.
TEST_CASE("a request whose upstream is still being connected to is placed "
          "again")
{
  ForwardSite site;
  HeldUpstream west(site, "a", "west");
  auto call = Start(site, "/unsafe/x");
  Dispatcher& dispatcher = site.Gateway().Placement().Local();
  // Evacuates in the event loop iteration of the placement.
  std::unique_ptr<HeldUpstream> east;
  std::function<void()> watch = [&] {
    if (dispatcher.RunningOn(UpstreamId("a")) == 0) {
      site.Loop().Post(watch);
      return;
    }
    east = std::make_unique<HeldUpstream>(site, "b", "dc");
    site.Evacuate({ "west" });
  };
  site.Loop().Post(watch);
  site.RunUntil([&] { return call->m_isDone; });
  CHECK(call->m_response.m_status == 200);
  CHECK(west.m_requests == 0);
  CHECK(east->m_requests == 1);
}
