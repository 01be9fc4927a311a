#include "persimmontally/Forwarding/ForwardGateway.h"

#include "AbandonedRuns.h"
#include "CrashWatch.h"
#include "ForwardFlow.h"
#include "MigrationPlan.h"
#include "PeerResidency.h"
#include "SilenceWatch.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>
#include <set>

namespace persimmontally {

/// Number of route priorities that are distinguished within one account
/// priority; lower ones are treated alike.
static constexpr int kRoutePriorities = 3;
/// Retry delay suggested to callers while this host has no catalog.
static constexpr Duration kRetryAfterNoCatalog = milliseconds(500);
/// Limits on the time and number of requests that wait for the first catalog.
/// It arrives about one second after a start, and callers of short requests
/// have a timeout of 2.5 s.
static constexpr Duration kMaxEarlyWait = milliseconds(1500);
static constexpr size_t kMaxEarlyRequests = 500;

ForwardGateway::ForwardGateway(EventLoop& aLoop,
                               Membership& aMembership,
                               Metrics& aMetrics,
                               const WireProtocol& aProtocol,
                               ForwardOptions aOptions,
                               uint64_t aSeed)
  : m_loop(aLoop)
  , m_membership(aMembership)
  , m_metrics(aMetrics)
  , m_protocol(aProtocol)
  , m_options(std::move(aOptions))
  , m_rateLimits(m_options.m_host, aSeed)
  , m_cold(m_loop.Now(),
           m_options.m_host,
           m_options.m_dispatch.m_dataCentre,
           aSeed + 1)
  , m_placement(m_options.m_dispatch, aSeed)
  , m_connections(aLoop)
  , m_random(aSeed)
  , m_migrationSchedule(std::make_unique<MigrationSchedule>())
  , m_crashWatch(
      std::make_unique<CrashWatch>(aLoop, aMembership, aMetrics, m_random()))
  , m_silence(std::make_unique<SilenceWatch>())
  , m_abandonedRuns(std::make_unique<AbandonedRuns>(*this))
  , m_idPrefix(m_options.m_host.Value() + "-" + std::to_string(aSeed % 100000))
{
  m_placement.Local().SetRateLimits(&m_rateLimits);
  m_placement.Local().SetColdPermits(&m_cold.Permits());
}

ForwardGateway::~ForwardGateway() = default;

RetryBudget& ForwardGateway::RetryBudgetOf(const std::string& aService)
{
  auto [at, isNew] = m_retryBudgets.try_emplace(
    aService, m_random(), RetryBudget::kMinSavedRetries);
  if (isNew) {
    at->second.SetHosts(m_entryHosts);
  }
  return at->second;
}

void ForwardGateway::SetEntryHosts(size_t aCount)
{
  m_entryHosts = aCount;
  for (auto& [service, budget] : m_retryBudgets) {
    budget.SetHosts(aCount);
  }
}

// Arrival, routing and refusal of requests, and release of their flows.

void ForwardGateway::Handle(HttpRequest aHttp,
                            std::shared_ptr<ResponseWriter> aWriter)
{
  RoutedRequest request = m_protocol.DecodeRequest(std::move(aHttp));
  if (m_routes) {
    Route(std::move(request), std::move(aWriter));
    return;
  }
  m_earlyRequests.push_back(
    { std::move(request), std::move(aWriter), m_loop.Now() });
  if (m_earlyRequests.size() > kMaxEarlyRequests) {
    RefuseEarlyRequests();
  }
}

// Hosts that start together after a power loss have a catalog about one second
// later. Requests that arrive before are held until then: a refusal would send
// their callers to peers that have no catalog either.
void ForwardGateway::SetRoutes(RouteTablePtr aRoutes)
{
  m_routes = std::move(aRoutes);
  ApplyEvacuations();
  if (m_routes) {
    m_placement.SetResidencyOf(
      [homes = PeerResidency(*m_routes)](const LedgerRow& aRow) {
        return homes.Of(aRow);
      });
    for (const auto& flow : OpenFlows()) {
      flow->OnCatalogChange();
    }
  }
  for (EarlyRequest& early : std::exchange(m_earlyRequests, {})) {
    if (early.m_request.m_callerTimeout) {
      *early.m_request.m_callerTimeout -= m_loop.Now() - early.m_arrivedAt;
    }
    Route(std::move(early.m_request), std::move(early.m_writer));
  }
}

void ForwardGateway::ApplyEvacuations()
{
  Dispatcher& dispatcher = m_placement.Local();
  if (!m_routes || dispatcher.Eligible().Evacuated() == m_routes->Evacuated()) {
    return;
  }
  dispatcher.SetEvacuated(m_routes->Evacuated());
  for (const auto& flow : OpenFlows()) {
    flow->OnEvacuationsChange();
  }
  SchedulePlacement();
}

bool ForwardGateway::IsEvacuated(const UpstreamId& aUpstream) const
{
  const UpstreamEntry* entry = m_membership.Upstreams().Find(aUpstream);
  return entry != nullptr &&
         m_placement.Local().Eligible().Evacuated().contains(
           entry->m_row.m_dataCentre);
}

/// Refuses requests that have waited too long for the first catalog, and the
/// oldest ones above the limit on their number.
void ForwardGateway::RefuseEarlyRequests()
{
  Instant now = m_loop.Now();
  auto isLate = [&](const EarlyRequest& aEarly) {
    return aEarly.m_arrivedAt + kMaxEarlyWait <= now || !m_acceptsRequests ||
           m_earlyRequests.size() > kMaxEarlyRequests;
  };
  while (!m_earlyRequests.empty() && isLate(m_earlyRequests.front())) {
    EarlyRequest early = std::move(m_earlyRequests.front());
    m_earlyRequests.erase(m_earlyRequests.begin());
    Refuse(*early.m_writer,
           RefusalBuilder(ErrorKind::NoQuorum, "this host has no catalog yet")
             .WithRetryAfter(kRetryAfterNoCatalog)
             .Build(),
           early.m_request.m_id);
  }
}

std::variant<ForwardTarget, Refusal> ForwardGateway::Resolve(
  const RoutedRequest& aRequest,
  const std::string& aService)
{
  ForwardTarget target;
  target.m_routes = m_routes;
  target.m_route = m_routes->FindRoute(aRequest.m_hostName, aRequest.m_path);
  if (target.m_route == nullptr) {
    return RefusalBuilder(ErrorKind::NotFound, "no route").Build();
  }
  std::vector<RegionId> accountRegions;
  int accountPriority = 0;
  if (m_routes->UsesKeys() && !target.m_route->m_isPublic) {
    const ClientAccount* account = m_routes->FindAccount(aRequest.m_key);
    if (account == nullptr) {
      return RefusalBuilder(ErrorKind::Unauthenticated, "unknown key").Build();
    }
    target.m_account = account->m_id;
    accountPriority = account->m_priority.value_or(0);
    accountRegions = account->m_terms.m_allowedRegions;
  }
  target.m_residency =
    Residency(target.m_route->m_terms.m_allowedRegions, accountRegions);
  target.m_urgency = accountPriority * kRoutePriorities +
                     std::min(target.m_route->m_priority, kRoutePriorities - 1);
  // Only the priority of the route decides the rank of the request in this
  // host's backlog. The priority of the account is sent to the engines, which
  // order their requests by it.
  target.m_rank = RankOf(*target.m_route);
  const std::vector<RouteTarget>& targets = target.m_route->m_targets;
  bool keepsService =
    std::any_of(targets.begin(), targets.end(), [&](const auto& aTarget) {
      return aTarget.m_service == aService && aTarget.m_weight > 0;
    });
  std::uniform_real_distribution<double> draw(0, 1);
  target.m_service = m_routes->FindService(
    keepsService ? aService
                 : RouteTable::PickService(*target.m_route, draw(m_random)));
  return target;
}

void ForwardGateway::Route(RoutedRequest aRequest, Writer aWriter)
{
  RoutedRequest request = std::move(aRequest);
  auto refuse = [&](ErrorKind aKind, const char* aMessage, Duration aRetry) {
    Refuse(*aWriter,
           RefusalBuilder(aKind, aMessage).WithRetryAfter(aRetry).Build(),
           request.m_id);
  };
  auto resolved = Resolve(request, "");
  if (const auto* refusal = std::get_if<Refusal>(&resolved)) {
    Refuse(*aWriter, *refusal, request.m_id);
    return;
  }
  ForwardTarget target = std::get<ForwardTarget>(std::move(resolved));
  if (!m_acceptsRequests) {
    refuse(ErrorKind::ShuttingDown,
           "the host is shutting down",
           kRetryAfterShutdown);
    return;
  }
  RequestId id(m_idPrefix + "-" + std::to_string(m_nextId++));
  auto flow = std::make_shared<ForwardFlow>(
    *this, id, std::move(request), std::move(target), std::move(aWriter));
  m_flows.emplace(id, flow);
  flow->Start();
  if (m_endsBy) {
    flow->EndIfTooLong(*m_endsBy);
  }
}

void ForwardGateway::Refuse(ResponseWriter& aWriter,
                            const Refusal& aRefusal,
                            const std::string& aRequestId)
{
  std::string kind(LookUpError(aRefusal.m_kind).m_name);
  aWriter.SendResponse(m_protocol.EncodeRefusal(aRefusal, aRequestId));
  WriteLog(LogLevel::Info,
           "refuse",
           { { "request", aRequestId },
             { "kind", kind },
             { "ran", ToString(aRefusal.m_ran) },
             { "reason", aRefusal.m_message },
             { "retry_after_ms", ToMilliseconds(aRefusal.m_retryAfter) },
             { "catalog", m_routes ? m_routes->Version() : 0 } });
  m_metrics.Add("refusals_total{kind=\"" + kind + "\"}");
}

void ForwardGateway::ReleaseFlow(const RequestId& aId)
{
  auto at = m_flows.find(aId);
  if (at == m_flows.end()) {
    return;
  }
  // A member function of the flow may be on the stack, so the flow is destroyed
  // in the next event loop iteration.
  m_loop.Post([flow = at->second] {});
  m_flows.erase(at);
  SchedulePlacement();
}

void ForwardGateway::AddBufferedBytes(size_t aCount)
{
  m_bufferedBytes += aCount;
  if (m_bufferedBytes <= m_options.m_maxBufferedBytes) {
    return;
  }
  auto largest = std::max_element(
    m_flows.begin(), m_flows.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second->BufferedBytes() < aOther.second->BufferedBytes();
    });
  if (largest != m_flows.end()) {
    std::shared_ptr<ForwardFlow> flow = largest->second;
    flow->FailOversized();
  }
}

