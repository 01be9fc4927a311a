#ifndef PERSIMMONTALLY_UNITTESTS_FORWARDING_CRASHSITE_H
#define PERSIMMONTALLY_UNITTESTS_FORWARDING_CRASHSITE_H

#include "Forwarding/ForwardSite.h"

#include <string>

namespace persimmontally {

/// How the upstreams of a `CrashSite` respond and what ends them.
struct CrashSiteOptions
{
  std::string m_service = "engines";
  bool m_canBackUp = false;
  /// Whether responses come as a whole, not as a stream.
  bool m_isWhole = false;
  /// Events of a stream before its engine dies.
  int m_eventsBeforeDeath = 0;
  /// Whether every second bad request gets status 500 instead.
  bool m_failsEverySecond = false;
};

/// A site whose upstreams die under requests with `bad` in their path or in a
/// part of their prompt; another upstream then takes the place of the one that
/// died.
class CrashSite
{
public:
  explicit CrashSite(CrashSiteOptions aOptions = {})
    : m_site(aOptions.m_canBackUp)
    , m_options(std::move(aOptions))
  {
    constexpr int kUpstreams = 3;
    for (int i = 0; i < kUpstreams; ++i) {
      AddUpstream();
    }
  }

  /// Sends a request and returns its status; 0 if its stream was broken off.
  int Send(const std::string& aPath, const std::string& aParts)
  {
    auto call = m_site.Start(aPath,
                             { { "X-Api-Key", "key" },
                               { "Token-Count", "100,400" },
                               { "Length-Hint", "400" },
                               { "Prefix-Hash", aParts } });
    m_site.RunUntil([&] { return call->m_isDone; });
    // The death of an upstream is found out after its responses have ended.
    Wait(milliseconds(50));
    return call->m_status.ok() ? call->m_response.m_status : 0;
  }

  void Wait(Duration aTime)
  {
    Instant end = m_site.Loop().Now() + aTime;
    m_site.RunUntil([&] { return m_site.Loop().Now() >= end; });
  }

  ForwardSite m_site;
  int m_deaths = 0;

private:
  using Writer = ForwardSite::Writer;

  void AddUpstream()
  {
    std::string id = "u" + std::to_string(m_nextUpstream++);
    m_site.AddUpstream(
      id,
      m_options.m_service,
      [this, id](const HttpRequest& aRequest, const Writer& aWriter) {
        Respond(id, aRequest, aWriter);
      });
  }

  void Respond(const std::string& aUpstream,
               const HttpRequest& aRequest,
               const Writer& aWriter)
  {
    bool isBad =
      aRequest.m_target.find("bad") != std::string::npos ||
      aRequest.Header("Prefix-Hash").find("bad:") != std::string::npos;
    if (m_options.m_isWhole && !isBad) {
      aWriter->SendResponse({ 200, Genuine(aRequest), "whole" });
      return;
    }
    if (m_options.m_isWhole) {
      ++m_badRequests;
      if (m_options.m_failsEverySecond && m_badRequests % 2 == 0) {
        aWriter->SendResponse({ 500, Genuine(aRequest), "" });
        return;
      }
      Die(aUpstream, aWriter);
      return;
    }
    constexpr int kSoundEvents = 6;
    std::string_view last = aRequest.Header("Last-Event-Id");
    int first = last.empty() ? 0 : std::stoi(std::string(last)) + 1;
    int end = isBad ? m_options.m_eventsBeforeDeath : kSoundEvents;
    aWriter->StartStream(200, Genuine(aRequest));
    for (int i = first; i < end; ++i) {
      aWriter->Write(Event(i));
    }
    if (!isBad) {
      aWriter->Finish();
      return;
    }
    aWriter->Write("id: " + std::to_string(std::max(first, end)) + "\n");
    aWriter->OnDrained([this, aUpstream, aWriter] { Die(aUpstream, aWriter); });
  }

  void Die(const std::string& aUpstream, const Writer& aWriter)
  {
    ++m_deaths;
    m_site.Loop().Post([this, aUpstream, aWriter] {
      m_site.Kill(aUpstream);
      aWriter->Abort();
      m_site.SetState(aUpstream, UpstreamState::Gone);
      AddUpstream();
    });
  }

  CrashSiteOptions m_options;
  int m_nextUpstream = 0;
  int m_badRequests = 0;
};

} // namespace persimmontally

#endif
