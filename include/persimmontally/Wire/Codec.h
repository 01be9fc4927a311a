#ifndef PERSIMMONTALLY_WIRE_CODEC_H
#define PERSIMMONTALLY_WIRE_CODEC_H

#include "persimmontally/Support/Ids.h"
#include "persimmontally/Wire/CatalogMessage.h"
#include "persimmontally/Wire/ColdMessage.h"
#include "persimmontally/Wire/DispatchMessage.h"
#include "persimmontally/Wire/GossipMessage.h"
#include "persimmontally/Wire/LedgerMessage.h"
#include "persimmontally/Wire/PaceMessage.h"
#include "persimmontally/Wire/RaftMessage.h"
#include "persimmontally/Wire/RateLimitMessage.h"
#include "persimmontally/Wire/StateMessage.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <variant>

namespace persimmontally {

/// Any message that hosts exchange over TCP.
using PeerMessage = std::variant<MembershipTables,
                                 RaftMessage,
                                 ProposeRequest,
                                 ProposeReply,
                                 ListsPull,
                                 ListsState,
                                 CatalogPull,
                                 CatalogUpdate,
                                 DispatchBatch,
                                 LedgerUpdate,
                                 RateLimitUpdate,
                                 PaceUpdate,
                                 ColdUpdate>;

/// Encodes a value in the little-endian layout of cereal's binary archive.
/// Instantiated only for the types listed in Codec.cpp.
template<class T>
std::string Encode(const T& aValue);

/// Decodes a value, or returns InvalidArgument if the input is malformed or has
/// trailing bytes. Lengths are checked against the remaining input before
/// memory is allocated for them.
template<class T>
absl::StatusOr<T> Decode(std::string_view aBytes);

/// Prepends the protocol version, the sender's ID and a truncated HMAC over all
/// of it to an encoded message. Compresses long messages.
std::string Seal(std::string_view aKey,
                 const HostId& aFrom,
                 std::string_view aPayload);

struct SealedPayload
{
  HostId m_from;
  std::string m_payload;
};

/// Verifies the output of `Seal` and extracts its sender and payload. Returns
/// PermissionDenied if the HMAC does not match, and InvalidArgument for a
/// truncated message or an unknown protocol version.
absl::StatusOr<SealedPayload> Unseal(std::string_view aKey,
                                     std::string_view aData);

} // namespace persimmontally

#endif