// Periodic work: placement, exchange of the ledger and due migrations.

void ForwardGateway::SchedulePlacement()
{
  if (std::exchange(m_isKicked, true)) {
    return;
  }
  m_loop.Post([this] {
    m_isKicked = false;
    RunPlacement();
  });
}

void ForwardGateway::ApplyActions(const std::vector<DispatchAction>& aActions)
{
  for (const DispatchAction& action : aActions) {
    const auto* grant = std::get_if<DispatchGrant>(&action);
    const Ticket& ticket = grant != nullptr
                             ? grant->m_ticket
                             : std::get<DispatchRefusal>(action).m_ticket;
    auto at = m_flows.find(ticket.m_id);
    if (at == m_flows.end()) {
      m_placement.Complete(
        m_loop.Now(), ticket.m_id, DispatchOutcome::Cancelled);
      continue;
    }
    std::shared_ptr<ForwardFlow> flow = at->second;
    if (grant != nullptr) {
      flow->OnGrant(*grant);
    } else {
      const auto& refused = std::get<DispatchRefusal>(action);
      if (refused.m_noHome) {
        RecordNoHome(*flow, *refused.m_noHome);
      }
      flow->OnRefused(refused.m_refusal);
    }
  }
}

void ForwardGateway::RecordNoHome(const ForwardFlow& aFlow, NoHome aReason)
{
  std::string reason(ToString(aReason));
  std::string regions;
  for (const RegionId& region : aFlow.HomeRegions().Regions()) {
    regions.append(regions.empty() ? "" : ",").append(region.Value());
  }
  WriteLog(LogLevel::Warning,
           "no_home",
           { { "request", aFlow.CallerRequestId() },
             { "service", aFlow.Service().m_name },
             { "regions", regions },
             { "reason", reason } });
  m_metrics.Add("residency_refusals_total{reason=\"" + reason + "\"}");
}

