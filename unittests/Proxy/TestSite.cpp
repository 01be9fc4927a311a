#include "Proxy/TestSite.h"

#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Log.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace persimmontally {

namespace json = boost::json;

static const std::string kAdminKey = "admin-key-of-the-test-site";
static const std::string kUpstreamKey = "upstream-key-of-the-test-site";
static const std::string kCallerKey = "caller-key-small";
/// Far longer than any wait of a passing run.
static constexpr Duration kConditionTimeout = seconds(60);

FakeUpstream::FakeUpstream(EventLoop& aLoop, Handler aHandler)
  : m_server(aLoop,
             HttpLimits(),
             [this, aHandler](HttpRequest aRequest,
                              std::shared_ptr<ResponseWriter> aWriter) {
               ++m_counts[aRequest.m_method + " " + aRequest.m_target];
               if (aRequest.m_target == "/healthz") {
                 aWriter->SendResponse({ 200, {}, "{}" });
                 return;
               }
               aHandler(aRequest, std::move(aWriter));
             })
{
}

Endpoint FakeUpstream::Listen(const std::string& aAddress)
{
  auto port = m_server.Listen({ aAddress, 0 });
  REQUIRE(port.ok());
  return { aAddress, *port };
}

int FakeUpstream::Count(const std::string& aMethodAndPath) const
{
  auto at = m_counts.find(aMethodAndPath);
  return at == m_counts.end() ? 0 : at->second;
}

Endpoint TestSite::HostEndpoint(size_t aHost) const
{
  return { m_addressPrefix + "." + std::to_string(aHost + 1), 8080 };
}

Settings TestSite::MakeSettings(size_t aHost, size_t aCount) const
{
  std::string text = "[host]\nname = host-" + std::to_string(aHost) +
                     "\ndata_centre = dc-0"
                     "\nregion = region\n[listen]\nhttp = " +
                     ToString(HostEndpoint(aHost)) +
                     "\npeer = " + m_addressPrefix + "." +
                     std::to_string(aHost + 1) + ":7946\n[peers]\nseeds = ";
  std::string names;
  for (size_t i = 0; i < aCount; ++i) {
    text += (i == 0 ? "" : ", ") + m_addressPrefix + "." +
            std::to_string(i + 1) + ":7946";
    names += (i == 0 ? "" : ", ") + std::string("host-") + std::to_string(i);
  }
  text += "\n[state]\ndata_dir = " + m_folder + "/" + std::to_string(aHost) +
          "\nbootstrap_hosts = " + names +
          "\nvoters = " + std::to_string(aCount) + "\n[limits]\n" +
          "header_timeout_ms = 500\nshutdown_grace_ms = 100\nshutdown_limit_s "
          "= 1.5\n" +
          "max_body_bytes = 65536\n";
  text += "[keys]\n";
  for (const auto& [name, key] :
       { std::make_pair("admin", kAdminKey),
         std::make_pair("upstream", kUpstreamKey),
         std::make_pair("peer", std::string("peer-key-of-the-test-site")) }) {
    std::string file = m_folder + "/" + name + ".key";
    std::ofstream(file) << key << "\n";
    text += std::string(name) + "_key_file = " + file + "\n";
  }
  auto settings = ParseSettings("test.ini", text);
  REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  return *settings;
}

static std::string TestPlans()
{
  return R"({"routine_floor": 0.2,
    "services": [{"name": "orders", "repeatable": false},
                 {"name": "labels", "repeatable": true}],
    "plans": [{"name": "basic", "weight": 1, "requests_per_s": 1000,
      "tokens_per_min": 10000000, "max_concurrent": 1000,
      "max_output_tokens": 4096, "ranks": ["urgent", "routine"],
      "default_rank": "routine", "models": ["default"],
      "services": ["orders", "labels"]}]})";
}

static std::string TestAccounts()
{
  return R"({"accounts": [{"name": "small", "plan": "basic", "key_sha256": ")" +
         Sha256Hex(kCallerKey) + R"("}]})";
}

TestSite::TestSite(size_t aHosts)
{
  InitLog(LogLevel::Error, LogFormat::Text, "test");
  // The loopback addresses and the folder are specific to this process, so that
  // tests can run in parallel.
  static int sites = 0;
  auto pid = static_cast<unsigned>(::getpid());
  m_addressPrefix = "127." + std::to_string(20 + pid / 250 % 200) + "." +
                    std::to_string(1 + pid % 250);
  m_folder =
    (std::filesystem::temp_directory_path() /
     ("persimmontally-" + std::to_string(pid) + "-" + std::to_string(sites++)))
      .string();
  std::filesystem::create_directories(m_folder);
  for (size_t i = 0; i < aHosts; ++i) {
    m_hosts.push_back(
      std::make_unique<EntryHost>(m_loop, MakeSettings(i, aHosts)));
    absl::Status started = m_hosts.back()->Start();
    REQUIRE_MESSAGE(started.ok(), started.message());
  }
  PutList("plans", TestPlans());
  PutList("accounts", TestAccounts());
}

TestSite::~TestSite()
{
  m_hosts.clear();
  std::filesystem::remove_all(m_folder);
}

