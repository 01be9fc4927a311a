// What the cases of the second review share: processes of the daemon with the
// settings of deploy/, an HTTP client, an HTTP server and the record.
// Standard library and POSIX only.

#ifndef REVIEW_STANDINS2_SITE_H
#define REVIEW_STANDINS2_SITE_H

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
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
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

extern char** environ;

namespace review {

using Clock = std::chrono::steady_clock;
namespace fs = std::filesystem;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kCallersPort = 8740;
constexpr int kReadyPort = 8749;
constexpr int kControlPort = 8748;
constexpr int kPeerPort = 7200;

inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/// Lines of `record.txt`, with seconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath,
                  Clock::time_point aStart = Clock::now())
    : m_out(aPath)
    , m_start(aStart)
  {
  }
  Clock::time_point Start() const { return m_start; }
  double Now() const
  {
    return std::chrono::duration<double>(Clock::now() - m_start).count();
  }
  void Line(const std::string& aText)
  {
    std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", Now());
    m_out << time << aText << std::endl;
  }

private:
  std::ofstream m_out;
  Clock::time_point m_start;
  std::mutex m_mutex;
};

// HTTP.

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), ::tolower);
  return aText;
}

inline std::string Find(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (Lower(name) == Lower(aName)) {
      return value;
    }
  }
  return "";
}

class Socket
{
public:
  explicit Socket(int aFd = -1)
    : m_fd(aFd)
  {
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int Fd() const { return m_fd; }
  bool IsOpen() const { return m_fd >= 0; }
  void Close()
  {
    if (m_fd >= 0) {
      ::close(m_fd);
      m_fd = -1;
    }
  }
  /// Closes the connection with a reset.
  void Reset()
  {
    if (m_fd >= 0) {
      linger now{ 1, 0 };
      ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      Close();
    }
  }

  bool Connect(const std::string& aIp, int aPort, double aTimeout)
  {
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &to.sin_addr);
    int flags = ::fcntl(m_fd, F_GETFL);
    ::fcntl(m_fd, F_SETFL, flags | O_NONBLOCK);
    int got = ::connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    if (got != 0 && errno != EINPROGRESS) {
      return false;
    }
    pollfd wait{ m_fd, POLLOUT, 0 };
    if (::poll(&wait, 1, static_cast<int>(aTimeout * 1000)) != 1) {
      return false;
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
    ::fcntl(m_fd, F_SETFL, flags);
    return error == 0;
  }

  bool Write(const std::string& aData)
  {
    size_t done = 0;
    while (done < aData.size()) {
      ssize_t got =
        ::send(m_fd, aData.data() + done, aData.size() - done, MSG_NOSIGNAL);
      if (got <= 0) {
        return false;
      }
      done += static_cast<size_t>(got);
    }
    return true;
  }

  /// Returns 1 with bytes, 0 at the end, -1 at a reset and -2 at a timeout.
  int ReadSome(std::string& aInto, double aTimeout)
  {
    pollfd wait{ m_fd, POLLIN, 0 };
    int ready = ::poll(&wait, 1, std::max(0, static_cast<int>(aTimeout * 1000)));
    if (ready <= 0) {
      return -2;
    }
    char buffer[16384];
    ssize_t got = ::recv(m_fd, buffer, sizeof buffer, 0);
    if (got > 0) {
      aInto.append(buffer, static_cast<size_t>(got));
      return 1;
    }
    return got == 0 ? 0 : -1;
  }

private:
  int m_fd;
};

struct Message
{
  std::string m_first;
  Headers m_headers;
  std::string m_body;
  /// Whether the whole message has been read.
  bool m_isWhole = false;

