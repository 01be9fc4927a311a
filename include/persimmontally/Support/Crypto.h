#ifndef PERSIMMONTALLY_SUPPORT_CRYPTO_H
#define PERSIMMONTALLY_SUPPORT_CRYPTO_H

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmontally {

/// Returns the SHA-256 digest of `aData` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view aData);

/// Returns the HMAC-SHA-256 of `aData` as 32 raw bytes.
std::string HmacSha256(std::string_view aKey, std::string_view aData);

/// Compares two secrets in a time that depends only on their lengths.
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/// Returns a random identifier of 32 hexadecimal digits from OpenSSL's
/// cryptographic generator. Throws `std::runtime_error` if the generator fails.
std::string RandomHexId();

/// Returns 64 random bits from OpenSSL's cryptographic generator, to seed
/// pseudo-random number engines. Throws `std::runtime_error` if the generator
/// fails.
uint64_t RandomSeed();

/// Returns a 64-bit hash that is the same on every host, for rendezvous hashing
/// and fingerprints. The hash is not keyed, so it does not protect against
/// inputs chosen to collide.
uint64_t StableHash(std::string_view aData);

/// Returns the CRC-32 checksum of a log record.
uint32_t Crc32(std::string_view aData);

} // namespace persimmontally

#endif
