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

// Guards against requests to an upstream that has asked for a pause.
TEST_CASE(
  "an upstream that rejects a request with a retry delay gets no further "
  "request for that time")
{
  ForwardSite site;
  Upstream resting{ 503, { "Retry-After", "1.2" } };
  Add(site, "resting", resting);
  auto refused = site.Finish("/unsafe/x");
  CHECK(refused.m_status == 503);
  CHECK(std::stod(std::string(refused.Header("Retry-After"))) >= 0.6);
  Instant restedAt = site.Loop().Now() + milliseconds(1200);
  // No other upstream serves the route: refused at once, as not run.
  Instant sentAt = site.Loop().Now();
  refused = site.Finish("/unsafe/x");
  CHECK(refused.m_status == 503);
  CHECK(!refused.Header("Retry-After").empty());
  CHECK(site.Loop().Now() - sentAt < milliseconds(300));
  Upstream other;
  Add(site, "other", other);
  while (site.Loop().Now() < restedAt) {
    CHECK(site.Finish("/safe/x").m_status == 200);
    Instant next = site.Loop().Now() + milliseconds(50);
    site.RunUntil([&] { return site.Loop().Now() >= next; });
  }
  CHECK(resting.m_requests == 1);
}

TEST_CASE("retry delays that cannot be read hold nothing back")
{
  for (const char* value : { "", "-1", "0", "nan", "1e308", "soon" }) {
    CAPTURE(std::string(value));
    ForwardSite site;
    Upstream upstream{ 503, { "Retry-After", value } };
    Add(site, "s", upstream);
    for (int i = 0; i < 3; ++i) {
      CHECK(site.Finish("/unsafe/x").m_status == 503);
    }
    CHECK(upstream.m_requests == 3);
  }
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

// Guards against a statement that a request did not run after it has.
TEST_CASE("a request that has run and finds no upstream for its retry is not "
          "refused as not run")
{
  struct Row
  {
    const char* m_name;
    bool m_isRejected;
    int m_status;
  };
  for (const Row& row : { Row{ "error response", false, 502 },
                          Row{ "rejected as not run", true, 503 } }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site;
    site.AddUpstream(
      "s", "plain", [&](const HttpRequest& aRequest, const Writer& aWriter) {
        HttpHeaders headers = Genuine(aRequest);
        headers.push_back({ "Server-Leaving", "1" });
        if (row.m_isRejected) {
          headers.push_back({ "Not-Run", "1" });
        }
        aWriter->SendResponse({ row.m_isRejected ? 503 : 500, headers, "" });
      });
    CHECK(site.Finish("/safe/x").m_status == row.m_status);
  }
}
