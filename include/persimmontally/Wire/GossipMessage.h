#ifndef PERSIMMONTALLY_WIRE_GOSSIPMESSAGE_H
#define PERSIMMONTALLY_WIRE_GOSSIPMESSAGE_H

#include "persimmontally/Wire/HostRow.h"
#include "persimmontally/Wire/PoisonRow.h"
#include "persimmontally/Wire/ShareMessage.h"
#include "persimmontally/Wire/UpstreamRow.h"

namespace persimmontally {

enum class GossipKind : uint8_t
{
  /// Requests an acknowledgement.
  Probe,
  Acknowledge,
  /// Requests an indirect probe of `m_target`.
  ProbeRequest,
  /// Carries rows and expects no response.
  Push,
  /// Like `Push`; the receiver also forwards the renewals and poison rows, as a
  /// `Push`, to the hosts of its data centre.
  Relay,
};

/// One datagram of the membership protocol.
struct GossipMessage
{
  GossipKind m_kind = GossipKind::Push;
  uint64_t m_sequence = 0;
  HostId m_target;
  std::vector<HostRow> m_hosts;
  std::vector<UpstreamRow> m_upstreams;
  std::vector<UpstreamRenewal> m_renewals;
  std::vector<PoisonRow> m_poison;
  std::vector<ShareMessage> m_shares;

  bool operator==(const GossipMessage&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_kind, m_sequence, m_target, m_hosts, m_upstreams);
    aArchive(m_renewals, m_poison, m_shares);
  }
};

enum class TablesKind : uint8_t
{
  /// All rows, for a host that joins or that comes back after a partition.
  Full,
  /// Changed upstreams, which all hosts receive in this way.
  Update,
  /// Like `Update`; the receiver also forwards the upstreams that are new to it
  /// to the hosts of its data centre.
  RelayedUpdate,
};

/// Membership rows sent over TCP.
struct MembershipTables
{
  TablesKind m_kind = TablesKind::Full;
  /// Whether the receiver shall reply with its own tables.
  bool m_isReplyRequested = false;
  std::vector<HostRow> m_hosts;
  std::vector<UpstreamRow> m_upstreams;
  std::vector<PoisonRow> m_poison;

  bool operator==(const MembershipTables&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_kind, m_isReplyRequested, m_hosts, m_upstreams, m_poison);
  }
};

} // namespace persimmontally

#endif
