#ifndef PERSIMMONTALLY_SUPPORT_PROMPT_H
#define PERSIMMONTALLY_SUPPORT_PROMPT_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace persimmontally {

/// Estimates the number of tokens of a text at four bytes per token, rounded
/// up. The system has no tokenizer: limits and forecasts need only an
/// approximate size.
uint32_t EstimateTokens(std::string_view aText);

/// Returns a chained hash for each full block of `aBlockTokens` tokens of a
/// prompt, for at most the first 64 blocks. Each hash covers its block and all
/// blocks before it. Engines publish the same hashes in their cache events.
std::vector<uint64_t> PromptBlockHashes(std::string_view aText,
                                        uint32_t aBlockTokens);

} // namespace persimmontally

#endif
