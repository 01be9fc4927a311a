/// Tests of persistent connections, of the server to callers and of the client
/// to upstreams.

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/HttpServer.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

using namespace persimmontally;

namespace {

/// Non-blocking TCP client that sends and receives raw bytes.
class RawCaller
{
public:
  explicit RawCaller(uint16_t aPort)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(aPort);
    ::inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr*>(&to), sizeof to) ==
            0);
    ::fcntl(m_socket, F_SETFL, O_NONBLOCK);
  }
  ~RawCaller() { ::close(m_socket); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& aBytes) const
  {
    CHECK(::send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(aBytes.size()));
  }

  /// Sends as many bytes as the socket takes and returns their number.
  size_t TrySend(const std::string& aBytes) const
  {
    ssize_t sent = ::send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    return sent > 0 ? static_cast<size_t>(sent) : 0;
  }

  /// Reads the available bytes and records whether the server has closed the
  /// connection.
  void Read()
  {
    char buffer[4096];
    ssize_t got = ::recv(m_socket, buffer, sizeof buffer, 0);
    if (got > 0) {
      m_received.append(buffer, static_cast<size_t>(got));
    }
    m_isClosed = m_isClosed || got == 0;
  }

  std::string m_received;
  bool m_isClosed = false;

private:
  int m_socket;
};

void RunUntil(EventLoop& aLoop, const std::function<bool()>& aCondition)
{
  bool timedOut = false;
  Timer limit = aLoop.RunAfter(seconds(10), [&] { timedOut = true; });
  Timer poll = aLoop.RunEvery(milliseconds(1), [&] {
    if (timedOut || aCondition()) {
      aLoop.Stop();
    }
  });
  aLoop.Run();
  REQUIRE_MESSAGE(!timedOut, "the condition did not hold within ten seconds");
}

} // namespace

TEST_CASE("an idle connection closes after the idle timeout, an incomplete "
          "request is refused after the header timeout")
{
  struct Row
  {
    const char* m_name;
    const char* m_requestBytes;
    Duration m_headerTimeout;
    Duration m_idleTimeout;
    const char* m_response;
  };
  for (const Row& row : {
         Row{ "idle", "", milliseconds(20), milliseconds(200), "" },
         Row{ "incomplete request",
              "GET / HT",
              milliseconds(20),
              seconds(60),
              "HTTP/1.1 408" },
       }) {
    CAPTURE(row.m_name);
    EventLoop loop;
    HttpLimits limits;
    limits.m_headerTimeout = row.m_headerTimeout;
    limits.m_idleTimeout = row.m_idleTimeout;
    HttpServer server(loop, limits, [](const auto&, const auto&) {});
    auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.ok());
    RawCaller caller(*port);
    caller.Send(row.m_requestBytes);
    Instant begin = loop.Now();
    RunUntil(loop, [&] {
      caller.Read();
      return caller.m_isClosed;
    });
    CHECK(caller.m_received.starts_with(row.m_response));
    Duration minimum =
      *row.m_requestBytes == '\0' ? row.m_idleTimeout : row.m_headerTimeout;
    CHECK(loop.Now() - begin >= minimum);
  }
}

TEST_CASE("a caller that is still sending its body receives the refusal")
{
  EventLoop loop;
  HttpLimits limits;
  limits.m_maxBodyBytes = 1000;
  HttpServer server(loop, limits, [](const auto&, const auto&) {});
  auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  RawCaller caller(*port);
  caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
  caller.Send(std::string(50000, 'x'));
  RunUntil(loop, [&] {
    caller.Read();
    return caller.m_isClosed;
  });
  CHECK(caller.m_received.starts_with("HTTP/1.1 413"));
}

// Guards against callers that fill the memory with what is no part of a body.
TEST_CASE("a request with chunk sizes or trailers without end is refused early")
{
  const std::string head =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr size_t kMaxBytes = size_t(16) << 20;
  const std::string letters(0x10000, 'x');
  struct Row
  {
    const char* m_name;
    std::string m_prefix;
    std::string m_pattern;
  };
  for (const Row& row : std::vector<Row>{
         { "a chunk size", head, std::string(0x10000, '0') },
         { "a chunk extension", head + "1;", letters },
         { "one trailer", head + "0\r\nX: ", letters },
         { "small trailers", head + "0\r\n", "X: y\r\n" },
         { "a header", "POST / HTTP/1.1\r\nHost: a\r\nX: ", letters } }) {
    CAPTURE(std::string(row.m_name));
    EventLoop loop;
    int handled = 0;
    HttpServer server(
      loop, HttpLimits(), [&](const auto&, const auto&) { ++handled; });
    auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.ok());
    RawCaller caller(*port);
    caller.Send(row.m_prefix);
    std::string pattern = row.m_pattern;
    while (pattern.size() < 0x10000) {
      pattern += row.m_pattern;
    }
    size_t sent = 0;
    Instant end = loop.Now() + seconds(3);
    RunUntil(loop, [&] {
      sent += caller.TrySend(pattern);
      caller.Read();
      return caller.m_isClosed || loop.Now() >= end;
    });
    CHECK(sent < kMaxBytes);
    CHECK(caller.m_received.starts_with("HTTP/1.1 4"));
    CHECK(handled == 0);
  }
}

