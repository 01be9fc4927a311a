#ifndef PERSIMMONTALLY_ADMISSION_TICKET_H
#define PERSIMMONTALLY_ADMISSION_TICKET_H

#include "persimmontally/Admission/Residency.h"
#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"
#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// A queued request, with all the data that its placement needs.
struct Ticket
{
  RequestId m_id;
  AccountId m_account;
  /// Weight of the account in fair queueing.
  double m_weight = 1;
  Rank m_rank = Rank::Routine;
  /// Model of a generation; empty for a service call.
  ModelId m_model;
  std::string m_service;
  uint32_t m_promptTokens = 0;
  uint32_t m_maxTokens = 0;
  /// The caller's estimate of the output length in tokens; 0 without one.
  uint32_t m_expectedTokens = 0;
  /// True output length in tokens for the oracle baseline; 0 outside of
  /// experiments.
  uint32_t m_trueTokens = 0;
  /// Hashes of the prompt's leading blocks. Each hash covers its block and all
  /// blocks before it.
  std::vector<uint64_t> m_prefix;
  /// Hash of the account, model and body, by which poison requests are
  /// detected.
  uint64_t m_fingerprint = 0;
  Instant m_arrivedAt;
  /// Deadline of the placement.
  Instant m_placeBy;
  /// Upstreams on which this request has already failed.
  std::set<UpstreamId> m_excluded;
  Residency m_residency;
  /// Longest pause between events for which a streamed response is on time; 0
  /// without an objective.
  Duration m_pauseObjective{ 0 };

  bool operator==(const Ticket&) const = default;
};

} // namespace persimmontally

#endif
