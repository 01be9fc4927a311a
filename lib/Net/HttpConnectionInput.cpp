#include "HttpConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace persimmontally {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// What is read of a refused caller before its connection is closed.
static constexpr size_t kMaxDiscardedBytes = size_t(512) << 10;
static constexpr size_t kDiscardReadBytes = size_t(16) << 10;
static constexpr Duration kDiscardTimeout = seconds(1);

HttpConnection::HttpConnection(tcp::socket aSocket,
                               std::shared_ptr<HttpServerState> aServer)
  : m_stream(std::move(aSocket))
  , m_readTimer(m_stream.get_executor())
  , m_server(std::move(aServer))
{
  ++m_server->m_openConnections;
  ConfigureSocket(m_stream.socket(),
                  { m_server->m_limits.m_writeStallTimeout, seconds(5) });
}

HttpConnection::~HttpConnection()
{
  EndExchange();
  if (m_server->m_guard) {
    m_server->m_guard->Close(m_callerId);
  }
  --m_server->m_openConnections;
}

void HttpConnection::Start()
{
  if (m_server->m_guard) {
    error_code error;
    auto remote = m_stream.socket().remote_endpoint(error);
    m_callerId = m_server->m_guard->Open(
      error ? "" : remote.address().to_string(),
      [weak = weak_from_this()](EvictionReason aReason) {
        if (auto self = weak.lock()) {
          self->OnEvicted(aReason);
        }
      });
    if (m_callerId == 0) {
      Close();
      return;
    }
  }
  WaitForRequest();
}

void HttpConnection::SetCallerState(CallerState aState, size_t aInputBytes)
{
  if (m_server->m_guard) {
    m_server->m_guard->SetInput(m_callerId, aInputBytes);
    m_server->m_guard->SetState(m_callerId, aState);
  }
}

