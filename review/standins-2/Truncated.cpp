// Case 9: the process of a server is killed in the middle of a stream that has
// neither a length nor chunks. The client gets the part of the stream as a
// complete answer.

#include "Engine.h"

using namespace review;

static constexpr int kEvents = 150;

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

/// Process of a server: `engine ID IP RECORD START CONTROL...`.
static int RunEngine(int argc, char** argv)
{
  Record record(argv[4],
                Clock::time_point(Clock::duration(std::atoll(argv[5]))));
  Fabric fabric;
  EngineOptions options;
  options.m_id = argv[2];
  options.m_service = "redaccion-ia";
  options.m_zone = "xela";
  options.m_ip = argv[3];
  options.m_events = kEvents;
  options.m_isUnframed = true;
  Engine engine(record, fabric, options);
  if (!engine.IsOpen()) {
    return kCouldNotRun;
  }
  engine.Announce(std::vector<std::string>(argv + 6, argv + argc));
  // Ends with the case at the latest.
  Sleep(60);
  return 0;
}

int main(int argc, char** argv)
{
  if (argc > 5 && std::string(argv[1]) == "engine") {
    return RunEngine(argc, argv);
  }
  Record record(std::string(argv[1]) + "/record.txt");
  bool trouble = WithTrouble();
  record.Line(trouble ? "the process of a server is killed"
                      : "no server is killed");
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
  std::map<std::string, pid_t> engines;
  auto recordOf = [&](const std::string& aId) {
    return site.Folder() + "/" + aId + ".record";
  };
  for (int i = 0; i < 2; ++i) {
    std::string id = i == 0 ? "i-one" : "i-two";
    std::vector<std::string> words = {
      argv[0], "engine", id, site.Ip(31 + i), recordOf(id),
      std::to_string(record.Start().time_since_epoch().count())
    };
    words.insert(words.end(), controls.begin(), controls.end());
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    if (::posix_spawn(&engines[id],
                      argv[0],
                      nullptr,
                      nullptr,
                      arguments.data(),
                      environ) != 0) {
      return kCouldNotRun;
    }
    record.Line("platform: starts the process of server " + id);
  }
  auto kill = [&](const std::string& aId) {
    if (engines[aId] > 0) {
      ::kill(engines[aId], SIGKILL);
      ::waitpid(engines[aId], nullptr, 0);
      engines[aId] = -1;
    }
  };
  auto end = [&](int aCode) {
    kill("i-one");
    kill("i-two");
    return aCode;
  };
  if (!site.WaitUntilReady(front.m_name, 15)) {
    return end(kCouldNotRun);
  }
  // All machines are in touch from `contact-ms` (4 s) after their start on.
  Sleep(std::max(1.0, 8 - record.Now()));

  std::atomic<bool> isDone = false;
  std::atomic<int> events = 0;
  std::string stamp;
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
                               { "Token-Count", "3000,800" },
                               { "Length-Hint", "600" },
                               { "Prefix-Hash", "5c1e07a2:800,e4402b7d:2200" },
                               { "Deadline-Ms", "39000" } },
                             "{}"));
    answer = ReadMessage(
      socket, buffer, 40, true, [&](const std::string& aPart) {
        for (size_t at = aPart.find("id: "); at != std::string::npos;
             at = aPart.find("id: ", at + 1)) {
          ++events;
        }
      });
    isDone = true;
  });
  while (events < 40 && !isDone && record.Now() < 40) {
    Sleep(0.005);
  }
  if (trouble) {
    for (const char* id : { "i-one", "i-two" }) {
      std::ifstream in(recordOf(id));
      std::stringstream text;
      text << in.rdbuf();
      if (text.str().find("reaches it") != std::string::npos) {
        Sleep(0.01);
        kill(id);
        record.Line("trouble: the process of server " + std::string(id) +
                    " is killed");
        break;
      }
    }
  }
  client.join();
  bool isChunked =
    Lower(Find(answer.m_headers, "Transfer-Encoding")) == "chunked";
  record.Line("client: status " + std::to_string(answer.Status()) + ", " +
              std::to_string(events) + " of " + std::to_string(kEvents) +
              " events, " + (isChunked ? "in chunks, " : "") +
              "the answer is " +
              (answer.m_isWhole ? "complete" : "broken off"));
  site.CopyRecord(recordOf("i-one"));
  site.CopyRecord(recordOf("i-two"));
  site.RecordLog(front, { "event=copy_target", "event=resume",
                          "event=switch_to_backup", "event=interrupt",
                          "event=end" });
  if (answer.m_isWhole && events < kEvents) {
    record.Line("BROKEN: the stream ends as complete before its last piece");
    return end(kBroken);
  }
  if (!trouble && !answer.m_isWhole) {
    record.Line("the stream was not complete, without any trouble");
    return end(kCouldNotRun);
  }
  record.Line("held");
  return end(kHeld);
}
