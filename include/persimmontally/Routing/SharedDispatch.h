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

/// Placement shared by the hosts of a data centre. For each model or service
/// one live host, the owner, is chosen by rendezvous hashing; it queues the
/// requests of all hosts and grants them slots. Request data still flows
/// directly from the entry host to the upstream. The owner keeps no durable
/// state: entry hosts resend their queued and running requests, so another host
/// can take over at any time. Two concurrent owners degrade placement but not
/// correctness.
class SharedDispatch
{
public:
  /// Interval at which entry hosts resend queued requests and report running
  /// ones.
  static constexpr Duration kReportPeriod = milliseconds(500);
  /// Time after which the owner drops a request that was not resent or
  /// reported.
  static constexpr Duration kForgetAfter = seconds(3);
  /// Time past the placement deadline for which a late response is accepted.
  static constexpr Duration kResponseMargin = milliseconds(200);

  SharedDispatch(HostId aSelf, DispatchOptions aOptions, uint64_t aSeed);

  // Operations on this entry host's own requests; see Dispatcher.
  std::optional<Refusal> Enqueue(Instant aNow, Ticket aTicket);
  bool Withdraw(Instant aNow, const RequestId& aId);
  void Progress(Instant aNow, const RequestId& aId, uint32_t aTokens);
  void Complete(Instant aNow, const RequestId& aId, DispatchOutcome aOutcome);
  void RecordStall(Instant aNow, const UpstreamId& aId);

  /// Sets the live hosts of this data centre, including this one.
  void SetHosts(Instant aNow, std::vector<HostId> aHosts);
  /// Places requests, sends reports and drops expired requests. Returns the
  /// grants and refusals for this entry host's own requests.
  std::vector<DispatchAction> Tick(Instant aNow, const UpstreamTable& aTable);
  void Receive(Instant aNow, const HostId& aFrom, const DispatchBatch& aBatch);
  /// Returns the messages to send, at most one per host, and clears them.
  std::vector<std::pair<HostId, DispatchBatch>> TakeSends();

  /// Returns the host that places the request.
  HostId OwnerOf(const Ticket& aTicket) const;
  /// Dispatcher for the models and services that this host owns.
  Dispatcher& Local() { return m_local; }

private:
  /// A request received by this entry host.
  struct Entry
  {
    Ticket m_ticket;
    /// Identifies the request to its owner; unique on this entry host.
    std::string m_key;
    HostId m_owner;
    bool m_isRunning = false;
    UpstreamId m_upstream;
    /// Output tokens generated so far.
    uint32_t m_tokens = 0;
  };
  /// A request that a peer host sent here for placement.
  struct PeerRequest
  {
    HostId m_host;
    Instant m_lastReceivedAt;
    /// The grant that was sent; resent if the peer host reports the request as
    /// still queued.
    std::optional<GrantRow> m_grant;
  };

  static TicketRow RowOf(Instant aNow, const Entry& aEntry);
  static Ticket TicketOf(Instant aNow, const TicketRow& aRow);
  void SendTicket(Instant aNow, const Entry& aEntry);
  void ReportEnd(Instant aNow, const Entry& aEntry, DispatchOutcome aOutcome);
  void ReassignOwners(Instant aNow);
  void ReportToOwners(Instant aNow);
  void ExpirePeerRequests(Instant aNow);
  void RefuseOverdue(Instant aNow, std::vector<DispatchAction>& aActions);
  void DeliverDecision(Instant aNow,
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
  std::map<std::string, RequestId> m_requestIdByKey;
  /// Requests of peer hosts by `Entry::m_key`.
  std::map<std::string, PeerRequest> m_peerRequests;
  std::map<HostId, DispatchBatch> m_batches;
  std::vector<DispatchAction> m_pendingActions;
  uint64_t m_nextKey = 1;
  Instant m_nextReportAt;
};

} // namespace persimmontally

#endif
