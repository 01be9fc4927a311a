#ifndef PERSIMMONTALLY_UNITTESTS_FORWARDING_RAWUPSTREAM_H
#define PERSIMMONTALLY_UNITTESTS_FORWARDING_RAWUPSTREAM_H

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Settings.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace persimmontally {

/// What a `RawUpstream` does after its first bytes.
enum class RawEnd
{
  /// Repeats a pattern until the connection is closed.
  Repeat,
  Close,
  Reset,
  /// Keeps the connection open until `CloseHeld` is called.
  Hold,
  /// Keeps the connection open for further requests.
  KeepAlive,
};

/// Whether a request is a call for a copy of a generation's KV memory.
inline bool IsCopyCall(std::string_view aRequest)
{
  return aRequest.starts_with("POST /persimmontally/kv-move");
}

/// Returns a response with a body of JSON.
inline std::string JsonResponse(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " x\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/// Answers calls for a copy as an engine that does not run the generation.
inline std::optional<std::string> AnswerNoRun(std::string_view aRequest)
{
  return IsCopyCall(aRequest) ? std::optional(JsonResponse(404, "{}"))
                              : std::nullopt;
}

/// Upstream that answers each request with a prefix, in which `ID` stands for
/// the request's id, and then repeats a pattern or ends the connection.
class RawUpstream
{
public:
  RawUpstream(EventLoop& aLoop,
              std::string aPrefix,
              std::string aPattern,
              RawEnd aEnd = RawEnd::Repeat)
    : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    , m_prefix(std::move(aPrefix))
    , m_pattern(std::move(aPattern))
    , m_end(aEnd)
  {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) ==
            0);
    REQUIRE(::listen(m_listener, kBacklog) == 0);
    socklen_t size = sizeof m_address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&m_address), &size);
    m_timer = aLoop.RunEvery(milliseconds(1), [this] { Serve(); });
  }
  ~RawUpstream()
  {
    if (m_listener >= 0) {
      StopListening();
    }
    for (Connection& connection : m_connections) {
      if (!connection.m_isEnded) {
        ::close(connection.m_socket);
      }
    }
    for (int filler : m_fillers) {
      ::close(filler);
    }
  }
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;

  Endpoint Address() const
  {
    return { "127.0.0.1", ntohs(m_address.sin_port) };
  }
  /// Ends the connections that are held open.
  void CloseHeld()
  {
    for (Connection& connection : m_connections) {
      if (!connection.m_isEnded && connection.m_isAnswering) {
        End(connection);
      }
    }
  }
  /// Resets the connections that are held open.
  void ResetHeld()
  {
    RawEnd end = std::exchange(m_end, RawEnd::Reset);
    CloseHeld();
    m_end = end;
  }
  /// Sends further bytes on the connections that are held open.
  void SendHeld(const std::string& aBytes)
  {
    for (Connection& connection : m_connections) {
      if (!connection.m_isClosed && connection.m_isAnswering) {
        connection.m_unsent += aBytes;
      }
    }
  }
  /// Ends all connections on which everything has been sent.
  void CloseAll()
  {
    for (Connection& connection : m_connections) {
      if (!connection.m_isEnded && connection.m_unsent.empty()) {
        End(connection);
      }
    }
  }
  /// Whether the bytes of all responses so far have been sent.
  bool HasSentAll() const
  {
    return std::all_of(
      m_connections.begin(), m_connections.end(), [](const auto& aItem) {
        return aItem.m_unsent.empty();
      });
  }
  /// Refuses new connections from now on; those that are open stay.
  void StopListening() { ::close(std::exchange(m_listener, -1)); }
  /// Leaves opening packets of new connections unanswered from now on, by a
  /// full queue; those that are open stay.
  void StopAnswering()
  {
    m_isAccepting = false;
    REQUIRE(::listen(m_listener, 0) == 0);
    constexpr int kFillers = 3;
    for (int i = 0; i < kFillers; ++i) {
      m_fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      // The queue takes some of them, and the others stay unanswered.
      (void)::connect(m_fillers.back(),
                      reinterpret_cast<sockaddr*>(&m_address),
                      sizeof m_address);
    }
  }
  void AnswerAgain()
  {
    REQUIRE(::listen(m_listener, kBacklog) == 0);
    m_isAccepting = true;
  }
  size_t Requests() const { return m_requests; }
  /// Called for each request; returns other bytes than the prefix to answer
  /// with, or nothing.
  std::function<std::optional<std::string>(std::string_view)> m_onRequest;
  size_t SentBytes() const { return m_sentBytes; }
  /// Whether the peer has closed every connection.
  bool IsClosed() const
  {
    return std::all_of(m_connections.begin(),
                       m_connections.end(),
                       [](const auto& aItem) { return aItem.m_isClosed; });
  }

private:
  static constexpr int kBacklog = 8;

  struct Connection
  {
    int m_socket;
    std::string m_unsent;
    bool m_isAnswering = false;
    bool m_isClosed = false;
    /// Whether this side has closed the socket.
    bool m_isEnded = false;
  };

  void Serve()
  {
    int accepted = m_isAccepting
                     ? ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)
                     : -1;
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
      std::string_view request(buffer, static_cast<size_t>(got));
      auto answer = m_onRequest ? m_onRequest(request) : std::nullopt;
      aConnection.m_unsent = answer ? *answer : Prefix(request);
      aConnection.m_isAnswering = true;
    }
    aConnection.m_isClosed = got == 0 || (got < 0 && errno != EAGAIN);
    constexpr int kWritesPerTick = 16;
    for (int i = 0; i < kWritesPerTick && aConnection.m_isAnswering; ++i) {
      if (aConnection.m_unsent.empty() && m_end == RawEnd::Hold) {
        return;
      }
      if (aConnection.m_unsent.empty() && m_end == RawEnd::KeepAlive) {
        aConnection.m_isAnswering = false;
        return;
      }
      if (aConnection.m_unsent.empty() && m_end != RawEnd::Repeat) {
        End(aConnection);
        return;
      }
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

  void End(Connection& aConnection)
  {
    linger resets{ 1, 0 };
    if (m_end == RawEnd::Reset) {
      ::setsockopt(
        aConnection.m_socket, SOL_SOCKET, SO_LINGER, &resets, sizeof resets);
    }
    ::close(aConnection.m_socket);
    aConnection.m_isClosed = true;
    aConnection.m_isEnded = true;
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
  bool m_isAccepting = true;
  std::vector<int> m_fillers;
  sockaddr_in m_address{};
  std::string m_prefix;
  std::string m_pattern;
  RawEnd m_end;
  std::vector<Connection> m_connections;
  size_t m_requests = 0;
  size_t m_sentBytes = 0;
  Timer m_timer;
};

} // namespace persimmontally

#endif
