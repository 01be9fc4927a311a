#ifndef PERSIMMONTALLY_WIRE_CATALOGMESSAGE_H
#define PERSIMMONTALLY_WIRE_CATALOGMESSAGE_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Settings.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmontally {

/// One entry of a catalog, such as a route, in encoded form.
struct CatalogItem
{
  /// Unique within the catalog.
  std::string m_key;
  std::string m_data;

  bool operator==(const CatalogItem&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_data);
  }
};

/// Sum of the hashes of all items of a catalog. Independent of their order, so
/// that a change updates it by the changed items alone.
using CatalogDigest = std::array<uint64_t, 2>;

/// The difference between two states of a catalog, or a whole catalog. Applies
/// to every catalog from `m_baseIndex` up to, but not including, `m_index`.
struct CatalogUpdate
{
  std::string m_group;
  /// Log index of the catalog; 0 as the base of a whole catalog.
  uint64_t m_baseIndex = 0;
  uint64_t m_index = 0;
  uint64_t m_version = 0;
  std::vector<CatalogItem> m_changed;
  /// Keys of removed items; empty in a whole catalog.
  std::vector<std::string> m_removed;
  /// Digest of the catalog at `m_index`.
  CatalogDigest m_digest{};

  bool operator==(const CatalogUpdate&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_group, m_baseIndex, m_index, m_version);
    aArchive(m_changed, m_removed, m_digest[0], m_digest[1]);
  }
};

/// Requests the difference to a newer catalog; from index 0, the whole catalog.
struct CatalogPull
{
  HostId m_from;
  /// Address for the answer, since the sender may be missing in the table of a
  /// source that has just started.
  Endpoint m_peer;
  uint64_t m_index = 0;

  bool operator==(const CatalogPull&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_from, m_peer, m_index);
  }
};

} // namespace persimmontally

#endif
