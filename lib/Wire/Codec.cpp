#include "persimmontally/Wire/Codec.h"

#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Wire/BoundedInputArchive.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <zstd.h>

namespace persimmontally {

/// Name and version of the protocol; follows the HMAC in every sealed message.
static constexpr std::string_view kMagic = "PMT2";
static constexpr size_t kMacBytes = 16;
static constexpr size_t kMaxHostIdBytes = 255;
/// Payloads of this size are compressed, which mainly concerns catalogs and
/// membership tables: their rows repeat the same names.
static constexpr size_t kMinCompressedBytes = 1024;
static constexpr int kCompressionLevel = 1;
/// Maximum size of a payload after decompression.
static constexpr size_t kMaxPayloadBytes = size_t(64) << 20;

enum class PayloadFormat : char
{
  Plain,
  Zstd
};

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

/// Returns the compressed payload, or an empty string if that is not shorter.
static std::string Compress(std::string_view aPayload)
{
  std::string compressed(ZSTD_compressBound(aPayload.size()), '\0');
  size_t size = ZSTD_compress(compressed.data(),
                              compressed.size(),
                              aPayload.data(),
                              aPayload.size(),
                              kCompressionLevel);
  if (ZSTD_isError(size) != 0U || size >= aPayload.size()) {
    return {};
  }
  compressed.resize(size);
  return compressed;
}

static absl::StatusOr<std::string> Decompress(std::string_view aData)
{
  unsigned long long size =
    ZSTD_getFrameContentSize(aData.data(), aData.size());
  // The values for an unknown size and for an error are above the limit.
  if (size > kMaxPayloadBytes) {
    return absl::InvalidArgumentError("compressed message is too large");
  }
  std::string payload(static_cast<size_t>(size), '\0');
  size_t got =
    ZSTD_decompress(payload.data(), payload.size(), aData.data(), aData.size());
  if (got != payload.size()) {
    return absl::InvalidArgumentError("compressed message is malformed");
  }
  return payload;
}

std::string Seal(std::string_view aKey,
                 const HostId& aFrom,
                 std::string_view aPayload)
{
  std::string compressed =
    aPayload.size() >= kMinCompressedBytes ? Compress(aPayload) : std::string();
  PayloadFormat format =
    compressed.empty() ? PayloadFormat::Plain : PayloadFormat::Zstd;
  std::string body(kMagic);
  body.push_back(static_cast<char>(aFrom.Value().size()));
  body.append(aFrom.Value());
  body.push_back(static_cast<char>(format));
  body.append(compressed.empty() ? aPayload : compressed);
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
  if (idSize > kMaxHostIdBytes || idSize >= body.size()) {
    return absl::InvalidArgumentError("message is truncated");
  }
  SealedPayload sealed{ HostId(std::string(body.substr(0, idSize))), {} };
  auto format = static_cast<PayloadFormat>(body[idSize]);
  body.remove_prefix(idSize + 1);
  switch (format) {
    case PayloadFormat::Plain:
      sealed.m_payload = body;
      return sealed;
    case PayloadFormat::Zstd: {
      auto payload = Decompress(body);
      if (!payload.ok()) {
        return payload.status();
      }
      sealed.m_payload = *std::move(payload);
      return sealed;
    }
  }
  return absl::InvalidArgumentError("unknown format of the payload");
}

} // namespace persimmontally
