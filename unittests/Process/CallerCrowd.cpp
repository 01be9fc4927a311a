#include "Process/CallerCrowd.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace persimmontally {

/// Small buffers, so that bytes which the host does not take stay unsent.
static constexpr int kSocketBufferBytes = 64 << 10;
static constexpr size_t kSendBytes = size_t(64) << 10;

static int OpenConnection(const Endpoint& aHost)
{
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(socket >= 0);
  for (int option : { SO_SNDBUF, SO_RCVBUF }) {
    ::setsockopt(socket,
                 SOL_SOCKET,
                 option,
                 &kSocketBufferBytes,
                 sizeof kSocketBufferBytes);
  }
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aHost.m_port);
  REQUIRE(::inet_pton(AF_INET, aHost.m_address.c_str(), &to.sin_addr) == 1);
  REQUIRE(
    ::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
  return socket;
}

CallerCrowd::CallerCrowd(const Endpoint& aHost,
                         const std::vector<CallerScript>& aScripts)
{
  for (const CallerScript& script : aScripts) {
    m_callers.push_back({ script, OpenConnection(aHost) });
  }
  m_thread = std::thread([this] { Run(); });
}

CallerCrowd::~CallerCrowd()
{
  m_isStopped = true;
  m_thread.join();
  for (const Caller& caller : m_callers) {
    if (caller.m_socket >= 0) {
      ::close(caller.m_socket);
    }
  }
}

void CallerCrowd::Settle(Caller& aCaller)
{
  if (!std::exchange(aCaller.m_isSettled, true)) {
    ++m_settled;
  }
}

void CallerCrowd::End(Caller& aCaller)
{
  ::close(std::exchange(aCaller.m_socket, -1));
  ++m_closed;
  Settle(aCaller);
}

void CallerCrowd::Send(Caller& aCaller)
{
  const CallerScript& script = aCaller.m_script;
  std::string_view part;
  if (aCaller.m_sent < script.m_head.size()) {
    part = std::string_view(script.m_head).substr(aCaller.m_sent);
  } else {
    size_t at = (aCaller.m_sent - script.m_head.size()) % script.m_piece.size();
    part = std::string_view(script.m_piece).substr(at);
  }
  part = part.substr(0, std::min(kSendBytes, script.m_bytes - aCaller.m_sent));
  ssize_t sent = ::send(
    aCaller.m_socket, part.data(), part.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN) {
    End(aCaller);
    return;
  }
  aCaller.m_sent += std::max<ssize_t>(sent, 0);
  m_mostBytes = std::max<size_t>(m_mostBytes, aCaller.m_sent);
  if (aCaller.m_sent == script.m_bytes) {
    Settle(aCaller);
  }
}

void CallerCrowd::Run()
{
  constexpr int kPollMs = 20;
  while (!m_isStopped) {
    std::vector<pollfd> polls;
    std::vector<Caller*> callers;
    for (Caller& caller : m_callers) {
      if (caller.m_socket < 0) {
        continue;
      }
      int events = caller.m_sent < caller.m_script.m_bytes ? POLLOUT : 0;
      events |= caller.m_script.m_readsResponse ? POLLIN : 0;
      polls.push_back({ caller.m_socket, static_cast<short>(events), 0 });
      callers.push_back(&caller);
    }
    ::poll(polls.data(), polls.size(), kPollMs);
    for (size_t i = 0; i < polls.size(); ++i) {
      Caller& caller = *callers[i];
      if ((polls[i].revents & (POLLERR | POLLHUP)) != 0) {
        End(caller);
        continue;
      }
      std::array<char, 4096> ignored;
      if ((polls[i].revents & POLLIN) != 0 &&
          ::recv(caller.m_socket, ignored.data(), ignored.size(), 0) <= 0) {
        // A hostile caller goes on after the host has ended its side.
        caller.m_script.m_readsResponse = false;
      }
      if ((polls[i].revents & POLLOUT) != 0) {
        Send(caller);
      }
    }
  }
}

} // namespace persimmontally
