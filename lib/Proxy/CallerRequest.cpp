#include "persimmontally/Proxy/CallerRequest.h"

#include "persimmontally/Routing/PoisonTable.h"
#include "persimmontally/Support/Prompt.h"

#include <boost/json.hpp>

namespace persimmontally {

namespace json = boost::json;

/// Block size, in tokens, assumed for the prefix hashes of a new request.
static constexpr uint32_t kPrefixBlockTokens = 16;
/// Output limit of a request without `max_tokens`.
static constexpr uint32_t kDefaultMaxTokens = 1024;

static Refusal Refuse(ErrorKind aKind, std::string aMessage)
{
  return RefusalBuilder(aKind, std::move(aMessage)).Build();
}

std::variant<Rank, Refusal> ParseRank(const HttpRequest& aRequest,
                                      const Plan& aPlan)
{
  std::string_view text = aRequest.Header("X-Rank");
  Rank rank = aPlan.m_defaultRank;
  if (text == "urgent") {
    rank = Rank::Urgent;
  } else if (text == "routine") {
    rank = Rank::Routine;
  } else if (!text.empty()) {
    return Refuse(ErrorKind::InvalidParameter,
                  "X-Rank: expected 'urgent' or 'routine'");
  }
  if (!aPlan.m_ranks.contains(rank)) {
    return Refuse(ErrorKind::Forbidden,
                  "the plan does not include the rank '" +
                    std::string(ToString(rank)) + "'");
  }
  return rank;
}

/// Returns the joined text of a chat's messages, from which the prompt size and
/// the prefix hashes are computed.
static std::variant<std::string, Refusal> ChatText(const json::object& aBody)
{
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->as_array().empty()) {
    return Refuse(ErrorKind::InvalidParameter,
                  "messages: expected a non-empty array of messages");
  }
  std::string text;
  for (const json::value& message : messages->as_array()) {
    const json::object* object = message.if_object();
    const json::value* role =
      object == nullptr ? nullptr : object->if_contains("role");
    const json::value* content =
      object == nullptr ? nullptr : object->if_contains("content");
    if (role == nullptr || !role->is_string() || content == nullptr ||
        !content->is_string()) {
      return Refuse(ErrorKind::InvalidParameter,
                    "messages: expected a role and a string content in each");
    }
    text.append(role->as_string()).append(": ");
    text.append(content->as_string()).append("\n");
  }
  return text;
}

static std::variant<std::string, Refusal> PromptText(const json::object& aBody,
                                                     bool aIsChat)
{
  if (aIsChat) {
    return ChatText(aBody);
  }
  const json::value* prompt = aBody.if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return Refuse(ErrorKind::InvalidParameter, "prompt: expected a string");
  }
  return std::string(prompt->as_string());
}

static std::variant<uint32_t, Refusal> ParseMaxTokens(const json::object& aBody,
                                                      const Plan& aPlan)
{
  const json::value* value = aBody.if_contains("max_tokens");
  if (value == nullptr) {
    return std::min(kDefaultMaxTokens, aPlan.m_maxOutputTokens);
  }
  json::error_code error;
  auto tokens = value->to_number<int64_t>(error);
  if (error || tokens < 1 || tokens > aPlan.m_maxOutputTokens) {
    return Refuse(ErrorKind::InvalidParameter,
                  "max_tokens: expected an integer from 1 to " +
                    std::to_string(aPlan.m_maxOutputTokens));
  }
  return static_cast<uint32_t>(tokens);
}

std::variant<CompletionRequest, Refusal> ParseCompletion(
  const HttpRequest& aRequest,
  const AccountId& aAccount,
  const Plan& aPlan)
{
  CompletionRequest out;
  out.m_isChat = aRequest.m_target == "/v1/chat/completions";
  auto rank = ParseRank(aRequest, aPlan);
  if (const Refusal* refusal = std::get_if<Refusal>(&rank)) {
    return *refusal;
  }
  out.m_rank = std::get<Rank>(rank);

  json::error_code error;
  json::value document = json::parse(aRequest.m_body, error);
  if (error) {
    return Refuse(ErrorKind::MalformedRequest,
                  "the body is not valid JSON: " + error.message());
  }
  json::object* body = document.if_object();
  if (body == nullptr) {
    return Refuse(ErrorKind::MalformedRequest, "the body is not a JSON object");
  }
  const json::value* model = body->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Refuse(ErrorKind::InvalidParameter, "model: expected a string");
  }
  out.m_model = ModelId(std::string(model->as_string()));
  if (!aPlan.m_models.contains(out.m_model)) {
    return Refuse(ErrorKind::UnknownModel,
                  "the plan has no model '" + out.m_model.Value() + "'");
  }
  if (const json::value* stream = body->if_contains("stream")) {
    if (!stream->is_bool()) {
      return Refuse(ErrorKind::InvalidParameter,
                    "stream: expected true or false");
    }
    out.m_isStream = stream->as_bool();
  }
  auto maxTokens = ParseMaxTokens(*body, aPlan);
  if (const Refusal* refusal = std::get_if<Refusal>(&maxTokens)) {
    return *refusal;
  }
  out.m_maxTokens = std::get<uint32_t>(maxTokens);
  auto prompt = PromptText(*body, out.m_isChat);
  if (const Refusal* refusal = std::get_if<Refusal>(&prompt)) {
    return *refusal;
  }
  const std::string& text = std::get<std::string>(prompt);
  out.m_promptTokens = EstimateTokens(text);
  out.m_prefix = PromptBlockHashes(text, kPrefixBlockTokens);
  out.m_fingerprint =
    Fingerprint(aAccount.Value(), out.m_model.Value(), aRequest.m_body);
  (*body)["stream"] = true;
  (*body)["max_tokens"] = out.m_maxTokens;
  out.m_upstreamBody = json::serialize(*body);
  return out;
}

} // namespace persimmontally
