#include "persimmontally/Proxy/Gateway.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Metrics.h"

#include "absl/status/statusor.h"
#include <boost/json.hpp>

namespace persimmontally {

namespace json = boost::json;

namespace {

/// Reads typed members of an announcement's JSON object and keeps the first
/// error.
class AnnouncementReader
{
public:
  explicit AnnouncementReader(const json::object& aObject)
    : m_object(aObject)
  {
  }

  std::string Text(const char* aKey, bool aIsNeeded)
  {
    const json::value* value = m_object.if_contains(aKey);
    if (value == nullptr) {
      if (aIsNeeded) {
        RecordError(aKey, "missing");
      }
      return {};
    }
    if (!value->is_string()) {
      RecordError(aKey, "expected a string");
      return {};
    }
    return std::string(value->as_string());
  }

  template<class Number>
  Number Integer(const char* aKey, Number aDefault)
  {
    const json::value* value = m_object.if_contains(aKey);
    if (value == nullptr) {
      return aDefault;
    }
    json::error_code error;
    auto number = value->to_number<Number>(error);
    if (error) {
      RecordError(aKey, "expected an integer in range");
    }
    return number;
  }

  const json::object* Object(const char* aKey)
  {
    const json::value* value = m_object.if_contains(aKey);
    if (value != nullptr && !value->is_object()) {
      RecordError(aKey, "expected an object");
    }
    return value == nullptr ? nullptr : value->if_object();
  }

  std::vector<std::string> Texts(const char* aKey)
  {
    std::vector<std::string> texts;
    const json::value* value = m_object.if_contains(aKey);
    if (value == nullptr) {
      return texts;
    }
    if (!value->is_array()) {
      RecordError(aKey, "expected an array of strings");
      return texts;
    }
    for (const json::value& item : value->as_array()) {
      if (!item.is_string()) {
        RecordError(aKey, "expected an array of strings");
        return texts;
      }
      texts.emplace_back(item.as_string());
    }
    return texts;
  }

  void RecordError(const std::string& aKey, const std::string& aReason)
  {
    if (m_firstError.empty()) {
      m_firstError = aKey + ": " + aReason;
    }
  }

