#include "persimmontally/Catalog/Catalog.h"

#include <map>
#include <set>

namespace persimmontally {

static absl::Status InvalidEntry(const std::string& aSubject,
                                 const std::string& aReason)
{
  return absl::InvalidArgumentError(aSubject + ": " + aReason);
}

static absl::Status ValidateRoute(const Route& aRoute,
                                  const std::set<std::string>& aServices)
{
  std::string subject = "route '" + aRoute.m_name + "'";
  const std::string& prefix = aRoute.m_pathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return InvalidEntry(subject,
                        "the path prefix must begin and end with a slash");
  }
  if (aRoute.m_timeout <= Duration(0)) {
    return InvalidEntry(subject, "the timeout must be greater than 0");
  }
  if (aRoute.m_maxAttempts < 1) {
    return InvalidEntry(subject,
                        "the maximum number of attempts must be at least 1");
  }
  uint64_t weights = 0;
  for (const RouteTarget& target : aRoute.m_targets) {
    if (!aServices.contains(target.m_service)) {
      return InvalidEntry(subject,
                          "unknown service '" + target.m_service + "'");
    }
    weights += target.m_weight;
  }
  return weights > 0
           ? absl::OkStatus()
           : InvalidEntry(
               subject, "the sum of the target weights must be greater than 0");
}

absl::Status ValidateCatalog(const Catalog& aCatalog)
{
  std::set<std::string> services;
  for (const ServiceSpec& service : aCatalog.m_services) {
    if (!services.insert(service.m_name).second) {
      return InvalidEntry("service '" + service.m_name + "'",
                          "duplicate service name");
    }
  }
  std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
  for (const Route& route : aCatalog.m_routes) {
    absl::Status status = ValidateRoute(route, services);
    if (!status.ok()) {
      return status;
    }
    if (!hostsAndPrefixes.emplace(route.m_hostName, route.m_pathPrefix)
           .second) {
      return InvalidEntry(
        "route '" + route.m_name + "'",
        "another route has the same host name and path prefix");
    }
  }
  std::map<std::string, AccountId> keys;
  for (const ClientAccount& account : aCatalog.m_accounts) {
    for (const std::string& key : account.m_keys) {
      auto [at, isNew] = keys.emplace(key, account.m_id);
      if (!isNew && at->second != account.m_id) {
        return InvalidEntry("account '" + account.m_id.Value() + "'",
                            "has the same key as account '" +
                              at->second.Value() + "'");
      }
    }
  }
  return absl::OkStatus();
}

} // namespace persimmontally
