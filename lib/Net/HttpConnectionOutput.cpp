#include "HttpConnection.h"

#include <charconv>
#include <utility>

namespace persimmontally {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Smaller amounts of output are not reported to the guard, and smaller buffers
/// are kept for the next response.
static constexpr size_t kSmallOutputBytes = size_t(4) << 10;

void HttpConnection::AppendHead(int aStatus,
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

void HttpConnection::BeginExchange()
{
  ++m_exchange;
  m_inExchange = true;
  ++m_server->m_openExchanges;
  m_isResponseStarted = false;
  m_responseQueued = false;
}

void HttpConnection::EndExchange()
{
  m_isServing = false;
  m_keptBytes = 0;
  if (std::exchange(m_inExchange, false)) {
    --m_server->m_openExchanges;
  }
}

/// Returns whether the response may start now. Breaks off a response that has
/// already started: the caller would take a second head for part of its body.
bool HttpConnection::StartResponse(uint64_t aExchange)
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

void HttpConnection::SendResponse(uint64_t aExchange, HttpResponse aResponse)
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
  m_keptBytes = 0;
  Flush();
}

void HttpConnection::StartStream(uint64_t aExchange,
                                 int aStatus,
                                 HttpHeaders aHeaders)
{
  if (!StartResponse(aExchange)) {
    return;
  }
  AppendHead(aStatus, aHeaders, "Transfer-Encoding: chunked\r\n");
  Flush();
}

void HttpConnection::Write(uint64_t aExchange, std::string_view aData)
{
  if (!IsCurrent(aExchange) || aData.empty() || m_isHead) {
    return;
  }
  char size[24];
  auto end = std::to_chars(size, size + sizeof size, aData.size(), 16).ptr;
  m_pendingOutput.append(size, end).append("\r\n").append(aData).append("\r\n");
  Flush();
}

void HttpConnection::Finish(uint64_t aExchange)
{
  if (!IsCurrent(aExchange) || m_responseQueued) {
    return;
  }
  m_pendingOutput.append(m_isHead ? "" : "0\r\n\r\n");
  m_responseQueued = true;
  Flush();
}

void HttpConnection::Abort(uint64_t aExchange)
{
  if (!IsCurrent(aExchange) || !m_inExchange || m_responseQueued) {
    return;
  }
  m_onClosed = nullptr;
  Close();
}

void HttpConnection::SetKeptBytes(uint64_t aExchange, size_t aBytes)
{
  if (IsCurrent(aExchange) && m_inExchange) {
    m_keptBytes = aBytes;
    ReportOutput();
  }
}

void HttpConnection::OnDrained(uint64_t aExchange,
                               std::function<void()> aAction)
{
  if (IsCurrent(aExchange)) {
    m_onDrained = std::move(aAction);
  }
}

void HttpConnection::OnClosed(uint64_t aExchange, std::function<void()> aAction)
{
  if (IsCurrent(aExchange)) {
    m_onClosed = std::move(aAction);
  }
}

void HttpConnection::Flush()
{
  ReportOutput();
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
  m_written = 0;
  m_stream.expires_after(m_server->m_limits.m_writeStallTimeout);
  WriteSome();
}

/// Writes the rest of the buffer. Each part that is taken is progress.
void HttpConnection::WriteSome()
{
  m_stream.async_write_some(
    boost::asio::buffer(m_writeBuffer) + m_written,
    [self = shared_from_this()](error_code aError, size_t aWritten) {
      self->m_written += aWritten;
      bool isDone = aError || self->m_written == self->m_writeBuffer.size();
      if (!isDone) {
        self->ReportOutput();
        self->WriteSome();
        return;
      }
      self->m_writeInProgress = false;
      self->m_written = 0;
      self->m_writeBuffer.clear();
      if (self->m_writeBuffer.capacity() > kSmallOutputBytes) {
        // Assigning an empty string would keep the memory.
        std::string().swap(self->m_writeBuffer);
      }
      if (aError) {
        self->Close();
        return;
      }
      self->m_stream.expires_never();
      self->Flush();
    });
}

void HttpConnection::ReportOutput()
{
  size_t bytes = BufferedBytes() + m_keptBytes;
  bytes = bytes < kSmallOutputBytes ? 0 : bytes;
  if (m_server->m_guard && std::exchange(m_reportedOutput, bytes) != bytes) {
    m_server->m_guard->SetOutput(m_callerId, bytes);
  }
}

void HttpConnection::CompleteExchange()
{
  EndExchange();
  m_onClosed = nullptr;
  m_onDrained = nullptr;
  // Cancels the wait started by `WatchForDisconnect`.
  m_stream.cancel();
  if (!m_keepAlive) {
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_reader.Drop();
    SetCallerState(CallerState::Closing, 0);
    DiscardInput();
    return;
  }
  WaitForRequest();
}

void HttpConnection::Close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_readTimer.cancel();
  m_stream.close();
  std::string().swap(m_pendingOutput);
  m_reader.Drop();
  if (m_server->m_guard) {
    m_server->m_guard->Close(m_callerId);
  }
  auto action = std::move(m_onClosed);
  m_onClosed = nullptr;
  m_onDrained = nullptr;
  bool wasInExchange = m_inExchange;
  EndExchange();
  if (wasInExchange && action) {
    action();
  }
}

} // namespace persimmontally
