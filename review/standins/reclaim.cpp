// A server is taken away that goes on with a request whose connection has been
// closed ("most servers drop a request when its connection closes").
#include "stage.h"

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
  for (int i = 0; i < 8; ++i) {
    servers.push_back(std::make_unique<Server>(
      world, site, Format("i-%d", i + 1), "redaccion", "xela", "127.0.0.1"));
    servers.back()->Start();
  }
  Server& leaving = *servers[0];
  leaving.m_isStubborn = true; // 1 of 8
  if (!site.WaitReady(2)) {
    site.EndAll();
    return 2;
  }
  Sleep(4.5); // the hosts are in touch
  std::atomic<int> whole{ 0 }, broken{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < 32; ++i) {
    clients.emplace_back([&, i] {
      std::string id = Format("gen-%d", i);
      int fd = Connect(site.FrontOf(i % 2));
      Reader reader(fd);
      Message answer;
      SendAll(fd, RequestText("/boletin/2f", id, StreamHeaders(429, 932, id),
                              std::string(3000, 'p')));
      bool isWhole = reader.Read(answer, Now() + 39);
      close(fd);
      (isWhole ? whole : broken) += 1;
      Record("client: %s: %d %s", id.c_str(), answer.Status(),
             isWhole ? "whole" : "broken off");
    });
    Sleep(0.02);
  }
  Sleep(3);
  if (aHasTrouble) {
    leaving.Drain();
    Sleep(2);
    leaving.End();
  }
  for (auto& client : clients) {
    client.join();
  }
  site.EndAll();
  Sleep(0.3);
  int twice = 0;
  {
    std::lock_guard guard(world.m_lock);
    for (const Run& first : world.m_runs) {
      for (const Run& next : world.m_runs) {
        bool isOverlap = first.m_request == next.m_request &&
                         first.m_server != next.m_server && next.m_isResumed &&
                         first.m_from < next.m_from &&
                         first.m_to > next.m_from + 0.4;
        if (isOverlap) {
          ++twice;
          Record("%s: goes on at %s from %.3f, %s works on it until %.3f",
                 next.m_request.c_str(), next.m_server.c_str(), next.m_from,
                 first.m_server.c_str(), first.m_to);
        }
      }
    }
  }
  Record("clients: whole %d, broken off %d; requests at two servers for over "
         "0.4 s: %d", whole.load(), broken.load(), twice);
  Record(twice > 0 ? "TWICE is broken" : "TWICE holds");
  _exit(twice > 0 ? 1 : 0); // threads of the stand-ins still run
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
