#include "persimmontally/Proxy/Gateway.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Metrics.h"

#include <boost/json.hpp>

#include <charconv>
#include <optional>

namespace persimmontally {

namespace json = boost::json;

static const char* StateName(HostState aState)
{
  switch (aState) {
    case HostState::Alive:
      return "alive";
    case HostState::Suspect:
      return "suspect";
    case HostState::Dead:
      return "dead";
    case HostState::Left:
      return "left";
  }
  return "unknown";
}

static const char* StateName(UpstreamState aState)
{
  switch (aState) {
    case UpstreamState::Serving:
      return "serving";
    case UpstreamState::Leaving:
      return "leaving";
    case UpstreamState::Gone:
      return "gone";
  }
  return "unknown";
}

static json::array DescribeHosts(const Membership& aMembership)
{
  json::array hosts;
  for (const auto& [id, row] : aMembership.Hosts()) {
    hosts.push_back({ { "name", id.Value() },
                      { "data_centre", row.m_dataCentre.Value() },
                      { "region", row.m_region.Value() },
                      { "peer", ToString(row.m_peer) },
                      { "state", StateName(row.m_state) },
                      { "has_disk", !row.m_disk.Empty() },
                      { "list_index", row.m_listsIndex } });
  }
  return hosts;
}

static json::array DescribeUpstreams(Instant aNow,
                                     const Membership& aMembership)
{
  json::array upstreams;
  for (const auto& [id, entry] : aMembership.Upstreams().Rows()) {
    const UpstreamRow& row = entry.m_row;
    bool live = UpstreamTable::IsLive(aNow, entry);
    upstreams.push_back(
      { { "id", id.Value() },
        { "address", ToString(row.m_endpoint) },
        { "data_centre", row.m_dataCentre.Value() },
        { "kind", row.m_kind == UpstreamKind::Engine ? "engine" : "service" },
        { "state", live ? StateName(row.m_state) : "gone" },
        { "slots", row.m_slots },
        { "running", row.m_load.m_running },
        { "waiting", row.m_load.m_waiting },
        { "kv_blocks", row.m_kvBlocks },
        { "kv_blocks_used", row.m_load.m_kvBlocksUsed } });
  }
  return upstreams;
}

static json::object DescribeGroup(const StateService& aState)
{
  json::object group;
  group["id"] = aState.Group();
  group["leader"] = aState.LeaderHost().Value();
  group["is_leader"] = aState.IsLeader();
  json::array members;
  if (const RaftNode* raft = aState.Raft()) {
    group["term"] = raft->Term();
    group["commit_index"] = raft->CommitIndex();
    for (const GroupMember& member : raft->Config().m_members) {
      members.push_back({ { "host", member.m_host.Value() },
                          { "disk", member.m_disk.Value() },
                          { "votes", member.m_votes } });
    }
    json::array leases;
    for (const auto& [name, lease] : aState.Machine().Leases()) {
      leases.push_back({ { "name", name },
                         { "holder", lease.m_holder.Value() },
                         { "fencing", lease.m_fencing } });
    }
    group["leases"] = std::move(leases);
    group["orders_kept"] = aState.Machine().Orders().size();
  }
  group["members"] = std::move(members);
  return group;
}

std::string Gateway::StatusJson() const
{
  json::object status;
  status["host"] = m_options.m_host.Value();
  status["ready"] = !m_isShuttingDown && m_state.HasCurrentLists();
  status["hosts"] = DescribeHosts(m_membership);
  status["upstreams"] = DescribeUpstreams(m_loop.Now(), m_membership);
  status["group"] = DescribeGroup(m_state);
  const ListsState& plans = m_state.Plans();
  status["lists"] = { { "index", plans.m_index },
                      { "plans_version", plans.m_plans.m_version },
                      { "accounts_version", plans.m_accounts.m_version } };
  status["evacuated"] = json::parse(EvacuationsJson()).at("evacuated");
  json::array accounts;
  for (const auto& [id, use] : m_limits.Usage()) {
    accounts.push_back({ { "name", id.Value() },
                         { "running", use.m_running },
                         { "share", ShareOf(id) } });
  }
  status["accounts"] = std::move(accounts);
  json::array quarantined;
  for (const auto& [fingerprint, row] : m_membership.Poison()) {
    quarantined.push_back({ { "fingerprint", fingerprint },
                            { "deaths", row.m_deaths.size() },
                            { "cleared", row.m_cleared.size() } });
  }
  status["suspects"] = std::move(quarantined);
  status["open_requests"] = m_flows.size();
  return json::serialize(status);
}

void Gateway::HandleAdmin(const HttpRequest& aRequest, const Writer& aWriter)
{
  auto refuse = [&](ErrorKind aKind, const std::string& aMessage) {
    SendRefusal(*aWriter, RefusalBuilder(aKind, aMessage).Build(), "");
  };
  if (!EqualInConstantTime(BearerKey(aRequest), m_options.m_adminKey)) {
    refuse(ErrorKind::Unauthenticated, "unknown admin key");
    return;
  }
  std::string path =
    aRequest.m_target.substr(std::string_view("/admin/v1/").size());
  bool isList = path == "plans" || path == "accounts";
  if (isList && aRequest.m_method == "PUT") {
    HandlePutList(aRequest,
                  aWriter,
                  path == "plans" ? ListKind::Plans : ListKind::Accounts);
    return;
  }
  constexpr std::string_view kEvacuations = "evacuations/";
  if (path.starts_with(kEvacuations)) {
    HandleEvacuation(
      aRequest, aWriter, DataCentreId(path.substr(kEvacuations.size())));
    return;
  }
  if (aRequest.m_method != "GET") {
    refuse(ErrorKind::MethodNotAllowed, "use GET, or PUT for a list");
    return;
  }
  if (path == "evacuations") {
    SendJson(*aWriter, 200, EvacuationsJson());
    return;
  }
  if (isList) {
    const ListsState& plans = m_state.Plans();
    const ListVersion& list =
      path == "plans" ? plans.m_plans : plans.m_accounts;
    SendJson(*aWriter,
             200,
             list.m_version == 0 ? "{}" : list.m_json,
             { { "ETag", "\"" + std::to_string(list.m_version) + "\"" } });
    return;
  }
  if (path == "status") {
    SendJson(*aWriter, 200, StatusJson());
    return;
  }
  constexpr std::string_view kRequests = "requests/";
  if (path.starts_with(kRequests)) {
    json::array lines;
    for (const std::string& line :
         m_decisions.Explain(path.substr(kRequests.size()))) {
      lines.emplace_back(line);
    }
    SendJson(
      *aWriter, 200, json::serialize(json::object{ { "decisions", lines } }));
    return;
  }
  refuse(ErrorKind::NotFound, "no such path");
}

/// Parses the version of an `If-Match` header, with or without quotes.
static std::optional<uint64_t> ParseVersion(std::string_view aText)
{
  if (aText.size() >= 2 && aText.front() == '"' && aText.back() == '"') {
    aText = aText.substr(1, aText.size() - 2);
  }
  uint64_t version = 0;
  const char* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || aText.empty()) {
    return std::nullopt;
  }
  return version;
}

