#include "persimmontally/Forwarding/ControlPlane.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/State/EvacuationOrder.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

/// Maximum time that a read waits for this host to catch up with the group,
/// and the interval at which it checks. Operators' clients try another host
/// after one second.
static constexpr Duration kCatchUpWait = milliseconds(800);
static constexpr Duration kCatchUpPollInterval = milliseconds(20);
/// Tokens per block of KV memory in upstream rows.
static constexpr uint32_t kTokensPerBlock = 16;

ControlPlane::ControlPlane(EventLoop& aLoop,
                           Membership& aMembership,
                           StateService& aState,
                           Metrics& aMetrics,
                           const WireProtocol& aProtocol,
                           std::map<DataCentreId, RegionId> aRegions)
  : m_loop(aLoop)
  , m_membership(aMembership)
  , m_state(aState)
  , m_metrics(aMetrics)
  , m_protocol(aProtocol)
  , m_regions(std::move(aRegions))
  , m_gate(aLoop, aMetrics)
{
}

std::set<RegionId> RegionsWithoutDataCentre(
  const RouteTable& aRoutes,
  const std::map<DataCentreId, RegionId>& aRegions)
{
  std::set<RegionId> regions = aRoutes.AllowedRegions();
  for (const auto& [dataCentre, region] : aRegions) {
    regions.erase(region);
  }
  return regions;
}

void ControlPlane::Handle(const HttpRequest& aRequest, const Writer& aWriter)
{
  ControlRequest request = m_protocol.DecodeControl(aRequest);
  std::visit([&](const auto& aBody) { Answer(aWriter, aBody); }, request);
}

void ControlPlane::Refuse(ResponseWriter& aWriter,
                          ErrorKind aKind,
                          std::string aMessage)
{
  Refusal refusal = RefusalBuilder(aKind, std::move(aMessage)).Build();
  WriteLog(
    LogLevel::Info,
    "control_refuse",
    { { "kind", LookUpError(aKind).m_name }, { "reason", refusal.m_message } });
  aWriter.SendResponse(m_protocol.EncodeRefusal(refusal, ""));
}

void ControlPlane::Answer(const Writer& aWriter,
                          const InvalidControlRequest& aRequest)
{
  m_metrics.Add("control_requests_total{result=\"invalid\"}");
  Refuse(*aWriter, aRequest.m_kind, aRequest.m_message);
}

// Announcement and withdrawal of upstreams.

void FillUpstreamRow(const RouteTable* aRoutes,
                     const std::map<DataCentreId, RegionId>& aRegions,
                     UpstreamRow& aRow)
{
  auto region = aRegions.find(aRow.m_dataCentre);
  if (region != aRegions.end()) {
    aRow.m_region = region->second;
  }
  const ServiceSpec* service =
    aRoutes != nullptr ? aRoutes->FindService(aRow.m_service) : nullptr;
  if (service == nullptr || !service->m_engine) {
    aRow.m_kind = UpstreamKind::Service;
    return;
  }
  aRow.m_kind = UpstreamKind::Engine;
  aRow.m_models = { ModelId(aRow.m_service) };
  aRow.m_blockTokens = kTokensPerBlock;
  aRow.m_kvBlocks = service->m_engine->m_kvMemoryTokens / kTokensPerBlock;
}

static bool HasColdTerms(const RouteTable* aRoutes, const std::string& aService)
{
  const ServiceSpec* service =
    aRoutes == nullptr ? nullptr : aRoutes->FindService(aService);
  return service != nullptr && service->m_terms.m_coldRequestsPerSecond > 0;
}

/// Logs the regions in the terms of the catalog that no data centre is in.
void ControlPlane::LogUnknownRegions() const
{
  if (!m_routes || m_regions.empty()) {
    return;
  }
  for (const RegionId& region :
       RegionsWithoutDataCentre(*m_routes, m_regions)) {
    WriteLog(
      LogLevel::Warning,
      "unknown_region",
      { { "region", region.Value() }, { "catalog", m_routes->Version() } });
  }
}

