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

namespace {

/// Time in which a request that was read is answered if it is not passed on.
constexpr Duration kLostTime = milliseconds(200);
/// A request sent later than this after SIGTERM must be answered even if its
/// upstream is still at work at the end of the grace.
constexpr Duration kExcusedTime = seconds(3);

struct StopCounts
{
  int m_answered = 0;
  int m_refused = 0;
  int m_excused = 0;
  int m_lost = 0;
};

/// Stops an entry host as the platform does, and counts the requests that were
/// sent to it from `contact-ms` before.
StopCounts StopEntry(ProcessSite& aSite, int aEntry, Duration aGrace)
{
  DaemonProcess& entry = aSite.Entry(aEntry);
  Instant termAt = aSite.Loop().Now();
  ProcessSite::Signal(entry, SIGTERM);
  aSite.RunUntil(
    [&] { return entry.m_hasEnded || aSite.Loop().Now() >= termAt + aGrace; });
  ProcessSite::Signal(entry, SIGKILL);
  Instant killAt = aSite.Loop().Now();
  aSite.RunUntil([&] { return entry.m_hasEnded; });
  aSite.StopCallers();
  aSite.RunFor(milliseconds(300));
  StopCounts counts;
  for (const auto& request : aSite.Requests()) {
    if (request->m_endedAt < termAt && request->m_isDone) {
      continue;
    }
    if (request->m_isComplete) {
      (request->m_status == 200 ? counts.m_answered : counts.m_refused) += 1;
      continue;
    }
    bool isCounted = request->m_isPassedOn ||
                     request->m_endedAt > request->m_sentAt + kLostTime;
    bool isAtWork = request->m_isPassedOn &&
                    (!request->m_ranUntil ||
                     *request->m_ranUntil >= termAt + aGrace - aGrace / 6);
    bool isExcused = isAtWork && request->m_sentAt <= termAt + kExcusedTime;
    if (!isCounted || isExcused) {
      counts.m_excused += 1;
      continue;
    }
    counts.m_lost += 1;
    MESSAGE(request->m_id,
            ": sent ",
            ToMilliseconds(request->m_sentAt - termAt),
            " ms after SIGTERM, ended after ",
            ToMilliseconds(request->m_endedAt - termAt),
            " ms, passed on: ",
            request->m_isPassedOn);
  }
  MESSAGE("ended ",
          ToMilliseconds(killAt - termAt),
          " ms after SIGTERM: answered ",
          counts.m_answered,
          ", refused ",
          counts.m_refused,
          ", excused ",
          counts.m_excused,
          ", lost ",
          counts.m_lost);
  return counts;
}

} // namespace

// Guards against requests that a stopping host has read and never answers.
TEST_CASE("a stop of an entry host loses no request")
{
  struct Row
  {
    const char* m_name;
    const char* m_path;
    int m_callers;
    Duration m_longestAnswer;
  };
  for (const Row& row : {
         Row{ "generations that wait for a place",
              "/stream/x",
              72,
              milliseconds(12000) },
         Row{ "slow calls that run at most once",
              "/unsafe/x",
              48,
              milliseconds(8000) },
       }) {
    CAPTURE(std::string(row.m_name));
    ProcessSiteOptions options;
    options.m_longestAnswer = row.m_longestAnswer;
    ProcessSite site(options);
    site.Start();
    site.StartCallers(row.m_callers, row.m_path, 0);
    site.RunFor(seconds(4));
    StopCounts counts = StopEntry(site, 0, seconds(options.m_graceSeconds));
    CHECK(counts.m_lost == 0);
    CHECK(counts.m_answered > 0);
    // The host ends by itself, before the platform kills it.
    CHECK(WIFEXITED(site.Entry(0).m_status));
    CHECK(WEXITSTATUS(site.Entry(0).m_status) == 0);
  }
}

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