static void RespondToPutList(ResponseWriter& aWriter,
                             const CommandResult& aResult)
{
  auto refuse = [&](ErrorKind aKind, const std::string& aMessage) {
    SendRefusal(aWriter, RefusalBuilder(aKind, aMessage).Build(), "");
  };
  switch (aResult.m_status) {
    case CommandStatus::Accepted:
      SendJson(
        aWriter,
        200,
        json::serialize(json::object{ { "version", aResult.m_version } }),
        { { "ETag", "\"" + std::to_string(aResult.m_version) + "\"" } });
      return;
    case CommandStatus::VersionConflict:
      refuse(ErrorKind::VersionConflict, aResult.m_message);
      return;
    case CommandStatus::InvalidList:
      refuse(ErrorKind::InvalidList, aResult.m_message);
      return;
    default:
      refuse(ErrorKind::OutcomeUnknown,
             "no majority of voters responded in time; send the change again "
             "with the same Idempotency-Key to get its outcome");
  }
}

void Gateway::HandlePutList(const HttpRequest& aRequest,
                            const Writer& aWriter,
                            ListKind aKind)
{
  auto refuse = [&](ErrorKind aErrorKind, const std::string& aMessage) {
    SendRefusal(*aWriter, RefusalBuilder(aErrorKind, aMessage).Build(), "");
  };
  auto version = ParseVersion(aRequest.Header("If-Match"));
  if (!version) {
    refuse(ErrorKind::MissingVersion,
           "If-Match: expected the version that the change is based on");
    return;
  }
  std::string changeId(aRequest.Header("Idempotency-Key"));
  if (changeId.empty()) {
    refuse(ErrorKind::MissingIdempotencyKey,
           "Idempotency-Key: expected an id of the change");
    return;
  }
  auto document = aKind == ListKind::Plans
                    ? ParsePlanList("list", aRequest.m_body).status()
                    : ParseAccountList("list", aRequest.m_body).status();
  if (!document.ok()) {
    refuse(ErrorKind::InvalidList, std::string(document.message()));
    return;
  }
  PutList command;
  command.m_list = aKind;
  command.m_changeId = changeId;
  command.m_expectedVersion = *version;
  command.m_json = aRequest.m_body;
  m_state.Propose(
    m_loop.Now(), command, [aWriter](const CommandResult& aResult) {
      RespondToPutList(*aWriter, aResult);
    });
}

} // namespace persimmontally
