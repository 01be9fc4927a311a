#include "CrashWatch.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/ConnectProbe.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

/// Several round trips between regions. The address of a process that has died
/// refuses at once.
static constexpr Duration kProbeTimeout = milliseconds(400);

CrashWatch::CrashWatch(EventLoop& aLoop,
                       Membership& aMembership,
                       Metrics& aMetrics)
  : m_loop(aLoop)
  , m_membership(aMembership)
  , m_metrics(aMetrics)
{
}

void CrashWatch::OnBrokenOff(const UpstreamId& aUpstream,
                             const Endpoint& aEndpoint,
                             const std::string& aRequestId,
                             CrashSuspect aSuspect)
{
  const UpstreamEntry* entry = m_membership.Upstreams().Find(aUpstream);
  uint64_t incarnation = entry == nullptr ? 0 : entry->m_row.m_incarnation;
  std::string death = aUpstream.Value() + "/" + std::to_string(incarnation);
  auto [check, isNew] = m_checks.try_emplace(death);
  check->second.m_requestIds.push_back(aRequestId);
  check->second.m_suspects.push_back(std::move(aSuspect));
  if (!isNew) {
    return;
  }
  ProbeConnection(m_loop,
                  aEndpoint,
                  kProbeTimeout,
                  [this, aUpstream, death, alive = std::weak_ptr(m_isAlive)](
                    const absl::Status& aStatus) {
                    if (!alive.expired()) {
                      OnProbed(aUpstream, death, absl::IsUnavailable(aStatus));
                    }
                  });
}

void CrashWatch::OnProbed(const UpstreamId& aUpstream,
                          const std::string& aDeath,
                          bool aIsDead)
{
  Check check = std::move(m_checks.extract(aDeath).mapped());
  if (!aIsDead) {
    return;
  }
  std::string requests;
  size_t begun = 0;
  for (size_t i = 0; i < check.m_suspects.size(); ++i) {
    requests += (i == 0 ? "" : ",") + check.m_requestIds[i];
    begun += check.m_suspects[i].m_hasBegun ? 1 : 0;
  }
  WriteLog(LogLevel::Warning,
           "upstream_died",
           { { "upstream", aUpstream.Value() },
             { "suspects", check.m_suspects.size() },
             { "begun", begun },
             { "requests", requests } });
  m_metrics.Add("upstream_deaths_total");
}

} // namespace persimmontally
