// Shutdown after the open requests have ended, or shortly before the process is
// killed.

#include "RoutedHostImpl.h"

#include "persimmontally/Support/Log.h"

namespace persimmontally {

/// How often a host that is shutting down checks whether its open requests have
/// ended.
static constexpr Duration kDrainPollPeriod = milliseconds(20);
/// Time for the last writes to leave the sockets.
static constexpr Duration kFinalWriteTime = milliseconds(50);
/// Time before the process is killed at which a host that is shutting down ends
/// its open requests, and the time that it then leaves to send their responses.
static constexpr Duration kEndRequestsBefore = milliseconds(500);
static constexpr Duration kLastSendTime = milliseconds(300);

void RoutedHost::Impl::BeginShutdown()
{
  if (std::exchange(m_isShuttingDown, true)) {
    return;
  }
  const Settings& settings = m_core.Config();
  size_t open = m_gateway ? m_gateway->OpenRequests() : 0;
  WriteLog(LogLevel::Info,
           "shutdown_begins",
           { { "open_requests", open },
             { "limit_ms", ToMilliseconds(settings.m_shutdownLimit) } });
  if (settings.m_shutdownLimit > Duration(0)) {
    Duration time =
      std::max(Duration(0), settings.m_shutdownLimit - kEndRequestsBefore);
    if (m_gateway) {
      m_gateway->BeginShutdown(m_loop.Now() + time);
    }
    m_endTimer = m_loop.RunAfter(time, [this] { EndRequests(); });
  }
  // The control API has no load balancer that has to learn of the shutdown.
  Duration grace = m_gateway ? settings.m_shutdownGrace : Duration(0);
  m_shutdownTimer = m_loop.RunAfter(grace, [this] {
    StopAccepting();
    ContinueShutdown();
  });
}

void RoutedHost::Impl::StopAccepting()
{
  if (m_gateway) {
    m_gateway->StopAcceptingRequests();
  }
  for (HttpServer* server : { m_callerServer.get(), m_operatorServer.get() }) {
    if (server != nullptr) {
      server->DisableKeepAlive();
      server->StopAccepting();
    }
  }
}

/// Returns whether a caller or an operator still waits for a response, or for
/// the rest of one.
bool RoutedHost::Impl::HasOpenExchanges() const
{
  return (m_gateway && m_gateway->OpenRequests() > 0) ||
         (m_callerServer && m_callerServer->OpenExchanges() > 0) ||
         (m_operatorServer && m_operatorServer->OpenExchanges() > 0);
}

/// Ends the open requests and, once their responses have been sent or the time
/// for that has passed, the host.
void RoutedHost::Impl::EndRequests()
{
  StopAccepting();
  if (m_gateway) {
    WriteLog(LogLevel::Info,
             "shutdown_ends_requests",
             { { "open_requests", m_gateway->OpenRequests() } });
    m_gateway->EndRequests();
  }
  m_endTimer = m_loop.RunAfter(kLastSendTime, [this] { EndHost(); });
  ContinueShutdown();
}

void RoutedHost::Impl::ContinueShutdown()
{
  if (HasOpenExchanges()) {
    m_shutdownTimer =
      m_loop.RunAfter(kDrainPollPeriod, [this] { ContinueShutdown(); });
    return;
  }
  EndHost();
}

void RoutedHost::Impl::EndHost()
{
  m_endTimer.Cancel();
  m_core.Leave();
  m_shutdownTimer = m_loop.RunAfter(kFinalWriteTime, [this] {
    WriteLog(LogLevel::Info, "shutdown_ends", {});
    m_loop.Stop();
  });
}

} // namespace persimmontally
