/// Tests of upstreams that send bytes without end, which are no response: the
/// request ends, the connection is closed, and memory stays bounded.

#include "Forwarding/ForwardSite.h"
#include "Forwarding/RawUpstream.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace persimmontally;

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
      RawUpstream upstream(site.Loop(), row.m_prefix, row.m_pattern);
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

// Guards against responses to the host's own calls that fill its memory.
TEST_CASE("a buffered call ends when its response is too large")
{
  struct Row
  {
    const char* m_name;
    size_t m_maxBytes;
    size_t m_bodyBytes;
    bool m_isComplete;
  };
  for (const Row& row : { Row{ "at the limit", 1000, 1000, true },
                          Row{ "above the limit", 1000, 1001, false },
                          Row{ "without end", 1000, 0, false } }) {
    CAPTURE(std::string(row.m_name));
    EventLoop loop;
    std::string head = "HTTP/1.1 200 OK\r\n";
    if (row.m_bodyBytes > 0) {
      head += "Content-Length: " + std::to_string(row.m_bodyBytes) + "\r\n";
    }
    RawUpstream upstream(
      loop,
      head + "\r\n",
      std::string(std::max<size_t>(1, row.m_bodyBytes), 'x'));
    std::optional<absl::Status> ended;
    size_t received = 0;
    int ends = 0;
    StartBufferedHttpCall(
      loop,
      upstream.Address(),
      { "POST", "/", {}, "" },
      HttpCallTimeouts(),
      [&](const absl::Status& aStatus, const HttpResponse& aResponse) {
        ended = aStatus;
        received = aResponse.m_body.size();
        ++ends;
        loop.Stop();
      },
      row.m_maxBytes);
    Timer limit = loop.RunAfter(seconds(10), [&] { loop.Stop(); });
    loop.Run();
    REQUIRE(ended.has_value());
    CHECK(ended->ok() == row.m_isComplete);
    CHECK(absl::IsResourceExhausted(*ended) == !row.m_isComplete);
    CHECK(received == (row.m_isComplete ? row.m_bodyBytes : 0));
    Timer later = loop.RunAfter(milliseconds(50), [&] { loop.Stop(); });
    loop.Run();
    CHECK(ends == 1);
  }
}

// Guards against the bytes of many faulty responses that together exceed the
// memory, and against others that fail with them.
TEST_CASE("the responses that are kept are bounded together, and the largest "
          "one fails")
{
  constexpr size_t kRequests = 12;
  ForwardSite site;
  // A small bound, which is reached on a slow machine too. The gateway owns its
  // options, which are not constant.
  constexpr size_t kBound = size_t(256) << 10;
  auto& options = const_cast<ForwardOptions&>(site.Gateway().Options());
  options.m_maxBufferedBytes = kBound;
  constexpr size_t kLargeBytes = kBound / 8 * 3;
  int requests = 0;
  size_t most = 0;
  site.AddUpstream(
    "u",
    "plain",
    [&](const HttpRequest& aRequest, const ForwardSite::Writer& aWriter) {
      bool isLarge = requests++ < 4;
      aWriter->StartStream(200, Genuine(aRequest));
      aWriter->Write(std::string(isLarge ? kLargeBytes : 1000, 'x'));
      if (!isLarge) {
        aWriter->Finish();
        return;
      }
      // Held open, so that all large ones are kept at the same time.
      aWriter->OnDrained([aWriter] {});
    });
  std::vector<std::shared_ptr<ForwardSite::Call>> calls;
  for (size_t i = 0; i < kRequests; ++i) {
    calls.push_back(site.Start("/unsafe/x", { { "X-Api-Key", "key" } }));
  }
  site.RunUntil([&] {
    most = std::max(most, site.Gateway().BufferedBytes());
    return std::all_of(calls.begin(), calls.end(), [](const auto& aCall) {
      return aCall->m_isDone;
    });
  });
  auto isServed = [](const auto& aCall) {
    return aCall->m_status.ok() && aCall->m_response.m_status == 200;
  };
  CHECK(most <= kBound);
  CHECK(most > kLargeBytes);
  CHECK(std::count_if(calls.begin(), calls.end(), isServed) == kRequests - 4);
  CHECK(site.Gateway().BufferedBytes() == 0);
}

// Guards against heads, chunk sizes and trailers that fill the memory of a call
// with a long timeout.
TEST_CASE("a call ends early at bytes without end that are no part of a body")
{
  constexpr size_t kMaxBytes = size_t(16) << 20;
  const std::string letters(0x10000, 'x');
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct Row
  {
    const char* m_name;
    std::string m_prefix;
    std::string m_pattern;
  };
  for (const Row& row : std::vector<Row>{
         { "a header", "HTTP/1.1 200 OK\r\nX: ", letters },
         { "informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
         { "a chunk size", head, std::string(0x10000, '0') },
         { "a chunk extension", head + "1;", letters },
         { "a quoted chunk extension", head + "1;a=\"", letters },
         { "one trailer", head + "0\r\nX: ", letters },
         { "trailers", head + "0\r\n", "X: " + letters.substr(2000) + "\r\n" },
         { "small trailers", head + "0\r\n", "X: y\r\n" } }) {
    CAPTURE(std::string(row.m_name));
    EventLoop loop;
    std::string pattern = row.m_pattern;
    while (pattern.size() < 0x10000) {
      pattern += row.m_pattern;
    }
    RawUpstream upstream(loop, row.m_prefix, pattern);
    bool isEnded = false;
    HttpCallEvents events;
    events.m_onEnd = [&](const absl::Status&) {
      isEnded = true;
      loop.Stop();
    };
    StartHttpCall(loop,
                  upstream.Address(),
                  { "POST", "/", {}, "" },
                  { seconds(1), seconds(60) },
                  std::move(events));
    Timer limit = loop.RunAfter(seconds(5), [&] { loop.Stop(); });
    loop.Run();
    CHECK(isEnded);
    CHECK(upstream.SentBytes() < kMaxBytes);
  }
}
