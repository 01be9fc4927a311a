#include "persimmontally/Net/HttpServer.h"

#include "LoopContext.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>
#include <unordered_set>

namespace persimmontally {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Bytes that a connection reads at a time.
constexpr size_t kReadBytes = size_t(64) << 10;

class Connection;

/// State shared by all connections of one server.
struct ServerState
{
  HttpLimits m_limits;
  HttpServer::Handler m_handler;
  bool m_keepAliveAllowed = true;
  size_t m_openConnections = 0;
  size_t m_openExchanges = 0;
};

/// Connection of one caller. Reads a request, passes it to the handler, writes
/// the response and then waits for the next request.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket, std::shared_ptr<ServerState> aServer)
    : m_stream(std::move(aSocket))
    , m_readTimer(m_stream.get_executor())
    , m_server(std::move(aServer))
  {
    ++m_server->m_openConnections;
    ConfigureSocket(m_stream.socket(),
                    { m_server->m_limits.m_writeStallTimeout, seconds(5) });
  }
  ~Connection()
  {
    EndExchange();
    --m_server->m_openConnections;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void WaitForRequest();

  // Called by `Writer`. Calls for an earlier exchange are ignored.
  void SendResponse(uint64_t aExchange, HttpResponse aResponse);
  void StartStream(uint64_t aExchange, int aStatus, HttpHeaders aHeaders);
  void Write(uint64_t aExchange, std::string_view aData);
  void Finish(uint64_t aExchange);
  void Abort(uint64_t aExchange);
  size_t BufferedBytes() const
  {
    return m_pendingOutput.size() + m_writeBuffer.size();
  }
  void OnDrained(uint64_t aExchange, std::function<void()> aAction);
  void OnClosed(uint64_t aExchange, std::function<void()> aAction);

private:
  bool IsCurrent(uint64_t aExchange) const
  {
    return aExchange == m_exchange && !m_closed;
  }
  void ReadRequest();
  void StartReadTimer(Duration aLimit);
  void DiscardInput();
  void HandleRequest();
  void RefuseUnreadableRequest(const error_code& aError);
  void AppendHead(int aStatus,
                  const HttpHeaders& aHeaders,
                  std::string aLength);
  void BeginExchange();
  void EndExchange();
  bool StartResponse(uint64_t aExchange);
  void Flush();
  void CompleteExchange();
  void Close();
  void WatchForDisconnect();

  beast::tcp_stream m_stream;
  boost::asio::steady_timer m_readTimer;
  bool m_readTimedOut = false;
  std::shared_ptr<ServerState> m_server;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  /// Number of the current request on this connection. Calls of writers with
  /// a lower number are ignored.
  uint64_t m_exchange = 0;
  bool m_keepAlive = false;
  bool m_isHead = false;
  bool m_isDiscardingInput = false;
  bool m_closed = false;
  bool m_isResponseStarted = false;
  bool m_responseQueued = false;
  bool m_writeInProgress = false;
  bool m_inExchange = false;
  std::string m_pendingOutput;
  std::string m_writeBuffer;
  std::function<void()> m_onDrained;
  std::function<void()> m_onClosed;
};

class Writer : public ResponseWriter
{
public:
  Writer(std::shared_ptr<Connection> aConnection, uint64_t aExchange)
    : m_connection(std::move(aConnection))
    , m_exchange(aExchange)
  {
  }
  ~Writer() override { m_connection->Abort(m_exchange); }

  void SendResponse(HttpResponse aResponse) override
  {
    m_connection->SendResponse(m_exchange, std::move(aResponse));
  }
  void StartStream(int aStatus, HttpHeaders aHeaders) override
  {
    m_connection->StartStream(m_exchange, aStatus, std::move(aHeaders));
  }
  void Write(std::string_view aData) override
  {
    m_connection->Write(m_exchange, aData);
  }
  void Finish() override { m_connection->Finish(m_exchange); }
  void Abort() override { m_connection->Abort(m_exchange); }
  size_t BufferedBytes() const override
  {
    return m_connection->BufferedBytes();
  }
  void OnDrained(std::function<void()> aAction) override
  {
    m_connection->OnDrained(m_exchange, std::move(aAction));
  }
  void OnClosed(std::function<void()> aAction) override
  {
    m_connection->OnClosed(m_exchange, std::move(aAction));
  }

private:
  std::shared_ptr<Connection> m_connection;
  uint64_t m_exchange;
};

} // namespace

