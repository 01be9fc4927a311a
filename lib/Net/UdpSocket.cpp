#include "persimmontally/Net/UdpSocket.h"

#include "LoopContext.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace persimmontally {

using boost::asio::ip::udp;
using boost::system::error_code;

struct UdpSocket::Impl : std::enable_shared_from_this<UdpSocket::Impl>
{
  explicit Impl(EventLoop& aLoop)
    : m_socket(aLoop.Context().m_io)
  {
  }

  void Receive()
  {
    m_socket.async_receive_from(
      boost::asio::buffer(m_buffer),
      m_sender,
      [self = shared_from_this()](error_code aError, size_t aSize) {
        if (aError == boost::asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          Endpoint from{ self->m_sender.address().to_string(),
                         self->m_sender.port() };
          self->m_receiver(from, { self->m_buffer.data(), aSize });
        }
        if (self->m_socket.is_open()) {
          self->Receive();
        }
      });
  }

  udp::socket m_socket;
  udp::endpoint m_sender;
  std::array<char, 65536> m_buffer{};
  Receiver m_receiver;
};

UdpSocket::UdpSocket(EventLoop& aLoop)
  : m_impl(std::make_shared<Impl>(aLoop))
{
}

UdpSocket::~UdpSocket()
{
  Close();
}

absl::Status UdpSocket::Open(const Endpoint& aListen, Receiver aReceiver)
{
  error_code error;
  auto endpoint = ToAsio<udp>(aListen);
  m_impl->m_socket.open(endpoint.protocol(), error);
  if (!error) {
    m_impl->m_socket.bind(endpoint, error);
  }
  if (error) {
    return absl::UnavailableError("udp " + ToString(aListen) + ": " +
                                  error.message());
  }
  m_impl->m_socket.non_blocking(true, error);
  m_impl->m_receiver = std::move(aReceiver);
  m_impl->Receive();
  return absl::OkStatus();
}

void UdpSocket::Send(const Endpoint& aTo, std::string_view aData)
{
  error_code ignored;
  m_impl->m_socket.send_to(boost::asio::buffer(aData.data(), aData.size()),
                           ToAsio<udp>(aTo),
                           0,
                           ignored);
}

void UdpSocket::Close()
{
  error_code ignored;
  m_impl->m_socket.close(ignored);
}

} // namespace persimmontally
