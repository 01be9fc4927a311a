/// Tests of stops of real processes.

#include "Process/ProcessSite.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace persimmontally;

// Guards against responses that are written but not sent when a host ends.
TEST_CASE("a stopping host sends a caller that reads slowly its whole response")
{
  ProcessSiteOptions options;
  // More than the buffers of the sockets hold.
  options.m_plainBytes = size_t(14) << 20;
  ProcessSite site(options);
  site.Start();
  Endpoint to = site.CallersOf(site.Entry(0));
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  int bufferBytes = 4096;
  ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.m_port);
  ::inet_pton(AF_INET, to.m_address.c_str(), &address.sin_addr);
  REQUIRE(::connect(socket,
                    reinterpret_cast<sockaddr*>(&address),
                    sizeof address) == 0);
  ::fcntl(socket, F_SETFL, O_NONBLOCK);
  std::string request = site.RequestText("/unsafe/x");
  REQUIRE(::send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()));
  site.RunFor(seconds(1));
  ProcessSite::Signal(site.Entry(0), SIGTERM);
  site.RunFor(seconds(4));
  size_t received = 0;
  bool isClosed = false;
  site.RunUntil([&] {
    static char buffer[1 << 16];
    ssize_t got = 0;
    while ((got = ::recv(socket, buffer, sizeof buffer, 0)) > 0) {
      received += static_cast<size_t>(got);
    }
    isClosed = got == 0 || errno != EAGAIN;
    return isClosed || received > options.m_plainBytes;
  });
  ::close(socket);
  CHECK(received > options.m_plainBytes);
  site.RunUntil([&] { return site.Entry(0).m_hasEnded; });
  CHECK(WIFEXITED(site.Entry(0).m_status));
}

// Guards against an order that a stopping control host has read and not
// answered.
TEST_CASE("a stopping control host answers the orders that it has read")
{
  ProcessSite site(ProcessSiteOptions{});
  site.Start();
  for (int stopped = 0; stopped < 3; ++stopped) {
    // Without the others, the order has to wait for a majority.
    for (int i = 0; i < 3; ++i) {
      if (i != stopped) {
        ProcessSite::Signal(site.Control(i), SIGSTOP);
      }
    }
    auto order = site.SendOrder("PUT",
                                "/persimmontally/config",
                                ProcessSite::Catalog(2 + stopped),
                                stopped);
    site.RunFor(milliseconds(200));
    CHECK(!order->m_isDone);
    ProcessSite::Signal(site.Control(stopped), SIGTERM);
    site.RunFor(milliseconds(300));
    for (int i = 0; i < 3; ++i) {
      ProcessSite::Signal(site.Control(i), SIGCONT);
    }
    site.RunUntil([&] { return order->m_isDone; });
    CAPTURE(stopped);
    CHECK(order->m_isComplete);
    site.RunUntil([&] { return site.Control(stopped).m_hasEnded; });
    CHECK(WIFEXITED(site.Control(stopped).m_status));
    site.StartProcess(site.Control(stopped));
    site.RunFor(seconds(3));
  }
}
