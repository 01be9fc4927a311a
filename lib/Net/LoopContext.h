#ifndef PERSIMMONTALLY_LIB_NET_LOOPCONTEXT_H
#define PERSIMMONTALLY_LIB_NET_LOOPCONTEXT_H

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace persimmontally {

/// The Asio side of an event loop, for this library's own sources.
struct LoopContext
{
  boost::asio::io_context m_io{ 1 };
  boost::asio::signal_set m_signals{ m_io };
  boost::asio::signal_set m_reloadSignals{ m_io };
};

template<class Protocol>
typename Protocol::endpoint ToAsio(const Endpoint& aEndpoint)
{
  return { boost::asio::ip::make_address(aEndpoint.m_address),
           aEndpoint.m_port };
}

/// How soon a connection that has gone silent is given up.
struct SilenceLimits
{
  /// Bytes that stay unacknowledged for this long end the connection.
  Duration m_unacknowledged = milliseconds(2500);
  /// Idle time before the first of `kProbes` probes, and between them.
  Duration m_probeAfter = seconds(1);
  static constexpr int kProbes = 3;
};

/// Sets no-delay, and has the kernel find out peers that no longer answer: a
/// connection can go silent without a reset.
void ConfigureSocket(boost::asio::ip::tcp::socket& aSocket,
                     const SilenceLimits& aLimits = {});

/// Opens, binds and listens. The error names the protocol and the address.
absl::Status OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor,
                          const Endpoint& aListen,
                          const char* aProtocol);

} // namespace persimmontally

#endif
