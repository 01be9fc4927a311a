#include "Commands.h"

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/State/PlanLists.h"
#include "persimmontally/Support/Crypto.h"

#include <boost/json.hpp>

#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace persimmontally {

namespace json = boost::json;

static constexpr Duration kResponseTimeout = seconds(15);

/// Sends one request and blocks until the whole response has been received.
static absl::StatusOr<HttpResponse> Call(const ControlOptions& aOptions,
                                         HttpRequest aRequest)
{
  EventLoop loop;
  absl::StatusOr<HttpResponse> result =
    absl::UnavailableError("no response from " + ToString(aOptions.m_host));
  aRequest.m_headers.push_back(
    { "Authorization", "Bearer " + aOptions.m_adminKey });
  StartBufferedHttpCall(
    loop,
    aOptions.m_host,
    std::move(aRequest),
    { seconds(2), kResponseTimeout },
    [&](const absl::Status& aStatus, HttpResponse aResponse) {
      if (aStatus.ok()) {
        result = std::move(aResponse);
      } else {
        result = aStatus;
      }
      loop.Stop();
    });
  loop.Run();
  return result;
}

/// Converts the body of an error response to a status, `KIND: MESSAGE`. Returns
/// an internal error with the HTTP status if the body has another form.
static absl::Status ErrorOf(const HttpResponse& aResponse)
{
  json::error_code error;
  json::value body = json::parse(aResponse.m_body, error);
  const json::value* message =
    error ? nullptr : body.find_pointer("/error/message", error);
  const json::value* kind =
    error ? nullptr : body.find_pointer("/error/kind", error);
  if (message == nullptr || kind == nullptr) {
    return absl::InternalError("status " + std::to_string(aResponse.m_status));
  }
  return absl::FailedPreconditionError(std::string(kind->as_string()) + ": " +
                                       std::string(message->as_string()));
}

static absl::StatusOr<HttpResponse> Get(const ControlOptions& aOptions,
                                        const std::string& aTarget)
{
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = aTarget;
  auto response = Call(aOptions, std::move(request));
  if (response.ok() && response->m_status != 200) {
    return ErrorOf(*response);
  }
  return response;
}

static absl::StatusOr<std::string> ReadListFile(const std::string& aList,
                                                const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return absl::NotFoundError(aFile + ": cannot be read");
  }
  std::stringstream text;
  text << in.rdbuf();
  absl::Status valid = aList == "plans"
                         ? ParsePlanList(aFile, text.str()).status()
                         : ParseAccountList(aFile, text.str()).status();
  if (!valid.ok()) {
    return valid;
  }
  return text.str();
}

static std::string VersionOf(const HttpResponse& aResponse)
{
  std::string tag(aResponse.Header("ETag"));
  std::erase(tag, '"');
  return tag;
}

/// Returns the array items of a list under `array/name`, and its other members
/// under their names, serialized.
static std::map<std::string, std::string> Items(const json::value& aList)
{
  std::map<std::string, std::string> items;
  if (!aList.is_object()) {
    return items;
  }
  for (const auto& member : aList.as_object()) {
    std::string key(member.key());
    if (!member.value().is_array()) {
      items[key] = json::serialize(member.value());
      continue;
    }
    for (const json::value& item : member.value().as_array()) {
      json::error_code error;
      const json::value* name = item.find_pointer("/name", error);
      if (name != nullptr && name->is_string()) {
        items[key + "/" + std::string(name->as_string())] =
          json::serialize(item);
      }
    }
  }
  return items;
}

static std::string DescribeDiff(const std::string& aOld,
                                const std::string& aNew)
{
  json::error_code error;
  auto before = Items(json::parse(aOld, error));
  auto after = Items(json::parse(aNew, error));
  std::string out;
  for (const auto& [key, value] : before) {
    auto at = after.find(key);
    if (at == after.end()) {
      out += "- " + key + " " + value + "\n";
    } else if (at->second != value) {
      out += "- " + key + " " + value + "\n+ " + key + " " + at->second + "\n";
    }
  }
  for (const auto& [key, value] : after) {
    if (!before.contains(key)) {
      out += "+ " + key + " " + value + "\n";
    }
  }
  return out.empty() ? "no difference\n" : out;
}

static absl::StatusOr<std::string> Submit(const ControlOptions& aOptions,
                                          const std::string& aList,
                                          const std::string& aFile)
{
  auto text = ReadListFile(aList, aFile);
  if (!text.ok()) {
    return text.status();
  }
  std::string version = std::to_string(aOptions.m_fromVersion);
  if (aOptions.m_fromVersion < 0) {
    auto current = Get(aOptions, "/admin/v1/" + aList);
    if (!current.ok()) {
      return current.status();
    }
    version = VersionOf(*current);
  }
  HttpRequest request;
  request.m_method = "PUT";
  request.m_target = "/admin/v1/" + aList;
  request.m_body = *text;
  std::string changeId =
    aOptions.m_changeId.empty() ? RandomHexId() : aOptions.m_changeId;
  request.m_headers = { { "If-Match", version },
                        { "Idempotency-Key", changeId } };
  auto response = Call(aOptions, std::move(request));
  if (!response.ok()) {
    return absl::UnavailableError(
      std::string(response.status().message()) +
      "; the change may have been accepted: submit it again with --change_id " +
      changeId + " --from_version " + version);
  }
  if (response->m_status != 200) {
    return ErrorOf(*response);
  }
  if (aOptions.m_json) {
    return response->m_body + "\n";
  }
  return aList + ": version " + VersionOf(*response) + " accepted\n";
}

