#include "Process/ProcessSite.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace persimmontally {

static constexpr uint16_t kCallersPort = 8740;
static constexpr uint16_t kReadinessPort = 8749;
static constexpr uint16_t kControlPort = 8748;
static constexpr uint16_t kPeerPort = 7200;
static constexpr uint16_t kUpstreamPort = 9000;
static constexpr Duration kEventPeriod = milliseconds(40);
static constexpr const char* kKey = "xd9dnn2ctnfzs989anu6";

static std::string ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

static std::string DaemonPath()
{
  const char* path = std::getenv("PERSIMMONTALLY_DAEMON");
  REQUIRE_MESSAGE(path != nullptr, "PERSIMMONTALLY_DAEMON is not set");
  return path;
}

static int Draw(int aLow, int aHigh)
{
  static std::mt19937 random{ std::random_device()() };
  return std::uniform_int_distribution<int>(aLow, aHigh)(random);
}

ProcessSite::ProcessSite(ProcessSiteOptions aOptions)
  : m_options(aOptions)
  , m_network("127." + std::to_string(Draw(20, 220)) + "." +
              std::to_string(Draw(1, 250)) + ".")
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "process-site-XXXXXX").string();
  REQUIRE(::mkdtemp(pattern.data()) != nullptr);
  m_folder = pattern;
  constexpr int kHostsPerRole = 3;
  for (int i = 0; i < kHostsPerRole; ++i) {
    std::string number = std::to_string(i + 1);
    m_controls.push_back(
      { "control-" + number, m_network + std::to_string(i + 1), true });
    m_entries.push_back(
      { "entry-" + number, m_network + std::to_string(i + 11) });
  }
  m_completions = { "completions", m_network + "21" };
  m_reaper = m_loop.RunEvery(milliseconds(5), [this] { ReapProcesses(); });
}

std::vector<DaemonProcess*> ProcessSite::Processes()
{
  std::vector<DaemonProcess*> all = { &m_completions };
  for (auto* processes : { &m_entries, &m_controls }) {
    for (DaemonProcess& process : *processes) {
      all.push_back(&process);
    }
  }
  return all;
}

