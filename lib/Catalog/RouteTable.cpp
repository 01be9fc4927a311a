#include "persimmontally/Catalog/RouteTable.h"

#include "persimmontally/Catalog/CatalogItems.h"

#include <algorithm>

namespace persimmontally {

static std::string RouteKey(std::string_view aHostName,
                            std::string_view aPrefix)
{
  return std::string(aHostName).append(" ").append(aPrefix);
}

RouteTable::RouteTable(const Catalog& aCatalog,
                       std::set<DataCentreId> aEvacuated)
  : m_version(aCatalog.m_version)
  , m_evacuated(std::move(aEvacuated))
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

/// Returns the part of an item's key behind its kind.
static std::string NameOf(std::string_view aItemKey)
{
  return std::string(aItemKey.substr(aItemKey.find('/') + 1));
}

static std::string AccountItemKey(const std::string& aTermsKey)
{
  return std::string(kAccountItems) + NameOf(aTermsKey);
}

/// Returns a copy of an entry with other terms.
template<class Entry, class Terms>
static std::shared_ptr<const Entry> WithTerms(const Entry& aEntry, Terms aTerms)
{
  Entry entry = aEntry;
  entry.m_terms = std::move(aTerms);
  return std::make_shared<const Entry>(std::move(entry));
}

/// Returns the value of a key, or a default one.
template<class Value>
static Value ValueOr(const std::unordered_map<std::string, Value>& aValues,
                     const std::string& aKey,
                     const Value& aDefault)
{
  auto at = aValues.find(aKey);
  return at == aValues.end() ? aDefault : at->second;
}

void RouteTable::Add(const std::string&, Route aRoute)
{
  std::string key = RouteKey(aRoute.m_hostName, aRoute.m_pathPrefix);
  aRoute.m_terms = ValueOr(m_routeTerms, key, aRoute.m_terms);
  m_routes[key] = std::make_shared<const Route>(std::move(aRoute));
}

void RouteTable::Add(const std::string&, ServiceSpec aService)
{
  std::string name = aService.m_name;
  aService.m_terms = ValueOr(m_serviceTerms, name, aService.m_terms);
  m_services[name] = std::make_shared<const ServiceSpec>(std::move(aService));
}

void RouteTable::SetAccount(const std::string& aItemKey, AccountPtr aAccount)
{
  m_accounts[aItemKey] = aAccount;
  for (const std::string& key : aAccount->m_keys) {
    m_accountsByKey[key] = aAccount;
  }
}

void RouteTable::Add(const std::string& aItemKey, ClientAccount aAccount)
{
  aAccount.m_terms = ValueOr(m_accountTerms, aItemKey, aAccount.m_terms);
  SetAccount(aItemKey,
             std::make_shared<const ClientAccount>(std::move(aAccount)));
}

void RouteTable::Add(const std::string&, const CallerLimits& aLimits)
{
  m_limits = aLimits;
}

void RouteTable::Add(const std::string& aItemKey, RouteTerms aTerms)
{
  std::string key = NameOf(aItemKey);
  auto route = m_routes.find(key);
  if (route != m_routes.end()) {
    route->second = WithTerms(*route->second, aTerms);
  }
  m_routeTerms[key] = std::move(aTerms);
}

void RouteTable::Add(const std::string& aItemKey, const ServiceTerms& aTerms)
{
  std::string name = NameOf(aItemKey);
  auto service = m_services.find(name);
  if (service != m_services.end()) {
    service->second = WithTerms(*service->second, aTerms);
  }
  m_serviceTerms[name] = aTerms;
}

void RouteTable::Add(const std::string& aItemKey, AccountTerms aTerms)
{
  std::string key = AccountItemKey(aItemKey);
  auto account = m_accounts.find(key);
  if (account != m_accounts.end()) {
    SetAccount(key, WithTerms(*account->second, aTerms));
  }
  m_accountTerms[key] = std::move(aTerms);
}

absl::Status RouteTable::Apply(const CatalogItem& aItem)
{
  if (aItem.m_key.starts_with(kEvacuationItems)) {
    m_evacuated.insert(DataCentreId(NameOf(aItem.m_key)));
    return absl::OkStatus();
  }
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
  } else if (kind == kEvacuationItems) {
    m_evacuated.erase(DataCentreId(name));
  } else if (kind == kRouteTermsItems) {
    Add(aItemKey, RouteTerms());
    m_routeTerms.erase(name);
  } else if (kind == kServiceTermsItems) {
    Add(aItemKey, ServiceTerms());
    m_serviceTerms.erase(name);
  } else if (kind == kAccountTermsItems) {
    Add(aItemKey, AccountTerms());
    m_accountTerms.erase(AccountItemKey(aItemKey));
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

std::set<RegionId> RouteTable::AllowedRegions() const
{
  std::set<RegionId> regions;
  auto addAll = [&](const auto& aEntry) {
    const std::vector<RegionId>& allowed = aEntry.m_terms.m_allowedRegions;
    regions.insert(allowed.begin(), allowed.end());
  };
  VisitRoutes(addAll);
  VisitAccounts(addAll);
  return regions;
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
