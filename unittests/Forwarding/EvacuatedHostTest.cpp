/// Test of an evacuation from the operator's order to the entry hosts, with a
/// control host and entry hosts in one process on loopback.

#include "Forwarding/ForwardSite.h"
#include "persimmontally/Daemon/RoutedHost.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <unistd.h>

using namespace persimmontally;

namespace {

constexpr const char* kCatalog = R"({"version":1,"routes":[
{"name":"r","host":"h.example","path-prefix":"/","kind":"unsafe",
 "timeout-ms":1500,"service":"s","attempts":1,"public":true}],
"services":[{"name":"s","max-conns":100}],
"limits":{"max-header-bytes":10000,"max-body-bytes":20000,
 "header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]})";

class Site
{
public:
  Site()
    : m_prefix("127." + std::to_string(getpid() / 250 % 250 + 1) + "." +
               std::to_string(getpid() % 250 + 1) + ".")
    , m_folder("evacuated-host-" + std::to_string(getpid()))
  {
    std::filesystem::create_directories(m_folder);
    StartHost(1,
              "control = " + m_prefix +
                "1:8081\n[state]\nvoters = 1\nfound_group = yes\ndata_dir = " +
                m_folder);
    StartEntry(2);
  }
  ~Site()
  {
    m_hosts.clear();
    std::filesystem::remove_all(m_folder);
  }

  void StartEntry(int aNumber)
  {
    std::string address = m_prefix + std::to_string(aNumber);
    StartHost(aNumber,
              "callers = " + address + ":8080\nreadiness = " + address +
                ":8082");
  }

  HttpResponse Call(int aHost,
                    uint16_t aPort,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aBody = "")
  {
    bool isDone = false;
    HttpResponse response;
    auto call = StartBufferedHttpCall(
      m_loop,
      { m_prefix + std::to_string(aHost), aPort },
      { aMethod,
        aTarget,
        { { "Host", "h.example" }, { "Request-Id", "r" } },
        aBody },
      { seconds(1), seconds(8) },
      [&](const absl::Status&, HttpResponse aResponse) {
        response = std::move(aResponse);
        isDone = true;
      });
    RunUntil([&] { return isDone; });
    return response;
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    bool isLate = false;
    Timer limit = m_loop.RunAfter(seconds(30), [&] { isLate = true; });
    Timer poll = m_loop.RunEvery(milliseconds(2), [&] {
      if (isLate || aCondition()) {
        m_loop.Stop();
      }
    });
    m_loop.Run();
    REQUIRE(!isLate);
  }

  /// Calls until the response has a status.
  void CallUntil(int aStatus,
                 int aHost,
                 uint16_t aPort,
                 const std::string& aMethod,
                 const std::string& aTarget,
                 const std::string& aBody = "")
  {
    Instant end = m_loop.Now() + seconds(20);
    while (Call(aHost, aPort, aMethod, aTarget, aBody).m_status != aStatus) {
      REQUIRE(m_loop.Now() < end);
      Instant next = m_loop.Now() + milliseconds(20);
      RunUntil([&] { return m_loop.Now() >= next; });
    }
  }

  /// Starts an upstream and announces it.
  void AddUpstream(const std::string& aDataCentre)
  {
    m_servers.push_back(std::make_unique<HttpServer>(
      m_loop,
      HttpLimits(),
      [this, aDataCentre](const HttpRequest& aRequest,
                          const ForwardSite::Writer& aWriter) {
        ++m_requests[aDataCentre];
        aWriter->SendResponse({ 200, Genuine(aRequest), "done" });
      }));
    auto port = m_servers.back()->Listen({ "127.0.0.1", 0 });
    REQUIRE(port.ok());
    CallUntil(200,
              1,
              8081,
              "PUT",
              "/persimmontally/instances/" + aDataCentre,
              R"({"service":"s","addr":"127.0.0.1:)" + std::to_string(*port) +
                R"(","zone":")" + aDataCentre +
                R"(","slots":8,"state":"ready","seq":1})");
  }

  bool ShowsEvacuated(int aHost, const std::string& aDataCentres)
  {
    return Call(aHost, 9464, "GET", "/status")
             .m_body.find("\"evacuated\":[" + aDataCentres + "]") !=
           std::string::npos;
  }

  /// Requests by data centre.
  std::map<std::string, int> m_requests;
  EventLoop m_loop;

private:
  void StartHost(int aNumber, const std::string& aListen)
  {
    std::string address = m_prefix + std::to_string(aNumber);
    std::string text = "[host]\nname = h" + std::to_string(aNumber) +
                       "\ndata_centre = dc\nregion = r\nregions = dc:r, "
                       "west:r\n[peers]\nseeds = " +
                       m_prefix +
                       "1:7946\n[keys]\npeer_key = key-of-the-test-site-here"
                       "\n[listen]\npeer = " +
                       address + ":7946\nmetrics = " + address + ":9464\n" +
                       aListen + "\n";
    auto settings = ParseSettings("test.ini", text);
    REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    m_hosts.push_back(
      std::make_unique<RoutedHost>(m_loop, *settings, m_protocol));
    absl::Status started = m_hosts.back()->Start();
    REQUIRE_MESSAGE(started.ok(), started.message());
  }

  std::string m_prefix;
  std::string m_folder;
  platform::PlatformProtocol m_protocol;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::vector<std::unique_ptr<RoutedHost>> m_hosts;
};

} // namespace

// Guards against control hosts that publish only new versions of the catalog,
// and against hosts that are ready before they know an evacuation.
TEST_CASE("an order without a new catalog is in force at all entry hosts, and "
          "at new ones before they are ready")
{
  Site site;
  const std::string evacuate = "/persimmontally/evacuate/";
  // Ordered before the first catalog is stored.
  site.CallUntil(200, 1, 8081, "POST", evacuate + "west");
  site.CallUntil(200, 1, 8081, "PUT", "/persimmontally/config", kCatalog);
  site.AddUpstream("dc");
  site.AddUpstream("west");
  site.CallUntil(200, 2, 8082, "GET", "/");
  const std::string west = R"({"data_centre":"west"})";
  CHECK(site.ShowsEvacuated(2, west));
  for (int i = 0; i < 5; ++i) {
    CHECK(site.Call(2, 8080, "POST", "/x").m_status == 200);
  }
  CHECK(site.m_requests == std::map<std::string, int>{ { "dc", 5 } });

  CHECK(site.Call(1, 8081, "POST", evacuate + "dc").m_status == 200);
  Instant acknowledgedAt = site.m_loop.Now();
  while (!site.ShowsEvacuated(2, R"({"data_centre":"dc"},)" + west)) {
    REQUIRE(site.m_loop.Now() - acknowledgedAt < seconds(5));
  }
  CHECK(site.Call(2, 8080, "POST", "/x").m_status == 503);
  site.StartEntry(3);
  site.CallUntil(200, 3, 8082, "GET", "/");
  CHECK(site.Call(3, 8080, "POST", "/x").m_status == 503);
  CHECK(site.m_requests["dc"] == 5);

  CHECK(site.Call(1, 8081, "DELETE", evacuate + "west").m_status == 200);
  site.CallUntil(200, 3, 8080, "POST", "/x");
  site.CallUntil(200, 2, 8080, "POST", "/x");
  CHECK(site.m_requests["west"] == 2);
  CHECK(site.m_requests["dc"] == 5);
}
