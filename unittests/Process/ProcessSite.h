#ifndef PERSIMMONTALLY_UNITTESTS_PROCESS_PROCESSSITE_H
#define PERSIMMONTALLY_UNITTESTS_PROCESS_PROCESSSITE_H

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace persimmontally {

/// A daemon of a `ProcessSite`.
struct DaemonProcess
{
  std::string m_name;
  std::string m_address;
  bool m_isControl = false;
  /// Settings to use instead of those of `deploy/`.
  std::string m_settings = {};
  pid_t m_pid = -1;
  bool m_hasEnded = false;
  /// Wait status of the process, once it has ended.
  int m_status = 0;
};

/// How a `ProcessSite` is made up. Answers take a random time of up to
/// `m_longestAnswer`.
struct ProcessSiteOptions
{
  int m_engines = 1;
  int m_slots = 24;
  Duration m_longestAnswer = milliseconds(500);
  /// Size of the responses of the plain service.
  size_t m_plainBytes = 4;
  /// Whether the plain service answers with bytes without end, and whether
  /// these responses look genuine.
  bool m_isPlainEndless = false;
  bool m_isPlainGenuine = true;
  /// Time between SIGTERM and SIGKILL, as the settings state it.
  int m_graceSeconds = 8;
  /// Limits of a host's machine, as the platform states them, in MB and in
  /// descriptors.
  int m_memoryMb = 110;
  int m_descriptors = 4100;
  int m_maxBodyBytes = 4194304;
  /// Whether processes are run by the line in `deploy/`, which has the values
  /// that a platform may lack, or with a settings file alone.
  bool m_hasRunLine = true;
};

/// What a caller saw of one request, and what became of it at the upstreams.
struct ProcessRequest
{
  std::string m_id;
  Instant m_sentAt;
  Instant m_endedAt;
  /// Whether an upstream has begun to run it, and when it ended there.
  bool m_isPassedOn = false;
  std::optional<Instant> m_ranUntil;
  bool m_isDone = false;
  bool m_isComplete = false;
  int m_status = 0;
  /// Body of the response to an operator's request.
  std::string m_body;
};

/// Three control and three entry hosts as real processes on the loopback
/// interface, with the settings of `deploy/`; upstreams and callers run in the
/// process of the test.
class ProcessSite
{
public:
  explicit ProcessSite(ProcessSiteOptions aOptions);
  ~ProcessSite();
  ProcessSite(const ProcessSite&) = delete;
  ProcessSite& operator=(const ProcessSite&) = delete;

  /// Starts all hosts, stores a catalog and waits until all entry hosts are
  /// ready.
  void Start();
  DaemonProcess& Entry(int aNumber) { return m_entries[aNumber]; }
  DaemonProcess& Control(int aNumber) { return m_controls[aNumber]; }
  /// Starts a host with the completions API and waits until it answers.
  void StartCompletions();
  DaemonProcess& Completions() { return m_completions; }
  /// Sends a request that a host with the completions API always answers.
  std::shared_ptr<ProcessRequest> AskCompletions();
  /// Starts a process. Its standard output goes to `aOutput`, by default a
  /// file.
  void StartProcess(DaemonProcess& aProcess, int aOutput = -1);
  /// Writes the settings file of a process and returns its path.
  std::string WriteSettings(const DaemonProcess& aProcess) const;
  static void Signal(const DaemonProcess& aProcess, int aSignal);
  /// Starts callers that each send one request after another to an entry host,
  /// on a kept connection, until `StopCallers`.
  void StartCallers(int aCount, const std::string& aPath, int aEntry);
  void StopCallers() { m_areCallersStopped = true; }
  const std::vector<std::shared_ptr<ProcessRequest>>& Requests() const
  {
    return m_requests;
  }
  /// Sends an operator's request to a control host.
  std::shared_ptr<ProcessRequest> SendOrder(const std::string& aMethod,
                                            const std::string& aTarget,
                                            const std::string& aBody,
                                            int aControl);
  static std::string Catalog(int aVersion, int aMaxBodyBytes = 4194304);
  /// Runs the event loop until a condition holds. Fails the test after
  /// `aLimit`.
  void RunUntil(const std::function<bool()>& aCondition,
                Duration aLimit = seconds(30));
  void RunFor(Duration aTime);
  EventLoop& Loop() { return m_loop; }
  /// Returns a request to a route as text, with an id of its own.
  std::string RequestText(const std::string& aPath);
  Endpoint CallersOf(const DaemonProcess& aProcess) const;
  /// Returns the largest resident size that a running process has had, in MB.
  static double PeakMemoryMb(const DaemonProcess& aProcess);
  static int OpenDescriptors(const DaemonProcess& aProcess);
  /// Returns what a process has written to its standard output.
  std::string LogOf(const DaemonProcess& aProcess) const;

private:
  struct Upstream
  {
    std::string m_id;
    std::string m_service;
    Endpoint m_endpoint;
    std::unique_ptr<HttpServer> m_server;
    int m_running = 0;
    int m_sequence = 0;
  };
  struct Caller
  {
    std::string m_path;
    int m_entry;
    std::unique_ptr<HttpConnectionPool> m_connections;
    Timer m_pause;
  };
  using Writer = std::shared_ptr<ResponseWriter>;

  std::vector<std::string> RunWords(const std::string& aSettings,
                                    bool aIsControl) const;
  void AddUpstream(const std::string& aId, const std::string& aService);
  void Announce(Upstream& aUpstream);
  void Serve(Upstream& aUpstream,
             const HttpRequest& aRequest,
             const Writer& aWriter);
  static void SendWithoutEnd(const Writer& aWriter);
  void StreamEvents(Upstream& aUpstream,
                    const std::string& aId,
                    const Writer& aWriter,
                    int aNext,
                    int aLast);
  void EndRun(Upstream& aUpstream, const std::string& aId);
  void SendNext(Caller& aCaller);
  std::vector<DaemonProcess*> Processes();
  std::shared_ptr<ProcessRequest> Ask(const Endpoint& aTo,
                                      const std::string& aMethod,
                                      const std::string& aTarget,
                                      const std::string& aBody);
  void ReapProcesses();
  std::shared_ptr<ProcessRequest> Find(const std::string& aId) const;

  ProcessSiteOptions m_options;
  EventLoop m_loop;
  std::string m_folder;
  std::string m_network;
  std::vector<DaemonProcess> m_entries;
  std::vector<DaemonProcess> m_controls;
  DaemonProcess m_completions;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::vector<std::shared_ptr<ProcessRequest>> m_requests;
  std::map<std::string, std::shared_ptr<ProcessRequest>> m_requestsById;
  bool m_areCallersStopped = false;
  int m_nextRequest = 1;
  int m_nextOrder = 0;
  Timer m_reaper;
  Timer m_announcer;
};

} // namespace persimmontally

#endif
