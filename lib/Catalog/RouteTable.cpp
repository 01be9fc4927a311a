#include "persimmontally/Catalog/RouteTable.h"

#include "persimmontally/Catalog/CatalogItems.h"

#include <algorithm>

namespace persimmontally {

static std::string RouteKey(std::string_view aHostName,
                            std::string_view aPrefix)
{
  return std::string(aHostName).append(" ").append(aPrefix);
}

RouteTable::RouteTable(const Catalog& aCatalog)
  : m_version(aCatalog.m_version)
{
  Add({}, aCatalog.m_limits);
  for (const Route& route : aCatalog.m_routes) {
    Add({}, route);
  }
  for (const ServiceSpec& service : aCatalog.m_services) {
    Add({}, service);
  }
  for (const ClientAccount& account : aCatalog.m_accounts) {
    Add(std::to_string(m_accounts.size()), account);
  }
}

// Updates by items.

void RouteTable::Add(const std::string&, Route aRoute)
{
  std::string key = RouteKey(aRoute.m_hostName, aRoute.m_pathPrefix);
  m_routes[key] = std::make_shared<const Route>(std::move(aRoute));
}

void RouteTable::Add(const std::string&, ServiceSpec aService)
{
  std::string name = aService.m_name;
  m_services[name] = std::make_shared<const ServiceSpec>(std::move(aService));
}

void RouteTable::Add(const std::string& aItemKey, ClientAccount aAccount)
{
  auto account = std::make_shared<const ClientAccount>(std::move(aAccount));
  m_accounts[aItemKey] = account;
  for (const std::string& key : account->m_keys) {
    m_accountsByKey[key] = account;
  }
}

void RouteTable::Add(const std::string&, const CallerLimits& aLimits)
{
  m_limits = aLimits;
}

absl::Status RouteTable::Apply(const CatalogItem& aItem)
{
  auto entry = DecodeItem(aItem);
  if (!entry.ok()) {
    return entry.status();
  }
  std::visit(
    [&](auto&& aEntry) {
      Add(aItem.m_key, std::forward<decltype(aEntry)>(aEntry));
    },
    *std::move(entry));
  return absl::OkStatus();
}

/// Removes the entry of an item. An account's keys are removed unless another
/// account has them by now.
void RouteTable::Remove(const std::string& aItemKey)
{
  std::string_view key = aItemKey;
  std::string_view kind = key.substr(0, key.find('/') + 1);
  std::string name(key.substr(kind.size()));
  if (kind == kRouteItems) {
    m_routes.erase(name);
  } else if (kind == kServiceItems) {
    m_services.erase(name);
  }
  auto account = m_accounts.find(aItemKey);
  if (account == m_accounts.end()) {
    return;
  }
  for (const std::string& accountKey : account->second->m_keys) {
    auto holder = m_accountsByKey.find(accountKey);
    if (holder != m_accountsByKey.end() && holder->second == account->second) {
      m_accountsByKey.erase(holder);
    }
  }
  m_accounts.erase(account);
}

absl::StatusOr<RouteTable> RouteTable::Updated(
  const CatalogUpdate& aUpdate) const
{
  RouteTable updated = aUpdate.m_baseIndex == 0 ? RouteTable() : *this;
  updated.m_version = aUpdate.m_version;
  for (const std::string& key : aUpdate.m_removed) {
    updated.Remove(key);
  }
  // A key may pass from one account to another, so all old entries go first.
  for (const CatalogItem& item : aUpdate.m_changed) {
    updated.Remove(item.m_key);
  }
  for (const CatalogItem& item : aUpdate.m_changed) {
    absl::Status applied = updated.Apply(item);
    if (!applied.ok()) {
      return applied;
    }
  }
  return updated;
}

// Look-up.

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
      return at->second.get();
    }
    prefix.remove_suffix(1);
  }
  return nullptr;
}

const ServiceSpec* RouteTable::FindService(std::string_view aName) const
{
  auto at = m_services.find(std::string(aName));
  return at == m_services.end() ? nullptr : at->second.get();
}

const ClientAccount* RouteTable::FindAccount(std::string_view aKey) const
{
  auto at = m_accountsByKey.find(std::string(aKey));
  return at == m_accountsByKey.end() ? nullptr : at->second.get();
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