/// Waits for the first byte of a request, at most for the idle timeout.
void HttpConnection::WaitForRequest()
{
  if (m_reader.HasBufferedBytes()) {
    ReadRequest();
    return;
  }
  m_reader.Drop();
  SetCallerState(CallerState::Idle, 0);
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

void HttpConnection::ReadRequest()
{
  m_reader.Begin(m_server->m_limits);
  m_isReading = true;
  SetCallerState(CallerState::Reading, m_reader.HeldBytes());
  StartReadTimer(m_server->m_limits.m_headerTimeout);
  ContinueReading(0);
}

void HttpConnection::ContinueReading(size_t aReceived)
{
  auto progress = m_reader.Feed(aReceived);
  if (progress != RequestReader::Progress::NeedsMore) {
    m_readTimer.cancel();
    m_isReading = false;
    if (progress == RequestReader::Progress::Complete) {
      HandleRequest();
    } else {
      RefuseUnreadableRequest(m_reader.Error());
    }
    return;
  }
  auto buffer = m_reader.Prepare();
  if (m_server->m_guard) {
    m_server->m_guard->SetInput(m_callerId, m_reader.HeldBytes());
  }
  m_stream.async_read_some(
    buffer, [self = shared_from_this()](error_code aError, size_t aReceived) {
      // The request may have been refused meanwhile.
      if (self->m_closed || !self->m_isReading) {
        return;
      }
      // A timeout that expires when the read is already complete cannot cancel
      // it.
      if (self->m_readTimedOut) {
        aError = beast::error::timeout;
      }
      if (aError) {
        self->m_readTimer.cancel();
        self->m_isReading = false;
        self->RefuseUnreadableRequest(aError);
        return;
      }
      self->ContinueReading(aReceived);
    });
}

/// Cancels the current read after `aLimit`. The expiry of `tcp_stream` is not
/// used, because it closes the socket and no response could be sent.
void HttpConnection::StartReadTimer(Duration aLimit)
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
void HttpConnection::RefuseUnreadableRequest(const error_code& aError)
{
  bool isTimeout = aError == beast::error::timeout;
  bool isParserError =
    aError.category() ==
    http::make_error_code(http::error::bad_method).category();
  if ((!isTimeout && !isParserError) || (isTimeout && !m_reader.HasStarted())) {
    Close();
    return;
  }
  ErrorKind kind = ErrorKind::MalformedRequest;
  if (aError == http::error::header_limit) {
    kind = ErrorKind::HeaderTooLarge;
  } else if (aError == http::error::body_limit) {
    kind = ErrorKind::BodyTooLarge;
  } else if (isTimeout) {
    kind = ErrorKind::RequestTimeout;
  }
  if (m_server->m_guard) {
    m_server->m_guard->RecordUnreadable(LookUpError(kind).m_name);
  }
  RefuseRequest(kind, aError.message());
}

/// Refuses a request that was not passed to the handler, and closes the
/// connection.
void HttpConnection::RefuseRequest(ErrorKind aKind, const std::string& aReason)
{
  m_isReading = false;
  m_readTimer.cancel();
  m_reader.Drop();
  SetCallerState(CallerState::Closing, 0);
  BeginExchange();
  m_keepAlive = false;
  m_isHead = false;
  Refusal refusal = RefusalBuilder(aKind, aReason).Build();
  HttpHeaders headers = { { "Content-Type", "application/json" } };
  if (refusal.m_retryAfter.count() > 0) {
    headers.push_back(
      { "Retry-After",
        std::to_string(static_cast<int>(ToSeconds(refusal.m_retryAfter))) });
  }
  SendResponse(m_exchange,
               HttpResponse{ LookUpError(aKind).m_httpStatus,
                             std::move(headers),
                             RefusalBody(refusal, "") });
}

/// Ends the connection because the host needs what it holds.
void HttpConnection::OnEvicted(EvictionReason aReason)
{
  if (m_closed) {
    return;
  }
  if (aReason == EvictionReason::SlowReader) {
    Close();
    return;
  }
  // A request that has become complete meanwhile is served.
  if (m_isServing) {
    return;
  }
  if (!m_isReading || aReason == EvictionReason::IdleLongest) {
    Close();
    return;
  }
  m_stream.cancel();
  RefuseRequest(ErrorKind::Overloaded, "too many requests are held");
}

void HttpConnection::HandleRequest()
{
  size_t heldBytes = m_reader.HeldBytes();
  auto message = m_reader.Release();
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
  SetCallerState(CallerState::Serving, heldBytes);
  m_isServing = true;
  BeginExchange();
  m_onDrained = nullptr;
  m_onClosed = nullptr;
  WatchForDisconnect();
  auto writer = MakeResponseWriter(shared_from_this(), m_exchange);
  m_server->m_handler(std::move(request), std::move(writer));
}

/// Closes the connection if the caller disconnects before its response is
/// complete.
void HttpConnection::WatchForDisconnect()
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

/// Unlike a read, also finds a close that lies behind unread bytes.
bool HttpConnection::IsCallerWaiting(uint64_t aExchange) const
{
  if (!IsCurrent(aExchange) || !m_stream.socket().is_open()) {
    return false;
  }
  tcp_info info{};
  socklen_t size = sizeof info;
  int got = ::getsockopt(
    m_stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return got != 0 || info.tcpi_state == TCP_ESTABLISHED;
}

/// Reads and discards some of the remaining input before closing. Closing a
/// socket with unread bytes resets the connection, and the caller could lose
/// the response.
void HttpConnection::DiscardInput()
{
  if (m_discardBuffer.empty()) {
    m_discardBuffer.resize(kDiscardReadBytes);
    StartReadTimer(kDiscardTimeout);
  }
  m_stream.async_read_some(
    boost::asio::buffer(m_discardBuffer),
    [self = shared_from_this()](error_code aError, size_t aReceived) {
      self->m_discardedBytes += aReceived;
      if (aError || self->m_readTimedOut ||
          self->m_discardedBytes > kMaxDiscardedBytes) {
        self->Close();
        return;
      }
      self->DiscardInput();
    });
}

} // namespace persimmontally
