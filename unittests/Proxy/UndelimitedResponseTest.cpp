/// Tests of service calls whose response ends with its connection.

#include "Forwarding/RawUpstream.h"
#include "Proxy/TestSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

// Guards against responses that are cut short by the death of their upstream
// and passed on as whole ones, also if a probe of it has no answer.
TEST_CASE("the response of a service call that ends with its connection is "
          "lost if its upstream has died or cannot be reached")
{
  enum class After
  {
    Lives,
    Dies,
    Unanswered,
  };
  struct Row
  {
    const char* m_service;
    After m_after;
    int m_status;
  };
  // A call that may be repeated has no other upstream here.
  for (const Row& row : { Row{ "orders", After::Lives, 200 },
                          Row{ "orders", After::Dies, 409 },
                          Row{ "orders", After::Unanswered, 409 },
                          Row{ "labels", After::Lives, 200 },
                          Row{ "labels", After::Dies, 502 },
                          Row{ "labels", After::Unanswered, 502 } }) {
    CAPTURE(std::string(row.m_service));
    CAPTURE(static_cast<int>(row.m_after));
    TestSite site;
    RawUpstream upstream(
      site.Loop(), "HTTP/1.1 200 OK\r\n\r\nwhole", "", RawEnd::Hold);
    site.Announce("u", upstream.Address(), row.m_service);
    bool isOrder = std::string(row.m_service) == "orders";
    HttpRequest request = OrderRequestOf(isOrder ? "key-1" : "", "one");
    request.m_target = "/services/" + std::string(row.m_service) + "/new";
    auto call = site.Start(std::move(request));
    site.RunUntil(
      [&] { return upstream.Requests() > 0 && upstream.HasSentAll(); });
    if (row.m_after == After::Dies) {
      upstream.StopListening();
    } else if (row.m_after == After::Unanswered) {
      upstream.StopAnswering();
    }
    upstream.CloseHeld();
    site.RunUntil([&] { return call->m_isDone; });
    CHECK(call->m_response.m_status == row.m_status);
    bool isWhole = call->m_response.m_body == "whole";
    CHECK(isWhole == (row.m_after == After::Lives));
  }
}
