#include "persimmontally/Net/HttpClient.h"

#include "LoopContext.h"
#include "ResponseCheck.h"
#include "persimmontally/Net/EventLoop.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <sys/socket.h>
#include <utility>

namespace persimmontally {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

struct IdleConnections
{
  struct IdleConnection
  {
    tcp::socket m_socket;
    Instant m_idleSince;
  };

  explicit IdleConnections(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  /// Returns the most recently used idle connection to the server that can be
  /// reused, or nothing if a new connection is needed.
  std::optional<tcp::socket> Acquire(const Endpoint& aServer)
  {
    std::deque<IdleConnection>& idle = m_byServer[aServer];
    while (!idle.empty()) {
      IdleConnection newest = std::move(idle.back());
      idle.pop_back();
      bool isFresh =
        m_loop.Now() < newest.m_idleSince + HttpConnectionPool::kMaxIdleTime;
      if (isFresh && IsReusable(newest.m_socket)) {
        ++m_reused;
        return std::move(newest.m_socket);
      }
    }
    ++m_opened;
    return std::nullopt;
  }

  void Release(const Endpoint& aServer, tcp::socket aSocket)
  {
    std::deque<IdleConnection>& idle = m_byServer[aServer];
    idle.push_back({ std::move(aSocket), m_loop.Now() });
    if (idle.size() > HttpConnectionPool::kMaxIdlePerServer) {
      idle.pop_front();
    }
  }

  void CloseExpired()
  {
    Instant oldest = m_loop.Now() - HttpConnectionPool::kMaxIdleTime;
    for (auto at = m_byServer.begin(); at != m_byServer.end();) {
      std::deque<IdleConnection>& idle = at->second;
      while (!idle.empty() && idle.front().m_idleSince < oldest) {
        idle.pop_front();
      }
      at = idle.empty() ? m_byServer.erase(at) : std::next(at);
    }
  }

  /// Returns whether the socket is open and has no unread bytes. Bytes after
  /// the last response belong to no request, and a server that has closed the
  /// connection would not answer the next one.
  static bool IsReusable(tcp::socket& aSocket)
  {
    char byte = 0;
    ssize_t got = ::recv(
      aSocket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  EventLoop& m_loop;
  std::map<Endpoint, std::deque<IdleConnection>> m_byServer;
  uint64_t m_reused = 0;
  uint64_t m_opened = 0;
};

namespace {

class ClientCall
  : public HttpCall
  , public std::enable_shared_from_this<ClientCall>
{
public:
  ClientCall(EventLoop& aLoop,
             std::shared_ptr<IdleConnections> aIdleConnections,
             HttpCallTimeouts aTimeouts,
             HttpCallEvents aEvents)
    : m_idleConnections(std::move(aIdleConnections))
    , m_stream(aLoop.Context().m_io)
    , m_timeouts(aTimeouts)
    , m_events(std::move(aEvents))
  {
  }

  void Start(const Endpoint& aServer, HttpRequest aRequest)
  {
    aRequest.ShareBody();
    SerializeRequest(aServer, aRequest);
    m_isHead = aRequest.m_method == "HEAD";
    m_server = aServer;
    if (m_idleConnections) {
      auto reused = m_idleConnections->Acquire(aServer);
      if (reused) {
        m_isReused = true;
        m_stream.socket() = std::move(*reused);
        WriteRequest();
        return;
      }
    }
    m_stream.expires_after(m_timeouts.m_connect);
    m_stream.async_connect(
      ToAsio<tcp>(aServer), [self = shared_from_this()](error_code aError) {
        if (aError) {
          self->End(absl::UnavailableError("connect: " + aError.message()));
          return;
        }
        ConfigureSocket(self->m_stream.socket());
        self->WriteRequest();
      });
  }

  void Cancel() override
  {
    if (m_ended) {
      return;
    }
    m_ended = true;
    m_events = {};
    m_stream.close();
  }

  void Pause() override { m_paused = true; }

  bool IsReused() const override { return m_isReused; }

  void CloseAtEnd() override { m_idleConnections.reset(); }

  void Resume() override
  {
    if (!m_paused) {
      return;
    }
    m_paused = false;
    if (m_readDeferred) {
      m_readDeferred = false;
      ReadBody();
    }
  }

private:
  void SerializeRequest(const Endpoint& aServer, const HttpRequest& aRequest)
  {
    m_requestBytes =
      aRequest.m_method + " " + aRequest.m_target + " HTTP/1.1\r\n";
    if (aRequest.Header("Host").empty()) {
      m_requestBytes += "Host: " + ToString(aServer) + "\r\n";
    }
    for (const HttpHeader& header : aRequest.m_headers) {
      m_requestBytes += header.m_name + ": " + header.m_value + "\r\n";
    }
    m_body = aRequest.m_sharedBody;
    bool hasBody = !m_body->empty() ||
                   (aRequest.m_method != "GET" && aRequest.m_method != "HEAD");
    if (hasBody) {
      m_requestBytes +=
        "Content-Length: " + std::to_string(m_body->size()) + "\r\n";
    }
    m_requestBytes += m_idleConnections ? "" : "Connection: close\r\n";
    m_requestBytes += "\r\n";
  }

  void WriteRequest()
  {
    if (m_events.m_onSend) {
      m_events.m_onSend();
    }
    if (m_ended) {
      return;
    }
    m_stream.expires_after(m_timeouts.m_idle);
    boost::asio::async_write(
      m_stream,
      std::array{ boost::asio::buffer(std::as_const(m_requestBytes)),
                  boost::asio::buffer(*m_body) },
      [self = shared_from_this()](error_code aError, size_t) {
        if (aError) {
          self->End(absl::AbortedError("write: " + aError.message()));
          return;
        }
        self->ReadHead();
      });
  }

  void ReadHead()
  {
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->skip(m_isHead);
    m_scannedBytes = 0;
    FindEndOfHead();
  }

  void FindEndOfHead()
  {
    std::string_view unparsed(static_cast<const char*>(m_buffer.data().data()),
                              m_buffer.size());
    size_t overlap = std::min(m_scannedBytes, kHeadEnd.size() - 1);
    size_t end = unparsed.find(kHeadEnd, m_scannedBytes - overlap);
    if (end != std::string_view::npos) {
      ParseHead(unparsed.substr(0, end + kHeadEnd.size()));
      return;
    }
    m_scannedBytes = unparsed.size();
    if (!kVersionStart.starts_with(unparsed.substr(0, kVersionStart.size()))) {
      DiscardResponse("the bytes are no response");
      return;
    }
    size_t space = m_buffer.max_size() - m_buffer.size();
    if (space == 0) {
      DiscardResponse("the head is too large");
      return;
    }
    m_stream.async_read_some(
      m_buffer.prepare(std::min(space, kChunkBytes)),
      [self = shared_from_this()](error_code aError, size_t aSize) {
        if (self->m_ended) {
          return;
        }
        self->m_buffer.commit(aSize);
        if (aError == boost::asio::error::eof) {
          aError = self->m_buffer.size() > 0 ? http::error::partial_message
                                             : http::error::end_of_stream;
        }
        if (aError) {
          self->EndWithReadError(aError);
          return;
        }
        self->FindEndOfHead();
      });
  }

  /// Parses the head at the start of the buffer.
  void ParseHead(std::string_view aHead)
  {
    absl::Status valid = CheckResponseHead(aHead);
    if (!valid.ok()) {
      DiscardResponse(std::string(valid.message()));
      return;
    }
    error_code error;
    m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error || !m_parser->is_header_done()) {
      DiscardResponse(error ? error.message() : "incomplete head");
      return;
    }
    if (!IsInterimStatus(static_cast<int>(m_parser->get().result_int()))) {
      ReportHead();
      ReadBody();
      return;
    }
    if (++m_interimResponses > kMaxInterimResponses) {
      DiscardResponse("too many interim responses");
      return;
    }
    ReadHead();
  }

  void ReportHead()
  {
    if (!m_events.m_onHead) {
      return;
    }
    HttpHeaders headers;
    for (const auto& field : m_parser->get()) {
      headers.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    m_events.m_onHead(static_cast<int>(m_parser->get().result_int()), headers);
  }

  void ReadBody()
  {
    if (m_ended) {
      return;
    }
    if (m_parser->is_done()) {
      End(absl::OkStatus());
      return;
    }
    if (m_paused) {
      m_readDeferred = true;
      m_stream.expires_never();
      return;
    }
    m_parser->get().body().data = m_chunk.data();
    m_parser->get().body().size = m_chunk.size();
    m_stream.expires_after(m_timeouts.m_idle);
    http::async_read_some(
      m_stream,
      m_buffer,
      *m_parser,
      [self = shared_from_this()](error_code aError, size_t) {
        self->OnBody(aError);
      });
  }

  void OnBody(error_code aError)
  {
    if (m_ended) {
      return;
    }
    size_t size = m_chunk.size() - m_parser->get().body().size;
    bool readable = !aError || aError == http::error::need_buffer;
    if (readable && size > 0 && m_events.m_onData) {
      m_events.m_onData({ m_chunk.data(), size });
    }
    if (!readable) {
      EndWithReadError(aError);
      return;
    }
    ReadBody();
  }

  void EndWithReadError(const error_code& aError)
  {
    if (aError == beast::error::timeout) {
      End(
        absl::DeadlineExceededError("idle timeout while reading the response"));
      return;
    }
    if (IsParseError(aError)) {
      DiscardResponse(aError.message());
      return;
    }
    End(absl::AbortedError("read: " + aError.message()));
  }

  /// Returns whether the bytes of the server are no response. Errors of the
  /// connection and its early end are none of these.
  static bool IsParseError(const error_code& aError)
  {
    return aError.category() ==
             http::make_error_code(http::error::bad_chunk).category() &&
           aError != http::error::end_of_stream &&
           aError != http::error::partial_message;
  }

  /// Discards what is left of a response that cannot be parsed until the server
  /// ends the connection, or time or bytes are used up.
  void DiscardResponse(const std::string& aReason)
  {
    m_unparsedReason = "read: " + aReason;
    m_discardedBytes = m_buffer.size();
    m_stream.expires_after(m_timeouts.m_unparsed);
    DiscardMore();
  }

  void DiscardMore()
  {
    if (m_timeouts.m_unparsed <= Duration(0) ||
        m_discardedBytes > kMaxUnparsedBytes) {
      End(absl::DataLossError(m_unparsedReason));
      return;
    }
    m_stream.async_read_some(
      boost::asio::buffer(m_chunk),
      [self = shared_from_this()](error_code aError, size_t aSize) {
        self->m_discardedBytes += aSize;
        if (!aError) {
          self->DiscardMore();
        } else if (aError == beast::error::timeout) {
          self->End(absl::DataLossError(self->m_unparsedReason));
        } else {
          self->End(absl::AbortedError(self->m_unparsedReason));
        }
      });
  }

  void End(absl::Status aStatus)
  {
    if (m_ended) {
      return;
    }
    m_ended = true;
    bool canKeep = m_idleConnections && aStatus.ok() &&
                   m_parser->keep_alive() && m_buffer.size() == 0;
    if (canKeep) {
      m_stream.expires_never();
      m_idleConnections->Release(m_server, m_stream.release_socket());
    } else {
      m_stream.close();
    }
    auto onEnd = std::move(m_events.m_onEnd);
    m_events = {};
    if (onEnd) {
      onEnd(std::move(aStatus));
    }
  }

  static constexpr size_t kChunkBytes = 4096;
  /// Bytes that wait to be parsed: heads, chunk sizes and trailers are parsed
  /// as a whole, so that this also bounds each of them.
  static constexpr size_t kMaxUnparsedBytes = size_t(64) << 10;
  static constexpr std::string_view kHeadEnd = "\r\n\r\n";
  static constexpr std::string_view kVersionStart = "HTTP/1.";
  static constexpr int kMaxInterimResponses = 16;

  std::shared_ptr<IdleConnections> m_idleConnections;
  Endpoint m_server;
  beast::tcp_stream m_stream;
  HttpCallTimeouts m_timeouts;
  HttpCallEvents m_events;
  /// Head of the request.
  std::string m_requestBytes;
  std::shared_ptr<const std::string> m_body;
  beast::flat_buffer m_buffer{ kMaxUnparsedBytes };
  /// Parser of the current response, which may be an interim one.
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  int m_interimResponses = 0;
  /// Bytes at the start of the buffer that hold no end of a head.
  size_t m_scannedBytes = 0;
  std::array<char, kChunkBytes> m_chunk{};
  std::string m_unparsedReason;
  size_t m_discardedBytes = 0;
  bool m_isHead = false;
  bool m_isReused = false;
  bool m_ended = false;
  bool m_paused = false;
  bool m_readDeferred = false;
};

} // namespace

std::shared_ptr<HttpCall> StartHttpCall(EventLoop& aLoop,
                                        const Endpoint& aServer,
                                        HttpRequest aRequest,
                                        HttpCallTimeouts aTimeouts,
                                        HttpCallEvents aEvents)
{
  auto call =
    std::make_shared<ClientCall>(aLoop, nullptr, aTimeouts, std::move(aEvents));
  call->Start(aServer, std::move(aRequest));
  return call;
}

HttpConnectionPool::HttpConnectionPool(EventLoop& aLoop)
  : m_loop(aLoop)
  , m_idleConnections(std::make_shared<IdleConnections>(aLoop))
{
}

HttpConnectionPool::~HttpConnectionPool() = default;

std::shared_ptr<HttpCall> HttpConnectionPool::Start(const Endpoint& aServer,
                                                    HttpRequest aRequest,
                                                    HttpCallTimeouts aTimeouts,
                                                    HttpCallEvents aEvents)
{
  auto call = std::make_shared<ClientCall>(
    m_loop, m_idleConnections, aTimeouts, std::move(aEvents));
  call->Start(aServer, std::move(aRequest));
  return call;
}

void HttpConnectionPool::Tick()
{
  m_idleConnections->CloseExpired();
}

uint64_t HttpConnectionPool::ReusedCount() const
{
  return m_idleConnections->m_reused;
}

uint64_t HttpConnectionPool::OpenedCount() const
{
  return m_idleConnections->m_opened;
}

std::shared_ptr<HttpCall> StartBufferedHttpCall(
  EventLoop& aLoop,
  const Endpoint& aServer,
  HttpRequest aRequest,
  HttpCallTimeouts aTimeouts,
  std::function<void(absl::Status, HttpResponse)> aOnEnd,
  size_t aMaxBodyBytes)
{
  struct Result
  {
    HttpResponse m_response;
    std::function<void(absl::Status, HttpResponse)> m_onEnd;
    std::weak_ptr<HttpCall> m_call;
  };
  auto result = std::make_shared<Result>();
  result->m_onEnd = std::move(aOnEnd);
  HttpCallEvents events;
  events.m_onHead = [result](int aStatus, const HttpHeaders& aHeaders) {
    result->m_response.m_status = aStatus;
    result->m_response.m_headers = aHeaders;
  };
  events.m_onData = [result, aMaxBodyBytes](std::string_view aData) {
    result->m_response.m_body.append(aData);
    auto call = result->m_call.lock();
    if (result->m_response.m_body.size() > aMaxBodyBytes && call) {
      // Cancelling destroys this function with its captures.
      auto onEnd = std::move(result->m_onEnd);
      call->Cancel();
      onEnd(absl::ResourceExhaustedError("the response is too large"),
            HttpResponse());
    }
  };
  events.m_onEnd = [result](absl::Status aStatus) {
    result->m_onEnd(std::move(aStatus), std::move(result->m_response));
  };
  auto call = StartHttpCall(
    aLoop, aServer, std::move(aRequest), aTimeouts, std::move(events));
  result->m_call = call;
  return call;
}

} // namespace persimmontally