void TestSite::RunUntil(const std::function<bool()>& aCondition)
{
  Instant deadline = m_loop.Now() + kConditionTimeout;
  bool isMet = false;
  Timer poll = m_loop.RunEvery(milliseconds(2), [&] {
    isMet = aCondition();
    if (isMet || m_loop.Now() > deadline) {
      m_loop.Stop();
    }
  });
  m_loop.Run();
  REQUIRE(isMet);
}

void TestSite::RunFor(Duration aLength)
{
  Instant end = m_loop.Now() + aLength;
  RunUntil([&] { return m_loop.Now() >= end; });
}

std::shared_ptr<TestSite::PendingCall> TestSite::Start(HttpRequest aRequest,
                                                       size_t aHost)
{
  auto pending = std::make_shared<PendingCall>();
  pending->m_call = StartBufferedHttpCall(
    m_loop,
    HostEndpoint(aHost),
    std::move(aRequest),
    { seconds(5), seconds(50) },
    [pending](const absl::Status& aStatus, HttpResponse aResponse) {
      pending->m_isDone = true;
      pending->m_status = aStatus;
      pending->m_response = std::move(aResponse);
    });
  return pending;
}

HttpResponse TestSite::Call(HttpRequest aRequest, size_t aHost)
{
  auto pending = Start(std::move(aRequest), aHost);
  RunUntil([&] { return pending->m_isDone; });
  if (!pending->m_status.ok() && pending->m_response.m_body.empty()) {
    pending->m_response.m_status = 0;
  }
  return pending->m_response;
}

void TestSite::PutList(const std::string& aList, const std::string& aJson)
{
  HttpRequest request;
  request.m_method = "PUT";
  request.m_target = "/admin/v1/" + aList;
  request.m_body = aJson;
  request.m_headers = { { "Authorization", "Bearer " + kAdminKey },
                        { "If-Match", "0" },
                        { "Idempotency-Key", "first-" + aList } };
  HttpResponse response;
  response.m_status = 0;
  // The Raft group may not be founded yet.
  for (int tries = 0; tries < 10 && response.m_status != 200; ++tries) {
    response = Call(request);
  }
  REQUIRE_MESSAGE(response.m_status == 200, response.m_body);
  for (size_t host = 0; host < m_hosts.size(); ++host) {
    HttpRequest get;
    get.m_method = "GET";
    get.m_target = "/admin/v1/" + aList;
    get.m_headers = { { "Authorization", "Bearer " + kAdminKey } };
    bool isInForce = false;
    for (int tries = 0; tries < 500 && !isInForce; ++tries) {
      HttpResponse shown = Call(get, host);
      isInForce = shown.Header("ETag") == "\"1\"";
      RunFor(milliseconds(10));
    }
    REQUIRE(isInForce);
  }
}

void TestSite::Announce(const std::string& aId,
                        const Endpoint& aEndpoint,
                        const std::string& aService,
                        uint64_t aIncarnation)
{
  json::object body{ { "address", ToString(aEndpoint) },
                     { "data_centre", "dc-0" },
                     { "region", "region" },
                     { "kind", aService.empty() ? "engine" : "service" },
                     { "models", json::array{ "default" } },
                     { "service", aService },
                     { "slots", 8 },
                     { "kv_blocks", 1000 },
                     { "incarnation", aIncarnation },
                     { "sequence", m_nextSequence++ },
                     { "state", "serving" } };
  HttpRequest request;
  request.m_method = "PUT";
  request.m_target = "/upstream/v1/" + aId;
  request.m_body = json::serialize(body);
  request.m_headers = { { "Authorization", "Bearer " + kUpstreamKey } };
  for (size_t host = 0; host < m_hosts.size(); ++host) {
    HttpResponse response = Call(request, host);
    REQUIRE_MESSAGE(response.m_status == 200, response.m_body);
  }
}

HttpRequest CompletionRequestOf(const std::string& aBody)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/completions";
  request.m_headers = { { "Authorization", "Bearer " + kCallerKey } };
  request.m_body = aBody;
  return request;
}

HttpRequest OrderRequestOf(const std::string& aKey, const std::string& aBody)
{
  HttpRequest request = CompletionRequestOf(aBody);
  request.m_target = "/services/orders/new";
  if (!aKey.empty()) {
    request.m_headers.push_back({ "Idempotency-Key", aKey });
  }
  return request;
}

std::string JsonAt(const std::string& aJson, const std::string& aPointer)
{
  json::error_code error;
  json::value document = json::parse(aJson, error);
  const json::value* value =
    error ? nullptr : document.find_pointer(aPointer, error);
  if (value == nullptr) {
    return "";
  }
  return value->is_string() ? std::string(value->as_string())
                            : json::serialize(*value);
}

std::string TokenEvent(int aIndex, const std::string& aText)
{
  return "id: " + std::to_string(aIndex) +
         "\ndata: {\"choices\":[{\"index\":0,\"text\":\"" + aText +
         "\",\"finish_reason\":null}]}\n\n";
}

std::string EndEvents(int aIndex)
{
  return "id: " + std::to_string(aIndex) +
         "\ndata: {\"choices\":[{\"index\":0,\"text\":\"\","
         "\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
}

} // namespace persimmontally
