#ifndef PERSIMMONTALLY_UNITTESTS_PROCESS_CALLERCROWD_H
#define PERSIMMONTALLY_UNITTESTS_PROCESS_CALLERCROWD_H

#include "persimmontally/Support/Settings.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace persimmontally {

/// What a hostile caller sends: a head, and then a piece again and again until
/// it has sent `m_bytes` in all, cut to this size. It then stays open.
struct CallerScript
{
  std::string m_head;
  std::string m_piece;
  size_t m_bytes = 0;
  bool m_readsResponse = true;
};

/// Callers on a thread of their own, one connection each, that send as fast as
/// the host takes it, also after a refusal, until their connection is closed.
class CallerCrowd
{
public:
  CallerCrowd(const Endpoint& aHost, const std::vector<CallerScript>& aScripts);
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  /// Returns whether each caller has sent all or was closed by the host.
  bool IsSettled() const { return m_settled == m_callers.size(); }
  size_t Closed() const { return m_closed; }
  /// Returns the largest number of bytes that a caller has sent.
  size_t MostBytes() const { return m_mostBytes; }

private:
  struct Caller
  {
    CallerScript m_script;
    int m_socket = -1;
    size_t m_sent = 0;
    bool m_isSettled = false;
  };

  void Run();
  void Send(Caller& aCaller);
  void Settle(Caller& aCaller);
  void End(Caller& aCaller);

  std::vector<Caller> m_callers;
  std::atomic<size_t> m_settled{ 0 };
  std::atomic<size_t> m_closed{ 0 };
  std::atomic<size_t> m_mostBytes{ 0 };
  std::atomic<bool> m_isStopped{ false };
  std::thread m_thread;
};

} // namespace persimmontally

#endif
