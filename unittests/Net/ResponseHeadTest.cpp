/// Tests of responses whose head is not valid as a whole.

#include "Forwarding/RawUpstream.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

struct Received
{
  /// Status passed to the caller of the client; 0 if none was.
  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
  bool m_isComplete = false;
  int m_heads = 0;
};

/// Sends one request to a server that answers with the given bytes and closes
/// the connection.
Received Receive(const std::string& aBytes)
{
  EventLoop loop;
  RawUpstream upstream(loop, aBytes, "", RawEnd::Close);
  Received received;
  HttpCallEvents events;
  events.m_onHead = [&](int aStatus, const HttpHeaders& aHeaders) {
    ++received.m_heads;
    received.m_status = aStatus;
    received.m_headers = aHeaders;
  };
  events.m_onData = [&](std::string_view aData) { received.m_body += aData; };
  events.m_onEnd = [&](const absl::Status& aStatus) {
    received.m_isComplete = aStatus.ok();
    loop.Stop();
  };
  StartHttpCall(loop,
                upstream.Address(),
                { "POST", "/", {}, "" },
                HttpCallTimeouts(),
                std::move(events));
  Timer limit = loop.RunAfter(seconds(10), [&] { loop.Stop(); });
  loop.Run();
  return received;
}

const std::string kBody = "Content-Length: 5\r\n\r\nhello";

/// Returns a sound response with one more line in its head.
std::string WithLine(const std::string& aLine)
{
  return "HTTP/1.1 200 OK\r\n" + aLine + "\r\n" + kBody;
}

std::string WithStatus(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " x\r\n" + kBody;
}

std::string Chunked(const std::string& aCoding)
{
  return "HTTP/1.1 200 OK\r\n" + aCoding + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
}

} // namespace

