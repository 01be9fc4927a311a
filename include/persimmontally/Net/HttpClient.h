#ifndef PERSIMMONTALLY_NET_HTTPCLIENT_H
#define PERSIMMONTALLY_NET_HTTPCLIENT_H

#include "persimmontally/Net/HttpMessage.h"
#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>

namespace persimmontally {

class EventLoop;

/// Callbacks of a call, invoked on the event loop. Each of them may be empty.
struct HttpCallEvents
{
  /// Called just before the first byte of the request is written.
  std::function<void()> m_onSend;
  /// Called once the status line and all headers have been read.
  std::function<void(int aStatus, const HttpHeaders& aHeaders)> m_onHead;
  /// Called for each part of the body, in order.
  std::function<void(std::string_view aData)> m_onData;
  /// Called once at the end, unless the call was cancelled. OK means that the
  /// response is complete. `Unavailable`: there was no connection, and nothing
  /// was sent. `Aborted`: the server, or the network, has ended the connection.
  /// `DataLoss`: the response cannot be parsed and this side has ended the
  /// connection; the server may still be at work on the request, and so it may
  /// after `DeadlineExceeded`.
  std::function<void(absl::Status aStatus)> m_onEnd;
};

struct HttpCallTimeouts
{
  Duration m_connect = seconds(1);
  /// Time limit for sending the request and reading the response headers, and
  /// then for each read of the body.
  Duration m_idle = seconds(30);
  /// Time for which the rest of a response that cannot be parsed is discarded,
  /// to find out whether the server ends the connection.
  Duration m_unparsed{ 0 };
};

/// Handle of a running request. Destroying it does not cancel the request.
class HttpCall
{
public:
  virtual ~HttpCall() = default;
  /// Closes the connection. No callback is invoked afterwards.
  virtual void Cancel() = 0;
  /// Starts no further read of the response body, so that TCP flow control
  /// blocks the server. No timeout applies while no read is pending.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
  /// Whether the connection has carried an earlier request.
  virtual bool IsReused() const = 0;
  /// Closes the connection at the end of the response, so that no later
  /// request finds bytes on it that belong to this one.
  virtual void CloseAtEnd() = 0;
};

struct IdleConnections;

/// Pool of persistent connections that are reused by later calls.
class HttpConnectionPool
{
public:
  /// Largest number of idle connections per server.
  static constexpr size_t kMaxIdlePerServer = 8;
  /// A connection that was idle for longer is not reused: servers may drop idle
  /// connections without notice.
  static constexpr Duration kMaxIdleTime = seconds(4);

  explicit HttpConnectionPool(EventLoop& aLoop);
  ~HttpConnectionPool();

  /// Starts a request on an idle connection of the pool, or on a new one.
  std::shared_ptr<HttpCall> Start(const Endpoint& aServer,
                                  HttpRequest aRequest,
                                  HttpCallTimeouts aTimeouts,
                                  HttpCallEvents aEvents);
  /// Closes the connections that have been idle for longer than
  /// `kMaxIdleTime`. To be called periodically.
  void Tick();
  /// Number of calls that reused a connection.
  uint64_t ReusedCount() const;
  /// Number of calls that needed a new connection.
  uint64_t OpenedCount() const;

private:
  EventLoop& m_loop;
  std::shared_ptr<IdleConnections> m_idleConnections;
};

/// Starts a request on a new connection that is closed afterwards.
std::shared_ptr<HttpCall> StartHttpCall(EventLoop& aLoop,
                                        const Endpoint& aServer,
                                        HttpRequest aRequest,
                                        HttpCallTimeouts aTimeouts,
                                        HttpCallEvents aEvents);

/// Largest response body that a buffered call keeps, in bytes.
constexpr size_t kMaxBufferedBody = size_t(16) << 20;
/// The same for a call whose response body is not used.
constexpr size_t kMaxUnusedBody = size_t(64) << 10;

/// Starts a request on a new connection and calls `aOnEnd` once with the whole
/// response. If the status is not OK, the response is incomplete or empty;
/// `ResourceExhausted` if its body exceeds `aMaxBodyBytes`.
std::shared_ptr<HttpCall> StartBufferedHttpCall(
  EventLoop& aLoop,
  const Endpoint& aServer,
  HttpRequest aRequest,
  HttpCallTimeouts aTimeouts,
  std::function<void(absl::Status, HttpResponse)> aOnEnd,
  size_t aMaxBodyBytes = kMaxBufferedBody);

} // namespace persimmontally

#endif
