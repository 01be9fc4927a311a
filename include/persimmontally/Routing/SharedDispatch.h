#ifndef PERSIMMONTALLY_ROUTING_SHAREDDISPATCH_H
#define PERSIMMONTALLY_ROUTING_SHAREDDISPATCH_H

#include "persimmontally/Routing/Dispatcher.h"
#include "persimmontally/Wire/DispatchMessage.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace persimmontally {

/// Placement that is shared by the hosts of a data centre. For each model or
/// service one live host, chosen by rendezvous hashing, queues the requests of
/// all and grants them slots; callers' bytes still go from their entry host to
/// the upstream. The granting host keeps nothing durable: entry hosts repeat
/// what waits and runs, so another host can take over at any time. Two hosts
/// that both grant for a while place less well and break no promise.
class SharedDispatch
{
public:
  /// How often entry hosts repeat what waits and report what runs.
  static constexpr Duration kReportPeriod = milliseconds(500);
  /// What an entry host has not repeated for this long is forgotten.
  static constexpr Duration kForgetAfter = seconds(3);
  /// Waits this much longer than the placement time for a late answer.
  static constexpr Duration kAnswerMargin = milliseconds(200);

  SharedDispatch(HostId aSelf, DispatchOptions aOptions, uint64_t aSeed);

  // Calls of the entry host's requests, as of a dispatcher.
  std::optional<Refusal> Enqueue(Instant aNow, Ticket aTicket);
  bool Withdraw(Instant aNow, const RequestId& aId);
  void Progress(Instant aNow, const RequestId& aId, uint32_t aTokens);
  void Complete(Instant aNow, const RequestId& aId, DispatchOutcome aOutcome);
  void RecordStall(Instant aNow, const UpstreamId& aId);

  /// Live hosts of the own data centre, with this one.
  void SetHosts(Instant aNow, std::vector<HostId> aHosts);
  std::vector<DispatchAction> Tick(Instant aNow, const UpstreamTable& aTable);
  void Receive(Instant aNow, const HostId& aFrom, const DispatchBatch& aBatch);
  std::vector<std::pair<HostId, DispatchBatch>> TakeSends();

  HostId OwnerOf(const Ticket& aTicket) const;
  /// The dispatcher for what this host grants itself.
  Dispatcher& Local() { return m_local; }

private:
  /// A request of this host's own callers.
  struct Entry
  {
    Ticket m_ticket;
    std::string m_key;
    HostId m_owner;
    bool m_isRunning = false;
    UpstreamId m_upstream;
    uint32_t m_tokens = 0;
  };
  /// A request that another host asked this one to place.
  struct Guest
  {
    HostId m_host;
    Instant m_heardAt;
    std::optional<GrantRow> m_grant;
  };

  static TicketRow RowOf(Instant aNow, const Entry& aEntry);
  static Ticket TicketOf(Instant aNow, const TicketRow& aRow);
  void SendTicket(Instant aNow, const Entry& aEntry);
  void EndAtOwner(Instant aNow, const Entry& aEntry, DispatchOutcome aOutcome);
  void MoveToOwners(Instant aNow);
  void ReportToOwners(Instant aNow);
  void ForgetSilentGuests(Instant aNow);
  void RefuseUnanswered(Instant aNow, std::vector<DispatchAction>& aActions);
  void TakeLocal(Instant aNow,
                 const DispatchAction& aAction,
                 std::vector<DispatchAction>& aActions);
  void ReceiveTicket(Instant aNow, const HostId& aFrom, const TicketRow& aRow);
  void ReceiveEnd(Instant aNow, const HostId& aFrom, const EndRow& aRow);
  void ReceiveProgress(Instant aNow,
                       const HostId& aFrom,
                       const ProgressRow& aRow);
  void ReceiveGrant(Instant aNow, const HostId& aFrom, const GrantRow& aRow);
  void ReceiveUnknown(Instant aNow, const std::string& aKey);
  DispatchBatch& BatchTo(const HostId& aHost) { return m_batches[aHost]; }

  HostId m_self;
  Dispatcher m_local;
  std::vector<HostId> m_hosts;
  std::map<RequestId, Entry> m_entries;
  std::map<std::string, RequestId> m_byKey;
  std::map<std::string, Guest> m_guests;
  std::map<HostId, DispatchBatch> m_batches;
  std::vector<DispatchAction> m_arrived;
  uint64_t m_nextKey = 1;
  Instant m_nextReport;
};

} // namespace persimmontally

#endif