/// Waits for the first byte of a request, at most for the idle timeout.
void Connection::WaitForRequest()
{
  if (m_buffer.size() > 0) {
    ReadRequest();
    return;
  }
  StartReadTimer(m_server->m_limits.m_idleTimeout);
  m_stream.socket().async_wait(
    tcp::socket::wait_read, [self = shared_from_this()](error_code aError) {
      self->m_readTimer.cancel();
      if (aError || self->m_readTimedOut || self->m_closed) {
        self->Close();
        return;
      }
      self->ReadRequest();
    });
}

void Connection::ReadRequest()
{
  // Chunk sizes and trailers are parsed as a whole and have no other limit.
  m_buffer.max_size(m_server->m_limits.m_maxHeaderBytes + kReadBytes);
  m_parser.emplace();
  m_parser->header_limit(
    static_cast<uint32_t>(m_server->m_limits.m_maxHeaderBytes));
  m_parser->body_limit(m_server->m_limits.m_maxBodyBytes);
  StartReadTimer(m_server->m_limits.m_headerTimeout);
  http::async_read(m_stream,
                   m_buffer,
                   *m_parser,
                   [self = shared_from_this()](error_code aError, size_t) {
                     self->m_readTimer.cancel();
                     if (self->m_readTimedOut) {
                       aError = beast::error::timeout;
                     }
                     if (aError) {
                       self->RefuseUnreadableRequest(aError);
                       return;
                     }
                     self->HandleRequest();
                   });
}

/// Cancels the current read after `aLimit`. The expiry of `tcp_stream` is not
/// used, because it closes the socket and no response could be sent.
void Connection::StartReadTimer(Duration aLimit)
{
  m_readTimedOut = false;
  m_readTimer.expires_after(aLimit);
  m_readTimer.async_wait([self = shared_from_this()](error_code aError) {
    if (aError || self->m_inExchange || self->m_closed) {
      return;
    }
    self->m_readTimedOut = true;
    self->m_stream.cancel();
  });
}

/// Sends a refusal for a request that could not be read. Closes the connection
/// without a response if it ended or no byte of a request was received.
void Connection::RefuseUnreadableRequest(const error_code& aError)
{
  if (aError == http::error::end_of_stream ||
      aError == boost::asio::error::operation_aborted ||
      aError == boost::asio::error::connection_reset ||
      aError == http::error::partial_message) {
    Close();
    return;
  }
  bool started = m_parser->got_some() || m_buffer.size() > 0;
  if (aError == beast::error::timeout && !started) {
    Close();
    return;
  }
  ErrorKind kind = ErrorKind::MalformedRequest;
  if (aError == http::error::header_limit) {
    kind = ErrorKind::HeaderTooLarge;
  } else if (aError == http::error::body_limit) {
    kind = ErrorKind::BodyTooLarge;
  } else if (aError == beast::error::timeout) {
    kind = ErrorKind::RequestTimeout;
  }
  BeginExchange();
  m_keepAlive = false;
  Refusal refusal = RefusalBuilder(kind, aError.message()).Build();
  SendResponse(m_exchange,
               HttpResponse{ LookUpError(kind).m_httpStatus,
                             { { "Content-Type", "application/json" } },
                             RefusalBody(refusal, "") });
}

