#ifndef PERSIMMONTALLY_NET_HTTPSERVER_H
#define PERSIMMONTALLY_NET_HTTPSERVER_H

#include "persimmontally/Net/HttpMessage.h"
#include "persimmontally/Support/ErrorKind.h"
#include "persimmontally/Support/Settings.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>

namespace persimmontally {

class EventLoop;

/// Answer to one request. Its holder may answer at any later time, whole or as
/// a stream; after the caller has gone every call does nothing.
class ResponseWriter
{
public:
  virtual ~ResponseWriter() = default;

  virtual void SendWhole(HttpResponse aResponse) = 0;
  virtual void StartStream(int aStatus, HttpHeaders aHeaders) = 0;
  /// Queues a piece of the streamed body.
  virtual void Write(std::string_view aData) = 0;
  /// Ends the streamed body.
  virtual void Finish() = 0;
  /// Closes the connection, so that the caller sees an incomplete answer.
  virtual void Abort() = 0;
  /// Bytes that wait for the caller to read.
  virtual size_t BufferedBytes() const = 0;
  /// Called each time the waiting bytes have been written.
  virtual void OnDrained(std::function<void()> aAction) = 0;
  /// Called once if the caller goes away before the answer is complete.
  virtual void OnClosed(std::function<void()> aAction) = 0;
};

struct HttpLimits
{
  size_t m_maxHeaderBytes = 16384;
  size_t m_maxBodyBytes = 1 << 20;
  Duration m_headerTimeout = seconds(10);
  /// Longest time that a kept connection may wait for its next request.
  Duration m_idleTimeout = seconds(60);
  /// Time for one write to make progress before the caller is dropped.
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

  /// Listens and returns the port, which the system chooses when 0 is asked.
  absl::StatusOr<uint16_t> Listen(const Endpoint& aListen);
  /// Applies to what is read from now on.
  void SetLimits(const HttpLimits& aLimits);
  /// Closes each connection after its present answer, and says so in it.
  void StopKeepingConnections();
  /// Takes no further connections; open ones go on.
  void StopAccepting();
  size_t OpenConnections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
