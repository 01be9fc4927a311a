#ifndef PERSIMMONTALLY_ROUTING_LEDGERDISPATCH_H
#define PERSIMMONTALLY_ROUTING_LEDGERDISPATCH_H

#include "persimmontally/Routing/Dispatcher.h"
#include "persimmontally/Wire/LedgerMessage.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// Decentralized placement: every entry host places the requests of its own
/// callers and publishes a ledger of its requests on each engine to its peers.
/// No host waits for another, so a crashed or slow host affects only its own
/// requests; its ledger expires once it is silent. Two hosts that place within
/// the same few milliseconds can overfill an engine, which then queues the
/// excess; this costs latency, not correctness. Queued requests are published
/// too, so that hosts do not all claim the same freed capacity; see PeerQueue.
/// Service calls are not published: they are shorter than the propagation delay
/// of an update.
class LedgerDispatch
{
public:
  /// Minimum interval between change messages, so that a burst of placements is
  /// sent as one message.
  static constexpr Duration kChangePeriod = milliseconds(5);
  /// Minimum interval at which each peer receives a snapshot of the whole
  /// ledger, which repairs lost changes and carries the progress of
  /// generations. Changes are a tenth of its size: on a link of 10 Mbit/s,
  /// snapshots to 81 hosts took 40 ms, during which occupied capacity still
  /// appeared free.
  static constexpr Duration kMinRepeatPeriod = seconds(3);
  /// Minimum interval between two snapshots, whichever their receivers, so that
  /// their cost does not grow with the number of peers.
  static constexpr Duration kSnapshotInterval = milliseconds(100);
  /// Silence after which the ledger of a peer is dropped; it allows for three
  /// lost snapshots with 90 peers. The ledger of a peer known to be dead is
  /// dropped at once.
  static constexpr Duration kForgetAfter = seconds(30);
  /// Returns the interval at which each of `aPeers` receives a snapshot.
  static Duration RepeatPeriod(int64_t aPeers)
  {
    return std::max<Duration>(kMinRepeatPeriod, kSnapshotInterval * aPeers);
  }

  /// Fraction of an engine's memory left free per peer host, for placements
  /// whose updates have not arrived yet. With 75 to 88 hosts, a limit of 0.90
  /// instead of 0.97 reduced preemptions by a third; with 6 to 8 hosts it made
  /// no difference.
  static constexpr double kMemoryReservePerPeer = 0.001;
  /// Lower bound of the memory limit, whatever the number of hosts.
  static constexpr double kMinMemoryLimit = 0.90;

  LedgerDispatch(DispatchOptions aOptions, uint64_t aSeed);

  std::optional<Refusal> Enqueue(Instant aNow, Ticket aTicket)
  {
    return m_local.Enqueue(aNow, std::move(aTicket));
  }
  bool Withdraw(const RequestId& aId) { return m_local.Withdraw(aId); }
  void Progress(Instant aNow, const RequestId& aId, uint32_t aTokens);
  void Complete(Instant aNow, const RequestId& aId, DispatchOutcome aOutcome);
  /// Accounts for a copy of a generation's KV memory on an engine.
  void OccupyCopy(Instant aNow,
                  Ticket aTicket,
                  const UpstreamId& aUpstream,
                  uint32_t aTokens);
  /// Marks a generation as running on the engine that held its copy.
  void UseCopy(const RequestId& aId);

  std::vector<DispatchAction> Tick(Instant aNow, const UpstreamTable& aTable);
  void Receive(Instant aNow, const HostId& aFrom, const LedgerUpdate& aUpdate);
  /// Sets the function that returns the residency of a peer's queued request,
  /// which the rows do not contain, and applies it to those known.
  void SetResidencyOf(std::function<Residency(const LedgerRow&)> aResidencyOf);
  /// Drops the ledger of a peer that has left or died.
  void ForgetHost(Instant aNow, const HostId& aHost);
  /// Whether generations or service calls of this host are queued.
  bool HasQueued() const { return m_local.HasQueued(); }
  /// Whether the ledger may have changed since the last `TakeChange`.
  bool HasPendingChange() const { return m_hasPendingChange; }
  /// Returns the change to send to all peers, if one is due.
  std::optional<LedgerUpdate> TakeChange(Instant aNow);
  /// Returns a snapshot of the published ledger, for a peer that may have
  /// missed changes.
  LedgerUpdate Snapshot(Instant aNow) const;

  /// Returns a snapshot without rows, for a peer that gets no further updates.
  LedgerUpdate EmptySnapshot() const;

  /// Returns the rows of all hosts on an engine, in the same order on each
  /// host.
  std::vector<LedgerRow> RowsOn(const UpstreamId& aUpstream) const;
  Dispatcher& Local() { return m_local; }
  const Dispatcher& Local() const { return m_local; }

private:
  /// Rows by their key.
  using Rows = std::map<std::string, LedgerRow>;
  struct RemoteHost
  {
    uint64_t m_epoch = 0;
    uint64_t m_sequence = 0;
    Instant m_lastReceivedAt;
    DataCentreId m_dataCentre;
    RegionId m_region;
    Rows m_rows;
    /// Requests queued at the peer, by key.
    std::map<std::string, PeerTicket> m_queued;
    /// Their rows.
    Rows m_queuedRows;
  };

  static RequestId RemoteId(const HostId& aHost, const std::string& aKey);
  static Ticket TicketOf(Instant aNow, RequestId aId, const LedgerRow& aRow);
  void UpdateQueued();
  void AdaptMemoryLimit();
  Rows OwnRows(Instant aNow) const;
  LedgerUpdate EmptyUpdate() const;
  void ApplyRow(Instant aNow,
                const HostId& aHost,
                RemoteHost& aRemote,
                const LedgerRow& aRow);
  void RemoveRow(Instant aNow,
                 const HostId& aHost,
                 RemoteHost& aRemote,
                 const std::string& aKey);
  void UpdatePeerTickets(const HostId& aHost, const RemoteHost& aRemote);
  void DropRows(Instant aNow, const HostId& aHost, RemoteHost& aRemote);

  DataCentreId m_dataCentre;
  RegionId m_region;
  /// Memory limit that applies if there are no peers.
  double m_memoryLimit;
  Dispatcher m_local;
  std::function<Residency(const LedgerRow&)> m_residencyOf;
  std::map<RequestId, LedgerRow> m_own;
  /// Own requests that were queued at the last tick.
  std::set<RequestId> m_queued;
  /// Rows as last published to the peers.
  Rows m_published;
  std::map<HostId, RemoteHost> m_remotes;
  uint64_t m_epoch;
  uint64_t m_sequence = 0;
  bool m_hasPendingChange = false;
  Instant m_lastChangeAt;
};

} // namespace persimmontally

#endif
