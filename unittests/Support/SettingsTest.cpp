#include "persimmontally/Support/Settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace persimmontally;

namespace {

/// Key file in the temporary folder, removed on destruction.
class KeyFile
{
public:
  KeyFile()
    : m_path(std::filesystem::temp_directory_path() /
             ("persimmontally-key-" + std::to_string(::getpid())))
  {
    std::ofstream(m_path) << "0123456789abcdef\n";
  }
  ~KeyFile() { std::filesystem::remove(m_path); }
  std::string Path() const { return m_path.string(); }

private:
  std::filesystem::path m_path;
};

} // namespace

static std::string ValidSettings(const std::string& aKeyFile)
{
  return "[host]\nname = xela-1\ndata_centre = xela\nregion = oes\n"
         "[listen]\nhttp = 127.0.0.1:8080\npeer = 127.0.0.1:7946\n"
         "[peers]\nseeds = 127.0.0.1:7946, 127.0.0.2:7946\n"
         "[keys]\nadmin_key_file = " +
         aKeyFile + "\nupstream_key_file = " + aKeyFile +
         "\npeer_key_file = " + aKeyFile + "\n";
}

TEST_CASE("valid settings are read and missing ones take their defaults")
{
  KeyFile key;
  auto settings = ParseSettings("good.ini", ValidSettings(key.Path()));
  REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  CHECK(settings->m_host == HostId("xela-1"));
  CHECK(settings->m_seeds.size() == 2);
  CHECK(settings->m_voters == 3);
  CHECK(settings->m_adminKey == "0123456789abcdef");
}

TEST_CASE("errors in settings name file, section, key and reason")
{
  struct Row
  {
    std::string m_addedText;
    std::string m_expected;
  };
  const Row rows[] = {
    { "[state]\nvoters = 9\n", "bad.ini: [state] voters: 9 is out of range" },
    { "[state]\nvoters = three\n",
      "[state] voters: 'three' is not an integer" },
    { "[state]\nvotes = 3\n", "[state] votes: unknown key" },
    { "[log]\nlevel = loud\n", "[log] level: 'loud' is not one of" },
    { "[state]\nbootstrap_hosts = a b\n", "'a b' is not a valid name" },
    { "[limits]\nmax_header_bytes = 4\n", "max_header_bytes: 4 is out" },
    { "[limits]\nmemory_mb = 1 GB\n", "memory_mb: '1 GB' is not an integer" },
    { "[limits]\nmax_descriptors = -1\n", "max_descriptors: -1 is out" },
    { "[host]\nname = twice\n", "bad.ini:" },
    { "[odd\n", "bad.ini:" },
  };
  KeyFile key;
  for (const Row& row : rows) {
    CAPTURE(row.m_addedText);
    auto settings =
      ParseSettings("bad.ini", ValidSettings(key.Path()) + row.m_addedText);
    REQUIRE_FALSE(settings.ok());
    std::string message(settings.status().message());
    CAPTURE(message);
    CHECK(message.find(row.m_expected) != std::string::npos);
  }
}

TEST_CASE("ParseEndpoint accepts only an IP address with a port")
{
  struct Row
  {
    std::string m_text;
    bool m_isAccepted;
  };
  const Row rows[] = { { "127.0.0.1:80", true },
                       { "::1:80", true },
                       { "localhost:80", false },
                       { "127.0.0.1", false },
                       { "127.0.0.1:", false },
                       { "127.0.0.1:70000", false },
                       { "", false } };
  for (const Row& row : rows) {
    CAPTURE(row.m_text);
    CHECK(ParseEndpoint(row.m_text).ok() == row.m_isAccepted);
  }
}

static std::string RoutedHostSettings(const std::string& aAddedText,
                                      const std::string& aHostSettings = "")
{
  return "[host]\nname = core-1\ndata_centre = xela\nregion = oes\n" +
         aHostSettings +
         "[listen]\ncontrol = 10.0.0.1:8748\npeer = 10.0.0.1:7200\n"
         "[peers]\nseeds = 10.0.0.1:8748,10.0.0.2:8748\n"
         "seeds_have_own_port = yes\n"
         "[keys]\npeer_key = 0123456789abcdef\n" +
         aAddedText;
}

