/// Tests of requests that crash the engines that begin to respond to them.

#include "Forwarding/CrashSite.h"
#include "persimmontally/Routing/CrashEvidence.h"
#include "persimmontally/Support/Metrics.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

using Writer = ForwardSite::Writer;

std::string Unique(int aNumber)
{
  return ",u" + std::to_string(aNumber) + ":50";
}

} // namespace

// Guards against engines that crash one after the other by the same part.
TEST_CASE("requests that share a part which crashes engines are refused after "
          "the second death, and those with the other parts are not")
{
  CrashSite site;
  for (int i = 0; i < 3; ++i) {
    CHECK(site.Send("/stream/x", "first:50,second:50" + Unique(i)) == 200);
  }
  for (int i = 3; i < 9; ++i) {
    CAPTURE(i);
    bool isKnown = i >= 5;
    CHECK(site.Send("/stream/x", "first:50,second:50,bad:50" + Unique(i)) ==
          (isKnown ? 503 : 0));
    CHECK(site.Send("/stream/x", "first:50,second:50" + Unique(100 + i)) ==
          200);
    site.Wait(CrashEvidence::kDeathSpacing);
  }
  CHECK(site.m_deaths == 2);
}

// Guards against a resume that crashes the engine with the backup too.
TEST_CASE("a request with an unknown part that its engine broke off without an "
          "event is not resumed at its backup")
{
  CrashSite site({ "engines", true, false });
  CHECK(site.Send("/stream/x", "first:50,bad:50" + Unique(1)) == 0);
  CHECK(site.m_deaths == 1);
}

// Guards against a death that is no evidence because its engine had been
// announced as leaving or gone an instant before.
TEST_CASE("the death of an engine during a migration off it is counted")
{
  for (bool isLast : { false, true }) {
    CAPTURE(isLast);
    ForwardSite site(false);
    Writer stream;
    Timer last;
    // The stream breaks off before the call for the copy does.
    auto die = [&](const Writer& aCopy) {
      site.Kill("source");
      stream->Abort();
      last =
        site.Loop().RunAfter(milliseconds(20), [aCopy] { aCopy->Abort(); });
    };
    site.AddUpstream(
      "source",
      "engines",
      [&](const HttpRequest& aRequest, const Writer& aWriter) {
        if (aRequest.m_target.find("kv-move") == std::string::npos) {
          stream = aWriter;
          aWriter->StartStream(200, Genuine(aRequest));
          aWriter->Write(Event(1));
          return;
        }
        bool isLastCall = aRequest.m_body.find("last") != std::string::npos;
        if (isLastCall == isLast) {
          site.Loop().Post([&die, aWriter] { die(aWriter); });
          return;
        }
        aWriter->SendResponse({ 200, {}, R"({"handle":"h1"})" });
      });
    auto call = site.Start("/stream/x",
                           { { "X-Api-Key", "key" },
                             { "Token-Count", "100,400" },
                             { "Length-Hint", "400" },
                             { "Prefix-Hash", "p:50,u:50" } });
    site.RunUntil([&] { return !call->m_response.m_body.empty(); });
    site.AddUpstream(
      "target", "engines", [](const HttpRequest&, const Writer& aWriter) {
        aWriter->SendResponse({ 503, { { "Not-Run", "1" } }, "" });
      });
    site.SetState("source", UpstreamState::Leaving);
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(!call->m_status.ok());
    site.RunUntil([&] {
      return site.Counters().PrometheusText().find("upstream_deaths_total 1") !=
             std::string::npos;
    });
  }
}

// Guards against quarantine by connections that break while the engine lives.
TEST_CASE("broken connections to an engine that is up quarantine nothing")
{
  ForwardSite site(false);
  site.AddUpstream(
    "e", "engines", [](const HttpRequest& aRequest, const Writer& aWriter) {
      aWriter->StartStream(200, Genuine(aRequest));
      aWriter->Write(Event(1));
      aWriter->OnDrained([aWriter] { aWriter->Abort(); });
    });
  for (int i = 0; i < 4; ++i) {
    CAPTURE(i);
    auto call = site.Start(
      "/stream/x",
      { { "X-Api-Key", "key" }, { "Prefix-Hash", "p:5" + Unique(i) } });
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_response.m_status == 200);
    Instant end = site.Loop().Now() + CrashEvidence::kDeathSpacing;
    site.RunUntil([&] { return site.Loop().Now() >= end; });
  }
}
