#include "persimmontally/State/PlanLists.h"

#include "JsonLines.h"

#include <boost/json.hpp>

#include <cmath>

namespace persimmontally {

namespace json = boost::json;

namespace {

/// Reads the members of one JSON object. Appends a line to `aErrors` for each
/// invalid member: `FILE:LINE: POINTER: reason`, without the pointer for the
/// whole document.
class ObjectReader
{
public:
  ObjectReader(std::string_view aFile,
               const JsonLines& aLines,
               std::string aPointer,
               const json::value& aValue,
               std::string& aErrors)
    : m_file(aFile)
    , m_lines(aLines)
    , m_pointer(std::move(aPointer))
    , m_object(aValue.if_object())
    , m_errors(aErrors)
  {
    if (m_object == nullptr) {
      AddError("", "expected an object");
    }
  }

  std::string String(const char* aKey)
  {
    const json::value* value = Get(aKey);
    if (value == nullptr) {
      return {};
    }
    const json::string* jsonString = value->if_string();
    if (jsonString == nullptr || jsonString->empty() ||
        jsonString->size() > kMaxNameBytes) {
      AddError(aKey, "expected a text of 1 to 128 characters");
      return {};
    }
    return std::string(*jsonString);
  }

  double Number(const char* aKey, double aMin, double aMax)
  {
    const json::value* value = Get(aKey);
    if (value == nullptr) {
      return aMin;
    }
    boost::system::error_code error;
    auto number = value->to_number<double>(error);
    if (error || !std::isfinite(number) || number < aMin || number > aMax) {
      AddError(aKey,
               "expected a number from " + json::serialize(json::value(aMin)) +
                 " to " + json::serialize(json::value(aMax)));
      return aMin;
    }
    return number;
  }

  bool Boolean(const char* aKey)
  {
    const json::value* value = Get(aKey);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_bool()) {
      AddError(aKey, "expected true or false");
      return false;
    }
    return value->as_bool();
  }

  std::set<std::string> Strings(const char* aKey)
  {
    std::set<std::string> strings;
    const json::value* value = Get(aKey);
    if (value == nullptr) {
      return strings;
    }
    const json::array* array = value->if_array();
    if (array == nullptr) {
      AddError(aKey, "expected a list of texts");
      return strings;
    }
    for (const json::value& item : *array) {
      if (!item.is_string()) {
        AddError(aKey, "expected a list of texts");
        continue;
      }
      strings.insert(std::string(item.as_string()));
    }
    return strings;
  }

  /// Converts a string of the member `aKey` to a rank.
  Rank ReadRank(const char* aKey, const std::string& aText)
  {
    if (aText != "urgent" && aText != "routine") {
      AddError(aKey, "expected 'urgent' or 'routine'");
    }
    return aText == "urgent" ? Rank::Urgent : Rank::Routine;
  }

  /// Reports each key that has not been read before this call.
  void RejectUnknownKeys()
  {
    if (m_object == nullptr) {
      return;
    }
    for (const auto& item : *m_object) {
      if (!m_readKeys.contains(std::string(item.key()))) {
        AddError(std::string(item.key()), "unknown key");
      }
    }
  }

  void AddError(const std::string& aKey, const std::string& aReason)
  {
    std::string pointer = aKey.empty() ? m_pointer : m_pointer + "/" + aKey;
    m_errors.append(m_file).append(":");
    m_errors.append(std::to_string(m_lines.LineOf(pointer))).append(": ");
    if (!pointer.empty()) {
      m_errors.append(pointer).append(": ");
    }
    m_errors.append(aReason).append("\n");
  }

  const json::array* Array(const char* aKey)
  {
    const json::value* value = Get(aKey);
    if (value == nullptr) {
      return nullptr;
    }
    if (!value->is_array()) {
      AddError(aKey, "expected a list");
      return nullptr;
    }
    return &value->as_array();
  }

private:
  static constexpr size_t kMaxNameBytes = 128;

  /// Returns the value of a required key, or null after reporting it missing.
  const json::value* Get(const char* aKey)
  {
    m_readKeys.insert(aKey);
    if (m_object == nullptr) {
      return nullptr;
    }
    const json::value* value = m_object->if_contains(aKey);
    if (value == nullptr) {
      AddError(aKey, "missing");
    }
    return value;
  }

  std::string_view m_file;
  const JsonLines& m_lines;
  std::string m_pointer;
  const json::object* m_object;
  std::string& m_errors;
  std::set<std::string> m_readKeys;
};

} // namespace

static Plan ReadPlan(ObjectReader& aReader)
{
  constexpr double kMaxRate = 1e9;
  Plan plan;
  plan.m_name = aReader.String("name");
  plan.m_weight = aReader.Number("weight", 0.001, 1e6);
  plan.m_requestsPerSecond = aReader.Number("requests_per_s", 0, kMaxRate);
  plan.m_tokensPerMinute = aReader.Number("tokens_per_min", 0, kMaxRate);
  plan.m_maxConcurrent =
    static_cast<uint32_t>(aReader.Number("max_concurrent", 0, 1e6));
  plan.m_maxOutputTokens =
    static_cast<uint32_t>(aReader.Number("max_output_tokens", 1, 1e6));
  for (const std::string& rank : aReader.Strings("ranks")) {
    plan.m_ranks.insert(aReader.ReadRank("ranks", rank));
  }
  plan.m_defaultRank =
    aReader.ReadRank("default_rank", aReader.String("default_rank"));
  if (!plan.m_ranks.contains(plan.m_defaultRank)) {
    aReader.AddError("default_rank", "is none of the plan's ranks");
  }
  for (const std::string& model : aReader.Strings("models")) {
    plan.m_models.insert(ModelId(model));
  }
  plan.m_services = aReader.Strings("services");
  aReader.RejectUnknownKeys();
  return plan;
}

