#include "stage.h"

int main()
{
  bool hasTrouble =
    !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
  if (std::getenv("RECORD")) RecordFile() = std::fopen(std::getenv("RECORD"), "w");
  signal(SIGPIPE, SIG_IGN);
  Site site(3, 2);
  World world;
  site.StartAll();
  if (!site.Order("PUT", "/persimmontally/config", Config(7), 20)) { site.EndAll(); return 2; }
  std::vector<std::unique_ptr<Server>> engines;
  for (int i = 0; i < 4; ++i) {
    engines.push_back(std::make_unique<Server>(world, site, Format("i-%d", i + 1), "redaccion", "xela", "127.0.0.1"));
    engines.back()->Start();
  }
  engines[0]->m_isStubborn = true;
  if (!site.WaitReady(2)) { site.EndAll(); return 2; }
  std::vector<std::thread> clients;
  for (int i = 0; i < 12; ++i) clients.emplace_back([&, i] {
    int fd = Connect(site.FrontOf(0)); Message m; Reader r(fd);
    std::string id = Format("gen-%d", i);
    SendAll(fd, RequestText("/boletin/2f", id, StreamHeaders(3079, 932, id), std::string(3000, 'p')));
    bool ok = r.Read(m, Now() + 30);
    Record("client %s: %d %s", id.c_str(), m.Status(), ok ? "whole" : "broken");
    close(fd);
  });
  Sleep(3);
  if (hasTrouble) { engines[0]->Drain(); Sleep(2); engines[0]->End(); }
  for (auto& t : clients) t.join();
  site.EndAll(); world.m_isEnding = true; Sleep(0.3);
  for (auto& a : world.m_runs) for (auto& b : world.m_runs)
    if (a.m_request == b.m_request && a.m_server != b.m_server && b.m_isResumed && a.m_from < b.m_from && a.m_to > b.m_from)
      Record("check: %s went on at %s at %.3f, %s worked on it until %.3f (%.0f ms)", a.m_request.c_str(), b.m_server.c_str(), b.m_from, a.m_server.c_str(), a.m_to, 1000 * (a.m_to - b.m_from));
  _exit(0);
}