static std::string Table(const json::value& aRows)
{
  std::string out;
  for (const json::value& row : aRows.as_array()) {
    for (const auto& cell : row.as_object()) {
      const json::value& value = cell.value();
      out += " " + std::string(cell.key()) + "=" +
             (value.is_string() ? std::string(value.as_string())
                                : json::serialize(value));
    }
    out += "\n";
  }
  return out;
}

static absl::StatusOr<std::string> Status(const ControlOptions& aOptions)
{
  auto response = Get(aOptions, "/admin/v1/status");
  if (!response.ok() || aOptions.m_json) {
    return response.ok() ? absl::StatusOr<std::string>(response->m_body + "\n")
                         : response.status();
  }
  json::value status = json::parse(response->m_body);
  std::string out = "host " + std::string(status.at("host").as_string());
  out += status.at("ready").as_bool() ? ", ready\n" : ", not ready\n";
  out += "lists: " + json::serialize(status.at("lists")) + "\n";
  json::object group = status.at("group").as_object();
  out += "leader: " + std::string(group.at("leader").as_string()) + "\n";
  out += "members:\n" + Table(group.at("members"));
  for (const char* section :
       { "hosts", "upstreams", "accounts", "suspects", "evacuated" }) {
    out += std::string(section) + ":\n" + Table(status.at(section));
  }
  return out;
}

static absl::StatusOr<std::string> Explain(const ControlOptions& aOptions,
                                           const std::string& aRequest)
{
  auto response = Get(aOptions, "/admin/v1/requests/" + aRequest);
  if (!response.ok()) {
    return response.status();
  }
  if (aOptions.m_json) {
    return response->m_body + "\n";
  }
  std::string out;
  for (const json::value& line :
       json::parse(response->m_body).at("decisions").as_array()) {
    out += std::string(line.as_string()) + "\n";
  }
  return out.empty() ? "this host has no record of the request\n" : out;
}

static absl::StatusOr<std::string> RunListCommand(
  const ControlOptions& aOptions,
  const std::vector<std::string>& aArguments)
{
  const std::string& command = aArguments[0];
  const std::string& list = aArguments[1];
  if (command == "show") {
    auto response = Get(aOptions, "/admin/v1/" + list);
    if (!response.ok()) {
      return response.status();
    }
    std::string head =
      aOptions.m_json ? "" : "version " + VersionOf(*response) + "\n";
    return head + response->m_body + "\n";
  }
  if (aArguments.size() < 3) {
    return absl::UnimplementedError("missing file argument");
  }
  if (command == "submit") {
    return Submit(aOptions, list, aArguments[2]);
  }
  auto text = ReadListFile(list, aArguments[2]);
  if (!text.ok()) {
    return text.status();
  }
  if (command == "validate") {
    return aArguments[2] + ": ok\n";
  }
  auto current = Get(aOptions, "/admin/v1/" + list);
  if (!current.ok()) {
    return current.status();
  }
  return DescribeDiff(current->m_body, *text);
}

/// Orders the evacuation of a data centre, or takes it back.
static absl::StatusOr<std::string> OrderEvacuation(
  const ControlOptions& aOptions,
  const std::string& aDataCentre,
  bool aIsEvacuated)
{
  HttpRequest request;
  request.m_method = aIsEvacuated ? "PUT" : "DELETE";
  request.m_target = "/admin/v1/evacuations/" + aDataCentre;
  auto response = Call(aOptions, std::move(request));
  if (!response.ok()) {
    return absl::UnavailableError(
      std::string(response.status().message()) +
      "; the order may have been accepted: repeat it");
  }
  if (response->m_status != 200) {
    return ErrorOf(*response);
  }
  if (aOptions.m_json) {
    return response->m_body + "\n";
  }
  return aDataCentre +
         (aIsEvacuated ? ": evacuation accepted\n" : ": restored\n");
}

/// Returns the local view of a host that routes traffic, read from its metrics
/// address.
static absl::StatusOr<std::string> RoutedStatus(const ControlOptions& aOptions)
{
  auto response = Get(aOptions, "/status");
  if (!response.ok()) {
    return response.status();
  }
  json::error_code error;
  json::value status = json::parse(response->m_body, error);
  if (error || !status.is_object() || !status.as_object().contains("hosts")) {
    return absl::InternalError(
      ToString(aOptions.m_host) +
      " is not the metrics address of a host that routes traffic");
  }
  if (aOptions.m_json) {
    return response->m_body + "\n";
  }
  std::string out;
  for (const auto& [key, value] : status.as_object()) {
    bool isTable = value.is_array();
    out += std::string(key) + ": ";
    out += isTable ? "\n" + Table(value) : json::serialize(value) + "\n";
  }
  return out;
}

absl::StatusOr<std::string> RunCommand(
  const ControlOptions& aOptions,
  const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    return absl::UnimplementedError("missing command");
  }
  const std::string& command = aArguments[0];
  if (command == "status") {
    return Status(aOptions);
  }
  if (command == "routed") {
    return RoutedStatus(aOptions);
  }
  if (aArguments.size() < 2) {
    return absl::UnimplementedError("'" + command + "' needs an argument");
  }
  if (command == "evacuate" || command == "restore") {
    return OrderEvacuation(aOptions, aArguments[1], command == "evacuate");
  }
  if (command == "explain") {
    return Explain(aOptions, aArguments[1]);
  }
  if (command == "hash-key") {
    return Sha256Hex(aArguments[1]) + "\n";
  }
  bool isListCommand = command == "show" || command == "validate" ||
                       command == "diff" || command == "submit";
  bool isList = aArguments[1] == "plans" || aArguments[1] == "accounts";
  if (isListCommand && isList) {
    return RunListCommand(aOptions, aArguments);
  }
  return absl::UnimplementedError("unknown command '" + command + "'");
}

} // namespace persimmontally
