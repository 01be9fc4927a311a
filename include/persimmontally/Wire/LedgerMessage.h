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

/// Everything that one host has on engines, and what could be next there. Each
/// snapshot replaces the one before it, so a lost one needs no repair.
struct LedgerSnapshot
{
  /// Drawn at each start of the sender's process.
  uint64_t m_epoch = 0;
  uint64_t m_sequence = 0;
  std::vector<LedgerRow> m_rows;
  /// Requests that wait for an engine, and where their host is.
  std::vector<LedgerRow> m_waiting;
  DataCentreId m_dataCentre;
  RegionId m_region;

  bool operator==(const LedgerSnapshot&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_epoch, m_sequence, m_rows);
    aArchive(m_waiting, m_dataCentre, m_region);
  }
};

} // namespace persimmontally

#endif