// Guards against a second head inside the body of a response.
TEST_CASE("a response that is started twice is broken off")
{
  using Writer = std::shared_ptr<ResponseWriter>;
  struct Row
  {
    const char* m_name;
    std::function<void(const Writer&)> m_second;
  };
  for (const Row& row : std::vector<Row>{
         { "a whole response after the start of a stream",
           [](const Writer& aWriter) {
             aWriter->SendResponse({ 500, {}, "failed" });
           } },
         { "a second start of a stream",
           [](const Writer& aWriter) { aWriter->StartStream(200, {}); } },
       }) {
    CAPTURE(std::string(row.m_name));
    EventLoop loop;
    Writer writer;
    HttpServer server(
      loop, HttpLimits(), [&](const auto&, const Writer& aWriter) {
        writer = aWriter;
        writer->StartStream(200, {});
        writer->Write("part");
      });
    auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.ok());
    RawCaller caller(*port);
    caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    RunUntil(loop, [&] {
      caller.Read();
      return caller.m_received.ends_with("part\r\n");
    });
    row.m_second(writer);
    RunUntil(loop, [&] {
      caller.Read();
      return caller.m_isClosed;
    });
    CHECK(caller.m_received.ends_with("part\r\n"));
  }
}

// Guards against bytes that the caller takes for the next response.
TEST_CASE("a streamed response to a HEAD request has no body")
{
  EventLoop loop;
  HttpServer server(loop, HttpLimits(), [](const auto&, const auto& aWriter) {
    aWriter->StartStream(200, {});
    aWriter->Write("part");
    aWriter->Finish();
  });
  auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  RawCaller caller(*port);
  caller.Send("HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  RunUntil(loop, [&] {
    caller.Read();
    return caller.m_isClosed;
  });
  CHECK(caller.m_received.starts_with("HTTP/1.1 200"));
  CHECK(caller.m_received.ends_with("\r\n\r\n"));
  CHECK(caller.m_received.find("part") == std::string::npos);
  CHECK(caller.m_received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE(
  "a connection closes after its next response once keep-alive is disabled")
{
  EventLoop loop;
  HttpServer server(loop, HttpLimits(), [](const auto&, const auto& aWriter) {
    aWriter->SendResponse({ 200, {}, "x" });
  });
  auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  RawCaller caller(*port);
  auto countResponses = [&] {
    size_t count = 0;
    size_t position = 0;
    while ((position = caller.m_received.find("HTTP/1.1 200", position)) !=
           std::string::npos) {
      ++count;
      ++position;
    }
    return count;
  };
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(loop, [&] {
    caller.Read();
    return countResponses() == 1;
  });
  CHECK(caller.m_received.find("Connection: close") == std::string::npos);
  server.DisableKeepAlive();
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(loop, [&] {
    caller.Read();
    return caller.m_isClosed;
  });
  CHECK(countResponses() == 2);
  CHECK(caller.m_received.find("Connection: close") != std::string::npos);
}

TEST_CASE("the pool reuses a connection only if no bytes follow its response")
{
  struct Row
  {
    const char* m_name;
    const char* m_extraBytes;
    uint64_t m_reused;
  };
  for (const Row& row : { Row{ "no extra bytes", "", 1 },
                          Row{ "second response",
                               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                               0 } }) {
    CAPTURE(row.m_name);
    EventLoop loop;
    // A raw socket, because `HttpServer` sends no bytes after a response.
    int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(::bind(listener,
                   reinterpret_cast<sockaddr*>(&address),
                   sizeof address) == 0);
    REQUIRE(::listen(listener, 4) == 0);
    socklen_t size = sizeof address;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    ::fcntl(listener, F_SETFL, O_NONBLOCK);
    std::vector<int> connections;
    Timer serve = loop.RunEvery(milliseconds(1), [&] {
      int accepted = ::accept(listener, nullptr, nullptr);
      if (accepted >= 0) {
        ::fcntl(accepted, F_SETFL, O_NONBLOCK);
        connections.push_back(accepted);
      }
      for (int connection : connections) {
        char buffer[4096];
        if (::recv(connection, buffer, sizeof buffer, 0) > 0) {
          std::string response =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
          response += row.m_extraBytes;
          ::send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        }
      }
    });
    HttpConnectionPool pool(loop);
    for (int i = 0; i < 2; ++i) {
      bool isDone = false;
      HttpCallEvents events;
      events.m_onEnd = [&](const absl::Status& aStatus) {
        CHECK(aStatus.ok());
        isDone = true;
      };
      pool.Start({ "127.0.0.1", ntohs(address.sin_port) },
                 { "GET", "/", {}, "" },
                 HttpCallTimeouts(),
                 std::move(events));
      RunUntil(loop, [&] { return isDone; });
    }
    CHECK(pool.ReusedCount() == row.m_reused);
    CHECK(pool.OpenedCount() == 2 - row.m_reused);
    for (int connection : connections) {
      ::close(connection);
    }
    ::close(listener);
  }
}
