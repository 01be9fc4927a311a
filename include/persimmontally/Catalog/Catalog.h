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

/// How often a request of a route may run.
enum class Repeatability : uint8_t
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each attempt of the caller.
  AtMostOnce,
  /// A generation that is streamed; runs at most once.
  Stream,
};

/// One of the services that the requests of a route are divided among.
struct RouteTarget
{
  std::string m_service;
  uint32_t m_weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/// Where requests of one host name and path prefix go, and what they are owed.
struct Route
{
  std::string m_name;
  /// Host name that callers ask for, without a port.
  std::string m_hostName;
  /// Begins and ends with a slash.
  std::string m_pathPrefix;
  Repeatability m_repeatability = Repeatability::Idempotent;
  /// Longest time from arrival to the final answer.
  Duration m_timeout{ 0 };
  /// Time to the answer, or to the first token, that callers count on.
  Duration m_latencyObjective{ 0 };
  /// Longest pause between tokens that callers count on; 0 without one.
  Duration m_pauseObjective{ 0 };
  /// 0 is the most urgent.
  int m_priority = 0;
  /// Upstreams that one request may be sent to.
  int m_maxAttempts = 1;
  /// Whether requests need no key.
  bool m_isPublic = false;
  std::vector<RouteTarget> m_targets;

  bool operator==(const Route&) const = default;
};

/// What the engines of a service have in common.
struct EngineSpec
{
  uint32_t m_slots = 0;
  /// Memory for running requests and cached prefixes, in tokens.
  uint32_t m_memoryTokens = 0;
  /// Size of one token's memory when it moves to another engine.
  uint32_t m_bytesPerToken = 0;
  double m_linkMegabitsPerSecond = 0;
  /// Whether a running request can be moved to another engine.
  bool m_canMove = false;
  /// Whether an engine can send a request's memory to another one while it
  /// runs, so that it can go on there.
  bool m_canBackUp = false;

  bool operator==(const EngineSpec&) const = default;
};

struct ServiceSpec
{
  std::string m_name;
  /// Connections that one upstream takes from all hosts together.
  uint32_t m_maxConnections = 0;
  /// Set for services whose upstreams are model engines.
  std::optional<EngineSpec> m_engine;

  bool operator==(const ServiceSpec&) const = default;
};

/// Bounds on what a caller may send.
struct CallerLimits
{
  uint32_t m_maxHeaderBytes = 16384;
  uint32_t m_maxBodyBytes = 4194304;
  Duration m_headerTimeout = seconds(3);
  Duration m_idleTimeout = seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

struct ClientAccount
{
  AccountId m_id;
  std::vector<std::string> m_keys;
  /// Takes precedence over the priority of the route.
  std::optional<int> m_priority;

  bool operator==(const ClientAccount&) const = default;
};

/// Everything operators set for routed traffic, as of one version.
struct Catalog
{
  uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServiceSpec> m_services;
  CallerLimits m_limits;
  /// Empty when no keys are in use.
  std::vector<ClientAccount> m_accounts;

  bool operator==(const Catalog&) const = default;
};

/// Checks a catalog against its own rules: known services, one route for each
/// host name and prefix, weights, timeouts, keys that belong to one account.
absl::Status ValidateCatalog(const Catalog& aCatalog);

} // namespace persimmontally

#endif