TEST_CASE("a host that serves catalog routes needs no key files")
{
  auto settings = ParseSettings("a.ini",
                                RoutedHostSettings("[state]\ndata_dir = /data\n"
                                                   "found_group = true\n"
                                                   "tolerated_losses = 2\n"));
  REQUIRE(settings.ok());
  CHECK(IsRoutedHost(*settings));
  CHECK(settings->m_foundGroup);
  CHECK(settings->m_voters == 5);
  CHECK(settings->m_callersListen.m_port == 0);
  CHECK(settings->m_controlListen == Endpoint{ "10.0.0.1", 8748 });
  // The seeds are given with their control port, which is replaced by this
  // host's peer port.
  CHECK(settings->m_seeds ==
        std::vector<Endpoint>{ { "10.0.0.1", 7200 }, { "10.0.0.2", 7200 } });
}

TEST_CASE("the regions setting maps data centres to regions")
{
  struct Row
  {
    const char* m_line;
    bool m_isValid;
    size_t m_count;
  };
  for (const Row& row : { Row{ "", true, 0 },
                          Row{ "regions = xela:oes,tecpan:valle", true, 2 },
                          Row{ "regions = xela:oes, tecpan", false, 0 },
                          Row{ "regions = :oes", false, 0 },
                          Row{ "regions = xela:", false, 0 } }) {
    CAPTURE(row.m_line);
    auto settings = ParseSettings(
      "a.ini", RoutedHostSettings("", std::string(row.m_line) + "\n"));
    REQUIRE(settings.ok() == row.m_isValid);
    if (!row.m_isValid) {
      CHECK(std::string(settings.status().message()).find("[host] regions") !=
            std::string::npos);
      continue;
    }
    CHECK(settings->m_regions.size() == row.m_count);
    if (row.m_count > 0) {
      CHECK(settings->m_regions.at(DataCentreId("tecpan")) ==
            RegionId("valle"));
    }
  }
}

TEST_CASE("errors in the settings of a host that serves catalog routes name "
          "the setting")
{
  struct Row
  {
    const char* m_addedText;
    const char* m_expected;
  };
  for (const Row& row :
       { Row{ "[state]\ntolerated_losses = 4\n", "[state] tolerated_losses" },
         Row{ "[state]\nfound_group = maybe\n", "[state] found_group" },
         Row{ "[listen]\ncallers = nowhere\n", "a.ini" },
         Row{ "[limits]\nshutdown_grace_ms = -1\n", "shutdown_grace_ms" },
         Row{ "[limits]\nshutdown_limit_s = -1\n", "shutdown_limit_s" },
         Row{ "[limits]\nshutdown_limit_s = nan\n", "shutdown_limit_s" },
         Row{ "[limits]\nshutdown_limit_s = 8 s\n", "shutdown_limit_s" } }) {
    CAPTURE(row.m_addedText);
    auto settings = ParseSettings("a.ini", RoutedHostSettings(row.m_addedText));
    REQUIRE_FALSE(settings.ok());
    CHECK(std::string(settings.status().message()).find(row.m_expected) !=
          std::string::npos);
  }
}

TEST_CASE("overrides replace settings of the file and are checked like them")
{
  struct Row
  {
    const char* m_overrides;
    /// Part of the error; empty if there is none.
    const char* m_error;
    Duration m_limit;
  };
  for (const Row& row :
       { Row{ "limits.shutdown_limit_s=7.5", "", milliseconds(7500) },
         Row{ "limits.shutdown_limit_s=", "", seconds(3) },
         Row{ "", "", seconds(3) },
         Row{ "limits.shutdown_limit_s=x", "shutdown_limit_s", {} },
         Row{ "limits.nothing=1", "unknown key", {} },
         Row{ "shutdown_limit_s=1", "SECTION.KEY=VALUE", {} } }) {
    CAPTURE(std::string(row.m_overrides));
    auto settings =
      ParseSettings("a.ini",
                    RoutedHostSettings("[limits]\nshutdown_limit_s = 3\n"),
                    row.m_overrides);
    REQUIRE(settings.ok() == (*row.m_error == '\0'));
    if (settings.ok()) {
      CHECK(settings->m_shutdownLimit == row.m_limit);
    } else {
      CHECK(std::string(settings.status().message()).find(row.m_error) !=
            std::string::npos);
    }
  }
}
