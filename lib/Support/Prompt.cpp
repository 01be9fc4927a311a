#include "persimmontally/Support/Prompt.h"

#include "persimmontally/Support/Crypto.h"

#include <string>

namespace persimmontally {

static constexpr size_t kBytesPerToken = 4;
static constexpr size_t kMaxHashedBlocks = 64;

uint32_t EstimateTokens(std::string_view aText)
{
  return static_cast<uint32_t>((aText.size() + kBytesPerToken - 1) /
                               kBytesPerToken);
}

std::vector<uint64_t> PromptBlockHashes(std::string_view aText,
                                        uint32_t aBlockTokens)
{
  size_t blockBytes = aBlockTokens * kBytesPerToken;
  std::vector<uint64_t> hashes;
  uint64_t prefixHash = 0;
  while (aText.size() >= blockBytes && hashes.size() < kMaxHashedBlocks) {
    std::string input(reinterpret_cast<const char*>(&prefixHash),
                      sizeof prefixHash);
    input.append(aText.substr(0, blockBytes));
    prefixHash = StableHash(input);
    hashes.push_back(prefixHash);
    aText.remove_prefix(blockBytes);
  }
  return hashes;
}

} // namespace persimmontally
