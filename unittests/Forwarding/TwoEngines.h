#ifndef PERSIMMONTALLY_UNITTESTS_FORWARDING_TWOENGINES_H
#define PERSIMMONTALLY_UNITTESTS_FORWARDING_TWOENGINES_H

#include "Forwarding/ForwardSite.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmontally {

/// An engine that sends one event every 25 ms and supports copies of KV memory.
struct FakeEngine
{
  FakeEngine(ForwardSite& aSite, std::string aId)
    : m_site(aSite)
    , m_id(std::move(aId))
  {
  }

  ForwardSite& m_site;
  std::string m_id;
  int m_eventLimit = 40;
  bool m_hasCopy = true;
  /// Status of its responses to generations that resume at this engine.
  int m_resumeStatus = 200;
  /// Status of its responses to a request for a copy, and for the last part.
  int m_copyStatus = 200;
  int m_lastPartStatus = 200;
  /// Whether it stops a generation whose connection has closed.
  bool m_stopsIfClosed = true;
  int m_copyRequests = 0;
  std::vector<std::string> m_backups;
  ForwardSite::Writer m_writer;
  int m_eventsSent = 0;
  int m_generationsStarted = 0;
  /// Called when a generation resumes here.
  std::function<void()> m_onResume;
  /// Called with the body of each request for a copy of a generation.
  std::function<void(const std::string&)> m_onCopyRequest;
  /// Called when the last part of a copy of a generation is requested.
  std::function<void()> m_onLastPart;
  bool m_isStopped = false;
  Timer m_timer;

  void Handle(const HttpRequest& aRequest, const ForwardSite::Writer& aWriter)
  {
    if (aRequest.m_target.starts_with("/persimmontally/kv-move")) {
      bool isLast = aRequest.m_body.find("last") != std::string::npos;
      ++m_copyRequests;
      if (m_onCopyRequest) {
        m_onCopyRequest(aRequest.m_body);
      }
      if (m_isStopped) {
        aWriter->SendResponse({ 404, {}, "{}" });
        return;
      }
      int status = isLast ? m_lastPartStatus : m_copyStatus;
      if (isLast && m_onLastPart) {
        m_onLastPart();
      }
      aWriter->SendResponse({ status, {}, R"({"handle":"h1"})" });
      if (isLast) {
        AbortStream();
      }
      return;
    }
    if (aRequest.m_target.starts_with("/persimmontally/kv-handle")) {
      aWriter->SendResponse({ 200, {}, "" });
      return;
    }
    bool isResume = !aRequest.Header("Kv-From").empty();
    if (isResume && !m_hasCopy) {
      aWriter->SendResponse({ 503, { { "Not-Run", "1" } }, "" });
      return;
    }
    ++m_generationsStarted;
    if (isResume && m_onResume) {
      m_onResume();
    }
    if (isResume && m_resumeStatus != 200) {
      aWriter->SendResponse({ m_resumeStatus, Genuine(aRequest), "failed" });
      return;
    }
    m_backups.emplace_back(aRequest.Header("Kv-Backup"));
    m_eventsSent =
      isResume ? std::stoi(std::string(aRequest.Header("Last-Event-Id"))) : 0;
    m_writer = aWriter;
    m_isStopped = false;
    m_writer->OnClosed([this] { m_isStopped = m_stopsIfClosed; });
    m_writer->StartStream(200, Genuine(aRequest));
    SendNextEvent();
  }

  void SendNextEvent()
  {
    if (m_isStopped) {
      return;
    }
    if (m_eventsSent == m_eventLimit) {
      m_isStopped = true;
      m_writer->Finish();
      return;
    }
    m_writer->Write(Event(++m_eventsSent));
    m_timer =
      m_site.Loop().RunAfter(milliseconds(25), [this] { SendNextEvent(); });
  }

  void AbortStream()
  {
    m_isStopped = true;
    m_writer->Abort();
  }
};

/// Returns the events from 1 to `aCount`.
inline std::string Events(int aCount)
{
  std::string events;
  for (int i = 1; i <= aCount; ++i) {
    events += Event(i);
  }
  return events;
}

inline const HttpHeaders kLongOutput = { { "X-Api-Key", "key" },
                                         { "Token-Count", "1000,800" },
                                         { "Length-Hint", "600" } };

/// A site with one generation that runs on one of two engines.
class TwoEngines
{
public:
  TwoEngines(bool aCanBackUp,
             const std::function<void(FakeEngine&)>& aConfigure)
    : m_site(aCanBackUp)
  {
    for (const char* id : { "e1", "e2" }) {
      m_engines.push_back(std::make_unique<FakeEngine>(m_site, id));
      FakeEngine* engine = m_engines.back().get();
      aConfigure(*engine);
      m_site.AddUpstream(id,
                         "engines",
                         [engine](const HttpRequest& aRequest,
                                  const ForwardSite::Writer& aWriter) {
                           engine->Handle(aRequest, aWriter);
                         });
    }
    m_call = m_site.Start("/stream/x", kLongOutput);
    m_site.RunUntil([&] {
      return m_engines[0]->m_generationsStarted +
               m_engines[1]->m_generationsStarted >
             0;
    });
    m_first = m_engines[0]->m_generationsStarted > 0 ? 0 : 1;
  }

  /// The engine that the generation was placed on, and the other engine.
  FakeEngine& First() { return *m_engines[m_first]; }
  FakeEngine& Second() { return *m_engines[1 - m_first]; }
  void Finish()
  {
    m_site.RunUntil([&] { return m_call->m_isDone; });
    CHECK(m_site.Gateway().OpenRequests() == 0);
  }

  ForwardSite m_site;
  std::shared_ptr<ForwardSite::Call> m_call;

private:
  std::vector<std::unique_ptr<FakeEngine>> m_engines;
  size_t m_first = 0;
};

} // namespace persimmontally

#endif