void ForwardGateway::RunPlacement()
{
  m_rateLimits.Tick(m_loop.Now());
  UpdateCold();
  ApplyActions(m_placement.Tick(m_loop.Now(), m_membership.Upstreams()));
  SendLedger();
  SendRateLimits();
  SendPaces();
  SendCold();
  NotifyIfBusy();
}

void ForwardGateway::NotifyIfBusy()
{
  bool wasBusy = std::exchange(m_wasBusy, IsBusy());
  if (m_wasBusy && !wasBusy && m_onBusy) {
    m_onBusy();
  }
}

bool ForwardGateway::IsBusy() const
{
  return !m_earlyRequests.empty() || m_placement.HasQueued() ||
         m_placement.HasPendingChange() || m_hasFlowsOnLeavingUpstreams ||
         m_rateLimits.IsBusy() || m_cold.IsBusy();
}

void ForwardGateway::SendLedger()
{
  auto change = m_placement.TakeChange(m_loop.Now());
  if (change && m_onLedger) {
    m_onLedger(*change);
  }
}

// Paces of engines.

void ForwardGateway::SendPaces()
{
  PaceTable& paces = m_placement.Local().Paces();
  if (!paces.HasReports()) {
    return;
  }
  PaceUpdate update = paces.TakeReports();
  for (const PaceRow& row : update.m_rows) {
    WriteLog(LogLevel::Info,
             "pace",
             { { "upstream", row.m_upstream.Value() },
               { "event_us", row.m_microsecondsPerEvent },
               { "factor", paces.PauseFactor() } });
  }
  m_metrics.SetGauge("pause_factor", paces.PauseFactor());
  if (m_onPaces) {
    m_onPaces(update);
  }
}

