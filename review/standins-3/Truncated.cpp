// Case: a model server whose answers have neither a length nor chunks ends, and
// its machine is gone. No answer that it broke off may look complete.
#include "Kit.h"

using namespace kit;

static const char* kConfig =
  R"({"version":7,"routes":[)"
  R"({"name":"r-long","host":"ficu95.example","path-prefix":"/lohu930/","kind":"stream","timeout-ms":39000,"slo-ms":4000,"priority":2,"service":"huvo11a","attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":180}],)"
  R"("services":[{"name":"huvo11a","health-path":"/health","max-conns":222,"protocol":"h1","tls":false,"engine":{"slots":24,"kv-tokens":34285,"kv-token-bytes":35136,"link-mbps":5100.0,"moves":false,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}}],)"
  R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
  R"("tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";

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
                      site.Fronts()[aNumber % 3].m_zone,
                      "--cores",
                      cores,
                      "--slots",
                      std::to_string(aSlots),
                      "--gap",
                      "0.03",
                      "--unframed",
                      "1" },
                    site.Folder() + "/" + aId + ".log");
    };
  if (!site.Start(kConfig)) {
    record.Line("the first configuration was not acknowledged");
    return 2;
  }
  for (int i = 0; i < 6; ++i) {
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
  std::vector<std::thread> clients;
  for (int i = 0; i < 36; ++i) {
    clients.emplace_back([&, i] {
      char id[32];
      std::snprintf(id, sizeof id, "9c41d07be2a3%04x", i);
      const Machine& front = site.Fronts()[i % site.Fronts().size()];
      std::string request =
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " +
        std::string(id) +
        "\r\nModel: m\r\nToken-Count: 1460,480\r\nLength-Hint: 480\r\n"
        "Prefix-Hash: 5c1e07a2:800,91bd3f" +
        std::string(id + 12) +
        ":410\r\n"
        "Deadline-Ms: 20000\r\nX-Api-Key: xd9dnn2ctnfzs989anu6\r\n"
        "Content-Length: 4\r\n\r\nbody";
      Response response = Call(front.m_ip, kFrontPort, request, 21);
      std::string last;
      size_t at = response.m_head.m_body.rfind("id: ");
      if (at != std::string::npos) {
        last = response.m_head.m_body.substr(
          at + 4, response.m_head.m_body.find('\n', at) - at - 4);
      }
      bool isWhole = last == "120";
      record.Line("client: stream " + std::string(id) + " via " + front.m_name +
                  " got status " + std::to_string(response.m_head.Status()) +
                  ", last event " + last + " of 120, " +
                  (response.m_isComplete ? "complete" : "broken off"));
      if (response.m_isComplete && response.m_head.Status() == 200) {
        (isWhole ? complete : broken) += 1;
      } else {
        brokenOff += 1;
      }
    });
  }
  Sleep(1.5);
  if (hasTrouble) {
    record.Line("trouble: i-model0 ends, and its machine is gone");
    links[0]->DropOpeningPackets();
    servers.Kill("i-model0");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("result: " + std::to_string(complete) + " complete, " +
              std::to_string(brokenOff) + " broken off, " +
              std::to_string(broken) +
              " ended as complete before their last event");
  return broken > 0 ? 1 : (complete == 0 ? 2 : 0);
}
