#ifndef PERSIMMONTALLY_PROXY_CALLERREQUEST_H
#define PERSIMMONTALLY_PROXY_CALLERREQUEST_H

#include "persimmontally/Net/HttpMessage.h"
#include "persimmontally/State/PlanLists.h"
#include "persimmontally/Support/ErrorKind.h"
#include "persimmontally/Support/Ids.h"
#include "persimmontally/Support/Rank.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmontally {

/// A validated request for a generation.
struct CompletionRequest
{
  ModelId m_model;
  Rank m_rank = Rank::Routine;
  bool m_isChat = false;
  bool m_isStream = false;
  uint32_t m_maxTokens = 0;
  uint32_t m_promptTokens = 0;
  std::vector<uint64_t> m_prefix;
  /// Hash of account, model and body; identifies poison requests.
  uint64_t m_fingerprint = 0;
  /// Body for the upstream; always requests a stream.
  std::string m_upstreamBody;

  bool operator==(const CompletionRequest&) const = default;
};

/// Parses a completions or chat completions request and validates it against
/// the plan of the caller's account. Returns a refusal if the request is
/// malformed or the plan does not allow it.
std::variant<CompletionRequest, Refusal> ParseCompletion(
  const HttpRequest& aRequest,
  const AccountId& aAccount,
  const Plan& aPlan);

/// Returns the rank from the `X-Rank` header, or the default rank of the plan
/// without one. Returns a refusal for an unknown rank or one outside the plan.
std::variant<Rank, Refusal> ParseRank(const HttpRequest& aRequest,
                                      const Plan& aPlan);

} // namespace persimmontally

#endif
