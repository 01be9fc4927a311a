/// Tests of the bounds on what callers make a server hold and read.

#include "../../lib/Net/RequestReader.h"

#include "persimmontally/Net/CallerGuard.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/FrameLink.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Support/Metrics.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace persimmontally;

namespace {

/// Feeds a reader with a head and then a piece again and again, at most
/// `aMaxBytes` in all, and returns the number of bytes it took.
size_t FeedWithoutEnd(RequestReader& aReader,
                      const std::string& aHead,
                      const std::string& aPiece,
                      size_t aMaxBytes,
                      RequestReader::Progress& aProgress)
{
  std::string bytes = aHead;
  while (bytes.size() < aMaxBytes) {
    bytes += aPiece;
  }
  size_t fed = 0;
  aProgress = RequestReader::Progress::NeedsMore;
  while (aProgress == RequestReader::Progress::NeedsMore &&
         fed < bytes.size()) {
    auto buffer = aReader.Prepare();
    size_t count = std::min(buffer.size(), bytes.size() - fed);
    std::memcpy(buffer.data(), bytes.data() + fed, count);
    fed += count;
    aProgress = aReader.Feed(count);
  }
  return fed;
}

int Connect(uint16_t aPort)
{
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aPort);
  ::inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
  REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  return socket;
}

} // namespace

TEST_CASE("a request reader stops early at what has no end")
{
  constexpr size_t kMaxBytes = size_t(4) << 20;
  constexpr size_t kMaxTaken = size_t(200) << 10;
  const std::string head =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct Row
  {
    const char* m_name;
    std::string m_head;
    std::string m_piece;
    bool m_isHeaderLimit;
  };
  for (const Row& row : std::vector<Row>{
         { "header", "GET / HTTP/1.1\r\nX: ", "aaaa", true },
         { "many headers", "GET / HTTP/1.1\r\n", "X: a\r\n", true },
         { "target", "GET /", "aaaa", true },
         { "empty lines", "", "\r\n", false },
         { "chunk size", head, "0", false },
         { "chunk extension", head + "1;", "a", false },
         { "trailers", head + "0\r\n", "X: a\r\n", false },
         { "one trailer", head + "0\r\nX: ", "aaaa", false },
         { "chunk extensions",
           head,
           "1;" + std::string(1000, 'x') + "\r\na\r\n",
           false },
       }) {
    CAPTURE(std::string(row.m_name));
    RequestReader reader;
    reader.Begin(HttpLimits());
    auto progress = RequestReader::Progress::NeedsMore;
    size_t taken =
      FeedWithoutEnd(reader, row.m_head, row.m_piece, kMaxBytes, progress);
    CHECK(progress == RequestReader::Progress::Failed);
    CHECK(taken < kMaxTaken);
    CHECK(reader.HeldBytes() < kMaxTaken);
    bool isHeaderLimit =
      reader.Error() == boost::beast::http::error::header_limit;
    CHECK(isHeaderLimit == row.m_isHeaderLimit);
  }
}

TEST_CASE("a request reader takes requests at the limits")
{
  HttpLimits limits;
  constexpr size_t kBody = 100000;
  limits.m_maxBodyBytes = kBody;
  std::string oneByteChunks =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (size_t i = 0; i < kBody; ++i) {
    oneByteChunks += "1\r\nx\r\n";
  }
  std::string longHead =
    "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBody) + "\r\nX: ";
  longHead.append(limits.m_maxHeaderBytes - longHead.size() - 4, 'a');
  struct Row
  {
    const char* m_name;
    std::string m_bytes;
  };
  for (const Row& row : std::vector<Row>{
         { "chunks of one byte", oneByteChunks + "0\r\n\r\n" },
         { "the longest head and body",
           longHead + "\r\n\r\n" + std::string(kBody, 'x') },
       }) {
    CAPTURE(std::string(row.m_name));
    RequestReader reader;
    reader.Begin(limits);
    auto progress = RequestReader::Progress::NeedsMore;
    FeedWithoutEnd(reader, row.m_bytes, "", row.m_bytes.size(), progress);
    CHECK(progress == RequestReader::Progress::Complete);
    CHECK(reader.Release().body() == std::string(kBody, 'x'));
  }
}

