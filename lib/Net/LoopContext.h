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

/// Asio objects of an event loop; private to this library, so that its public
/// headers do not include Asio.
struct LoopContext
{
  boost::asio::io_context m_io{ 1 };
  boost::asio::signal_set m_terminateSignals{ m_io };
  boost::asio::signal_set m_reloadSignals{ m_io };
};

template<class Protocol>
typename Protocol::endpoint ToAsio(const Endpoint& aEndpoint)
{
  return { boost::asio::ip::make_address(aEndpoint.m_address),
           aEndpoint.m_port };
}

/// TCP settings that bound how long a dead connection stays undetected.
struct KeepaliveSettings
{
  /// The kernel closes a connection whose sent bytes stay unacknowledged for
  /// this long (`TCP_USER_TIMEOUT`).
  Duration m_userTimeout = milliseconds(2500);
  /// Idle time before the first of `kMaxProbes` keepalive probes, and the time
  /// between probes. Rounded down to whole seconds, at least one.
  Duration m_probeInterval = seconds(1);
  static constexpr int kMaxProbes = 3;
};

/// Disables Nagle's algorithm and enables the detection of dead peers by the
/// kernel: a peer can become unreachable without the connection being reset.
void ConfigureSocket(boost::asio::ip::tcp::socket& aSocket,
                     const KeepaliveSettings& aSettings = {});

/// Opens and binds the acceptor and starts to listen. The error names
/// `aProtocol` and the address.
absl::Status OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor,
                          const Endpoint& aListen,
                          const char* aProtocol);

} // namespace persimmontally

#endif
