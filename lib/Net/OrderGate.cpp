#include "persimmontally/Net/OrderGate.h"

#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

OrderGate::OrderGate(EventLoop& aLoop, Metrics& aMetrics)
  : m_loop(aLoop)
  , m_metrics(aMetrics)
{
}

void OrderGate::Hold(std::shared_ptr<ResponseWriter> aWriter,
                     std::function<void()> aOnWanted,
                     std::function<void()> aOnStale)
{
  uint64_t id = m_nextId++;
  Instant readAt = m_loop.Now();
  auto decide = [this,
                 id,
                 readAt,
                 writer = std::move(aWriter),
                 onWanted = std::move(aOnWanted),
                 onStale = std::move(aOnStale)] {
    Timer ended = std::move(m_held[id]);
    m_held.erase(id);
    bool hasStoodStill = m_loop.HasStoodStill(readAt - kDistrustTime);
    if (writer->IsCallerWaiting() && !hasStoodStill) {
      onWanted();
      return;
    }
    WriteLog(LogLevel::Warning,
             "order_dropped",
             { { "reason",
                 hasStoodStill ? "this host stood still"
                               : "the sender has closed the connection" } });
    m_metrics.Add("orders_dropped_total");
    onStale();
  };
  m_held[id] = m_loop.RunAfter(kHoldTime, std::move(decide));
}

} // namespace persimmontally
