// Case: a model server is cut off from all machines of the system for two
// seconds, and works on. No run may go on elsewhere beside it.
#include "Runs.h"

using namespace kit;

/// How long the server is cut off.
constexpr double kCut = 2.1;

int main(int argc, char** argv)
{
  if (argc < 2) {
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  double start = Now();
  ::unlink(argv[1]);
  Record record(argv[1], start);
  Processes servers;
  Site site(record, 3);
  // The threads of the links run until the process ends.
  std::vector<Link*> links;
  std::string cores;
  for (const Machine& core : site.Cores()) {
    cores += (cores.empty() ? "" : ",") + core.m_ip;
  }
  auto startServer =
    [&](const std::string& aId, int aNumber, const char* aService, int aSlots) {
      links.push_back(new Link(site.Ip(aNumber), kServerPort, kInnerPort));
      servers.Start(aId,
                    { "target/review-3/Server",
                      "--record",
                      argv[1],
                      "--start",
                      std::to_string(start),
                      "--id",
                      aId,
                      "--ip",
                      site.Ip(aNumber),
                      "--service",
                      aService,
                      "--zone",
                      "xela",
                      "--cores",
                      cores,
                      "--slots",
                      std::to_string(aSlots),
                      "--gap",
                      "0.03",
                      "--goes_on",
                      "1" },
                    site.Folder() + "/" + aId + ".log");
    };
  if (!site.Start(kModelConfig)) {
    record.Line("the first configuration was not acknowledged");
    return 2;
  }
  for (int i = 0; i < 10; ++i) {
    startServer("i-model" + std::to_string(i), 31 + i, "huvo11a", 24);
  }
  if (!site.AwaitReady(10)) {
    record.Line("a front was not ready in time");
    return 2;
  }
  Sleep(2);
  std::atomic<int> complete{ 0 };
  std::atomic<int> brokenOff{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < 40; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; n < 1; ++n) {
        char id[32];
        std::snprintf(id, sizeof id, "9c41d07be2%02x%04x", i, n);
        const Machine& front = site.Fronts()[i % site.Fronts().size()];
        (AskForStream(record, front, id) ? complete : brokenOff) += 1;
      }
    });
  }
  Sleep(1);
  double wholeAt = 0;
  if (hasTrouble) {
    double cutAt = Now();
    record.Line("trouble: i-model0 is cut off");
    servers.Signal("i-model0", SIGUSR1);
    links[0]->Hold();
    links[0]->DropOpeningPackets();
    Sleep(cutAt + kCut - Now());
    links[0]->AnswerOpeningPackets();
    links[0]->Release();
    servers.Signal("i-model0", SIGUSR1);
    wholeAt = Now() - start;
    record.Line("trouble: i-model0 is reached again");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  return JudgeRuns(record, complete, brokenOff, wholeAt);
}
