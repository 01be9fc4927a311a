#include "persimmontally/Net/ConnectProbe.h"

#include "LoopContext.h"
#include "persimmontally/Net/EventLoop.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace persimmontally {

void ProbeConnection(EventLoop& aLoop,
                     const Endpoint& aServer,
                     Duration aTimeout,
                     std::function<void(absl::Status)> aOnEnd)
{
  using boost::asio::ip::tcp;
  auto stream =
    std::make_shared<boost::beast::tcp_stream>(aLoop.Context().m_io);
  stream->expires_after(aTimeout);
  stream->async_connect(
    ToAsio<tcp>(aServer),
    [stream, onEnd = std::move(aOnEnd)](boost::system::error_code aError) {
      stream->close();
      if (!aError) {
        onEnd(absl::OkStatus());
      } else if (aError == boost::asio::error::connection_refused) {
        onEnd(absl::UnavailableError(aError.message()));
      } else if (aError == boost::beast::error::timeout) {
        onEnd(absl::DeadlineExceededError(aError.message()));
      } else {
        onEnd(absl::UnknownError(aError.message()));
      }
    });
}

} // namespace persimmontally
