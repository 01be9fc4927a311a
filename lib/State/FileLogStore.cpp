#include "persimmontally/State/LogStore.h"

#include "DurableFile.h"

#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Wire/Codec.h"

#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace persimmontally {

namespace fs = std::filesystem;

// A record is a header, a kind (1 byte) and the content. The header has the
// length and the CRC-32 of the bytes after it (4 bytes each, little-endian).
static constexpr size_t kHeaderBytes = 8;
static constexpr uint32_t kMaxRecordBytes = uint32_t(64) << 20;

enum class RecordKind : uint8_t
{
  HardState = 1,
  Entry = 2,
  Truncate = 3
};

namespace {

/// State replayed from the records of a log file.
struct ReplayedLog
{
  HardState m_hardState;
  std::vector<LogEntry> m_entries;
  size_t m_validBytes = 0;
};

} // namespace

static void AppendNumber(std::string& aOut, uint32_t aValue)
{
  aOut.append(reinterpret_cast<const char*>(&aValue), sizeof aValue);
}

static void AppendRecord(std::string& aOut,
                         RecordKind aKind,
                         const std::string& aContent)
{
  std::string body(1, static_cast<char>(aKind));
  body.append(aContent);
  AppendNumber(aOut, static_cast<uint32_t>(body.size()));
  AppendNumber(aOut, Crc32(body));
  aOut.append(body);
}

static std::string EncodeHardState(const HardState& aState)
{
  std::string out(reinterpret_cast<const char*>(&aState.m_term),
                  sizeof aState.m_term);
  return out + aState.m_votedFor.Value();
}

static HardState DecodeHardState(std::string_view aData)
{
  HardState state;
  if (aData.size() >= sizeof state.m_term) {
    std::memcpy(&state.m_term, aData.data(), sizeof state.m_term);
    state.m_votedFor = DiskId(std::string(aData.substr(sizeof state.m_term)));
  }
  return state;
}

/// Returns the kind and content of the record at an offset, or nothing when
/// the record is incomplete or its checksum does not match.
static std::optional<std::string_view> ReadRecord(std::string_view aData,
                                                  size_t aOffset)
{
  if (aData.size() - aOffset < kHeaderBytes + 1) {
    return std::nullopt;
  }
  uint32_t size = 0;
  uint32_t crc = 0;
  std::memcpy(&size, aData.data() + aOffset, sizeof size);
  std::memcpy(&crc, aData.data() + aOffset + sizeof size, sizeof crc);
  size_t remainingBytes = aData.size() - aOffset - kHeaderBytes;
  if (size == 0 || size > kMaxRecordBytes || size > remainingBytes) {
    return std::nullopt;
  }
  std::string_view body = aData.substr(aOffset + kHeaderBytes, size);
  if (Crc32(body) != crc) {
    return std::nullopt;
  }
  return body;
}

/// Returns whether an intact record begins at any byte after an offset. If so,
/// the record at the offset is corrupt: after a crash nothing follows the
/// record whose write was interrupted.
static bool HasRecordAfter(std::string_view aData, size_t aOffset)
{
  for (size_t offset = aOffset + 1; offset < aData.size(); ++offset) {
    auto body = ReadRecord(aData, offset);
    if (body && static_cast<uint8_t>(body->front()) >= 1 &&
        static_cast<uint8_t>(body->front()) <= 3) {
      return true;
    }
  }
  return false;
}

/// Applies a record to the log; returns false for an unknown kind or malformed
/// content.
static bool ApplyRecord(std::string_view aBody, ReplayedLog& aLog)
{
  std::string_view content = aBody.substr(1);
  switch (static_cast<RecordKind>(aBody.front())) {
    case RecordKind::HardState:
      aLog.m_hardState = DecodeHardState(content);
      return true;
    case RecordKind::Entry: {
      auto entry = Decode<LogEntry>(content);
      if (!entry.ok()) {
        return false;
      }
      aLog.m_entries.push_back(*std::move(entry));
      return true;
    }
    case RecordKind::Truncate: {
      uint64_t from = 0;
      if (content.size() != sizeof from) {
        return false;
      }
      std::memcpy(&from, content.data(), sizeof from);
      std::erase_if(aLog.m_entries, [&](const LogEntry& aEntry) {
        return aEntry.m_index >= from;
      });
      return true;
    }
  }
  return false;
}

