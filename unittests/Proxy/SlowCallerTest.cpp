/// Tests with callers that send or read too slowly, over raw sockets.

#include "Proxy/TestSite.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace persimmontally;

namespace {

/// A caller's connection whose sends and reads are controlled by the test.
class RawCaller
{
public:
  explicit RawCaller(const Endpoint& aHost)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    int receiveBuffer = 16 * 1024;
    ::setsockopt(
      m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aHost.m_port);
    ::inet_pton(AF_INET, aHost.m_address.c_str(), &address.sin_addr);
    REQUIRE(::connect(m_socket,
                      reinterpret_cast<sockaddr*>(&address),
                      sizeof address) == 0);
  }
  ~RawCaller() { ::close(m_socket); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& aData)
  {
    REQUIRE(::send(m_socket, aData.data(), aData.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(aData.size()));
  }

  /// Reads the available data without blocking. Returns false after the host
  /// has closed the connection.
  bool Read()
  {
    char buffer[65536];
    ssize_t size = ::recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
    if (size > 0) {
      m_read.append(buffer, static_cast<size_t>(size));
    }
    return size != 0;
  }

  const std::string& Received() const { return m_read; }

private:
  int m_socket;
  std::string m_read;
};

} // namespace

TEST_CASE("a caller that does not finish its request in time gets status 408")
{
  const std::string rows[] = {
    "POST /v1/compl",
    "POST /v1/completions HTTP/1.1\r\nAuthoriz",
    "POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{\"model\"",
  };
  TestSite site;
  for (const std::string& row : rows) {
    CAPTURE(row);
    RawCaller caller(site.HostEndpoint(0));
    caller.Send(row);
    site.RunUntil([&] { return !caller.Read(); });
    CHECK(caller.Received().starts_with("HTTP/1.1 408"));
    CHECK(caller.Received().find("request_timeout") != std::string::npos);
  }
}

static std::string Metric(TestSite& aSite, const std::string& aName)
{
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = "/metrics";
  std::string text = aSite.Call(request).m_body;
  size_t at = text.find("\n" + aName + " ");
  if (at == std::string::npos) {
    return "";
  }
  at += aName.size() + 2;
  return text.substr(at, text.find('\n', at) - at);
}

TEST_CASE("reading from the upstream pauses while the caller does not read, "
          "and no token is lost")
{
  constexpr int kTokens = 20000;
  constexpr size_t kTokenBytes = 1000;
  TestSite site;
  std::shared_ptr<ResponseWriter> held;
  FakeUpstream upstream(
    site.Loop(),
    [&](const HttpRequest&, const std::shared_ptr<ResponseWriter>& aWriter) {
      aWriter->StartStream(200, { { "Content-Type", "text/event-stream" } });
      std::string filler(kTokenBytes, 'x');
      for (int i = 0; i < kTokens; ++i) {
        aWriter->Write(TokenEvent(i, std::to_string(i) + "." + filler));
      }
      aWriter->Write(EndEvents(kTokens));
      aWriter->Finish();
      held = aWriter;
    });
  site.Announce("engine", upstream.Listen(site.AddressPrefix() + ".9"));
  RawCaller caller(site.HostEndpoint(0));
  std::string body = R"({"model": "default", "prompt": "x", "stream": true})";
  caller.Send("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
              "Authorization: Bearer caller-key-small\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
              body);
  bool isHeldBack = false;
  for (int tries = 0; tries < 500 && !isHeldBack; ++tries) {
    site.RunFor(milliseconds(10));
    isHeldBack = !Metric(site, "streams_held_back_total").empty();
  }
  REQUIRE(isHeldBack);
  site.RunFor(milliseconds(300));
  // The data that the host has not read is still buffered at the upstream.
  CHECK(held->BufferedBytes() > kTokens * kTokenBytes / 4);
  site.RunUntil([&] { return !caller.Read(); });
  size_t at = 0;
  int seen = 0;
  for (; seen < kTokens; ++seen) {
    at = caller.Received().find("\"text\":\"" + std::to_string(seen) + ".", at);
    if (at == std::string::npos) {
      break;
    }
  }
  CHECK(seen == kTokens);
  CHECK(caller.Received().find("data: [DONE]") != std::string::npos);
}
