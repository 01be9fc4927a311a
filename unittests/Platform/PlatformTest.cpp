/// Tests of the users' platform adapter: decoding and encoding of each message.

#include "platform/CatalogDocument.h"
#include "platform/PlatformProtocol.h"

#include <doctest/doctest.h>

using namespace persimmontally;
using namespace persimmontally::platform;

static const std::string kConfiguration = R"({"version":7,"routes":[
{"name":"r","host":"h.example","path-prefix":"/p/","kind":"stream",
 "timeout-ms":6000,"slo-ms":1500,"priority":2,"service":"e","attempts":1,
 "public":false,"sticky":true,"gap-target-ms":180,"new-field":[1]},
{"name":"q","host":"h.example","path-prefix":"/q/","kind":"safe",
 "timeout-ms":1200.5,"split":[{"service":"e","weight":90},
 {"service":"s","weight":10}],"attempts":2,"public":true}],
"services":[{"name":"e","health-path":"/health","max-conns":232,
 "engine":{"slots":24,"kv-tokens":34215,"kv-token-bytes":35136,
 "link-mbps":5100.0,"moves":true,"backups":true}},
 {"name":"s","max-conns":110}],
"limits":{"max-header-bytes":1000,"max-body-bytes":2000,
 "header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1}]})";

static std::string ConfigurationWith(const std::string& aFrom,
                                     const std::string& aTo)
{
  std::string text = kConfiguration;
  size_t at = text.find(aFrom);
  REQUIRE(at != std::string::npos);
  return text.replace(at, aFrom.size(), aTo);
}

TEST_CASE("a valid configuration is decoded into the catalog")
{
  auto catalog = DecodeCatalogDocument(kConfiguration);
  REQUIRE(catalog.ok());
  CHECK(catalog->m_version == 7);
  REQUIRE(catalog->m_routes.size() == 2);
  const Route& stream = catalog->m_routes[0];
  CHECK(stream.m_repeatability == Repeatability::Stream);
  CHECK(stream.m_timeout == seconds(6));
  CHECK(stream.m_latencyObjective == milliseconds(1500));
  CHECK(stream.m_timeBetweenTokensObjective == milliseconds(180));
  CHECK(stream.m_priority == 2);
  CHECK(stream.m_targets == std::vector<RouteTarget>{ { "e", 1 } });
  const Route& split = catalog->m_routes[1];
  CHECK(split.m_repeatability == Repeatability::Idempotent);
  CHECK(split.m_timeout == Duration(1'200'500));
  CHECK(split.m_latencyObjective == split.m_timeout);
  CHECK(split.m_maxAttempts == 2);
  CHECK(split.m_isPublic);
  CHECK(split.m_targets ==
        std::vector<RouteTarget>{ { "e", 90 }, { "s", 10 } });
  REQUIRE(catalog->m_services[0].m_engine.has_value());
  CHECK(catalog->m_services[0].m_engine->m_kvMemoryTokens == 34215);
  CHECK(catalog->m_services[0].m_engine->m_canBackUp);
  CHECK(!catalog->m_services[1].m_engine.has_value());
  CHECK(catalog->m_limits.m_maxBodyBytes == 2000);
  CHECK(catalog->m_accounts[0].m_priority == 1);
}

TEST_CASE("terms of routes, services and accounts are decoded")
{
  auto catalog = DecodeCatalogDocument(ConfigurationWith(
    "\"attempts\":1,",
    R"("attempts":1,"allowed-regions":["n","s"],"resumable":true,)"));
  REQUIRE(catalog.ok());
  CHECK(catalog->m_routes[0].m_terms ==
        RouteTerms{ { RegionId("n"), RegionId("s") }, true });
  CHECK(catalog->m_routes[1].m_terms == RouteTerms());
  catalog = DecodeCatalogDocument(
    ConfigurationWith("\"max-conns\":110}",
                      R"("max-conns":110,"warmup-s":2.5,"cold-per-s":7.5})"));
  REQUIRE(catalog.ok());
  CHECK(catalog->m_services[1].m_terms ==
        ServiceTerms{ milliseconds(2500), 7.5 });
  CHECK(catalog->m_services[0].m_terms == ServiceTerms());
  catalog = DecodeCatalogDocument(ConfigurationWith(
    "\"priority\":1}", R"("priority":1,"allowed-regions":["n"]})"));
  REQUIRE(catalog.ok());
  CHECK(catalog->m_accounts[0].m_terms == AccountTerms{ { RegionId("n") } });
}

TEST_CASE("an invalid configuration is refused")
{
  struct Row
  {
    const char* m_name;
    std::string m_document;
  };
  for (const Row& row : std::vector<Row>{
         { "empty", "" },
         { "truncated", kConfiguration.substr(0, kConfiguration.size() / 2) },
         { "trailing bytes", kConfiguration + "x" },
         { "an array", "[]" },
         { "no version", ConfigurationWith("\"version\":7,", "") },
         { "version as a string",
           ConfigurationWith("\"version\":7", "\"version\":\"7\"") },
         { "negative version",
           ConfigurationWith("\"version\":7", "\"version\":-7") },
         { "fractional version",
           ConfigurationWith("\"version\":7", "\"version\":7.5") },
         { "no routes", ConfigurationWith("\"routes\":[", "\"other\":[") },
         { "unknown kind", ConfigurationWith("\"stream\"", "\"river\"") },
         { "timeout of 0",
           ConfigurationWith("\"timeout-ms\":6000", "\"timeout-ms\":0") },
         { "no timeout", ConfigurationWith("\"timeout-ms\":6000,", "") },
         { "timeout as a string",
           ConfigurationWith("\"timeout-ms\":6000", "\"timeout-ms\":\"6 s\"") },
         { "unknown service",
           ConfigurationWith("\"service\":\"e\",\"attempts\"",
                             "\"service\":\"x\",\"attempts\"") },
         { "all weights 0",
           ConfigurationWith(
             "\"weight\":90},\n {\"service\":\"s\",\"weight\":10}",
             "\"weight\":0}") },
         { "two routes with the same host and prefix",
           ConfigurationWith("\"/q/\"", "\"/p/\"") },
         { "key of two accounts",
           ConfigurationWith(
             "\"priority\":1}",
             "\"priority\":1},{\"name\":\"u\",\"api-keys\":[\"k2\"]}") },
         { "key as a number", ConfigurationWith("\"k2\"", "2") },
         { "allowed regions as a string",
           ConfigurationWith("\"attempts\":1,",
                             R"("attempts":1,"allowed-regions":"n",)") },
         { "an allowed region as a number",
           ConfigurationWith("\"priority\":1}",
                             R"("priority":1,"allowed-regions":[1]})") },
         { "resumable as a number",
           ConfigurationWith("\"attempts\":1,",
                             R"("attempts":1,"resumable":1,)") },
         { "negative warm-up",
           ConfigurationWith("\"max-conns\":110",
                             R"("max-conns":110,"warmup-s":-1)") },
         { "huge warm-up",
           ConfigurationWith("\"max-conns\":110",
                             R"("max-conns":110,"warmup-s":1e300)") },
         { "negative rate of a cold server",
           ConfigurationWith("\"max-conns\":110",
                             R"("max-conns":110,"cold-per-s":-0.5)") },
         { "rate of a cold server as a string",
           ConfigurationWith("\"max-conns\":110",
                             R"("max-conns":110,"cold-per-s":"5")") },
       }) {
    CAPTURE(row.m_name);
    CHECK(!DecodeCatalogDocument(row.m_document).ok());
  }
}

static HttpRequest CallerRequest()
{
  return { "POST",
           "/p/1?q=2",
           { { "Host", "h.example:8740" },
             { "Request-Id", "abc" },
             { "Deadline-Ms", "39000" },
             { "X-Api-Key", "k1" },
             { "Token-Count", "1460,80" },
             { "Length-Hint", "50" },
             { "Prefix-Hash", "5c:800" },
             { "Model", "m" },
             { "Tenant", "somebody-else" },
             { "Kv-From", "10.0.0.1:1/x" },
             { "Connection", "keep-alive, X-Private" },
             { "X-Private", "1" },
             { "X-Other", "2" } },
           "body" };
}

TEST_CASE("a caller's headers are decoded into the routed request")
{
  PlatformProtocol protocol;
  RoutedRequest request = protocol.DecodeRequest(CallerRequest());
  CHECK(request.m_id == "abc");
  CHECK(request.m_hostName == "h.example");
  CHECK(request.m_path == "/p/1");
  CHECK(request.m_key == "k1");
  CHECK(request.m_callerTimeout == milliseconds(39000));
  CHECK(request.m_promptTokens == 1460);
  CHECK(request.m_maxOutputTokens == 80);
  CHECK(request.m_expectedOutputTokens == 50);
}

TEST_CASE("the parts of a prompt are decoded in order")
{
  PlatformProtocol protocol;
  std::string many;
  for (int i = 0; i < 100; ++i) {
    many += "a:1,";
  }
  struct Row
  {
    std::string m_header;
    std::vector<std::string> m_parts;
  };
  for (const Row& row : std::vector<Row>{
         { "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
           { "5c1e07a2", "91bd3f06", "e4402b7d" } },
         { "5c:800", { "5c" } },
         { "5c:800, 91:1", { "5c", "91" } },
         { "5c,91", { "5c", "91" } },
         { ",,:5,5c:1,", { "5c" } },
         { "", {} },
         { many, std::vector<std::string>(64, "a") },
       }) {
    CAPTURE(row.m_header);
    HttpRequest http = CallerRequest();
    for (HttpHeader& header : http.m_headers) {
      if (header.m_name == "Prefix-Hash") {
        header.m_value = row.m_header;
      }
    }
    CHECK(protocol.DecodeRequest(http).m_promptParts == row.m_parts);
  }
}

TEST_CASE("malformed numbers in request headers count as absent")
{
  PlatformProtocol protocol;
  struct Row
  {
    const char* m_deadline;
    const char* m_tokenCounts;
    bool m_hasCallerTimeout;
    uint32_t m_prompt;
  };
  for (const Row& row : { Row{ "", "", false, 0 },
                          Row{ "soon", "1460", false, 0 },
                          Row{ "-5", "x,y", true, 0 },
                          Row{ "10", "1460,", true, 1460 },
                          Row{ "99999999999999999999", ",80", false, 0 } }) {
    CAPTURE(row.m_deadline);
    HttpRequest http{ "GET",
                      "/p/",
                      { { "Deadline-Ms", row.m_deadline },
                        { "Token-Count", row.m_tokenCounts } },
                      "" };
    RoutedRequest request = protocol.DecodeRequest(http);
    CHECK(request.m_callerTimeout.has_value() == row.m_hasCallerTimeout);
    CHECK(request.m_promptTokens == row.m_prompt);
  }
}

TEST_CASE(
  "an upstream gets the caller's request with only the system's directives")
{
  PlatformProtocol protocol;
  RoutedRequest request = protocol.DecodeRequest(CallerRequest());
  UpstreamDirectives directives;
  directives.m_timeLeft = milliseconds(1500);
  directives.m_upstream = UpstreamId("i-1");
  directives.m_account = AccountId("t");
  directives.m_priority = 12;
  directives.m_resume = ResumePoint{ { "10.0.0.2", 80 }, "h1", "41" };
  directives.m_backup = Endpoint{ "10.0.0.3", 81 };
  HttpRequest http = protocol.EncodeForUpstream(request, directives);
  CHECK(http.m_method == "POST");
  CHECK(http.m_target == "/p/1?q=2");
  CHECK(http.m_body == "body");
  struct Row
  {
    const char* m_name;
    const char* m_value;
  };
  for (const Row& row : { Row{ "Host", "h.example:8740" },
                          Row{ "Request-Id", "abc" },
                          Row{ "Token-Count", "1460,80" },
                          Row{ "Prefix-Hash", "5c:800" },
                          Row{ "X-Other", "2" },
                          Row{ "Deadline-Ms", "1500" },
                          Row{ "Expect-Instance", "i-1" },
                          Row{ "Tenant", "t" },
                          Row{ "Request-Urgency", "9" },
                          Row{ "Kv-From", "10.0.0.2:80/h1" },
                          Row{ "Last-Event-Id", "41" },
                          Row{ "Kv-Backup", "10.0.0.3:81" },
                          Row{ "X-Api-Key", "" },
                          Row{ "X-Private", "" },
                          Row{ "Connection", "" } }) {
    CAPTURE(row.m_name);
    CHECK(http.Header(row.m_name) == row.m_value);
  }
}

TEST_CASE("a caller's last event id is decoded and reaches an upstream only as "
          "a directive")
{
  PlatformProtocol protocol;
  struct Row
  {
    std::vector<std::string> m_ids;
    std::string m_decoded;
  };
  for (const Row& row : { Row{ {}, "" },
                          Row{ { "41" }, "41" },
                          Row{ { "41", "42" }, "41,42" } }) {
    HttpRequest http{ "GET", "/p/", {}, "" };
    for (const std::string& id : row.m_ids) {
      http.m_headers.push_back({ "last-event-id", id });
    }
    RoutedRequest request = protocol.DecodeRequest(http);
    CHECK(request.m_lastEventId == row.m_decoded);
    UpstreamDirectives directives;
    CHECK(protocol.EncodeForUpstream(request, directives)
            .Header("Last-Event-Id")
            .empty());
    directives.m_startAfter = "43";
    CHECK(
      protocol.EncodeForUpstream(request, directives).Header("Last-Event-Id") ==
      "43");
  }
}

TEST_CASE("a response is genuine only with its request id and server stamp")
{
  PlatformProtocol protocol;
  RoutedRequest request = protocol.DecodeRequest(CallerRequest());
  struct Row
  {
    int m_status;
    HttpHeaders m_headers;
    bool m_isGenuine;
    bool m_isNotRun;
    bool m_isMisdirected;
  };
  HttpHeader id{ "Request-Id", "abc" };
  HttpHeader stamp{ "Server-Stamp", "3e1b" };
  for (const Row& row : std::vector<Row>{
         { 200, { id, stamp }, true, false, false },
         { 500, { id, stamp }, true, false, false },
         { 200, { id }, false, false, false },
         { 200, { stamp }, false, false, false },
         { 200, { { "Request-Id", "x" }, stamp }, false, false, false },
         { 200,
           { id, stamp, { "Content-Encoding", "gzip" } },
           false,
           false,
           false },
         // Two statements, of which one may be another response's.
         { 200, { id, stamp, { "Request-Id", "x" } }, false, false, false },
         { 200, { { "request-id", "x" }, id, stamp }, false, false, false },
         { 200, { id, id, stamp }, false, false, false },
         { 200,
           { id, stamp, { "Server-Stamp", "4f2c" } },
           false,
           false,
           false },
         { 200,
           { id,
             stamp,
             { "Content-Encoding", "" },
             { "Content-Encoding", "gzip" } },
           false,
           false,
           false },
         { 503, { { "Not-Run", "1" } }, false, true, false },
         { 503, {}, false, false, false },
         { 421, { { "Instance-Id", "i-2" } }, false, true, true } }) {
    CAPTURE(row.m_status);
    ResponseHead head =
      protocol.DecodeResponseHead(request, row.m_status, row.m_headers);
    CHECK(head.m_isGenuine == row.m_isGenuine);
    CHECK(head.m_isNotRun == row.m_isNotRun);
    CHECK(head.m_isMisdirected == row.m_isMisdirected);
  }
}

TEST_CASE("a rate limit is one header with a decimal number, in a response to "
          "the request")
{
  PlatformProtocol protocol;
  RoutedRequest request;
  request.m_id = "r1";
  struct Row
  {
    std::vector<const char*> m_values;
    std::optional<double> m_limit;
    bool m_isUnreadable = false;
    const char* m_id = "r1";
  };
  for (const Row& row :
       std::vector<Row>{ { {}, std::nullopt },
                         { { "3.9" }, 3.9 },
                         { { "0" }, 0.0 },
                         { { "50" }, 50.0 },
                         { { "3.9" }, std::nullopt, false, "r2" },
                         { { "" }, std::nullopt, true },
                         { { "-1" }, std::nullopt, true },
                         { { "-0.0" }, std::nullopt, true },
                         { { "nan" }, std::nullopt, true },
                         { { "inf" }, std::nullopt, true },
                         { { "1e308" }, std::nullopt, true },
                         { { "1e400" }, std::nullopt, true },
                         { { "3.9 per second" }, std::nullopt, true },
                         { { "3.9", "3.9" }, std::nullopt, true } }) {
    HttpHeaders headers = { { "Request-Id", row.m_id } };
    for (const char* value : row.m_values) {
      CAPTURE(value);
      headers.push_back({ "Server-Limit", value });
    }
    ResponseHead head = protocol.DecodeResponseHead(request, 200, headers);
    CHECK(head.m_rateLimit == row.m_limit);
    CHECK(head.m_hasUnreadableLimit == row.m_isUnreadable);
  }
}

TEST_CASE("only a refusal of a request that did not run has Retry-After")
{
  PlatformProtocol protocol;
  Refusal refusal = RefusalBuilder(ErrorKind::Overloaded, "full")
                      .WithRetryAfter(milliseconds(250))
                      .Build();
  HttpResponse response = protocol.EncodeRefusal(refusal, "abc");
  CHECK(response.m_status == 503);
  CHECK(response.Header("Retry-After") == "0.250");
  CHECK(response.Header("Request-Id") == "abc");
  refusal =
    RefusalBuilder(ErrorKind::UpstreamFailed, "cut").AfterSend().Build();
  response = protocol.EncodeRefusal(refusal, "abc");
  CHECK(response.m_status == 502);
  CHECK(response.Header("Retry-After").empty());
}

TEST_CASE("an invalid announcement is an invalid control request")
{
  PlatformProtocol protocol;
  const std::string good =
    R"({"service":"e","addr":"10.0.0.9:8080","zone":"z","slots":24,)"
    R"("state":"ready","seq":4,"born":1000,"cold-left-ms":0})";
  struct Row
  {
    const char* m_name;
    std::string m_body;
    bool m_isValid;
  };
  auto changed = [&](const std::string& aFrom, const std::string& aTo) {
    std::string text = good;
    return text.replace(text.find(aFrom), aFrom.size(), aTo);
  };
  for (const Row& row : std::vector<Row>{
         { "valid", good, true },
         { "draining", changed("ready", "draining"), true },
         { "no start time", changed(",\"born\":1000", ""), true },
         { "empty", "", false },
         { "not text", "\xff\xfe", false },
         { "an array", "[1]", false },
         { "unknown state", changed("ready", "asleep"), false },
         { "no state", changed("\"state\":\"ready\",", ""), false },
         { "slots as a string", changed("24", "\"24\""), false },
         { "cold for a fractional time", changed(":0}", ":0.5}"), true },
         { "cold as a string", changed(":0}", ":\"0\"}"), false },
         { "cold as true", changed(":0}", ":true}"), false },
         { "cold as an array", changed(":0}", ":[0]}"), false },
         { "cold as null", changed(":0}", ":null}"), true },
         { "cold for a negative time", changed(":0}", ":-1}"), false },
         { "cold for a huge time", changed(":0}", ":1e13}"), false },
         { "cold for a time that no double holds",
           changed(":0}", ":1e400}"),
           false },
         { "cold as not a number", changed(":0}", ":NaN}"), false },
         { "negative slots", changed("24", "-1"), false },
         { "fractional sequence", changed("4,", "4.5,"), false },
         { "address without a port", changed(":8080", ""), false },
         { "address as a host name", changed("10.0.0.9", "host"), false },
         { "service as a number", changed("\"e\"", "7"), false },
         { "port above 65535", changed("8080", "65536"), false },
         { "port 0", changed("8080", "0"), false },
         { "no bytes of an address", changed("10.0.0.9", ""), false },
         { "slots above 32 bits", changed("24", "4294967296"), false },
         { "slots that no double holds", changed("24", "1e400"), false },
         { "sequence above 64 bits", changed("4,", "1e400,"), false },
         { "fields twice", changed("}", ",\"seq\":5}"), true },
         { "an unknown field nested 100,000 deep",
           changed("}",
                   ",\"x\":" + std::string(100'000, '[') +
                     std::string(100'000, ']') + "}"),
           false },
         { "nested 100,000 deep and cut off",
           std::string(100'000, '{'),
           false },
         { "a service of a megabyte",
           changed("\"e\"", "\"" + std::string(1'000'000, 'e') + "\""),
           false },
         { "a data centre of a megabyte",
           changed("\"z\"", "\"" + std::string(1'000'000, 'z') + "\""),
           false },
         { "an unknown field of a megabyte",
           changed("}", ",\"x\":\"" + std::string(1'000'000, 'x') + "\"}"),
           true } }) {
    CAPTURE(row.m_name);
    HttpRequest http{ "PUT", "/persimmontally/instances/i-1", {}, row.m_body };
    ControlRequest request = protocol.DecodeControl(http);
    CHECK(std::holds_alternative<AnnounceUpstream>(request) == row.m_isValid);
    CHECK(std::holds_alternative<InvalidControlRequest>(request) ==
          !row.m_isValid);
  }
}

TEST_CASE("the coldness that an announcement states is decoded")
{
  PlatformProtocol protocol;
  struct Row
  {
    const char* m_field;
    std::optional<Duration> m_left;
  };
  for (const Row& row :
       { Row{ "", std::nullopt },
         Row{ R"(,"cold-left-ms":null)", std::nullopt },
         Row{ R"(,"cold-left-ms":0)", Duration(0) },
         Row{ R"(,"cold-left-ms":1500)", milliseconds(1500) },
         Row{ R"(,"cold-left-ms":0.25)", std::chrono::microseconds(250) } }) {
    CAPTURE(std::string(row.m_field));
    std::string body =
      R"({"service":"e","addr":"10.0.0.9:8080","zone":"z","state":"ready")" +
      std::string(row.m_field) + R"(,"seq":4})";
    ControlRequest request = protocol.DecodeControl(
      { "PUT", "/persimmontally/instances/i-1", {}, body });
    REQUIRE(std::holds_alternative<AnnounceUpstream>(request));
    CHECK(std::get<AnnounceUpstream>(request).m_coldLeft == row.m_left);
  }
}

TEST_CASE("control requests are decoded by method and path")
{
  PlatformProtocol protocol;
  struct Row
  {
    const char* m_method;
    const char* m_target;
    size_t m_kind;
  };
  const size_t withdraw = ControlRequest(WithdrawUpstream()).index();
  const size_t store = ControlRequest(StoreCatalog()).index();
  const size_t fetch = ControlRequest(FetchCatalog()).index();
  const size_t evacuate = ControlRequest(OrderEvacuation()).index();
  const size_t invalid = ControlRequest(InvalidControlRequest()).index();
  for (const Row& row :
       { Row{ "DELETE", "/persimmontally/instances/i-1", withdraw },
         Row{ "POST", "/persimmontally/evacuate/xela", evacuate },
         Row{ "DELETE", "/persimmontally/evacuate/xela", evacuate },
         Row{ "POST", "/persimmontally/evacuate/xela?x=1", evacuate },
         Row{ "PUT", "/persimmontally/evacuate/xela", invalid },
         Row{ "GET", "/persimmontally/evacuate/xela", invalid },
         Row{ "POST", "/persimmontally/evacuate/", invalid },
         Row{ "POST", "/persimmontally/evacuate", invalid },
         Row{ "PUT", "/persimmontally/config", store },
         Row{ "GET", "/persimmontally/config", fetch },
         Row{ "GET", "/persimmontally/config?x=1", fetch },
         Row{ "POST", "/persimmontally/config", invalid },
         Row{ "GET", "/persimmontally/instances/i-1", invalid },
         Row{ "DELETE", "/persimmontally/instances/", invalid },
         Row{ "GET", "/", invalid } }) {
    CAPTURE(row.m_method);
    CAPTURE(row.m_target);
    HttpRequest http{ row.m_method, row.m_target, {}, kConfiguration };
    CHECK(protocol.DecodeControl(http).index() == row.m_kind);
  }
}

TEST_CASE("an order of an evacuation names its data centre, a body is ignored")
{
  PlatformProtocol protocol;
  for (const char* body : { "", "{}", "{\"zone\":\"other\"}", "not JSON" }) {
    for (bool isEvacuated : { true, false }) {
      CAPTURE(std::string(body));
      HttpRequest http{ isEvacuated ? "POST" : "DELETE",
                        "/persimmontally/evacuate/valle-central.1",
                        {},
                        body };
      ControlRequest request = protocol.DecodeControl(http);
      const auto& order = std::get<OrderEvacuation>(request);
      CHECK(order.m_dataCentre == DataCentreId("valle-central.1"));
      CHECK(order.m_isEvacuated == isEvacuated);
    }
  }
  ControlRequest wrong = protocol.DecodeControl(
    { "PATCH", "/persimmontally/evacuate/xela", {}, "" });
  CHECK(std::get<InvalidControlRequest>(wrong).m_kind ==
        ErrorKind::MethodNotAllowed);
}

TEST_CASE("a response to a KV copy yields the outcome and the handle")
{
  PlatformProtocol protocol;
  struct Row
  {
    int m_status;
    const char* m_body;
    bool m_isCopied;
    const char* m_handle;
  };
  for (const Row& row :
       { Row{ 200, R"({"handle":"h1","made":12})", true, "h1" },
         Row{ 503, R"({"handle":"h1"})", false, "h1" },
         Row{ 503, "", false, "" },
         Row{ 404, "{}", false, "" },
         Row{ 200, R"({"handle":7})", false, "" },
         // Would add a line to the head of a request.
         Row{ 200, R"({"handle":"h1\r\nX: y"})", false, "" },
         Row{ 503, R"({"handle":"h 1"})", false, "" } }) {
    CAPTURE(row.m_status);
    CopyResponse copy =
      protocol.DecodeCopyResponse({ row.m_status, {}, row.m_body });
    CHECK(copy.m_isCopied == row.m_isCopied);
    CHECK(copy.m_handle == row.m_handle);
  }
}
