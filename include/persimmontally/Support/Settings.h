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

/// IP number and port of a peer.
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

/// Parses `ADDRESS:PORT`, where the address is an IP number.
absl::StatusOr<Endpoint> ParseEndpoint(std::string_view aText);
std::string ToString(const Endpoint& aEndpoint);

/// The checked settings of one entry host.
struct Settings
{
  HostId m_host;
  DataCentreId m_dataCentre;
  RegionId m_region;
  /// Region of each data centre, where it is known.
  std::map<DataCentreId, RegionId> m_regions;
  /// Port 0 where a listener is not set.
  Endpoint m_httpListen;
  Endpoint m_peerListen;
  /// Callers on the routes of the catalog, and the balancer's question whether
  /// to send them here.
  Endpoint m_callersListen;
  Endpoint m_readinessListen;
  /// Upstreams and operators of routed traffic.
  Endpoint m_controlListen;
  Endpoint m_metricsListen;
  std::vector<Endpoint> m_seeds;

  /// Empty on hosts without a disk.
  std::string m_dataDir;
  /// Names of the hosts whose disks form the first replicated group.
  std::vector<HostId> m_bootstrapHosts;
  /// Whether the hosts of the seeds found the first replicated group.
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
  int m_maxQueuedRequests = 0;
  Duration m_headerTimeout{ 0 };
  Duration m_writeStallTimeout{ 0 };
  Duration m_shutdownGrace{ 0 };
  std::string m_routingPolicy;

  bool operator==(const Settings&) const = default;
};

/// Whether the host serves routed traffic, and not the product's own API.
inline bool IsRoutedHost(const Settings& aSettings)
{
  return aSettings.m_callersListen.m_port != 0 ||
         aSettings.m_controlListen.m_port != 0;
}

/// One row of the table that checks a settings file; the reference page is
/// printed from the same rows.
struct SettingRow
{
  std::string_view m_section;
  std::string_view m_key;
  std::string_view m_type;
  std::string_view m_default;
  std::string_view m_help;
};

const std::vector<SettingRow>& SettingRows();

/// Reads an INI text. The error names file, section, key and reason, and every
/// fault of the file is listed, one a line.
absl::StatusOr<Settings> ParseSettings(const std::string& aFile,
                                       const std::string& aText);

/// Reads and checks a file, including the key files it names.
absl::StatusOr<Settings> LoadSettings(const std::string& aFile);

/// Markdown table of all settings.
std::string SettingsReference();

} // namespace persimmontally

#endif
