#include "PeerResidency.h"

namespace persimmontally {

Rank RankOf(const Route& aRoute)
{
  return aRoute.m_priority == 0 ? Rank::Urgent : Rank::Routine;
}

PeerResidency::PeerResidency(const RouteTable& aRoutes)
{
  std::set<std::pair<std::string, Rank>> unrestricted;
  aRoutes.VisitRoutes([&](const Route& aRoute) {
    const Regions& regions = aRoute.m_terms.m_allowedRegions;
    for (const RouteTarget& target : aRoute.m_targets) {
      std::pair<std::string, Rank> key(target.m_service, RankOf(aRoute));
      if (regions.empty()) {
        unrestricted.insert(key);
      } else {
        Regions& all = m_routes[key];
        all.insert(all.end(), regions.begin(), regions.end());
      }
    }
  });
  for (const auto& key : unrestricted) {
    m_routes.erase(key);
  }
  aRoutes.VisitAccounts([&](const ClientAccount& aAccount) {
    if (!aAccount.m_terms.m_allowedRegions.empty()) {
      m_accounts[aAccount.m_id] = aAccount.m_terms.m_allowedRegions;
    }
  });
}

Residency PeerResidency::Of(const LedgerRow& aRow) const
{
  auto route = m_routes.find({ aRow.m_model.Value(), aRow.m_rank });
  auto account = m_accounts.find(aRow.m_account);
  return { route == m_routes.end() ? Regions() : route->second,
           account == m_accounts.end() ? Regions() : account->second };
}

} // namespace persimmontally
