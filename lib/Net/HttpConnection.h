#ifndef PERSIMMONTALLY_LIB_NET_HTTPCONNECTION_H
#define PERSIMMONTALLY_LIB_NET_HTTPCONNECTION_H

#include "LoopContext.h"
#include "RequestReader.h"

#include "persimmontally/Net/CallerGuard.h"
#include "persimmontally/Net/HttpServer.h"

#include <boost/beast/core.hpp>

#include <memory>
#include <string>
#include <vector>

namespace persimmontally {

/// State shared by all connections of one server.
struct HttpServerState
{
  HttpLimits m_limits;
  HttpServer::Handler m_handler;
  /// Null if the server has no budget.
  std::shared_ptr<CallerGuard> m_guard;
  bool m_keepAliveAllowed = true;
  size_t m_openConnections = 0;
  size_t m_openExchanges = 0;
};

/// Connection of one caller. Reads a request, passes it to the handler, writes
/// the response and then waits for the next request.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(boost::asio::ip::tcp::socket aSocket,
                 std::shared_ptr<HttpServerState> aServer);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Starts to read requests, unless there is no room for the connection.
  void Start();

  // Called by the writer of the response. Calls for an earlier exchange are
  // ignored.
  void SendResponse(uint64_t aExchange, HttpResponse aResponse);
  void StartStream(uint64_t aExchange, int aStatus, HttpHeaders aHeaders);
  void Write(uint64_t aExchange, std::string_view aData);
  void Finish(uint64_t aExchange);
  void Abort(uint64_t aExchange);
  bool IsCallerWaiting(uint64_t aExchange) const;
  size_t BufferedBytes() const
  {
    return m_pendingOutput.size() + m_writeBuffer.size() - m_written;
  }
  void SetKeptBytes(uint64_t aExchange, size_t aBytes);
  void OnDrained(uint64_t aExchange, std::function<void()> aAction);
  void OnClosed(uint64_t aExchange, std::function<void()> aAction);

private:
  using error_code = boost::system::error_code;

  // Reading of requests, in HttpConnectionInput.cpp.
  void WaitForRequest();
  void ReadRequest();
  void ContinueReading(size_t aReceived);
  void StartReadTimer(Duration aLimit);
  void HandleRequest();
  void RefuseUnreadableRequest(const error_code& aError);
  void RefuseRequest(ErrorKind aKind, const std::string& aReason);
  void OnEvicted(EvictionReason aReason);
  void DiscardInput();
  void WatchForDisconnect();

  // Writing of responses, in HttpConnectionOutput.cpp.
  bool IsCurrent(uint64_t aExchange) const
  {
    return aExchange == m_exchange && !m_closed;
  }
  void AppendHead(int aStatus,
                  const HttpHeaders& aHeaders,
                  std::string aLength);
  void BeginExchange();
  void EndExchange();
  bool StartResponse(uint64_t aExchange);
  void Flush();
  void WriteSome();
  void ReportOutput();
  void CompleteExchange();
  void Close();

  void SetCallerState(CallerState aState, size_t aInputBytes);

  /// Mutable, because queries of the socket are not const.
  mutable boost::beast::tcp_stream m_stream;
  boost::asio::steady_timer m_readTimer;
  bool m_readTimedOut = false;
  std::shared_ptr<HttpServerState> m_server;
  /// Id at the guard of the server.
  uint64_t m_callerId = 0;
  RequestReader m_reader;
  bool m_isReading = false;
  std::vector<char> m_discardBuffer;
  size_t m_discardedBytes = 0;
  /// Number of the current request on this connection. Calls of writers with
  /// a lower number are ignored.
  uint64_t m_exchange = 0;
  bool m_keepAlive = false;
  bool m_isHead = false;
  bool m_closed = false;
  bool m_isResponseStarted = false;
  bool m_responseQueued = false;
  bool m_writeInProgress = false;
  bool m_inExchange = false;
  /// Whether the handler has the request of the exchange.
  bool m_isServing = false;
  std::string m_pendingOutput;
  std::string m_writeBuffer;
  /// Bytes of `m_writeBuffer` that are written.
  size_t m_written = 0;
  /// Bytes of the response that are kept elsewhere.
  size_t m_keptBytes = 0;
  /// Bytes of output that the guard knows of.
  size_t m_reportedOutput = 0;
  std::function<void()> m_onDrained;
  std::function<void()> m_onClosed;
};

/// Returns the writer of the response to a request on a connection.
std::shared_ptr<ResponseWriter> MakeResponseWriter(
  std::shared_ptr<HttpConnection> aConnection,
  uint64_t aExchange);

} // namespace persimmontally

#endif
