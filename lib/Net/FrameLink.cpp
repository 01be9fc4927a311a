#include "persimmontally/Net/FrameLink.h"

#include "LoopContext.h"
#include "persimmontally/Net/CallerGuard.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <map>

namespace persimmontally {

using boost::asio::ip::tcp;
using boost::system::error_code;

static constexpr size_t kPrefixBytes = 4;
/// Bytes of a frame that are read at a time.
static constexpr size_t kReadBytes = size_t(64) << 10;
/// Time limit for sending one frame, including the connection setup.
static constexpr Duration kSendTimeout = seconds(3);
/// Time limit for one attempt to connect. The kernel repeats a lost opening
/// packet only after 1 s, so a host that has just become reachable is contacted
/// sooner by a new attempt.
static constexpr Duration kConnectTimeout = milliseconds(250);
/// Time limit for receiving one frame, longer than that for sending it.
static constexpr Duration kReceiveTimeout = seconds(10);
/// Time until the next attempt to accept a connection where the system has no
/// descriptor or memory for one.
static constexpr Duration kAcceptPause = milliseconds(20);

static std::string AddLengthPrefix(const std::string& aFrame)
{
  auto size = static_cast<uint32_t>(aFrame.size());
  std::string out(kPrefixBytes, '\0');
  std::memcpy(out.data(), &size, kPrefixBytes);
  return out + aFrame;
}

namespace {

/// Accepted connection that receives frames.
class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
  InboundConnection(tcp::socket aSocket,
                    FrameLink::Receiver aReceiver,
                    std::shared_ptr<CallerGuard> aGuard)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
    , m_receiver(std::move(aReceiver))
    , m_guard(std::move(aGuard))
  {
  }
  ~InboundConnection()
  {
    if (m_guard) {
      m_guard->Close(m_id);
    }
  }
  InboundConnection(const InboundConnection&) = delete;
  InboundConnection& operator=(const InboundConnection&) = delete;

  void Start()
  {
    if (m_guard) {
      error_code error;
      auto remote = m_socket.remote_endpoint(error);
      m_id = m_guard->Open(error ? "" : remote.address().to_string(),
                           [weak = weak_from_this()](EvictionReason) {
                             if (auto self = weak.lock()) {
                               self->Close();
                             }
                           });
      if (m_id == 0) {
        return;
      }
    }
    ReadLengthPrefix();
  }

private:
  void ReadLengthPrefix()
  {
    boost::asio::async_read(
      m_socket,
      boost::asio::buffer(m_prefix),
      [self = shared_from_this()](error_code aError, size_t) {
        if (!aError) {
          self->ReadFrame();
        }
      });
  }

  void ReadFrame()
  {
    uint32_t size = 0;
    std::memcpy(&size, m_prefix.data(), kPrefixBytes);
    if (size > FrameLink::kMaxFrameBytes) {
      return;
    }
    SetState(CallerState::Reading, 0);
    m_timer.expires_after(kReceiveTimeout);
    m_timer.async_wait([weak = weak_from_this()](error_code aError) {
      auto self = weak.lock();
      if (!aError && self) {
        self->Close();
      }
    });
    ReadPart(size);
  }

  /// Reads a frame of `aSize` bytes part by part: the sender may state a size
  /// that it never sends.
  void ReadPart(size_t aSize)
  {
    size_t done = m_frame.size();
    m_frame.resize(std::min(aSize, done + kReadBytes));
    boost::asio::async_read(
      m_socket,
      boost::asio::buffer(m_frame) + done,
      [self = shared_from_this(), aSize](error_code aError, size_t) {
        if (aError) {
          self->Close();
          return;
        }
        if (self->m_guard) {
          self->m_guard->SetInput(self->m_id, self->m_frame.size());
        }
        if (self->m_frame.size() < aSize) {
          self->ReadPart(aSize);
          return;
        }
        self->m_timer.cancel();
        self->m_receiver(self->m_frame);
        self->m_frame.clear();
        if (self->m_frame.capacity() > kReadBytes) {
          self->m_frame.shrink_to_fit();
        }
        self->SetState(CallerState::Idle, 0);
        self->ReadLengthPrefix();
      });
  }

  void Close()
  {
    error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
  }

  void SetState(CallerState aState, size_t aBytes)
  {
    if (m_guard) {
      m_guard->SetInput(m_id, aBytes);
      m_guard->SetState(m_id, aState);
    }
  }

  tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  FrameLink::Receiver m_receiver;
  std::shared_ptr<CallerGuard> m_guard;
  uint64_t m_id = 0;
  std::array<char, kPrefixBytes> m_prefix{};
  std::string m_frame;
};

/// Connection and send queue for one peer.
class OutboundConnection
  : public std::enable_shared_from_this<OutboundConnection>
{
public:
  OutboundConnection(boost::asio::io_context& aIo, const Endpoint& aTo)
    : m_socket(aIo)
    , m_deadline(aIo)
    , m_connectTimer(aIo)
    , m_peer(aTo)
  {
  }

  void Send(const std::string& aFrame)
  {
    if (m_queuedBytes + aFrame.size() > FrameLink::kMaxQueuedBytes) {
      return;
    }
    m_queuedBytes += aFrame.size() + kPrefixBytes;
    m_queue.push_back(AddLengthPrefix(aFrame));
    if (!m_sendInProgress) {
      SendNext();
    }
  }

  void Close()
  {
    error_code ignored;
    m_socket.close(ignored);
    m_deadline.cancel();
    m_connectTimer.cancel();
    m_isExpired = true;
    m_connected = false;
  }

private:
  void SendNext()
  {
    if (m_queue.empty()) {
      m_sendInProgress = false;
      m_deadline.cancel();
      return;
    }
    m_sendInProgress = true;
    ArmDeadline();
    if (!m_connected) {
      Connect();
      return;
    }
    Write();
  }

  void Connect()
  {
    m_isAttemptTimedOut = false;
    m_socket = tcp::socket(m_socket.get_executor());
    m_connectTimer.expires_after(kConnectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError && !self->m_connected) {
        error_code ignored;
        self->m_isAttemptTimedOut = true;
        self->m_socket.close(ignored);
      }
    });
    m_socket.async_connect(ToAsio<tcp>(m_peer),
                           [self = shared_from_this()](error_code aError) {
                             self->OnConnect(aError);
                           });
  }

  void OnConnect(error_code aError)
  {
    m_connectTimer.cancel();
    if (m_isAttemptTimedOut && !m_isExpired) {
      Connect();
      return;
    }
    if (aError) {
      HandleSendFailure();
      return;
    }
    ConfigureSocket(m_socket);
    m_connected = true;
    Write();
  }

  void Write()
  {
    boost::asio::async_write(
      m_socket,
      boost::asio::buffer(m_queue.front()),
      [self = shared_from_this()](error_code aError, size_t) {
        if (aError) {
          self->HandleSendFailure();
          return;
        }
        self->m_queuedBytes -= self->m_queue.front().size();
        self->m_queue.pop_front();
        self->SendNext();
      });
  }

  /// Closes the connection and drops the queue. The protocols on top resend
  /// the messages that are still needed.
  void HandleSendFailure()
  {
    Close();
    m_queue.clear();
    m_queuedBytes = 0;
    m_sendInProgress = false;
  }

  void ArmDeadline()
  {
    m_isExpired = false;
    m_deadline.expires_after(kSendTimeout);
    m_deadline.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        error_code ignored;
        self->m_isExpired = true;
        self->m_socket.close(ignored);
      }
    });
  }

  tcp::socket m_socket;
  boost::asio::steady_timer m_deadline;
  boost::asio::steady_timer m_connectTimer;
  Endpoint m_peer;
  std::deque<std::string> m_queue;
  size_t m_queuedBytes = 0;
  bool m_sendInProgress = false;
  bool m_connected = false;
  /// Whether the current attempt to connect was closed by its time limit.
  bool m_isAttemptTimedOut = false;
  /// Whether the time limit of the current frame has passed, or the connection
  /// was closed.
  bool m_isExpired = false;
};

} // namespace

struct FrameLink::Impl : std::enable_shared_from_this<FrameLink::Impl>
{
  explicit Impl(EventLoop& aLoop)
    : m_io(aLoop.Context().m_io)
    , m_acceptor(m_io)
    , m_acceptTimer(m_io)
  {
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

  void Accept()
  {
    m_acceptor.async_accept(
      [self = shared_from_this()](error_code aError, tcp::socket aSocket) {
        if (!self->m_acceptor.is_open()) {
          return;
        }
        if (!aError) {
          ConfigureSocket(aSocket);
          std::make_shared<InboundConnection>(
            std::move(aSocket), self->m_receiver, self->m_guard)
            ->Start();
        } else if (aError != boost::asio::error::connection_aborted) {
          self->PauseAccepting();
          return;
        }
        self->Accept();
      });
  }

  boost::asio::io_context& m_io;
  tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_acceptTimer;
  Receiver m_receiver;
  std::shared_ptr<CallerGuard> m_guard;
  std::map<Endpoint, std::shared_ptr<OutboundConnection>> m_peers;
};

FrameLink::FrameLink(EventLoop& aLoop)
  : m_impl(std::make_shared<Impl>(aLoop))
{
}

FrameLink::~FrameLink()
{
  Close();
}

void FrameLink::SetGuard(std::shared_ptr<CallerGuard> aGuard)
{
  m_impl->m_guard = std::move(aGuard);
}

absl::Status FrameLink::Open(const Endpoint& aListen, Receiver aReceiver)
{
  absl::Status opened = OpenAcceptor(m_impl->m_acceptor, aListen, "tcp");
  if (!opened.ok()) {
    return opened;
  }
  m_impl->m_receiver = std::move(aReceiver);
  m_impl->Accept();
  return absl::OkStatus();
}

void FrameLink::Send(const Endpoint& aTo, std::string aFrame)
{
  auto& peer = m_impl->m_peers[aTo];
  if (!peer) {
    peer = std::make_shared<OutboundConnection>(m_impl->m_io, aTo);
  }
  peer->Send(aFrame);
}

void FrameLink::Close()
{
  error_code ignored;
  m_impl->m_acceptor.close(ignored);
  m_impl->m_acceptTimer.cancel();
  for (auto& [endpoint, peer] : m_impl->m_peers) {
    peer->Close();
  }
  m_impl->m_peers.clear();
}

} // namespace persimmontally
