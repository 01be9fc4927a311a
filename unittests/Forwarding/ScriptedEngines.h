#ifndef PERSIMMONTALLY_UNITTESTS_FORWARDING_SCRIPTEDENGINES_H
#define PERSIMMONTALLY_UNITTESTS_FORWARDING_SCRIPTEDENGINES_H

#include "Forwarding/ForwardSite.h"

#include <string>
#include <vector>

namespace persimmontally {

/// How an engine ends a response.
enum class EngineEnd
{
  Finish,
  /// Closes the connection, between two events, inside an event, or before the
  /// head. The engine lives on.
  Abort,
  AbortInsideEvent,
  AbortBeforeHead,
  /// Ends the response in form, inside an event.
  FinishInsideEvent,
  /// Dies between two events, or before the head.
  Die,
  DieBeforeHead,
  /// Status of a response without events; the first states that the request
  /// was not run.
  Reject,
  Fail,
  Deny,
};

/// What an engine does with one request. It runs from the event after
/// `Last-Event-Id` on.
struct EngineStep
{
  int m_lastEvent = 0;
  EngineEnd m_end = EngineEnd::Finish;
  /// The event it starts with whatever the request says, if not 0.
  int m_firstEvent = 0;
};

/// Three engines that handle the requests sent to any of them by one script.
class ScriptedEngines
{
public:
  explicit ScriptedEngines(bool aCanBackUp = false)
    : m_site(aCanBackUp)
  {
    for (const char* id : { "u1", "u2", "u3" }) {
      m_site.AddUpstream(id,
                         "engines",
                         [this, id](const HttpRequest& aRequest,
                                    const ForwardSite::Writer& aWriter) {
                           Respond(id, aRequest, aWriter);
                         });
    }
  }

  /// Earns `aCount` retries beyond those of a host that has just started.
  void EarnRetries(int aCount)
  {
    constexpr int kRequestsPerRetry = 10;
    m_script = { { 1 } };
    for (int i = 0; i < aCount * kRequestsPerRetry; ++i) {
      m_site.Finish("/stream/x");
    }
  }

  std::shared_ptr<ForwardSite::Call> Run(std::vector<EngineStep> aScript,
                                         const std::string& aPath,
                                         HttpHeaders aHeaders = {})
  {
    auto call = Start(std::move(aScript), aPath, std::move(aHeaders));
    m_site.RunUntil([&] { return call->m_isDone; });
    return call;
  }

  std::shared_ptr<ForwardSite::Call> Start(std::vector<EngineStep> aScript,
                                           const std::string& aPath,
                                           HttpHeaders aHeaders = {})
  {
    m_script = std::move(aScript);
    m_requests.clear();
    aHeaders.push_back({ "X-Api-Key", "key" });
    aHeaders.push_back({ "Token-Count", "100,400" });
    aHeaders.push_back({ "Length-Hint", "400" });
    return m_site.Start(aPath, std::move(aHeaders));
  }

  /// Values of a header in the requests so far, in order.
  std::vector<std::string> Sent(const char* aHeader) const
  {
    std::vector<std::string> values;
    for (const HttpRequest& request : m_requests) {
      values.emplace_back(request.Header(aHeader));
    }
    return values;
  }

  ForwardSite m_site;
  /// Time from the last event to the end of a response.
  Duration m_delay = milliseconds(20);
  std::vector<HttpRequest> m_requests;

private:
  void Respond(const std::string& aUpstream,
               const HttpRequest& aRequest,
               const ForwardSite::Writer& aWriter)
  {
    if (aRequest.m_target.starts_with("/persimmontally/kv-move")) {
      // The engines drop a run when they break it off.
      aWriter->SendResponse({ 404, {}, "{}" });
      return;
    }
    REQUIRE(!m_script.empty());
    EngineStep step =
      m_script[std::min(m_requests.size(), m_script.size() - 1)];
    m_requests.push_back(aRequest);
    HttpHeaders headers{
      { "Request-Id", std::string(aRequest.Header("Request-Id")) },
      { "Server-Stamp", "s" + std::to_string(m_requests.size()) }
    };
    switch (step.m_end) {
      case EngineEnd::Reject:
        headers.push_back({ "Not-Run", "1" });
        aWriter->SendResponse({ 503, headers, "" });
        return;
      case EngineEnd::Fail:
        aWriter->SendResponse({ 500, headers, "" });
        return;
      case EngineEnd::Deny:
        aWriter->SendResponse({ 400, headers, "" });
        return;
      case EngineEnd::AbortBeforeHead:
      case EngineEnd::DieBeforeHead:
        break;
      default:
        aWriter->StartStream(200, headers);
    }
    std::string_view last = aRequest.Header("Last-Event-Id");
    int first = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
    first = step.m_firstEvent > 0 ? step.m_firstEvent : first;
    for (int i = first; i <= step.m_lastEvent; ++i) {
      aWriter->Write(Event(i));
    }
    if (step.m_end == EngineEnd::Finish) {
      aWriter->Finish();
      return;
    }
    if (step.m_end == EngineEnd::AbortInsideEvent ||
        step.m_end == EngineEnd::FinishInsideEvent) {
      aWriter->Write("id: " + std::to_string(step.m_lastEvent + 1) + "\nda");
    }
    m_timers.push_back(m_site.Loop().RunAfter(m_delay, [=, this] {
      bool dies =
        step.m_end == EngineEnd::Die || step.m_end == EngineEnd::DieBeforeHead;
      if (dies) {
        m_site.Kill(aUpstream);
      }
      if (step.m_end == EngineEnd::FinishInsideEvent) {
        aWriter->Finish();
        return;
      }
      aWriter->Abort();
    }));
  }

  std::vector<EngineStep> m_script;
  std::vector<Timer> m_timers;
};

/// Returns the events `aFirst` to `aLast`.
inline std::string EventsFrom(int aFirst, int aLast)
{
  std::string events;
  for (int i = aFirst; i <= aLast; ++i) {
    events += Event(i);
  }
  return events;
}

} // namespace persimmontally

#endif