// Guards against a budget that a single request of legal size does not fit in.
TEST_CASE("a server with a small budget serves a body larger than it")
{
  EventLoop loop;
  Metrics metrics;
  auto guard = std::make_shared<CallerGuard>(
    loop, CallerBudgetOptions{ size_t(100) << 10, 4 }, &metrics);
  HttpLimits limits;
  HttpServer server(
    loop, limits, [](const HttpRequest& aRequest, const auto& aWriter) {
      aWriter->SendResponse(
        { 200, {}, std::to_string(aRequest.m_body.size()) });
    });
  server.SetGuard(guard);
  auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  HttpResponse response;
  StartBufferedHttpCall(
    loop,
    { "127.0.0.1", *port },
    { "POST", "/", {}, std::string(limits.m_maxBodyBytes, 'x') },
    HttpCallTimeouts(),
    [&](const absl::Status&, const HttpResponse& aResponse) {
      response = aResponse;
      loop.Stop();
    });
  loop.Run();
  CHECK(response.m_status == 200);
  CHECK(response.m_body == std::to_string(limits.m_maxBodyBytes));
  guard->Report();
  CHECK(metrics.PrometheusText().find("callers_ended") == std::string::npos);
}

// Guards against responses that wait for callers that do not read.
TEST_CASE("a server ends callers that do not read when its budget is used up")
{
  constexpr size_t kResponseBytes = size_t(16) << 20;
  constexpr size_t kBudgetBytes = size_t(40) << 20;
  constexpr int kCallers = 8;
  EventLoop loop;
  Metrics metrics;
  auto guard = std::make_shared<CallerGuard>(
    loop, CallerBudgetOptions{ kBudgetBytes, 100 }, &metrics);
  int handled = 0;
  HttpServer server(loop, HttpLimits(), [&](const auto&, const auto& aWriter) {
    ++handled;
    aWriter->SendResponse({ 200, {}, std::string(kResponseBytes, 'x') });
  });
  server.SetGuard(guard);
  auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  std::vector<int> sockets;
  for (int i = 0; i < kCallers; ++i) {
    int socket = Connect(*port);
    constexpr std::string_view kRequest = "GET / HTTP/1.1\r\n\r\n";
    CHECK(::send(socket, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) > 0);
    sockets.push_back(socket);
  }
  Timer limit = loop.RunAfter(seconds(30), [&] { loop.Stop(); });
  Timer poll = loop.RunEvery(milliseconds(5), [&] {
    if (handled == kCallers) {
      loop.Stop();
    }
  });
  loop.Run();
  loop.Post([&] { loop.Stop(); });
  loop.Run();
  CHECK(handled == kCallers);
  CHECK(metrics.Counter("callers_ended_total{reason=\"slow_reader\"}") >=
        kCallers - kBudgetBytes / kResponseBytes - 1);
  CHECK(server.OpenConnections() <= kBudgetBytes / kResponseBytes + 1);
  for (int socket : sockets) {
    ::close(socket);
  }
}

