// A stand-in for a server of the platform: a model server, which streams events
// and keeps backups of runs for others, or a plain service.
#include "Kit.h"

#include <set>

using namespace kit;

struct Options
{
  std::string m_id;
  std::string m_ip;
  std::string m_service;
  std::string m_zone;
  std::vector<std::string> m_cores;
  int m_slots = 24;
  /// Pause between two events, or the time that a plain request takes.
  double m_gap = 0.03;
  /// Whether answers have neither a length nor chunks.
  bool m_isUnframed = false;
  /// Whether a run goes on when its connection has been closed.
  bool m_goesOn = false;
  /// Of how many runs one loses its answer, 0 for none, and after which event.
  int m_loseOneOf = 0;
  int m_loseAfter = 30;
  /// Bytes of the answer to a plain request.
  size_t m_bytes = 800;
};

static Options s_options;
static std::unique_ptr<Record> s_record;
static std::mutex s_lock;
/// Events of other servers' runs of which this one keeps the memory.
static std::map<std::string, int> s_backups;
static double s_bornAt = 0;
static std::atomic<int> s_runs{ 0 };
/// Whether the server is cut off from the cores; SIGUSR1 changes it.
static volatile sig_atomic_t s_isCutOff = 0;
/// Whether the server has been told that it will be gone; SIGUSR2 tells it.
static volatile sig_atomic_t s_isLeaving = 0;

/// A run whose memory can be copied to another server.
struct Run
{
  int m_made = 0;
  /// Whether the last part of a copy has stopped it.
  bool m_isStopped = false;
  int m_copies = 0;
};
static std::map<std::string, std::shared_ptr<Run>> s_runsById;
/// Handles of copies that lie here, and of runs that were stopped here.
static std::set<std::string> s_handles;

static std::string EventText(const std::string& aId, int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: " + aId + " " +
         std::to_string(aNumber) + "\n\n";
}

static std::string Chunk(const std::string& aData)
{
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", aData.size());
  return size + aData + "\r\n";
}

static std::string PlainHead(int aStatus,
                             const std::string& aRequestId,
                             const std::string& aExtra)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nRequest-Id: " + aRequestId +
         "\r\nServer-Stamp: " + s_options.m_id + ".1\r\n" + aExtra;
}

/// Keeps the memory of a run at another server up to date.
static void SendBackup(const std::string& aTarget,
                       const std::string& aId,
                       int aEvents)
{
  size_t colon = aTarget.find(':');
  Call(aTarget.substr(0, colon),
       std::atoi(aTarget.c_str() + colon + 1),
       JsonCall("PUT", "/standin/backup/" + aId, std::to_string(aEvents)),
       0.5);
}

