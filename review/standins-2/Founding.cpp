// Case 10: the process that founds the group of voters is killed while it does
// so, at the first start of the system. The group can never be used, and none
// is founded anew.

#include "Site.h"

using namespace review;

static std::string Config(int aVersion)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/p/",)"
         R"("kind":"unsafe","timeout-ms":1200,"slo-ms":150,"priority":2,)"
         R"("service":"ordenes","attempts":1,"public":true}],)"
         R"("services":[{"name":"ordenes","health-path":"/health",)"
         R"("max-conns":96,"protocol":"h1","tls":false}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

static bool Exists(const std::string& aPath)
{
  return ::access(aPath.c_str(), F_OK) == 0;
}

int main(int, char** argv)
{
  Record record(std::string(argv[1]) + "/record.txt");
  bool trouble = WithTrouble();
  record.Line(trouble ? "a process is killed at the first start"
                      : "no process is killed");
  Site site(record,
            { { "xela", "altiplano-oes" },
              { "tecpan", "valle-central" },
              { "mataquescuint", "sierra-este" } });
  std::vector<std::string> seeds = { "core-xela-1",
                                     "core-tecpan-1",
                                     "core-mataquescuint-1" };
  site.Add(seeds[0], "xela", 1, true);
  site.Add(seeds[1], "tecpan", 2, true);
  site.Add(seeds[2], "mataquescuint", 3, true);
  Node& front = site.Add("front-xela-1", "xela", 11, false);
  // The seed with the smallest name founds the group.
  Node& founder = site.At(*std::min_element(seeds.begin(), seeds.end()));
  std::string data = site.DataDir(founder);

  // A kill that comes too late is no disruption of the founding; then a new
  // system is started.
  bool hasHit = false;
  for (int start = 1; !hasHit && start <= 40; ++start) {
    record.Line("platform: first start " + std::to_string(start));
    for (const std::string& seed : seeds) {
      if (!site.Start(site.At(seed), seeds, true)) {
        return kCouldNotRun;
      }
    }
    if (!trouble) {
      break;
    }
    double until = record.Now() + 5;
    while (!Exists(data + "/group") && record.Now() < until) {
    }
    ::kill(founder.m_pid, SIGKILL);
    site.WaitForEnd(founder, 1);
    record.Line("trouble: the process of " + founder.m_name + " is killed");
    hasHit = Exists(data + "/group") && !Exists(data + "/snapshot");
    if (!hasHit) {
      record.Line("the group had been stored; all is started anew");
      for (const std::string& seed : seeds) {
        site.Kill(site.At(seed), SIGKILL);
        site.LoseDisk(site.At(seed));
      }
    }
  }
  if (trouble && !hasHit) {
    return kCouldNotRun;
  }
  if (trouble) {
    Sleep(0.5);
    site.Start(founder, seeds, true);
  }
  site.Start(front, seeds, true);
  // Far more than `recover-s`, 12 s.
  bool isStored = site.PutConfig(3, Config(3), seeds, 45);
  Message answer = Call(front.m_ip,
                        kCallersPort,
                        "POST",
                        "/p/2f",
                        { { "Host", "a.example" },
                          { "Request-Id", "9c41d07be2a35f68" },
                          { "Deadline-Ms", "2500" } },
                        "{}",
                        4);
  record.Line("client: status " + std::to_string(answer.Status()));
  bool areAllUp = true;
  for (const std::string& seed : seeds) {
    areAllUp = areAllUp && !site.HasEnded(site.At(seed));
    site.RecordLog(site.At(seed),
                   { "event=started", "event=group", "event=leader" });
  }
  record.Line(areAllUp ? "all processes of the core run"
                       : "a process of the core has ended");
  if (!isStored) {
    record.Line("BROKEN: no configuration is ever acknowledged, and no request "
                "can be served");
    return kBroken;
  }
  record.Line("held");
  return kHeld;
}
