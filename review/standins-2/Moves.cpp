// Case 8: a stream is moved off a server that leaves, and the server that it is
// moved to begins to leave meanwhile. The stream is sent there all the same,
// later than `drain-ms` after that was acknowledged.

#include "Engine.h"

using namespace review;

static constexpr double kDrain = 2.5;
/// Time after `drain-ms` for which a server goes on ("a little longer").
static constexpr double kLonger = 2.5;

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
  record.Line(trouble ? "the target of the move is replaced too"
                      : "the target of the move stays");
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
  auto options = [&](const std::string& aId, int aNumber) {
    EngineOptions engine;
    engine.m_id = aId;
    engine.m_service = "redaccion-ia";
    engine.m_zone = "xela";
    engine.m_ip = site.Ip(aNumber);
    engine.m_prefill = 1.2;
    engine.m_events = 260;
    engine.m_firstMove = 2.2;
    engine.m_lastMove = 1.6;
    return engine;
  };
  Engine source(record, fabric, options("i-source", 31));
  Engine left(record, fabric, options("i-left", 32));
  Engine right(record, fabric, options("i-right", 33));
  std::vector<Engine*> targets = { &left, &right };

  // The moment at which a request reached a server too late, if one did.
  std::mutex mutex;
  std::string broken;
  for (Engine* engine : { &source, &left, &right }) {
    if (!engine->IsOpen()) {
      return kCouldNotRun;
    }
    engine->m_onRequest = [&, engine](const Message&) {
      double drained = engine->DrainedAt();
      if (drained > 0 && record.Now() > drained + kDrain) {
        std::lock_guard lock(mutex);
        broken = "a request reached " + engine->Id() + " " +
                 std::to_string(record.Now() - drained) +
                 " s after its draining was acknowledged";
        record.Line("BROKEN: " + broken);
      }
    };
  }

  source.Announce(controls);
  if (!site.WaitUntilReady(front.m_name, 15)) {
    return kCouldNotRun;
  }
  // All machines are in touch from `contact-ms` (4 s) after their start on.
  Sleep(std::max(1.0, 8 - record.Now()));
  std::atomic<bool> isDone = false;
  std::atomic<int> events = 0;
  Message answer;
  std::thread client([&] {
    Socket socket;
    std::string buffer;
    socket.Connect(front.m_ip, kCallersPort, 1);
    record.Line("client: sends request 9c41d07be2a35f68");
    socket.Write(RequestText("POST",
                             "/p/2f",
                             { { "Host", "a.example" },
                               { "Request-Id", "9c41d07be2a35f68" },
                               { "Model", "m" },
                               { "Token-Count", "14000,2400" },
                               { "Length-Hint", "1040" },
                               { "Prefix-Hash", "5c1e07a2:800,e4402b7d:13200" },
                               { "Deadline-Ms", "39000" } },
                             "{}"));
    answer = ReadMessage(
      socket, buffer, 40, true, [&](const std::string& aPart) {
        for (size_t at = aPart.find("id: "); at != std::string::npos;
             at = aPart.find("id: ", at + 1)) {
          ++events;
        }
      });
    record.Line("client: status " + std::to_string(answer.Status()) + ", " +
                std::to_string(events) + " events, the answer is " +
                (answer.m_isWhole ? "complete" : "broken off"));
    isDone = true;
  });
  while (events == 0 && record.Now() < 30) {
    Sleep(0.05);
  }
  // The servers that replace others are there before those leave.
  left.Announce(controls);
  right.Announce(controls);
  Sleep(1.5);

  std::atomic<Engine*> target = nullptr;
  source.m_onMove = [&](const std::string& aTarget) {
    for (Engine* engine : targets) {
      if (engine->Address() == aTarget && target == nullptr) {
        target = engine;
      }
    }
  };
  record.Line("platform: replaces i-source");
  double sourceDrained = source.Drain();
  for (int i = 0; i < 100 && target == nullptr; ++i) {
    Sleep(0.02);
  }
  if (target == nullptr || sourceDrained == 0) {
    record.Line("no move was asked for");
    site.Kill(front, SIGKILL);
    client.join();
    return kCouldNotRun;
  }
  double targetDrained = 0;
  if (trouble) {
    Sleep(0.3);
    record.Line("platform: replaces " + target.load()->Id());
    targetDrained = target.load()->Drain();
  }
  // The source goes on for many seconds, the target for a little longer.
  bool hasSourceLeft = false;
  bool hasTargetLeft = !trouble;
  while (!isDone && record.Now() < 60) {
    Sleep(0.02);
    if (!hasTargetLeft && record.Now() > targetDrained + kDrain + kLonger) {
      hasTargetLeft = true;
      target.load()->Leave();
    }
    if (!hasSourceLeft && record.Now() > sourceDrained + kDrain + 8) {
      hasSourceLeft = true;
      source.Leave();
    }
  }
  site.RecordLog(front, { "event=copy_target", "event=resume", "move_step",
                          "event=interrupt", "event=end" });
  site.Kill(front, SIGKILL);
  client.join();
  std::lock_guard lock(mutex);
  if (!broken.empty()) {
    record.Line("BROKEN: " + broken);
    return kBroken;
  }
  if (!trouble && !answer.m_isWhole) {
    record.Line("the stream was not complete, without any trouble");
    return kCouldNotRun;
  }
  record.Line("held");
  return kHeld;
}
