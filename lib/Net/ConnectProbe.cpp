#include "persimmontally/Net/ConnectProbe.h"

#include "LoopContext.h"
#include "persimmontally/Net/EventLoop.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <memory>
#include <utility>

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

ProbeAnswer ToProbeAnswer(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return ProbeAnswer::Connected;
  }
  return absl::IsUnavailable(aStatus) ? ProbeAnswer::Refused
                                      : ProbeAnswer::Unanswered;
}

namespace {

/// Probes of one process, one after the other.
class ProcessProbe : public std::enable_shared_from_this<ProcessProbe>
{
public:
  ProcessProbe(EventLoop& aLoop,
               Endpoint aServer,
               std::function<void(ProbeAnswer)> aOnEnd)
    : m_loop(aLoop)
    , m_server(std::move(aServer))
    , m_onEnd(std::move(aOnEnd))
  {
  }

  void Start()
  {
    ++m_probes;
    m_startedAt = m_loop.Now();
    ProbeConnection(m_loop,
                    m_server,
                    kProcessProbeTimeout,
                    [self = shared_from_this()](const absl::Status& aStatus) {
                      self->OnAnswer(ToProbeAnswer(aStatus));
                    });
  }

private:
  void OnAnswer(ProbeAnswer aAnswer)
  {
    if (aAnswer != ProbeAnswer::Unanswered || m_probes == kMaxProcessProbes) {
      m_onEnd(aAnswer);
      return;
    }
    // An error of this host, such as a lack of descriptors, comes at once.
    Duration wait = m_startedAt + kProcessProbeTimeout - m_loop.Now();
    m_timer = m_loop.RunAfter(std::max(wait, Duration(0)),
                              [self = shared_from_this()] { self->Start(); });
  }

  EventLoop& m_loop;
  Endpoint m_server;
  std::function<void(ProbeAnswer)> m_onEnd;
  int m_probes = 0;
  Instant m_startedAt{};
  Timer m_timer;
};

} // namespace

void ProbeProcess(EventLoop& aLoop,
                  const Endpoint& aServer,
                  std::function<void(ProbeAnswer)> aOnEnd)
{
  std::make_shared<ProcessProbe>(aLoop, aServer, std::move(aOnEnd))->Start();
}

} // namespace persimmontally
