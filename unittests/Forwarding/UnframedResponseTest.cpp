/// Tests of responses with neither a length nor chunks, which end with their
/// connection.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/RawUpstream.h"

#include <doctest/doctest.h>

using namespace persimmontally;

// Guards against broken streams that look complete to the caller.
TEST_CASE("a response that ends with its connection is complete unless it is "
          "reset or ends inside an event")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n";
  const std::string unframed = head + "\r\n";
  const std::string inside = Event(1) + "id: 2\ndata: t";
  const std::string framed =
    head + "Content-Length: " + std::to_string(inside.size()) + "\r\n\r\n";
  struct Row
  {
    const char* m_name;
    const char* m_path;
    std::string m_bytes;
    RawEnd m_end;
    bool m_isComplete;
    std::string m_body;
  };
  for (const Row& row : std::vector<Row>{
         { "a body",
           "/unsafe/",
           unframed + "body",
           RawEnd::Close,
           true,
           "body" },
         { "a body, reset",
           "/unsafe/",
           unframed + "body",
           RawEnd::Reset,
           false,
           "" },
         { "events",
           "/stream/",
           unframed + Event(1) + Event(2),
           RawEnd::Close,
           true,
           Event(1) + Event(2) },
         { "events, reset",
           "/stream/",
           unframed + Event(1),
           RawEnd::Reset,
           false,
           Event(1) },
         { "inside an event",
           "/stream/",
           unframed + inside,
           RawEnd::Close,
           false,
           Event(1) },
         { "inside an event, after all announced bytes",
           "/stream/",
           framed + inside,
           RawEnd::Close,
           false,
           Event(1) },
       }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site(false);
    RawUpstream upstream(site.Loop(), row.m_bytes, "", row.m_end);
    site.AddUpstreamAt(
      "u", row.m_path[1] == 's' ? "engines" : "plain", upstream.Address());
    auto call = site.Start(row.m_path, { { "X-Api-Key", "key" } });
    site.RunUntil([&] { return call->m_isDone; });
    bool isComplete = call->m_status.ok() && call->m_response.m_status == 200;
    CHECK(isComplete == row.m_isComplete);
    if (isComplete || row.m_path[1] == 's') {
      CHECK(call->m_response.m_body == row.m_body);
    }
  }
}
