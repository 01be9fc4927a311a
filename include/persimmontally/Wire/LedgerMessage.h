#ifndef PERSIMMONTALLY_WIRE_LEDGERMESSAGE_H
#define PERSIMMONTALLY_WIRE_LEDGERMESSAGE_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmontally {

/// A generation that its host has placed on an engine.
struct LedgerRow
{
  /// Unique on the host that placed it.
  std::string m_key;
  UpstreamId m_upstream;
  AccountId m_account;
  ModelId m_model;
  Rank m_rank = Rank::Routine;
  uint32_t m_promptTokens = 0;
  uint32_t m_maxTokens = 0;
  /// The caller's estimate of the output; 0 without one.
  uint32_t m_expectedTokens = 0;
  /// Output so far.
  uint32_t m_tokens = 0;
  /// Whether it is a copy of a generation that runs on another engine.
  bool m_isCopy = false;
  /// For a request that waits and has no upstream: milliseconds since it
  /// arrived. A span, since hosts share no clock.
  uint32_t m_waitedMs = 0;

  bool operator==(const LedgerRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_upstream, m_account, m_model, m_rank);
    aArchive(m_promptTokens, m_maxTokens, m_expectedTokens, m_tokens);
    aArchive(m_isCopy, m_waitedMs);
  }
};

/// What one host has on engines, and what could be next there: all of it, or
/// what has changed since the update before. A row without an upstream is a
/// request that waits.
struct LedgerUpdate
{
  /// Drawn at each start of the sender's process.
  uint64_t m_epoch = 0;
  /// Counts the changes. A whole ledger bears the number of the last change in
  /// it, so that it can be sent again at any time.
  uint64_t m_sequence = 0;
  bool m_isWhole = false;
  std::vector<LedgerRow> m_rows;
  /// Keys of rows that are no longer there; empty in a whole ledger.
  std::vector<std::string> m_removed;
  /// Where the host is.
  DataCentreId m_dataCentre;
  RegionId m_region;

  bool operator==(const LedgerUpdate&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_epoch, m_sequence, m_isWhole, m_rows, m_removed);
    aArchive(m_dataCentre, m_region);
  }
};

} // namespace persimmontally

#endif