// Guards against frames of legal size that are never completed.
TEST_CASE("a frame link ends connections when its budget is used up")
{
  constexpr size_t kBudgetBytes = size_t(4) << 20;
  constexpr size_t kSentBytes = size_t(1) << 20;
  constexpr int kCallers = 16;
  EventLoop loop;
  Metrics metrics;
  auto guard = std::make_shared<CallerGuard>(
    loop, CallerBudgetOptions{ kBudgetBytes, 100 }, &metrics, "peer");
  Endpoint at;
  std::string received;
  FrameLink link(loop);
  link.SetGuard(guard);
  // Finds a free port.
  for (uint16_t port = 20000; at.m_port == 0 && port < 21000; ++port) {
    if (link
          .Open({ "127.0.0.1", port },
                [&](std::string_view aFrame) { received = aFrame; })
          .ok()) {
      at = { "127.0.0.1", port };
    }
  }
  REQUIRE(at.m_port != 0);
  std::vector<int> sockets;
  std::string bytes(4 + kSentBytes, 'x');
  constexpr uint32_t kStatedBytes = FrameLink::kMaxFrameBytes;
  std::memcpy(bytes.data(), &kStatedBytes, sizeof kStatedBytes);
  std::vector<size_t> sent(kCallers, 0);
  for (int i = 0; i < kCallers; ++i) {
    sockets.push_back(Connect(at.m_port));
  }
  FrameLink sender(loop);
  constexpr size_t kEnded = kCallers - kBudgetBytes / kSentBytes;
  auto endedCount = [&] {
    return metrics.Counter("peers_ended_total{reason=\"stalled\"}") +
           metrics.Counter("peers_ended_total{reason=\"largest_request\"}");
  };
  Timer limit = loop.RunAfter(seconds(30), [&] { loop.Stop(); });
  Timer poll = loop.RunEvery(milliseconds(1), [&] {
    bool isDone = true;
    for (int i = 0; i < kCallers; ++i) {
      ssize_t count = ::send(sockets[i],
                             bytes.data() + sent[i],
                             bytes.size() - sent[i],
                             MSG_NOSIGNAL | MSG_DONTWAIT);
      bool isClosed = count < 0 && errno != EAGAIN;
      sent[i] = isClosed ? bytes.size() : sent[i] + std::max<ssize_t>(count, 0);
      isDone = isDone && sent[i] == bytes.size();
    }
    if (isDone && received.empty()) {
      sender.Send(at, "frame");
    }
    if (received == "frame" && endedCount() >= kEnded) {
      loop.Stop();
    }
  });
  loop.Run();
  CHECK(received == "frame");
  CHECK(endedCount() >= kEnded);
  for (int socket : sockets) {
    ::close(socket);
  }
}

// Guards against a close without the promise that the request has not run.
TEST_CASE("a caller whose body is refused for want of memory gets a 503")
{
  constexpr size_t kBudgetBytes = size_t(1) << 20;
  constexpr size_t kBodyBytes = 1000000;
  constexpr size_t kSentBytes = 700000;
  EventLoop loop;
  auto guard = std::make_shared<CallerGuard>(
    loop, CallerBudgetOptions{ kBudgetBytes, 100 }, nullptr);
  int handled = 0;
  HttpServer server(loop, HttpLimits(), [&](const auto&, const auto& aWriter) {
    ++handled;
    aWriter->SendResponse({ 200, {}, "served" });
  });
  server.SetGuard(guard);
  auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.ok());
  std::string request =
    "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) +
    "\r\n\r\n" + std::string(kBodyBytes, 'x');
  struct Caller
  {
    int m_socket;
    size_t m_sent = 0;
    std::string m_received = {};
  };
  std::vector<Caller> callers = { { Connect(*port) }, { Connect(*port) } };
  size_t limit = kSentBytes;
  bool isLate = false;
  Timer late = loop.RunAfter(seconds(30), [&] {
    isLate = true;
    loop.Stop();
  });
  Timer poll = loop.RunEvery(milliseconds(1), [&] {
    bool isRefused = false;
    for (Caller& caller : callers) {
      ssize_t sent = ::send(caller.m_socket,
                            request.data() + caller.m_sent,
                            limit - std::min(limit, caller.m_sent),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
      caller.m_sent += std::max<ssize_t>(sent, 0);
      std::string part(1000, ' ');
      ssize_t got =
        ::recv(caller.m_socket, part.data(), part.size(), MSG_DONTWAIT);
      caller.m_received.append(part, 0, std::max<ssize_t>(got, 0));
      isRefused = isRefused || caller.m_received.find("503") == 9;
    }
    // The other caller completes its request after the refusal.
    limit = isRefused ? request.size() : kSentBytes;
    if (handled == 1 && !callers[0].m_received.empty() &&
        !callers[1].m_received.empty()) {
      loop.Stop();
    }
  });
  loop.Run();
  CHECK(!isLate);
  std::sort(
    callers.begin(), callers.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.m_received < aOther.m_received;
    });
  CHECK(callers[0].m_received.starts_with("HTTP/1.1 200"));
  CHECK(callers[1].m_received.starts_with("HTTP/1.1 503"));
  CHECK(callers[1].m_received.find("Retry-After: 1\r\n") != std::string::npos);
  for (const Caller& caller : callers) {
    ::close(caller.m_socket);
  }
}
