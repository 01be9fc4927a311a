// A model server as the users' pages describe it: announces itself, streams
// events with ids from 1 on, and moves the memory of its runs.

#ifndef REVIEW_STANDINS2_ENGINE_H
#define REVIEW_STANDINS2_ENGINE_H

#include "Site.h"

namespace review {

struct EngineOptions
{
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::string m_ip;
  int m_port = 9000;
  int m_slots = 24;
  /// Events of each run, and the time between two of them.
  int m_events = 200;
  double m_period = 0.04;
  /// Time from the arrival of a request to its first event.
  double m_prefill = 0.3;
  /// How long a first and a last move of memory take, with the moves that are
  /// queued on the links before them.
  double m_firstMove = 0.3;
  double m_lastMove = 0.1;
  /// Event after which it sends bytes that are no part of a response, as long
  /// as `Fabric` has some left.
  int m_garbageAfter = 40;
  /// Whether its streams have neither a length nor chunks.
  bool m_isUnframed = false;
  /// How long it works on a request whose connection has been closed.
  double m_linger = 0;
};

class Engine;

/// Where engines find each other's copies, as over their links.
struct Fabric
{
  std::mutex m_mutex;
  /// Handle to the events that are made, for copies at a target.
  std::map<std::string, int> m_copies;
  /// How often an engine still sends bytes that are no part of a response.
  std::atomic<int> m_garbageLeft = 0;
};

class Engine
{
public:
  Engine(Record& aRecord, Fabric& aFabric, EngineOptions aOptions)
    : m_record(aRecord)
    , m_fabric(aFabric)
    , m_options(std::move(aOptions))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count())
    , m_server(m_options.m_ip,
               m_options.m_port,
               [this](Socket& aSocket, const Message& aRequest) {
                 return Handle(aSocket, aRequest);
               })
  {
  }
  ~Engine() { End(); }

  const std::string& Id() const { return m_options.m_id; }
  std::string Address() const
  {
    return m_options.m_ip + ":" + std::to_string(m_options.m_port);
  }
  bool IsOpen() const { return m_server.IsOpen(); }
  /// Called as a request reaches the engine.
  std::function<void(const Message&)> m_onRequest;
  /// Called with the target as a move is asked for.
  std::function<void(const std::string&)> m_onMove;

  /// Announces itself to one of the nodes every 1.2 s until it ends.
  void Announce(std::vector<std::string> aControls)
  {
    m_controls = std::move(aControls);
    m_announcer = std::thread([this] {
      while (!m_hasEnded) {
        Beat();
        for (int i = 0; i < 120 && !m_hasEnded; ++i) {
          Sleep(0.01);
        }
      }
    });
  }

  /// Reports `draining`; returns when that was acknowledged, or 0.
  double Drain()
  {
    m_state = "draining";
    for (int i = 0; i < 20; ++i) {
      if (Beat()) {
        m_drainedAt = m_record.Now();
        m_record.Line("server " + Id() + ": draining is acknowledged");
        return m_drainedAt;
      }
    }
    return 0;
  }
  double DrainedAt() const { return m_drainedAt; }
  /// Until when it has worked on a request; 0 if it has not, and a time far
  /// ahead while it does.
  double WorkedUntil(const std::string& aRequest)
  {
    std::lock_guard lock(m_runsMutex);
    auto at = m_workedUntil.find(aRequest);
    return at == m_workedUntil.end() ? 0 : at->second;
  }

  /// Withdraws itself and ends, with all that it runs.
  void Leave()
  {
    for (size_t i = 0; i < 4 * m_controls.size(); ++i) {
      if (Call(m_controls[i % m_controls.size()],
               kControlPort,
               "DELETE",
               "/persimmontally/instances/" + Id(),
               {},
               "",
               1.0)
            .Status() /
            100 ==
          2) {
        break;
      }
    }
    m_record.Line("server " + Id() + ": exits");
    End();
  }

  void End()
  {
    m_hasEnded = true;
    m_server.Stop();
    if (m_announcer.joinable()) {
      m_announcer.join();
    }
  }

private:
  struct Run
  {
    std::atomic<int> m_made = 0;
    std::atomic<bool> m_isStopped = false;
    std::atomic<bool> m_isMoving = false;
    std::string m_handle;
  };

