/// Tests of upstreams that send bytes without end, which are no response: the
/// request ends, the connection is closed, and memory stays bounded.

#include "Forwarding/ForwardSite.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

using namespace persimmontally;

namespace {

/// Upstream that answers each request with a prefix and then repeats a pattern
/// until the connection is closed.
class EndlessUpstream
{
public:
  EndlessUpstream(EventLoop& aLoop, std::string aPrefix, std::string aPattern)
    : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    , m_prefix(std::move(aPrefix))
    , m_pattern(std::move(aPattern))
  {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) ==
            0);
    REQUIRE(::listen(m_listener, 8) == 0);
    socklen_t size = sizeof m_address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&m_address), &size);
    m_timer = aLoop.RunEvery(milliseconds(1), [this] { Serve(); });
  }
  ~EndlessUpstream()
  {
    ::close(m_listener);
    for (Connection& connection : m_connections) {
      ::close(connection.m_socket);
    }
  }
  EndlessUpstream(const EndlessUpstream&) = delete;
  EndlessUpstream& operator=(const EndlessUpstream&) = delete;

  Endpoint Address() const
  {
    return { "127.0.0.1", ntohs(m_address.sin_port) };
  }
  size_t Requests() const { return m_requests; }
  size_t SentBytes() const { return m_sentBytes; }
  /// Whether the peer has closed every connection.
  bool IsClosed() const
  {
    return std::all_of(m_connections.begin(),
                       m_connections.end(),
                       [](const auto& aItem) { return aItem.m_isClosed; });
  }

private:
  struct Connection
  {
    int m_socket;
    std::string m_unsent;
    bool m_isAnswering = false;
    bool m_isClosed = false;
  };

  void Serve()
  {
    int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (accepted >= 0) {
      m_connections.push_back({ accepted, {} });
    }
    for (Connection& connection : m_connections) {
      if (!connection.m_isClosed) {
        Serve(connection);
      }
    }
  }

  void Serve(Connection& aConnection)
  {
    char buffer[4096];
    ssize_t got = ::recv(aConnection.m_socket, buffer, sizeof buffer, 0);
    if (got > 0 && !aConnection.m_isAnswering) {
      ++m_requests;
      aConnection.m_isAnswering = true;
      aConnection.m_unsent = Prefix({ buffer, static_cast<size_t>(got) });
    }
    aConnection.m_isClosed = got == 0 || (got < 0 && errno != EAGAIN);
    constexpr int kWritesPerTick = 16;
    for (int i = 0; i < kWritesPerTick && aConnection.m_isAnswering; ++i) {
      if (aConnection.m_unsent.empty()) {
        aConnection.m_unsent = m_pattern;
      }
      ssize_t sent = ::send(aConnection.m_socket,
                            aConnection.m_unsent.data(),
                            aConnection.m_unsent.size(),
                            MSG_NOSIGNAL);
      if (sent < 0) {
        aConnection.m_isClosed = errno != EAGAIN;
        return;
      }
      m_sentBytes += static_cast<size_t>(sent);
      aConnection.m_unsent.erase(0, static_cast<size_t>(sent));
    }
  }

  /// Replaces `ID` in the prefix by the request's id.
  std::string Prefix(std::string_view aRequest) const
  {
    constexpr std::string_view kName = "Request-Id: ";
    size_t start = aRequest.find(kName) + kName.size();
    std::string_view id =
      aRequest.substr(start, aRequest.find('\r', start) - start);
    std::string prefix = m_prefix;
    size_t at = prefix.find("ID");
    return at == std::string::npos ? prefix : prefix.replace(at, 2, id);
  }

  int m_listener;
  sockaddr_in m_address{};
  std::string m_prefix;
  std::string m_pattern;
  std::vector<Connection> m_connections;
  size_t m_requests = 0;
  size_t m_sentBytes = 0;
  Timer m_timer;
};

} // namespace

TEST_CASE("bytes without end from an upstream end the request and the "
          "connection within bounds")
{
  // Bytes that can wait in the sockets of the loopback interface.
  constexpr size_t kSocketBytes = size_t(8) << 20;
  constexpr size_t kMaxHeadBytes = size_t(64) << 10;
  const size_t maxBodyBytes = ForwardOptions().m_maxResponseBytes;
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n";
  const std::string stamp = "Server-Stamp: s\r\n";
  const std::string letters(1000, 'x');
  // Reaches the limit on bodies long before the timeout of the route.
  const std::string manyLetters(0x10000, 'x');
  struct Row
  {
    std::string m_name;
    std::string m_prefix;
    std::string m_pattern;
    size_t m_maxBytes;
    /// Status of the plain response; 0 for any.
    int m_plainStatus;
  };
  for (const Row& row : std::vector<Row>{
         { "no HTTP", "", letters, kMaxHeadBytes, 502 },
         { "only line ends", "", "\r\n\r\n\r\n\r\n", kMaxHeadBytes, 502 },
         { "a status line", "HTTP/1.1 200 ", letters, kMaxHeadBytes, 502 },
         { "one header", head + "X: ", letters, kMaxHeadBytes, 502 },
         { "headers", head, "X: " + letters + "\r\n", kMaxHeadBytes, 502 },
         { "a body until close",
           head + stamp + "\r\n",
           manyLetters,
           maxBodyBytes,
           502 },
         { "chunks",
           head + stamp + "Transfer-Encoding: chunked\r\n\r\n",
           "10000\r\n" + manyLetters + "\r\n",
           maxBodyBytes,
           502 },
         { "a chunk size",
           head + stamp + "Transfer-Encoding: chunked\r\n\r\n",
           std::string(1000, '0'),
           maxBodyBytes,
           0 },
         { "a chunk extension",
           head + stamp + "Transfer-Encoding: chunked\r\n\r\n1;",
           letters,
           maxBodyBytes,
           0 },
         { "trailers",
           head + stamp + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
           "X: " + letters + "\r\n",
           maxBodyBytes,
           0 },
         { "a second response",
           head + stamp + "Content-Length: 2\r\n\r\nok",
           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
           maxBodyBytes,
           200 },
       }) {
    for (const char* path : { "/unsafe/", "/stream/" }) {
      CAPTURE(row.m_name);
      CAPTURE(std::string(path));
      bool isStream = std::string(path) == "/stream/";
      ForwardSite site;
      EndlessUpstream upstream(site.Loop(), row.m_prefix, row.m_pattern);
      site.AddUpstreamAt(
        "u", isStream ? "engines" : "plain", upstream.Address());
      Instant startedAt = site.Loop().Now();
      auto call = site.Start(path, { { "X-Api-Key", "key" } });
      site.RunUntil([&] { return call->m_isDone; });
      // The timeout of the route, and time for the caller's answer.
      CHECK(site.Loop().Now() - startedAt < milliseconds(1500 + 500));
      site.RunUntil([&] { return upstream.IsClosed(); });
      CHECK(upstream.Requests() == 1);
      CHECK(upstream.SentBytes() < row.m_maxBytes + kSocketBytes);
      CHECK(call->m_response.m_body.size() <= maxBodyBytes);
      bool isComplete = call->m_status.ok() && call->m_response.m_status == 200;
      if (isStream) {
        CHECK((!isComplete || row.m_plainStatus == 200));
      } else if (row.m_plainStatus != 0) {
        CHECK(call->m_response.m_status == row.m_plainStatus);
      } else {
        CHECK(call->m_response.m_status >= 500);
      }
    }
  }
}