void Connection::HandleRequest()
{
  auto message = m_parser->release();
  HttpRequest request;
  request.m_method = std::string(message.method_string());
  request.m_target = std::string(message.target());
  for (const auto& field : message) {
    request.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.m_body = std::move(message.body());
  m_keepAlive = message.keep_alive() && m_server->m_keepAliveAllowed;
  m_isHead = message.method() == http::verb::head;
  BeginExchange();
  m_onDrained = nullptr;
  m_onClosed = nullptr;
  WatchForDisconnect();
  auto writer = std::make_shared<Writer>(shared_from_this(), m_exchange);
  m_server->m_handler(std::move(request), std::move(writer));
}

/// Closes the connection if the caller disconnects before its response is
/// complete.
void Connection::WatchForDisconnect()
{
  m_stream.socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), exchange = m_exchange](error_code aError) {
      if (aError || !self->IsCurrent(exchange) || !self->m_inExchange) {
        return;
      }
      error_code ignored;
      if (self->m_stream.socket().available(ignored) == 0) {
        self->Close();
      }
    });
}

void Connection::AppendHead(int aStatus,
                            const HttpHeaders& aHeaders,
                            std::string aLength)
{
  auto status = static_cast<http::status>(aStatus);
  m_pendingOutput.append("HTTP/1.1 ")
    .append(std::to_string(aStatus))
    .append(" ")
    .append(http::obsolete_reason(status))
    .append("\r\n");
  for (const HttpHeader& header : aHeaders) {
    m_pendingOutput.append(header.m_name).append(": ");
    m_pendingOutput.append(header.m_value).append("\r\n");
  }
  m_pendingOutput.append(aLength);
  m_keepAlive = m_keepAlive && m_server->m_keepAliveAllowed;
  m_pendingOutput.append(m_keepAlive ? "" : "Connection: close\r\n")
    .append("\r\n");
}

void Connection::BeginExchange()
{
  ++m_exchange;
  m_inExchange = true;
  ++m_server->m_openExchanges;
  m_isResponseStarted = false;
  m_responseQueued = false;
}

void Connection::EndExchange()
{
  if (std::exchange(m_inExchange, false)) {
    --m_server->m_openExchanges;
  }
}

/// Returns whether the response may start now. Breaks off a response that has
/// already started: the caller would take a second head for part of its body.
bool Connection::StartResponse(uint64_t aExchange)
{
  if (!IsCurrent(aExchange) || !m_inExchange) {
    return false;
  }
  if (std::exchange(m_isResponseStarted, true)) {
    Abort(aExchange);
    return false;
  }
  return true;
}

void Connection::SendResponse(uint64_t aExchange, HttpResponse aResponse)
{
  if (!StartResponse(aExchange)) {
    return;
  }
  AppendHead(aResponse.m_status,
             aResponse.m_headers,
             "Content-Length: " + std::to_string(aResponse.m_body.size()) +
               "\r\n");
  if (!m_isHead) {
    m_pendingOutput.append(aResponse.m_body);
  }
  m_responseQueued = true;
  Flush();
}

void Connection::StartStream(uint64_t aExchange,
                             int aStatus,
                             HttpHeaders aHeaders)
{
  if (!StartResponse(aExchange)) {
    return;
  }
  AppendHead(aStatus, aHeaders, "Transfer-Encoding: chunked\r\n");
  Flush();
}

void Connection::Write(uint64_t aExchange, std::string_view aData)
{
  if (!IsCurrent(aExchange) || aData.empty() || m_isHead) {
    return;
  }
  char size[24];
  auto end = std::to_chars(size, size + sizeof size, aData.size(), 16).ptr;
  m_pendingOutput.append(size, end).append("\r\n").append(aData).append("\r\n");
  Flush();
}

void Connection::Finish(uint64_t aExchange)
{
  if (!IsCurrent(aExchange) || m_responseQueued) {
    return;
  }
  m_pendingOutput.append(m_isHead ? "" : "0\r\n\r\n");
  m_responseQueued = true;
  Flush();
}

void Connection::Abort(uint64_t aExchange)
{
  if (!IsCurrent(aExchange) || !m_inExchange || m_responseQueued) {
    return;
  }
  m_onClosed = nullptr;
  Close();
}

void Connection::OnDrained(uint64_t aExchange, std::function<void()> aAction)
{
  if (IsCurrent(aExchange)) {
    m_onDrained = std::move(aAction);
  }
}

void Connection::OnClosed(uint64_t aExchange, std::function<void()> aAction)
{
  if (IsCurrent(aExchange)) {
    m_onClosed = std::move(aAction);
  }
}

