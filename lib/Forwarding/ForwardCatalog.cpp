// Changes of the catalog while a request is open; see
// docs/design/residency.md.

#include "ForwardFlow.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Support/Log.h"

namespace persimmontally {

void ForwardFlow::OnCatalogChange()
{
  if (m_state == State::Ended) {
    return;
  }
  if (m_state != State::Queued) {
    // Retries resolve the request anew.
    auto resolved = m_gateway.Resolve(m_request, Service().m_name);
    if (const auto* target = std::get_if<ForwardTarget>(&resolved)) {
      m_target.m_residency = target->m_residency;
    }
    return;
  }
  Ticket before = MakeTicket();
  if (!FollowCatalog() || MakeTicket() == before) {
    return;
  }
  m_gateway.Placement().Withdraw(m_id);
  Enqueue();
}

bool ForwardFlow::FollowCatalog()
{
  if (m_target.m_routes == m_gateway.Routes()) {
    return true;
  }
  auto resolved = m_gateway.Resolve(m_request, Service().m_name);
  if (const auto* refusal = std::get_if<Refusal>(&resolved)) {
    Refuse(*refusal);
    return false;
  }
  ForwardTarget target = std::get<ForwardTarget>(std::move(resolved));
  bool maySendAgain =
    target.m_route->m_repeatability == Repeatability::Idempotent;
  if (m_wasSent && !maySendAgain) {
    Refuse(RefusalBuilder(ErrorKind::UpstreamFailed,
                          "the route no longer allows a second attempt")
             .AfterSend()
             .Build());
    return false;
  }
  if (target.m_service != m_target.m_service ||
      target.m_residency != m_target.m_residency) {
    WriteLog(LogLevel::Info,
             "resolved_anew",
             { { "request", m_request.m_id },
               { "service", target.m_service->m_name },
               { "catalog", target.m_routes->Version() } });
  }
  m_target = std::move(target);
  m_crashKeys = CrashKeysOf(m_request, m_target);
  return true;
}

bool ForwardFlow::MayUse(const UpstreamId& aUpstream) const
{
  const UpstreamEntry* entry = m_gateway.Members().Upstreams().Find(aUpstream);
  if (entry == nullptr) {
    // Its region is unknown.
    return !m_target.m_residency.IsRestricted();
  }
  const Eligibility& eligibility = m_gateway.Placement().Local().Eligible();
  return !eligibility.Check(m_target.m_residency, entry->m_row);
}

} // namespace persimmontally
