/// Compares what the client passes on of mutated responses with a plain reading
/// of their bytes. PERSIMMONTALLY_SEEDS sets the number of responses.

#include "Forwarding/RawUpstream.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <memory>
#include <random>
#include <regex>

using namespace persimmontally;

namespace {

struct Response
{
  int m_status = 0;
  std::string m_body;
  bool m_isComplete = false;
};

const std::vector<std::string>& Corpus()
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  static const std::vector<std::string> kCorpus = {
    ok + "Request-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nhello",
    ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\na;x=y\r\n" +
      "0123456789\r\n0\r\nX-Sum: 7\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nno",
    "HTTP/1.0 503 \r\nNot-Run: 1\r\nRetry-After: 0.5\r\n\r\nuntil close",
    "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
  };
  return kCorpus;
}

std::string Mutate(std::mt19937_64& aRandom)
{
  auto draw = [&](size_t aBelow) {
    return std::uniform_int_distribution<size_t>(0, aBelow - 1)(aRandom);
  };
  const std::vector<std::string> pieces = { "\r\n",
                                            "\n",
                                            "\r",
                                            " ",
                                            "\t",
                                            ":",
                                            std::string(1, '\0'),
                                            "\x7f",
                                            "\x80",
                                            "0",
                                            "f",
                                            "-",
                                            "Content-Length: 3\r\n",
                                            "Transfer-Encoding: chunked\r\n",
                                            "HTTP/1.1 200 OK\r\n",
                                            ";",
                                            ",",
                                            "\r\n\r\n" };
  std::string bytes = Corpus()[draw(Corpus().size())];
  for (size_t count = draw(4); count > 0 && !bytes.empty(); --count) {
    size_t at = draw(bytes.size());
    switch (draw(5)) {
      case 0:
        bytes[at] = static_cast<char>(draw(256));
        break;
      case 1:
        bytes.erase(at, 1 + draw(3));
        break;
      case 2:
        bytes.insert(at, pieces[draw(pieces.size())]);
        break;
      case 3:
        bytes.insert(at, bytes.substr(at, 1 + draw(30)));
        break;
      default:
        bytes.resize(at);
    }
  }
  return bytes;
}

size_t CountLines(const std::string& aHead, const std::string& aName)
{
  const std::regex line("\r\n" + aName + ":", std::regex::icase);
  return static_cast<size_t>(
    std::distance(std::sregex_iterator(aHead.begin(), aHead.end(), line),
                  std::sregex_iterator()));
}

void ReadChunks(std::string_view aBytes, Response& aResponse)
{
  while (true) {
    size_t line = aBytes.find("\r\n");
    size_t digits = aBytes.find_first_not_of("0123456789abcdefABCDEF");
    if (line == std::string_view::npos || digits == 0 || digits > line ||
        digits > 15) {
      return;
    }
    size_t size =
      std::stoul(std::string(aBytes.substr(0, digits)), nullptr, 16);
    aBytes.remove_prefix(line + 2);
    if (size == 0) {
      break;
    }
    aResponse.m_body += aBytes.substr(0, std::min(size, aBytes.size()));
    if (aBytes.size() < size + 2 || aBytes.substr(size, 2) != "\r\n") {
      return;
    }
    aBytes.remove_prefix(size + 2);
  }
  aResponse.m_isComplete = aBytes.starts_with("\r\n") ||
                           aBytes.find("\r\n\r\n") != std::string_view::npos;
}