void ForwardGateway::ReceivePaces(const PaceUpdate& aUpdate)
{
  m_placement.Local().Paces().Receive(aUpdate);
}

// Rate limits of upstreams.

void ForwardGateway::SendRateLimits()
{
  for (const RateLimitSend& send : m_rateLimits.TakeSends()) {
    if (m_onRateLimits) {
      m_onRateLimits(send);
    }
  }
}

void ForwardGateway::SetRateLimitHosts(std::set<HostId> aReachable,
                                       size_t aKnown)
{
  auto isKnown = [&](const UpstreamId& aId) {
    return m_membership.Upstreams().Find(aId) != nullptr;
  };
  m_rateLimits.Retain(isKnown);
  m_placement.Local().Paces().Retain(isKnown);
  m_rateLimits.SetHosts(m_loop.Now(), std::move(aReachable), aKnown);
  SendRateLimits();
}

void ForwardGateway::ReceiveRateLimits(const HostId& aFrom,
                                       const RateLimitUpdate& aUpdate)
{
  m_rateLimits.Receive(m_loop.Now(), aFrom, aUpdate);
  SendRateLimits();
  if (m_placement.HasQueued()) {
    SchedulePlacement();
  }
  NotifyIfBusy();
}

void ForwardGateway::RecordRateLimit(const UpstreamId& aUpstream,
                                     uint64_t aIncarnation,
                                     const ResponseHead& aHead)
{
  if (aHead.m_rateLimit) {
    m_metrics.Add("responses_with_rate_limit_total");
  }
  if (aHead.m_hasUnreadableLimit) {
    m_metrics.Add("unreadable_rate_limits_total");
    return;
  }
  if (!aHead.m_rateLimit && !aHead.m_isGenuine) {
    return;
  }
  bool wasLimited = m_rateLimits.IsLimited(aUpstream, aIncarnation);
  m_rateLimits.RecordResponse(
    m_loop.Now(), aUpstream, aIncarnation, aHead.m_rateLimit);
  if (wasLimited != aHead.m_rateLimit.has_value()) {
    WriteLog(LogLevel::Info,
             "rate_limit_changed",
             { { "upstream", aUpstream.Value() },
               { "per_second", aHead.m_rateLimit.value_or(-1) } });
  }
  SendRateLimits();
}

void ForwardGateway::HoldBack(const UpstreamId& aUpstream,
                              uint64_t aIncarnation,
                              Duration aTime)
{
  WriteLog(
    LogLevel::Info,
    "held_back",
    { { "upstream", aUpstream.Value() }, { "for_ms", ToMilliseconds(aTime) } });
  m_metrics.Add("upstreams_held_back_total");
  m_rateLimits.HoldBack(m_loop.Now(), aUpstream, aIncarnation, aTime);
}

Duration ForwardGateway::RetryDelayAfter(Duration aTime, Duration aLeast)
{
  return aTime > aLeast ? m_rateLimits.SpreadRetryDelay(aTime) : aLeast;
}

