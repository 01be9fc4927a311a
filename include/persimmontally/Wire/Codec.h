#ifndef PERSIMMONTALLY_WIRE_CODEC_H
#define PERSIMMONTALLY_WIRE_CODEC_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Wire/DispatchMessage.h"
#include "persimmontally/Wire/GossipMessage.h"
#include "persimmontally/Wire/LedgerMessage.h"
#include "persimmontally/Wire/RaftMessage.h"
#include "persimmontally/Wire/StateMessage.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <variant>

namespace persimmontally {

/// Every message that travels over TCP between hosts.
using PeerMessage = std::variant<MembershipTables,
                                 RaftMessage,
                                 ProposeRequest,
                                 ProposeReply,
                                 PlanPull,
                                 PlanState,
                                 DispatchBatch,
                                 LedgerUpdate>;

/// Encodes a value; the layout is cereal's binary one, little-endian.
/// Instantiated for the messages of this folder only.
template<class T>
std::string Encode(const T& aValue);

/// Decodes a value that fills all of the bytes. Lengths are checked against
/// the bytes that are left before anything is allocated.
template<class T>
absl::StatusOr<T> Decode(std::string_view aBytes);

/// Wraps an encoded message with its sender and an HMAC over both.
std::string Seal(std::string_view aKey,
                 const HostId& aFrom,
                 std::string_view aPayload);

struct SealedPayload
{
  HostId m_from;
  std::string m_payload;
};

/// Checks and opens what `Seal` made.
absl::StatusOr<SealedPayload> Unseal(std::string_view aKey,
                                     std::string_view aData);

} // namespace persimmontally

#endif
