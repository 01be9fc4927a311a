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
  /// How often an unchanged ledger is repeated, with the progress made.
  static constexpr Duration kRepeatPeriod = seconds(1);
  /// Silence after which the ledger of a host is dropped: three repeats lost.
  static constexpr Duration kForgetAfter = milliseconds(3500);

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
  void Receive(Instant aNow,
               const HostId& aFrom,
               const LedgerSnapshot& aSnapshot);
  /// Drops what a host that is gone had placed.
  void ForgetHost(Instant aNow, const HostId& aHost);
  /// The snapshot that is due to the other entry hosts, if any.
  std::optional<LedgerSnapshot> TakeSnapshot(Instant aNow);

  /// All rows on an engine, of every host, in one order for all hosts.
  std::vector<LedgerRow> RowsOn(const UpstreamId& aUpstream) const;
  Dispatcher& Local() { return m_local; }
  const Dispatcher& Local() const { return m_local; }

private:
  struct RemoteHost
  {
    uint64_t m_epoch = 0;
    uint64_t m_sequence = 0;
    Instant m_heardAt;
    std::map<std::string, LedgerRow> m_rows;
  };

  static RequestId RemoteId(const HostId& aHost, const std::string& aKey);
  static Ticket TicketOf(Instant aNow, RequestId aId, const LedgerRow& aRow);
  static std::vector<RivalTicket> RivalsOf(Instant aNow,
                                           const HostId& aHost,
                                           const LedgerSnapshot& aSnapshot);
  void NoteWaiting();
  void DropRows(Instant aNow, const HostId& aHost, RemoteHost& aRemote);

  DataCentreId m_dataCentre;
  RegionId m_region;
  Dispatcher m_local;
  std::map<RequestId, LedgerRow> m_own;
  /// Own requests that wait, as the other hosts know them.
  std::set<RequestId> m_toldWaiting;
  std::map<HostId, RemoteHost> m_remotes;
  uint64_t m_epoch;
  uint64_t m_sequence = 0;
  bool m_isChanged = false;
  Instant m_sentAt;
};

} // namespace persimmontally

#endif
