#ifndef PERSIMMONTALLY_SUPPORT_SETTINGS_H
#define PERSIMMONTALLY_SUPPORT_SETTINGS_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Time.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmontally {

/// IP address and port.
struct Endpoint
{
  std::string m_address;
  uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_address, m_port);
  }
};

/// Parses `ADDRESS:PORT`, where the address is an IP address and not a host
/// name. Returns an error that names the faulty part.
absl::StatusOr<Endpoint> ParseEndpoint(std::string_view aText);
std::string ToString(const Endpoint& aEndpoint);

/// Validated settings of one entry host.
struct Settings
{
  HostId m_host;
  DataCentreId m_dataCentre;
  RegionId m_region;
  /// Region of each data centre, for upstreams that announce only their data
  /// centre; may be empty.
  std::map<DataCentreId, RegionId> m_regions;
  /// The port of a listener that is not configured is 0.
  Endpoint m_httpListen;
  Endpoint m_peerListen;
  /// Requests of callers on the routes of the catalog.
  Endpoint m_callersListen;
  /// Readiness probes of the load balancer in front of the callers' listener.
  Endpoint m_readinessListen;
  /// Upstreams and operators, where catalog routes are served.
  Endpoint m_controlListen;
  Endpoint m_metricsListen;
  std::vector<Endpoint> m_seeds;

  /// Data folder; empty on hosts without a disk.
  std::string m_dataDir;
  /// Hosts with disks that form the first replicated group.
  std::vector<HostId> m_bootstrapHosts;
  /// Whether the seed hosts form the first replicated group.
  bool m_foundGroup = false;
  int m_voters = 3;
  Duration m_replaceVoterAfter{ 0 };
  Duration m_orderRetention{ 0 };

  std::string m_adminKey;
  std::string m_upstreamKey;
  std::string m_peerKey;

  LogLevel m_logLevel = LogLevel::Info;
  LogFormat m_logFormat = LogFormat::Text;

  int m_maxHeaderBytes = 0;
  int m_maxBodyBytes = 0;
  /// Memory in MB and descriptors of this host; 0 if they are not stated.
  int m_memoryMb = 0;
  int m_maxDescriptors = 0;
  int m_maxQueuedRequests = 0;
  Duration m_headerTimeout{ 0 };
  Duration m_writeStallTimeout{ 0 };
  Duration m_shutdownGrace{ 0 };
  /// Time from the stop signal until the process is killed; 0 if it is not.
  Duration m_shutdownLimit{ 0 };
  std::string m_routingPolicy;

  bool operator==(const Settings&) const = default;
};

/// Returns whether the host serves the routes of the catalog instead of its own
/// HTTP API.
inline bool IsRoutedHost(const Settings& aSettings)
{
  return aSettings.m_callersListen.m_port != 0 ||
         aSettings.m_controlListen.m_port != 0;
}

/// Schema of one setting, from which settings files are checked and the
/// reference table is printed. `m_type` also gives the range or the allowed
/// values: `int LOW HIGH`, `decimal LOW HIGH` or `enum A|B`.
struct SettingRow
{
  std::string_view m_section;
  std::string_view m_key;
  std::string_view m_type;
  std::string_view m_default;
  std::string_view m_help;
};

const std::vector<SettingRow>& SettingRows();

/// Parses and checks settings in INI format. `aFile` is used only in error
/// messages. A syntax error is reported with its line; otherwise the error
/// lists every invalid setting on a line of its own, with file, section, key
/// and reason.
/// `aOverrides` lists settings that replace those of the text, as
/// SECTION.KEY=VALUE separated by commas. An empty value overrides nothing.
absl::StatusOr<Settings> ParseSettings(const std::string& aFile,
                                       const std::string& aText,
                                       const std::string& aOverrides = "");

/// Reads a settings file and parses it as `ParseSettings` does. Both also read
/// the key files that the settings name.
absl::StatusOr<Settings> LoadSettings(const std::string& aFile,
                                      const std::string& aOverrides = "");

/// Returns a Markdown table of all settings.
std::string SettingsReference();

} // namespace persimmontally

#endif
