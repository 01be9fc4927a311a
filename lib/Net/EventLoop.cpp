#include "persimmontally/Net/EventLoop.h"

#include "LoopContext.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace persimmontally {

static sigset_t ReloadSignal()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  return signals;
}

void EventLoop::PrepareSignals()
{
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t held = ReloadSignal();
  ::pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

/// Period at which a loop records that it runs.
static constexpr Duration kBeatPeriod = milliseconds(50);

EventLoop::EventLoop()
  : m_context(std::make_unique<LoopContext>())
  , m_beatAt(Now())
  , m_beats(RunEvery(kBeatPeriod, [this] { RecordBeat(); }))
{
}

EventLoop::~EventLoop() = default;

void EventLoop::Run()
{
  auto guard = boost::asio::make_work_guard(m_context->m_io);
  // Clears the stopped state, so that a stopped loop can run again.
  m_context->m_io.restart();
  m_context->m_io.run();
}

void EventLoop::Stop()
{
  m_context->m_io.stop();
}

Instant EventLoop::Now() const
{
  auto since = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(since));
}

void EventLoop::RecordBeat()
{
  Instant now = Now();
  if (now - m_beatAt >= kStandstill) {
    m_stoodStillUntil = now;
  }
  m_beatAt = now;
}

bool EventLoop::HasStoodStill(Instant aSince) const
{
  // The timer may be behind what else has become ready meanwhile.
  return Now() - m_beatAt >= kStandstill ||
         (m_stoodStillUntil && *m_stoodStillUntil >= aSince);
}

void EventLoop::Post(std::function<void()> aAction)
{
  boost::asio::post(m_context->m_io, std::move(aAction));
}

/// A scheduled action. Each wait holds it, so that it is destroyed when a wait
/// ends that is not followed by another.
struct TimerState
{
  TimerState(boost::asio::io_context& aContext, std::function<void()> aAction)
    : m_timer(aContext)
    , m_action(std::move(aAction))
  {
  }

  boost::asio::steady_timer m_timer;
  std::function<void()> m_action;
  bool m_isArmed = true;
};

void Timer::Cancel()
{
  auto state = m_state.lock();
  m_state.reset();
  if (state) {
    state->m_isArmed = false;
    state->m_timer.cancel();
  }
}

static void StartWait(const std::shared_ptr<TimerState>& aState,
                      Duration aDelay,
                      bool aIsPeriodic)
{
  aState->m_timer.expires_after(aDelay);
  aState->m_timer.async_wait([state = aState, aDelay, aIsPeriodic](
                               const boost::system::error_code& aError) {
    if (aError || !state->m_isArmed) {
      return;
    }
    state->m_action();
    if (aIsPeriodic && state->m_isArmed) {
      StartWait(state, aDelay, aIsPeriodic);
    }
  });
}

Timer EventLoop::RunAfter(Duration aDelay, std::function<void()> aAction)
{
  auto state =
    std::make_shared<TimerState>(m_context->m_io, std::move(aAction));
  StartWait(state, aDelay, false);
  return Timer(state);
}

Timer EventLoop::RunEvery(Duration aPeriod, std::function<void()> aAction)
{
  auto state =
    std::make_shared<TimerState>(m_context->m_io, std::move(aAction));
  StartWait(state, aPeriod, true);
  return Timer(state);
}

static void WaitForReload(LoopContext& aContext,
                          std::shared_ptr<std::function<void()>> aAction)
{
  aContext.m_reloadSignals.async_wait(
    [&aContext, aAction](const boost::system::error_code& aError, int) {
      if (!aError) {
        (*aAction)();
        WaitForReload(aContext, aAction);
      }
    });
}

void EventLoop::OnReload(std::function<void()> aAction)
{
  m_context->m_reloadSignals.add(SIGHUP);
  WaitForReload(*m_context,
                std::make_shared<std::function<void()>>(std::move(aAction)));
  sigset_t held = ReloadSignal();
  ::pthread_sigmask(SIG_UNBLOCK, &held, nullptr);
}

void EventLoop::OnTerminate(std::function<void()> aAction)
{
  auto& signals = m_context->m_terminateSignals;
  signals.add(SIGTERM);
  signals.add(SIGINT);
  signals.async_wait([action = std::move(aAction)](
                       const boost::system::error_code& aError, int) {
    if (!aError) {
      action();
    }
  });
}

void ConfigureSocket(boost::asio::ip::tcp::socket& aSocket,
                     const KeepaliveSettings& aSettings)
{
  // Errors are ignored: without an option, a dead peer is only detected later.
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  int fd = aSocket.native_handle();
  int timeout = static_cast<int>(ToMilliseconds(aSettings.m_userTimeout));
  int idle =
    std::max(1, static_cast<int>(ToSeconds(aSettings.m_probeInterval)));
  int on = 1;
  int probes = KeepaliveSettings::kMaxProbes;
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof idle);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

absl::Status OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor,
                          const Endpoint& aListen,
                          const char* aProtocol)
{
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  auto endpoint = ToAsio<tcp>(aListen);
  aAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return absl::UnavailableError(std::string(aProtocol) + " " +
                                  ToString(aListen) + ": " + error.message());
  }
  return absl::OkStatus();
}

} // namespace persimmontally
