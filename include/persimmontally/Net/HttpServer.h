#ifndef PERSIMMONTALLY_NET_HTTPSERVER_H
#define PERSIMMONTALLY_NET_HTTPSERVER_H

#include "persimmontally/Net/HttpMessage.h"
#include "persimmontally/Support/ErrorKind.h"
#include "persimmontally/Support/Settings.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>

namespace persimmontally {

class CallerGuard;
class EventLoop;

/// Writes the response to one request, either at once or as a stream, now or
/// later. All calls are ignored once the caller has disconnected. Destroying
/// the writer before the response is complete aborts it.
class ResponseWriter
{
public:
  virtual ~ResponseWriter() = default;

  /// Sends a complete response.
  virtual void SendResponse(HttpResponse aResponse) = 0;
  /// Sends status and headers of a response whose body follows in parts.
  virtual void StartStream(int aStatus, HttpHeaders aHeaders) = 0;
  /// Queues a part of the streamed body.
  virtual void Write(std::string_view aData) = 0;
  /// Ends the streamed body.
  virtual void Finish() = 0;
  /// Closes the connection, so that the caller detects an incomplete response.
  virtual void Abort() = 0;
  /// Whether the caller still waits for the response, by what has arrived at
  /// this host by now.
  virtual bool IsCallerWaiting() const { return true; }
  /// Returns the number of response bytes not yet written to the socket.
  virtual size_t BufferedBytes() const = 0;
  /// Counts bytes that are kept elsewhere for this response, instead of those
  /// of the last call.
  virtual void SetKeptBytes(size_t /*aBytes*/) {}
  /// Sets the action that is called each time all queued bytes are written.
  virtual void OnDrained(std::function<void()> aAction) = 0;
  /// Sets the action that is called once if the caller disconnects before the
  /// response is complete.
  virtual void OnClosed(std::function<void()> aAction) = 0;
};

struct HttpLimits
{
  size_t m_maxHeaderBytes = 16384;
  size_t m_maxBodyBytes = 1 << 20;
  /// Time limit for reading one request, including its body.
  Duration m_headerTimeout = seconds(10);
  /// Longest time that a persistent connection waits for its next request.
  Duration m_idleTimeout = seconds(60);
  /// Time limit of one write; the connection is closed when it expires. Also
  /// the TCP user timeout of connections that are accepted later.
  Duration m_writeStallTimeout = seconds(30);
};

/// HTTP/1.1 server on Boost.Beast.
class HttpServer
{
public:
  using Handler =
    std::function<void(HttpRequest, std::shared_ptr<ResponseWriter>)>;

  HttpServer(EventLoop& aLoop, HttpLimits aLimits, Handler aHandler);
  ~HttpServer();

  /// Starts to listen and returns the port; for port 0 the system chooses one.
  /// Returns an error if the address cannot be bound.
  absl::StatusOr<uint16_t> Listen(const Endpoint& aListen);
  /// Replaces the limits. They apply to all reads and writes that start later.
  void SetLimits(const HttpLimits& aLimits);
  /// Sets the guard that bounds what callers of this and perhaps other servers
  /// may use together. Called before `Listen`; without it there is no bound.
  void SetGuard(std::shared_ptr<CallerGuard> aGuard);
  /// Disables persistent connections: each connection is closed after the
  /// next response that is started on it, which carries `Connection: close`.
  void DisableKeepAlive();
  /// Stops accepting connections; open ones are not affected.
  void StopAccepting();
  size_t OpenConnections() const;
  /// Returns the number of requests whose response is not yet written to the
  /// socket.
  size_t OpenExchanges() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
