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

struct MembershipOptions
{
  Duration m_probePeriod = milliseconds(500);
  Duration m_acknowledgeTimeout = milliseconds(200);
  Duration m_indirectTimeout = milliseconds(400);
  Duration m_suspicionTimeout = seconds(2);
  Duration m_pushPeriod = milliseconds(200);
  Duration m_renewalPeriod = seconds(1);
  /// How often a host that is believed dead, or a seed that is not yet known,
  /// is tried again.
  Duration m_reconnectPeriod = seconds(1);
  Duration m_exchangePeriod = seconds(30);
  /// A dead or departed host is forgotten after this.
  Duration m_forgetHostAfter = std::chrono::hours(1);
  Duration m_poisonLifetime = std::chrono::hours(1);
  Duration m_upstreamLease = UpstreamTable::kLeaseDuration;
  int m_indirectProbes = 3;
  /// Hosts that each push of changed rows goes to in the own data centre.
  int m_localFanout = 2;

  bool operator==(const MembershipOptions&) const = default;
};

/// A message that membership wants sent: a datagram, or tables over TCP.
struct MembershipSend
{
  Endpoint m_to;
  std::variant<GossipMessage, MembershipTables> m_message;

  bool operator==(const MembershipSend&) const = default;
};

/// Something that changed in the tables, for logs and the other systems.
struct HostChange
{
  HostRow m_row;
  HostState m_before = HostState::Alive;
  bool m_isNew = false;

  bool operator==(const HostChange&) const = default;
};

/// Membership of hosts and upstreams, after SWIM (Das, Gupta, Motivala, 2002):
/// probes with indirect probing and suspicion, changed rows spread by gossip.
/// Renewals of upstream leases go straight to the hosts of the own data centre
/// and through one relay into each other one.
class Membership
{
public:
  Membership(HostRow aSelf,
             std::vector<Endpoint> aSeeds,
             MembershipOptions aOptions,
             uint64_t aSeed);

  void Tick(Instant aNow);
  void Receive(Instant aNow,
               const HostId& aFrom,
               const GossipMessage& aMessage);
  void ReceiveTables(Instant aNow,
                     const HostId& aFrom,
                     const MembershipTables& aTables);

  /// Takes an upstream's own announcement, which this host then spreads.
  UpstreamMerge Announce(Instant aNow, const UpstreamRow& aRow);
  /// Takes an upstream's word that it has ended; false if it is not known.
  bool Withdraw(Instant aNow, const UpstreamId& aId);
  /// Spreads a poison row, merged with what is known of the fingerprint.
  void ReportPoison(Instant aNow, const PoisonRow& aRow);
  void SendShare(const HostId& aTo, const ShareMessage& aMessage);
  void SetSeeds(std::vector<Endpoint> aSeeds) { m_seeds = std::move(aSeeds); }
  void SetPlanIndex(uint64_t aIndex);
  void SetDisk(const DiskId& aDisk, const std::string& aGroup);
  /// Tells the others that this host departs on purpose.
  void Leave(Instant aNow);

  std::vector<MembershipSend> TakeSends();
  std::vector<HostChange> TakeHostChanges();
  std::vector<std::pair<HostId, ShareMessage>> TakeShares();

  const HostRow& Self() const { return m_self; }
  const std::map<HostId, HostRow>& Hosts() const { return m_hosts; }
  const HostRow* FindHost(const HostId& aId) const;
  bool IsAlive(const HostId& aId) const;
  /// Since when a host is dead or departed.
  std::optional<Instant> DownSince(const HostId& aId) const;
  const UpstreamTable& Upstreams() const { return m_upstreams; }
  const std::map<uint64_t, PoisonRow>& Poison() const { return m_poison; }

private:
  struct ProbeState
  {
    HostId m_target;
    uint64_t m_sequence = 0;
    Instant m_sentAt;
    bool m_indirect = false;
  };
  struct RelayedProbe
  {
    HostId m_for;
    uint64_t m_theirSequence = 0;
    Instant m_sentAt;
  };

  void MergeHost(Instant aNow, const HostRow& aRow);
  void RefuteIfAccused(const HostRow& aRow);
  void MergeUpstream(Instant aNow, const UpstreamRow& aRow);
  void MergePoison(Instant aNow, const PoisonRow& aRow);
  void ApplyRenewals(Instant aNow,
                     const HostId& aFrom,
                     const GossipMessage& aMessage);
  void StoreHost(Instant aNow, const HostRow& aRow);
  void SetHostState(Instant aNow, const HostId& aId, HostState aState);

  void SendUpstreamNews(const UpstreamId& aId);
  void RunProbe(Instant aNow);
  void StartProbe(Instant aNow);
  void AdvanceSuspicions(Instant aNow);
  void ForgetOldRows(Instant aNow);
  void Reconnect(Instant aNow);
  void PushChanges();
  void PushRenewals();
  void ForwardRelay(const GossipMessage& aMessage);
  void ExchangeTables(Instant aNow);

  void SendGossip(const Endpoint& aTo, GossipMessage aMessage);
  void SendTables(const Endpoint& aTo, bool aAnswerWanted);
  void FillChanges(GossipMessage& aMessage);
  int RetransmitCount() const;
  std::vector<HostId> AliveHosts(bool aOwnDataCentre) const;
  std::map<DataCentreId, std::vector<HostId>> AliveElsewhere() const;
  /// Every other live host, those of the own data centre first.
  std::vector<HostId> AliveOthers() const;
  HostId PickRandom(const std::vector<HostId>& aHosts);

  HostRow m_self;
  std::vector<Endpoint> m_seeds;
  MembershipOptions m_options;
  std::mt19937_64 m_random;

  std::map<HostId, HostRow> m_hosts;
  std::map<HostId, Instant> m_stateSince;
  UpstreamTable m_upstreams;
  std::map<uint64_t, PoisonRow> m_poison;
  std::map<uint64_t, Instant> m_poisonTouched;

  /// Rows still to be pushed, with the number of pushes left.
  std::map<HostId, int> m_hostPushes;
  std::map<UpstreamId, int> m_upstreamPushes;
  std::map<uint64_t, int> m_poisonPushes;
  /// Own announcements since the last push of renewals.
  std::set<UpstreamId> m_renewed;

  std::vector<HostId> m_probeOrder;
  std::optional<ProbeState> m_probe;
  std::map<uint64_t, RelayedProbe> m_relayedProbes;
  uint64_t m_nextSequence = 1;

  Instant m_nextProbe;
  Instant m_nextPush;
  Instant m_nextRenewal;
  Instant m_nextReconnect;
  Instant m_nextExchange;
  std::map<HostId, Instant> m_tablesAskedAt;

  std::vector<MembershipSend> m_sends;
  std::vector<HostChange> m_changes;
  std::vector<std::pair<HostId, ShareMessage>> m_shares;
};

} // namespace persimmontally

#endif
