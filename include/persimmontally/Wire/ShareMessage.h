#ifndef PERSIMMONTALLY_WIRE_SHAREMESSAGE_H
#define PERSIMMONTALLY_WIRE_SHAREMESSAGE_H

#include "persimmontally/Support/Ids.h"

#include <cstdint>

namespace persimmontally {

enum class ShareKind : uint8_t
{
  Request,
  Grant
};

/// Requests or grants a temporary transfer of a share of an account's plan
/// limit from one host to another.
struct ShareMessage
{
  ShareKind m_kind = ShareKind::Request;
  AccountId m_account;
  /// Transferred share, in parts per million of the account's whole plan limit.
  uint32_t m_partsPerMillion = 0;
  /// Validity of a grant, counted from its receipt.
  uint32_t m_leaseMs = 0;

  bool operator==(const ShareMessage&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_kind, m_account, m_partsPerMillion, m_leaseMs);
  }
};

} // namespace persimmontally

#endif
