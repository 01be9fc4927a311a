#ifndef PERSIMMONTALLY_WIRE_UPSTREAMROW_H
#define PERSIMMONTALLY_WIRE_UPSTREAMROW_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmontally {

enum class UpstreamKind : uint8_t
{
  Engine,
  Service
};

/// Between two rows with the same incarnation, the state with the greater value
/// wins.
enum class UpstreamState : uint8_t
{
  Serving,
  Leaving,
  Gone
};

/// Load reported by an upstream; it lags behind the actual load.
struct UpstreamLoad
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_kvBlocksUsed = 0;

  bool operator==(const UpstreamLoad&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_running, m_waiting, m_kvBlocksUsed);
  }
};

/// Announcement of one upstream.
struct UpstreamRow
{
  UpstreamId m_id;
  /// Greater after each restart of the upstream.
  uint64_t m_incarnation = 0;
  /// Counts the announcements of one incarnation.
  uint64_t m_sequence = 0;
  UpstreamState m_state = UpstreamState::Serving;
  UpstreamKind m_kind = UpstreamKind::Engine;
  Endpoint m_endpoint;
  DataCentreId m_dataCentre;
  RegionId m_region;
  std::vector<ModelId> m_models;
  /// Name of the service; empty for engines.
  std::string m_service;
  /// Maximum number of concurrent requests.
  uint32_t m_slots = 0;
  uint32_t m_kvBlocks = 0;
  uint32_t m_blockTokens = 16;
  bool m_checksFencing = false;
  UpstreamLoad m_load;

  /// KV memory for running requests and cached prefixes, in tokens.
  double KvMemoryTokens() const
  {
    return static_cast<double>(m_kvBlocks) * m_blockTokens;
  }

  bool operator==(const UpstreamRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_id, m_incarnation, m_sequence, m_state, m_kind, m_endpoint);
    aArchive(m_dataCentre, m_region, m_models, m_service);
    aArchive(m_slots, m_kvBlocks, m_blockTokens, m_checksFencing, m_load);
  }
};

/// Renewal of an upstream's lease; omits the properties that are fixed for an
/// incarnation.
struct UpstreamRenewal
{
  UpstreamId m_id;
  uint64_t m_incarnation = 0;
  uint64_t m_sequence = 0;
  /// Repairs a lost update of the state.
  UpstreamState m_state = UpstreamState::Serving;
  UpstreamLoad m_load;

  bool operator==(const UpstreamRenewal&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_id, m_incarnation, m_sequence, m_state, m_load);
  }
};

} // namespace persimmontally

#endif
