// Generations are moved off servers that are taken away, while other servers
// fail part of their requests. Each client checks that what it gets is HTTP.
#include "stage.h"

static int Play(bool aHasTrouble)
{
  Site site(3, 2);
  World world;
  site.StartAll();
  std::vector<std::unique_ptr<Server>> servers;
  int next = 1;
  auto add = [&] {
    servers.push_back(std::make_unique<Server>(
      world, site, Format("i-%d", next++), "redaccion", "xela", "127.0.0.1"));
    servers.back()->Start();
  };
  if (!site.Order("PUT", "/persimmontally/config", Config(7), 20)) {
    site.EndAll();
    return 2;
  }
  for (int i = 0; i < 8; ++i) {
    add();
  }
  if (!site.WaitReady(2)) {
    site.EndAll();
    return 2;
  }
  std::atomic<bool> isOver{ false };
  std::atomic<int> whole{ 0 }, broken{ 0 }, refused{ 0 }, unreadable{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < 40; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !isOver; ++n) {
        std::string id = Format("gen-%d-%d", i, n);
        int fd = Connect(site.FrontOf(i % 2));
        Reader reader(fd);
        Message answer;
        SendAll(fd, RequestText("/boletin/2f", id, StreamHeaders(429, 932, id),
                                std::string(3000, 'p')));
        bool isWhole = reader.Read(answer, Now() + 39);
        close(fd);
        if (!answer.m_unreadable.empty()) {
          ++unreadable;
          Record("client: %s: 200, then in place of a chunk: '%s'", id.c_str(),
                 answer.m_unreadable.c_str());
        } else if (isWhole && answer.Status() == 200) {
          ++whole;
        } else if (isWhole) {
          ++refused;
        } else {
          ++broken;
          Record("client: %s: broken off", id.c_str());
        }
        Sleep(0.05);
      }
    });
  }
  Sleep(3);
  // Each 6.5 s another server fails 0.45 of its requests (1 of 8 servers); each
  // 4 s one is taken away 1.8 s after its notice, and another comes.
  double end = Now() + 45, nextFailing = Now(), nextReclaim = Now() + 1;
  Server* failing = nullptr;
  while (Now() < end && unreadable == 0) {
    if (aHasTrouble && Now() >= nextFailing) {
      nextFailing += 6.5;
      if (failing) {
        failing->m_failing = 0;
      }
      failing = servers[servers.size() - 1].get();
      failing->m_failing = 0.45;
      Record("trouble: %s fails part of its requests", failing->m_id.c_str());
    }
    if (Now() >= nextReclaim) {
      nextReclaim += 4;
      Server* leaving = nullptr;
      for (auto& server : servers) {
        if (!leaving && !server->m_isGone && server.get() != failing) {
          leaving = server.get();
        }
      }
      leaving->Drain();
      Sleep(1.8);
      leaving->End();
      add();
    }
    Sleep(0.02);
  }
  isOver = true;
  for (auto& client : clients) {
    client.join();
  }
  site.EndAll();
  world.m_isEnding = true;
  Sleep(0.3);
  Record("whole %d, broken off %d, refused or failed %d, unreadable %d",
         whole.load(), broken.load(), refused.load(), unreadable.load());
  Record(unreadable > 0 ? "MIXED is broken" : "MIXED holds");
  _exit(unreadable > 0 ? 1 : 0); // threads of the stand-ins still run
}

int main()
{
  const char* trouble = std::getenv("TROUBLE");
  if (const char* record = std::getenv("RECORD")) {
    RecordFile() = std::fopen(record, "w");
  }
  signal(SIGPIPE, SIG_IGN);
  std::srand(static_cast<unsigned>(getpid()));
  _exit(Play(!trouble || std::string(trouble) != "0"));
}
