#ifndef PERSIMMONTALLY_WIRE_DISPATCHMESSAGE_H
#define PERSIMMONTALLY_WIRE_DISPATCHMESSAGE_H

#include "persimmontally/Support/ErrorKind.h"
#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmontally {

/// A queued or running request. Entry hosts send it to the host that grants
/// the upstream slots of their data centre.
struct TicketRow
{
  /// Identifies the queue entry: a request that is queued again gets a new key.
  std::string m_key;
  AccountId m_account;
  double m_weight = 1;
  Rank m_rank = Rank::Routine;
  ModelId m_model;
  std::string m_service;
  uint32_t m_promptTokens = 0;
  uint32_t m_maxTokens = 0;
  std::vector<uint64_t> m_prefix;
  uint64_t m_fingerprint = 0;
  /// Remaining time in which the request may be placed.
  uint32_t m_remainingWaitMs = 0;
  std::vector<UpstreamId> m_excluded;
  /// Upstream that runs the request; empty while it is queued.
  UpstreamId m_upstream;
  /// Output tokens so far.
  uint32_t m_tokens = 0;

  bool operator==(const TicketRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_account, m_weight, m_rank, m_model, m_service);
    aArchive(m_promptTokens, m_maxTokens, m_prefix, m_fingerprint);
    aArchive(m_remainingWaitMs, m_excluded, m_upstream, m_tokens);
  }
};

/// Placement or refusal of a queued request.
struct GrantRow
{
  std::string m_key;
  bool m_isGranted = false;
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  double m_score = 0;
  std::string m_candidates;
  ErrorKind m_refusal = ErrorKind::Overloaded;
  std::string m_message;
  uint32_t m_retryAfterMs = 0;

  bool operator==(const GrantRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_isGranted, m_upstream, m_incarnation, m_score);
    aArchive(m_candidates, m_refusal, m_message, m_retryAfterMs);
  }
};

/// Number of output tokens that a placed request has produced.
struct ProgressRow
{
  std::string m_key;
  uint32_t m_tokens = 0;

  bool operator==(const ProgressRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_tokens);
  }
};

/// End of a queued or running request.
struct EndRow
{
  std::string m_key;
  /// Value of `DispatchOutcome`.
  uint8_t m_outcome = 0;
  uint32_t m_tokens = 0;

  bool operator==(const EndRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_outcome, m_tokens);
  }
};

/// All placement messages from one host to another in one event loop iteration.
/// The receiver handles ends before tickets.
struct DispatchBatch
{
  std::vector<EndRow> m_ends;
  std::vector<TicketRow> m_tickets;
  std::vector<ProgressRow> m_progress;
  std::vector<GrantRow> m_grants;
  /// Keys of running requests that the sender does not have in its table. The
  /// receiver answers with their tickets.
  std::vector<std::string> m_unknownKeys;
  /// Upstreams that sent the sender no token within the stall timeout.
  std::vector<UpstreamId> m_stalledUpstreams;

  bool operator==(const DispatchBatch&) const = default;

  bool Empty() const { return *this == DispatchBatch(); }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_ends,
             m_tickets,
             m_progress,
             m_grants,
             m_unknownKeys,
             m_stalledUpstreams);
  }
};

} // namespace persimmontally

#endif
