#ifndef PERSIMMONTALLY_ROUTING_LEDGERSCOPE_H
#define PERSIMMONTALLY_ROUTING_LEDGERSCOPE_H

#include "persimmontally/Wire/HostRow.h"
#include "persimmontally/Wire/UpstreamRow.h"

#include <map>

namespace persimmontally {

/// Part of the fleet around a host.
enum class ScopeKind : uint8_t
{
  Fleet,
  Region,
  DataCentre
};

/// The hosts with which an entry host exchanges ledgers, and the engines on
/// which it places generations.
struct PlacementScope
{
  ScopeKind m_kind = ScopeKind::Fleet;
  DataCentreId m_dataCentre;
  RegionId m_region;

  bool operator==(const PlacementScope&) const = default;

  /// Returns whether a host or upstream is in the scope.
  template<class Row>
  bool Contains(const Row& aRow) const
  {
    switch (m_kind) {
      case ScopeKind::Fleet:
        return true;
      case ScopeKind::Region:
        return aRow.m_region == m_region;
      case ScopeKind::DataCentre:
        return aRow.m_dataCentre == m_dataCentre;
    }
    return true;
  }
};

/// Bounds the number of hosts that exchange ledgers: every change of a ledger
/// goes to all hosts of the scope, so that the cost of a host grows with the
/// size of its scope and that of the fleet with its square.
///
/// Load pattern: hundreds of entry hosts, each with few requests a second.
class LedgerScope
{
public:
  /// Maximum number of entry hosts in a scope that is wider than a data centre.
  static constexpr size_t kMaxHosts = 90;
  /// A wider scope is taken once it has at most this fraction of `kMaxHosts`,
  /// so that single hosts that come and go do not change it back and forth.
  static constexpr double kWidenFraction = 0.8;

  LedgerScope(DataCentreId aDataCentre, RegionId aRegion)
    : m_scope{ ScopeKind::Fleet, std::move(aDataCentre), std::move(aRegion) }
  {
  }

  /// Chooses the widest scope that is small enough. Returns whether the scope
  /// has changed. `aHosts` are all known hosts, including this one.
  bool Update(const std::map<HostId, HostRow>& aHosts);
  const PlacementScope& Current() const { return m_scope; }

private:
  PlacementScope m_scope;
};

/// Returns the name of a scope, for logs.
const char* ToString(ScopeKind aKind);

} // namespace persimmontally

#endif
