#ifndef PERSIMMONTALLY_CATALOG_ROUTETABLE_H
#define PERSIMMONTALLY_CATALOG_ROUTETABLE_H

#include "persimmontally/Catalog/Catalog.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace persimmontally {

/// Index of one version of the catalog. Immutable: a request keeps the table
/// with which it was admitted.
class RouteTable
{
public:
  explicit RouteTable(Catalog aCatalog);

  uint64_t Version() const { return m_catalog.m_version; }
  const Catalog& SourceCatalog() const { return m_catalog; }
  const CallerLimits& Limits() const { return m_catalog.m_limits; }
  /// Returns the route of the host name with the longest prefix of the path, or
  /// null. The path must not contain a query.
  const Route* FindRoute(std::string_view aHostName,
                         std::string_view aPath) const;
  /// Returns the service with a name, or null.
  const ServiceSpec* FindService(std::string_view aName) const;
  /// Returns whether the catalog has accounts, so that callers need keys.
  bool UsesKeys() const { return !m_catalog.m_accounts.empty(); }
  /// Returns the account that a key belongs to, or null.
  const ClientAccount* FindAccount(std::string_view aKey) const;
  /// Picks a service of a route in proportion to the weights. `aUniformSample`
  /// is uniformly distributed from 0 to 1.
  static const std::string& PickService(const Route& aRoute,
                                        double aUniformSample);

private:
  Catalog m_catalog;
  /// Key: host name, a space and the path prefix.
  std::unordered_map<std::string, const Route*> m_routes;
  std::unordered_map<std::string, const ServiceSpec*> m_services;
  std::unordered_map<std::string, const ClientAccount*> m_accounts;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace persimmontally

#endif
