#ifndef PERSIMMONTALLY_WIRE_PACEMESSAGE_H
#define PERSIMMONTALLY_WIRE_PACEMESSAGE_H

#include "persimmontally/Support/Ids.h"

#include <cstdint>
#include <vector>

namespace persimmontally {

/// Measured time per event of one incarnation of an engine.
struct PaceRow
{
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  uint32_t m_microsecondsPerEvent = 0;

  bool operator==(const PaceRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_upstream, m_incarnation, m_microsecondsPerEvent);
  }
};

/// Paces that have been measured or have changed, for the peers of the ledger.
struct PaceUpdate
{
  std::vector<PaceRow> m_rows;

  bool operator==(const PaceUpdate&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_rows);
  }
};

} // namespace persimmontally

#endif
