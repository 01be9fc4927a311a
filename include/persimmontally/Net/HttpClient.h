#ifndef PERSIMMONTALLY_NET_HTTPCLIENT_H
#define PERSIMMONTALLY_NET_HTTPCLIENT_H

#include "persimmontally/Net/HttpMessage.h"
#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>

namespace persimmontally {

class EventLoop;

/// What a call reports while it goes on, always from the loop.
struct HttpCallEvents
{
  /// Just before the first byte of the request is written.
  std::function<void()> m_onSend;
  std::function<void(int aStatus, const HttpHeaders& aHeaders)> m_onHead;
  std::function<void(std::string_view aData)> m_onData;
  /// Once, at the end: OK only after a complete response.
  std::function<void(absl::Status aStatus)> m_onEnd;
};

struct HttpCallTimeouts
{
  Duration m_connect = seconds(1);
  /// Longest silence of the server, before and during the response.
  Duration m_idle = seconds(30);
};

/// One running request. Destroying the handle does not cancel it.
class HttpCall
{
public:
  virtual ~HttpCall() = default;
  /// Closes the connection. No event follows.
  virtual void Cancel() = 0;
  /// Stops reading, so that the server's writes are held back.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

struct IdleConnections;

/// Connections that servers keep open between calls.
class HttpConnectionPool
{
public:
  /// Idle connections kept for one server.
  static constexpr size_t kMaxIdlePerServer = 8;
  /// A connection that was idle for longer is not used again: servers may drop
  /// idle connections without notice.
  static constexpr Duration kMaxIdle = seconds(4);

  explicit HttpConnectionPool(EventLoop& aLoop);
  ~HttpConnectionPool();

  /// Starts a request on a kept connection, or on a new one.
  std::shared_ptr<HttpCall> Start(const Endpoint& aServer,
                                  HttpRequest aRequest,
                                  HttpCallTimeouts aTimeouts,
                                  HttpCallEvents aEvents);
  /// Closes what has been idle for too long.
  void Tick();
  /// Calls that a kept connection served, and that needed a new one.
  uint64_t Reused() const;
  uint64_t Opened() const;

private:
  EventLoop& m_loop;
  std::shared_ptr<IdleConnections> m_idle;
};

/// Starts a request on a connection of its own.
std::shared_ptr<HttpCall> StartHttpCall(EventLoop& aLoop,
                                        const Endpoint& aServer,
                                        HttpRequest aRequest,
                                        HttpCallTimeouts aTimeouts,
                                        HttpCallEvents aEvents);

/// Starts a request whose whole response is wanted at once.
std::shared_ptr<HttpCall> StartWholeHttpCall(
  EventLoop& aLoop,
  const Endpoint& aServer,
  HttpRequest aRequest,
  HttpCallTimeouts aTimeouts,
  std::function<void(absl::Status, HttpResponse)> aOnEnd);

} // namespace persimmontally

#endif