// Guards against heads that are passed on although they can't be understood:
// a status that is none, invalid fields, and bodies that are still coded.
TEST_CASE("a response without a valid head is refused")
{
  using namespace std::string_literals;
  struct Row
  {
    const char* m_name;
    std::string m_bytes;
  };
  for (const Row& row : std::vector<Row>{
         { "status 000", WithStatus("000") },
         { "status 001", WithStatus("001") },
         { "status 099", WithStatus("099") },
         { "status 100 and no more", "HTTP/1.1 100 x\r\n\r\n" },
         { "status 101", "HTTP/1.1 101 x\r\n\r\n" },
         { "status 101 and a sound response",
           "HTTP/1.1 101 x\r\n\r\n" + WithStatus("200") },
         { "status 199 and no more", "HTTP/1.1 199 x\r\n\r\n" },
         { "status 102 and a bad one",
           "HTTP/1.1 102 x\r\n\r\n" + WithStatus("000") },
         { "status 600", WithStatus("600") },
         { "status 999", WithStatus("999") },
         { "status of two digits", WithStatus("20") },
         { "status of four digits", WithStatus("2000") },
         { "status with a sign", WithStatus("+20") },
         { "status with a blank", WithStatus("2 0") },
         { "no status", "HTTP/1.1 \r\n" + kBody },
         { "control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + kBody },
         { "version 1.2", "HTTP/1.2 200 OK\r\n" + kBody },
         { "version 2.0", "HTTP/2.0 200 OK\r\n" + kBody },
         { "blank in a name", WithLine("X y: z") },
         { "tab in a name", WithLine("X\ty: z") },
         { "control byte in a name", WithLine("X\x01y: z") },
         { "DEL in a name", WithLine("X\x7fy: z") },
         { "NUL in a name", WithLine("X\0y: z"s) },
         { "byte over 127 in a name", WithLine("X\x80y: z") },
         { "separator in a name", WithLine("X(y): z") },
         { "line end in a name", WithLine("X\ry: z") },
         { "blank before the colon", WithLine("Xy : z") },
         { "tab before the colon", WithLine("Xy\t: z") },
         { "line that begins with a blank", WithLine(" Xy: z") },
         { "folded value", WithLine("Xy: z\r\n z") },
         { "empty name", WithLine(": z") },
         { "no colon", WithLine("Xy") },
         { "control byte in a value", WithLine("Xy: z\x01z") },
         { "NUL in a value", WithLine("Xy: z\0z"s) },
         { "DEL in a value", WithLine("Xy: z\x7fz") },
         { "line end in a value", WithLine("Xy: z\rz") },
         { "two codings", Chunked("Transfer-Encoding: gzip, chunked") },
         { "chunked twice", Chunked("Transfer-Encoding: chunked, chunked") },
         { "two fields with codings",
           Chunked("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked") },
         { "another coding", Chunked("Transfer-Encoding: gzip") },
         { "identity", Chunked("Transfer-Encoding: identity") },
         { "empty coding", Chunked("Transfer-Encoding: ") },
         { "chunks and a length",
           Chunked("Content-Length: 5\r\nTransfer-Encoding: chunked") },
         { "chunks in version 1.0",
           "HTTP/1.0 200 OK\r\nTransfer-Encoding: "
           "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
         { "two lengths", WithLine("Content-Length: 4") },
         { "one length twice", WithLine("Content-Length: 5") },
         { "a list of lengths",
           "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\nhello" },
         { "length with a sign",
           "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello" },
         { "length with letters",
           "HTTP/1.1 200 OK\r\nContent-Length: 5a\r\n\r\nhello" },
         { "length in hexadecimal",
           "HTTP/1.1 200 OK\r\nContent-Length: 0x5\r\n\r\nhello" },
         { "empty length", "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nhello" },
       }) {
    CAPTURE(std::string(row.m_name));
    Received received = Receive(row.m_bytes);
    CHECK(received.m_heads == 0);
    CHECK(received.m_body.empty());
    CHECK(!received.m_isComplete);
  }
}

TEST_CASE("a response with a valid head is received as a whole, and interim "
          "responses before it belong to it")
{
  const std::string processing = "HTTP/1.1 102 Processing\r\n\r\n";
  struct Row
  {
    const char* m_name;
    std::string m_bytes;
    int m_status;
    std::string m_body;
  };
  for (const Row& row : std::vector<Row>{
         { "status 200", WithStatus("200"), 200, "hello" },
         { "status 599", WithStatus("599"), 599, "hello" },
         { "status 204", "HTTP/1.1 204 x\r\n\r\n", 204, "" },
         { "no reason", "HTTP/1.1 200 \r\n" + kBody, 200, "hello" },
         { "version 1.0", "HTTP/1.0 200 OK\r\n" + kBody, 200, "hello" },
         { "all characters of names",
           WithLine("!#$%&'*+-.^_`|~09azAZ: z"),
           200,
           "hello" },
         { "tab and bytes over 127 in a value",
           WithLine("Xy: z\tz\x80"),
           200,
           "hello" },
         { "empty value", WithLine("Xy:"), 200, "hello" },
         { "chunks", Chunked("Transfer-Encoding: Chunked"), 200, "hello" },
         { "one interim response",
           processing + WithStatus("200"),
           200,
           "hello" },
         { "interim responses with fields",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early "
           "Hints\r\nRequest-Id: other\r\n\r\n" +
             WithStatus("404"),
           404,
           "hello" },
       }) {
    CAPTURE(std::string(row.m_name));
    Received received = Receive(row.m_bytes);
    CHECK(received.m_heads == 1);
    CHECK(received.m_status == row.m_status);
    CHECK(received.m_body == row.m_body);
    CHECK(received.m_isComplete);
    CHECK(FindHeader(received.m_headers, "Request-Id").empty());
  }
}

// Guards against a trailer that hides a second response or a field of the head.
TEST_CASE("a response with an invalid trailer is not complete")
{
  using namespace std::string_literals;
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
  for (const std::string& trailer : { "X y: z"s,
                                      "X\x01y: z"s,
                                      "X\0y: z"s,
                                      "Xy : z"s,
                                      ": z"s,
                                      "Xy"s,
                                      "Xy: z\x01z"s }) {
    CAPTURE(trailer);
    CHECK(!Receive(head + trailer + "\r\n\r\n").m_isComplete);
  }
  Received sound = Receive(head + "Request-Id: other\r\n\r\n");
  CHECK(sound.m_isComplete);
  CHECK(FindHeader(sound.m_headers, "Request-Id").empty());
}