  int Status() const
  {
    return m_first.size() > 12 ? std::atoi(m_first.c_str() + 9) : 0;
  }
};

/// Reads one message. `aOnBody` gets the parts of its body as they come.
inline Message ReadMessage(
  Socket& aSocket,
  std::string& aBuffer,
  double aTimeout,
  bool aIsResponse,
  const std::function<void(const std::string&)>& aOnBody = {})
{
  auto until =
    Clock::now() + std::chrono::duration_cast<Clock::duration>(
                     std::chrono::duration<double>(aTimeout));
  auto left = [&] {
    return std::chrono::duration<double>(until - Clock::now()).count();
  };
  Message message;
  size_t end = std::string::npos;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (aSocket.ReadSome(aBuffer, left()) != 1) {
      return message;
    }
  }
  std::istringstream head(aBuffer.substr(0, end));
  aBuffer.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  message.m_first = line.substr(0, line.find('\r'));
  while (std::getline(head, line)) {
    line = line.substr(0, line.find('\r'));
    size_t colon = line.find(':');
    if (colon != std::string::npos) {
      size_t value = line.find_first_not_of(' ', colon + 1);
      message.m_headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
  }
  auto add = [&](const std::string& aPart) {
    message.m_body += aPart;
    if (aOnBody) {
      aOnBody(aPart);
    }
  };
  std::string length = Find(message.m_headers, "Content-Length");
  if (Lower(Find(message.m_headers, "Transfer-Encoding")) == "chunked") {
    for (;;) {
      size_t lineEnd = std::string::npos;
      while ((lineEnd = aBuffer.find("\r\n")) == std::string::npos) {
        if (aSocket.ReadSome(aBuffer, left()) != 1) {
          return message;
        }
      }
      size_t size = std::strtoul(aBuffer.c_str(), nullptr, 16);
      while (aBuffer.size() < lineEnd + 2 + size + 2) {
        if (aSocket.ReadSome(aBuffer, left()) != 1) {
          return message;
        }
      }
      std::string part = aBuffer.substr(lineEnd + 2, size);
      aBuffer.erase(0, lineEnd + 2 + size + 2);
      if (size == 0) {
        message.m_isWhole = true;
        return message;
      }
      add(part);
    }
  }
  if (!length.empty() || !aIsResponse) {
    size_t size = length.empty() ? 0 : std::stoul(length);
    while (aBuffer.size() < size) {
      if (aSocket.ReadSome(aBuffer, left()) != 1) {
        return message;
      }
    }
    add(aBuffer.substr(0, size));
    aBuffer.erase(0, size);
    message.m_isWhole = true;
    return message;
  }
  int got = 1;
  while (got == 1) {
    if (!aBuffer.empty()) {
      add(std::exchange(aBuffer, ""));
    }
    got = aSocket.ReadSome(aBuffer, left());
  }
  message.m_isWhole = got == 0;
  return message;
}

inline std::string RequestText(const std::string& aMethod,
                               const std::string& aPath,
                               const Headers& aHeaders,
                               const std::string& aBody)
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

/// One request on a new connection.
inline Message Call(const std::string& aIp,
                    int aPort,
                    const std::string& aMethod,
                    const std::string& aPath,
                    Headers aHeaders,
                    const std::string& aBody,
                    double aTimeout)
{
  Socket socket;
  if (!socket.Connect(aIp, aPort, aTimeout)) {
    return {};
  }
  if (Find(aHeaders, "Host").empty()) {
    aHeaders.insert(aHeaders.begin(),
                    { "Host", aIp + ":" + std::to_string(aPort) });
  }
  if (!socket.Write(RequestText(aMethod, aPath, aHeaders, aBody))) {
    return {};
  }
  std::string buffer;
  return ReadMessage(socket, buffer, aTimeout, true);
}

/// A server with one thread for each connection.
class Server
{
public:
  /// Answers one request; returns whether the connection is kept.
  using Handler = std::function<bool(Socket&, const Message&)>;

  Server(std::string aIp, int aPort, Handler aHandler)
    : m_handler(std::move(aHandler))
  {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &at.sin_addr);
    m_isOpen =
      ::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
      ::listen(m_listener, 256) == 0;
    if (m_isOpen) {
      m_acceptor = std::thread([this] { Accept(); });
    }
  }
  ~Server() { Stop(); }
  bool IsOpen() const { return m_isOpen; }

