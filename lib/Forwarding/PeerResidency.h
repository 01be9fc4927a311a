#ifndef PERSIMMONTALLY_LIB_FORWARDING_PEERRESIDENCY_H
#define PERSIMMONTALLY_LIB_FORWARDING_PEERRESIDENCY_H

#include "persimmontally/Admission/Residency.h"
#include "persimmontally/Catalog/RouteTable.h"
#include "persimmontally/Support/Rank.h"
#include "persimmontally/Wire/LedgerMessage.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmontally {

/// Returns the rank of a route's requests in the queues of the entry hosts.
Rank RankOf(const Route& aRoute);

/// Derives the residency of requests that are queued at peer hosts from the
/// catalog, since the rows of the ledger do not contain it. A row names the
/// account, the service and the rank, but not the route: regions that any of
/// the routes in question allows are allowed.
class PeerResidency
{
public:
  PeerResidency() = default;
  explicit PeerResidency(const RouteTable& aRoutes);

  Residency Of(const LedgerRow& aRow) const;

private:
  using Regions = std::vector<RegionId>;

  /// By service and rank, if all of the routes restrict their regions.
  std::map<std::pair<std::string, Rank>, Regions> m_routes;
  /// Accounts that restrict their regions.
  std::map<AccountId, Regions> m_accounts;
};

} // namespace persimmontally

#endif
