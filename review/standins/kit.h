// Small blocking HTTP/1.1 tools for the stand-ins of the review.
#pragma once
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cmath>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <utility>
#include <unistd.h>
#include <vector>

inline double Now()
{
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration<double>(steady_clock::now() - start).count();
}
inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}
inline FILE*& RecordFile()
{
  static FILE* file = stderr;
  return file;
}
inline void Record(const char* aFormat, ...)
{
  static std::mutex lock;
  std::lock_guard guard(lock);
  std::fprintf(RecordFile(), "%8.3f ", Now());
  va_list list;
  va_start(list, aFormat);
  std::vfprintf(RecordFile(), aFormat, list);
  va_end(list);
  std::fputc('\n', RecordFile());
  std::fflush(RecordFile());
}
inline std::string Format(const char* aFormat, ...)
{
  char text[4096];
  va_list list;
  va_start(list, aFormat);
  std::vsnprintf(text, sizeof text, aFormat, list);
  va_end(list);
  return text;
}

struct Address
{
  std::string m_ip;
  int m_port = 0;
  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};
inline sockaddr_in ToSockaddr(const Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(aAddress.m_port));
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &out.sin_addr);
  return out;
}
/// A TCP and UDP port that is free on all the addresses.
inline int FreePort(const std::vector<std::string>& aIps)
{
  static int next = 21000 + static_cast<int>(getpid() * 7 % 9000);
  for (;;) {
    int port = next++;
    bool isFree = true;
    for (const std::string& ip : aIps) {
      for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
        int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in to = ToSockaddr({ ip, port });
        isFree = isFree &&
                 bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
        close(fd);
      }
    }
    if (isFree) {
      return port;
    }
  }
}
inline int Listen(const Address& aAddress)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in to = ToSockaddr(aAddress);
  if (bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}
inline int Connect(const Address& aAddress)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = ToSockaddr(aAddress);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
inline bool SendAll(int aFd, const std::string& aData)
{
  size_t sent = 0;
  while (sent < aData.size()) {
    ssize_t got =
      send(aFd, aData.data() + sent, aData.size() - sent, MSG_NOSIGNAL);
    if (got <= 0) {
      return false;
    }
    sent += static_cast<size_t>(got);
  }
  return true;
}

struct Message
{
  std::string m_start;
  std::map<std::string, std::string> m_headers; // names in lower case
  std::string m_body;
  bool m_isWhole = false;
  /// What stands where the size of a chunk is due.
  std::string m_unreadable;
  std::string Header(const std::string& aName) const
  {
    auto at = m_headers.find(aName);
    return at == m_headers.end() ? "" : at->second;
  }
  int Status() const
  {
    return m_start.size() > 12 ? std::atoi(m_start.c_str() + 9) : 0;
  }
};

/// Reads messages from one connection.
class Reader
{
public:
  explicit Reader(int aFd)
    : m_fd(aFd)
  {
  }
  /// Reads one message. `aOnBody` gets the parts of the body as they arrive.
  bool Read(Message& aOut,
            double aUntil,
            const std::function<void(const std::string&)>& aOnBody = {})
  {
    aOut = Message();
    size_t end;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!More(aUntil)) {
        return false;
      }
    }
    std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    size_t line = head.find("\r\n");
    aOut.m_start = head.substr(0, line);
    size_t at = line + 2;
    while (at < head.size()) {
      size_t next = head.find("\r\n", at);
      std::string field = head.substr(at, next - at);
      size_t colon = field.find(':');
      std::string name = field.substr(0, colon);
      for (char& c : name) {
        c = static_cast<char>(std::tolower(c));
      }
      size_t value = field.find_first_not_of(' ', colon + 1);
      aOut.m_headers[name] =
        value == std::string::npos ? "" : field.substr(value);
      at = next + 2;
    }
    auto give = [&](const std::string& aPart) {
      aOut.m_body += aPart;
      if (aOnBody) {
        aOnBody(aPart);
      }
    };
    if (aOut.Header("transfer-encoding") == "chunked") {
      for (;;) {
        size_t eol;
        while ((eol = m_buffer.find("\r\n")) == std::string::npos) {
          if (!More(aUntil)) {
            return false;
          }
        }
        std::string digits = m_buffer.substr(0, eol);
        if (digits.empty() ||
            digits.find_first_not_of("0123456789abcdefABCDEF") !=
              std::string::npos) {
          aOut.m_unreadable = digits.substr(0, 80);
          return false;
        }
        size_t size = std::strtoul(digits.c_str(), nullptr, 16);
        while (m_buffer.size() < eol + 2 + size + 2) {
          if (!More(aUntil)) {
            return false;
          }
        }
        std::string part = m_buffer.substr(eol + 2, size);
        m_buffer.erase(0, eol + 2 + size + 2);
        if (size == 0) {
          break;
        }
        give(part);
      }
    } else {
      size_t size = std::strtoul(aOut.Header("content-length").c_str(),
                                 nullptr, 10);
      while (m_buffer.size() < size) {
        if (!More(aUntil)) {
          return false;
        }
      }
      give(m_buffer.substr(0, size));
      m_buffer.erase(0, size);
    }
    aOut.m_isWhole = true;
    return true;
  }

