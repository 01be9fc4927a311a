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

/// Upstream whose responses are given by a test. Responds to `/healthz` itself.
class FakeUpstream
{
public:
  using Handler =
    std::function<void(const HttpRequest&, std::shared_ptr<ResponseWriter>)>;

  FakeUpstream(EventLoop& aLoop, Handler aHandler);

  Endpoint Listen(const std::string& aAddress);
  /// Returns the number of requests received with this method and path, such as
  /// `POST /v1/completions`.
  int Count(const std::string& aMethodAndPath) const;

private:
  std::map<std::string, int> m_counts;
  HttpServer m_server;
};

/// Entry hosts in one process on loopback, with lists of plans and accounts in
/// force.
class TestSite
{
public:
  explicit TestSite(size_t aHosts = 1);
  ~TestSite();

  /// Runs the event loop until a condition holds. Fails the test after 60 s.
  void RunUntil(const std::function<bool()>& aCondition);
  void RunFor(Duration aLength);

  /// Sends a request and waits for its response. The status is 0 if the call
  /// failed without a body.
  HttpResponse Call(HttpRequest aRequest, size_t aHost = 0);
  /// A started call and, once it is done, its result.
  struct PendingCall
  {
    bool m_isDone = false;
    absl::Status m_status;
    HttpResponse m_response;
    std::shared_ptr<HttpCall> m_call;
  };
  /// Starts a call without waiting for its response.
  std::shared_ptr<PendingCall> Start(HttpRequest aRequest, size_t aHost = 0);

  /// Announces an upstream to each host: an engine, or a service if one is
  /// named.
  void Announce(const std::string& aId,
                const Endpoint& aEndpoint,
                const std::string& aService = "",
                uint64_t aIncarnation = 1);
  /// Stores the first version of a list and waits until it is in force on each
  /// host.
  void PutList(const std::string& aList, const std::string& aJson);

  EventLoop& Loop() { return m_loop; }
  EntryHost& Host(size_t aHost) { return *m_hosts[aHost]; }
  Endpoint HostEndpoint(size_t aHost) const;
  /// First three bytes of the loopback addresses of this process, such as
  /// `127.20.1`.
  const std::string& AddressPrefix() const { return m_addressPrefix; }

private:
  Settings MakeSettings(size_t aHost, size_t aCount) const;

  EventLoop m_loop;
  std::string m_addressPrefix;
  std::string m_folder;
  std::vector<std::unique_ptr<EntryHost>> m_hosts;
  uint64_t m_nextSequence = 1;
};

/// Returns a completions request of the test account `small`.
HttpRequest CompletionRequestOf(const std::string& aBody);
/// Returns a non-repeatable call of the service `orders`. The key may be empty.
HttpRequest OrderRequestOf(const std::string& aKey, const std::string& aBody);

/// Returns the value at a JSON pointer as text, or an empty string.
std::string JsonAt(const std::string& aJson, const std::string& aPointer);

/// Returns the server-sent event of one token, as an engine sends it.
std::string TokenEvent(int aIndex, const std::string& aText);
/// Returns the last events of a generation: the finish reason and `[DONE]`.
std::string EndEvents(int aIndex);

} // namespace persimmontally

#endif
