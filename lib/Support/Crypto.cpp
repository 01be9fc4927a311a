#include "persimmontally/Support/Crypto.h"

#include <boost/crc.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstring>
#include <stdexcept>

namespace persimmontally {

static std::string ToHex(const unsigned char* aData, size_t aSize)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aSize * 2);
  for (size_t i = 0; i < aSize; ++i) {
    text.push_back(kDigits[aData[i] >> 4]);
    text.push_back(kDigits[aData[i] & 15]);
  }
  return text;
}

static std::array<unsigned char, 32> Sha256(std::string_view aData)
{
  std::array<unsigned char, 32> digest{};
  unsigned int size = 0;
  EVP_Digest(
    aData.data(), aData.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return digest;
}

std::string Sha256Hex(std::string_view aData)
{
  auto digest = Sha256(aData);
  return ToHex(digest.data(), digest.size());
}

std::string HmacSha256(std::string_view aKey, std::string_view aData)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aData.data()),
       aData.size(),
       mac.data(),
       &size);
  return std::string(reinterpret_cast<const char*>(mac.data()), size);
}

bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  return CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string RandomHexId()
{
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    throw std::runtime_error("random number generator failed");
  }
  return ToHex(bytes.data(), bytes.size());
}

uint64_t RandomSeed()
{
  uint64_t seed = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&seed), sizeof seed) != 1) {
    throw std::runtime_error("random number generator failed");
  }
  return seed;
}

uint64_t StableHash(std::string_view aData)
{
  auto digest = Sha256(aData);
  uint64_t value = 0;
  std::memcpy(&value, digest.data(), sizeof value);
  return value;
}

uint32_t Crc32(std::string_view aData)
{
  boost::crc_32_type crc;
  crc.process_bytes(aData.data(), aData.size());
  return crc.checksum();
}

} // namespace persimmontally