void ForwardGateway::RecordLeaving(const UpstreamId& aUpstream,
                                   uint64_t aIncarnation)
{
  const UpstreamEntry* entry = m_membership.Upstreams().Find(aUpstream);
  if (entry == nullptr || entry->m_row.m_incarnation != aIncarnation ||
      entry->m_row.m_state != UpstreamState::Serving) {
    return;
  }
  WriteLog(
    LogLevel::Info, "upstream_leaving", { { "upstream", aUpstream.Value() } });
  m_metrics.Add("upstreams_leaving_by_response_total");
  UpstreamRow row = entry->m_row;
  row.m_state = UpstreamState::Leaving;
  m_membership.Announce(m_loop.Now(), row);
  if (m_onMembershipSends) {
    m_onMembershipSends();
  }
}

void ForwardGateway::OnMembershipSends(std::function<void()> aAction)
{
  m_onMembershipSends = aAction;
  m_crashWatch->OnReport(std::move(aAction));
}

void ForwardGateway::EndQuarantinedRequests()
{
  uint64_t version = m_membership.PoisonVersion();
  if (std::exchange(m_checkedPoison, version) == version) {
    return;
  }
  m_crashWatch->VouchForSoundParts(m_entryHosts);
  for (const auto& flow : OpenFlows()) {
    flow->EndIfQuarantined();
  }
}

std::vector<std::shared_ptr<ForwardFlow>> ForwardGateway::OpenFlows() const
{
  std::vector<std::shared_ptr<ForwardFlow>> flows;
  for (const auto& [id, flow] : m_flows) {
    flows.push_back(flow);
  }
  return flows;
}

void ForwardGateway::EndRequests()
{
  m_acceptsRequests = false;
  for (const auto& flow : OpenFlows()) {
    flow->EndForShutdown();
  }
  RefuseEarlyRequests();
}

void ForwardGateway::Tick()
{
  if (m_endsBy) {
    for (const auto& flow : OpenFlows()) {
      flow->EndIfTooLong(*m_endsBy);
    }
  }
  EndQuarantinedRequests();
  RunPlacement();
  StartDueMigrations();
  ReviewSilence();
  NotifyIfBusy();
  RefuseEarlyRequests();
  m_connections.Tick();
  m_metrics.SetGauge("open_requests", static_cast<double>(m_flows.size()));
}

void ForwardGateway::ReceiveLedger(const HostId& aFrom,
                                   const LedgerUpdate& aUpdate)
{
  m_placement.Receive(m_loop.Now(), aFrom, aUpdate);
  if (m_placement.HasQueued()) {
    SchedulePlacement();
  }
}

void ForwardGateway::ForgetHost(const HostId& aHost)
{
  m_placement.ForgetHost(m_loop.Now(), aHost);
}

/// Migrates the generations without a backup off upstreams that are being
/// reclaimed, one after another.
void ForwardGateway::StartDueMigrations()
{
  Instant now = m_loop.Now();
  const UpstreamTable& upstreams = m_membership.Upstreams();
  if (std::exchange(m_scheduledUpstreams, upstreams.Version()) !=
      upstreams.Version()) {
    std::set<UpstreamId> leavingUpstreams;
    for (const auto& [id, entry] : upstreams.Rows()) {
      if (entry.m_row.m_state != UpstreamState::Serving) {
        leavingUpstreams.insert(id);
      }
    }
    m_migrationSchedule->Update(now, leavingUpstreams);
  }
  std::vector<std::shared_ptr<ForwardFlow>> candidates;
  m_hasFlowsOnLeavingUpstreams = false;
  for (const auto& [id, flow] : m_flows) {
    if (!m_migrationSchedule->IsLeaving(flow->Upstream())) {
      continue;
    }
    flow->OnUpstreamLeaving();
    if (flow->HasBackup()) {
      continue;
    }
    m_hasFlowsOnLeavingUpstreams = true;
    if (flow->CanMigrate()) {
      candidates.push_back(flow);
    }
  }
  for (const auto& flow : candidates) {
    if (m_migrationSchedule->IsDue(now,
                                   flow->Upstream(),
                                   flow->LedgerId().Value(),
                                   m_placement.RowsOn(flow->Upstream()))) {
      flow->StartMigration();
    }
  }
}

} // namespace persimmontally
