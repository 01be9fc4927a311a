#ifndef PERSIMMONTALLY_CATALOG_ROUTETABLE_H
#define PERSIMMONTALLY_CATALOG_ROUTETABLE_H

#include "persimmontally/Catalog/Catalog.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace persimmontally {

/// Look-ups in one version of the catalog. Immutable: a request keeps the
/// table that it was admitted under.
class RouteTable
{
public:
  explicit RouteTable(Catalog aCatalog);

  uint64_t Version() const { return m_catalog.m_version; }
  const Catalog& Source() const { return m_catalog; }
  const CallerLimits& Limits() const { return m_catalog.m_limits; }
  /// Route with the longest prefix that begins the path, or null. The path has
  /// no query.
  const Route* FindRoute(std::string_view aHostName,
                         std::string_view aPath) const;
  const ServiceSpec* FindService(std::string_view aName) const;
  bool UsesKeys() const { return !m_catalog.m_accounts.empty(); }
  const ClientAccount* FindAccount(std::string_view aKey) const;
  /// Service of a route for a number drawn evenly from 0 to 1.
  static const std::string& PickService(const Route& aRoute, double aDraw);

private:
  Catalog m_catalog;
  /// By host name, a space and the prefix.
  std::unordered_map<std::string, const Route*> m_routes;
  std::unordered_map<std::string, const ServiceSpec*> m_services;
  std::unordered_map<std::string, const ClientAccount*> m_accounts;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace persimmontally

#endif
