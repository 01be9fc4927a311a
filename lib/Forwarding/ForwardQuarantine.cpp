// Requests that may crash their upstreams; see docs/design/placement.md.

#include "CrashWatch.h"
#include "ForwardFlow.h"

#include "persimmontally/Support/Metrics.h"

namespace persimmontally {

CrashKeys ForwardFlow::CrashKeysOf(const RoutedRequest& aRequest,
                                   const ForwardTarget& aTarget)
{
  const std::string& service = aTarget.m_service->m_name;
  CrashKeys keys;
  const std::vector<std::string>& parts = aRequest.m_promptParts;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    keys.m_parts.push_back(PromptPartKey(service, parts[i]));
  }
  keys.m_request = RequestKey(service,
                              aTarget.m_account.Value(),
                              aRequest.m_http.m_target,
                              aRequest.m_http.m_body);
  return keys;
}

void ForwardFlow::ReportSoundParts()
{
  if (!std::exchange(m_arePartsSound, true)) {
    m_gateway.Crashes().OnSoundParts(m_crashKeys.m_parts);
  }
}

void ForwardFlow::ReportBrokenOff(std::function<void(ProbeAnswer)> aOnProbed)
{
  CrashSuspect suspect{ m_crashKeys, HasBegun() };
  if (m_arePartsSound) {
    suspect.m_keys.m_parts.clear();
  }
  suspect.m_isWhole = !IsStream();
  suspect.m_isResent = m_wasBrokenOff;
  m_isBrokenOff = true;
  suspect.m_sentAt = m_sentAt;
  // A trial is sent to one upstream only.
  m_isTrial = false;
  m_gateway.Crashes().OnBrokenOff(m_upstream,
                                  m_upstreamEndpoint,
                                  m_request.m_id,
                                  std::move(suspect),
                                  std::move(aOnProbed));
}

void ForwardFlow::OnBrokenOffBeforeHead(const std::string& aReason)
{
  if (IsResumable()) {
    RepeatAfterProbe(aReason);
    return;
  }
  bool isSuspect = m_wasBrokenOff || m_gateway.Crashes().IsSuspect(m_crashKeys);
  if (!isSuspect) {
    ReportBrokenOff([](ProbeAnswer) {});
    OnAttemptFailed(aReason);
    return;
  }
  // Another upstream is tried only once it is known whether this one has died.
  ReportBrokenOff([self = shared_from_this(), aReason](ProbeAnswer) {
    self->OnAttemptFailed(aReason);
  });
}

bool ForwardFlow::RefuseIfQuarantined()
{
  CrashWatch& crashes = m_gateway.Crashes();
  if (m_arePartsSound || m_isTrial || !crashes.IsQuarantined(m_crashKeys)) {
    return false;
  }
  if (!m_wasSent) {
    m_isTrial =
      crashes.StartTrial(m_crashKeys, m_request.m_id, m_gateway.EntryHosts());
  }
  if (!m_isTrial) {
    RefuseAsQuarantined();
  }
  return !m_isTrial;
}

void ForwardFlow::RefuseAsQuarantined()
{
  m_gateway.Counters().Add("quarantined_requests_total");
  Duration left = m_gateway.Crashes().OnRefused(m_crashKeys, m_request.m_id);
  if (m_wasSent) {
    Refuse(RefusalBuilder(ErrorKind::UpstreamFailed,
                          "requests like this one crash upstreams")
             .AfterSend()
             .Build());
    return;
  }
  Refuse(RefusalBuilder(ErrorKind::Suspended,
                        "requests like this one crash upstreams")
           .WithRetryAfter(left)
           .Build());
}

void ForwardFlow::EndIfQuarantined()
{
  bool isUnheard =
    m_state == State::Queued || (m_state == State::Sent && IsGeneration());
  if (isUnheard && !m_isTrial && !m_arePartsSound &&
      m_gateway.Crashes().IsQuarantined(m_crashKeys)) {
    RefuseAsQuarantined();
  }
}

} // namespace persimmontally
