#ifndef PERSIMMONTALLY_WIRE_COLDMESSAGE_H
#define PERSIMMONTALLY_WIRE_COLDMESSAGE_H

#include "persimmontally/Wire/RateLimitMessage.h"

namespace persimmontally {

/// How much longer one incarnation of an upstream stays cold. The word with the
/// greater sequence number wins.
struct ColdWord
{
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  /// Of the announcement that stated it.
  uint64_t m_sequence = 0;
  uint64_t m_leftMs = 0;

  bool operator==(const ColdWord&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_upstream, m_incarnation, m_sequence, m_leftMs);
  }
};

/// Requests that were sent to a cold upstream without a permit.
struct ColdCharge
{
  UpstreamId m_upstream;
  uint64_t m_incarnation = 0;
  uint32_t m_count = 0;

  bool operator==(const ColdCharge&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_upstream, m_incarnation, m_count);
  }
};

/// Agrees to follow the host that has sent a poll.
struct ColdVote
{
  uint64_t m_poll = 0;
  /// Whether no permits of a host that the sender followed before can be left.
  bool m_isFree = false;

  bool operator==(const ColdVote&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_poll, m_isFree);
  }
};

/// Exchange between hosts about upstreams that are cold.
struct ColdUpdate
{
  std::vector<ColdWord> m_words;
  /// Upstreams whose words the sender lacks.
  std::vector<UpstreamId> m_asks;
  /// Ask the receiver to follow the sender.
  std::vector<uint64_t> m_polls;
  std::vector<ColdVote> m_votes;
  std::vector<ColdCharge> m_charges;
  std::vector<PermitRequest> m_requests;
  std::vector<PermitGrant> m_grants;
  std::vector<PermitDenial> m_denials;

  bool operator==(const ColdUpdate&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_words, m_asks, m_polls, m_votes, m_charges);
    aArchive(m_requests, m_grants, m_denials);
  }
};

} // namespace persimmontally

#endif
