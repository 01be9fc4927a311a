/// Tests of upstreams that answer with a head that is not valid.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/RawUpstream.h"

#include <doctest/doctest.h>

#include <array>

using namespace persimmontally;

namespace {

std::string Respond(const std::string& aStatus,
                    const std::string& aId,
                    const std::string& aLine)
{
  return "HTTP/1.1 " + aStatus + "\r\nRequest-Id: " + aId +
         "\r\nServer-Stamp: s\r\n" + aLine + "Content-Length: 5\r\n\r\nwhole";
}

} // namespace

// Guards against responses whose status is none, or whose fields cannot be
// understood, that are passed on to callers.
TEST_CASE("a response with a bad head is a failure after the send")
{
  struct Head
  {
    const char* m_name;
    std::string m_status;
    std::string m_line;
  };
  struct Path
  {
    const char* m_path;
    int m_status;
    size_t m_requests;
  };
  for (const Head& head : std::vector<Head>{
         { "status 000", "000 x", "" },
         { "status 099", "099 x", "" },
         { "status 199", "199 x", "" },
         { "status 600", "600 x", "" },
         { "blank in a name", "200 OK", "X y: z\r\n" },
         { "control byte in a name", "200 OK", "X\x01y: z\r\n" },
         { "coded body", "200 OK", "Transfer-Encoding: gzip, chunked\r\n" },
         { "another length", "200 OK", "Content-Length: 4\r\n" },
         { "another id", "200 OK", "Request-Id: other\r\n" },
         { "another stamp", "200 OK", "Server-Stamp: other\r\n" } }) {
    // Only what may run twice is sent again.
    for (const Path& path : { Path{ "/unsafe/x", 502, 1 },
                              Path{ "/safe/x", 200, 2 },
                              Path{ "/stream/x", 502, 1 } }) {
      CAPTURE(std::string(head.m_name));
      CAPTURE(std::string(path.m_path));
      ForwardSite site(false);
      size_t requests = 0;
      auto respond = [&](std::string_view) {
        bool isBad = ++requests == 1;
        return std::optional(isBad ? Respond(head.m_status, "r1", head.m_line)
                                   : Respond("200 OK", "r1", ""));
      };
      std::array<std::unique_ptr<RawUpstream>, 2> upstreams;
      for (size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i] =
          std::make_unique<RawUpstream>(site.Loop(), "", "", RawEnd::KeepAlive);
        upstreams[i]->m_onRequest = respond;
        bool isStream = std::string(path.m_path) == "/stream/x";
        site.AddUpstreamAt("u" + std::to_string(i),
                           isStream ? "engines" : "plain",
                           upstreams[i]->Address());
      }
      auto call = site.Start(path.m_path, { { "X-Api-Key", "key" } });
      site.RunUntil([&] { return call->m_isDone; });
      CHECK(call->m_response.m_status == path.m_status);
      CHECK(requests == path.m_requests);
      CHECK((call->m_response.m_body == "whole") == (path.m_status == 200));
      // The connection may hold more of the bad response.
      for (const auto& upstream : upstreams) {
        bool isBad = upstream->Requests() > 0 && path.m_status == 502;
        if (isBad) {
          site.RunUntil([&] { return upstream->IsClosed(); });
        }
      }
    }
  }
}
