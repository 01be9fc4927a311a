// Case: a core machine is frozen when an order of the operator reaches it, and
// wakes after two later orders about the same zone have been acknowledged.
#include "Kit.h"

using namespace kit;

static const char* kConfig =
  R"({"version":7,"routes":[)"
  R"({"name":"r-safe","host":"ficu95.example","path-prefix":"/pule252/","kind":"safe","timeout-ms":1200,"slo-ms":150,"priority":2,"service":"wuno96b","attempts":2,"public":false,"sticky":false,"resumable":false}],)"
  R"("services":[{"name":"wuno96b","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}],)"
  R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
  R"("tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";

/// The bounds `evac-ms` and `skew-max-ms` of the site.
constexpr double kEvacuationBound = 5;
constexpr double kSkewBound = 6;
/// How long the platform freezes a core machine.
constexpr double kFreeze = 4;
constexpr const char* kZone = "xela";

static std::string OrderCall(const std::string& aMethod)
{
  return aMethod + " /persimmontally/evacuate/" + kZone +
         " HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\nConnection: "
         "close\r\n\r\n";
}

/// Sends an order as the operator does: to the given core first and, without an
/// answer within a second, to the others. Returns whether it is acknowledged.
static bool Order(const Record& aRecord,
                  const Site& aSite,
                  const std::string& aMethod,
                  size_t aFirst)
{
  double until = Now() + 5;
  for (size_t i = 0; Now() < until; ++i) {
    const Machine& core = aSite.Cores()[(aFirst + i) % aSite.Cores().size()];
    Response response = Call(core.m_ip, kControlPort, OrderCall(aMethod), 1);
    bool isDone = response.m_hasHead && response.m_head.Status() / 100 == 2;
    aRecord.Line("operator: " + aMethod + " " + kZone + " at " + core.m_name +
                 ": " +
                 (response.m_hasHead ? std::to_string(response.m_head.Status())
                                     : "no answer"));
    if (isDone) {
      return true;
    }
    Sleep(0.05);
  }
  return false;
}

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
  if (!site.Start(kConfig)) {
    record.Line("the first configuration was not acknowledged");
    return 2;
  }
  for (int i = 0; i < 3; ++i) {
    std::string id = "i-" + site.Fronts()[i].m_zone;
    links.push_back(new Link(site.Ip(41 + i), kServerPort, kInnerPort));
    servers.Start(id,
                  { "target/review-3/Server",
                    "--record",
                    argv[1],
                    "--start",
                    std::to_string(start),
                    "--id",
                    id,
                    "--ip",
                    site.Ip(41 + i),
                    "--service",
                    "wuno96b",
                    "--zone",
                    site.Fronts()[i].m_zone,
                    "--cores",
                    cores,
                    "--slots",
                    "6",
                    "--gap",
                    "0.015" },
                  site.Folder() + "/" + id + ".log");
  }
  if (!site.AwaitReady(10)) {
    record.Line("a front was not ready in time");
    return 2;
  }
  Sleep(2);
  std::atomic<bool> isOver{ false };
  std::atomic<int> answered{ 0 };
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < 6; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !isOver; ++n) {
        char id[32];
        std::snprintf(id, sizeof id, "9c41d07b%02x%06x", i, n);
        const Machine& front = site.Fronts()[i % site.Fronts().size()];
        Response response = Call(front.m_ip,
                                 kFrontPort,
                                 "GET /pule252/2f HTTP/1.1\r\nHost: "
                                 "ficu95.example\r\nRequest-Id: " +
                                   std::string(id) +
                                   "\r\nDeadline-Ms: 2500\r\nX-Api-Key: "
                                   "xd9dnn2ctnfzs989anu6\r\n\r\n",
                                 3);
        (response.m_head.Status() == 200 ? answered : refused) += 1;
        Sleep(0.2);
      }
    });
  }
  Sleep(1);
  bool isSound = Order(record, site, "POST", 1);
  double acknowledgedAt = 0;
  Sleep(1);
  double frozenAt = Now();
  if (hasTrouble) {
    record.Line("trouble: core-1 is frozen");
    site.Daemons().Signal("core-1", SIGSTOP);
  }
  isSound = Order(record, site, "DELETE", 0) && isSound;
  Sleep(0.2);
  isSound = Order(record, site, "POST", 1) && isSound;
  acknowledgedAt = Now();
  if (hasTrouble) {
    Sleep(std::max(0.0, frozenAt + kFreeze - Now()));
    site.Daemons().Signal("core-1", SIGCONT);
    record.Line("trouble: core-1 wakes");
  }
  double judgedFrom =
    std::max(acknowledgedAt, Now()) + kEvacuationBound + kSkewBound;
  Sleep(judgedFrom - Now());
  record.Line("from here on no request may reach a server in " +
              std::string(kZone));
  Sleep(4);
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::istringstream lines(ReadFile(argv[1]));
  int late = 0;
  int elsewhere = 0;
  for (std::string line; std::getline(lines, line);) {
    bool isRun = line.find(" begins") != std::string::npos;
    if (isRun && std::atof(line.c_str()) > judgedFrom - start) {
      (line.find("server i-" + std::string(kZone) + ":") != std::string::npos
         ? late
         : elsewhere) += 1;
    }
  }
  record.Line("result: " + std::to_string(answered) + " answered, " +
              std::to_string(refused) + " not; in the last 4 s " +
              std::to_string(late) + " runs in the evacuated zone and " +
              std::to_string(elsewhere) + " elsewhere");
  if (!isSound || elsewhere == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}
