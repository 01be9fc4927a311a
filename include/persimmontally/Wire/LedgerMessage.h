#ifndef PERSIMMONTALLY_WIRE_LEDGERMESSAGE_H
#define PERSIMMONTALLY_WIRE_LEDGERMESSAGE_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmontally {

/// A generation that the sending host has placed on an engine, or a queued
/// request, which has no upstream.
struct LedgerRow
{
  /// Unique within the sending host.
  std::string m_key;
  UpstreamId m_upstream;
  AccountId m_account;
  ModelId m_model;
  Rank m_rank = Rank::Routine;
  uint32_t m_promptTokens = 0;
  uint32_t m_maxTokens = 0;
  /// The caller's estimate of the output length; 0 if none was given.
  uint32_t m_expectedTokens = 0;
  /// Output tokens so far.
  uint32_t m_tokens = 0;
  /// Whether this is a copy of a generation that runs on another engine.
  bool m_isCopy = false;
  /// Time since the arrival of a queued request. A duration rather than a time
  /// stamp, since hosts share no clock.
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

/// The placed and queued requests of one host: a snapshot, or the changes since
/// the previous update.
struct LedgerUpdate
{
  /// Random number drawn at each start of the sending process.
  uint64_t m_epoch = 0;
  /// Sequence number of the change. A snapshot carries the number of the last
  /// change it contains, so that it can be sent again at any time.
  uint64_t m_sequence = 0;
  /// Whether this is a snapshot of the ledger rather than a change.
  bool m_isSnapshot = false;
  std::vector<LedgerRow> m_rows;
  /// Keys of removed rows; empty in a snapshot.
  std::vector<std::string> m_removed;
  /// Location of the sending host.
  DataCentreId m_dataCentre;
  RegionId m_region;

  bool operator==(const LedgerUpdate&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_epoch, m_sequence, m_isSnapshot, m_rows, m_removed);
    aArchive(m_dataCentre, m_region);
  }
};

} // namespace persimmontally

#endif
