#include "persimmontally/Proxy/Gateway.h"

#include "CompletionFlow.h"
#include "ServiceFlow.h"
#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Routing/PoisonTable.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

/// Interval between requests for share to peers.
static constexpr Duration kShareRequestPeriod = milliseconds(500);
/// Peers asked for share of one account in one period.
static constexpr size_t kPeersAskedPerAccount = 3;
static constexpr Duration kDeathProbeTimeout = milliseconds(500);
static constexpr size_t kMaxRequestIdBytes = 128;
static constexpr size_t kMaxIdempotencyKeyBytes = 255;

void SendJson(ResponseWriter& aWriter,
              int aStatus,
              std::string aBody,
              HttpHeaders aHeaders)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_headers = std::move(aHeaders);
  response.m_headers.push_back({ "Content-Type", "application/json" });
  response.m_body = std::move(aBody);
  aWriter.SendResponse(std::move(response));
}

void SendRefusal(ResponseWriter& aWriter,
                 const Refusal& aRefusal,
                 const std::string& aRequestId)
{
  HttpHeaders headers = { { "X-Request-Id", aRequestId } };
  if (aRefusal.m_retryAfter.count() > 0) {
    auto whole =
      static_cast<int64_t>(std::ceil(ToSeconds(aRefusal.m_retryAfter)));
    headers.push_back({ "Retry-After", std::to_string(whole) });
  }
  SendJson(aWriter,
           LookUpError(aRefusal.m_kind).m_httpStatus,
           RefusalBody(aRefusal, aRequestId),
           std::move(headers));
}

std::string_view BearerKey(const HttpRequest& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view header = aRequest.Header("Authorization");
  return header.starts_with(kScheme) ? header.substr(kScheme.size())
                                     : std::string_view();
}

Gateway::Gateway(EventLoop& aLoop,
                 Membership& aMembership,
                 StateService& aState,
                 Metrics& aMetrics,
                 GatewayOptions aOptions,
                 uint64_t aSeed)
  : m_loop(aLoop)
  , m_membership(aMembership)
  , m_state(aState)
  , m_metrics(aMetrics)
  , m_options(std::move(aOptions))
  , m_placement(m_options.m_host, m_options.m_dispatch, aSeed)
  , m_orderGate(aLoop, aMetrics)
  , m_retries(aSeed + 1)
  , m_idPrefix(m_options.m_host.Value() + "-" + RandomHexId().substr(0, 8))
{
}

Gateway::~Gateway() = default;

RequestId Gateway::NewRequestId()
{
  return RequestId(m_idPrefix + "-" + std::to_string(m_nextId++));
}

/// Returns the caller's `X-Request-Id` if it is printable ASCII without spaces
/// and short enough, else the id given by this host.
static std::string CallerId(const HttpRequest& aRequest, const RequestId& aOwn)
{
  std::string_view id = aRequest.Header("X-Request-Id");
  bool usable = !id.empty() && id.size() <= kMaxRequestIdBytes &&
                std::all_of(id.begin(), id.end(), [](unsigned char aByte) {
                  return aByte > 0x20 && aByte < 0x7f;
                });
  return usable ? std::string(id) : aOwn.Value();
}

// Authentication of requests, and start, refusal and release of their flows.

void Gateway::Handle(HttpRequest aRequest, Writer aWriter)
{
  const std::string& target = aRequest.m_target;
  m_metrics.Add("http_requests_total");
  if (target == "/healthz") {
    SendJson(*aWriter, 200, R"({"status":"alive"})");
  } else if (target == "/readyz") {
    bool ready = !m_isShuttingDown && m_state.HasCurrentLists();
    SendJson(*aWriter,
             ready ? 200 : 503,
             ready ? R"({"status":"ready"})" : R"({"status":"not ready"})");
  } else if (target == "/metrics") {
    aWriter->SendResponse({ 200,
                            { { "Content-Type", "text/plain" } },
                            m_metrics.PrometheusText() });
  } else if (target == "/v1/completions" || target == "/v1/chat/completions") {
    HandleCompletion(aRequest, aWriter);
  } else if (target.starts_with("/services/")) {
    HandleService(aRequest, aWriter);
  } else if (target.starts_with("/upstream/v1/")) {
    HandleUpstream(aRequest, aWriter);
  } else if (target.starts_with("/admin/v1/")) {
    HandleAdmin(aRequest, aWriter);
  } else {
    SendRefusal(*aWriter,
                RefusalBuilder(ErrorKind::NotFound, "no such path").Build(),
                CallerId(aRequest, NewRequestId()));
  }
}

