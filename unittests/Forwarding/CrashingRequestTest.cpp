/// Tests of a request that crashes the upstreams that run it and returns
/// unchanged.

#include "Forwarding/CrashSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

// Guards against one request that crashes upstream after upstream.
TEST_CASE("a request that returns unchanged ends two upstreams at most, and "
          "others on its route are served" *
          doctest::should_fail())
{
  struct Row
  {
    const char* m_name;
    const char* m_route;
    CrashSiteOptions m_site;
  };
  for (const Row& row : std::vector<Row>{
         { "plain, two attempts", "safe", { "plain", false, true, 0 } },
         { "plain, one attempt", "unsafe", { "plain", false, true, 0 } },
         { "whole response of an engine",
           "whole",
           { "engines", false, true, 0 } },
         { "stream with parts that are sound",
           "stream",
           { "engines", false, false, 0 } },
         { "the same, with a backup", "stream", { "engines", true, false, 0 } },
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
