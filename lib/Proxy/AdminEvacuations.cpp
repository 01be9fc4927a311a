// Evacuations of data centres by the operators of the product's own API.

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Proxy/Gateway.h"
#include "persimmontally/State/EvacuationOrder.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <boost/json.hpp>

#include <algorithm>

namespace persimmontally {

namespace json = boost::json;

std::string Gateway::EvacuationsJson() const
{
  json::array evacuated;
  for (const EvacuationRow& row : m_state.Plans().m_evacuations) {
    if (row.m_isEvacuated) {
      evacuated.push_back(
        json::object{ { "data_centre", row.m_dataCentre.Value() },
                      { "log_index", row.m_index } });
    }
  }
  return json::serialize(json::object{ { "evacuated", std::move(evacuated) } });
}

bool Gateway::KnowsDataCentre(const DataCentreId& aDataCentre) const
{
  if (!m_options.m_regions.empty()) {
    return m_options.m_regions.contains(aDataCentre);
  }
  const auto& hosts = m_membership.Hosts();
  const auto& upstreams = m_membership.Upstreams().Rows();
  return std::any_of(hosts.begin(),
                     hosts.end(),
                     [&](const auto& aItem) {
                       return aItem.second.m_dataCentre == aDataCentre;
                     }) ||
         std::any_of(
           upstreams.begin(), upstreams.end(), [&](const auto& aItem) {
             return aItem.second.m_row.m_dataCentre == aDataCentre;
           });
}

static void RefuseOrder(ResponseWriter& aWriter,
                        ErrorKind aKind,
                        const char* aMessage)
{
  SendRefusal(aWriter, RefusalBuilder(aKind, aMessage).Build(), "");
}

void Gateway::HandleEvacuation(const HttpRequest& aRequest,
                               const Writer& aWriter,
                               const DataCentreId& aDataCentre)
{
  bool isEvacuated = aRequest.m_method == "PUT";
  if (!isEvacuated && aRequest.m_method != "DELETE") {
    RefuseOrder(*aWriter, ErrorKind::MethodNotAllowed, "use PUT or DELETE");
    return;
  }
  if (!KnowsDataCentre(aDataCentre)) {
    RefuseOrder(*aWriter, ErrorKind::NotFound, "unknown data centre");
    return;
  }
  m_orderGate.Hold(
    aWriter,
    [this, aWriter, aDataCentre, isEvacuated] {
      ProposeEvacuationOf(aDataCentre, isEvacuated, aWriter);
    },
    [aWriter] {
      RefuseOrder(*aWriter,
                  ErrorKind::NoQuorum,
                  "the order was read late; send it again");
    });
}

void Gateway::ProposeEvacuationOf(const DataCentreId& aDataCentre,
                                  bool aIsEvacuated,
                                  const Writer& aWriter)
{
  ProposeEvacuation(
    m_state,
    [this] { return m_loop.Now(); },
    [aWriter] { return aWriter->IsCallerWaiting(); },
    aDataCentre,
    aIsEvacuated,
    [aWriter, aIsEvacuated, aDataCentre](const CommandResult& aResult) {
      bool isAccepted = aResult.m_status == CommandStatus::Accepted;
      WriteLog(LogLevel::Info,
               aIsEvacuated ? "evacuation_ordered" : "evacuation_taken_back",
               { { "data_centre", aDataCentre.Value() },
                 { "log_index", aResult.m_version },
                 { "result", isAccepted ? "accepted" : "undecided" } });
      if (isAccepted) {
        SendJson(
          *aWriter,
          200,
          json::serialize(json::object{ { "log_index", aResult.m_version } }));
        return;
      }
      RefuseOrder(
        *aWriter,
        ErrorKind::NoQuorum,
        "no majority of voters responded in time; send the order again");
    });
}

/// Puts the evacuations of the replicated state in force at this host.
void Gateway::UpdateEvacuations()
{
  std::set<DataCentreId> evacuated =
    EvacuatedDataCentres(m_state.Plans().m_evacuations);
  if (m_placement.Local().Eligible().Evacuated() == evacuated) {
    return;
  }
  m_metrics.SetGauge("evacuated_data_centres",
                     static_cast<double>(evacuated.size()));
  std::string names;
  for (const DataCentreId& dataCentre : evacuated) {
    names += (names.empty() ? "" : ",") + dataCentre.Value();
  }
  WriteLog(
    LogLevel::Info,
    "evacuations_in_force",
    { { "data_centres", names }, { "log_index", m_state.Plans().m_index } });
  m_placement.Local().SetEvacuated(std::move(evacuated));
}

} // namespace persimmontally
