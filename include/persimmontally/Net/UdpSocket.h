#ifndef PERSIMMONTALLY_NET_UDPSOCKET_H
#define PERSIMMONTALLY_NET_UDPSOCKET_H

#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmontally {

class EventLoop;

/// UDP socket for datagrams between hosts. Sending never blocks: a datagram
/// that the kernel does not accept at once is dropped, like one lost in the
/// network.
class UdpSocket
{
public:
  using Receiver =
    std::function<void(const Endpoint& aFrom, std::string_view aData)>;

  explicit UdpSocket(EventLoop& aLoop);
  ~UdpSocket();

  /// Binds the address and passes each received datagram to the receiver.
  /// Returns an error if the address cannot be bound.
  absl::Status Open(const Endpoint& aListen, Receiver aReceiver);
  void Send(const Endpoint& aTo, std::string_view aData);
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
