#include "persimmontally/Net/HttpServer.h"

#include "HttpConnection.h"

namespace persimmontally {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Time until the next attempt to accept a connection where the system has no
/// descriptor or memory for one.
static constexpr Duration kAcceptPause = milliseconds(20);

namespace {

class Writer : public ResponseWriter
{
public:
  Writer(std::shared_ptr<HttpConnection> aConnection, uint64_t aExchange)
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
  bool IsCallerWaiting() const override
  {
    return m_connection->IsCallerWaiting(m_exchange);
  }
  size_t BufferedBytes() const override
  {
    return m_connection->BufferedBytes();
  }
  void SetKeptBytes(size_t aBytes) override
  {
    m_connection->SetKeptBytes(m_exchange, aBytes);
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
  std::shared_ptr<HttpConnection> m_connection;
  uint64_t m_exchange;
};

} // namespace

std::shared_ptr<ResponseWriter> MakeResponseWriter(
  std::shared_ptr<HttpConnection> aConnection,
  uint64_t aExchange)
{
  return std::make_shared<Writer>(std::move(aConnection), aExchange);
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(EventLoop& aLoop, HttpLimits aLimits, Handler aHandler)
    : m_acceptor(aLoop.Context().m_io)
    , m_acceptTimer(aLoop.Context().m_io)
    , m_state(std::make_shared<HttpServerState>())
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
          std::make_shared<HttpConnection>(std::move(aSocket), self->m_state)
            ->Start();
        } else if (aError != boost::asio::error::connection_aborted) {
          self->PauseAccepting();
          return;
        }
        self->Accept();
      });
  }

  void PauseAccepting()
  {
    m_acceptTimer.expires_after(kAcceptPause);
    m_acceptTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError && self->m_acceptor.is_open()) {
        self->Accept();
      }
    });
  }

  tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_acceptTimer;
  std::shared_ptr<HttpServerState> m_state;
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

void HttpServer::SetGuard(std::shared_ptr<CallerGuard> aGuard)
{
  m_impl->m_state->m_guard = std::move(aGuard);
}

void HttpServer::DisableKeepAlive()
{
  m_impl->m_state->m_keepAliveAllowed = false;
}

void HttpServer::StopAccepting()
{
  error_code ignored;
  m_impl->m_acceptor.close(ignored);
  m_impl->m_acceptTimer.cancel();
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