/// Replays the records up to the end or to an incomplete last record. Any other
/// damage is an error with the file and the byte offset.
static absl::StatusOr<ReplayedLog> ReplayLog(const fs::path& aPath,
                                             std::string_view aData)
{
  ReplayedLog log;
  while (log.m_validBytes < aData.size()) {
    auto body = ReadRecord(aData, log.m_validBytes);
    std::string where =
      aPath.string() + " at byte " + std::to_string(log.m_validBytes);
    if (!body) {
      if (HasRecordAfter(aData, log.m_validBytes)) {
        return absl::DataLossError(
          where +
          ": corrupt record followed by intact records; move the data "
          "folder aside so that the host joins again with an empty one");
      }
      return log;
    }
    if (!ApplyRecord(*body, log)) {
      return absl::DataLossError(where + ": unknown or malformed record");
    }
    log.m_validBytes += kHeaderBytes + body->size();
  }
  return log;
}

namespace {

class FileLogStore : public LogStore
{
public:
  explicit FileLogStore(fs::path aFolder)
    : m_folder(std::move(aFolder))
  {
  }

  absl::Status Open()
  {
    std::error_code error;
    fs::create_directories(m_folder, error);
    if (error) {
      return absl::UnavailableError(m_folder.string() + ": " + error.message());
    }
    m_lock = File(
      ::open((m_folder / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!m_lock.IsOpen() || ::flock(m_lock.Get(), LOCK_EX | LOCK_NB) != 0) {
      return IoError("lock", m_folder / "lock");
    }
    for (auto step : { &FileLogStore::OpenIdentity,
                       &FileLogStore::OpenLists,
                       &FileLogStore::OpenSnapshot,
                       &FileLogStore::OpenLog }) {
      absl::Status status = (this->*step)();
      if (!status.ok()) {
        return status;
      }
    }
    return absl::OkStatus();
  }

  const DiskId& Disk() const override { return m_disk; }
  const std::string& Group() const override { return m_group; }

  absl::Status JoinGroup(const std::string& aGroup) override
  {
    absl::Status status = ReplaceFile(m_folder / "group", aGroup);
    if (status.ok()) {
      m_group = aGroup;
    }
    return status;
  }

  absl::Status Write(const RaftReady& aReady) override
  {
    if (aReady.m_snapshot) {
      m_entries.clear();
      if (aReady.m_hardState) {
        m_hardState = *aReady.m_hardState;
      }
      absl::Status stored = StoreSnapshot(*aReady.m_snapshot);
      if (!stored.ok()) {
        return stored;
      }
    }
    std::string out;
    if (aReady.m_hardState) {
      m_hardState = *aReady.m_hardState;
      AppendRecord(out, RecordKind::HardState, EncodeHardState(m_hardState));
    }
    if (aReady.m_truncateFrom) {
      uint64_t from = *aReady.m_truncateFrom;
      std::string content(reinterpret_cast<const char*>(&from), sizeof from);
      AppendRecord(out, RecordKind::Truncate, content);
      std::erase_if(m_entries, [&](const LogEntry& aEntry) {
        return aEntry.m_index >= from;
      });
    }
    for (const LogEntry& entry : aReady.m_append) {
      AppendRecord(out, RecordKind::Entry, Encode(entry));
      m_entries.push_back(entry);
    }
    absl::Status written = WriteAll(m_log.Get(), out, m_folder / "log");
    if (!written.ok()) {
      return written;
    }
    if (::fdatasync(m_log.Get()) != 0) {
      return IoError("sync", m_folder / "log");
    }
    return absl::OkStatus();
  }

  absl::Status Compact(const Snapshot& aSnapshot) override
  {
    std::erase_if(m_entries, [&](const LogEntry& aEntry) {
      return aEntry.m_index <= aSnapshot.m_index;
    });
    return StoreSnapshot(aSnapshot);
  }

  absl::Status StoreLists(const ListsState& aLists) override
  {
    std::string record;
    AppendRecord(record, RecordKind::Entry, Encode(aLists));
    absl::Status stored = ReplaceFile(m_folder / "lists", record);
    if (stored.ok()) {
      m_lists = aLists;
    }
    return stored;
  }

  ListsState RecoverLists() override { return m_lists; }

  RaftRecovery Recover() override
  {
    return { m_hardState, m_snapshot, m_entries };
  }

private:
  absl::Status OpenIdentity()
  {
    fs::path identity = m_folder / "identity";
    if (!fs::exists(identity)) {
      if (fs::exists(m_folder / "log") || fs::exists(m_folder / "snapshot")) {
        return absl::DataLossError(identity.string() +
                                   ": missing, but the folder has a log or a "
                                   "snapshot");
      }
      absl::Status created = ReplaceFile(identity, RandomHexId());
      if (!created.ok()) {
        return created;
      }
    }
    auto disk = ReadFile(identity);
    if (!disk.ok()) {
      return disk.status();
    }
    m_disk = DiskId(*disk);
    if (!fs::exists(m_folder / "group")) {
      return absl::OkStatus();
    }
    auto group = ReadFile(m_folder / "group");
    if (!group.ok()) {
      return group.status();
    }
    m_group = *group;
    return absl::OkStatus();
  }

  /// Reads a file of one record; leaves the value unchanged when the file is
  /// absent.
  template<class T>
  static absl::Status ReadRecordFile(const fs::path& aPath, T& aValue)
  {
    if (!fs::exists(aPath)) {
      return absl::OkStatus();
    }
    auto data = ReadFile(aPath);
    if (!data.ok()) {
      return data.status();
    }
    auto body = ReadRecord(*data, 0);
    if (!body) {
      return absl::DataLossError(aPath.string() +
                                 ": incomplete or corrupt record");
    }
    auto value = Decode<T>(body->substr(1));
    if (!value.ok()) {
      return absl::DataLossError(aPath.string() + ": " +
                                 std::string(value.status().message()));
    }
    aValue = *std::move(value);
    return absl::OkStatus();
  }

  absl::Status OpenLists()
  {
    return ReadRecordFile(m_folder / "lists", m_lists);
  }

  absl::Status OpenSnapshot()
  {
    return ReadRecordFile(m_folder / "snapshot", m_snapshot);
  }

  absl::Status OpenLog()
  {
    fs::path path = m_folder / "log";
    if (!fs::exists(path)) {
      absl::Status created = ReplaceFile(path, "");
      if (!created.ok()) {
        return created;
      }
    }
    auto data = ReadFile(path);
    if (!data.ok()) {
      return data.status();
    }
    auto log = ReplayLog(path, *data);
    if (!log.ok()) {
      return log.status();
    }
    m_hardState = log->m_hardState;
    m_entries = std::move(log->m_entries);
    // The log still has entries that the snapshot covers when the host crashed
    // between writing the snapshot and writing the log.
    std::erase_if(m_entries, [&](const LogEntry& aEntry) {
      return aEntry.m_index <= m_snapshot.m_index;
    });
    for (size_t i = 0; i < m_entries.size(); ++i) {
      if (m_entries[i].m_index != m_snapshot.m_index + 1 + i) {
        return absl::DataLossError(path.string() +
                                   ": log indices are not contiguous");
      }
    }
    m_log = File(::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!m_log.IsOpen()) {
      return IoError("open", path);
    }
    if (log->m_validBytes < data->size() &&
        (::ftruncate(m_log.Get(), static_cast<off_t>(log->m_validBytes)) != 0 ||
         ::fsync(m_log.Get()) != 0)) {
      return IoError("truncate", path);
    }
    return absl::OkStatus();
  }

  /// Writes the snapshot, then a new log with the hard state and `m_entries`.
  /// The caller has removed the entries that the snapshot covers.
  absl::Status StoreSnapshot(const Snapshot& aSnapshot)
  {
    m_snapshot = aSnapshot;
    std::string record;
    AppendRecord(record, RecordKind::Entry, Encode(aSnapshot));
    absl::Status stored = ReplaceFile(m_folder / "snapshot", record);
    if (!stored.ok()) {
      return stored;
    }
    std::string log;
    AppendRecord(log, RecordKind::HardState, EncodeHardState(m_hardState));
    for (const LogEntry& entry : m_entries) {
      AppendRecord(log, RecordKind::Entry, Encode(entry));
    }
    fs::path path = m_folder / "log";
    stored = ReplaceFile(path, log);
    if (!stored.ok()) {
      return stored;
    }
    m_log = File(::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    return m_log.IsOpen() ? absl::OkStatus() : IoError("open", path);
  }

  fs::path m_folder;
  File m_lock;
  File m_log;
  DiskId m_disk;
  std::string m_group;
  HardState m_hardState;
  Snapshot m_snapshot;
  ListsState m_lists;
  std::vector<LogEntry> m_entries;
};

} // namespace

absl::StatusOr<std::unique_ptr<LogStore>> OpenFileLogStore(
  const std::string& aFolder)
{
  auto store = std::make_unique<FileLogStore>(aFolder);
  absl::Status status = store->Open();
  if (!status.ok()) {
    return status;
  }
  return store;
}

} // namespace persimmontally
