#ifndef PERSIMMONTALLY_UNITTESTS_STATE_FAKEDISK_H
#define PERSIMMONTALLY_UNITTESTS_STATE_FAKEDISK_H

#include "persimmontally/State/LogStore.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmontally {

/// Stored data of a host, which outlives a crash of the host.
struct DiskImage
{
  DiskId m_disk;
  std::string m_group;
  RaftRecovery m_content;
  ListsState m_lists;
  /// Injected fault: acknowledges log entries without storing them. The history
  /// checker must detect it.
  bool m_dropsLogEntries = false;
  /// Injected fault: acknowledges lists without storing them. The history
  /// checker must detect it.
  bool m_dropsLists = false;
};

/// Log store in memory. `aNextOutcome` is called for each `Write` and decides
/// whether the host crashes before or after the write takes effect.
class FakeDisk : public LogStore
{
public:
  enum class WriteOutcome
  {
    Done,
    CrashBefore,
    CrashAfter
  };

  FakeDisk(std::shared_ptr<DiskImage> aImage,
           std::function<WriteOutcome()> aNextOutcome)
    : m_image(std::move(aImage))
    , m_nextOutcome(std::move(aNextOutcome))
  {
  }

  const DiskId& Disk() const override { return m_image->m_disk; }
  const std::string& Group() const override { return m_image->m_group; }

  absl::Status JoinGroup(const std::string& aGroup) override
  {
    m_image->m_group = aGroup;
    return absl::OkStatus();
  }

  absl::Status Write(const RaftReady& aReady) override
  {
    WriteOutcome outcome = m_nextOutcome();
    if (outcome == WriteOutcome::CrashBefore) {
      return absl::UnavailableError("crash");
    }
    Apply(aReady);
    return outcome == WriteOutcome::CrashAfter ? absl::UnavailableError("crash")
                                               : absl::OkStatus();
  }

  absl::Status Compact(const Snapshot& aSnapshot) override
  {
    m_image->m_content.m_snapshot = aSnapshot;
    std::erase_if(m_image->m_content.m_entries, [&](const LogEntry& aEntry) {
      return aEntry.m_index <= aSnapshot.m_index;
    });
    return absl::OkStatus();
  }

  absl::Status StoreLists(const ListsState& aLists) override
  {
    if (!m_image->m_dropsLists) {
      m_image->m_lists = aLists;
    }
    return absl::OkStatus();
  }

  ListsState RecoverLists() override { return m_image->m_lists; }

  RaftRecovery Recover() override { return m_image->m_content; }

private:
  void Apply(const RaftReady& aReady)
  {
    RaftRecovery& content = m_image->m_content;
    if (aReady.m_hardState) {
      content.m_hardState = *aReady.m_hardState;
    }
    if (aReady.m_snapshot) {
      content.m_snapshot = *aReady.m_snapshot;
      content.m_entries.clear();
    }
    if (m_image->m_dropsLogEntries) {
      return;
    }
    if (aReady.m_truncateFrom) {
      std::erase_if(content.m_entries, [&](const LogEntry& aEntry) {
        return aEntry.m_index >= *aReady.m_truncateFrom;
      });
    }
    for (const LogEntry& entry : aReady.m_append) {
      content.m_entries.push_back(entry);
    }
  }

  std::shared_ptr<DiskImage> m_image;
  std::function<WriteOutcome()> m_nextOutcome;
};

} // namespace persimmontally

#endif
