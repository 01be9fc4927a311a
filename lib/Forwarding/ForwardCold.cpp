// Upstreams that are cold, in a gateway.

#include "persimmontally/Forwarding/ForwardGateway.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

void ForwardGateway::UpdateCold()
{
  Instant now = m_loop.Now();
  const UpstreamTable& upstreams = m_membership.Upstreams();
  auto version =
    std::pair(upstreams.Version(), m_routes ? m_routes->Version() : 0);
  if (m_routes && std::exchange(m_coldVersion, version) != version) {
    m_cold.SetUpstreams(now, upstreams, [this](const std::string& aService) {
      const ServiceSpec* service = m_routes->FindService(aService);
      return service == nullptr ? std::nullopt
                                : std::optional(ColdTerms{
                                    service->m_terms.m_warmUpTime,
                                    service->m_terms.m_coldRequestsPerSecond });
    });
  }
  m_cold.Tick(now);
  size_t count = m_cold.ColdCount();
  if (std::exchange(m_coldCount, count) != count) {
    m_metrics.SetGauge("cold_upstreams", static_cast<double>(count));
  }
  uint64_t detours = m_placement.Local().ColdDetours();
  uint64_t before = std::exchange(m_coldDetours, detours);
  if (before != detours) {
    m_metrics.Add("placements_off_cold_upstreams_total", detours - before);
  }
}

void ForwardGateway::SendCold()
{
  for (const ColdSend& send : m_cold.TakeSends()) {
    if (m_onCold) {
      m_onCold(send);
    }
  }
}

void ForwardGateway::SetColdPeers(std::vector<ColdPeer> aPeers)
{
  m_cold.SetPeers(m_loop.Now(), std::move(aPeers));
  SendCold();
}

void ForwardGateway::ReceiveCold(const HostId& aFrom, const ColdUpdate& aUpdate)
{
  m_cold.Receive(m_loop.Now(), aFrom, aUpdate);
  SendCold();
  if (m_placement.HasQueued()) {
    SchedulePlacement();
  }
  NotifyIfBusy();
}

void ForwardGateway::UsePermit(const UpstreamId& aUpstream)
{
  m_rateLimits.Use(m_loop.Now(), aUpstream);
  m_cold.Charge(m_loop.Now(), aUpstream);
  SendCold();
}

} // namespace persimmontally