void Connection::Flush()
{
  if (m_writeInProgress || m_closed) {
    return;
  }
  if (m_pendingOutput.empty()) {
    if (m_responseQueued) {
      CompleteExchange();
    } else if (m_onDrained) {
      auto action = m_onDrained;
      action();
    }
    return;
  }
  m_writeInProgress = true;
  m_writeBuffer.swap(m_pendingOutput);
  m_stream.expires_after(m_server->m_limits.m_writeStallTimeout);
  boost::asio::async_write(
    m_stream,
    boost::asio::buffer(m_writeBuffer),
    [self = shared_from_this()](error_code aError, size_t) {
      self->m_writeInProgress = false;
      self->m_writeBuffer.clear();
      if (aError) {
        self->Close();
        return;
      }
      self->m_stream.expires_never();
      self->Flush();
    });
}

void Connection::CompleteExchange()
{
  EndExchange();
  m_onClosed = nullptr;
  m_onDrained = nullptr;
  // Cancels the wait started by `WatchForDisconnect`.
  m_stream.cancel();
  if (!m_keepAlive) {
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    DiscardInput();
    return;
  }
  WaitForRequest();
}

/// Reads and discards the remaining input before closing. Closing a socket with
/// unread bytes resets the connection, and the caller could lose the response.
void Connection::DiscardInput()
{
  constexpr Duration kDiscardTimeout = seconds(1);
  constexpr size_t kDiscardChunkBytes = 16384;
  if (!m_isDiscardingInput) {
    m_isDiscardingInput = true;
    StartReadTimer(kDiscardTimeout);
  }
  m_buffer.clear();
  m_stream.async_read_some(
    m_buffer.prepare(kDiscardChunkBytes),
    [self = shared_from_this()](error_code aError, size_t) {
      if (aError) {
        self->Close();
        return;
      }
      self->DiscardInput();
    });
}

void Connection::Close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_readTimer.cancel();
  m_stream.close();
  auto action = std::move(m_onClosed);
  m_onClosed = nullptr;
  m_onDrained = nullptr;
  bool wasInExchange = m_inExchange;
  EndExchange();
  if (wasInExchange && action) {
    action();
  }
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(EventLoop& aLoop, HttpLimits aLimits, Handler aHandler)
    : m_acceptor(aLoop.Context().m_io)
    , m_state(std::make_shared<ServerState>())
  {
    m_state->m_limits = aLimits;
    m_state->m_handler = std::move(aHandler);
  }

  void Accept()
  {
    m_acceptor.async_accept(
      [self = shared_from_this()](error_code aError, tcp::socket aSocket) {
        if (!self->m_acceptor.is_open()) {
          return;
        }
        if (!aError) {
          std::make_shared<Connection>(std::move(aSocket), self->m_state)
            ->WaitForRequest();
        }
        self->Accept();
      });
  }

  tcp::acceptor m_acceptor;
  std::shared_ptr<ServerState> m_state;
};

HttpServer::HttpServer(EventLoop& aLoop, HttpLimits aLimits, Handler aHandler)
  : m_impl(std::make_shared<Impl>(aLoop, aLimits, std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  StopAccepting();
}

absl::StatusOr<uint16_t> HttpServer::Listen(const Endpoint& aListen)
{
  absl::Status opened = OpenAcceptor(m_impl->m_acceptor, aListen, "http");
  if (!opened.ok()) {
    return opened;
  }
  m_impl->Accept();
  error_code ignored;
  return m_impl->m_acceptor.local_endpoint(ignored).port();
}

void HttpServer::SetLimits(const HttpLimits& aLimits)
{
  m_impl->m_state->m_limits = aLimits;
}

void HttpServer::DisableKeepAlive()
{
  m_impl->m_state->m_keepAliveAllowed = false;
}

void HttpServer::StopAccepting()
{
  error_code ignored;
  m_impl->m_acceptor.close(ignored);
}

size_t HttpServer::OpenConnections() const
{
  return m_impl->m_state->m_openConnections;
}

size_t HttpServer::OpenExchanges() const
{
  return m_impl->m_state->m_openExchanges;
}

} // namespace persimmontally
