#ifndef PERSIMMONTALLY_MEMBERSHIP_MEMBERSHIP_H
#define PERSIMMONTALLY_MEMBERSHIP_MEMBERSHIP_H

#include "persimmontally/Membership/UpstreamTable.h"
#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/GossipMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace persimmontally {

/// Periods, timeouts and fan-out of the membership protocol.
struct MembershipOptions
{
  Duration m_probePeriod = milliseconds(500);
  /// Time after the probe until peers are asked to probe the target.
  Duration m_acknowledgeTimeout = milliseconds(200);
  /// Further time until the target is suspected.
  Duration m_indirectTimeout = milliseconds(400);
  /// Time until a suspected host is declared dead.
  Duration m_suspicionTimeout = seconds(2);
  /// Period of pushes of changed rows.
  Duration m_pushPeriod = milliseconds(200);
  /// The same while upstreams are among the changed rows.
  Duration m_upstreamPushPeriod = milliseconds(100);
  /// Period of pushes of lease renewals.
  Duration m_renewalPeriod = seconds(1);
  /// Period of attempts to reach a host declared dead and the seeds that are
  /// not yet members.
  Duration m_reconnectPeriod = seconds(1);
  /// Period of full table exchanges with a random peer.
  Duration m_exchangePeriod = seconds(30);
  /// Time that the row of a dead or departed host is kept.
  Duration m_hostRetention = std::chrono::hours(1);
  /// Time that a poison row is kept after its last change.
  Duration m_poisonRetention = std::chrono::hours(1);
  Duration m_upstreamLease = UpstreamTable::kLeaseDuration;
  /// Peers asked to probe a host that did not acknowledge a direct probe.
  int m_indirectProbes = 3;
  /// Peers in the same data centre that receive each push of changed rows.
  int m_localFanout = 2;

  bool operator==(const MembershipOptions&) const = default;
};

/// An outgoing message: gossip in one datagram, or tables over TCP.
struct MembershipSend
{
  Endpoint m_to;
  std::variant<GossipMessage, MembershipTables> m_message;

  bool operator==(const MembershipSend&) const = default;
};

/// A new or changed host row, for logs and other components.
struct HostChange
{
  HostRow m_row;
  HostState m_previousState = HostState::Alive;
  bool m_isNew = false;

  bool operator==(const HostChange&) const = default;
};

/// When this host last received or made changes of a poison row.
struct PoisonTimes
{
  Instant m_changedAt;
  /// When the strikes last grew.
  Instant m_struckAt;
  /// When the number of trials last grew.
  Instant m_triedAt;
};

/// Membership of hosts and upstreams, based on SWIM (Das, Gupta, Motivala,
/// 2002): direct and indirect probes, suspicion before a host is declared
/// dead, and dissemination of changed rows by gossip. Renewals of upstream
/// leases are sent directly to every peer in the same data centre and through
/// one relay host to each other data centre.
class Membership
{
public:
  Membership(HostRow aSelf,
             std::vector<Endpoint> aSeeds,
             MembershipOptions aOptions,
             uint64_t aSeed);

  /// Runs the timers: probes, pushes, renewals, reconnects and exchanges.
  void Tick(Instant aNow);
  void Receive(Instant aNow,
               const HostId& aFrom,
               const GossipMessage& aMessage);
  void ReceiveTables(Instant aNow,
                     const HostId& aFrom,
                     const MembershipTables& aTables);

  /// Merges an upstream's own announcement and disseminates it if it is not
  /// stale.
  UpstreamMergeResult Announce(Instant aNow, const UpstreamRow& aRow);
  /// Marks an upstream as gone at its own request and disseminates that;
  /// returns false if the upstream is unknown.
  bool Withdraw(Instant aNow, const UpstreamId& aId);
  /// Merges a poison row into the one of the same fingerprint and, if that
  /// changes it, sends the result to the peers.
  void ReportPoison(Instant aNow, const PoisonRow& aRow);
  /// Sends a share message to one host; does nothing if the host is unknown.
  void SendShare(const HostId& aTo, const ShareMessage& aMessage);
  void SetSeeds(std::vector<Endpoint> aSeeds) { m_seeds = std::move(aSeeds); }
  /// Raises the log index of the plan lists in force on this host; a lower
  /// index is ignored.
  void SetListsIndex(uint64_t aIndex);
  void SetDisk(const DiskId& aDisk, const std::string& aGroup);
  /// Notifies the live peers that this host shuts down, so that they do not
  /// suspect it first.
  void Leave(Instant aNow);

  std::vector<MembershipSend> TakeSends();
  std::vector<HostChange> TakeHostChanges();
  std::vector<std::pair<HostId, ShareMessage>> TakeShares();

