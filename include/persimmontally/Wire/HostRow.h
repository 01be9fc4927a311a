#ifndef PERSIMMONTALLY_WIRE_HOSTROW_H
#define PERSIMMONTALLY_WIRE_HOSTROW_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Settings.h"

#include <cstdint>

namespace persimmontally {

/// State of a host in the local view. Between two rows with the same
/// incarnation, the state with the greater value wins.
enum class HostState : uint8_t
{
  Alive,
  Suspect,
  Dead,
  Left
};

/// Membership record of one host.
struct HostRow
{
  HostId m_id;
  DataCentreId m_dataCentre;
  RegionId m_region;
  Endpoint m_peer;
  /// Set by the host itself: greater after each restart, and incremented to
  /// refute a suspicion.
  uint64_t m_incarnation = 0;
  HostState m_state = HostState::Alive;
  /// Identity of the host's data folder; empty if the host has no disk.
  DiskId m_disk;
  /// Replicated group that the data folder belongs to; empty for a new folder.
  std::string m_group;
  /// Log index of the plans, accounts and catalog in force on the host.
  uint64_t m_listsIndex = 0;
  /// Whether the host accepts callers' requests and places them on upstreams.
  bool m_isEntry = true;

  bool operator==(const HostRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_id,
             m_dataCentre,
             m_region,
             m_peer,
             m_incarnation,
             m_state,
             m_disk,
             m_group,
             m_listsIndex,
             m_isEntry);
  }
};

} // namespace persimmontally

#endif
