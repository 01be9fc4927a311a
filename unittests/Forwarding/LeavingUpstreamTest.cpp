/// Tests of upstreams that state in their responses that they are leaving, or
/// for how long they want nothing.

#include "Forwarding/ForwardSite.h"
#include "persimmontally/Membership/Membership.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

using Writer = ForwardSite::Writer;

/// An upstream whose responses have an additional header.
struct Upstream
{
  int m_status = 200;
  HttpHeader m_header;
  int m_requests = 0;
};

void Add(ForwardSite& aSite, const std::string& aId, Upstream& aUpstream)
{
  aSite.AddUpstream(
    aId,
    "plain",
    [&aUpstream](const HttpRequest& aRequest, const Writer& aWriter) {
      ++aUpstream.m_requests;
      HttpHeaders headers = Genuine(aRequest);
      if (aUpstream.m_status != 200) {
        headers.push_back({ "Not-Run", "1" });
      }
      if (!aUpstream.m_header.m_name.empty()) {
        headers.push_back(aUpstream.m_header);
      }
      aWriter->SendResponse({ aUpstream.m_status, headers, "done" });
    });
}

} // namespace

// Guards against requests to an upstream that has said that it leaves.
TEST_CASE(
  "an upstream that states in a response that it leaves gets no further "
  "request, another one at its place does")
{
  ForwardSite site;
  Upstream leaving{ 200, { "Server-Leaving", "1" } };
  Add(site, "leaving", leaving);
  CHECK(site.Finish("/unsafe/x").m_status == 200);
  const UpstreamTable& table = site.Gateway().Members().Upstreams();
  CHECK(table.Find(UpstreamId("leaving"))->m_row.m_state ==
        UpstreamState::Leaving);
  Upstream other;
  Add(site, "other", other);
  for (int i = 0; i < 5; ++i) {
    CHECK(site.Finish("/unsafe/x").m_status == 200);
  }
  CHECK(leaving.m_requests == 1);
  CHECK(other.m_requests == 5);
}

TEST_CASE("other values than 1 do not make an upstream leave")
{
  for (const char* value : { "", "0", "true", "11", "1, 1" }) {
    CAPTURE(std::string(value));
    ForwardSite site;
    Upstream upstream{ 200, { "Server-Leaving", value } };
    Add(site, "s", upstream);
    for (int i = 0; i < 3; ++i) {
      CHECK(site.Finish("/unsafe/x").m_status == 200);
    }
    CHECK(upstream.m_requests == 3);
  }
}
