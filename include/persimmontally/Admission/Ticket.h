#ifndef PERSIMMONTALLY_ADMISSION_TICKET_H
#define PERSIMMONTALLY_ADMISSION_TICKET_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"
#include "persimmontally/Support/Time.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace persimmontally {

/// A request that waits for an upstream: all that a placement needs of it.
struct Ticket
{
  RequestId m_id;
  AccountId m_account;
  double m_weight = 1;
  Rank m_rank = Rank::Routine;
  /// Model of a generation, or empty for a plain service.
  ModelId m_model;
  std::string m_service;
  uint32_t m_promptTokens = 0;
  uint32_t m_maxTokens = 0;
  /// The caller's estimate of the output; 0 without one.
  uint32_t m_expectedTokens = 0;
  /// Known only in experiments, for the oracle baseline.
  uint32_t m_trueTokens = 0;
  /// Hashes of the prompt's leading blocks, each over all before it.
  std::vector<uint64_t> m_prefix;
  uint64_t m_fingerprint = 0;
  Instant m_arrivedAt;
  /// Latest time to be placed.
  Instant m_placeBy;
  /// Upstreams that already failed this request.
  std::set<UpstreamId> m_excluded;

  bool operator==(const Ticket&) const = default;
};

} // namespace persimmontally

#endif