  /// Ends like a process: the listener and all connections are closed.
  void Stop()
  {
    if (m_isStopped.exchange(true)) {
      return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    if (m_acceptor.joinable()) {
      m_acceptor.join();
    }
    ::close(m_listener);
    {
      std::lock_guard lock(m_mutex);
      for (int fd : m_open) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    while (m_threads > 0) {
      Sleep(0.01);
    }
  }
  bool IsStopped() const { return m_isStopped; }

private:
  void Accept()
  {
    for (;;) {
      int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::lock_guard lock(m_mutex);
        m_open.push_back(fd);
      }
      ++m_threads;
      std::thread([this, fd] {
        {
          Socket socket(fd);
          std::string buffer;
          for (bool kept = true; kept && !m_isStopped;) {
            Message request = ReadMessage(socket, buffer, 30, false);
            kept = request.m_isWhole && m_handler(socket, request);
          }
          std::lock_guard lock(m_mutex);
          std::erase(m_open, fd);
        }
        --m_threads;
      }).detach();
    }
  }

  Handler m_handler;
  int m_listener = -1;
  bool m_isOpen = false;
  std::atomic<bool> m_isStopped = false;
  std::atomic<int> m_threads = 0;
  std::thread m_acceptor;
  std::mutex m_mutex;
  std::vector<int> m_open;
};

// The platform: processes and their settings.

struct Node
{
  std::string m_name;
  std::string m_zone;
  std::string m_ip;
  bool m_isControl = false;
  pid_t m_pid = -1;
};

class Site
{
public:
  /// `aZones` has the region of each zone.
  Site(Record& aRecord, std::map<std::string, std::string> aZones)
    : m_record(aRecord)
    , m_zones(std::move(aZones))
  {
    std::random_device random;
    do {
      m_network = "127." + std::to_string(20 + random() % 200) + "." +
                  std::to_string(1 + random() % 250) + ".";
    } while (!IsFree(Ip(1), kControlPort) || !IsFree(Ip(11), kCallersPort));
    std::string pattern =
      (fs::temp_directory_path() / "review-2-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data()) == nullptr ? "" : pattern;
    m_watch = std::thread([this] { Watch(); });
  }
  ~Site()
  {
    m_hasEnded = true;
    m_watch.join();
    for (auto& [name, node] : m_nodes) {
      Kill(node, SIGKILL);
    }
    std::error_code ignored;
    fs::remove_all(m_folder, ignored);
  }

  std::string Ip(int aNumber) const
  {
    return m_network + std::to_string(aNumber);
  }
  const std::string& Folder() const { return m_folder; }

  Node& Add(const std::string& aName,
            const std::string& aZone,
            int aNumber,
            bool aIsControl)
  {
    return m_nodes[aName] = { aName, aZone, Ip(aNumber), aIsControl, -1 };
  }
  Node& At(const std::string& aName) { return m_nodes.at(aName); }

  /// Writes the settings as the platform does, and starts the process with the
  /// command of the deploy file.
  bool Start(Node& aNode, const std::vector<std::string>& aSeeds, bool aBootstrap)
  {
    std::string data = DataDir(aNode);
    if (aNode.m_isControl) {
      fs::create_directories(data);
    }
    std::string seeds;
    for (const std::string& seed : aSeeds) {
      seeds += (seeds.empty() ? "" : ",") + m_nodes.at(seed).m_ip + ":" +
               std::to_string(kControlPort);
    }
    std::string zones;
    for (const auto& [zone, region] : m_zones) {
      zones += (zones.empty() ? "" : ",") + zone + ":" + region;
    }
    auto at = [&](int aPort) {
      return aNode.m_ip + ":" + std::to_string(aPort);
    };
    std::vector<std::pair<std::string, std::string>> values = {
      { "{{node}}", aNode.m_name },
      { "{{zone}}", aNode.m_zone },
      { "{{region}}", m_zones.at(aNode.m_zone) },
      { "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", zones },
      { "{{listen.front}}", at(kCallersPort) },
      { "{{listen.ready}}", at(kReadyPort) },
      { "{{listen.control}}", at(kControlPort) },
      { "{{ip}}", aNode.m_ip },
      { "{{internal-port-range.0}}", std::to_string(kPeerPort) },
      { "{{seeds}}", seeds },
      { "{{data-dir}}", data },
      { "{{bootstrap}}", aBootstrap ? "true" : "false" },
      { "{{tolerate.machines}}", "1" },
      { "{{limits.memory-mb}}", aNode.m_isControl ? "256" : "110" },
      { "{{limits.max-fds}}", aNode.m_isControl ? "4096" : "4100" },
    };
    std::ifstream in(aNode.m_isControl ? "deploy/control.ini"
                                       : "deploy/entry.ini");
    std::stringstream read;
    read << in.rdbuf();
    std::string text = read.str();
    for (const auto& [name, value] : values) {
      for (size_t found = text.find(name); found != std::string::npos;
           found = text.find(name, found + value.size())) {
        text.replace(found, name.size(), value);
      }
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
      m_record.Line("the settings template could not be filled in");
      return false;
    }
    std::string settings = m_folder + "/" + aNode.m_name + ".ini";
    std::ofstream(settings) << text;
    std::string log = m_folder + "/" + aNode.m_name + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(
      &files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    std::vector<std::string> words = { "target/bin/persimmontallyd",
                                       "--config",
                                       settings,
                                       "--set",
                                       "limits.shutdown_limit_s=8" };
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    int failed = ::posix_spawn(&aNode.m_pid,
                               words[0].c_str(),
                               &files,
                               nullptr,
                               arguments.data(),
                               environ);
    posix_spawn_file_actions_destroy(&files);
    m_record.Line("platform: starts " + aNode.m_name + " at " + aNode.m_ip +
                  (aBootstrap ? ", bootstrap true" : ", bootstrap false"));
    return failed == 0;
  }

  std::string DataDir(const Node& aNode) const
  {
    return m_folder + "/" + aNode.m_name + ".data";
  }

  /// Sends a signal. Returns once the process has ended, unless it is only to
  /// be stopped or continued.
  void Kill(Node& aNode, int aSignal)
  {
    if (aNode.m_pid <= 0) {
      return;
    }
    ::kill(aNode.m_pid, aSignal);
    if (aSignal == SIGKILL || aSignal == SIGTERM) {
      WaitForEnd(aNode, 9);
    }
  }

  void WaitForEnd(Node& aNode, double aSeconds)
  {
    for (int i = 0; aNode.m_pid > 0; ++i) {
      if (::waitpid(aNode.m_pid, nullptr, WNOHANG) == aNode.m_pid) {
        aNode.m_pid = -1;
        return;
      }
      if (i == static_cast<int>(aSeconds * 100)) {
        ::kill(aNode.m_pid, SIGKILL);
      }
      Sleep(0.01);
    }
  }

  /// Returns whether the process has ended by itself.
  bool HasEnded(Node& aNode)
  {
    if (aNode.m_pid > 0 &&
        ::waitpid(aNode.m_pid, nullptr, WNOHANG) == aNode.m_pid) {
      aNode.m_pid = -1;
    }
    return aNode.m_pid <= 0;
  }

  /// Empties the disk of a machine whose process has ended.
  void LoseDisk(const Node& aNode)
  {
    fs::remove_all(DataDir(aNode));
    fs::create_directories(DataDir(aNode));
  }

  /// Copies the record of another process into this one's.
  void CopyRecord(const std::string& aPath)
  {
    std::ifstream in(aPath);
    std::string line;
    while (std::getline(in, line)) {
      m_record.Line("  at " + line);
    }
  }

  /// Copies lines of a process's log with one of `aWords` into the record.
  void RecordLog(const Node& aNode, const std::vector<std::string>& aWords)
  {
    std::ifstream in(m_folder + "/" + aNode.m_name + ".log");
    std::string line;
    while (std::getline(in, line)) {
      for (const std::string& word : aWords) {
        if (line.find(word) != std::string::npos) {
          m_record.Line("log of " + aNode.m_name + ": " + line);
          break;
        }
      }
    }
  }

  // The operator.

  /// Sends a configuration until it is acknowledged, to the nodes in turn.
  bool PutConfig(int aVersion,
                 const std::string& aDocument,
                 const std::vector<std::string>& aNodes,
                 double aSeconds)
  {
    double until = m_record.Now() + aSeconds;
    m_record.Line("operator: sends configuration " + std::to_string(aVersion));
    for (size_t i = 0; m_record.Now() < until; ++i) {
      Node& node = m_nodes.at(aNodes[i % aNodes.size()]);
      Message answer = Call(node.m_ip,
                            kControlPort,
                            "PUT",
                            "/persimmontally/config",
                            { { "Content-Type", "application/json" } },
                            aDocument,
                            1.0);
      if (answer.Status() == 200) {
        m_record.Line("operator: configuration " + std::to_string(aVersion) +
                      " acknowledged by " + node.m_name);
        return true;
      }
      Sleep(0.2);
    }
    m_record.Line("operator: configuration " + std::to_string(aVersion) +
                  " was not acknowledged in " + std::to_string(aSeconds) +
                  " s");
    return false;
  }

  /// Reads the configuration once; returns the status and the version.
  std::pair<int, int> GetConfig(const std::string& aNode)
  {
    Message answer = Call(m_nodes.at(aNode).m_ip,
                          kControlPort,
                          "GET",
                          "/persimmontally/config",
                          {},
                          "",
                          2.0);
    size_t at = answer.m_body.find("\"version\":");
    int version = answer.Status() == 200 && at != std::string::npos
                    ? std::atoi(answer.m_body.c_str() + at + 10)
                    : 0;
    m_record.Line("operator: reads the configuration at " + aNode +
                  ": status " + std::to_string(answer.Status()) +
                  (version > 0 ? ", version " + std::to_string(version) : ""));
    return { answer.Status(), version };
  }

  bool WaitUntilReady(const std::string& aEntry, double aSeconds)
  {
    double until = m_record.Now() + aSeconds;
    while (m_record.Now() < until) {
      if (Call(m_nodes.at(aEntry).m_ip,
               kReadyPort,
               "GET",
               "/persimmontally/ready",
               {},
               "",
               1.0)
            .Status() == 200) {
        m_record.Line("platform: " + aEntry + " is ready");
        return true;
      }
      Sleep(0.1);
    }
    return false;
  }

private:
  static bool IsFree(const std::string& aIp, int aPort)
  {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &at.sin_addr);
    return ::bind(socket.Fd(), reinterpret_cast<sockaddr*>(&at), sizeof at) ==
           0;
  }

  /// Ends all processes and the case before the longest time that it may take.
  void Watch()
  {
    while (!m_hasEnded && m_record.Now() < 112) {
      Sleep(0.05);
    }
    if (!m_hasEnded) {
      m_record.Line("the case takes too long");
      for (auto& [name, node] : m_nodes) {
        if (node.m_pid > 0) {
          ::kill(node.m_pid, SIGKILL);
        }
      }
      std::error_code ignored;
      fs::remove_all(m_folder, ignored);
      std::_Exit(kCouldNotRun);
    }
  }

  Record& m_record;
  std::atomic<bool> m_hasEnded = false;
  std::thread m_watch;
  std::map<std::string, std::string> m_zones;
  std::string m_network;
  std::string m_folder;
  std::map<std::string, Node> m_nodes;
};

inline bool WithTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review

#endif