ProcessSite::~ProcessSite()
{
  for (DaemonProcess* process : Processes()) {
    if (process->m_pid > 0 && !process->m_hasEnded) {
      ::kill(process->m_pid, SIGKILL);
      ::waitpid(process->m_pid, nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

// Processes and their settings.

static void FillIn(std::string& aText,
                   const std::map<std::string, std::string>& aValues)
{
  for (const auto& [name, value] : aValues) {
    for (size_t at = aText.find(name); at != std::string::npos;
         at = aText.find(name, at + value.size())) {
      aText.replace(at, name.size(), value);
    }
  }
}

/// Fills in the template in `deploy/` as the platform does, with the values
/// that its first version had.
std::string ProcessSite::WriteSettings(const DaemonProcess& aProcess) const
{
  std::string seeds;
  for (const DaemonProcess& control : m_controls) {
    seeds += (seeds.empty() ? "" : ",") + control.m_address + ":" +
             std::to_string(kControlPort);
  }
  const std::map<std::string, std::string> values = {
    { "{{node}}", aProcess.m_name },
    { "{{zone}}", "dc" },
    { "{{region}}", "region" },
    { "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "dc:region" },
    { "{{listen.front}}",
      aProcess.m_address + ":" + std::to_string(kCallersPort) },
    { "{{listen.ready}}",
      aProcess.m_address + ":" + std::to_string(kReadinessPort) },
    { "{{listen.control}}",
      aProcess.m_address + ":" + std::to_string(kControlPort) },
    { "{{ip}}", aProcess.m_address },
    { "{{internal-port-range.0}}", std::to_string(kPeerPort) },
    { "{{seeds}}", seeds },
    { "{{data-dir}}", m_folder + "/" + aProcess.m_name + ".data" },
    { "{{bootstrap}}", "true" },
    { "{{tolerate.machines}}", "1" },
  };
  std::string text =
    !aProcess.m_settings.empty()
      ? aProcess.m_settings
      : ReadFile(std::string(PERSIMMONTALLY_SOURCE_DIR) + "/deploy/" +
                 (aProcess.m_isControl ? "control" : "entry") + ".ini");
  REQUIRE(!text.empty());
  FillIn(text, values);
  CHECK(text.find("{{") == std::string::npos);
  std::string path = m_folder + "/" + aProcess.m_name + ".ini";
  // A test may have made the file a pipe that it writes to itself.
  if (!std::filesystem::is_fifo(path)) {
    std::ofstream(path) << text;
  }
  return path;
}

/// Returns the arguments with which the platform runs a role.
std::vector<std::string> ProcessSite::RunWords(const std::string& aSettings,
                                               bool aIsControl) const
{
  if (!m_options.m_hasRunLine) {
    return { "--config", aSettings };
  }
  std::string deploy =
    ReadFile(std::string(PERSIMMONTALLY_SOURCE_DIR) + "/deploy/system.toml");
  size_t role = deploy.find(aIsControl ? "[roles.control]" : "[roles.entry]");
  constexpr std::string_view kRun = "run = \"";
  size_t begin = deploy.find(kRun, role) + kRun.size();
  std::istringstream run(deploy.substr(begin, deploy.find('"', begin) - begin));
  const std::map<std::string, std::string> values = {
    { "{{bounds.grace-s}}", std::to_string(m_options.m_graceSeconds) },
    { "{{limits.memory-mb}}", std::to_string(m_options.m_memoryMb) },
    { "{{limits.max-fds}}", std::to_string(m_options.m_descriptors) },
  };
  std::vector<std::string> words;
  std::string word;
  run >> word;
  while (run >> word) {
    FillIn(word, values);
    CHECK(word.find("{{") == std::string::npos);
    words.push_back(word.ends_with("/local.yaml") ? aSettings : word);
  }
  return words;
}

void ProcessSite::StartProcess(DaemonProcess& aProcess, int aOutput)
{
  std::string settings = WriteSettings(aProcess);
  std::string log = m_folder + "/" + aProcess.m_name + ".log";
  if (aProcess.m_isControl) {
    std::filesystem::create_directories(m_folder + "/" + aProcess.m_name +
                                        ".data");
  }
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  if (aOutput >= 0) {
    posix_spawn_file_actions_adddup2(&files, aOutput, STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(
      &files, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  std::string program = DaemonPath();
  std::vector<std::string> words = RunWords(settings, aProcess.m_isControl);
  std::vector<char*> arguments = { program.data() };
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  aProcess.m_hasEnded = false;
  REQUIRE(::posix_spawn(&aProcess.m_pid,
                        program.c_str(),
                        &files,
                        nullptr,
                        arguments.data(),
                        environ) == 0);
  posix_spawn_file_actions_destroy(&files);
}

void ProcessSite::ReapProcesses()
{
  for (DaemonProcess* process : Processes()) {
    if (process->m_pid > 0 && !process->m_hasEnded &&
        ::waitpid(process->m_pid, &process->m_status, WNOHANG) ==
          process->m_pid) {
      process->m_hasEnded = true;
    }
  }
}

void ProcessSite::Signal(const DaemonProcess& aProcess, int aSignal)
{
  if (!aProcess.m_hasEnded) {
    ::kill(aProcess.m_pid, aSignal);
  }
}

double ProcessSite::PeakMemoryMb(const DaemonProcess& aProcess)
{
  std::string status =
    ReadFile("/proc/" + std::to_string(aProcess.m_pid) + "/status");
  constexpr std::string_view kName = "VmHWM:";
  size_t at = status.find(kName);
  REQUIRE(at != std::string::npos);
  return std::stod(status.substr(at + kName.size())) / 1024;
}

int ProcessSite::OpenDescriptors(const DaemonProcess& aProcess)
{
  std::filesystem::directory_iterator files(
    "/proc/" + std::to_string(aProcess.m_pid) + "/fd");
  return static_cast<int>(
    std::distance(files, std::filesystem::directory_iterator()));
}

std::string ProcessSite::LogOf(const DaemonProcess& aProcess) const
{
  return ReadFile(m_folder + "/" + aProcess.m_name + ".log");
}

void ProcessSite::Start()
{
  for (auto* processes : { &m_controls, &m_entries }) {
    for (DaemonProcess& process : *processes) {
      StartProcess(process);
    }
  }
  // Hosts need a moment until they listen and have elected a leader.
  auto isStored = [this] {
    auto order = SendOrder("PUT",
                           "/persimmontally/config",
                           Catalog(1, m_options.m_maxBodyBytes),
                           m_nextOrder++ % 3);
    RunUntil([&] { return order->m_isDone; });
    return order->m_status == 200;
  };
  Instant limit = m_loop.Now() + seconds(30);
  while (!isStored()) {
    REQUIRE(m_loop.Now() < limit);
    RunFor(milliseconds(100));
  }
  for (int i = 0; i < m_options.m_engines; ++i) {
    AddUpstream("engine-" + std::to_string(i + 1), "engines");
  }
  AddUpstream("plain-1", "plain");
  m_announcer = m_loop.RunEvery(milliseconds(1000), [this] {
    for (const auto& upstream : m_upstreams) {
      Announce(*upstream);
    }
  });
  for (const DaemonProcess& entry : m_entries) {
    bool isReady = false;
    bool isAsked = false;
    RunUntil([&] {
      if (!isReady && !std::exchange(isAsked, true)) {
        StartBufferedHttpCall(
          m_loop,
          { entry.m_address, kReadinessPort },
          { "GET", "/", {}, "" },
          HttpCallTimeouts(),
          [&](const absl::Status& aStatus, const HttpResponse& aResponse) {
            isReady = aStatus.ok() && aResponse.m_status == 200;
            isAsked = false;
          });
      }
      return isReady;
    });
  }
}

void ProcessSite::StartCompletions()
{
  std::string keyFile = m_folder + "/completions.key";
  std::ofstream(keyFile) << "guards-against-stray-messages\n";
  const std::string& address = m_completions.m_address;
  std::string peer = address + ":" + std::to_string(kPeerPort);
  m_completions.m_settings =
    "[host]\nname = completions\ndata_centre = dc\nregion = region\n"
    "[listen]\nhttp = " +
    ToString(CallersOf(m_completions)) + "\npeer = " + peer +
    "\n[peers]\nseeds = " + peer + "\n[keys]\nadmin_key_file = " + keyFile +
    "\nupstream_key_file = " + keyFile + "\npeer_key_file = " + keyFile +
    "\n[limits]\nheader_timeout_ms = 3000\nmax_body_bytes = " +
    std::to_string(m_options.m_maxBodyBytes) +
    "\nmemory_mb = " + std::to_string(m_options.m_memoryMb) +
    "\nmax_descriptors = " + std::to_string(m_options.m_descriptors) + "\n";
  StartProcess(m_completions);
  std::shared_ptr<ProcessRequest> answer;
  RunUntil([&] {
    if (!answer || (answer->m_isDone && answer->m_status != 200)) {
      answer = AskCompletions();
    }
    return answer->m_isDone && answer->m_status == 200;
  });
}

std::shared_ptr<ProcessRequest> ProcessSite::AskCompletions()
{
  return Ask(CallersOf(m_completions), "GET", "/healthz", "");
}

std::shared_ptr<ProcessRequest> ProcessSite::SendOrder(
  const std::string& aMethod,
  const std::string& aTarget,
  const std::string& aBody,
  int aControl)
{
  return Ask(
    { m_controls[aControl].m_address, kControlPort }, aMethod, aTarget, aBody);
}

std::shared_ptr<ProcessRequest> ProcessSite::Ask(const Endpoint& aTo,
                                                 const std::string& aMethod,
                                                 const std::string& aTarget,
                                                 const std::string& aBody)
{
  auto order = std::make_shared<ProcessRequest>();
  order->m_sentAt = m_loop.Now();
  StartBufferedHttpCall(
    m_loop,
    aTo,
    { aMethod, aTarget, { { "Content-Type", "application/json" } }, aBody },
    HttpCallTimeouts(),
    [order](const absl::Status& aStatus, const HttpResponse& aResponse) {
      order->m_isDone = true;
      order->m_isComplete = aStatus.ok();
      order->m_status = aStatus.ok() ? aResponse.m_status : 0;
      order->m_body = aResponse.m_body;
    });
  return order;
}

std::string ProcessSite::Catalog(int aVersion, int aMaxBodyBytes)
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[
    {"name":"r-1","host":"h.example","path-prefix":"/stream/","kind":"stream","timeout-ms":39000,"slo-ms":4000,"priority":2,"service":"engines","attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":180},
    {"name":"r-2","host":"h.example","path-prefix":"/unsafe/","kind":"unsafe","timeout-ms":9000,"slo-ms":150,"priority":2,"service":"plain","attempts":1,"public":false,"sticky":false}],
    "services":[{"name":"engines","health-path":"/health","max-conns":222,"protocol":"h1","tls":false,"engine":{"slots":24,"kv-tokens":200000,"kv-token-bytes":35136,"link-mbps":5100.0,"moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}},
    {"name":"plain","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":)" +
         std::to_string(aMaxBodyBytes) +
         R"(,"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"t","api-keys":[")" +
         kKey + R"("],"priority":1}]})";
}

// Upstreams.

void ProcessSite::AddUpstream(const std::string& aId,
                              const std::string& aService)
{
  auto upstream = std::make_unique<Upstream>();
  upstream->m_id = aId;
  upstream->m_service = aService;
  upstream->m_endpoint = { m_network + std::to_string(100 + m_upstreams.size()),
                           kUpstreamPort };
  upstream->m_server = std::make_unique<HttpServer>(
    m_loop,
    HttpLimits(),
    [this, at = upstream.get()](const HttpRequest& aRequest,
                                const Writer& aWriter) {
      Serve(*at, aRequest, aWriter);
    });
  REQUIRE(upstream->m_server->Listen(upstream->m_endpoint).ok());
  Announce(*upstream);
  m_upstreams.push_back(std::move(upstream));
}

void ProcessSite::Announce(Upstream& aUpstream)
{
  std::string body =
    R"({"service":")" + aUpstream.m_service + R"(","addr":")" +
    ToString(aUpstream.m_endpoint) +
    R"(","zone":"dc","version":"v1","slots":)" +
    std::to_string(m_options.m_slots) +
    R"(,"state":"ready","cold-left-ms":0,"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"seq":)" +
    std::to_string(++aUpstream.m_sequence) + R"(,"born":1700000000000})";
  SendOrder("PUT",
            "/persimmontally/instances/" + aUpstream.m_id,
            body,
            m_nextOrder++ % 3);
}

std::shared_ptr<ProcessRequest> ProcessSite::Find(const std::string& aId) const
{
  auto at = m_requestsById.find(aId);
  return at == m_requestsById.end() ? nullptr : at->second;
}

void ProcessSite::EndRun(Upstream& aUpstream, const std::string& aId)
{
  --aUpstream.m_running;
  if (auto request = Find(aId)) {
    request->m_ranUntil = m_loop.Now();
  }
}

void ProcessSite::Serve(Upstream& aUpstream,
                        const HttpRequest& aRequest,
                        const Writer& aWriter)
{
  std::string id(aRequest.Header("Request-Id"));
  HttpHeaders headers = { { "Request-Id", id }, { "Server-Stamp", "s" } };
  if (aUpstream.m_service == "plain" && m_options.m_isPlainEndless) {
    if (!m_options.m_isPlainGenuine) {
      headers.pop_back();
    }
    aWriter->StartStream(200, headers);
    SendWithoutEnd(aWriter);
    return;
  }
  if (aUpstream.m_running >= m_options.m_slots) {
    headers.push_back({ "Not-Run", "1" });
    aWriter->SendResponse({ 503, headers, "" });
    return;
  }
  ++aUpstream.m_running;
  if (auto request = Find(id)) {
    request->m_isPassedOn = true;
  }
  Duration longest = m_options.m_longestAnswer;
  auto time = milliseconds(
    Draw(20, std::max(20, static_cast<int>(ToMilliseconds(longest)))));
  auto isOver = std::make_shared<bool>(false);
  aWriter->OnClosed([this, &aUpstream, id, isOver] {
    if (!std::exchange(*isOver, true)) {
      EndRun(aUpstream, id);
    }
  });
  if (aUpstream.m_service == "engines") {
    aWriter->StartStream(200, headers);
    int events = std::max(1, static_cast<int>(time / kEventPeriod));
    StreamEvents(aUpstream, id, aWriter, 1, events);
    return;
  }
  auto timer = std::make_shared<Timer>();
  *timer = m_loop.RunAfter(
    time, [this, &aUpstream, id, aWriter, headers, timer, isOver] {
      if (!std::exchange(*isOver, true)) {
        EndRun(aUpstream, id);
        aWriter->SendResponse(
          { 200, headers, std::string(m_options.m_plainBytes, 'x') });
      }
    });
}

void ProcessSite::SendWithoutEnd(const Writer& aWriter)
{
  constexpr size_t kPartBytes = size_t(64) << 10;
  aWriter->OnDrained(
    [aWriter, part = std::string(kPartBytes, 'x')] { aWriter->Write(part); });
  aWriter->Write("x");
}

void ProcessSite::StreamEvents(Upstream& aUpstream,
                               const std::string& aId,
                               const Writer& aWriter,
                               int aNext,
                               int aLast)
{
  auto request = Find(aId);
  if (request && request->m_ranUntil) {
    return;
  }
  aWriter->Write("id: " + std::to_string(aNext) + "\ndata: token\n\n");
  if (aNext == aLast) {
    EndRun(aUpstream, aId);
    aWriter->OnClosed(nullptr);
    aWriter->Finish();
    return;
  }
  auto timer = std::make_shared<Timer>();
  *timer = m_loop.RunAfter(
    kEventPeriod, [this, &aUpstream, aId, aWriter, aNext, aLast, timer] {
      StreamEvents(aUpstream, aId, aWriter, aNext + 1, aLast);
    });
}

// Callers.

void ProcessSite::StartCallers(int aCount, const std::string& aPath, int aEntry)
{
  for (int i = 0; i < aCount; ++i) {
    auto caller = std::make_unique<Caller>();
    caller->m_path = aPath;
    caller->m_entry = aEntry;
    caller->m_connections = std::make_unique<HttpConnectionPool>(m_loop);
    SendNext(*caller);
    m_callers.push_back(std::move(caller));
  }
}

void ProcessSite::SendNext(Caller& aCaller)
{
  if (m_areCallersStopped) {
    return;
  }
  auto request = std::make_shared<ProcessRequest>();
  request->m_id = "r" + std::to_string(m_nextRequest++);
  bool isStream = aCaller.m_path.starts_with("/stream");
  HttpRequest http{ "POST",
                    aCaller.m_path,
                    { { "Host", "h.example" },
                      { "Request-Id", request->m_id },
                      { "X-Api-Key", kKey },
                      { "Deadline-Ms", isStream ? "39000" : "9000" } },
                    "body" };
  if (isStream) {
    // The estimate is that of the longest answer: one event holds 4 tokens.
    auto tokens = std::to_string(m_options.m_longestAnswer / kEventPeriod * 4);
    http.m_headers.push_back({ "Model", "m" });
    http.m_headers.push_back({ "Token-Count", "100," + tokens });
    http.m_headers.push_back({ "Length-Hint", tokens });
  }
  HttpCallEvents events;
  events.m_onSend = [this, request] {
    request->m_sentAt = m_loop.Now();
    m_requests.push_back(request);
    m_requestsById[request->m_id] = request;
  };
  events.m_onHead = [request](int aStatus, const HttpHeaders&) {
    request->m_status = aStatus;
  };
  events.m_onEnd = [this, request, &aCaller](const absl::Status& aStatus) {
    request->m_endedAt = m_loop.Now();
    request->m_isDone = true;
    request->m_isComplete = aStatus.ok();
    bool isServed = aStatus.ok() && request->m_status == 200;
    aCaller.m_pause =
      m_loop.RunAfter(isServed ? milliseconds(5) : milliseconds(50),
                      [this, &aCaller] { SendNext(aCaller); });
  };
  aCaller.m_connections->Start(
    { m_entries[aCaller.m_entry].m_address, kCallersPort },
    std::move(http),
    { seconds(1), seconds(60) },
    std::move(events));
}

std::string ProcessSite::RequestText(const std::string& aPath)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r" +
         std::to_string(m_nextRequest++) + "\r\nX-Api-Key: " + kKey +
         "\r\nDeadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody";
}

Endpoint ProcessSite::CallersOf(const DaemonProcess& aProcess) const
{
  return { aProcess.m_address, kCallersPort };
}

void ProcessSite::RunUntil(const std::function<bool()>& aCondition,
                           Duration aLimit)
{
  bool isLate = false;
  Timer limit = m_loop.RunAfter(aLimit, [&] { isLate = true; });
  Timer poll = m_loop.RunEvery(milliseconds(2), [&] {
    if (isLate || aCondition()) {
      m_loop.Stop();
    }
  });
  m_loop.Run();
  REQUIRE_MESSAGE(!isLate, "the condition did not hold in time");
}

void ProcessSite::RunFor(Duration aTime)
{
  Instant end = m_loop.Now() + aTime;
  RunUntil([&] { return m_loop.Now() >= end; }, aTime + seconds(10));
}

} // namespace persimmontally
