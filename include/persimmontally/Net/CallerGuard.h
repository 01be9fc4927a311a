#ifndef PERSIMMONTALLY_NET_CALLERGUARD_H
#define PERSIMMONTALLY_NET_CALLERGUARD_H

#include "persimmontally/Admission/CallerBudget.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace persimmontally {

class EventLoop;
class Metrics;

/// Applies one `CallerBudget` to the connections of one or more HTTP servers,
/// and counts and logs what it ends. A line is logged at most once a second for
/// each reason.
class CallerGuard
{
public:
  using EndAction = std::function<void(EvictionReason)>;

  /// `aMetrics` may be null. `aWho` is the name of the other side in metrics
  /// and log lines.
  CallerGuard(EventLoop& aLoop,
              CallerBudgetOptions aOptions,
              Metrics* aMetrics,
              std::string aWho = "caller");

  /// Admits a connection and returns its id, or 0 if there is no room for it.
  /// `aEnd` is called in a later iteration of the event loop if it must end.
  uint64_t Open(const std::string& aAddress, EndAction aEnd);
  void SetInput(uint64_t aId, size_t aBytes);
  void SetOutput(uint64_t aId, size_t aBytes);
  void SetState(uint64_t aId, CallerState aState);
  void Close(uint64_t aId);
  /// Counts a request that could not be read.
  void RecordUnreadable(std::string_view aKind);
  /// Sets the gauges.
  void Report();

private:
  struct LogRate
  {
    Instant m_nextAt;
    size_t m_count = 0;
  };

  void Apply(const CallerBudget::Evictions& aEvictions);
  void Record(const std::string& aEvent, std::string_view aReason);

  EventLoop& m_loop;
  CallerBudget m_budget;
  Metrics* m_metrics;
  std::string m_who;
  std::unordered_map<uint64_t, EndAction> m_actions;
  std::map<std::string, LogRate> m_logRates;
  uint64_t m_nextId = 1;
};

} // namespace persimmontally

#endif
