#include "persimmontally/Catalog/RouteTable.h"

#include <algorithm>

namespace persimmontally {

static std::string RouteKey(std::string_view aHostName,
                            std::string_view aPrefix)
{
  return std::string(aHostName).append(" ").append(aPrefix);
}

RouteTable::RouteTable(Catalog aCatalog)
  : m_catalog(std::move(aCatalog))
{
  for (const Route& route : m_catalog.m_routes) {
    m_routes.emplace(RouteKey(route.m_hostName, route.m_pathPrefix), &route);
  }
  for (const ServiceSpec& service : m_catalog.m_services) {
    m_services.emplace(service.m_name, &service);
  }
  for (const ClientAccount& account : m_catalog.m_accounts) {
    for (const std::string& key : account.m_keys) {
      m_accounts.emplace(key, &account);
    }
  }
}

const Route* RouteTable::FindRoute(std::string_view aHostName,
                                   std::string_view aPath) const
{
  // Prefixes end with a slash, so only the parts of the path up to a slash can
  // match.
  std::string_view prefix = aPath;
  while (!prefix.empty()) {
    size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    prefix = prefix.substr(0, slash + 1);
    auto at = m_routes.find(RouteKey(aHostName, prefix));
    if (at != m_routes.end()) {
      return at->second;
    }
    prefix.remove_suffix(1);
  }
  return nullptr;
}

const ServiceSpec* RouteTable::FindService(std::string_view aName) const
{
  auto at = m_services.find(std::string(aName));
  return at == m_services.end() ? nullptr : at->second;
}

const ClientAccount* RouteTable::FindAccount(std::string_view aKey) const
{
  auto at = m_accounts.find(std::string(aKey));
  return at == m_accounts.end() ? nullptr : at->second;
}

const std::string& RouteTable::PickService(const Route& aRoute,
                                           double aUniformSample)
{
  double totalWeight = 0;
  for (const RouteTarget& target : aRoute.m_targets) {
    totalWeight += target.m_weight;
  }
  double remainingWeight = aUniformSample * totalWeight;
  for (const RouteTarget& target : aRoute.m_targets) {
    remainingWeight -= target.m_weight;
    if (remainingWeight < 0 && target.m_weight > 0) {
      return target.m_service;
    }
  }
  auto last =
    std::find_if(aRoute.m_targets.rbegin(),
                 aRoute.m_targets.rend(),
                 [](const auto& aItem) { return aItem.m_weight > 0; });
  return last->m_service;
}

} // namespace persimmontally
