// Callers send long prompts, one after the other. The platform ends a process
// that uses more than `memory-mb`.
#include "stage.h"

static constexpr double kMemoryMb = 110; // `memory-mb` of an entry host
static constexpr size_t kPromptBytes = 4000000; // `max-body-bytes` is 4194304

static double MemoryMb(pid_t aPid)
{
  std::string path = "/proc/" + std::to_string(aPid) + "/status";
  FILE* file = std::fopen(path.c_str(), "r");
  char line[256];
  long kb = 0;
  while (file && std::fgets(line, sizeof line, file)) {
    if (std::strncmp(line, "VmRSS:", 6) == 0) {
      kb = std::atol(line + 6);
    }
  }
  if (file) {
    std::fclose(file);
  }
  return static_cast<double>(kb) / 1024;
}

static int Play(bool aHasTrouble)
{
  Site site(3, 2);
  World world;
  site.StartAll();
  if (!site.Order("PUT", "/persimmontally/config", Config(7), 20)) {
    site.EndAll();
    return 2;
  }
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 6; ++i) {
    servers.push_back(std::make_unique<Server>(
      world, site, Format("i-%d", i + 1), "redaccion", "xela", "127.0.0.1"));
    servers.back()->m_prefillTime = 0.357; // 5,000 tokens, 14 in a ms
    servers.back()->Start();
  }
  if (!site.WaitReady(2)) {
    site.EndAll();
    return 2;
  }
  std::atomic<bool> isOver{ false };
  std::atomic<int> whole{ 0 }, unanswered{ 0 }, brokenOff{ 0 }, kills{ 0 };
  std::atomic<double> most{ 0 };
  // The platform.
  std::thread platform([&] {
    Site::Host& host = site.Entry(0);
    while (!isOver) {
      double used = MemoryMb(host.m_pid);
      most = std::max(most.load(), used);
      if (used > kMemoryMb) {
        Record("platform: %s uses %.1f MB, more than memory-mb: killed",
               host.m_name.c_str(), used);
        ++kills;
        site.Kill(host);
        waitpid(host.m_pid, nullptr, 0);
        Sleep(0.3);
        site.Start(host, false);
      }
      Sleep(0.02);
    }
  });
  // Clients that keep their connections and send short requests.
  std::vector<std::thread> clients;
  for (int i = 0; i < 24; ++i) {
    clients.emplace_back([&, i] {
      int fd = -1;
      std::unique_ptr<Reader> reader;
      for (int n = 0; !isOver; ++n) {
        bool isKept = fd >= 0;
        if (!isKept && (fd = Connect(site.FrontOf(0))) < 0) {
          Sleep(0.2);
          continue;
        }
        if (!isKept) {
          reader = std::make_unique<Reader>(fd);
        }
        std::string id = Format("short-%d-%d", i, n);
        Message answer;
        SendAll(fd, RequestText("/boletin/2f", id, StreamHeaders(5000, 12, id),
                                std::string(3000, 'p')));
        bool isWhole = reader->Read(answer, Now() + 39);
        if (isWhole) {
          ++whole;
          Sleep(0.3 * std::rand() / RAND_MAX);
          continue;
        }
        close(fd);
        fd = -1;
        bool wasPassedOn = false;
        {
          std::lock_guard guard(world.m_lock);
          wasPassedOn = world.m_begun.count(id) > 0;
        }
        bool hasAnswer = !answer.m_start.empty();
        Record("client: %s on a %s connection: closed %s, %s", id.c_str(),
               isKept ? "kept" : "new",
               hasAnswer ? "within the answer" : "without an answer",
               wasPassedOn ? "had been passed on" : "not passed on");
        unanswered += isKept && wasPassedOn && !hasAnswer ? 1 : 0;
        brokenOff += hasAnswer ? 1 : 0;
      }
    });
  }
  // Long prompts: 0.4 a second, one at a time; 2.5 times as many in a burst.
  double start = Now(), end = start + 75;
  std::thread longPrompts([&] {
    double at = start;
    for (int n = 0; at < end; ++n) {
      double since = at - start;
      bool isBurst = aHasTrouble && since >= 45 &&
                     std::fmod(since - 45, 7.5) < 6.7;
      at += 1 / (isBurst ? 0.4 * 2.5 : 0.4);
      if (at > Now()) {
        Sleep(at - Now());
      }
      std::string id = Format("long-%d", n);
      int fd = Connect(site.FrontOf(0));
      Reader reader(fd);
      Message answer;
      SendAll(fd, RequestText("/boletin/2f", id, StreamHeaders(3079, 40, id),
                              std::string(kPromptBytes, 'p')));
      bool isWhole = reader.Read(answer, Now() + 39);
      close(fd);
      Record("client: %s%s: %d %s; the entry host uses %.1f MB", id.c_str(),
             isBurst ? " (burst)" : "", answer.Status(),
             isWhole ? "whole" : "broken off", MemoryMb(site.Entry(0).m_pid));
    }
  });
  longPrompts.join();
  isOver = true;
  platform.join();
  for (auto& client : clients) {
    client.join();
  }
  site.EndAll();
  world.m_isEnding = true;
  Sleep(0.3);
  Record("most memory %.1f MB, killed %d times; short requests: whole %d, kept "
         "connection closed without an answer after the request was passed on "
         "%d, broken off %d",
         most.load(), kills.load(), whole.load(), unanswered.load(),
         brokenOff.load());
  Record(unanswered > 3 ? "LOST is broken" : "LOST holds");
  _exit(unanswered > 3 ? 1 : 0); // threads of the stand-ins still run
}

int main()
{
  const char* trouble = std::getenv("TROUBLE");
  if (const char* record = std::getenv("RECORD")) {
    RecordFile() = std::fopen(record, "w");
  }
  signal(SIGPIPE, SIG_IGN);
  _exit(Play(!trouble || std::string(trouble) != "0"));
}
