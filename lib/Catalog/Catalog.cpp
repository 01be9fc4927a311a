#include "persimmontally/Catalog/Catalog.h"

#include <map>
#include <set>

namespace persimmontally {

static absl::Status Invalid(const std::string& aWhat, const std::string& aWhy)
{
  return absl::InvalidArgumentError(aWhat + ": " + aWhy);
}

static absl::Status ValidateRoute(const Route& aRoute,
                                  const std::set<std::string>& aServices)
{
  std::string what = "route '" + aRoute.m_name + "'";
  const std::string& prefix = aRoute.m_pathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return Invalid(what, "the path prefix must begin and end with a slash");
  }
  if (aRoute.m_timeout <= Duration(0)) {
    return Invalid(what, "the timeout must be above 0");
  }
  if (aRoute.m_maxAttempts < 1) {
    return Invalid(what, "at least one attempt is needed");
  }
  uint64_t weights = 0;
  for (const RouteTarget& target : aRoute.m_targets) {
    if (!aServices.contains(target.m_service)) {
      return Invalid(what, "unknown service '" + target.m_service + "'");
    }
    weights += target.m_weight;
  }
  return weights > 0 ? absl::OkStatus()
                     : Invalid(what, "the weights add up to 0");
}

absl::Status ValidateCatalog(const Catalog& aCatalog)
{
  std::set<std::string> services;
  for (const ServiceSpec& service : aCatalog.m_services) {
    if (!services.insert(service.m_name).second) {
      return Invalid("service '" + service.m_name + "'", "named twice");
    }
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : aCatalog.m_routes) {
    absl::Status valid = ValidateRoute(route, services);
    if (!valid.ok()) {
      return valid;
    }
    if (!places.emplace(route.m_hostName, route.m_pathPrefix).second) {
      return Invalid("route '" + route.m_name + "'",
                     "another route has its host name and path prefix");
    }
  }
  std::map<std::string, AccountId> keys;
  for (const ClientAccount& account : aCatalog.m_accounts) {
    for (const std::string& key : account.m_keys) {
      auto [at, isNew] = keys.emplace(key, account.m_id);
      if (!isNew && at->second != account.m_id) {
        return Invalid("account '" + account.m_id.Value() + "'",
                       "shares a key with '" + at->second.Value() + "'");
      }
    }
  }
  return absl::OkStatus();
}

} // namespace persimmontally
