// Case: model servers whose answers have neither a length nor chunks are taken
// away while their runs move. No answer that they broke off may look complete.
#include "Kit.h"

using namespace kit;

static const char* kConfig =
  R"({"version":7,"routes":[)"
  R"({"name":"r-long","host":"ficu95.example","path-prefix":"/lohu930/","kind":"stream","timeout-ms":39000,"slo-ms":4000,"priority":2,"service":"huvo11a","attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":180}],)"
  R"("services":[{"name":"huvo11a","health-path":"/health","max-conns":222,"protocol":"h1","tls":false,"engine":{"slots":24,"kv-tokens":34285,"kv-token-bytes":35136,"link-mbps":5100.0,"moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}}],)"
  R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
  R"("tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";

constexpr int kServers = 15;
constexpr int kRounds = 6;
/// Time from the notice until a server is gone, and between two notices.
constexpr double kNotice = 1.54;
constexpr double kPeriod = 5;

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
  std::string cores;
  for (const Machine& core : site.Cores()) {
    cores += (cores.empty() ? "" : ",") + core.m_ip;
  }
  auto startServer =
    [&](const std::string& aId, int aNumber, const char* aService, int aSlots) {
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
                      site.Fronts()[aNumber % 3].m_zone,
                      "--cores",
                      cores,
                      "--slots",
                      std::to_string(aSlots),
                      "--gap",
                      "0.03",
                      "--unframed",
                      "1",
                      "--port",
                      std::to_string(kServerPort) },
                    site.Folder() + "/" + aId + ".log");
    };
  if (!site.Start(kConfig)) {
    record.Line("the first configuration was not acknowledged");
    return 2;
  }
  for (int i = 0; i < kServers; ++i) {
    startServer("i-model" + std::to_string(i), 31 + i, "huvo11a", 24);
  }
  if (!site.AwaitReady(10)) {
    record.Line("a front was not ready in time");
    return 2;
  }
  Sleep(2);
  std::atomic<int> complete{ 0 };
  std::atomic<int> broken{ 0 };
  std::atomic<int> brokenOff{ 0 };
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> clients;
  for (int i = 0; i < 50; ++i) {
    clients.emplace_back([&, i] {
      Sleep(0.01 * i);
      for (int n = 0; !isOver; ++n) {
        char id[32];
        std::snprintf(id, sizeof id, "9c41d07be2%02x%04x", i, n);
        const Machine& front = site.Fronts()[i % site.Fronts().size()];
        std::string request =
          "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " +
          std::string(id) +
          "\r\nModel: m\r\nToken-Count: 6000,932\r\nLength-Hint: 932\r\n"
          "Prefix-Hash: 5c1e07a2:800,91bd" +
          std::string(id + 8) +
          ":410\r\nDeadline-Ms: 39000\r\nX-Api-Key: xd9dnn2ctnfzs989anu6\r\n"
          "Content-Length: 4\r\n\r\nbody";
        Response response = Call(front.m_ip, kFrontPort, request, 40);
        std::string last;
        size_t at = response.m_head.m_body.rfind("id: ");
        if (at != std::string::npos) {
          last = response.m_head.m_body.substr(
            at + 4, response.m_head.m_body.find('\n', at) - at - 4);
        }
        bool isWhole = last == "233";
        record.Line("client: stream " + std::string(id) + " via " +
                    front.m_name + " got status " +
                    std::to_string(response.m_head.Status()) + ", last event " +
                    last + " of 233, " +
                    (response.m_isComplete ? "complete" : "broken off"));
        if (response.m_isComplete && response.m_head.Status() == 200) {
          (isWhole ? complete : broken) += 1;
        } else {
          brokenOff += 1;
          Sleep(0.5);
        }
      }
    });
  }
  Sleep(4);
  // Two servers at a time are gone 1.54 s after the notice; others come later.
  for (int round = 0; round < kRounds; ++round) {
    double noticedAt = Now();
    std::vector<std::string> leaving;
    for (int i = 2 * round; hasTrouble && i < 2 * round + 2; ++i) {
      leaving.push_back("i-model" + std::to_string(i));
      servers.Signal(leaving.back(), SIGUSR2);
      record.Line("trouble: " + leaving.back() +
                  " is told that it will be gone");
    }
    Sleep(noticedAt + kNotice - Now());
    for (const std::string& id : leaving) {
      servers.Kill(id);
      record.Line("trouble: " + id + " is gone");
    }
    Sleep(noticedAt + kPeriod - Now());
    for (int i = 2 * round; hasTrouble && i < 2 * round + 2; ++i) {
      startServer("i-model" + std::to_string(kServers + i),
                  31 + kServers + i,
                  "huvo11a",
                  24);
    }
  }
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("result: " + std::to_string(complete) + " complete, " +
              std::to_string(brokenOff) + " broken off, " +
              std::to_string(broken) +
              " ended as complete before their last event");
  return broken > 0 ? 1 : (complete == 0 ? 2 : 0);
}