const Account* Gateway::Authenticate(const HttpRequest& aRequest) const
{
  std::string_view key = BearerKey(aRequest);
  return key.empty() ? nullptr : m_plans.FindByKey(key);
}

double Gateway::ShareOf(const AccountId& aAccount) const
{
  return m_shares.Share(m_loop.Now(), aAccount);
}

void Gateway::HandleCompletion(const HttpRequest& aRequest,
                               const Writer& aWriter)
{
  RequestId id = NewRequestId();
  std::string callerId = CallerId(aRequest, id);
  auto refuse = [&](const Refusal& aRefusal) {
    Refuse(*aWriter, aRefusal, callerId, id);
  };
  if (aRequest.m_method != "POST") {
    refuse(RefusalBuilder(ErrorKind::MethodNotAllowed, "use POST").Build());
    return;
  }
  if (!m_acceptsRequests) {
    refuse(RefusalBuilder(ErrorKind::ShuttingDown, "the host is shutting down")
             .Build());
    return;
  }
  const Account* account = Authenticate(aRequest);
  const Plan* plan = account ? m_plans.PlanOf(account->m_id) : nullptr;
  if (plan == nullptr) {
    refuse(RefusalBuilder(ErrorKind::Unauthenticated, "unknown key").Build());
    return;
  }
  auto parsed = ParseCompletion(aRequest, account->m_id, *plan);
  if (const Refusal* refusal = std::get_if<Refusal>(&parsed)) {
    refuse(*refusal);
    return;
  }
  auto& request = std::get<CompletionRequest>(parsed);
  auto refusal = m_limits.Admit(m_loop.Now(),
                                account->m_id,
                                *plan,
                                ShareOf(account->m_id),
                                request.m_promptTokens);
  if (refusal) {
    refuse(*refusal);
    return;
  }
  auto flow = std::make_shared<CompletionFlow>(*this,
                                               id,
                                               callerId,
                                               account->m_id,
                                               plan->m_weight,
                                               std::move(request),
                                               aWriter);
  m_flows.emplace(id, flow);
  flow->Start();
}

/// Returns the name of the service in `/services/NAME/PATH`.
static std::string ServiceName(const std::string& aTarget)
{
  constexpr size_t kPrefix = std::string_view("/services/").size();
  size_t end = aTarget.find_first_of("/?", kPrefix);
  return aTarget.substr(kPrefix, end - kPrefix);
}

void Gateway::HandleService(const HttpRequest& aRequest, const Writer& aWriter)
{
  RequestId id = NewRequestId();
  std::string callerId = CallerId(aRequest, id);
  auto refuse = [&](ErrorKind aKind, const std::string& aMessage) {
    Refuse(*aWriter, RefusalBuilder(aKind, aMessage).Build(), callerId, id);
  };
  if (!m_acceptsRequests) {
    refuse(ErrorKind::ShuttingDown, "the host is shutting down");
    return;
  }
  const Account* account = Authenticate(aRequest);
  const Plan* plan = account ? m_plans.PlanOf(account->m_id) : nullptr;
  if (plan == nullptr) {
    refuse(ErrorKind::Unauthenticated, "unknown key");
    return;
  }
  ServiceCall call;
  call.m_service = ServiceName(aRequest.m_target);
  auto rule = m_plans.Plans().m_services.find(call.m_service);
  if (rule == m_plans.Plans().m_services.end() ||
      !plan->m_services.contains(call.m_service)) {
    refuse(ErrorKind::UnknownService,
           "the plan has no service '" + call.m_service + "'");
    return;
  }
  auto rank = ParseRank(aRequest, *plan);
  if (const Refusal* refusal = std::get_if<Refusal>(&rank)) {
    refuse(refusal->m_kind, refusal->m_message);
    return;
  }
  call.m_rank = std::get<Rank>(rank);
  std::string_view repeatable = aRequest.Header("X-Repeatable");
  if (!repeatable.empty() && repeatable != "true" && repeatable != "false") {
    refuse(ErrorKind::InvalidParameter,
           "X-Repeatable: expected 'true' or 'false'");
    return;
  }
  call.m_isRepeatable = rule->second.m_repeatable && repeatable != "false";
  call.m_idempotencyKey = std::string(aRequest.Header("Idempotency-Key"));
  if (!call.m_isRepeatable && call.m_idempotencyKey.empty()) {
    refuse(ErrorKind::MissingIdempotencyKey,
           "a non-repeatable call needs an Idempotency-Key");
    return;
  }
  if (call.m_idempotencyKey.size() > kMaxIdempotencyKeyBytes) {
    refuse(ErrorKind::InvalidParameter,
           "Idempotency-Key: longer than 255 characters");
    return;
  }
  if (!call.m_isRepeatable) {
    call.m_orderKey = account->m_id.Value() + "/" + call.m_service + "/" +
                      call.m_idempotencyKey;
  }
  auto limited = m_limits.Admit(
    m_loop.Now(), account->m_id, *plan, ShareOf(account->m_id), 0);
  if (limited) {
    Refuse(*aWriter, *limited, callerId, id);
    return;
  }
  call.m_request = aRequest;
  auto flow = std::make_shared<ServiceFlow>(*this,
                                            id,
                                            callerId,
                                            account->m_id,
                                            plan->m_weight,
                                            std::move(call),
                                            aWriter);
  m_flows.emplace(id, flow);
  flow->Start();
}

