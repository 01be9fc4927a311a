#ifndef PERSIMMONTALLY_WIRE_POISONROW_H
#define PERSIMMONTALLY_WIRE_POISONROW_H

#include <cstdint>
#include <set>
#include <string>

namespace persimmontally {

/// Upstream deaths that a request, or a part that the prompts of requests
/// share, is suspected to have caused. Rows of one epoch are merged by union
/// and maximum, in any order; a row of a later epoch replaces them.
struct PoisonRow
{
  /// Identifies the request or the part of a prompt.
  uint64_t m_fingerprint = 0;
  /// Incremented when the evidence turns out to be void as a whole.
  uint32_t m_epoch = 0;
  /// Strength of the evidence, see `CrashEvidence`.
  uint32_t m_strikes = 0;
  /// Number of requests that were let through in spite of a quarantine, to
  /// find out whether it is still needed.
  uint32_t m_trials = 0;
  /// Whether a host has seen the part in a request that was sound.
  bool m_isVouched = false;
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
    aArchive(m_fingerprint, m_epoch, m_strikes, m_trials, m_isVouched);
    aArchive(m_deaths, m_cleared);
  }
};

} // namespace persimmontally

#endif