  const std::string& FirstError() const { return m_firstError; }

private:
  const json::object& m_object;
  std::string m_firstError;
};

} // namespace

static absl::StatusOr<UpstreamRow> ParseAnnouncement(const std::string& aId,
                                                     const json::object& aBody)
{
  AnnouncementReader reader(aBody);
  UpstreamRow row;
  row.m_id = UpstreamId(aId);
  auto endpoint = ParseEndpoint(reader.Text("address", true));
  if (!endpoint.ok()) {
    reader.RecordError("address", std::string(endpoint.status().message()));
  } else {
    row.m_endpoint = *endpoint;
  }
  row.m_dataCentre = DataCentreId(reader.Text("data_centre", true));
  row.m_region = RegionId(reader.Text("region", false));
  std::string kind = reader.Text("kind", true);
  if (kind != "engine" && kind != "service") {
    reader.RecordError("kind", "expected 'engine' or 'service'");
  }
  row.m_kind = kind == "service" ? UpstreamKind::Service : UpstreamKind::Engine;
  std::string state = reader.Text("state", true);
  if (state != "serving" && state != "leaving") {
    reader.RecordError("state", "expected 'serving' or 'leaving'");
  }
  row.m_state =
    state == "leaving" ? UpstreamState::Leaving : UpstreamState::Serving;
  for (const std::string& model : reader.Texts("models")) {
    row.m_models.emplace_back(model);
  }
  row.m_service = reader.Text("service", false);
  row.m_incarnation = reader.Integer<uint64_t>("incarnation", 0);
  row.m_sequence = reader.Integer<uint64_t>("sequence", 0);
  row.m_slots = reader.Integer<uint32_t>("slots", 0);
  row.m_kvBlocks = reader.Integer<uint32_t>("kv_blocks", 0);
  row.m_blockTokens = reader.Integer<uint32_t>("block_tokens", 16);
  if (const json::value* fencing = aBody.if_contains("checks_fencing")) {
    row.m_checksFencing = fencing->is_bool() && fencing->as_bool();
  }
  if (const json::object* load = reader.Object("load")) {
    AnnouncementReader loadReader(*load);
    row.m_load.m_running = loadReader.Integer<uint32_t>("running", 0);
    row.m_load.m_waiting = loadReader.Integer<uint32_t>("waiting", 0);
    row.m_load.m_kvBlocksUsed =
      loadReader.Integer<uint32_t>("kv_blocks_used", 0);
    if (!loadReader.FirstError().empty()) {
      reader.RecordError("load", loadReader.FirstError());
    }
  }
  if (!reader.FirstError().empty()) {
    return absl::InvalidArgumentError(reader.FirstError());
  }
  absl::Status valid = ValidateUpstream(row);
  if (!valid.ok()) {
    return valid;
  }
  return row;
}

static absl::StatusOr<CacheEvents> ParseCacheEvents(const std::string& aId,
                                                    const json::object& aBody)
{
  AnnouncementReader reader(aBody);
  CacheEvents events;
  events.m_upstream = UpstreamId(aId);
  events.m_incarnation = reader.Integer<uint64_t>("incarnation", 0);
  events.m_firstSequence = reader.Integer<uint64_t>("first_sequence", 0);
  auto read = [&](const char* aKey, std::vector<uint64_t>& aOut) {
    const json::value* list = aBody.if_contains(aKey);
    if (list == nullptr || !list->is_array()) {
      reader.RecordError(aKey, "expected an array of integers");
      return;
    }
    for (const json::value& item : list->as_array()) {
      json::error_code error;
      aOut.push_back(item.to_number<uint64_t>(error));
      if (error) {
        reader.RecordError(aKey, "expected an array of integers");
      }
    }
  };
  read("added", events.m_added);
  read("removed", events.m_removed);
  if (!reader.FirstError().empty()) {
    return absl::InvalidArgumentError(reader.FirstError());
  }
  return events;
}

void Gateway::WithdrawUpstream(const UpstreamId& aId, const Writer& aWriter)
{
  const UpstreamEntry* entry = m_membership.Upstreams().Find(aId);
  if (entry != nullptr) {
    UpstreamRow row = entry->m_row;
    row.m_state = UpstreamState::Gone;
    ++row.m_sequence;
    m_membership.Announce(m_loop.Now(), row);
  }
  SendJson(*aWriter, 200, "{}");
}

/// Handles `PUT /upstream/v1/ID`, `DELETE /upstream/v1/ID` and
/// `POST /upstream/v1/ID/cache-events`.
void Gateway::HandleUpstream(const HttpRequest& aRequest, const Writer& aWriter)
{
  auto refuse = [this, aWriter](ErrorKind aKind, const std::string& aMessage) {
    m_metrics.Add("announcements_refused_total");
    SendRefusal(*aWriter, RefusalBuilder(aKind, aMessage).Build(), "");
  };
  if (!EqualInConstantTime(BearerKey(aRequest), m_options.m_upstreamKey)) {
    refuse(ErrorKind::Unauthenticated, "unknown upstream key");
    return;
  }
  std::string id =
    aRequest.m_target.substr(std::string_view("/upstream/v1/").size());
  constexpr std::string_view kEvents = "/cache-events";
  bool isEvents = id.ends_with(kEvents);
  if (isEvents) {
    id.resize(id.size() - kEvents.size());
  }
  if (id.empty() || id.find('/') != std::string::npos) {
    refuse(ErrorKind::NotFound, "no such path");
    return;
  }
  if (aRequest.m_method == "DELETE") {
    // Read late, it would end an incarnation that has started since.
    m_orderGate.Hold(
      aWriter,
      [this, aWriter, id] { WithdrawUpstream(UpstreamId(id), aWriter); },
      [refuse] {
        refuse(ErrorKind::NoQuorum, "the withdrawal was read late");
      });
    return;
  }
  if (aRequest.m_method != (isEvents ? "POST" : "PUT")) {
    refuse(ErrorKind::MethodNotAllowed, "use PUT, DELETE or POST");
    return;
  }
  json::error_code error;
  json::value body = json::parse(aRequest.m_body, error);
  if (error || !body.is_object()) {
    refuse(ErrorKind::MalformedRequest, "the body is not a JSON object");
    return;
  }
  if (isEvents) {
    auto events = ParseCacheEvents(id, body.as_object());
    if (!events.ok()) {
      refuse(ErrorKind::InvalidParameter,
             std::string(events.status().message()));
      return;
    }
    if (!m_placement.Local().Prefixes().Apply(*events)) {
      m_metrics.Add("cache_event_gaps_total");
    }
    SendJson(*aWriter, 200, "{}");
    return;
  }
  auto row = ParseAnnouncement(id, body.as_object());
  if (!row.ok()) {
    refuse(ErrorKind::InvalidParameter, std::string(row.status().message()));
    return;
  }
  UpstreamMergeResult merge = m_membership.Announce(m_loop.Now(), *row);
  if (merge == UpstreamMergeResult::Changed) {
    WriteLog(
      LogLevel::Info,
      "upstream_announced",
      { { "upstream", id },
        { "state",
          row->m_state == UpstreamState::Serving ? "serving" : "leaving" },
        { "incarnation", row->m_incarnation } });
  }
  SendJson(*aWriter, 200, "{}");
}

} // namespace persimmontally