void Gateway::Refuse(ResponseWriter& aWriter,
                     const Refusal& aRefusal,
                     const std::string& aCallerId,
                     const RequestId& aId)
{
  std::string kind(LookUpError(aRefusal.m_kind).m_name);
  SendRefusal(aWriter, aRefusal, aCallerId);
  m_decisions.Write(aCallerId,
                    "refuse",
                    { { "id", aId.Value() },
                      { "kind", kind },
                      { "ran", std::string(ToString(aRefusal.m_ran)) },
                      { "reason", aRefusal.m_message } });
  m_metrics.Add("refusals_total{kind=\"" + kind + "\"}");
}

void Gateway::ReleaseFlow(const RequestId& aId,
                          const AccountId& aAccount,
                          DispatchOutcome aOutcome)
{
  Instant now = m_loop.Now();
  if (!m_placement.Withdraw(now, aId)) {
    m_placement.Complete(now, aId, aOutcome);
  }
  m_limits.Finish(aAccount);
  auto at = m_flows.find(aId);
  if (at == m_flows.end()) {
    return;
  }
  // The flow may be on the call stack; the posted task holds it until the next
  // event loop iteration.
  m_loop.Post([flow = at->second] {});
  m_flows.erase(at);
  SchedulePlacement();
}

void Gateway::EndRequests()
{
  m_acceptsRequests = false;
  std::vector<Flow> flows;
  for (const auto& [id, flow] : m_flows) {
    flows.push_back(flow);
  }
  for (const Flow& flow : flows) {
    std::visit([](const auto& aFlow) { aFlow->EndForShutdown(); }, flow);
  }
}

// Periodic work and placement.

void Gateway::RunPlacement()
{
  ApplyActions(m_placement.Tick(m_loop.Now(), m_membership.Upstreams()));
  if (m_onDispatchSends) {
    m_onDispatchSends();
  }
}

void Gateway::ReceiveDispatch(const HostId& aFrom, const DispatchBatch& aBatch)
{
  m_placement.Receive(m_loop.Now(), aFrom, aBatch);
  SchedulePlacement();
}

void Gateway::SchedulePlacement()
{
  if (std::exchange(m_isPlacementScheduled, true)) {
    return;
  }
  m_loop.Post([this] {
    m_isPlacementScheduled = false;
    RunPlacement();
  });
}

void Gateway::Tick()
{
  UpdateEvacuations();
  UpdatePlans();
  UpdateHosts();
  ForgetRestartedUpstreams();
  m_placement.Local().SetPoisonSuspects(PoisonSuspects(m_membership.Poison()));
  RunPlacement();
  RequestShares();
  m_metrics.SetGauge(
    "queued{rank=\"urgent\"}",
    static_cast<double>(m_placement.Local().Queued(Rank::Urgent)));
  m_metrics.SetGauge(
    "queued{rank=\"routine\"}",
    static_cast<double>(m_placement.Local().Queued(Rank::Routine)));
  m_metrics.SetGauge("open_requests", static_cast<double>(m_flows.size()));
}

