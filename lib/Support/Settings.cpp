#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <charconv>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace persimmontally {

absl::StatusOr<Endpoint> ParseEndpoint(std::string_view aText)
{
  auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError("expected ADDRESS:PORT");
  }
  std::string address(aText.substr(0, colon));
  boost::system::error_code error;
  boost::asio::ip::make_address(address, error);
  if (error) {
    return absl::InvalidArgumentError("'" + address + "' is not an IP address");
  }
  std::string_view portText = aText.substr(colon + 1);
  uint16_t port = 0;
  const char* end = portText.data() + portText.size();
  auto result = std::from_chars(portText.data(), end, port);
  if (result.ec != std::errc() || result.ptr != end) {
    return absl::InvalidArgumentError("'" + std::string(portText) +
                                      "' is not a port number");
  }
  return Endpoint{ address, port };
}

std::string ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.m_address + ":" + std::to_string(aEndpoint.m_port);
}

namespace {

/// Reads typed values from one settings file and collects its errors. A getter
/// returns a placeholder after an error, so that all errors are reported at
/// once.
class SettingsReader
{
public:
  SettingsReader(std::string aFile, std::string aText)
    : m_file(std::move(aFile))
    , m_text(std::move(aText))
  {
  }

  absl::Status Parse(const std::string& aOverrides)
  {
    std::istringstream in(m_text);
    try {
      boost::property_tree::read_ini(in, m_tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
      return absl::InvalidArgumentError(
        m_file + ":" + std::to_string(error.line()) + ": " + error.message());
    }
    for (const std::string& entry : SplitList(aOverrides)) {
      size_t dot = entry.find('.');
      size_t equals = entry.find('=');
      if (dot == std::string::npos || equals == std::string::npos ||
          dot > equals) {
        return absl::InvalidArgumentError("override '" + entry +
                                          "' is not SECTION.KEY=VALUE");
      }
      if (equals + 1 == entry.size()) {
        continue;
      }
      std::string path =
        entry.substr(0, dot) + "/" + entry.substr(dot + 1, equals - dot - 1);
      m_tree.put(boost::property_tree::ptree::path_type(path, '/'),
                 entry.substr(equals + 1));
    }
    CheckForUnknownKeys();
    return absl::OkStatus();
  }

  std::string Text(const char* aSection, const char* aKey)
  {
    const SettingRow& row = FindRow(aSection, aKey);
    return m_tree.get<std::string>(Path(row), std::string(row.m_default));
  }

  std::string Name(const char* aSection, const char* aKey)
  {
    std::string text = Text(aSection, aKey);
    if (!IsName(text)) {
      AddError(
        aSection, aKey, "expected a name of letters, digits, '-', '_', '.'");
    }
    return text;
  }

  std::vector<HostId> Names(const char* aSection, const char* aKey)
  {
    std::vector<HostId> names;
    for (const std::string& entry : SplitList(Text(aSection, aKey))) {
      if (!IsName(entry)) {
        AddError(aSection, aKey, "'" + entry + "' is not a valid name");
        continue;
      }
      names.emplace_back(entry);
    }
    return names;
  }

  std::map<DataCentreId, RegionId> Regions(const char* aSection,
                                           const char* aKey)
  {
    std::map<DataCentreId, RegionId> regions;
    for (const std::string& entry : SplitList(Text(aSection, aKey))) {
      size_t colon = entry.find(':');
      std::string region =
        colon == std::string::npos ? "" : entry.substr(colon + 1);
      if (!IsName(entry.substr(0, colon)) || !IsName(region)) {
        AddError(aSection, aKey, "'" + entry + "' is not DATA_CENTRE:REGION");
        continue;
      }
      regions[DataCentreId(entry.substr(0, colon))] = RegionId(region);
    }
    return regions;
  }

  Endpoint RequiredEndpoint(const char* aSection, const char* aKey)
  {
    auto endpoint = ParseEndpoint(Text(aSection, aKey));
    if (!endpoint.ok()) {
      AddError(aSection, aKey, std::string(endpoint.status().message()));
      return {};
    }
    return *endpoint;
  }

  Endpoint OptionalEndpoint(const char* aSection, const char* aKey)
  {
    return Text(aSection, aKey).empty() ? Endpoint()
                                        : RequiredEndpoint(aSection, aKey);
  }

  bool Flag(const char* aSection, const char* aKey)
  {
    std::string text = EnumValue(aSection, aKey);
    return text == "yes" || text == "true";
  }

  std::vector<Endpoint> Endpoints(const char* aSection, const char* aKey)
  {
    std::vector<Endpoint> endpoints;
    for (const std::string& entry : SplitList(Text(aSection, aKey))) {
      auto endpoint = ParseEndpoint(entry);
      if (!endpoint.ok()) {
        AddError(aSection, aKey, std::string(endpoint.status().message()));
        continue;
      }
      endpoints.push_back(*endpoint);
    }
    return endpoints;
  }

  int Integer(const char* aSection, const char* aKey)
  {
    const SettingRow& row = FindRow(aSection, aKey);
    std::istringstream type{ std::string(row.m_type) };
    std::string typeName;
    int low = 0;
    int high = 0;
    type >> typeName >> low >> high;
    std::string text = Text(aSection, aKey);
    int value = 0;
    const char* end = text.data() + text.size();
    auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
      AddError(aSection, aKey, "'" + text + "' is not an integer");
      return low;
    }
    if (value < low || value > high) {
      AddError(aSection,
               aKey,
               text + " is out of range " + std::to_string(low) + " to " +
                 std::to_string(high));
      return low;
    }
    return value;
  }