private:
  bool More(double aUntil)
  {
    for (;;) {
      int left = static_cast<int>((aUntil - Now()) * 1000);
      pollfd item{ m_fd, POLLIN, 0 };
      if (left <= 0 || poll(&item, 1, left) == 0) {
        return false;
      }
      char data[65536];
      ssize_t got = recv(m_fd, data, sizeof data, 0);
      if (got < 0 && errno == EINTR) {
        continue;
      }
      if (got <= 0) {
        return false;
      }
      m_buffer.append(data, static_cast<size_t>(got));
      return true;
    }
  }
  int m_fd;
  std::string m_buffer;
};

/// One call on a new connection; returns the status, or 0 without an answer.
inline int Call(const Address& aTo,
                const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody,
                std::string* aAnswer = nullptr)
{
  int fd = Connect(aTo);
  if (fd < 0) {
    return 0;
  }
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aTo.Text() +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(aBody.size()) +
                     "\r\nConnection: close\r\n\r\n" + aBody;
  Message answer;
  Reader reader(fd);
  bool ok = SendAll(fd, text) && reader.Read(answer, Now() + 1.0);
  close(fd);
  if (ok && aAnswer) {
    *aAnswer = answer.m_body;
  }
  return ok ? answer.Status() : 0;
}
inline int64_t UnixMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

/// Starts and ends processes of the system, as the platform does.
class Site
{
public:
  struct Host
  {
    std::string m_name, m_zone, m_ip, m_file;
    bool m_isControl = false;
    pid_t m_pid = -1;
  };
  std::string m_folder;
  std::string m_binary = "target/bin/persimmontallyd";
  int m_front = 0, m_ready = 0, m_control = 0, m_peer = 0, m_metrics = 0;
  std::vector<Host> m_hosts;
  std::atomic<bool> m_isEnding{ false };