void Gateway::ApplyActions(std::vector<DispatchAction> aActions)
{
  for (DispatchAction& action : aActions) {
    if (auto* grant = std::get_if<DispatchGrant>(&action)) {
      auto at = m_flows.find(grant->m_ticket.m_id);
      if (at == m_flows.end()) {
        m_placement.Complete(
          m_loop.Now(), grant->m_ticket.m_id, DispatchOutcome::Cancelled);
        continue;
      }
      Flow flow = at->second;
      std::visit([&](auto& aFlow) { aFlow->OnGrant(*grant); }, flow);
      continue;
    }
    auto& refusal = std::get<DispatchRefusal>(action);
    auto at = m_flows.find(refusal.m_ticket.m_id);
    if (at != m_flows.end()) {
      Flow flow = at->second;
      std::visit([&](auto& aFlow) { aFlow->OnRefused(refusal.m_refusal); },
                 flow);
    }
  }
}

void Gateway::UpdatePlans()
{
  const ListsState& state = m_state.Plans();
  if (state.m_index <= m_plans.Index()) {
    return;
  }
  absl::Status updated = m_plans.Update(state);
  if (!updated.ok()) {
    WriteLog(LogLevel::Error,
             "lists_unreadable",
             { { "reason", std::string(updated.message()) } });
    return;
  }
  m_membership.SetListsIndex(state.m_index);
  m_placement.Local().SetRoutineFloor(m_plans.Plans().m_routineFloor);
}

/// Divides plans among all known hosts that have not left, reachable or not, so
/// that the shares of all hosts still sum to the plan while some are
/// unreachable.
void Gateway::UpdateHosts()
{
  size_t count = 0;
  std::vector<HostId> neighbours;
  std::set<DataCentreId> dataCentres;
  for (const auto& [id, row] : m_membership.Hosts()) {
    count += row.m_state != HostState::Left ? 1 : 0;
    if (row.m_state > HostState::Suspect) {
      continue;
    }
    dataCentres.insert(row.m_dataCentre);
    if (row.m_dataCentre == m_membership.Self().m_dataCentre) {
      neighbours.push_back(id);
    }
  }
  // The hosts of a data centre grant all slots of its own upstreams, and a
  // fraction of the free slots in other data centres.
  m_placement.SetHosts(m_loop.Now(), std::move(neighbours));
  m_placement.Local().SetSlotShare(
    1, 1.0 / static_cast<double>(std::max<size_t>(dataCentres.size(), 1)));
  m_shares.SetHostCount(count);
}

/// Asks peers for share of each account that was refused because this host's
/// share was used up, unless the host already holds the whole.
void Gateway::RequestShares()
{
  Instant now = m_loop.Now();
  if (now < m_nextShareRequestAt) {
    return;
  }
  m_nextShareRequestAt = now + kShareRequestPeriod;
  m_shares.RemoveExpiredLoans(now);
  std::vector<HostId> peers;
  for (const auto& [id, row] : m_membership.Hosts()) {
    if (id != m_options.m_host && row.m_state == HostState::Alive) {
      peers.push_back(id);
    }
  }
  if (peers.empty()) {
    return;
  }
  for (const auto& [account, use] : m_limits.Usage()) {
    bool wants = use.m_hasShareShortage;
    if (!wants || ShareOf(account) >= 1) {
      continue;
    }
    m_limits.ConsumeShareShortage(account);
    for (size_t i = 0; i < std::min(kPeersAskedPerAccount, peers.size()); ++i) {
      const HostId& to = peers[(m_nextId + i) % peers.size()];
      m_membership.SendShare(
        to, { ShareKind::Request, account, ShareLedger::kFullSharePpm, 0 });
    }
    ++m_nextId;
  }
}

