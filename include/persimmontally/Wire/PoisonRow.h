#ifndef PERSIMMONTALLY_WIRE_POISONROW_H
#define PERSIMMONTALLY_WIRE_POISONROW_H

#include <cstdint>
#include <set>
#include <string>

namespace persimmontally {

/// Upstream deaths that a request is suspected to have caused. Both sets only
/// grow, so that rows can be merged by union in any order.
struct PoisonRow
{
  /// Hash of account, model and body.
  uint64_t m_fingerprint = 0;
  /// `upstream/incarnation` of each upstream that died while running the
  /// request.
  std::set<std::string> m_deaths;
  /// Deaths no longer attributed to the request, because it later completed
  /// normally.
  std::set<std::string> m_cleared;

  bool operator==(const PoisonRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_fingerprint, m_deaths, m_cleared);
  }
};

} // namespace persimmontally

#endif
