/// Tests of the templates in `deploy/`.

#include "Process/ProcessSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

// Guards against templates that need values which an earlier platform lacks:
// the hosts do not start.
TEST_CASE("hosts start with the values that the first platform filled in")
{
  ProcessSiteOptions options;
  options.m_hasRunLine = false;
  ProcessSite site(options);
  site.Start();
  site.StartCallers(2, "/unsafe/x", 0);
  site.RunFor(seconds(1));
  site.StopCallers();
  CHECK(!site.Entry(0).m_hasEnded);
  size_t served = 0;
  for (const auto& request : site.Requests()) {
    served += request->m_isComplete && request->m_status == 200 ? 1 : 0;
  }
  CHECK(served > 0);
}
