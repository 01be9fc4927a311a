#ifndef PERSIMMONTALLY_WIRE_HOSTROW_H
#define PERSIMMONTALLY_WIRE_HOSTROW_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Settings.h"

#include <cstdint>

namespace persimmontally {

/// What the members believe of a host. Of two rows with the same incarnation
/// the later state in this order wins.
enum class HostState : uint8_t
{
  Alive,
  Suspect,
  Dead,
  Left
};

/// One entry host as the members know it.
struct HostRow
{
  HostId m_id;
  DataCentreId m_dataCentre;
  RegionId m_region;
  Endpoint m_peer;
  /// Chosen by the host: greater after each restart, and raised to refute a
  /// suspicion.
  uint64_t m_incarnation = 0;
  HostState m_state = HostState::Alive;
  /// Identity of the host's data folder; empty without a disk.
  DiskId m_disk;
  /// Replicated group the data folder belongs to; empty when it is new.
  std::string m_group;
  /// Log index of the newest plan lists in force on the host.
  uint64_t m_planIndex = 0;
  /// Whether it takes callers' requests and so places work on upstreams.
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
             m_planIndex,
             m_isEntry);
  }
};

} // namespace persimmontally

#endif
