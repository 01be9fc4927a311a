/// Connections that callers keep, and that are kept to upstreams.

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

/// A caller that sends and reads bytes as a test says.
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

  /// Reads what is there; notes the end of the connection.
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
  bool isLate = false;
  Timer limit = aLoop.RunAfter(seconds(10), [&] { isLate = true; });
  Timer poll = aLoop.RunEvery(milliseconds(1), [&] {
    if (isLate || aCondition()) {
      aLoop.Stop();
    }
  });
  aLoop.Run();
  REQUIRE_MESSAGE(!isLate, "the condition did not hold within ten seconds");
}

} // namespace

TEST_CASE("an idle connection is kept for its own time, a slow request less")
{
  struct Row
  {
    const char* m_name;
    const char* m_sent;
    Duration m_headerTimeout;
    Duration m_idleTimeout;
    const char* m_answer;
  };
  for (const Row& row : {
         Row{ "idle", "", milliseconds(20), milliseconds(200), "" },
         Row{ "half a request",
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
    caller.Send(row.m_sent);
    Instant begin = loop.Now();
    RunUntil(loop, [&] {
      caller.Read();
      return caller.m_isClosed;
    });
    CHECK(caller.m_received.starts_with(row.m_answer));
    Duration least =
      *row.m_sent == '\0' ? row.m_idleTimeout : row.m_headerTimeout;
    CHECK(loop.Now() - begin >= least);
  }
}

TEST_CASE("a refusal reaches a caller that is still sending")
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

TEST_CASE("connections end after their answer once a host shuts down")
{
  EventLoop loop;
  HttpServer server(loop, HttpLimits(), [](const auto&, const auto& aWriter) {
    aWriter->SendWhole({ 200, {}, "x" });
  });
  auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  RawCaller caller(*port);
  auto answers = [&] {
    size_t count = 0;
    size_t at = 0;
    while ((at = caller.m_received.find("HTTP/1.1 200", at)) !=
           std::string::npos) {
      ++count;
      ++at;
    }
    return count;
  };
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(loop, [&] {
    caller.Read();
    return answers() == 1;
  });
  CHECK(caller.m_received.find("Connection: close") == std::string::npos);
  server.StopKeepingConnections();
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil(loop, [&] {
    caller.Read();
    return caller.m_isClosed;
  });
  CHECK(answers() == 2);
  CHECK(caller.m_received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a connection is used again only if nothing came after its answer")
{
  struct Row
  {
    const char* m_name;
    const char* m_after;
    uint64_t m_reused;
  };
  for (const Row& row : { Row{ "clean", "", 1 },
                          Row{ "a second answer",
                               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                               0 } }) {
    CAPTURE(row.m_name);
    EventLoop loop;
    // A server by hand, since ours sends nothing after an answer.
    int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::listen(listener, 4) == 0);
    socklen_t size = sizeof at;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
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
          std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
          answer += row.m_after;
          ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
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
      pool.Start({ "127.0.0.1", ntohs(at.sin_port) },
                 { "GET", "/", {}, "" },
                 HttpCallTimeouts(),
                 std::move(events));
      RunUntil(loop, [&] { return isDone; });
    }
    CHECK(pool.Reused() == row.m_reused);
    CHECK(pool.Opened() == 2 - row.m_reused);
    for (int connection : connections) {
      ::close(connection);
    }
    ::close(listener);
  }
}
