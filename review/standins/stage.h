// Servers, operator and clients that follow the users' pages.
#pragma once
#include "kit.h"

#include <memory>
#include <set>

/// What one server did for one request.
struct Run
{
  std::string m_request, m_server;
  double m_from = 0, m_to = 0;
  bool m_isResumed = false;
};

struct Copy
{
  std::string m_holder; // address
  int m_events = 0;
};

struct World
{
  std::mutex m_lock;
  std::vector<Run> m_runs;
  std::set<std::string> m_begun;         // ids of requests
  std::map<std::string, Copy> m_backups; // by id of the request
  std::atomic<bool> m_isEnding{ false };
};

/// A server of a service: announces itself and runs requests.
class Server
{
public:
  World& m_world;
  Site& m_site;
  std::string m_id, m_service, m_zone;
  Address m_address;
  int m_slots = 24;
  int64_t m_born = UnixMs();
  std::atomic<int> m_sequence{ 0 };
  std::atomic<bool> m_isDraining{ false }, m_isGone{ false };
  /// Time of one event of a stream, in seconds.
  double m_eventTime = 0.04;
  double m_plainTime = 0.015;
  /// Time in which the prompt is read, in seconds.
  double m_prefillTime = 0.2;
  /// Goes on with a stream whose connection has been closed.
  bool m_isStubborn = false;
  std::atomic<int> m_requests{ 0 };
  /// Fails this share of its requests, while its health check is good.
  std::atomic<double> m_failing{ 0 };

  Server(World& aWorld,
         Site& aSite,
         std::string aId,
         std::string aService,
         std::string aZone,
         std::string aIp)
    : m_world(aWorld)
    , m_site(aSite)
    , m_id(std::move(aId))
    , m_service(std::move(aService))
    , m_zone(std::move(aZone))
    , m_address{ aIp, FreePort({ aIp }) }
  {
  }
  bool IsEnded() const { return m_isGone || m_world.m_isEnding; }