  bool Beat()
  {
    std::lock_guard lock(m_beatMutex);
    std::string body =
      "{\"service\":\"" + m_options.m_service + "\",\"addr\":\"" + Address() +
      "\",\"zone\":\"" + m_options.m_zone +
      "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.m_slots) +
      ",\"state\":\"" + m_state +
      "\",\"cold-left-ms\":0,\"stage\":\"mixed\",\"models\":[{\"name\":\"m\","
      "\"version\":1,\"adapters\":[]}],\"seq\":" +
      std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) +
      "}";
    std::string node = m_controls[m_nextControl % m_controls.size()];
    bool isAcknowledged = Call(node,
                               kControlPort,
                               "PUT",
                               "/persimmontally/instances/" + Id(),
                               { { "Content-Type", "application/json" } },
                               body,
                               1.0)
                              .Status() /
                            100 ==
                          2;
    m_nextControl += isAcknowledged ? 0 : 1;
    return isAcknowledged;
  }

  static bool Answer(Socket& aSocket,
                     int aStatus,
                     const Headers& aHeaders,
                     const std::string& aBody)
  {
    std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " x\r\n";
    for (const auto& [name, value] : aHeaders) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    return aSocket.Write(text + aBody);
  }

  bool Handle(Socket& aSocket, const Message& aRequest)
  {
    std::istringstream first(aRequest.m_first);
    std::string method;
    std::string path;
    first >> method >> path;
    if (path == "/health") {
      return Answer(aSocket,
                    m_state == "ready" ? 200 : 503,
                    { { "Instance-Id", Id() } },
                    "");
    }
    if (path == "/persimmontally/kv-move") {
      return Move(aSocket, aRequest);
    }
    if (path.starts_with("/persimmontally/kv-handle/")) {
      std::lock_guard lock(m_fabric.m_mutex);
      m_fabric.m_copies.erase(path.substr(path.rfind('/') + 1));
      return Answer(aSocket, 200, {}, "");
    }
    if (path.starts_with("/persimmontally/")) {
      return Answer(aSocket, 404, {}, "");
    }
    return Stream(aSocket, aRequest);
  }

  bool Stream(Socket& aSocket, const Message& aRequest)
  {
    std::string request = Find(aRequest.m_headers, "Request-Id");
    std::string from = Find(aRequest.m_headers, "Kv-From");
    std::string last = Find(aRequest.m_headers, "Last-Event-Id");
    std::string expected = Find(aRequest.m_headers, "Expect-Instance");
    m_record.Line("server " + Id() + ": request " + request + " reaches it" +
                  (from.empty() ? "" : ", Kv-From " + from) +
                  (last.empty() ? "" : ", Last-Event-Id " + last));
    if (m_onRequest) {
      m_onRequest(aRequest);
    }
    Headers own = { { "Request-Id", request } };
    if (!expected.empty() && expected != Id()) {
      own.emplace_back("Not-Run", "1");
      return Answer(aSocket, 421, own, "");
    }
    int begin = 0;
    if (!from.empty()) {
      std::string handle = from.substr(from.find('/') + 1);
      std::lock_guard lock(m_fabric.m_mutex);
      if (m_fabric.m_copies.erase(handle) == 0) {
        own.emplace_back("Not-Run", "1");
        return Answer(aSocket, 503, own, "");
      }
      begin = std::atoi(last.c_str());
    } else {
      Sleep(m_options.m_prefill);
    }
    auto run = std::make_shared<Run>();
    run->m_made = begin;
    {
      std::lock_guard lock(m_runsMutex);
      m_runs[request] = run;
      m_workedUntil[request] = 1e9;
    }
    std::string backup = Find(aRequest.m_headers, "Kv-Backup");
    if (!backup.empty()) {
      m_record.Line("server " + Id() + ": keeps a backup of " + request +
                    " at " + backup);
      std::lock_guard lock(m_fabric.m_mutex);
      m_fabric.m_copies[request] = 0;
    }
    std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: " + request +
                       "\r\nServer-Stamp: stamp." + Id() +
                       "\r\nWeights-Version: 1\r\nContent-Type: "
                       "text/event-stream\r\nConnection: close\r\n";
    text += m_options.m_isUnframed ? "\r\n"
                                   : "Transfer-Encoding: chunked\r\n\r\n";
    bool isSent = aSocket.Write(text);
    auto next = Clock::now();
    double closedAt = 0;
    for (int id = begin + 1; id <= m_options.m_events; ++id) {
      next += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(m_options.m_period));
      std::this_thread::sleep_until(next);
      if (run->m_isStopped || m_hasEnded) {
        isSent = false;
        break;
      }
      if (!isSent) {
        // It has lost its connection.
        closedAt = closedAt == 0 ? m_record.Now() : closedAt;
        if (m_record.Now() > closedAt + m_options.m_linger) {
          break;
        }
        run->m_made = id;
        continue;
      }
      if (id - 1 == m_options.m_garbageAfter &&
          m_fabric.m_garbageLeft.fetch_sub(1) > 0) {
        m_record.Line("server " + Id() + ": sends bytes that are no response "
                      "after event " + std::to_string(id - 1));
        isSent = aSocket.Write("\x01#?!~ \x02\r\n") && !IsClosed(aSocket);
        run->m_made = id;
        continue;
      }
      std::string event =
        "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      isSent = aSocket.Write(m_options.m_isUnframed ? event
                                                    : size + event + "\r\n");
      run->m_made = id;
    }
    if (isSent && !m_options.m_isUnframed) {
      aSocket.Write("0\r\n\r\n");
    }
    m_record.Line("server " + Id() + ": its run of " + request +
                  (run->m_isStopped ? " is stopped for a move"
                   : isSent         ? " is complete"
                                    : " is broken off") +
                  " after event " + std::to_string(run->m_made));
    if (isSent && !backup.empty()) {
      std::lock_guard lock(m_fabric.m_mutex);
      m_fabric.m_copies.erase(request);
    }
    std::lock_guard lock(m_runsMutex);
    m_workedUntil[request] = m_record.Now();
    if (!run->m_isStopped) {
      m_runs.erase(request);
    }
    return false;
  }

  /// Whether the peer closes the connection within 0.1 s.
  static bool IsClosed(Socket& aSocket)
  {
    std::string ignored;
    int got = aSocket.ReadSome(ignored, 0.1);
    return got == 0 || got == -1;
  }

  static std::string Field(const std::string& aJson, const std::string& aName)
  {
    size_t at = aJson.find("\"" + aName + "\":\"");
    if (at == std::string::npos) {
      return "";
    }
    at += aName.size() + 4;
    return aJson.substr(at, aJson.find('"', at) - at);
  }

  bool Move(Socket& aSocket, const Message& aRequest)
  {
    std::string id = Field(aRequest.m_body, "id");
    std::string target = Field(aRequest.m_body, "target");
    bool isLast = aRequest.m_body.find("\"last\"") != std::string::npos;
    m_record.Line("server " + Id() + ": is asked to move " + id + " to " +
                  target + (isLast ? ", last part" : ""));
    if (m_onMove) {
      m_onMove(target);
    }
    std::shared_ptr<Run> run;
    {
      std::lock_guard lock(m_runsMutex);
      auto at = m_runs.find(id);
      if (at != m_runs.end()) {
        run = at->second;
      }
    }
    if (!run) {
      return Answer(aSocket, 404, {}, "{}");
    }
    if (run->m_isMoving.exchange(true)) {
      return Answer(aSocket, 409, {}, "{}");
    }
    if (run->m_handle.empty()) {
      run->m_handle = "h" + std::to_string(m_nextHandle++) + "-" + Id();
    }
    run->m_isStopped = run->m_isStopped || isLast;
    Sleep(isLast ? m_options.m_lastMove : m_options.m_firstMove);
    run->m_isMoving = false;
    if (m_hasEnded) {
      return false;
    }
    {
      std::lock_guard lock(m_fabric.m_mutex);
      m_fabric.m_copies[run->m_handle] = run->m_made;
    }
    return Answer(aSocket,
                  200,
                  { { "Content-Type", "application/json" } },
                  "{\"handle\":\"" + run->m_handle +
                    "\",\"made\":" + std::to_string(run->m_made) + "}");
  }

  Record& m_record;
  Fabric& m_fabric;
  EngineOptions m_options;
  int64_t m_born;
  std::atomic<bool> m_hasEnded = false;
  std::string m_state = "ready";
  std::atomic<double> m_drainedAt = 0;
  std::vector<std::string> m_controls;
  size_t m_nextControl = 0;
  int m_sequence = 0;
  std::mutex m_beatMutex;
  std::mutex m_runsMutex;
  std::map<std::string, std::shared_ptr<Run>> m_runs;
  std::map<std::string, double> m_workedUntil;
  std::atomic<int> m_nextHandle = 1;
  Server m_server;
  std::thread m_announcer;
};

} // namespace review

#endif
