#include "persimmontally/Net/CallerGuard.h"

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <utility>

namespace persimmontally {

CallerGuard::CallerGuard(EventLoop& aLoop,
                         CallerBudgetOptions aOptions,
                         Metrics* aMetrics,
                         std::string aWho)
  : m_loop(aLoop)
  , m_budget(aOptions)
  , m_metrics(aMetrics)
  , m_who(std::move(aWho))
{
}

uint64_t CallerGuard::Open(const std::string& aAddress, EndAction aEnd)
{
  uint64_t id = m_nextId++;
  auto evictions = m_budget.Open(m_loop.Now(), id, aAddress);
  bool isRefused = !evictions.empty() && evictions.back().m_id == id;
  Apply(evictions);
  if (isRefused) {
    return 0;
  }
  m_actions.emplace(id, std::move(aEnd));
  return id;
}

void CallerGuard::SetInput(uint64_t aId, size_t aBytes)
{
  Apply(m_budget.SetInput(m_loop.Now(), aId, aBytes));
}

void CallerGuard::SetOutput(uint64_t aId, size_t aBytes)
{
  Apply(m_budget.SetOutput(m_loop.Now(), aId, aBytes));
}

void CallerGuard::SetState(uint64_t aId, CallerState aState)
{
  m_budget.SetState(m_loop.Now(), aId, aState);
}

void CallerGuard::Close(uint64_t aId)
{
  m_budget.Close(aId);
  m_actions.erase(aId);
}

// The actions run later, because a flow of a gateway may be on the stack.
void CallerGuard::Apply(const CallerBudget::Evictions& aEvictions)
{
  for (const CallerEviction& eviction : aEvictions) {
    Record(m_who + "s_ended", ToString(eviction.m_reason));
    auto at = m_actions.find(eviction.m_id);
    if (at != m_actions.end()) {
      m_loop.Post(
        [action = at->second, reason = eviction.m_reason] { action(reason); });
    }
  }
}

void CallerGuard::RecordUnreadable(std::string_view aKind)
{
  Record("requests_unreadable", aKind);
}

void CallerGuard::Record(const std::string& aEvent, std::string_view aReason)
{
  constexpr Duration kLogPeriod = seconds(1);
  std::string reason(aReason);
  if (m_metrics != nullptr) {
    m_metrics->Add(aEvent + "_total{reason=\"" + reason + "\"}");
  }
  LogRate& rate = m_logRates[aEvent + " " + reason];
  ++rate.m_count;
  if (m_loop.Now() < rate.m_nextAt) {
    return;
  }
  rate.m_nextAt = m_loop.Now() + kLogPeriod;
  WriteLog(LogLevel::Warning,
           aEvent,
           { { "reason", reason },
             { "count", std::exchange(rate.m_count, 0) },
             { "bytes", m_budget.Bytes() },
             { "connections", m_budget.Connections() } });
}

void CallerGuard::Report()
{
  if (m_metrics == nullptr) {
    return;
  }
  for (CallerState state :
       { CallerState::Idle, CallerState::Reading, CallerState::Serving }) {
    m_metrics->SetGauge(m_who + "_bytes{state=\"" +
                          std::string(ToString(state)) + "\"}",
                        static_cast<double>(m_budget.BytesOf(state)));
  }
  m_metrics->SetGauge(m_who + "_bytes_limit",
                      static_cast<double>(m_budget.Options().m_maxBytes));
  m_metrics->SetGauge(m_who + "_connections",
                      static_cast<double>(m_budget.Connections()));
  m_metrics->SetGauge(m_who + "_connections_limit",
                      static_cast<double>(m_budget.Options().m_maxConnections));
}

} // namespace persimmontally
