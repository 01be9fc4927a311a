#ifndef PERSIMMONTALLY_WIRE_RATELIMITMESSAGE_H
#define PERSIMMONTALLY_WIRE_RATELIMITMESSAGE_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"

#include <cstdint>
#include <vector>

namespace persimmontally {

/// The rate limit that one incarnation of an upstream names in its responses,
/// for all hosts together. The row with the greater version wins.
struct RateLimitRow
{
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  uint64_t m_version = 0;
  bool m_isLimited = false;
  /// Requests per 1,000 s.
  uint64_t m_milliPerSecond = 0;

  bool operator==(const RateLimitRow&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_upstream, m_incarnation, m_version);
    aArchive(m_isLimited, m_milliPerSecond);
  }
};

/// Asks the host that divides an upstream's limit for permits, each of which
/// allows one request.
struct PermitRequest
{
  /// Unique within the sending process; repeated in grants and denials.
  uint64_t m_id = 0;
  UpstreamId m_upstream;
  Rank m_rank = Rank::Routine;
  uint32_t m_count = 0;
  /// How long the requests can wait.
  uint32_t m_lifeMs = 0;

  bool operator==(const PermitRequest&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_id, m_upstream, m_rank, m_count, m_lifeMs);
  }
};

struct PermitGrant
{
  uint64_t m_requestId = 0;
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  uint32_t m_count = 0;

  bool operator==(const PermitGrant&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_requestId, m_upstream, m_incarnation, m_count);
  }
};

/// States for how many of its requests a host will get no permit.
struct PermitDenial
{
  uint64_t m_requestId = 0;
  UpstreamId m_upstream;
  Rank m_rank = Rank::Routine;
  uint32_t m_count = 0;
  uint32_t m_retryAfterMs = 0;

  bool operator==(const PermitDenial&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_requestId, m_upstream, m_rank, m_count, m_retryAfterMs);
  }
};

struct RateLimitUpdate
{
  std::vector<RateLimitRow> m_rows;
  std::vector<PermitRequest> m_requests;
  std::vector<PermitGrant> m_grants;
  std::vector<PermitDenial> m_denials;

  bool operator==(const RateLimitUpdate&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_rows, m_requests, m_grants, m_denials);
  }
};

} // namespace persimmontally

#endif
