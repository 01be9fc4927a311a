#include "persimmontally/Wire/Codec.h"

#include "BoundedInputArchive.h"
#include "persimmontally/Support/Crypto.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace persimmontally {

/// Name and version of the protocol; follows the HMAC in every sealed message.
static constexpr std::string_view kMagic = "PMT1";
static constexpr size_t kMacBytes = 16;
static constexpr size_t kMaxHostIdBytes = 255;

template<class T>
std::string Encode(const T& aValue)
{
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(aValue);
  return std::move(out).str();
}

template<class T>
absl::StatusOr<T> Decode(std::string_view aBytes)
{
  try {
    BoundedInputArchive archive(aBytes);
    T value;
    archive(value);
    if (archive.BytesLeft() != 0) {
      return absl::InvalidArgumentError("message has trailing bytes");
    }
    return value;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

#define PERSIMMONTALLY_CODEC(TYPE)                                             \
  template std::string Encode<TYPE>(const TYPE&);                              \
  template absl::StatusOr<TYPE> Decode<TYPE>(std::string_view);

PERSIMMONTALLY_CODEC(GossipMessage)
PERSIMMONTALLY_CODEC(PeerMessage)
PERSIMMONTALLY_CODEC(GroupConfig)
PERSIMMONTALLY_CODEC(LogEntry)
PERSIMMONTALLY_CODEC(Snapshot)
PERSIMMONTALLY_CODEC(Command)
PERSIMMONTALLY_CODEC(ListsState)
PERSIMMONTALLY_CODEC(DispatchBatch)
PERSIMMONTALLY_CODEC(ReplicatedState)

#undef PERSIMMONTALLY_CODEC

std::string Seal(std::string_view aKey,
                 const HostId& aFrom,
                 std::string_view aPayload)
{
  std::string body(kMagic);
  body.push_back(static_cast<char>(aFrom.Value().size()));
  body.append(aFrom.Value()).append(aPayload);
  return HmacSha256(aKey, body).substr(0, kMacBytes) + body;
}

absl::StatusOr<SealedPayload> Unseal(std::string_view aKey,
                                     std::string_view aData)
{
  if (aData.size() < kMacBytes + kMagic.size() + 1) {
    return absl::InvalidArgumentError("message is shorter than its header");
  }
  std::string_view mac = aData.substr(0, kMacBytes);
  std::string_view body = aData.substr(kMacBytes);
  std::string expected = HmacSha256(aKey, body).substr(0, kMacBytes);
  if (!EqualInConstantTime(mac, expected)) {
    return absl::PermissionDeniedError("message authentication failed");
  }
  if (!body.starts_with(kMagic)) {
    return absl::InvalidArgumentError("unknown protocol version");
  }
  body.remove_prefix(kMagic.size());
  size_t idSize = static_cast<unsigned char>(body.front());
  body.remove_prefix(1);
  if (idSize > kMaxHostIdBytes || idSize > body.size()) {
    return absl::InvalidArgumentError("message is truncated");
  }
  return SealedPayload{ HostId(std::string(body.substr(0, idSize))),
                        std::string(body.substr(idSize)) };
}

} // namespace persimmontally
