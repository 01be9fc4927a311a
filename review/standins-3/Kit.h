// Parts that the cases of this review share: sockets, HTTP, processes, links
// that can fail, and the platform's side of a small site on loopback.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

namespace fs = std::filesystem;

// Time and the record.

inline double Now()
{
  timespec time{};
  ::clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/// Lines that all processes of a case append to one file, each with the time
/// since the start of the case.
class Record
{
public:
  Record(const std::string& aPath, double aStart)
    : m_path(aPath)
    , m_start(aStart)
    , m_file(
        ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
  {
  }
  void Line(const std::string& aText) const
  {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", Now() - m_start);
    std::string line = time + aText + "\n";
    ssize_t ignored = ::write(m_file, line.data(), line.size());
    (void)ignored;
  }
  const std::string& Path() const { return m_path; }
  double Start() const { return m_start; }

private:
  std::string m_path;
  double m_start;
  int m_file;
};

// Sockets.

inline sockaddr_in Address(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

inline void NoDelay(int aSocket)
{
  int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Returns a listening socket, or -1.
inline int Listen(const std::string& aIp, int aPort, int aBacklog = 128)
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Address(aIp, aPort);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0 ||
      ::listen(socket, aBacklog) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

/// Returns a connected socket, or -1.
inline int Connect(const std::string& aIp, int aPort, double aTimeout)
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = Address(aIp, aPort);
  int result =
    ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (result != 0) {
    pollfd event{ socket, POLLOUT, 0 };
    int error = ETIMEDOUT;
    socklen_t size = sizeof error;
    if (errno == EINPROGRESS &&
        ::poll(&event, 1, static_cast<int>(aTimeout * 1000)) == 1) {
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  NoDelay(socket);
  return socket;
}

inline bool SendAll(int aSocket, const std::string& aData)
{
  size_t sent = 0;
  while (sent < aData.size()) {
    ssize_t count =
      ::send(aSocket, aData.data() + sent, aData.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

/// What a read came to.
enum class Got
{
  Data,
  End,
  Reset,
  Timeout
};

inline Got Receive(int aSocket, std::string& aBuffer, double aTimeout)
{
  pollfd event{ aSocket, POLLIN, 0 };
  int ready = ::poll(&event, 1, std::max(0, static_cast<int>(aTimeout * 1000)));
  if (ready == 0) {
    return Got::Timeout;
  }
  char data[16384];
  ssize_t count = ::recv(aSocket, data, sizeof data, 0);
  if (count > 0) {
    aBuffer.append(data, static_cast<size_t>(count));
    return Got::Data;
  }
  return count == 0 ? Got::End : Got::Reset;
}

// HTTP.

struct Message
{
  /// First line of the message.
  std::string m_start;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : m_headers) {
      if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Word(int aIndex) const
  {
    std::istringstream in(m_start);
    std::string word;
    for (int i = 0; i <= aIndex; ++i) {
      word.clear();
      in >> word;
    }
    return word;
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

inline Message ParseHead(const std::string& aHead)
{
  Message message;
  std::istringstream in(aHead);
  std::string line;
  std::getline(in, line);
  auto strip = [](std::string aText) {
    while (!aText.empty() && (aText.back() == '\r' || aText.back() == ' ')) {
      aText.pop_back();
    }
    size_t start = aText.find_first_not_of(' ');
    return start == std::string::npos ? "" : aText.substr(start);
  };
  message.m_start = strip(line);
  while (std::getline(in, line) && strip(line) != "") {
    size_t colon = line.find(':');
    if (colon != std::string::npos) {
      message.m_headers.emplace_back(line.substr(0, colon),
                                     strip(line.substr(colon + 1)));
    }
  }
  return message;
}

/// Reads one request from a connection. `aBuffer` keeps what lies behind it.
inline bool ReadRequest(int aSocket, std::string& aBuffer, Message& aRequest)
{
  size_t end = std::string::npos;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (Receive(aSocket, aBuffer, 60) != Got::Data) {
      return false;
    }
  }
  aRequest = ParseHead(aBuffer.substr(0, end + 4));
  aBuffer.erase(0, end + 4);
  auto size =
    static_cast<size_t>(std::atol(aRequest.Header("Content-Length").c_str()));
  while (aBuffer.size() < size) {
    if (Receive(aSocket, aBuffer, 60) != Got::Data) {
      return false;
    }
  }
  aRequest.m_body = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return true;
}

/// A response, and how it ended.
struct Response
{
  Message m_head;
  /// Whether a head was received.
  bool m_hasHead = false;
  /// Whether it ended as HTTP says a complete response ends.
  bool m_isComplete = false;
  Got m_end = Got::Timeout;
};

/// Reads one response. `aOnBody` gets the body as it arrives; returning false
/// ends the read.
inline Response ReadResponse(
  int aSocket,
  double aUntil,
  const std::function<bool(const std::string&)>& aOnBody = {})
{
  Response response;
  std::string buffer;
  size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    response.m_end = Receive(aSocket, buffer, aUntil - Now());
    if (response.m_end != Got::Data) {
      return response;
    }
  }
  response.m_hasHead = true;
  response.m_head = ParseHead(buffer.substr(0, end + 4));
  buffer.erase(0, end + 4);
  bool isChunked = response.m_head.Header("Transfer-Encoding") == "chunked";
  std::string length = response.m_head.Header("Content-Length");
  auto left = static_cast<size_t>(std::atol(length.c_str()));
  auto deliver = [&](const std::string& aPart) {
    response.m_head.m_body += aPart;
    return !aOnBody || aPart.empty() || aOnBody(aPart);
  };
  for (;;) {
    if (isChunked) {
      for (;;) {
        size_t line = buffer.find("\r\n");
        if (line == std::string::npos) {
          break;
        }
        size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        if (buffer.size() < line + 2 + size + 2) {
          break;
        }
        std::string part = buffer.substr(line + 2, size);
        buffer.erase(0, line + 2 + size + 2);
        if (size == 0) {
          response.m_isComplete = true;
          return response;
        }
        if (!deliver(part)) {
          return response;
        }
      }
    } else if (!length.empty()) {
      std::string part = buffer.substr(0, left);
      left -= part.size();
      buffer.erase(0, part.size());
      if (!deliver(part)) {
        return response;
      }
      if (left == 0) {
        response.m_isComplete = true;
        return response;
      }
    } else {
      if (!deliver(std::exchange(buffer, ""))) {
        return response;
      }
    }
    response.m_end = Receive(aSocket, buffer, aUntil - Now());
    if (response.m_end != Got::Data) {
      response.m_isComplete =
        !isChunked && length.empty() && response.m_end == Got::End;
      return response;
    }
  }
}

/// Sends one request on a new connection and returns its response.
inline Response Call(const std::string& aIp,
                     int aPort,
                     const std::string& aRequest,
                     double aTimeout)
{
  int socket = Connect(aIp, aPort, std::min(1.0, aTimeout));
  if (socket < 0) {
    return {};
  }
  SendAll(socket, aRequest);
  Response response = ReadResponse(socket, Now() + aTimeout);
  ::close(socket);
  return response;
}

inline std::string JsonCall(const std::string& aMethod,
                            const std::string& aPath,
                            const std::string& aBody)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(aBody.size()) + "\r\nConnection: close\r\n\r\n" + aBody;
}

// Processes.

inline pid_t Spawn(const std::vector<std::string>& aWords,
                   const std::string& aLog)
{
  pid_t parent = ::getpid();
  pid_t child = ::fork();
  if (child != 0) {
    return child;
  }
  // The process ends with the driver, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::signal(SIGPIPE, SIG_DFL);
  int log = ::open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(log, 1);
  ::dup2(log, 2);
  if (::getppid() != parent) {
    ::_exit(1);
  }
  std::vector<char*> words;
  for (const std::string& word : aWords) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  ::execv(words[0], words.data());
  ::_exit(127);
}

/// Processes of a case; those that are left are killed at its end.
class Processes
{
public:
  ~Processes()
  {
    for (const auto& [name, pid] : m_pids) {
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  }
  void Start(const std::string& aName,
             const std::vector<std::string>& aWords,
             const std::string& aLog)
  {
    m_pids[aName] = Spawn(aWords, aLog);
  }
  void Signal(const std::string& aName, int aSignal)
  {
    ::kill(m_pids.at(aName), aSignal);
  }
  /// Kills a process and waits for its end.
  void Kill(const std::string& aName)
  {
    Signal(aName, SIGKILL);
    ::waitpid(m_pids.at(aName), nullptr, 0);
    m_pids.erase(aName);
  }
  /// Whether a process has ended by itself.
  bool HasEnded(const std::string& aName)
  {
    auto at = m_pids.find(aName);
    if (at != m_pids.end() && ::waitpid(at->second, nullptr, WNOHANG) > 0) {
      m_pids.erase(at);
      return true;
    }
    return at == m_pids.end();
  }
  const std::map<std::string, pid_t>& Pids() const { return m_pids; }

private:
  std::map<std::string, pid_t> m_pids;
};

/// The path from the system's machines to a server: passes bytes on between the
/// address that the server announces and the port on which its process listens.
class Link
{
public:
  Link(std::string aIp, int aPort, int aInner)
    : m_ip(std::move(aIp))
    , m_port(aPort)
    , m_inner(aInner)
    , m_listener(Listen(m_ip, aPort))
  {
    std::thread([this] { AcceptLoop(); }).detach();
  }
  bool IsOpen() const { return m_listener >= 0; }
  /// Opening packets get no answer from now on. Open connections go on.
  void DropOpeningPackets()
  {
    m_isDark = true;
    Sleep(0.02);
    // With a full queue of new connections the kernel drops opening packets.
    ::listen(m_listener, 0);
    for (int i = 0; i < 3; ++i) {
      m_fillers.push_back(Connect(m_ip, m_port, 0.05));
    }
  }
  void AnswerOpeningPackets()
  {
    for (int filler : m_fillers) {
      if (filler >= 0) {
        ::close(filler);
      }
    }
    m_fillers.clear();
    ::listen(m_listener, 128);
    m_isDark = false;
  }
  /// Bytes on open connections are held up in both directions.
  void Hold() { m_isHeld = true; }
  void Release() { m_isHeld = false; }

private:
  void AcceptLoop()
  {
    for (;;) {
      pollfd event{ m_listener, POLLIN, 0 };
      ::poll(&event, 1, 5);
      if (m_isDark || (event.revents & POLLIN) == 0) {
        if (m_isDark) {
          Sleep(0.005);
        }
        continue;
      }
      int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        continue;
      }
      NoDelay(client);
      std::thread([this, client] { Relay(client); }).detach();
    }
  }
  void Relay(int aClient)
  {
    int server = Connect(m_ip, m_inner, 1);
    if (server < 0) {
      // As if nothing listened: the connection is reset.
      linger hard{ 1, 0 };
      ::setsockopt(aClient, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      ::close(aClient);
      return;
    }
    bool isOpen = true;
    while (isOpen) {
      if (m_isHeld) {
        Sleep(0.002);
        continue;
      }
      pollfd events[2] = { { aClient, POLLIN, 0 }, { server, POLLIN, 0 } };
      if (::poll(events, 2, 5) <= 0 || m_isHeld) {
        continue;
      }
      for (int i = 0; i < 2 && isOpen; ++i) {
        if (events[i].revents == 0) {
          continue;
        }
        std::string data;
        Got got = Receive(events[i].fd, data, 0);
        isOpen = got == Got::Data ? SendAll(events[1 - i].fd, data)
                                  : got == Got::Timeout;
      }
    }
    ::close(server);
    ::close(aClient);
  }

  std::string m_ip;
  int m_port;
  int m_inner;
  int m_listener;
  std::atomic<bool> m_isDark{ false };
  std::atomic<bool> m_isHeld{ false };
  std::vector<int> m_fillers;
};

// The platform's side of a small site.

constexpr int kFrontPort = 8740;
constexpr int kReadyPort = 8749;
constexpr int kControlPort = 8748;
constexpr int kPeerPort = 7200;
constexpr int kServerPort = 8080;
constexpr int kInnerPort = 8081;

struct Machine
{
  std::string m_name;
  std::string m_ip;
  std::string m_zone;
  bool m_isCore = false;
};

inline void Replace(std::string& aText,
                    const std::string& aOld,
                    const std::string& aNew)
{
  for (size_t at = 0; (at = aText.find(aOld, at)) != std::string::npos;
       at += aNew.size()) {
    aText.replace(at, aOld.size(), aNew);
  }
}

inline std::string ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

/// Three core machines with disks and some fronts, started with the commands
/// and the settings templates of the deploy file.
class Site
{
public:
  Site(Record& aRecord, int aFronts)
    : m_record(aRecord)
  {
    std::mt19937 random{ std::random_device()() };
    auto draw = [&](int aLow, int aHigh) {
      return std::to_string(
        std::uniform_int_distribution<int>(aLow, aHigh)(random));
    };
    m_network = "127." + draw(20, 220) + "." + draw(1, 250) + ".";
    std::string pattern =
      (fs::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
      std::perror("temporary folder");
      std::_Exit(2);
    }
    m_folder = pattern;
    const char* zones[] = { "xela", "tecpan", "mataquescuint" };
    for (int i = 0; i < 3; ++i) {
      m_cores.push_back(
        { "core-" + std::to_string(i + 1), Ip(i + 1), zones[i], true });
    }
    for (int i = 0; i < aFronts; ++i) {
      m_fronts.push_back(
        { "front-" + std::to_string(i + 1), Ip(i + 11), zones[i % 3], false });
    }
  }
  ~Site()
  {
    for (const auto& machines : { m_cores, m_fronts }) {
      for (const Machine& machine : machines) {
        if (!m_processes.HasEnded(machine.m_name)) {
          m_processes.Kill(machine.m_name);
        }
      }
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
      fs::remove_all(m_folder, ignored);
    }
  }

  std::string Ip(int aNumber) const
  {
    return m_network + std::to_string(aNumber);
  }
  const std::string& Folder() const { return m_folder; }
  const std::vector<Machine>& Cores() const { return m_cores; }
  const std::vector<Machine>& Fronts() const { return m_fronts; }
  Processes& Daemons() { return m_processes; }

  void StartMachine(const Machine& aMachine, bool aIsFirstStart)
  {
    std::string settings =
      ReadFile(aMachine.m_isCore ? "deploy/control.ini" : "deploy/entry.ini");
    std::string data = m_folder + "/" + aMachine.m_name;
    if (aMachine.m_isCore) {
      fs::create_directories(data);
    }
    std::string seeds;
    for (const Machine& core : m_cores) {
      seeds += (seeds.empty() ? "" : ",") + core.m_ip + ":" +
               std::to_string(kControlPort);
    }
    size_t loop = settings.find("{{#zones}}");
    size_t loopEnd = settings.find("{{/zones}}");
    settings.replace(loop,
                     loopEnd + 10 - loop,
                     "xela:altiplano-oes,tecpan:valle-central,"
                     "mataquescuint:sierra-este");
    std::map<std::string, std::string> regions = {
      { "xela", "altiplano-oes" },
      { "tecpan", "valle-central" },
      { "mataquescuint", "sierra-este" }
    };
    auto at = [&](int aPort) {
      return aMachine.m_ip + ":" + std::to_string(aPort);
    };
    Replace(settings, "{{node}}", aMachine.m_name);
    Replace(settings, "{{zone}}", aMachine.m_zone);
    Replace(settings, "{{region}}", regions[aMachine.m_zone]);
    Replace(settings, "{{listen.front}}", at(kFrontPort));
    Replace(settings, "{{listen.ready}}", at(kReadyPort));
    Replace(settings, "{{listen.control}}", at(kControlPort));
    Replace(settings, "{{ip}}", aMachine.m_ip);
    Replace(settings, "{{internal-port-range.0}}", std::to_string(kPeerPort));
    Replace(settings, "{{seeds}}", seeds);
    Replace(settings, "{{data-dir}}", data);
    Replace(settings, "{{bootstrap}}", aIsFirstStart ? "true" : "false");
    Replace(settings, "{{tolerate.machines}}", "1");
    std::string path = m_folder + "/" + aMachine.m_name + ".ini";
    std::ofstream(path) << settings;
    const char* daemon = std::getenv("DAEMON");
    m_processes.Start(
      aMachine.m_name,
      { daemon != nullptr ? daemon : "target/bin/persimmontallyd",
        "--config",
        path,
        "--set",
        aMachine.m_isCore ? "limits.shutdown_limit_s=8,limits.memory_mb=256,"
                            "limits.max_descriptors=4096"
                          : "limits.shutdown_limit_s=8,limits.memory_mb=110,"
                            "limits.max_descriptors=4100" },
      m_folder + "/" + aMachine.m_name + ".log");
  }

  /// Starts all machines and sends the first configuration until it is
  /// acknowledged. Returns false if that takes more than 10 s.
  bool Start(const std::string& aConfig)
  {
    for (const Machine& machine : m_cores) {
      StartMachine(machine, true);
    }
    for (const Machine& machine : m_fronts) {
      StartMachine(machine, true);
    }
    return PutConfig(aConfig, 10);
  }

  /// Sends a configuration as the operator does, to one core after the other,
  /// until it is acknowledged.
  bool PutConfig(const std::string& aConfig, double aTimeout)
  {
    double until = Now() + aTimeout;
    for (size_t i = 0; Now() < until; ++i) {
      const Machine& core = m_cores[i % m_cores.size()];
      Response response =
        Call(core.m_ip,
             kControlPort,
             JsonCall("PUT", "/persimmontally/config", aConfig),
             1);
      if (response.m_isComplete && response.m_head.Status() == 200) {
        m_record.Line("operator: a configuration is acknowledged by " +
                      core.m_name);
        return true;
      }
      Sleep(0.1);
    }
    return false;
  }

  bool IsReady(const Machine& aFront) const
  {
    Response response = Call(aFront.m_ip,
                             kReadyPort,
                             "GET /persimmontally/ready HTTP/1.1\r\nHost: "
                             "r\r\nConnection: close\r\n\r\n",
                             1);
    return response.m_hasHead && response.m_head.Status() == 200;
  }
  bool AwaitReady(double aTimeout) const
  {
    double until = Now() + aTimeout;
    for (const Machine& front : m_fronts) {
      while (!IsReady(front)) {
        if (Now() > until) {
          return false;
        }
        Sleep(0.1);
      }
    }
    return true;
  }

private:
  Record& m_record;
  std::string m_network;
  std::string m_folder;
  std::vector<Machine> m_cores;
  std::vector<Machine> m_fronts;
  Processes m_processes;
};

/// Sends a server's heartbeat to the cores, given by their addresses, one after
/// the other until one acknowledges it.
inline bool Beat(const std::vector<std::string>& aCores,
                 const std::string& aId,
                 const std::string& aBody)
{
  for (const std::string& core : aCores) {
    Response response =
      Call(core,
           kControlPort,
           JsonCall("PUT", "/persimmontally/instances/" + aId, aBody),
           1);
    if (response.m_hasHead && response.m_head.Status() / 100 == 2) {
      return true;
    }
  }
  return false;
}

} // namespace kit
