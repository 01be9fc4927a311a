/// Tests of upstreams of the own API that answer with a head that is not valid.

#include "Forwarding/RawUpstream.h"
#include "Proxy/TestSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

// Guards against bad heads that are passed on by the second front door.
TEST_CASE("a call whose upstream answers with a bad head fails, or goes to "
          "another upstream")
{
  struct Head
  {
    const char* m_name;
    std::string m_head;
  };
  struct Call
  {
    const char* m_path;
    const char* m_service;
    int m_status;
    size_t m_requests;
  };
  for (const Head& head : std::vector<Head>{
         { "status 000", "HTTP/1.1 000 x\r\n" },
         { "status 600", "HTTP/1.1 600 x\r\n" },
         { "blank in a name", "HTTP/1.1 200 OK\r\nX y: z\r\n" },
         { "coded body",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n" } }) {
    for (const Call& row :
         { Call{ "/services/orders/new", "orders", 409, 1 },
           Call{ "/services/labels/new", "labels", 200, 2 } }) {
      CAPTURE(std::string(head.m_name));
      CAPTURE(std::string(row.m_path));
      TestSite site;
      const std::string body = "Content-Length: 5\r\n\r\nwhole";
      size_t calls = 0;
      auto respond = [&](std::string_view aRequest) {
        bool isBad = aRequest.starts_with("POST") && ++calls == 1;
        return std::optional((isBad ? head.m_head : "HTTP/1.1 200 OK\r\n") +
                             body);
      };
      RawUpstream first(site.Loop(), "", "", RawEnd::KeepAlive);
      RawUpstream second(site.Loop(), "", "", RawEnd::KeepAlive);
      first.m_onRequest = respond;
      second.m_onRequest = respond;
      site.Announce("u1", first.Address(), row.m_service);
      site.Announce("u2", second.Address(), row.m_service);
      bool isOrder = row.m_requests == 1;
      HttpRequest request = OrderRequestOf(isOrder ? "key-1" : "", "one");
      request.m_target = row.m_path;
      HttpResponse response = site.Call(request);
      CHECK(response.m_status == row.m_status);
      CHECK(calls == row.m_requests);
      CHECK((response.m_body == "whole") == (row.m_status == 200));
    }
  }
}