  const HostRow& Self() const { return m_self; }
  const std::map<HostId, HostRow>& Hosts() const { return m_hosts; }
  /// Incremented when a host row is added, changed or removed.
  uint64_t HostsVersion() const { return m_hostsVersion; }
  const HostRow* FindHost(const HostId& aId) const;
  /// Whether a host is a member and neither dead nor departed; a suspected
  /// host counts as alive.
  bool IsAlive(const HostId& aId) const;
  /// When a host was declared dead or departed; empty if it is alive or
  /// unknown.
  std::optional<Instant> DownSince(const HostId& aId) const;
  const UpstreamTable& Upstreams() const { return m_upstreams; }
  const std::map<uint64_t, PoisonRow>& Poison() const { return m_poison; }
  /// By fingerprint.
  const std::map<uint64_t, PoisonTimes>& PoisonTimesByFingerprint() const
  {
    return m_poisonTimes;
  }
  /// Incremented when a poison row is added or changed.
  uint64_t PoisonVersion() const { return m_poisonVersion; }

private:
  struct ProbeState
  {
    HostId m_target;
    uint64_t m_sequence = 0;
    Instant m_sentAt;
    bool m_isIndirect = false;
  };
  /// A probe sent on behalf of a peer.
  struct RelayedProbe
  {
    HostId m_requester;
    uint64_t m_requesterSequence = 0;
    Instant m_sentAt;
  };

  void MergeHost(Instant aNow, const HostRow& aRow);
  /// Raises the incarnation of this host if a row about it reports it as not
  /// alive or carries a newer incarnation.
  void RefuteIfSuspected(const HostRow& aRow);
  /// Returns whether the row has changed the table.
  bool MergeUpstream(Instant aNow, const UpstreamRow& aRow);
  void MergePoison(Instant aNow, const PoisonRow& aRow);
  /// Removes the poison row with the least evidence, of these the oldest.
  void EvictPoison();
  /// Renews leases, and requests the sender's tables if a renewed upstream or
  /// its incarnation is unknown here.
  void ApplyRenewals(Instant aNow,
                     const HostId& aFrom,
                     const GossipMessage& aMessage);
  void StoreHost(Instant aNow, const HostRow& aRow);
  /// Stores and pushes a changed row of this host.
  void StoreSelf();
  /// Sets a host's state if it comes after the current one in the order of
  /// `HostState`.
  void SetHostState(Instant aNow, const HostId& aId, HostState aState);

  void SendUpstreamUpdate(const UpstreamId& aId);
  /// Sends rows of changed upstreams to all hosts of this data centre but one.
  void ForwardUpstreams(const std::vector<UpstreamRow>& aRows,
                        const HostId& aExcept);
  /// Returns one live host of each other data centre that forwards to the
  /// others there: one with a disk, which has a faster link, if there is one.
  std::vector<HostId> PickRelays();
  void RunProbe(Instant aNow);
  void StartProbe(Instant aNow);
  void AdvanceSuspicions(Instant aNow);
  void RemoveExpiredRows(Instant aNow);
  void Reconnect(Instant aNow);
  void PushChanges();
  void PushRenewals();
  void ForwardRelay(const GossipMessage& aMessage);
  void ExchangeTables(Instant aNow);

  void SendGossip(const Endpoint& aTo, GossipMessage aMessage);
  void SendTables(const Endpoint& aTo, bool aIsReplyRequested);
  /// Adds rows that are due for a push, as many as fit one datagram.
  void FillChanges(GossipMessage& aMessage);
  /// Number of pushes of a changed row: grows with the logarithm of the number
  /// of hosts.
  int RetransmitCount() const;
  /// Live peers inside or outside the data centre of this host.
  std::vector<HostId> AliveHosts(bool aOwnDataCentre) const;
  /// Live peers outside the data centre of this host, by data centre.
  std::map<DataCentreId, std::vector<HostId>> AliveRemotePeers() const;
  /// All live peers, those in the same data centre first.
  std::vector<HostId> AlivePeers() const;
  HostId PickRandom(const std::vector<HostId>& aHosts);

  HostRow m_self;
  std::vector<Endpoint> m_seeds;
  MembershipOptions m_options;
  std::mt19937_64 m_random;

  std::map<HostId, HostRow> m_hosts;
  uint64_t m_hostsVersion = 1;
  /// Hosts in the state `Suspect`.
  std::set<HostId> m_suspects;
  std::map<HostId, Instant> m_stateSince;
  UpstreamTable m_upstreams;
  /// By fingerprint.
  std::map<uint64_t, PoisonRow> m_poison;
  std::map<uint64_t, PoisonTimes> m_poisonTimes;
  uint64_t m_poisonVersion = 0;

  /// Rows to be pushed, with the number of pushes left.
  std::map<HostId, int> m_hostPushesLeft;
  std::map<UpstreamId, int> m_upstreamPushesLeft;
  std::map<uint64_t, int> m_poisonPushesLeft;
  /// Upstreams that announced themselves to this host since the last push of
  /// renewals.
  std::set<UpstreamId> m_pendingRenewals;

  std::vector<HostId> m_probeOrder;
  std::optional<ProbeState> m_probe;
  /// By the sequence number of the probe that this host sent.
  std::map<uint64_t, RelayedProbe> m_relayedProbes;
  uint64_t m_nextSequence = 1;

  Instant m_nextProbe;
  Instant m_nextPush;
  Instant m_nextRenewal;
  Instant m_nextReconnect;
  Instant m_nextExchange;
  std::map<HostId, Instant> m_tablesRequestedAt;
  /// When tables may next be exchanged with a host that was unknown.
  Instant m_nextIntroduction;
  /// When this host last received tables without having a live peer.
  Instant m_joinedAt{ -std::chrono::hours(1) };

  std::vector<MembershipSend> m_sends;
  std::vector<HostChange> m_changes;
  std::vector<std::pair<HostId, ShareMessage>> m_shares;
};

} // namespace persimmontally

#endif
