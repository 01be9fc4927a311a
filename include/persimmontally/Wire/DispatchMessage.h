#ifndef PERSIMMONTALLY_WIRE_DISPATCHMESSAGE_H
#define PERSIMMONTALLY_WIRE_DISPATCHMESSAGE_H

#include "persimmontally/Support/ErrorKind.h"
#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmontally {

/// A waiting or running request, as an entry host describes it to the host
/// that grants the slots of its data centre.
struct TicketRow
{
  /// Unique for each time a request is queued.
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
  /// Time left to be placed.
  uint32_t m_waitMs = 0;
  std::vector<UpstreamId> m_excluded;
  /// Set for a request that already runs.
  UpstreamId m_upstream;
  uint32_t m_tokens = 0;

  bool operator==(const TicketRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_account, m_weight, m_rank, m_model, m_service);
    aArchive(m_promptTokens, m_maxTokens, m_prefix, m_fingerprint);
    aArchive(m_waitMs, m_excluded, m_upstream, m_tokens);
  }
};

/// Answer to a waiting ticket: a placement, or a refusal.
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

/// Tokens that a placed request has produced.
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

/// End of a waiting or running request. The outcome is that of the dispatcher.
struct EndRow
{
  std::string m_key;
  uint8_t m_outcome = 0;
  uint32_t m_tokens = 0;

  bool operator==(const EndRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_key, m_outcome, m_tokens);
  }
};

/// Everything one host tells another about placements in one turn. Ends are
/// taken before tickets.
struct DispatchBatch
{
  std::vector<EndRow> m_ends;
  std::vector<TicketRow> m_tickets;
  std::vector<ProgressRow> m_progress;
  std::vector<GrantRow> m_grants;
  /// Running requests that the receiver is asked to describe.
  std::vector<std::string> m_unknown;
  /// Upstreams that gave the sender no token in time.
  std::vector<UpstreamId> m_stalls;

  bool operator==(const DispatchBatch&) const = default;

  bool Empty() const { return *this == DispatchBatch(); }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_ends, m_tickets, m_progress, m_grants, m_unknown, m_stalls);
  }
};

} // namespace persimmontally

#endif
