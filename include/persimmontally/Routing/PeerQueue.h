#ifndef PERSIMMONTALLY_ROUTING_PEERQUEUE_H
#define PERSIMMONTALLY_ROUTING_PEERQUEUE_H

#include "persimmontally/Admission/Ticket.h"

#include <map>
#include <vector>

namespace persimmontally {

/// A ticket queued at a peer host, which places it by the same rules.
struct PeerTicket
{
  Ticket m_ticket;
  DataCentreId m_dataCentre;
  RegionId m_region;

  bool operator==(const PeerTicket&) const = default;
};

/// Tickets queued at peer hosts. When all engines are full, requests are queued
/// at many hosts and one engine has capacity again, the hosts would otherwise
/// all claim that capacity at once, and the engine would have to queue or
/// preempt the excess. A host therefore sets capacity aside for the peer
/// tickets that precede its own: more urgent ones, then older ones.
class PeerQueue
{
public:
  /// Time for which capacity is set aside for a ticket that its host does not
  /// place. Updates on free capacity and on placements take up to 40 ms between
  /// regions, and the peer may be frozen or see less free capacity.
  static constexpr Duration kMaxDeferral = milliseconds(100);
  /// Maximum peer tickets considered per placement: more would not fit into the
  /// capacity freed at once, and each one scores all candidates.
  static constexpr size_t kMaxTicketsAhead = 16;

  /// Replaces the queued tickets of a peer.
  void Set(const HostId& aHost, std::vector<PeerTicket> aTickets);
  /// Returns the peer tickets for the same model or service that precede
  /// `aTicket`, in order, without those deferred to for `kMaxDeferral`.
  std::vector<const PeerTicket*> TicketsAhead(Instant aNow,
                                              const Ticket& aTicket) const;
  /// Records that a ticket of this host was deferred in favour of
  /// `aPrecedingTickets`.
  void RecordDeferral(Instant aNow,
                      const std::vector<RequestId>& aPrecedingTickets);
  bool Empty() const { return m_hosts.empty(); }

private:
  std::map<HostId, std::vector<PeerTicket>> m_hosts;
  /// Time at which a local ticket was first deferred to each peer ticket.
  std::map<RequestId, Instant> m_deferredSince;
};

} // namespace persimmontally

#endif
