// Case 7: a server sends bytes that are no response in the middle of a stream
// and works on. The host closes the connection and resumes the stream at the
// server with the backup, while the first one still works on it.

#include "Engine.h"

using namespace review;

/// "while the server before still works on it 400 ms later" (RULES.md, TWICE).
static constexpr double kStillWorks = 0.4;

static std::string Config()
{
  return R"({"version":3,"routes":[{"name":"r-1","host":"a.example",)"
         R"("path-prefix":"/p/","kind":"stream","timeout-ms":39000,)"
         R"("slo-ms":4000,"priority":2,"service":"redaccion-ia","attempts":1,)"
         R"("public":true,"sticky":true,"resumable":false,)"
         R"("gap-target-ms":180}],"services":[{"name":"redaccion-ia",)"
         R"("health-path":"/health","max-conns":222,"protocol":"h1",)"
         R"("tls":false,"engine":{"slots":24,"kv-tokens":34285,)"
         R"("kv-token-bytes":35136,"link-mbps":5100.0,"moves":true,)"
         R"("backups":true,"stride":4,"most":12,"pin-ms":4000.0,)"
         R"("hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

int main(int, char** argv)
{
  Record record(std::string(argv[1]) + "/record.txt");
  bool trouble = WithTrouble();
  record.Line(trouble ? "one server hands out wrong bytes, once"
                      : "no server hands out wrong bytes");
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
  bool isUp = true;
  std::vector<std::string> controls;
  for (const std::string& seed : seeds) {
    isUp = isUp && site.Start(site.At(seed), seeds, true);
    controls.push_back(site.At(seed).m_ip);
  }
  isUp = isUp && site.Start(front, seeds, true);
  if (!isUp || !site.PutConfig(3, Config(), seeds, 15)) {
    return kCouldNotRun;
  }

  Fabric fabric;
  fabric.m_garbageLeft = trouble ? 1 : 0;
  auto options = [&](const std::string& aId, int aNumber) {
    EngineOptions engine;
    engine.m_id = aId;
    engine.m_service = "redaccion-ia";
    engine.m_zone = "xela";
    engine.m_ip = site.Ip(aNumber);
    engine.m_events = 150;
    // One that doesn't drop a request at once when its connection closes.
    engine.m_linger = 1.5;
    return engine;
  };
  Engine one(record, fabric, options("i-one", 31));
  Engine two(record, fabric, options("i-two", 32));
  const std::string request = "9c41d07be2a35f68";
  // Which server the request reached first and next, and when.
  std::mutex mutex;
  std::vector<std::pair<Engine*, double>> arrivals;
  for (Engine* engine : { &one, &two }) {
    if (!engine->IsOpen()) {
      return kCouldNotRun;
    }
    engine->m_onRequest = [&, engine](const Message&) {
      std::lock_guard lock(mutex);
      arrivals.emplace_back(engine, record.Now());
    };
    engine->Announce(controls);
  }
  if (!site.WaitUntilReady(front.m_name, 15)) {
    return kCouldNotRun;
  }
  // All machines are in touch from `contact-ms` (4 s) after their start on.
  Sleep(std::max(1.0, 8 - record.Now()));
  record.Line("client: sends request " + request);
  Message answer =
    Call(front.m_ip,
         kCallersPort,
         "POST",
         "/p/2f",
         { { "Host", "a.example" },
           { "Request-Id", request },
           { "Model", "m" },
           { "Token-Count", "3000,800" },
           { "Length-Hint", "600" },
           { "Prefix-Hash", "5c1e07a2:800,e4402b7d:2200" },
           { "Deadline-Ms", "39000" } },
         "{}",
         40);
  record.Line("client: status " + std::to_string(answer.Status()) +
              ", the answer is " +
              (answer.m_isWhole ? "complete" : "broken off"));
  Sleep(2.5);
  site.RecordLog(front,
                 { "event=copy_target", "event=resume",
                   "event=switch_to_backup", "event=interrupt", "event=end" });
  one.End();
  two.End();
  std::lock_guard lock(mutex);
  if (arrivals.empty()) {
    return kCouldNotRun;
  }
  for (size_t i = 1; i < arrivals.size(); ++i) {
    auto [before, beforeAt] = arrivals[i - 1];
    auto [engine, at] = arrivals[i];
    double until = before->WorkedUntil(request);
    record.Line("the request goes on at " + engine->Id() + " at " +
                std::to_string(at) + " s; " + before->Id() +
                " worked on it until " + std::to_string(until) + " s");
    if (engine != before && until > at + kStillWorks) {
      record.Line("BROKEN: the server before still worked on it 400 ms later");
      return kBroken;
    }
  }
  if (!trouble && !answer.m_isWhole) {
    record.Line("the stream was not complete, without any trouble");
    return kCouldNotRun;
  }
  record.Line("held");
  return kHeld;
}
