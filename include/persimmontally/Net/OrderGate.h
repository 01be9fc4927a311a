#ifndef PERSIMMONTALLY_NET_ORDERGATE_H
#define PERSIMMONTALLY_NET_ORDERGATE_H

#include "persimmontally/Net/EventLoop.h"

#include <functional>
#include <map>
#include <memory>

namespace persimmontally {

class Metrics;
class ResponseWriter;

/// Holds back orders whose effect depends on when they were sent, until this
/// host can tell whether their senders still wait for the answer. A sender that
/// has closed its connection has sent the order to another host, and perhaps a
/// contrary one after it: an order that lay in a socket while this host was
/// frozen, or its link cut, is older than it looks.
///
/// Load pattern: a host is frozen or cut off for seconds while operators and
/// upstreams call it.
class OrderGate
{
public:
  /// Time for which an order is held: the sender's close may arrive a round
  /// trip later than the order, if both were sent again after a cut.
  static constexpr Duration kHoldTime = milliseconds(100);
  /// Time after a standstill of this host in which it acts on no order. Senders
  /// give up on a host after a second.
  static constexpr Duration kDistrustTime = seconds(1);

  OrderGate(EventLoop& aLoop, Metrics& aMetrics);

  /// Calls `aOnWanted` if the order is still wanted after `kHoldTime`, and
  /// `aOnStale` otherwise: it has not been acted on, and its sender may send it
  /// again. Neither is called once the gate is destroyed.
  void Hold(std::shared_ptr<ResponseWriter> aWriter,
            std::function<void()> aOnWanted,
            std::function<void()> aOnStale);

private:
  EventLoop& m_loop;
  Metrics& m_metrics;
  std::map<uint64_t, Timer> m_held;
  uint64_t m_nextId = 1;
};

} // namespace persimmontally

#endif
