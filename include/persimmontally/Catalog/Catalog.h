#ifndef PERSIMMONTALLY_CATALOG_CATALOG_H
#define PERSIMMONTALLY_CATALOG_CATALOG_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Time.h"

#include "absl/status/status.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmontally {

/// Whether a request of a route may run more than once.
enum class Repeatability : uint8_t
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each request that the caller sends.
  AtMostOnce,
  /// A streamed generation; runs at most once.
  Stream,
};

/// One of the services that share the requests of a route.
struct RouteTarget
{
  std::string m_service;
  /// Relative to the weights of the route's other targets.
  uint32_t m_weight = 1;

  bool operator==(const RouteTarget&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_service, m_weight);
  }
};

/// Terms of a route that only some deployments use. Hosts exchange them apart
/// from the route, so that older builds can read catalogs without terms.
struct RouteTerms
{
  /// Regions in which requests may be served and stored; empty for all.
  std::vector<RegionId> m_allowedRegions;
  /// Whether a stream that was broken off may be resumed at another upstream.
  bool m_isResumable = false;

  bool operator==(const RouteTerms&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_allowedRegions, m_isResumable);
  }
};

/// Targets and service objectives of requests with one host name and path
/// prefix.
struct Route
{
  std::string m_name;
  /// Host name in the request, without a port.
  std::string m_hostName;
  /// Begins and ends with a slash.
  std::string m_pathPrefix;
  Repeatability m_repeatability = Repeatability::Idempotent;
  /// Maximum time from arrival to the end of the answer.
  Duration m_timeout{ 0 };
  /// Target for the time to the answer, or to the first token of a generation.
  Duration m_latencyObjective{ 0 };
  /// Target for the time between tokens; 0 without one.
  Duration m_timeBetweenTokensObjective{ 0 };
  /// 0 is the highest priority.
  int m_priority = 0;
  /// Maximum number of upstreams that one request is sent to.
  int m_maxAttempts = 1;
  /// Whether requests are accepted without a key.
  bool m_isPublic = false;
  std::vector<RouteTarget> m_targets;
  RouteTerms m_terms = {};

  bool operator==(const Route&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_name, m_hostName, m_pathPrefix, m_repeatability);
    aArchive(m_timeout, m_latencyObjective, m_timeBetweenTokensObjective);
    aArchive(m_priority, m_maxAttempts, m_isPublic, m_targets);
  }
};

/// Properties that all engines of a service share.
struct EngineSpec
{
  /// Generations that one engine runs at the same time.
  uint32_t m_slots = 0;
  /// KV memory for running requests and cached prefixes, in tokens.
  uint32_t m_kvMemoryTokens = 0;
  /// Size of the KV memory of one token when it is copied to another engine.
  uint32_t m_bytesPerToken = 0;
  /// Bandwidth between engines.
  double m_linkMegabitsPerSecond = 0;
  /// Whether a running generation can migrate to another engine.
  bool m_canMigrate = false;
  /// Whether an engine can keep a backup of a running generation's KV memory on
  /// another engine, so that the generation can resume there.
  bool m_canBackUp = false;

  bool operator==(const EngineSpec&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_slots, m_kvMemoryTokens, m_bytesPerToken);
    aArchive(m_linkMegabitsPerSecond, m_canMigrate, m_canBackUp);
  }
};

/// Terms of a service that only some deployments use; see `RouteTerms`.
struct ServiceTerms
{
  /// Time after its start for which an upstream is cold.
  Duration m_warmUpTime{ 0 };
  /// Requests per second that a cold upstream tolerates from all hosts
  /// together; 0 if coldness does not limit them.
  double m_coldRequestsPerSecond = 0;

  bool operator==(const ServiceTerms&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_warmUpTime, m_coldRequestsPerSecond);
  }
};

/// A service that routes refer to by name.
struct ServiceSpec
{
  std::string m_name;
  /// Connections that one upstream accepts from all hosts together.
  uint32_t m_maxConnections = 0;
  /// Set for services whose upstreams are inference engines.
  std::optional<EngineSpec> m_engine;
  ServiceTerms m_terms = {};

  bool operator==(const ServiceSpec&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_name, m_maxConnections, m_engine);
  }
};

/// Limits on the requests and connections of callers.
struct CallerLimits
{
  uint32_t m_maxHeaderBytes = 16384;
  uint32_t m_maxBodyBytes = 4194304;
  Duration m_headerTimeout = seconds(3);
  Duration m_idleTimeout = seconds(15);

  bool operator==(const CallerLimits&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_maxHeaderBytes, m_maxBodyBytes, m_headerTimeout, m_idleTimeout);
  }
};

/// Terms of an account that only some deployments use; see `RouteTerms`.
struct AccountTerms
{
  /// Regions in which its requests may be served and stored; empty for all.
  /// Those of the route apply as well.
  std::vector<RegionId> m_allowedRegions;

  bool operator==(const AccountTerms&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_allowedRegions);
  }
};

struct ClientAccount
{
  AccountId m_id;
  std::vector<std::string> m_keys;
  /// Takes precedence over the priority of the route.
  std::optional<int> m_priority;
  AccountTerms m_terms = {};

  bool operator==(const ClientAccount&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_id, m_keys, m_priority);
  }
};

/// One version of the operators' configuration of routed traffic.
struct Catalog
{
  uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceSpec> m_services;
  CallerLimits m_limits;
  /// Empty if keys are not used.
  std::vector<ClientAccount> m_accounts;

  bool operator==(const Catalog&) const = default;
};

/// Checks that a catalog is consistent: unique service names, valid prefixes,
/// timeouts, attempts and weights, targets that exist, one route for each host
/// name and path prefix, and no key that two accounts use. Returns an
/// InvalidArgument error that names the first invalid entry.
absl::Status ValidateCatalog(const Catalog& aCatalog);

} // namespace persimmontally

#endif
