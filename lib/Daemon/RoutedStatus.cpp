#include "RoutedStatus.h"

#include "HostCore.h"

#include "persimmontally/Forwarding/ForwardGateway.h"

#include <boost/json.hpp>

namespace persimmontally {

namespace json = boost::json;

static json::array HostsJson(const Membership& aMembership)
{
  static constexpr const char* kStateNames[] = {
    "alive", "suspect", "dead", "left"
  };
  json::array hosts;
  for (const auto& [id, row] : aMembership.Hosts()) {
    json::object host;
    host["host"] = id.Value();
    host["data_centre"] = row.m_dataCentre.Value();
    host["role"] = row.m_isEntry ? "entry" : "control";
    host["state"] = kStateNames[static_cast<int>(row.m_state)];
    host["incarnation"] = row.m_incarnation;
    host["log_index"] = row.m_listsIndex;
    hosts.push_back(std::move(host));
  }
  return hosts;
}

static json::array UpstreamsJson(Instant aNow,
                                 const UpstreamTable& aTable,
                                 const ForwardGateway* aGateway)
{
  static constexpr const char* kStateNames[] = { "serving", "leaving", "gone" };
  json::array upstreams;
  for (const auto& [id, entry] : aTable.Rows()) {
    json::object upstream;
    upstream["upstream"] = id.Value();
    upstream["service"] = entry.m_row.m_service;
    upstream["address"] = ToString(entry.m_row.m_endpoint);
    upstream["data_centre"] = entry.m_row.m_dataCentre.Value();
    upstream["state"] = kStateNames[static_cast<int>(entry.m_row.m_state)];
    upstream["takes_work"] = UpstreamTable::TakesWork(aNow, entry);
    upstream["age_ms"] = ToMilliseconds(aNow - entry.m_reportedAt);
    if (aGateway != nullptr) {
      upstream["running"] = aGateway->Placement().Local().RunningOn(id);
      auto limit = aGateway->Limits().LimitOf(id, entry.m_row.m_incarnation);
      if (limit) {
        upstream["rate_limit"] = *limit;
      }
    }
    upstreams.push_back(std::move(upstream));
  }
  return upstreams;
}

std::string RoutedStatusJson(HostCore& aCore,
                             const std::set<DataCentreId>& aEvacuated,
                             const ForwardGateway* aGateway)
{
  const StateService& state = aCore.State();
  json::object status;
  status["host"] = aCore.Config().m_host.Value();
  status["leader"] = state.LeaderHost().Value();
  status["group"] = state.Group();
  status["disk_ok"] = state.Failure().ok();
  status["catalog"] = aCore.Catalog().Version();
  status["log_index"] = aCore.Catalog().Index();
  json::array evacuated;
  for (const DataCentreId& dataCentre : aEvacuated) {
    evacuated.push_back(json::object{ { "data_centre", dataCentre.Value() } });
  }
  status["evacuated"] = std::move(evacuated);
  status["hosts"] = HostsJson(aCore.Members());
  status["upstreams"] =
    UpstreamsJson(aCore.Loop().Now(), aCore.Members().Upstreams(), aGateway);
  if (aGateway != nullptr) {
    const Dispatcher& dispatcher = aGateway->Placement().Local();
    status["open_requests"] = aGateway->OpenRequests();
    status["queued_urgent"] = dispatcher.Queued(Rank::Urgent);
    status["queued_routine"] = dispatcher.Queued(Rank::Routine);
  }
  return json::serialize(status);
}

} // namespace persimmontally
