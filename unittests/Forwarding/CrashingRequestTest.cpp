/// Tests of a request that crashes the upstreams that run it and returns
/// unchanged.

#include "Forwarding/CrashSite.h"
#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Routing/CrashEvidence.h"

#include <doctest/doctest.h>

using namespace persimmontally;

// Guards against one request that crashes upstream after upstream.
TEST_CASE("a request that returns unchanged ends two upstreams at most, and "
          "others on its route are served")
{
  struct Row
  {
    const char* m_name;
    const char* m_route;
    CrashSiteOptions m_site;
  };
  for (const Row& row : std::vector<Row>{
         { "plain, two attempts", "safe", { "plain", false, true } },
         { "plain, one attempt", "unsafe", { "plain", false, true } },
         { "whole response of an engine", "whole", { "engines", false, true } },
         { "stream with parts that are sound",
           "stream",
           { "engines", false, false } },
         { "the same, with a backup", "stream", { "engines", true, false } },
         { "stream that ends its engine after several events",
           "stream",
           { "engines", false, false, 8 } },
         { "the same, with a backup",
           "stream",
           { "engines", true, false, 8 } } }) {
    for (Duration pause : { milliseconds(0), milliseconds(600) }) {
      CAPTURE(std::string(row.m_name));
      CAPTURE(row.m_site.m_canBackUp);
      CAPTURE(ToMilliseconds(pause));
      CrashSite site(row.m_site);
      std::string path = std::string("/") + row.m_route;
      constexpr int kRounds = 4;
      for (int i = 0; i < kRounds; ++i) {
        CAPTURE(i);
        std::string part = ",u" + std::to_string(i) + ":50";
        CHECK(site.Send(path + "/x", "first:50" + part) == 200);
        int status = site.Send(path + "/bad", "first:50,own:50");
        bool isKnown = i >= 2;
        CHECK((status == 503 || !isKnown));
        site.Wait(pause);
      }
      CHECK(site.m_deaths <= 2);
    }
  }
}

// Guards against a second upstream that ends under a trial.
TEST_CASE("a trial of a quarantined request is not sent again when its "
          "upstream dies")
{
  CrashSite site({ "plain", false, true });
  PoisonRow row;
  row.m_fingerprint = RequestKey("plain", "t", "/safe/bad", "body");
  row.m_strikes = CrashEvidence::kQuarantineStrikes;
  row.m_deaths = { "a/1", "b/1" };
  site.m_site.Gateway().Members().ReportPoison(
    site.m_site.Loop().Now() - CrashEvidence::kTrialDelay, row);
  CHECK(site.Send("/safe/bad", "") == 502);
  CHECK(site.m_deaths == 1);
  CHECK(site.Send("/safe/bad", "") == 503);
}

// Guards against evidence that another service of the same prompts voids.
TEST_CASE(
  "a part that crashes the engines of one service is quarantined there, "
  "and served by another service")
{
  CrashSite site({ "engines", false, false });
  site.m_site.AddUpstream(
    "o", "other", [](const HttpRequest& aRequest, const auto& aWriter) {
      aWriter->SendResponse({ 200, Genuine(aRequest), "whole" });
    });
  constexpr int kRounds = 4;
  for (int i = 0; i < kRounds; ++i) {
    CAPTURE(i);
    std::string path = "/x" + std::to_string(i);
    std::string parts = "first:50,bad:50,own:50";
    CHECK(site.Send("/stream" + path, parts) == (i < 2 ? 0 : 503));
    CHECK(site.Send("/other" + path, parts) == 200);
    site.Wait(CrashEvidence::kDeathSpacing);
  }
  CHECK(site.m_deaths == 2);
}

// Guards against error responses that void the evidence of crashes.
TEST_CASE("a request that gets an error response now and then is quarantined "
          "after two deaths all the same")
{
  CrashSiteOptions options{ "plain", false, true, 0, true };
  CrashSite site(options);
  std::vector<int> statuses;
  for (int i = 0; i < 5; ++i) {
    statuses.push_back(site.Send("/unsafe/bad", ""));
  }
  CHECK(statuses == std::vector{ 502, 500, 502, 503, 503 });
  CHECK(site.m_deaths == 2);
}