static void Stream(int aSocket, const Message& aRequest)
{
  std::string id = aRequest.Header("Request-Id");
  std::string counts = aRequest.Header("Token-Count");
  int most = std::atoi(counts.c_str() + counts.find(',') + 1);
  int events = (most + 3) / 4;
  int first = std::atoi(aRequest.Header("Last-Event-Id").c_str()) + 1;
  std::string from = aRequest.Header("Kv-From");
  if (!from.empty()) {
    std::lock_guard lock(s_lock);
    std::string handle = from.substr(from.find('/') + 1);
    if (s_backups.erase(id) == 0 && s_handles.erase(handle) == 0) {
      s_record->Line("server " + s_options.m_id + ": no memory of " + id);
      SendAll(aSocket,
              PlainHead(503, id, "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
      return;
    }
  }
  double until =
    Now() + std::atof(aRequest.Header("Deadline-Ms").c_str()) / 1000;
  s_record->Line("server " + s_options.m_id + ": run " + id +
                 " begins at event " + std::to_string(first) + " of " +
                 std::to_string(events) +
                 (from.empty() ? "" : ", from the memory of another server"));
  bool isHeard =
    SendAll(aSocket,
            PlainHead(200,
                      id,
                      std::string("Content-Type: text/event-stream\r\n"
                                  "Weights-Version: 1\r\n") +
                        (s_options.m_isUnframed ? "Connection: close\r\n\r\n"
                                                : "Transfer-Encoding: "
                                                  "chunked\r\n\r\n")));
  bool losesAnswer = from.empty() && s_options.m_loseOneOf > 0 &&
                     ++s_runs % s_options.m_loseOneOf == 0;
  std::string backup = aRequest.Header("Kv-Backup");
  double backedUpAt = 0;
  int number = first;
  auto run = std::make_shared<Run>();
  {
    std::lock_guard lock(s_lock);
    s_runsById[id] = run;
  }
  Sleep(0.1);
  for (; number <= events && Now() < until; ++number) {
    Sleep(s_options.m_gap);
    {
      std::lock_guard lock(s_lock);
      if (run->m_isStopped) {
        s_record->Line("server " + s_options.m_id + ": run " + id +
                       " is stopped after event " + std::to_string(number - 1));
        return;
      }
      run->m_made = number;
    }
    std::string event = EventText(id, number);
    isHeard = isHeard &&
              SendAll(aSocket, s_options.m_isUnframed ? event : Chunk(event));
    char byte = 0;
    ssize_t got = ::recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    isHeard = isHeard && got != 0 && (got > 0 || errno == EAGAIN);
    if (losesAnswer && number == s_options.m_loseAfter) {
      s_record->Line("server " + s_options.m_id + ": the answer of run " + id +
                     " is lost after event " + std::to_string(number));
      linger hard{ 1, 0 };
      ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      ::shutdown(aSocket, SHUT_RD);
      int nowhere = ::open("/dev/null", O_RDWR | O_CLOEXEC);
      ::dup2(nowhere, aSocket);
      ::close(nowhere);
      isHeard = false;
    }
    if (!isHeard && !s_options.m_goesOn && !losesAnswer) {
      s_record->Line("server " + s_options.m_id + ": run " + id +
                     " is dropped after event " + std::to_string(number));
      return;
    }
    if (number % 10 == 0) {
      s_record->Line("server " + s_options.m_id + ": run " + id +
                     " makes event " + std::to_string(number));
    }
    if (!backup.empty() && Now() > backedUpAt + 0.2) {
      backedUpAt = Now();
      std::thread(SendBackup, backup, id, number).detach();
    }
  }
  {
    std::lock_guard lock(s_lock);
    s_runsById.erase(id);
  }
  s_record->Line("server " + s_options.m_id + ": run " + id +
                 " ends after event " + std::to_string(number - 1));
  if (!s_options.m_isUnframed) {
    SendAll(aSocket, "0\r\n\r\n");
  }
}

/// Returns the text of a field of a JSON object.
static std::string JsonText(const std::string& aBody, const std::string& aName)
{
  size_t at = aBody.find("\"" + aName + "\"");
  at = at == std::string::npos ? at : aBody.find('"', aBody.find(':', at));
  return at == std::string::npos
           ? ""
           : aBody.substr(at + 1, aBody.find('"', at + 1) - at - 1);
}

/// Copies the memory of a run to another server: all of it at the first call,
/// what is new at the others.
static void MoveRun(int aSocket, const std::string& aBody)
{
  constexpr double kWhole = 0.36;
  constexpr double kRest = 0.03;
  std::string id = JsonText(aBody, "id");
  std::string target = JsonText(aBody, "target");
  bool isLast = aBody.find("\"last\":true") != std::string::npos;
  std::string handle = s_options.m_id + "." + id;
  std::shared_ptr<Run> run;
  bool isFirst = false;
  {
    std::lock_guard lock(s_lock);
    auto at = s_runsById.find(id);
    if (at != s_runsById.end()) {
      run = at->second;
      isFirst = run->m_copies++ == 0;
      run->m_isStopped = run->m_isStopped || isLast;
    }
  }
  auto answer = [&](int aStatus, const std::string& aText) {
    SendAll(aSocket,
            "HTTP/1.1 " + std::to_string(aStatus) +
              " X\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(aText.size()) + "\r\n\r\n" + aText);
  };
  if (!run) {
    answer(404, "{}");
    return;
  }
  {
    // Copies queue on the link.
    static std::mutex link;
    std::lock_guard lock(link);
    Sleep(isFirst ? kWhole : kRest);
  }
  size_t colon = target.find(':');
  Response copied = Call(target.substr(0, colon),
                         std::atoi(target.c_str() + colon + 1),
                         JsonCall("PUT", "/standin/copy/" + handle, ""),
                         0.5);
  bool isCopied = copied.m_head.Status() == 200;
  if (isLast) {
    std::lock_guard lock(s_lock);
    s_handles.insert(handle);
  }
  answer(isCopied ? 200 : 503,
         "{\"handle\":\"" + handle +
           "\",\"made\":" + std::to_string(run->m_made) + "}");
}

static void Answer(int aSocket, const Message& aRequest)
{
  std::string id = aRequest.Header("Request-Id");
  s_record->Line("server " + s_options.m_id + ": run " + id + " begins");
  std::string body;
  while (body.size() < s_options.m_bytes) {
    body += id + " " + std::to_string(body.size()) + "\n";
  }
  body += "end of " + id + "\n";
  Sleep(s_options.m_gap);
  if (!s_options.m_isUnframed) {
    SendAll(aSocket,
            PlainHead(200,
                      id,
                      "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body));
    s_record->Line("server " + s_options.m_id + ": run " + id + " ends");
    return;
  }
  SendAll(aSocket, PlainHead(200, id, "Connection: close\r\n\r\n"));
  constexpr int kParts = 8;
  size_t part = body.size() / kParts + 1;
  for (size_t at = 0; at < body.size(); at += part) {
    SendAll(aSocket, body.substr(at, part));
    Sleep(s_options.m_gap);
  }
  s_record->Line("server " + s_options.m_id + ": run " + id + " ends");
}

/// The kernel closes the sockets of a killed process from the highest
/// descriptor to the lowest: the listener first here, then streams, then other
/// calls.
constexpr int kListenerDescriptor = 900;
constexpr int kStreamDescriptors = 100;

static void Renumber(int& aSocket, int aLeast)
{
  int renumbered = ::fcntl(aSocket, F_DUPFD_CLOEXEC, aLeast);
  if (renumbered >= 0) {
    ::close(std::exchange(aSocket, renumbered));
  }
}

static void Serve(int aSocket)
{
  std::string buffer;
  Message request;
  while (ReadRequest(aSocket, buffer, request)) {
    std::string path = request.Word(1);
    std::string id = request.Header("Request-Id");
    if (path == "/health") {
      SendAll(aSocket,
              "HTTP/1.1 200 OK\r\nInstance-Id: " + s_options.m_id +
                "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (path.rfind("/standin/backup/", 0) == 0) {
      std::lock_guard lock(s_lock);
      s_backups[path.substr(16)] = std::atoi(request.m_body.c_str());
      SendAll(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (path.rfind("/standin/copy/", 0) == 0) {
      std::lock_guard lock(s_lock);
      s_handles.insert(path.substr(14));
      SendAll(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (path == "/persimmontally/kv-move") {
      MoveRun(aSocket, request.m_body);
      continue;
    }
    if (path.rfind("/persimmontally/kv-handle/", 0) == 0) {
      std::lock_guard lock(s_lock);
      s_handles.erase(path.substr(26));
      SendAll(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (path.rfind("/persimmontally/", 0) == 0) {
      SendAll(aSocket, "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    std::string expected = request.Header("Expect-Instance");
    if (!expected.empty() && expected != s_options.m_id) {
      SendAll(aSocket, PlainHead(421, id, "Content-Length: 0\r\n\r\n"));
      continue;
    }
    bool isStream = !request.Header("Token-Count").empty();
    if (isStream) {
      Renumber(aSocket, kStreamDescriptors);
    }
    isStream ? Stream(aSocket, request) : Answer(aSocket, request);
    if (s_options.m_isUnframed || request.Header("Connection") == "close") {
      break;
    }
  }
  ::shutdown(aSocket, SHUT_WR);
  ::close(aSocket);
}

static std::string BeatBody(int aSequence)
{
  auto born = static_cast<long long>(s_bornAt * 1000);
  return "{\"service\":\"" + s_options.m_service + "\",\"addr\":\"" +
         s_options.m_ip + ":" + std::to_string(kServerPort) + "\",\"zone\":\"" +
         s_options.m_zone + "\",\"version\":\"v1\",\"slots\":" +
         std::to_string(s_options.m_slots) + ",\"state\":\"" +
         (s_isLeaving ? "draining" : "ready") +
         "\",\"cold-left-ms\":0,\"stage\":\"mixed\","
         "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
         "\"born\":" +
         std::to_string(born) + ",\"seq\":" + std::to_string(aSequence) + "}";
}

int main(int argc, char** argv)
{
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGUSR2, [](int) { s_isLeaving = 1; });
  ::signal(SIGUSR1, [](int) { s_isCutOff = !s_isCutOff; });
  std::map<std::string, std::string> flags;
  for (int i = 1; i + 1 < argc; i += 2) {
    flags[argv[i]] = argv[i + 1];
  }
  s_record = std::make_unique<Record>(flags["--record"],
                                      std::atof(flags["--start"].c_str()));
  s_options.m_id = flags["--id"];
  s_options.m_ip = flags["--ip"];
  s_options.m_service = flags["--service"];
  s_options.m_zone = flags["--zone"];
  s_options.m_gap = std::atof(flags["--gap"].c_str());
  s_options.m_isUnframed = flags["--unframed"] == "1";
  s_options.m_goesOn = flags["--goes_on"] == "1";
  s_options.m_loseOneOf = std::atoi(flags["--lose_one_of"].c_str());
  s_options.m_slots = std::atoi(flags["--slots"].c_str());
  if (flags.count("--bytes") > 0) {
    s_options.m_bytes =
      static_cast<size_t>(std::atol(flags["--bytes"].c_str()));
  }
  std::istringstream cores(flags["--cores"]);
  for (std::string core; std::getline(cores, core, ',');) {
    s_options.m_cores.push_back(core);
  }
  timespec time{};
  ::clock_gettime(CLOCK_REALTIME, &time);
  s_bornAt =
    static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
  int port =
    flags.count("--port") > 0 ? std::atoi(flags["--port"].c_str()) : kInnerPort;
  int listener = Listen(s_options.m_ip, port);
  if (listener < 0) {
    return 2;
  }
  Renumber(listener, kListenerDescriptor);
  std::thread([] {
    for (int sequence = 1;; ++sequence) {
      if (!s_isCutOff) {
        Beat(s_options.m_cores, s_options.m_id, BeatBody(sequence));
      }
      // A notice is passed on at once.
      bool wasLeaving = s_isLeaving;
      for (double until = Now() + 1.2;
           Now() < until && wasLeaving == static_cast<bool>(s_isLeaving);) {
        Sleep(0.02);
      }
    }
  }).detach();
  for (;;) {
    int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) {
      NoDelay(socket);
      std::thread(Serve, socket).detach();
    }
  }
}
