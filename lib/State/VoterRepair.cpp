#include "persimmontally/State/VoterRepair.h"

#include <algorithm>

namespace persimmontally {

namespace {

/// Chooses the next repair step for one view.
class RepairPlanner
{
public:
  explicit RepairPlanner(const RepairView& aView)
    : m_view(aView)
  {
  }

  std::optional<RepairStep> Plan() const
  {
    if (auto step = PromoteLearner()) {
      return step;
    }
    if (auto step = RemoveLearner()) {
      return step;
    }
    if (auto step = RemoveVoter()) {
      return step;
    }
    return AddLearner();
  }

private:
  const DiskHost* FindDisk(const DiskId& aDisk) const
  {
    for (const DiskHost& host : m_view.m_hosts) {
      if (host.m_disk == aDisk) {
        return &host;
      }
    }
    return nullptr;
  }

  bool IsLive(const GroupMember& aMember) const
  {
    const DiskHost* host = FindDisk(aMember.m_disk);
    return host != nullptr && host->m_isAlive;
  }

  /// Returns whether a member is to be replaced: it has been down for
  /// `m_replaceAfter`, or its host is alive with another data folder. A member
  /// whose host is suspected, or that the table lacks, counts as lost once it
  /// has been silent for long enough: the table is not durable, and rows of
  /// hosts that are gone expire.
  bool IsLost(const GroupMember& aMember) const
  {
    const DiskHost* host = FindDisk(aMember.m_disk);
    if (host != nullptr) {
      bool isUp = host->m_isAlive && !host->m_isSuspected;
      bool isDown =
        !host->m_isAlive && host->m_downFor >= m_view.m_replaceAfter;
      return isDown || (!isUp && IsSilent(aMember));
    }
    bool isHostWithoutIt = std::any_of(
      m_view.m_hosts.begin(), m_view.m_hosts.end(), [&](const DiskHost& aHost) {
        bool sameHost = aHost.m_host == aMember.m_host;
        return sameHost &&
               (aHost.m_isAlive || aHost.m_downFor >= m_view.m_replaceAfter);
      });
    return isHostWithoutIt || IsSilent(aMember);
  }

  bool IsSilent(const GroupMember& aMember) const
  {
    auto at = m_view.m_silence.find(aMember.m_disk);
    return at != m_view.m_silence.end() &&
           at->second >= m_view.m_lostAfterSilence;
  }

  bool AreAllVotersUp() const
  {
    auto voters = Members(true);
    return std::all_of(
      voters.begin(), voters.end(), [&](const GroupMember& aItem) {
        const DiskHost* host = FindDisk(aItem.m_disk);
        return host != nullptr && host->m_isAlive && !host->m_isSuspected;
      });
  }

  std::vector<GroupMember> Members(bool aVotes) const
  {
    std::vector<GroupMember> members;
    for (const GroupMember& member : m_view.m_config.m_members) {
      if (member.m_votes == aVotes) {
        members.push_back(member);
      }
    }
    return members;
  }

  size_t CountLostVoters() const
  {
    auto voters = Members(true);
    return static_cast<size_t>(std::count_if(
      voters.begin(), voters.end(), [&](const GroupMember& aItem) {
        return IsLost(aItem);
      }));
  }

  /// Returns whether fewer voters than the target number are not lost.
  bool NeedsVoter() const
  {
    return Members(true).size() - CountLostVoters() < m_view.m_targetVoters;
  }

  std::optional<RepairStep> PromoteLearner() const
  {
    if (!NeedsVoter()) {
      return std::nullopt;
    }
    for (const GroupMember& learner : Members(false)) {
      bool caughtUp = std::count(m_view.m_caughtUp.begin(),
                                 m_view.m_caughtUp.end(),
                                 learner.m_disk) > 0;
      if (!caughtUp || !IsLive(learner)) {
        continue;
      }
      GroupConfig config = m_view.m_config;
      for (GroupMember& member : config.m_members) {
        member.m_votes = member.m_votes || member.m_disk == learner.m_disk;
      }
      return RepairStep{ config, "promote learner " + learner.m_host.Value() };
    }
    return std::nullopt;
  }