  /// Reads a number of seconds, which may have a fraction.
  Duration Seconds(const char* aSection, const char* aKey)
  {
    const SettingRow& row = FindRow(aSection, aKey);
    std::istringstream type{ std::string(row.m_type) };
    std::string typeName;
    double low = 0;
    double high = 0;
    type >> typeName >> low >> high;
    std::string text = Text(aSection, aKey);
    double value = low;
    const char* end = text.data() + text.size();
    auto result = std::from_chars(text.data(), end, value);
    // The comparison is false for a value that is not a number.
    bool isInRange = value >= low && value <= high;
    if (result.ec != std::errc() || result.ptr != end || !isInRange) {
      AddError(aSection,
               aKey,
               "'" + text + "' is not a number from " +
                 std::string(row.m_type.substr(typeName.size() + 1)));
      return Duration(0);
    }
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
  }

  std::string EnumValue(const char* aSection, const char* aKey)
  {
    const SettingRow& row = FindRow(aSection, aKey);
    std::string choices(row.m_type.substr(std::string_view("enum ").size()));
    std::string text = Text(aSection, aKey);
    if (("|" + choices + "|").find("|" + text + "|") == std::string::npos) {
      AddError(aSection, aKey, "'" + text + "' is not one of " + choices);
    }
    return text;
  }

  std::string PeerKey()
  {
    std::string key = Text("keys", "peer_key");
    if (key.empty()) {
      return KeyFile("keys", "peer_key_file");
    }
    if (key.size() < kMinKeyBytes) {
      AddError("keys", "peer_key", "key is shorter than 16 characters");
    }
    return key;
  }

  std::string KeyFile(const char* aSection, const char* aKey)
  {
    std::string path = Text(aSection, aKey);
    std::ifstream in(path);
    std::string key;
    if (path.empty() || !std::getline(in, key)) {
      AddError(aSection, aKey, "cannot read the key file '" + path + "'");
      return {};
    }
    if (key.size() < kMinKeyBytes) {
      AddError(aSection, aKey, "key is shorter than 16 characters");
    }
    return key;
  }

  void AddError(std::string_view aSection,
                std::string_view aKey,
                const std::string& aReason)
  {
    m_errors.append(m_file)
      .append(": [")
      .append(aSection)
      .append("] ")
      .append(aKey)
      .append(": ")
      .append(aReason)
      .append("\n");
  }

  const std::string& Errors() const { return m_errors; }

private:
  static constexpr size_t kMinKeyBytes = 16;

  static std::string Path(const SettingRow& aRow)
  {
    return std::string(aRow.m_section) + "." + std::string(aRow.m_key);
  }

  static const SettingRow& FindRow(std::string_view aSection,
                                   std::string_view aKey)
  {
    for (const SettingRow& row : SettingRows()) {
      if (row.m_section == aSection && row.m_key == aKey) {
        return row;
      }
    }
    throw std::logic_error("no schema row for setting: " + std::string(aKey));
  }

  static bool IsName(const std::string& aText)
  {
    return !aText.empty() &&
           aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "0123456789-_.") == std::string::npos;
  }

  static std::vector<std::string> SplitList(const std::string& aText)
  {
    std::vector<std::string> entries;
    std::istringstream in(aText);
    std::string entry;
    while (std::getline(in, entry, ',')) {
      auto first = entry.find_first_not_of(' ');
      auto last = entry.find_last_not_of(' ');
      if (first != std::string::npos) {
        entries.push_back(entry.substr(first, last - first + 1));
      }
    }
    return entries;
  }

  void CheckForUnknownKeys()
  {
    for (const auto& [section, keys] : m_tree) {
      for (const auto& [key, value] : keys) {
        bool isKnown = false;
        for (const SettingRow& row : SettingRows()) {
          isKnown = isKnown || (row.m_section == section && row.m_key == key);
        }
        if (!isKnown) {
          AddError(section, key, "unknown key");
        }
      }
      if (keys.empty()) {
        AddError(section, "", "key outside a section, or empty section");
      }
    }
  }

