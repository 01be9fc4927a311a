#ifndef PERSIMMONTALLY_UNITTESTS_STATE_FAKEDISK_H
#define PERSIMMONTALLY_UNITTESTS_STATE_FAKEDISK_H

#include "persimmontally/State/LogStore.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmontally {

/// What survives a crash of a host.
struct DiskImage
{
  DiskId m_disk;
  std::string m_group;
  RaftRecovery m_content;
  PlanState m_plans;
  /// Faults that the history checker has to find; none in ordinary runs.
  bool m_losesWrites = false;
  bool m_forgetsLists = false;
};

/// Log store on an image in memory. `m_beforeWrite` may end the host before or
/// after a write took effect.
class FakeDisk : public LogStore
{
public:
  enum class WriteFate
  {
    Done,
    CrashBefore,
    CrashAfter
  };

  FakeDisk(std::shared_ptr<DiskImage> aImage, std::function<WriteFate()> aFate)
    : m_image(std::move(aImage))
    , m_fate(std::move(aFate))
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
    WriteFate fate = m_fate();
    if (fate == WriteFate::CrashBefore) {
      return absl::UnavailableError("crash");
    }
    Apply(aReady);
    return fate == WriteFate::CrashAfter ? absl::UnavailableError("crash")
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

  absl::Status StorePlans(const PlanState& aPlans) override
  {
    if (!m_image->m_forgetsLists) {
      m_image->m_plans = aPlans;
    }
    return absl::OkStatus();
  }

  PlanState RecoverPlans() override { return m_image->m_plans; }

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
    if (m_image->m_losesWrites) {
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
  std::function<WriteFate()> m_fate;
};

} // namespace persimmontally

#endif