void Gateway::ReceiveShare(const HostId& aFrom, const ShareMessage& aMessage)
{
  Instant now = m_loop.Now();
  if (aMessage.m_kind == ShareKind::Grant) {
    m_shares.Borrow(now, aMessage);
    WriteLog(LogLevel::Debug,
             "share_borrowed",
             { { "account", aMessage.m_account.Value() },
               { "from", aFrom.Value() },
               { "parts_per_million", aMessage.m_partsPerMillion } });
    return;
  }
  auto grant = m_shares.Lend(now,
                             aMessage.m_account,
                             aMessage.m_partsPerMillion,
                             m_limits.IsIdle(aMessage.m_account));
  if (grant) {
    m_membership.SendShare(aFrom, *grant);
  }
}

// Detection of dead upstreams.

/// Drops the cached prefixes and health records of upstreams that returned with
/// a new incarnation.
void Gateway::ForgetRestartedUpstreams()
{
  for (const auto& [id, entry] : m_membership.Upstreams().Rows()) {
    uint64_t& seen = m_lastIncarnations[id];
    if (seen != 0 && seen != entry.m_row.m_incarnation) {
      m_placement.Local().Prefixes().Forget(id);
      m_placement.Local().Health().Forget(id);
    }
    seen = entry.m_row.m_incarnation;
  }
}

void Gateway::CheckUpstream(const UpstreamId& aId,
                            uint64_t aIncarnation,
                            uint64_t aFingerprint,
                            std::function<void(bool)> aCallback)
{
  DeathCheck& check = m_deathChecks[aId];
  bool isFirst = check.m_callbacks.empty();
  if (aFingerprint != 0) {
    check.m_fingerprints.insert(aFingerprint);
  }
  check.m_callbacks.push_back(std::move(aCallback));
  if (isFirst) {
    ProbeUpstream(aId, aIncarnation);
  }
}

void Gateway::ProbeUpstream(const UpstreamId& aId, uint64_t aIncarnation)
{
  const UpstreamEntry* entry = m_membership.Upstreams().Find(aId);
  bool same = entry != nullptr && entry->m_row.m_incarnation == aIncarnation &&
              entry->m_row.m_state != UpstreamState::Gone;
  if (!same) {
    m_loop.Post([this, id = aId, aIncarnation] {
      EndDeathCheck(id, aIncarnation, true);
    });
    return;
  }
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = "/healthz";
  StartBufferedHttpCall(
    m_loop,
    entry->m_row.m_endpoint,
    std::move(request),
    { kDeathProbeTimeout, kDeathProbeTimeout },
    [this, id = aId, aIncarnation](const absl::Status& aStatus,
                                   const HttpResponse&) {
      bool refused = aStatus.code() == absl::StatusCode::kUnavailable;
      EndDeathCheck(id, aIncarnation, refused);
    },
    kMaxUnusedBody);
}

void Gateway::EndDeathCheck(const UpstreamId& aId,
                            uint64_t aIncarnation,
                            bool aIsDead)
{
  DeathCheck check = std::move(m_deathChecks[aId]);
  m_deathChecks.erase(aId);
  if (aIsDead) {
    WriteLog(LogLevel::Warning,
             "upstream_died",
             { { "upstream", aId.Value() },
               { "suspects", check.m_fingerprints.size() } });
    m_metrics.Add("upstream_deaths_total");
    // Two recorded stalls eject an upstream.
    m_placement.RecordStall(m_loop.Now(), aId);
    m_placement.RecordStall(m_loop.Now(), aId);
    for (uint64_t fingerprint : check.m_fingerprints) {
      PoisonRow row;
      row.m_fingerprint = fingerprint;
      row.m_deaths.insert(aId.Value() + "/" + std::to_string(aIncarnation));
      m_membership.ReportPoison(m_loop.Now(), row);
    }
    m_placement.Local().SetPoisonSuspects(
      PoisonSuspects(m_membership.Poison()));
  }
  // Peers must be sent the report of the death before the callbacks respond to
  // callers.
  if (aIsDead && m_onDispatchSends) {
    m_onDispatchSends();
  }
  for (auto& callback : check.m_callbacks) {
    callback(aIsDead);
  }
}

void Gateway::ClearSuspicion(uint64_t aFingerprint)
{
  auto at = m_membership.Poison().find(aFingerprint);
  if (at == m_membership.Poison().end() ||
      JudgePoison(m_membership.Poison(), aFingerprint) ==
        PoisonVerdict::Clean) {
    return;
  }
  m_membership.ReportPoison(m_loop.Now(), ClearPoison(at->second));
}

} // namespace persimmontally
