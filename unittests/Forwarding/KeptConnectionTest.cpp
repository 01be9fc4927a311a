/// Tests of faulty bytes on connections to upstreams that are kept open.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/RawUpstream.h"

#include <doctest/doctest.h>

#include <string>

using namespace persimmontally;

namespace {

std::string IdIn(std::string_view aRequest)
{
  constexpr std::string_view kName = "Request-Id: ";
  size_t start = aRequest.find(kName) + kName.size();
  return std::string(
    aRequest.substr(start, aRequest.find('\r', start) - start));
}

std::string RefusalBytes(const std::string& aIdHeader)
{
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + aIdHeader +
         "Content-Length: 0\r\n\r\n";
}

std::string Success(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
         "\r\nServer-Stamp: s\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

// Guards against an earlier refusal that is taken for the one of this request.
TEST_CASE("a refusal of another request on a kept connection does not prove "
          "that this one did not run")
{
  struct Row
  {
    const char* m_name;
    /// Header lines of the refusal that answers the second request.
    const char* m_idHeader;
    const char* m_path;
    int m_status;
  };
  for (const Row& row :
       { Row{ "earlier id, unsafe", "Request-Id: r1\r\n", "/unsafe/x", 502 },
         Row{
           "earlier id, one attempt", "Request-Id: r1\r\n", "/other/x", 502 },
         Row{ "unknown id, unsafe", "Request-Id: z\r\n", "/unsafe/x", 502 },
         Row{ "no id, unsafe", "", "/unsafe/x", 502 },
         Row{
           "its own id, unsafe", "Request-Id: r2\r\n", "/unsafe/x", 503 } }) {
    CAPTURE(std::string(row.m_name));
    ForwardSite site;
    RawUpstream upstream(site.Loop(), "", "", RawEnd::KeepAlive);
    upstream.m_onRequest =
      [&](std::string_view aRequest) -> std::optional<std::string> {
      std::string id = IdIn(aRequest);
      if (id == "r1") {
        return RefusalBytes("Request-Id: r1\r\n");
      }
      return id == "r2" ? RefusalBytes(row.m_idHeader) : Success(id, "whole");
    };
    bool isOther = std::string(row.m_path) == "/other/x";
    site.AddUpstreamAt("s", isOther ? "other" : "plain", upstream.Address());
    CHECK(site.Finish(row.m_path).m_status == 503);
    CHECK(site.Finish(row.m_path).m_status == row.m_status);
    // The connection may hold the rest of another response.
    HttpResponse third = site.Finish(row.m_path);
    CHECK(third.m_status == 200);
    CHECK(third.m_body == "whole");
  }
}

// Guards against a refusal on a new connection that is not believed.
TEST_CASE("a refusal without an id on a new connection is the one of its "
          "request")
{
  ForwardSite site;
  RawUpstream upstream(site.Loop(), "", "", RawEnd::KeepAlive);
  upstream.m_onRequest = [](std::string_view) -> std::optional<std::string> {
    return RefusalBytes("");
  };
  site.AddUpstreamAt("s", "plain", upstream.Address());
  CHECK(site.Finish("/unsafe/x").m_status == 503);
}

// Guards against a success without its body after a head that breaks off.
TEST_CASE("a response that ends inside its head is a failure")
{
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\n"
                           "Server-Stamp: s\r\nContent-Length: 0\r\n\r\n";
  for (const char* path : { "/unsafe/x", "/stream/x", "/whole/x" }) {
    for (size_t size = 1; size < head.size(); size += 7) {
      CAPTURE(std::string(path));
      CAPTURE(size);
      ForwardSite site;
      RawUpstream upstream(site.Loop(), "", "", RawEnd::KeepAlive);
      upstream.m_onRequest =
        [&](std::string_view aRequest) -> std::optional<std::string> {
        std::string id = IdIn(aRequest);
        return id == "r1" ? Success(id, "whole") : head.substr(0, size);
      };
      bool isPlain = std::string(path) == "/unsafe/x";
      site.AddUpstreamAt(
        "s", isPlain ? "plain" : "engines", upstream.Address());
      site.Finish(path);
      auto call = site.Start(path, { { "X-Api-Key", "key" } });
      site.RunUntil([&] { return upstream.Requests() >= 2; });
      site.RunUntil([&] {
        upstream.CloseAll();
        return call->m_isDone;
      });
      CHECK(call->m_response.m_status == 502);
    }
  }
}
