/// Tests of requests that crash the engines that begin to respond to them.

#include "Forwarding/ForwardSite.h"
#include "persimmontally/Routing/CrashEvidence.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

using Writer = ForwardSite::Writer;

/// A site whose engines die when they begin to respond to a prompt that has the
/// part `bad`; another engine then takes the place of the one that died.
class CrashSite
{
public:
  explicit CrashSite(bool aCanBackUp = false)
    : m_site(aCanBackUp)
  {
    for (int i = 0; i < 3; ++i) {
      AddEngine();
    }
  }

  /// Sends a request and returns its status; 0 if its stream was broken off.
  int Send(const std::string& aParts)
  {
    auto call = m_site.Start("/stream/x",
                             { { "X-Api-Key", "key" },
                               { "Token-Count", "100,400" },
                               { "Length-Hint", "400" },
                               { "Prefix-Hash", aParts } });
    m_site.RunUntil([&] { return call->m_isDone; });
    // The death of an engine is found out after its streams have ended.
    Instant settledAt = m_site.Loop().Now() + milliseconds(50);
    m_site.RunUntil([&] { return m_site.Loop().Now() >= settledAt; });
    return call->m_status.ok() ? call->m_response.m_status : 0;
  }

  void Wait(Duration aTime)
  {
    Instant end = m_site.Loop().Now() + aTime;
    m_site.RunUntil([&] { return m_site.Loop().Now() >= end; });
  }

  ForwardSite m_site;
  int m_deaths = 0;

private:
  void AddEngine()
  {
    std::string id = "e" + std::to_string(m_nextEngine++);
    m_site.AddUpstream(
      id,
      "engines",
      [this, id](const HttpRequest& aRequest, const Writer& aWriter) {
        Respond(id, aRequest, aWriter);
      });
  }

  void Respond(const std::string& aEngine,
               const HttpRequest& aRequest,
               const Writer& aWriter)
  {
    aWriter->StartStream(200, Genuine(aRequest));
    if (aRequest.Header("Prefix-Hash").find("bad:") == std::string::npos) {
      for (int i = 0; i < 6; ++i) {
        aWriter->Write(Event(i));
      }
      aWriter->Finish();
      return;
    }
    ++m_deaths;
    aWriter->Write("id: 0\n");
    aWriter->OnDrained([this, aEngine, aWriter] {
      m_site.Loop().Post([this, aEngine, aWriter] {
        m_site.Kill(aEngine);
        aWriter->Abort();
        m_site.SetState(aEngine, UpstreamState::Gone);
        AddEngine();
      });
    });
  }

  int m_nextEngine = 0;
};

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
    CHECK(site.Send("first:50,second:50" + Unique(i)) == 200);
  }
  for (int i = 3; i < 9; ++i) {
    CAPTURE(i);
    bool isKnown = i >= 5;
    CHECK(site.Send("first:50,second:50,bad:50" + Unique(i)) ==
          (isKnown ? 503 : 0));
    CHECK(site.Send("first:50,second:50" + Unique(100 + i)) == 200);
    site.Wait(CrashEvidence::kDeathSpacing);
  }
  CHECK(site.m_deaths == 2);
}

// Guards against a resume that crashes the engine with the backup too.
TEST_CASE("a request with an unknown part that its engine broke off without an "
          "event is not resumed at its backup")
{
  CrashSite site(true);
  CHECK(site.Send("first:50,bad:50" + Unique(1)) == 0);
  CHECK(site.m_deaths == 1);
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
