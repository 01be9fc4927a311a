#include "persimmontally/State/LogStore.h"
#include "persimmontally/State/PoisonStore.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace persimmontally;
namespace fs = std::filesystem;

namespace {

/// A temporary data folder that is removed at the end of the test.
class DataFolder
{
public:
  DataFolder()
  {
    static int count = 0;
    m_path = fs::temp_directory_path() /
             ("persimmontally-log-" + std::to_string(::getpid()) + "-" +
              std::to_string(count++));
    fs::remove_all(m_path);
  }
  ~DataFolder() { fs::remove_all(m_path); }
  std::string Path() const { return m_path.string(); }
  std::string Read(const std::string& aName) const
  {
    std::ifstream in(m_path / aName, std::ios::binary);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }
  void Write(const std::string& aName, const std::string& aData) const
  {
    std::ofstream(m_path / aName, std::ios::binary) << aData;
  }

private:
  fs::path m_path;
};

} // namespace

static LogEntry Entry(uint64_t aIndex)
{
  return {
    aIndex, 1, EntryKind::Command, 0, "entry " + std::to_string(aIndex)
  };
}

/// Opens a data folder and writes entries 1 to `aEntries`, each with a hard
/// state.
static void FillLog(const std::string& aPath, uint64_t aEntries)
{
  auto store = OpenFileLogStore(aPath);
  REQUIRE(store.ok());
  for (uint64_t i = 1; i <= aEntries; ++i) {
    RaftReady ready;
    ready.m_append = { Entry(i) };
    ready.m_hardState = HardState{ i, DiskId("a") };
    REQUIRE((*store)->Write(ready).ok());
  }
}

TEST_CASE("reopening a data folder restores log, snapshot, lists and identity")
{
  DataFolder folder;
  FillLog(folder.Path(), 5);
  auto store = OpenFileLogStore(folder.Path());
  REQUIRE(store.ok());
  DiskId disk = (*store)->Disk();
  RaftRecovery content = (*store)->Recover();
  CHECK(content.m_entries.size() == 5);
  CHECK(content.m_hardState == HardState{ 5, DiskId("a") });
  RaftReady truncation;
  truncation.m_truncateFrom = 4;
  truncation.m_append = { Entry(4) };
  REQUIRE((*store)->Write(truncation).ok());
  Snapshot snapshot;
  snapshot.m_index = 2;
  snapshot.m_data = "state";
  REQUIRE((*store)->Compact(snapshot).ok());
  ListsState lists;
  lists.m_index = 9;
  REQUIRE((*store)->StoreLists(lists).ok());
  store->reset();
  auto reopened = OpenFileLogStore(folder.Path());
  REQUIRE(reopened.ok());
  CHECK((*reopened)->Disk() == disk);
  CHECK((*reopened)->Recover().m_entries ==
        std::vector<LogEntry>{ Entry(3), Entry(4) });
  CHECK((*reopened)->Recover().m_snapshot.m_data == "state");
  CHECK((*reopened)->RecoverLists().m_index == 9);
}

TEST_CASE("a log truncated at any byte restores a prefix of its entries")
{
  DataFolder complete;
  FillLog(complete.Path(), 3);
  std::string log = complete.Read("log");
  for (size_t size = 0; size < log.size(); ++size) {
    DataFolder truncated;
    FillLog(truncated.Path(), 0);
    truncated.Write("log", log.substr(0, size));
    auto store = OpenFileLogStore(truncated.Path());
    REQUIRE_MESSAGE(store.ok(), store.status().message());
    auto entries = (*store)->Recover().m_entries;
    REQUIRE(entries.size() <= 3);
    for (size_t i = 0; i < entries.size(); ++i) {
      CHECK(entries[i] == Entry(i + 1));
    }
    // The truncated log accepts new entries.
    RaftReady ready;
    ready.m_append = { Entry(entries.size() + 1) };
    CHECK((*store)->Write(ready).ok());
  }
}

TEST_CASE("opening a log with a corrupt record before intact ones fails with "
          "file and offset")
{
  DataFolder folder;
  FillLog(folder.Path(), 3);
  std::string log = folder.Read("log");
  // Damages only the first half of the log: damage in the last record cannot be
  // distinguished from an interrupted write.
  for (size_t offset = 0; offset < log.size() / 2; ++offset) {
    std::string damaged = log;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x40);
    folder.Write("log", damaged);
    auto store = OpenFileLogStore(folder.Path());
    REQUIRE_FALSE(store.ok());
    std::string message(store.status().message());
    CHECK(message.find("log at byte") != std::string::npos);
  }
}

TEST_CASE("opening a data folder that is already open fails")
{
  DataFolder folder;
  auto first = OpenFileLogStore(folder.Path());
  REQUIRE(first.ok());
  CHECK_FALSE(OpenFileLogStore(folder.Path()).ok());
}

// Guards against a quarantine that is lost when all hosts lose power.
TEST_CASE("stored poison rows are read back, and damaged ones are reported")
{
  DataFolder folder;
  REQUIRE(OpenFileLogStore(folder.Path()).ok());
  auto rows = LoadPoisonRows(folder.Path());
  REQUIRE(rows.ok());
  CHECK(rows->empty());
  PoisonRow row;
  row.m_fingerprint = 7;
  row.m_epoch = 2;
  row.m_strikes = 4;
  row.m_deaths = { "a/1", "b/1" };
  for (size_t count : { 1U, 3U, 0U }) {
    std::vector<PoisonRow> stored(count, row);
    REQUIRE(StorePoisonRows(folder.Path(), stored).ok());
    CHECK(LoadPoisonRows(folder.Path()).value() == stored);
  }
  REQUIRE(OpenFileLogStore(folder.Path()).ok());
  folder.Write("poison", "damaged");
  CHECK(absl::IsDataLoss(LoadPoisonRows(folder.Path()).status()));
}