  std::optional<RepairStep> RemoveLearner() const
  {
    for (const GroupMember& learner : Members(false)) {
      if (IsLost(learner) || (!NeedsVoter() && AreAllVotersUp())) {
        return RemoveMember(learner, "remove learner ");
      }
    }
    return std::nullopt;
  }

  std::optional<RepairStep> RemoveVoter() const
  {
    auto voters = Members(true);
    if (voters.size() <= m_view.m_targetVoters) {
      return std::nullopt;
    }
    for (const GroupMember& voter : voters) {
      if (IsLost(voter) && KeepsMajority(voter)) {
        return RemoveMember(voter, "remove lost voter ");
      }
    }
    if (!AreAllVotersUp()) {
      return std::nullopt;
    }
    for (auto voter = voters.rbegin(); voter != voters.rend(); ++voter) {
      if (voter->m_disk != m_view.m_leader && KeepsMajority(*voter)) {
        return RemoveMember(*voter, "remove surplus voter ");
      }
    }
    return std::nullopt;
  }

  /// Returns whether the live voters are still a majority after a removal.
  bool KeepsMajority(const GroupMember& aRemoved) const
  {
    size_t live = 0;
    size_t all = 0;
    for (const GroupMember& voter : Members(true)) {
      if (voter.m_disk == aRemoved.m_disk) {
        continue;
      }
      ++all;
      live += IsLive(voter) ? 1 : 0;
    }
    return live * 2 > all;
  }

  std::optional<RepairStep> AddLearner() const
  {
    if (!NeedsVoter() || !Members(false).empty()) {
      return std::nullopt;
    }
    const DiskHost* best = nullptr;
    for (const DiskHost& host : m_view.m_hosts) {
      if (!CanBecomeLearner(host)) {
        continue;
      }
      if (best == nullptr ||
          CountVotersInDataCentreOf(host) < CountVotersInDataCentreOf(*best)) {
        best = &host;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    GroupConfig config = m_view.m_config;
    config.m_members.push_back(
      { best->m_disk, best->m_host, best->m_peer, false });
    return RepairStep{ config, "add learner " + best->m_host.Value() };
  }

  bool CanBecomeLearner(const DiskHost& aHost) const
  {
    bool joinable = aHost.m_group.empty() || aHost.m_group == m_view.m_group;
    return aHost.m_isAlive && !aHost.m_disk.Empty() && joinable &&
           !IsGroupMember(aHost.m_disk);
  }

  bool IsGroupMember(const DiskId& aDisk) const
  {
    return std::any_of(
      m_view.m_config.m_members.begin(),
      m_view.m_config.m_members.end(),
      [&](const GroupMember& aItem) { return aItem.m_disk == aDisk; });
  }

  /// Returns the number of voters that are not lost in the data centre of a
  /// host; used to spread voters over data centres.
  size_t CountVotersInDataCentreOf(const DiskHost& aHost) const
  {
    size_t count = 0;
    for (const GroupMember& voter : Members(true)) {
      const DiskHost* host = FindDisk(voter.m_disk);
      bool sameDataCentre =
        host != nullptr && host->m_dataCentre == aHost.m_dataCentre;
      count += sameDataCentre && !IsLost(voter) ? 1 : 0;
    }
    return count;
  }

  RepairStep RemoveMember(const GroupMember& aMember, const char* aReason) const
  {
    GroupConfig config = m_view.m_config;
    std::erase(config.m_members, aMember);
    return { config, aReason + aMember.m_host.Value() };
  }

  const RepairView& m_view;
};

} // namespace

std::optional<RepairStep> PlanRepairStep(const RepairView& aView)
{
  return RepairPlanner(aView).Plan();
}

} // namespace persimmontally
