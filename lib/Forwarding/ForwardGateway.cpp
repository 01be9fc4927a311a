#include "persimmontally/Forwarding/ForwardGateway.h"

#include "ForwardFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

/// Wait suggested to callers of a host that knows no catalog yet.
static constexpr Duration kRetryAfterStart = milliseconds(500);

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
  , m_placement(m_options.m_dispatch, aSeed)
  , m_connections(aLoop)
  , m_random(aSeed)
  , m_idPrefix(m_options.m_host.Value() + "-" + std::to_string(aSeed % 100000))
{
}

ForwardGateway::~ForwardGateway() = default;

RetryBudget& ForwardGateway::RetriesOf(const std::string& aService)
{
  return m_retries.try_emplace(aService, m_random()).first->second;
}

// Arrival.

void ForwardGateway::Handle(HttpRequest aHttp,
                            std::shared_ptr<ResponseWriter> aWriter)
{
  RoutedRequest request = m_protocol.DecodeRequest(std::move(aHttp));
  auto refuse = [&](ErrorKind aKind, const char* aMessage, Duration aRetry) {
    Refuse(*aWriter,
           RefusalBuilder(aKind, aMessage).WithRetryAfter(aRetry).Build(),
           request.m_id);
  };
  if (!m_routes) {
    refuse(ErrorKind::NoQuorum, "no catalog is known yet", kRetryAfterStart);
    return;
  }
  ForwardTarget target;
  target.m_routes = m_routes;
  target.m_route = m_routes->FindRoute(request.m_hostName, request.m_path);
  if (target.m_route == nullptr) {
    refuse(ErrorKind::NotFound, "no route", Duration(0));
    return;
  }
  target.m_priority = target.m_route->m_priority;
  if (m_routes->UsesKeys() && !target.m_route->m_isPublic) {
    const ClientAccount* account = m_routes->FindAccount(request.m_key);
    if (account == nullptr) {
      refuse(ErrorKind::Unauthenticated, "unknown key", Duration(0));
      return;
    }
    target.m_account = account->m_id;
    target.m_priority = account->m_priority.value_or(target.m_priority);
  }
  if (!m_takesWork) {
    refuse(
      ErrorKind::ShuttingDown, "the host shuts down", milliseconds(10));
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  target.m_service = m_routes->FindService(
    RouteTable::PickService(*target.m_route, draw(m_random)));
  RequestId id(m_idPrefix + "-" + std::to_string(m_nextId++));
  auto flow = std::make_shared<ForwardFlow>(
    *this, id, std::move(request), std::move(target), std::move(aWriter));
  m_flows.emplace(id, flow);
  flow->Start();
}

void ForwardGateway::Refuse(ResponseWriter& aWriter,
                            const Refusal& aRefusal,
                            const std::string& aRequestId)
{
  std::string kind(LookUpError(aRefusal.m_kind).m_name);
  aWriter.SendWhole(m_protocol.EncodeRefusal(aRefusal, aRequestId));
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

void ForwardGateway::EndFlow(const RequestId& aId)
{
  auto at = m_flows.find(aId);
  if (at == m_flows.end()) {
    return;
  }
  // The flow may be on the stack; it goes once the loop has turned.
  m_loop.Post([flow = at->second] {});
  m_flows.erase(at);
  Kick();
}

// Turn of the loop.

void ForwardGateway::Kick()
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
      flow->OnRefused(std::get<DispatchRefusal>(action).m_refusal);
    }
  }
}

void ForwardGateway::RunPlacement()
{
  ApplyActions(m_placement.Tick(m_loop.Now(), m_membership.Upstreams()));
  SendLedger();
}

void ForwardGateway::SendLedger()
{
  auto snapshot = m_placement.TakeSnapshot(m_loop.Now());
  if (snapshot && m_onLedger) {
    m_onLedger(*snapshot);
  }
}

void ForwardGateway::Tick()
{
  RunPlacement();
  StartDueMoves();
  m_connections.Tick();
  m_metrics.SetGauge("open_requests", static_cast<double>(m_flows.size()));
}

void ForwardGateway::ReceiveLedger(const HostId& aFrom,
                                   const LedgerSnapshot& aSnapshot)
{
  m_placement.Receive(m_loop.Now(), aFrom, aSnapshot);
  Kick();
}

void ForwardGateway::ForgetHost(const HostId& aHost)
{
  m_placement.ForgetHost(m_loop.Now(), aHost);
}

/// Time that the copy of a generation keeps an engine's link busy.
static Duration CopyTime(const EngineSpec& aEngine, const LedgerRow& aRow)
{
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMegabit = 1e6;
  double bits = (static_cast<double>(aRow.m_promptTokens) + aRow.m_tokens) *
                aEngine.m_bytesPerToken * kBitsPerByte;
  double speed = std::max(1.0, aEngine.m_linkMegabitsPerSecond);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(bits / (speed * kBitsPerMegabit)));
}

/// Moves generations off leaving engines. Copies queue on the engine's link, so
/// the hosts that have generations there take turns: all know the same ledger
/// and its order, and each waits for the copies before its own.
void ForwardGateway::StartDueMoves()
{
  Instant now = m_loop.Now();
  for (const auto& [id, entry] : m_membership.Upstreams().Rows()) {
    if (entry.m_row.m_state == UpstreamState::Serving) {
      m_leavingSince.erase(id);
    } else {
      m_leavingSince.try_emplace(id, now);
    }
  }
  std::map<UpstreamId, std::vector<std::shared_ptr<ForwardFlow>>> leaving;
  for (const auto& [id, flow] : m_flows) {
    if (m_leavingSince.contains(flow->Upstream()) && flow->CanMove()) {
      leaving[flow->Upstream()].push_back(flow);
    }
  }
  for (const auto& [upstream, flows] : leaving) {
    Duration before(0);
    for (const LedgerRow& row : m_placement.RowsOn(upstream)) {
      auto own = std::find_if(flows.begin(), flows.end(), [&](const auto& aItem) {
        return aItem->PlacedAs().Value() == row.m_key;
      });
      if (own != flows.end() && now >= m_leavingSince[upstream] + before) {
        (*own)->StartMove();
      }
      before += CopyTime(*flows.front()->Service().m_engine, row);
    }
  }
}

} // namespace persimmontally
