#ifndef PERSIMMONTALLY_UNITTESTS_PROXY_TESTSITE_H
#define PERSIMMONTALLY_UNITTESTS_PROXY_TESTSITE_H

#include "persimmontally/Daemon/EntryHost.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmontally {

/// Upstream whose answers a test writes by hand.
class FakeUpstream
{
public:
  using Handler =
    std::function<void(const HttpRequest&, std::shared_ptr<ResponseWriter>)>;

  FakeUpstream(EventLoop& aLoop, Handler aHandler);

  Endpoint Listen(const std::string& aAddress);
  /// Requests seen, by method and path.
  int Count(const std::string& aMethodAndPath) const;

private:
  std::map<std::string, int> m_counts;
  HttpServer m_server;
};

/// Entry hosts in one process on loopback, with lists in force.
class TestSite
{
public:
  explicit TestSite(size_t aHosts = 1);
  ~TestSite();

  /// Runs the loop until a condition holds; fails the test after a minute.
  void RunUntil(const std::function<bool()>& aCondition);
  void RunFor(Duration aLength);

  HttpResponse Call(HttpRequest aRequest, size_t aHost = 0);
  /// Starts a call and returns where its answer will be.
  struct PendingCall
  {
    bool m_isDone = false;
    absl::Status m_status;
    HttpResponse m_response;
    std::shared_ptr<HttpCall> m_call;
  };
  std::shared_ptr<PendingCall> Start(HttpRequest aRequest, size_t aHost = 0);

  /// Announces an upstream and waits until every host knows it.
  void Announce(const std::string& aId,
                const Endpoint& aEndpoint,
                const std::string& aService = "");
  void PutList(const std::string& aList, const std::string& aJson);

  EventLoop& Loop() { return m_loop; }
  EntryHost& Host(size_t aHost) { return *m_hosts[aHost]; }
  Endpoint HostEndpoint(size_t aHost) const;
  const std::string& Net() const { return m_net; }

private:
  Settings MakeSettings(size_t aHost, size_t aCount) const;

  EventLoop m_loop;
  std::string m_net;
  std::string m_folder;
  std::vector<std::unique_ptr<EntryHost>> m_hosts;
  uint64_t m_nextSequence = 1;
};

/// Request of the test account `small`.
HttpRequest CompletionOf(const std::string& aBody);
HttpRequest OrderOf(const std::string& aKey, const std::string& aBody);

/// Value at a JSON pointer as text, or empty.
std::string JsonAt(const std::string& aJson, const std::string& aPointer);

/// Server-sent event of one token, as an engine sends it.
std::string TokenEvent(int aIndex, const std::string& aText);
/// The last events of a generation.
std::string EndEvents(int aIndex);

} // namespace persimmontally

#endif
