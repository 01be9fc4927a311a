#include "persimmontally/Support/Settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace persimmontally;

namespace {

/// A key file that lives as long as the test.
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

static std::string GoodSettings(const std::string& aKeyFile)
{
  return "[host]\nname = xela-1\ndata_centre = xela\nregion = oes\n"
         "[listen]\nhttp = 127.0.0.1:8080\npeer = 127.0.0.1:7946\n"
         "[peers]\nseeds = 127.0.0.1:7946, 127.0.0.2:7946\n"
         "[keys]\nadmin_key_file = " +
         aKeyFile + "\nupstream_key_file = " + aKeyFile +
         "\npeer_key_file = " + aKeyFile + "\n";
}

TEST_CASE("good settings are read, with defaults for the rest")
{
  KeyFile key;
  auto settings = ParseSettings("good.ini", GoodSettings(key.Path()));
  REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  CHECK(settings->m_host == HostId("xela-1"));
  CHECK(settings->m_seeds.size() == 2);
  CHECK(settings->m_voters == 3);
  CHECK(settings->m_adminKey == "0123456789abcdef");
}

TEST_CASE("each bad setting is named with file, section, key and reason")
{
  struct Row
  {
    std::string m_added;
    std::string m_expected;
  };
  const Row rows[] = {
    { "[state]\nvoters = 9\n", "bad.ini: [state] voters: 9 is out of range" },
    { "[state]\nvoters = three\n", "[state] voters: 'three' is not a whole" },
    { "[state]\nvotes = 3\n", "[state] votes: unknown key" },
    { "[log]\nlevel = loud\n", "[log] level: 'loud' is none of" },
    { "[state]\nbootstrap_hosts = a b\n", "'a b' is not a name" },
    { "[limits]\nmax_header_bytes = 4\n", "max_header_bytes: 4 is out" },
    { "[host]\nname = twice\n", "bad.ini:" },
    { "[odd\n", "bad.ini:" },
  };
  KeyFile key;
  for (const Row& row : rows) {
    CAPTURE(row.m_added);
    auto settings =
      ParseSettings("bad.ini", GoodSettings(key.Path()) + row.m_added);
    REQUIRE_FALSE(settings.ok());
    std::string message(settings.status().message());
    CAPTURE(message);
    CHECK(message.find(row.m_expected) != std::string::npos);
  }
}

TEST_CASE("addresses are IP numbers with a port")
{
  struct Row
  {
    std::string m_text;
    bool m_isGood;
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
    CHECK(ParseEndpoint(row.m_text).ok() == row.m_isGood);
  }
}