  Site(int aControls, int aEntries)
  {
    char name[] = "/tmp/review-XXXXXX";
    m_folder = mkdtemp(name);
    const char* zones[] = { "xela", "tecpan", "mataquescuint" };
    std::vector<std::string> ips;
    int net = 16 + static_cast<int>(getpid() % 200);
    for (int i = 0; i < aControls + aEntries; ++i) {
      Host host;
      host.m_isControl = i < aControls;
      int number = host.m_isControl ? i : i - aControls;
      host.m_zone = zones[number % 3];
      host.m_name = (host.m_isControl ? "core-" : "front-") + host.m_zone + "-" +
                    std::to_string(number / 3 + 1);
      host.m_ip = Format("127.%d.%d.1", net, 1 + i);
      ips.push_back(host.m_ip);
      m_hosts.push_back(host);
    }
    m_front = FreePort(ips);
    m_ready = FreePort(ips);
    m_control = FreePort(ips);
    m_peer = FreePort(ips);
    m_metrics = FreePort(ips);
    for (Host& host : m_hosts) {
      host.m_file = m_folder + "/" + host.m_name + ".ini";
    }
  }
  /// Fills in deploy/entry.ini or deploy/control.ini.
  void WriteSettings(const Host& aHost, bool aIsBootstrap)
  {
    FILE* in = std::fopen(aHost.m_isControl ? "deploy/control.ini"
                                            : "deploy/entry.ini", "r");
    std::string text;
    char data[4096];
    size_t got;
    while ((got = std::fread(data, 1, sizeof data, in)) > 0) {
      text.append(data, got);
    }
    std::fclose(in);
    std::string seeds;
    int count = 0;
    for (const Host& host : m_hosts) {
      if (host.m_isControl && count++ < 3) {
        seeds += (seeds.empty() ? "" : ",") + host.m_ip + ":" +
                 std::to_string(m_control);
      }
    }
    std::string folder = m_folder + "/" + aHost.m_name;
    if (aHost.m_isControl) {
      mkdir(folder.c_str(), 0700);
    }
    std::vector<std::pair<std::string, std::string>> fields = {
      { "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
        "xela:altiplano-oes,tecpan:valle-central,mataquescuint:sierra-este" },
      { "{{node}}", aHost.m_name },
      { "{{zone}}", aHost.m_zone },
      { "{{region}}", aHost.m_zone == "xela"     ? "altiplano-oes"
                      : aHost.m_zone == "tecpan" ? "valle-central"
                                                 : "sierra-este" },
      { "{{listen.front}}", aHost.m_ip + ":" + std::to_string(m_front) },
      { "{{listen.ready}}", aHost.m_ip + ":" + std::to_string(m_ready) },
      { "{{listen.control}}", aHost.m_ip + ":" + std::to_string(m_control) },
      { "{{ip}}:{{internal-port-range.0}}",
        aHost.m_ip + ":" + std::to_string(m_peer) },
      { "{{ip}}:9464", aHost.m_ip + ":" + std::to_string(m_metrics) },
      { "{{seeds}}", seeds },
      { "{{data-dir}}", folder },
      { "{{bootstrap}}", aIsBootstrap ? "true" : "false" },
      { "{{tolerate.machines}}", "1" },
    };
    for (const auto& [from, to] : fields) {
      for (size_t at; (at = text.find(from)) != std::string::npos;) {
        text.replace(at, from.size(), to);
      }
    }
    FILE* out = std::fopen(aHost.m_file.c_str(), "w");
    std::fwrite(text.data(), 1, text.size(), out);
    std::fclose(out);
  }
  void Start(Host& aHost, bool aIsBootstrap)
  {
    WriteSettings(aHost, aIsBootstrap);
    std::string log = m_folder + "/" + aHost.m_name + ".log";
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this stand-in
      int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(fd, 1);
      dup2(fd, 2);
      execl(m_binary.c_str(), m_binary.c_str(), "--config",
            aHost.m_file.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    aHost.m_pid = pid;
    Record("platform: started %s (%s)", aHost.m_name.c_str(),
           aHost.m_isControl ? "control" : "entry");
  }
  void StartAll()
  {
    for (Host& host : m_hosts) {
      Start(host, true);
    }
  }
  void Kill(Host& aHost, int aSignal = SIGKILL)
  {
    if (aHost.m_pid > 0) {
      kill(aHost.m_pid, aSignal);
    }
  }
  void EndAll()
  {
    m_isEnding = true;
    for (Host& host : m_hosts) {
      if (host.m_pid > 0) {
        kill(host.m_pid, SIGKILL);
        waitpid(host.m_pid, nullptr, 0);
        host.m_pid = -1;
      }
    }
    if (!std::getenv("KEEP")) {
      std::string command = "rm -rf '" + m_folder + "'";
      if (std::system(command.c_str()) != 0) {
        Record("cannot remove %s", m_folder.c_str());
      }
    }
  }
  Address ControlOf(int aNumber) const
  {
    return { m_hosts[static_cast<size_t>(aNumber) % 3].m_ip, m_control };
  }
  Host& Entry(int aNumber)
  {
    int seen = 0;
    for (Host& host : m_hosts) {
      if (!host.m_isControl && seen++ == aNumber) {
        return host;
      }
    }
    std::abort();
  }
  Address FrontOf(int aNumber) { return { Entry(aNumber).m_ip, m_front }; }
  bool IsReady(int aNumber)
  {
    return Call({ Entry(aNumber).m_ip, m_ready }, "GET", "/persimmontally/ready",
                "") == 200;
  }
  /// Calls the control hosts in turn until one answers with 200.
  bool Order(const std::string& aMethod,
             const std::string& aPath,
             const std::string& aBody,
             double aFor = 10)
  {
    double until = Now() + aFor;
    for (int i = 0; Now() < until && !m_isEnding; ++i) {
      if (Call(ControlOf(i), aMethod, aPath, aBody) == 200) {
        return true;
      }
      Sleep(0.1);
    }
    return false;
  }
  bool WaitReady(int aEntries)
  {
    for (double until = Now() + 20; Now() < until; Sleep(0.1)) {
      int ready = 0;
      for (int i = 0; i < aEntries; ++i) {
        ready += IsReady(i) ? 1 : 0;
      }
      if (ready == aEntries) {
        return true;
      }
    }
    return false;
  }
};
