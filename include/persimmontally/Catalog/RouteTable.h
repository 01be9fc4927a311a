#ifndef PERSIMMONTALLY_CATALOG_ROUTETABLE_H
#define PERSIMMONTALLY_CATALOG_ROUTETABLE_H

#include "persimmontally/Catalog/Catalog.h"
#include "persimmontally/Wire/CatalogMessage.h"

#include "absl/status/statusor.h"

#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace persimmontally {

/// Index of one version of the catalog, and the data centres evacuated with it.
/// Immutable: a request keeps the table with which it was admitted. Versions
/// share the entries that did not change.
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(const Catalog& aCatalog,
                      std::set<DataCentreId> aEvacuated = {});

  /// Returns the table after an update: of this table, or of an empty one if
  /// the update is a whole catalog. Returns InvalidArgument if an item cannot
  /// be decoded.
  absl::StatusOr<RouteTable> Updated(const CatalogUpdate& aUpdate) const;

  uint64_t Version() const { return m_version; }
  size_t RouteCount() const { return m_routes.size(); }
  size_t AccountCount() const { return m_accounts.size(); }
  const CallerLimits& Limits() const { return m_limits; }
  /// Data centres to whose upstreams nothing is sent.
  const std::set<DataCentreId>& Evacuated() const { return m_evacuated; }
  /// Returns the route of the host name with the longest prefix of the path, or
  /// null. The path must not contain a query.
  const Route* FindRoute(std::string_view aHostName,
                         std::string_view aPath) const;
  /// Returns the service with a name, or null.
  const ServiceSpec* FindService(std::string_view aName) const;
  /// Returns whether the catalog has accounts, so that callers need keys.
  bool UsesKeys() const { return !m_accounts.empty(); }
  /// Returns the account that a key belongs to, or null.
  const ClientAccount* FindAccount(std::string_view aKey) const;
  /// Returns the regions that occur in the terms of routes or accounts.
  std::set<RegionId> AllowedRegions() const;
  /// Calls `aVisit` for each route, in no particular order.
  template<class Visit>
  void VisitRoutes(const Visit& aVisit) const
  {
    for (const auto& [key, route] : m_routes) {
      aVisit(*route);
    }
  }
  /// Calls `aVisit` for each account, in no particular order.
  template<class Visit>
  void VisitAccounts(const Visit& aVisit) const
  {
    for (const auto& [key, account] : m_accounts) {
      aVisit(*account);
    }
  }
  /// Picks a service of a route in proportion to the weights. `aUniformSample`
  /// is uniformly distributed from 0 to 1.
  static const std::string& PickService(const Route& aRoute,
                                        double aUniformSample);

private:
  using AccountPtr = std::shared_ptr<const ClientAccount>;

  void SetAccount(const std::string& aItemKey, AccountPtr aAccount);
  absl::Status Apply(const CatalogItem& aItem);
  void Remove(const std::string& aItemKey);
  void Add(const std::string& aItemKey, Route aRoute);
  void Add(const std::string& aItemKey, ServiceSpec aService);
  void Add(const std::string& aItemKey, ClientAccount aAccount);
  void Add(const std::string& aItemKey, const CallerLimits& aLimits);
  void Add(const std::string& aItemKey, RouteTerms aTerms);
  void Add(const std::string& aItemKey, const ServiceTerms& aTerms);
  void Add(const std::string& aItemKey, AccountTerms aTerms);

  uint64_t m_version = 0;
  CallerLimits m_limits;
  std::set<DataCentreId> m_evacuated;
  /// Key: host name, a space and the path prefix.
  std::unordered_map<std::string, std::shared_ptr<const Route>> m_routes;
  std::unordered_map<std::string, std::shared_ptr<const ServiceSpec>>
    m_services;
  /// By the key of their item.
  std::unordered_map<std::string, AccountPtr> m_accounts;
  /// By the key of the caller.
  std::unordered_map<std::string, AccountPtr> m_accountsByKey;
  /// Terms of updates, by the key of the route, the name of the service and the
  /// key of the account's item. They outlast changes of these.
  std::unordered_map<std::string, RouteTerms> m_routeTerms;
  std::unordered_map<std::string, ServiceTerms> m_serviceTerms;
  std::unordered_map<std::string, AccountTerms> m_accountTerms;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace persimmontally

#endif
