#ifndef PERSIMMONTALLY_ROUTING_LEDGERDISPATCH_H
#define PERSIMMONTALLY_ROUTING_LEDGERDISPATCH_H

#include "persimmontally/Routing/Dispatcher.h"
#include "persimmontally/Wire/LedgerMessage.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// Placement in which every entry host decides for its own callers and tells
/// the others what it has on each engine. No host waits for another one, so
/// the death or slowness of a host costs its own requests only; what it had
/// placed is forgotten once it is silent. Two hosts that place within the same
/// few milliseconds can overfill an engine, which then queues: a cost, never a
/// broken promise. What waits is told of as well, so that room that comes free
/// is not taken by all hosts at once; see RivalQueue. Plain services are not
/// told of: their calls are shorter than the news would take.
class LedgerDispatch
{
public:
  /// Changes are gathered for this long before they are sent, so that a burst
  /// of placements is one message.
  static constexpr Duration kGatherPeriod = milliseconds(5);
  /// How often each of the other hosts gets the whole ledger, which repairs
  /// what was lost and brings the progress made. The changes between are a
  /// tenth of its size: on a link of 10 Mbit/s the whole ledger to 81 hosts
  /// took 40 ms, and room that was long taken looked free for as long.
  static constexpr Duration kRepeatPeriod = seconds(3);
  /// Silence after which the ledger of a host is dropped: three repeats lost.
  /// A host that is known to be dead is forgotten at once.
  static constexpr Duration kForgetAfter = seconds(10);

  /// Part of an engine's memory that is left free for each other host, since
  /// each places some requests that the news of is still under way. With 75 to
  /// 88 hosts a limit of 0.90 in place of 0.97 cut preemptions by a third; with
  /// 6 to 8 hosts it made no difference.
  static constexpr double kMemoryLeftPerHost = 0.001;
  /// Least part that is planned with, whatever the number of hosts.
  static constexpr double kLeastMemoryLimit = 0.90;

  LedgerDispatch(DispatchOptions aOptions, uint64_t aSeed);

  std::optional<Refusal> Enqueue(Instant aNow, Ticket aTicket)
  {
    return m_local.Enqueue(aNow, std::move(aTicket));
  }
  bool Withdraw(const RequestId& aId) { return m_local.Withdraw(aId); }
  void Progress(Instant aNow, const RequestId& aId, uint32_t aTokens);
  void Complete(Instant aNow, const RequestId& aId, DispatchOutcome aOutcome);
  /// Counts the copy of a generation on an engine that holds its memory.
  void OccupyCopy(Instant aNow,
                  Ticket aTicket,
                  const UpstreamId& aUpstream,
                  uint32_t aTokens);
  /// States that a generation now runs where its copy was.
  void UseCopy(const RequestId& aId);

  std::vector<DispatchAction> Tick(Instant aNow, const UpstreamTable& aTable);
  void Receive(Instant aNow, const HostId& aFrom, const LedgerUpdate& aUpdate);
  /// Drops what a host that is gone had placed.
  void ForgetHost(Instant aNow, const HostId& aHost);
  /// The change that is due to all other entry hosts, if any.
  std::optional<LedgerUpdate> TakeChange(Instant aNow);
  /// All that the other hosts have been told, for one that may not know it.
  LedgerUpdate Whole(Instant aNow) const;

  /// All rows on an engine, of every host, in one order for all hosts.
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
    Instant m_heardAt;
    DataCentreId m_dataCentre;
    RegionId m_region;
    Rows m_rows;
    /// Requests that wait there, by key.
    std::map<std::string, RivalTicket> m_waiting;
  };

  static RequestId RemoteId(const HostId& aHost, const std::string& aKey);
  static Ticket TicketOf(Instant aNow, RequestId aId, const LedgerRow& aRow);
  void NoteWaiting();
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
  void ShowRivals(const HostId& aHost, const RemoteHost& aRemote);
  void DropRows(Instant aNow, const HostId& aHost, RemoteHost& aRemote);

  DataCentreId m_dataCentre;
  RegionId m_region;
  /// Limit where one host decides alone.
  double m_memoryLimit;
  Dispatcher m_local;
  std::map<RequestId, LedgerRow> m_own;
  /// Own requests that waited at the last turn.
  std::set<RequestId> m_waiting;
  /// What the other hosts have been told.
  Rows m_told;
  std::map<HostId, RemoteHost> m_remotes;
  uint64_t m_epoch;
  uint64_t m_sequence = 0;
  bool m_isChanged = false;
  Instant m_sentAt;
};

} // namespace persimmontally

#endif