void ControlPlane::SetRoutes(RouteTablePtr aRoutes)
{
  RouteTablePtr before = std::exchange(m_routes, std::move(aRoutes));
  LogUnknownRegions();
  // Words are sent only for services whose upstreams can be cold.
  for (const auto& [id, entry] : m_membership.Upstreams().Rows()) {
    const std::string& service = entry.m_row.m_service;
    auto word = m_coldWords.Find(m_loop.Now(), id);
    if (word && HasColdTerms(m_routes.get(), service) &&
        !HasColdTerms(before.get(), service)) {
      m_changedColdWords.push_back(*word);
    }
  }
}

void ControlPlane::RecordAnnouncedCold(const AnnounceUpstream& aRequest)
{
  if (!aRequest.m_coldLeft) {
    return;
  }
  const UpstreamRow& row = aRequest.m_row;
  auto leftMs = static_cast<uint64_t>(
    std::chrono::ceil<milliseconds>(*aRequest.m_coldLeft).count());
  ColdWord word{ row.m_id, row.m_incarnation, row.m_sequence, leftMs };
  if (m_coldWords.Record(m_loop.Now(), word) != ColdWords::Result::Changed) {
    return;
  }
  m_coldWords.Retain([this](const UpstreamId& aId) {
    return m_membership.Upstreams().Find(aId) != nullptr;
  });
  if (HasColdTerms(m_routes.get(), row.m_service)) {
    m_changedColdWords.push_back(word);
  }
}

void ControlPlane::Answer(const Writer& aWriter,
                          const AnnounceUpstream& aRequest)
{
  UpstreamRow row = aRequest.m_row;
  FillUpstreamRow(m_routes.get(), m_regions, row);
  UpstreamMergeResult merge = m_membership.Announce(m_loop.Now(), row);
  if (merge == UpstreamMergeResult::Changed) {
    WriteLog(
      LogLevel::Info,
      "upstream_changed",
      { { "upstream", row.m_id.Value() },
        { "service", row.m_service },
        { "address", ToString(row.m_endpoint) },
        { "incarnation", row.m_incarnation },
        { "sequence", row.m_sequence },
        { "state",
          row.m_state == UpstreamState::Serving ? "serving" : "leaving" } });
  }
  RecordAnnouncedCold(aRequest);
  m_metrics.Add("announcements_total");
  aWriter->SendResponse(m_protocol.EncodeAcknowledgement());
}

/// A withdrawal names no incarnation: read late, it would end one that has
/// started since.
void ControlPlane::Answer(const Writer& aWriter,
                          const WithdrawUpstream& aRequest)
{
  m_gate.Hold(
    aWriter,
    [this, aWriter, aRequest] { Withdraw(aWriter, aRequest); },
    [this, aWriter] {
      Refuse(*aWriter, ErrorKind::NoQuorum, "the withdrawal was read late");
    });
}

void ControlPlane::Withdraw(const Writer& aWriter,
                            const WithdrawUpstream& aRequest)
{
  if (!m_membership.Withdraw(m_loop.Now(), aRequest.m_upstream)) {
    Refuse(*aWriter, ErrorKind::NoUpstream, "unknown upstream");
    return;
  }
  WriteLog(LogLevel::Info,
           "upstream_withdrawn",
           { { "upstream", aRequest.m_upstream.Value() } });
  aWriter->SendResponse(m_protocol.EncodeAcknowledgement());
}

// Storing and reading of the catalog.

void ControlPlane::Answer(const Writer& aWriter, const StoreCatalog& aRequest)
{
  m_state.Propose(m_loop.Now(),
                  PutCatalog{ aRequest.m_version, aRequest.m_document },
                  [this, aWriter, version = aRequest.m_version](
                    const CommandResult& aResult) {
                    bool accepted = aResult.m_status == CommandStatus::Accepted;
                    WriteLog(
                      LogLevel::Info,
                      "catalog_stored",
                      { { "version", version },
                        { "in_force", aResult.m_version },
                        { "result", accepted ? "accepted" : "undecided" } });
                    if (accepted) {
                      aWriter->SendResponse(m_protocol.EncodeAcknowledgement());
                    } else {
                      Refuse(*aWriter,
                             ErrorKind::NoQuorum,
                             "no majority of voters responded in time");
                    }
                  });
}