/// Parses a JSON text and records the lines of its values. When the text is
/// invalid, sets `aErrors` and returns null.
static json::value ReadDocument(std::string_view aFile,
                                std::string_view aJson,
                                JsonLines& aLines,
                                std::string& aErrors)
{
  absl::Status scanned = aLines.Scan(aJson);
  if (!scanned.ok()) {
    aErrors = std::string(aFile) + ":" + std::string(scanned.message()) + "\n";
    return {};
  }
  return json::parse(aJson);
}

absl::StatusOr<PlanList> ParsePlanList(std::string_view aFile,
                                       std::string_view aJson)
{
  std::string errors;
  JsonLines lines;
  json::value document = ReadDocument(aFile, aJson, lines, errors);
  if (!errors.empty()) {
    return absl::InvalidArgumentError(errors);
  }
  PlanList list;
  ObjectReader root(aFile, lines, "", document, errors);
  list.m_routineFloor = root.Number("routine_floor", 0, 0.9);
  if (const json::array* services = root.Array("services")) {
    for (size_t i = 0; i < services->size(); ++i) {
      std::string pointer = "/services/" + std::to_string(i);
      ObjectReader reader(aFile, lines, pointer, services->at(i), errors);
      ServiceRule rule{ reader.String("name"), reader.Boolean("repeatable") };
      reader.RejectUnknownKeys();
      if (!list.m_services.emplace(rule.m_name, rule).second) {
        reader.AddError("name", "'" + rule.m_name + "' is listed twice");
      }
    }
  }
  if (const json::array* plans = root.Array("plans")) {
    for (size_t i = 0; i < plans->size(); ++i) {
      std::string pointer = "/plans/" + std::to_string(i);
      ObjectReader reader(aFile, lines, pointer, plans->at(i), errors);
      Plan plan = ReadPlan(reader);
      for (const std::string& service : plan.m_services) {
        if (!list.m_services.contains(service)) {
          reader.AddError("services", "no service is named '" + service + "'");
        }
      }
      if (!list.m_plans.emplace(plan.m_name, plan).second) {
        reader.AddError("name", "'" + plan.m_name + "' is listed twice");
      }
    }
  }
  root.RejectUnknownKeys();
  if (!errors.empty()) {
    return absl::InvalidArgumentError(errors);
  }
  return list;
}

static bool IsSha256Hex(const std::string& aText)
{
  return aText.size() == 64 &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

absl::StatusOr<AccountList> ParseAccountList(std::string_view aFile,
                                             std::string_view aJson)
{
  std::string errors;
  JsonLines lines;
  json::value document = ReadDocument(aFile, aJson, lines, errors);
  if (!errors.empty()) {
    return absl::InvalidArgumentError(errors);
  }
  AccountList list;
  ObjectReader root(aFile, lines, "", document, errors);
  const json::array* accounts = root.Array("accounts");
  for (size_t i = 0; accounts != nullptr && i < accounts->size(); ++i) {
    std::string pointer = "/accounts/" + std::to_string(i);
    ObjectReader reader(aFile, lines, pointer, accounts->at(i), errors);
    Account account;
    account.m_id = AccountId(reader.String("name"));
    account.m_plan = reader.String("plan");
    account.m_keySha256 = reader.String("key_sha256");
    reader.RejectUnknownKeys();
    if (!IsSha256Hex(account.m_keySha256)) {
      reader.AddError("key_sha256",
                      "expected 64 lower-case hexadecimal digits");
    }
    if (!list.m_accountByKeySha256.emplace(account.m_keySha256, account.m_id)
           .second) {
      reader.AddError("key_sha256", "another account has the same key");
    }
    if (!list.m_accounts.emplace(account.m_id, account).second) {
      reader.AddError("name", "'" + account.m_id.Value() + "' is listed twice");
    }
  }
  root.RejectUnknownKeys();
  if (!errors.empty()) {
    return absl::InvalidArgumentError(errors);
  }
  return list;
}

absl::Status CheckPlansOfAccounts(const PlanList& aPlans,
                                  const AccountList& aAccounts)
{
  std::string errors;
  for (const auto& [id, account] : aAccounts.m_accounts) {
    if (!aPlans.m_plans.contains(account.m_plan)) {
      errors.append("account '")
        .append(id.Value())
        .append("' holds plan '")
        .append(account.m_plan)
        .append("', which the list of plans does not have\n");
    }
  }
  return errors.empty() ? absl::OkStatus() : absl::InvalidArgumentError(errors);
}

} // namespace persimmontally