/// Reads a response that the server ends by closing the connection.
Response Read(std::string_view aBytes)
{
  const std::regex valid("HTTP/1\\.[01] ([0-9]{3})( [\t -~\x80-\xff]*)?\r\n"
                         "([!#$%&'*+.^_`|~0-9a-zA-Z-]+:[\t -~\x80-\xff]*\r\n)*"
                         "\r\n");
  const std::regex length("\r\nContent-Length:[ \t]*([0-9]{1,18})[ \t]*\r\n",
                          std::regex::icase);
  Response response;
  while (true) {
    size_t end = aBytes.find("\r\n\r\n");
    if (end == std::string_view::npos) {
      return response;
    }
    std::string head(aBytes.substr(0, end + 4));
    aBytes.remove_prefix(end + 4);
    std::smatch match;
    if (!std::regex_match(head, match, valid)) {
      return response;
    }
    int status = std::stoi(match[1]);
    size_t codings = CountLines(head, "Transfer-Encoding");
    size_t lengths = CountLines(head, "Content-Length");
    if (status < 100 || status == 101 || status > 599 ||
        codings + lengths > 1) {
      return response;
    }
    if (status < 200) {
      continue;
    }
    response.m_status = status;
    if (status == 204 || status == 304) {
      response.m_isComplete = true;
    } else if (codings == 1) {
      ReadChunks(aBytes, response);
    } else if (std::regex_search(head, match, length)) {
      size_t size = std::stoul(match[1]);
      response.m_body = aBytes.substr(0, size);
      response.m_isComplete = aBytes.size() >= size;
    } else if (lengths == 0) {
      response.m_body = aBytes;
      response.m_isComplete = true;
    }
    return response;
  }
}

/// Server that answers with given bytes and closes the connection.
class Server
{
public:
  Response Receive(const std::string& aBytes)
  {
    // One port serves many responses, since a closed connection occupies its
    // port for a minute.
    constexpr size_t kResponsesPerPort = 100;
    if (m_responses++ % kResponsesPerPort == 0) {
      m_upstream = std::make_unique<RawUpstream>(m_loop, "", "", RawEnd::Close);
      m_upstream->m_onRequest = [this](std::string_view) {
        return std::optional(m_bytes);
      };
    }
    m_bytes = aBytes;
    Response response;
    HttpCallEvents events;
    events.m_onHead = [&](int aStatus, const HttpHeaders&) {
      response.m_status = aStatus;
    };
    events.m_onData = [&](std::string_view aData) { response.m_body += aData; };
    events.m_onEnd = [&](const absl::Status& aStatus) {
      response.m_isComplete = aStatus.ok();
      m_loop.Stop();
    };
    StartHttpCall(m_loop,
                  m_upstream->Address(),
                  { "POST", "/", {}, "" },
                  HttpCallTimeouts(),
                  std::move(events));
    Timer limit = m_loop.RunAfter(seconds(10), [&] { m_loop.Stop(); });
    m_loop.Run();
    return response;
  }

private:
  EventLoop m_loop;
  std::string m_bytes;
  size_t m_responses = 0;
  std::unique_ptr<RawUpstream> m_upstream;
};

} // namespace

// Guards against heads that are passed on although they are not valid, and
// bodies that are not what the server has framed.
TEST_CASE("what is passed on of a mutated response is what its bytes state")
{
  const char* seeds = std::getenv("PERSIMMONTALLY_SEEDS");
  uint64_t count = seeds == nullptr ? 1000 : std::strtoull(seeds, nullptr, 10);
  Server server;
  for (const std::string& bytes : Corpus()) {
    CAPTURE(bytes);
    CHECK(server.Receive(bytes).m_isComplete);
  }
  size_t passedOn = 0;
  for (uint64_t seed = 1; seed <= count; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = Mutate(random);
    Response received = server.Receive(bytes);
    Response stated = Read(bytes);
    passedOn += received.m_status != 0 ? 1 : 0;
    bool isHeadStated =
      received.m_status == 0 || received.m_status == stated.m_status;
    bool isBodyStated =
      received.m_isComplete
        ? stated.m_isComplete && received.m_body == stated.m_body
        : stated.m_body.starts_with(received.m_body);
    if (!isHeadStated || !isBodyStated) {
      CAPTURE(seed);
      CAPTURE(bytes);
      CAPTURE(received.m_body);
      CAPTURE(stated.m_body);
      CHECK(isHeadStated);
      CHECK(isBodyStated);
    }
  }
  CHECK(passedOn > count / 10);
}