void ControlPlane::Answer(const Writer& aWriter, const FetchCatalog&)
{
  m_state.Propose(
    m_loop.Now(), ReadCatalog(), [this, aWriter](const CommandResult& aResult) {
      if (aResult.m_status != CommandStatus::Accepted) {
        Refuse(*aWriter,
               ErrorKind::NoQuorum,
               "no majority of voters responded in time");
        return;
      }
      if (aResult.m_version == 0) {
        Refuse(*aWriter, ErrorKind::NoQuorum, "no catalog is stored yet");
        return;
      }
      SendCatalog(aWriter, aResult.m_version, m_loop.Now() + kCatchUpWait);
    });
}

// Evacuation of data centres.

void ControlPlane::Answer(const Writer& aWriter,
                          const OrderEvacuation& aRequest)
{
  // Operators' clients try other hosts after this status: their settings may
  // already have the data centre.
  if (!m_regions.contains(aRequest.m_dataCentre)) {
    Refuse(*aWriter,
           ErrorKind::NotFound,
           "data centre '" + aRequest.m_dataCentre.Value() +
             "' is not in the settings");
    return;
  }
  m_gate.Hold(
    aWriter,
    [this, aWriter, aRequest] { Propose(aWriter, aRequest); },
    [this, aWriter] {
      Refuse(*aWriter, ErrorKind::NoQuorum, "the order was read late");
    });
}

void ControlPlane::Propose(const Writer& aWriter,
                           const OrderEvacuation& aRequest)
{
  ProposeEvacuation(
    m_state,
    [this] { return m_loop.Now(); },
    [aWriter] { return aWriter->IsCallerWaiting(); },
    aRequest.m_dataCentre,
    aRequest.m_isEvacuated,
    [this, aWriter, order = aRequest](const CommandResult& aResult) {
      bool accepted = aResult.m_status == CommandStatus::Accepted;
      WriteLog(LogLevel::Info,
               order.m_isEvacuated ? "evacuation_ordered"
                                   : "evacuation_taken_back",
               { { "data_centre", order.m_dataCentre.Value() },
                 { "log_index", aResult.m_version },
                 { "result", accepted ? "accepted" : "undecided" } });
      if (accepted) {
        m_metrics.Add("evacuation_orders_total");
        aWriter->SendResponse(m_protocol.EncodeAcknowledgement());
      } else {
        Refuse(*aWriter,
               ErrorKind::NoQuorum,
               "no majority of voters responded in time");
      }
    });
}

/// Sends the catalog once this host has applied `aVersion` or a newer one.
/// Refuses the read if that has not happened by `aUntil`.
void ControlPlane::SendCatalog(const Writer& aWriter,
                               uint64_t aVersion,
                               Instant aUntil)
{
  const ListVersion& catalog = m_state.Plans().m_catalog;
  if (catalog.m_version >= aVersion) {
    aWriter->SendResponse(m_protocol.EncodeCatalog(catalog.m_json));
    return;
  }
  if (m_loop.Now() >= aUntil) {
    Refuse(*aWriter,
           ErrorKind::NoQuorum,
           "this host has not caught up with the group");
    return;
  }
  uint64_t wait = m_nextTimerId++;
  m_catchUpTimers[wait] = m_loop.RunAfter(
    kCatchUpPollInterval, [this, aWriter, aVersion, aUntil, wait] {
      Timer ended = std::move(m_catchUpTimers[wait]);
      m_catchUpTimers.erase(wait);
      SendCatalog(aWriter, aVersion, aUntil);
    });
}

} // namespace persimmontally