  std::string m_file;
  std::string m_text;
  boost::property_tree::ptree m_tree;
  std::string m_errors;
};

} // namespace

static LogLevel ParseLogLevel(const std::string& aText)
{
  static const std::map<std::string, LogLevel> levels = {
    { "debug", LogLevel::Debug },
    { "info", LogLevel::Info },
    { "warning", LogLevel::Warning },
    { "error", LogLevel::Error }
  };
  auto at = levels.find(aText);
  return at == levels.end() ? LogLevel::Info : at->second;
}

absl::StatusOr<Settings> ParseSettings(const std::string& aFile,
                                       const std::string& aText,
                                       const std::string& aOverrides)
{
  SettingsReader reader(aFile, aText);
  absl::Status parseStatus = reader.Parse(aOverrides);
  if (!parseStatus.ok()) {
    return parseStatus;
  }
  Settings out;
  out.m_host = HostId(reader.Name("host", "name"));
  out.m_dataCentre = DataCentreId(reader.Name("host", "data_centre"));
  out.m_region = RegionId(reader.Name("host", "region"));
  out.m_regions = reader.Regions("host", "regions");
  out.m_callersListen = reader.OptionalEndpoint("listen", "callers");
  out.m_readinessListen = reader.OptionalEndpoint("listen", "readiness");
  out.m_controlListen = reader.OptionalEndpoint("listen", "control");
  out.m_metricsListen = reader.OptionalEndpoint("listen", "metrics");
  out.m_httpListen =
    IsRoutedHost(out) ? Endpoint() : reader.RequiredEndpoint("listen", "http");
  out.m_peerListen = reader.RequiredEndpoint("listen", "peer");
  out.m_seeds = reader.Endpoints("peers", "seeds");
  if (reader.Flag("peers", "seeds_have_own_port")) {
    for (Endpoint& seed : out.m_seeds) {
      seed.m_port = out.m_peerListen.m_port;
    }
  }
  out.m_dataDir = reader.Text("state", "data_dir");
  out.m_bootstrapHosts = reader.Names("state", "bootstrap_hosts");
  out.m_foundGroup = reader.Flag("state", "found_group");
  out.m_voters = reader.Integer("state", "voters");
  int toleratedLosses = reader.Integer("state", "tolerated_losses");
  if (toleratedLosses > 0) {
    // The smallest group that keeps a majority after this many losses.
    out.m_voters = 2 * toleratedLosses + 1;
  }
  out.m_replaceVoterAfter =
    seconds(reader.Integer("state", "replace_voter_after_s"));
  out.m_orderRetention = seconds(reader.Integer("state", "order_retention_s"));
  if (!IsRoutedHost(out)) {
    out.m_adminKey = reader.KeyFile("keys", "admin_key_file");
    out.m_upstreamKey = reader.KeyFile("keys", "upstream_key_file");
  }
  out.m_peerKey = reader.PeerKey();
  out.m_logLevel = ParseLogLevel(reader.EnumValue("log", "level"));
  out.m_logFormat = reader.EnumValue("log", "format") == "json"
                      ? LogFormat::Json
                      : LogFormat::Text;
  out.m_maxHeaderBytes = reader.Integer("limits", "max_header_bytes");
  out.m_maxBodyBytes = reader.Integer("limits", "max_body_bytes");
  out.m_memoryMb = reader.Integer("limits", "memory_mb");
  out.m_maxDescriptors = reader.Integer("limits", "max_descriptors");
  out.m_maxQueuedRequests = reader.Integer("limits", "max_queued_requests");
  out.m_headerTimeout =
    milliseconds(reader.Integer("limits", "header_timeout_ms"));
  out.m_writeStallTimeout =
    milliseconds(reader.Integer("limits", "write_stall_timeout_ms"));
  out.m_shutdownGrace =
    milliseconds(reader.Integer("limits", "shutdown_grace_ms"));
  out.m_shutdownLimit = reader.Seconds("limits", "shutdown_limit_s");
  out.m_routingPolicy = reader.EnumValue("routing", "policy");
  if (!reader.Errors().empty()) {
    return absl::InvalidArgumentError(reader.Errors());
  }
  return out;
}

absl::StatusOr<Settings> LoadSettings(const std::string& aFile,
                                      const std::string& aOverrides)
{
  std::ifstream in(aFile);
  if (!in) {
    return absl::NotFoundError(aFile + ": cannot read file");
  }
  std::stringstream text;
  text << in.rdbuf();
  return ParseSettings(aFile, text.str(), aOverrides);
}

} // namespace persimmontally
