#include "persimmontally/Routing/LedgerScope.h"

#include <algorithm>

namespace persimmontally {

const char* ToString(ScopeKind aKind)
{
  switch (aKind) {
    case ScopeKind::Fleet:
      return "fleet";
    case ScopeKind::Region:
      return "region";
    case ScopeKind::DataCentre:
      return "data_centre";
  }
  return "unknown";
}

bool LedgerScope::Update(const std::map<HostId, HostRow>& aHosts)
{
  auto isSmallEnough = [&](ScopeKind aKind) {
    PlacementScope scope{ aKind, m_scope.m_dataCentre, m_scope.m_region };
    auto hosts = static_cast<double>(
      std::count_if(aHosts.begin(), aHosts.end(), [&](const auto& aItem) {
        const HostRow& row = aItem.second;
        return row.m_isEntry && row.m_state <= HostState::Suspect &&
               scope.Contains(row);
      }));
    double limit = static_cast<double>(kMaxHosts) *
                   (aKind < m_scope.m_kind ? kWidenFraction : 1.0);
    return hosts <= limit;
  };
  ScopeKind kind = ScopeKind::DataCentre;
  if (isSmallEnough(ScopeKind::Fleet)) {
    kind = ScopeKind::Fleet;
  } else if (isSmallEnough(ScopeKind::Region)) {
    kind = ScopeKind::Region;
  }
  return std::exchange(m_scope.m_kind, kind) != kind;
}

} // namespace persimmontally
