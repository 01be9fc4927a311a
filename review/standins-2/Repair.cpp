// Not one of the cases: a machine of the core is gone and its successor starts at
// once. Another machine loses its disk as soon as the first no longer counts as
// lost (`catch-up-s`). Listed in KNOWN-RED.txt.

#include "Site.h"

using namespace review;

/// `catch-up-s`, and a little.
static constexpr double kCatchUp = 4.05;

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

int main(int, char** argv)
{
  Record record(std::string(argv[1]) + "/record.txt");
  bool trouble = WithTrouble();
  record.Line(trouble ? "the disk is lost 4 s after the successor's start"
                      : "the disk is lost 20 s after the successor's start");
  Site site(record,
            { { "xela", "altiplano-oes" },
              { "tecpan", "valle-central" },
              { "mataquescuint", "sierra-este" } });
  Node& one = site.Add("core-xela-1", "xela", 1, true);
  Node& two = site.Add("core-tecpan-1", "tecpan", 2, true);
  Node& three = site.Add("core-mataquescuint-1", "mataquescuint", 3, true);
  Node& successor = site.Add("core-mataquescuint-2", "mataquescuint", 4, true);
  Node& front = site.Add("front-xela-1", "xela", 11, false);
  Node& otherFront = site.Add("front-tecpan-1", "tecpan", 12, false);
  std::vector<std::string> seeds = { one.m_name, two.m_name, three.m_name };
  bool isUp = true;
  for (Node* node : { &one, &two, &three, &front, &otherFront }) {
    isUp = isUp && site.Start(*node, seeds, true);
  }
  if (!isUp || !site.PutConfig(3, Config(3), seeds, 15)) {
    return kCouldNotRun;
  }
  Sleep(4);

  record.Line("platform: " + three.m_name + " is gone for good");
  site.Kill(three, SIGKILL);
  std::vector<std::string> now = { one.m_name, two.m_name, successor.m_name };
  site.Start(successor, now, false);
  double successorAt = record.Now();
  if (!site.PutConfig(9, Config(9), now, 3)) {
    return kCouldNotRun;
  }
  Sleep(successorAt + (trouble ? kCatchUp : 20) - record.Now());
  record.Line("platform: " + one.m_name + " loses its disk");
  site.Kill(one, SIGKILL);
  site.LoseDisk(one);
  Sleep(0.5);
  site.Start(one, now, false);
  double lost = record.Now();
  double readAt = 0;
  int newest = 0;
  for (size_t i = 0; record.Now() < lost + 30; ++i) {
    auto [status, version] = site.GetConfig(now[i % now.size()]);
    if (status == 200) {
      newest = version;
      readAt = record.Now();
      if (version >= 9) {
        break;
      }
    }
    Sleep(0.7);
  }
  for (Node* node : { &three, &one, &two, &successor }) {
    site.RecordLog(*node, { "event=group_repair", "event=leader_elected" });
  }
  if (newest >= 9) {
    record.Line("held: the acknowledged configuration 9 was read " +
                std::to_string(readAt - lost) + " s after the loss");
    return kHeld;
  }
  record.Line("BROKEN: the acknowledged configuration 9 could not be read "
              "within 30 s after the loss of one disk");
  return kBroken;
}
