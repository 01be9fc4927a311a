#ifndef PERSIMMONTALLY_ROUTING_RIVALQUEUE_H
#define PERSIMMONTALLY_ROUTING_RIVALQUEUE_H

#include "persimmontally/Admission/Ticket.h"

#include <map>
#include <vector>

namespace persimmontally {

/// A ticket that waits at another host, which places it by the same rules.
struct RivalTicket
{
  Ticket m_ticket;
  DataCentreId m_dataCentre;
  RegionId m_region;

  bool operator==(const RivalTicket&) const = default;
};

/// Tickets that wait at other hosts. Without them every host with waiting work
/// takes the room that comes free, all at once: the engine then queues or
/// preempts what each of them thought would fit. So a host leaves room for the
/// tickets that come before its own: more urgent ones, then older ones.
///
/// Load pattern: all engines are full, work waits at many hosts, and one engine
/// has room again.
class RivalQueue
{
public:
  /// Time for which room is left to a ticket whose host does not take it: the
  /// news of room and of a grant take up to 40 ms between regions, and a host
  /// may be frozen, or see less room than this one.
  static constexpr Duration kMostDeference = milliseconds(100);
  /// Tickets that one decision leaves room for; more would not fit into what
  /// comes free at once, and each costs a look at all candidates.
  static constexpr size_t kMostAhead = 16;

  /// Replaces what waits at a host.
  void Set(const HostId& aHost, std::vector<RivalTicket> aTickets);
  /// Tickets of the same model or service that come before one of this host,
  /// in order, except those that had their time.
  std::vector<const RivalTicket*> Ahead(Instant aNow,
                                        const Ticket& aTicket) const;
  /// Notes that a ticket of this host gave way to others.
  void NoteDeferred(Instant aNow, const std::vector<RequestId>& aTo);
  bool Empty() const { return m_hosts.empty(); }

private:
  std::map<HostId, std::vector<RivalTicket>> m_hosts;
  /// When room was first left to a ticket that still waits.
  std::map<RequestId, Instant> m_deferredSince;
};

} // namespace persimmontally

#endif
