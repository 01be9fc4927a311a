/// Tests of the connections that carry messages between hosts.

#include "persimmontally/Net/FrameLink.h"
#include "persimmontally/Net/EventLoop.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

using namespace persimmontally;

namespace {

/// Listener whose queue of new connections is full, so that the kernel drops
/// opening packets as an unreachable host would.
class SilentListener
{
public:
  SilentListener()
    : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) ==
            0);
    REQUIRE(::listen(m_listener, 0) == 0);
    socklen_t size = sizeof m_address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&m_address), &size);
    constexpr int kFillers = 3;
    for (int i = 0; i < kFillers; ++i) {
      int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Not waited for: the result does not matter.
      static_cast<void>(::connect(
        filler, reinterpret_cast<sockaddr*>(&m_address), sizeof m_address));
      m_sockets.push_back(filler);
    }
  }
  ~SilentListener()
  {
    ::close(m_listener);
    for (int socket : m_sockets) {
      ::close(socket);
    }
  }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  Endpoint Address() const
  {
    return { "127.0.0.1", ntohs(m_address.sin_port) };
  }

  /// Accepts the pending connections and returns how many of them have received
  /// bytes so far.
  size_t AcceptAll()
  {
    for (int got = 0; got >= 0;) {
      got = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
      if (got >= 0) {
        m_accepted.push_back(got);
        m_sockets.push_back(got);
      }
    }
    size_t received = 0;
    for (int socket : m_accepted) {
      char byte = 0;
      received += ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0 ? 1 : 0;
    }
    return received;
  }

private:
  int m_listener;
  sockaddr_in m_address{};
  std::vector<int> m_sockets;
  std::vector<int> m_accepted;
};

} // namespace

TEST_CASE("a frame for a host that was unreachable arrives soon after the host "
          "is reachable")
{
  EventLoop loop;
  SilentListener peer;
  FrameLink link(loop);
  Instant startedAt = loop.Now();
  link.Send(peer.Address(), "first contact");

  // The kernel sends a dropped opening packet again after 1 s.
  constexpr Duration kUnreachable = milliseconds(300);
  constexpr Duration kLimit = milliseconds(900);
  Instant arrivedAt;
  Timer poll = loop.RunEvery(milliseconds(5), [&] {
    bool isReachable = loop.Now() >= startedAt + kUnreachable;
    if (isReachable && peer.AcceptAll() > 0 && arrivedAt == Instant()) {
      arrivedAt = loop.Now();
    }
    if (arrivedAt != Instant() || loop.Now() > startedAt + seconds(3)) {
      loop.Stop();
    }
  });
  loop.Run();
  REQUIRE(arrivedAt != Instant());
  CHECK(arrivedAt - startedAt < kLimit);
}
