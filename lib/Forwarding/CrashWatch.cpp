#include "CrashWatch.h"

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Metrics.h"

#include <algorithm>

namespace persimmontally {

/// Longest wait before this host vouches for parts: long enough for the others
/// to learn of the first of them that does.
static constexpr Duration kVouchWaitPerHost = milliseconds(5);
static constexpr Duration kMaxVouchWait = seconds(1);
/// Shortest retry delay suggested for a quarantined request.
static constexpr Duration kMinRetryDelay = seconds(1);

CrashWatch::CrashWatch(EventLoop& aLoop,
                       Membership& aMembership,
                       Metrics& aMetrics,
                       uint64_t aSeed)
  : m_loop(aLoop)
  , m_membership(aMembership)
  , m_metrics(aMetrics)
  , m_random(aSeed)
{
}

PoisonView CrashWatch::View() const
{
  return { m_membership.Poison(), m_membership.PoisonTimesByFingerprint() };
}

void CrashWatch::Report(const std::vector<PoisonRow>& aRows, const char* aEvent)
{
  const auto& known = m_membership.Poison();
  for (const PoisonRow& row : aRows) {
    auto at = known.find(row.m_fingerprint);
    int64_t before = at == known.end() ? 0 : at->second.m_strikes;
    WriteLog(LogLevel::Info,
             aEvent,
             { { "fingerprint", row.m_fingerprint },
               { "strikes", row.m_strikes },
               { "added", row.m_strikes - before },
               { "deaths", row.m_deaths.size() },
               { "trials", row.m_trials } });
    m_membership.ReportPoison(m_loop.Now(), row);
  }
  if (!aRows.empty() && m_onReport) {
    m_onReport();
  }
}

void CrashWatch::OnSound(const CrashKeys& aKeys)
{
  Report(m_evidence.RecordSound(View(), aKeys), "suspicion_cleared");
}

void CrashWatch::OnSoundParts(const std::vector<uint64_t>& aParts)
{
  Report(m_evidence.RecordSoundParts(View(), aParts), "suspicion_cleared");
}

void CrashWatch::VouchForSoundParts(size_t aHosts)
{
  const auto& rows = m_membership.Poison();
  bool canVouch = std::any_of(rows.begin(), rows.end(), [&](const auto& aItem) {
    return m_evidence.Vouch(View(), aItem.first).has_value();
  });
  if (!canVouch || std::exchange(m_isVouchScheduled, true)) {
    return;
  }
  Duration longest = std::min<Duration>(
    kVouchWaitPerHost * static_cast<int64_t>(aHosts), kMaxVouchWait);
  std::uniform_int_distribution<Duration::rep> draw(0, longest.count());
  m_vouchTimer = m_loop.RunAfter(Duration(draw(m_random)), [this] { Vouch(); });
}

void CrashWatch::Vouch()
{
  m_isVouchScheduled = false;
  std::vector<PoisonRow> vouched;
  for (const auto& [key, row] : m_membership.Poison()) {
    if (auto changed = m_evidence.Vouch(View(), key)) {
      vouched.push_back(std::move(*changed));
    }
  }
  Report(vouched, "vouched");
}

bool CrashWatch::IsQuarantined(const CrashKeys& aKeys) const
{
  return !m_evidence.Quarantined(View(), aKeys).empty();
}

bool CrashWatch::IsSuspect(const CrashKeys& aKeys) const
{
  return m_evidence.IsSuspect(View(), aKeys);
}

Duration CrashWatch::OnRefused(const CrashKeys& aKeys,
                               const std::string& aRequestId) const
{
  std::vector<uint64_t> keys = m_evidence.Quarantined(View(), aKeys);
  std::string fingerprints;
  for (uint64_t key : keys) {
    fingerprints += (fingerprints.empty() ? "" : ",") + std::to_string(key);
  }
  WriteLog(LogLevel::Info,
           "quarantined",
           { { "request", aRequestId }, { "fingerprints", fingerprints } });
  return std::max<Duration>(kMinRetryDelay,
                            m_evidence.TrialDueAt(View(), keys) - m_loop.Now());
}

bool CrashWatch::StartTrial(const CrashKeys& aKeys,
                            const std::string& aRequestId,
                            size_t aHosts)
{
  std::vector<uint64_t> keys = m_evidence.Quarantined(View(), aKeys);
  std::uniform_int_distribution<size_t> draw(1, std::max<size_t>(1, aHosts));
  if (m_loop.Now() < m_evidence.TrialDueAt(View(), keys) ||
      draw(m_random) > CrashEvidence::kTrialHosts) {
    return false;
  }
  std::vector<PoisonRow> rows;
  for (uint64_t key : keys) {
    rows.push_back(m_membership.Poison().at(key));
    ++rows.back().m_trials;
  }
  WriteLog(LogLevel::Info, "quarantine_trial", { { "request", aRequestId } });
  Report(rows, "trial_started");
  return true;
}

bool CrashWatch::MayResume(const CrashKeys& aKeys) const
{
  return m_evidence.AreAllPartsSound(View(), aKeys) && !IsQuarantined(aKeys);
}

void CrashWatch::OnBrokenOff(const UpstreamId& aUpstream,
                             const Endpoint& aEndpoint,
                             const std::string& aRequestId,
                             CrashSuspect aSuspect,
                             std::function<void(ProbeAnswer)> aOnProbed)
{
  const UpstreamEntry* entry = m_membership.Upstreams().Find(aUpstream);
  uint64_t incarnation = entry == nullptr ? 0 : entry->m_row.m_incarnation;
  std::string death = aUpstream.Value() + "/" + std::to_string(incarnation);
  auto [check, isNew] = m_checks.try_emplace(death);
  check->second.m_requestIds.push_back(aRequestId);
  check->second.m_suspects.push_back(std::move(aSuspect));
  check->second.m_onProbed.push_back(std::move(aOnProbed));
  if (!isNew) {
    return;
  }
  ProbeProcess(m_loop,
               aEndpoint,
               [this, aUpstream, death, alive = std::weak_ptr(m_isAlive)](
                 ProbeAnswer aAnswer) {
                 if (!alive.expired()) {
                   OnProbed(aUpstream, death, aAnswer);
                 }
               });
}

void CrashWatch::OnProbed(const UpstreamId& aUpstream,
                          const std::string& aDeath,
                          ProbeAnswer aAnswer)
{
  Check check = std::move(m_checks.extract(aDeath).mapped());
  if (aAnswer == ProbeAnswer::Refused) {
    RecordDeath(aUpstream, aDeath, check);
  }
  for (auto& onProbed : check.m_onProbed) {
    onProbed(aAnswer);
  }
}

void CrashWatch::RecordDeath(const UpstreamId& aUpstream,
                             const std::string& aDeath,
                             const Check& aCheck)
{
  std::string requests;
  size_t begun = 0;
  for (size_t i = 0; i < aCheck.m_suspects.size(); ++i) {
    requests += (i == 0 ? "" : ",") + aCheck.m_requestIds[i];
    begun += aCheck.m_suspects[i].m_hasBegun ? 1 : 0;
  }
  WriteLog(LogLevel::Warning,
           "upstream_died",
           { { "upstream", aUpstream.Value() },
             { "suspects", aCheck.m_suspects.size() },
             { "begun", begun },
             { "requests", requests } });
  m_metrics.Add("upstream_deaths_total");
  Report(
    m_evidence.RecordDeath(m_loop.Now(), View(), aDeath, aCheck.m_suspects),
    "suspected");
}

} // namespace persimmontally