  void Start()
  {
    m_listener = Listen(m_address);
    std::thread([this] { Accept(); }).detach();
    std::thread([this] {
      while (!IsEnded()) {
        Announce();
        Sleep(1.2);
      }
    }).detach();
    Record("server %s of %s at %s", m_id.c_str(), m_service.c_str(),
           m_address.Text().c_str());
  }
  bool Announce()
  {
    std::string body = Format(
      R"({"service":"%s","addr":"%s","zone":"%s","version":"v1","slots":%d,)"
      R"("state":"%s","cold-left-ms":0,"stage":"mixed",)"
      R"("models":[{"name":"m","version":1,"adapters":[]}],"seq":%d,"born":%lld})",
      m_service.c_str(), m_address.Text().c_str(), m_zone.c_str(), m_slots,
      m_isDraining ? "draining" : "ready", ++m_sequence,
      static_cast<long long>(m_born));
    return m_site.Order("PUT", "/persimmontally/instances/" + m_id, body, 5);
  }
  void Drain()
  {
    m_isDraining = true;
    bool ok = Announce();
    Record("server %s: draining, acknowledged: %s", m_id.c_str(),
           ok ? "yes" : "no");
  }
  /// Ends as a process does: the connections are reset.
  void End()
  {
    m_isGone = true;
    Record("server %s: ends", m_id.c_str());
    std::lock_guard guard(m_fdLock);
    close(m_listener);
    for (int fd : m_fds) {
      linger hard{ 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      shutdown(fd, SHUT_RDWR);
    }
  }

private:
  void Accept()
  {
    while (!IsEnded()) {
      pollfd item{ m_listener, POLLIN, 0 };
      if (poll(&item, 1, 100) <= 0) {
        continue;
      }
      int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::lock_guard guard(m_fdLock);
        m_fds.insert(fd);
      }
      std::thread([this, fd] {
        Serve(fd);
        std::lock_guard guard(m_fdLock);
        m_fds.erase(fd);
        close(fd);
      }).detach();
    }
  }
  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (!IsEnded() && reader.Read(request, Now() + 10)) {
      bool keeps = request.Header("connection") != "close";
      if (!Answer(aFd, request) || !keeps) {
        return;
      }
    }
  }
  static bool Reply(int aFd,
                    int aStatus,
                    const std::string& aHeaders,
                    const std::string& aBody)
  {
    return SendAll(aFd,
                   Format("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n", aStatus,
                          aBody.size()) +
                     aHeaders + "\r\n" + aBody);
  }
  static bool IsClosed(int aFd)
  {
    char byte;
    ssize_t got = recv(aFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 ||
           (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  bool Answer(int aFd, const Message& aRequest)
  {
    std::string path = aRequest.m_start.substr(aRequest.m_start.find(' ') + 1);
    path = path.substr(0, path.find(' '));
    if (path == "/health") {
      return Reply(aFd, m_isDraining ? 503 : 200,
                   "Instance-Id: " + m_id + "\r\n", "");
    }
    if (path.rfind("/persimmontally/kv-move", 0) == 0) {
      return Reply(aFd, 503, "", "{}");
    }
    if (path.rfind("/persimmontally/", 0) == 0) {
      return Reply(aFd, 200, "Content-Type: application/json\r\n", "{}");
    }
    std::string id = aRequest.Header("request-id");
    std::string own = "Request-Id: " + id + "\r\n";
    std::string expected = aRequest.Header("expect-instance");
    if (!expected.empty() && expected != m_id) {
      return Reply(aFd, 421, own + "Not-Run: 1\r\n", "");
    }
    ++m_requests;
    {
      std::lock_guard guard(m_world.m_lock);
      m_world.m_begun.insert(id);
    }
    std::string stamp = "Server-Stamp: " + m_id + "." + id + "\r\n";
    if (std::rand() / (RAND_MAX + 1.0) < m_failing) {
      Run run{ id, m_id, Now(), Now(), !aRequest.Header("kv-from").empty() };
      Add(run);
      Record("server %s: %s %s fails with 500", m_id.c_str(),
             run.m_isResumed ? "resumed" : "new", id.c_str());
      return Reply(aFd, 500, own + stamp, "failed");
    }
    std::string tokens = aRequest.Header("token-count");
    if (tokens.empty()) {
      Run run{ id, m_id, Now(), 0, false };
      Sleep(m_plainTime);
      run.m_to = Now();
      Add(run);
      return Reply(aFd, 200, own + stamp, std::string(800, 'a'));
    }
    int events = std::atoi(tokens.substr(tokens.find(',') + 1).c_str()) / 4;
    int done = std::atoi(aRequest.Header("last-event-id").c_str());
    bool isResumed = !aRequest.Header("kv-from").empty();
    if (isResumed) {
      std::lock_guard guard(m_world.m_lock);
      auto at = m_world.m_backups.find(id);
      if (at == m_world.m_backups.end() ||
          at->second.m_holder != m_address.Text()) {
        return Reply(aFd, 503, own + "Not-Run: 1\r\n", "");
      }
    }
    std::string backup = aRequest.Header("kv-backup");
    if (!backup.empty()) {
      std::lock_guard guard(m_world.m_lock);
      m_world.m_backups[id] = { backup, 0 };
    }
    return Stream(aFd, id, own + stamp, isResumed ? done : 0, events,
                  isResumed);
  }
  bool Stream(int aFd,
              const std::string& aId,
              const std::string& aHeaders,
              int aDone,
              int aEvents,
              bool aIsResumed)
  {
    Run run{ aId, m_id, Now(), 0, aIsResumed };
    Record("server %s: %s %s after event %d of %d", m_id.c_str(),
           aIsResumed ? "goes on with" : "begins", aId.c_str(), aDone, aEvents);
    if (!aIsResumed) {
      Sleep(m_prefillTime); // a response begins with the first token
    }
    bool isOpen =
      SendAll(aFd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                   "Content-Type: text/event-stream\r\nWeights-Version: 1\r\n" +
                     aHeaders + "\r\n");
    bool wasOpen = true;
    int event = aDone;
    while (event < aEvents && !IsEnded()) {
      Sleep(m_eventTime);
      isOpen = isOpen && !IsClosed(aFd);
      if (!isOpen && std::exchange(wasOpen, false)) {
        Record("server %s: connection of %s is closed at event %d%s",
               m_id.c_str(), aId.c_str(), event,
               m_isStubborn ? ", goes on" : "");
      }
      if (!isOpen && !m_isStubborn) {
        break;
      }
      ++event;
      if (isOpen) {
        std::string text = Format("id: %d\ndata: %s\n\n", event,
                                  std::string(300, 'a' + event % 26).c_str());
        isOpen = SendAll(aFd, Format("%zx\r\n", text.size()) + text + "\r\n");
      }
    }
    bool isWhole = event >= aEvents;
    if (isOpen && isWhole) {
      SendAll(aFd, "0\r\n\r\n");
    }
    run.m_to = Now();
    Add(run);
    Record("server %s: %s %s at event %d", m_id.c_str(),
           isWhole ? "ends" : "stops", aId.c_str(), event);
    return isOpen && isWhole;
  }
  void Add(const Run& aRun)
  {
    std::lock_guard guard(m_world.m_lock);
    m_world.m_runs.push_back(aRun);
  }
  int m_listener = -1;
  std::mutex m_fdLock;
  std::set<int> m_fds;
};

/// A configuration like that of a small deployment: one route of streams, one
/// of requests that run at most once, one of requests that may be repeated.
inline std::string Config(int aVersion)
{
  return Format(
    R"({"version":%d,"routes":[)"
    R"({"name":"r-1","host":"ficu95.example","path-prefix":"/boletin/","kind":"stream","timeout-ms":39000,"slo-ms":4000,"priority":2,"service":"redaccion","attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":180},)"
    R"({"name":"r-2","host":"ficu95.example","path-prefix":"/pedido/","kind":"unsafe","timeout-ms":2500,"slo-ms":150,"priority":2,"service":"ordenes","attempts":1,"public":false,"sticky":false},)"
    R"({"name":"r-3","host":"ficu95.example","path-prefix":"/estado/","kind":"safe","timeout-ms":2500,"slo-ms":150,"priority":2,"service":"ordenes","attempts":2,"public":false,"sticky":false}],)"
    R"("services":[{"name":"redaccion","health-path":"/health","max-conns":222,"protocol":"h1","tls":false,"engine":{"slots":24,"kv-tokens":34285,"kv-token-bytes":35136,"link-mbps":5100.0,"moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}},)"
    R"({"name":"ordenes","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
    R"("tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})",
    aVersion);
}

inline std::string RequestText(const std::string& aPath,
                               const std::string& aId,
                               const std::string& aHeaders,
                               const std::string& aBody)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " +
         aId + "\r\nX-Api-Key: xd9dnn2ctnfzs989anu6\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}
inline std::string StreamHeaders(int aPrompt, int aOut, const std::string& aId)
{
  return Format("Model: m\r\nToken-Count: %d,%d\r\nLength-Hint: %d\r\n"
                "Prefix-Hash: 5c1e07a2:79,%s:%d\r\nDeadline-Ms: 39000\r\n",
                aPrompt, aOut, aOut, aId.c_str(), aPrompt - 79);
}
