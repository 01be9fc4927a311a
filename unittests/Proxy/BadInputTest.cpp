/// Tests that each kind of invalid input gets its own error and leaves the host
/// serving.

#include "Proxy/TestSite.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

struct BadInput
{
  std::string m_name;
  HttpRequest m_request;
  int m_status;
  std::string m_kind;
};

} // namespace

static HttpRequest WithHeader(HttpRequest aRequest,
                              const std::string& aName,
                              const std::string& aValue)
{
  aRequest.m_headers.push_back({ aName, aValue });
  return aRequest;
}

static HttpRequest WithTarget(HttpRequest aRequest,
                              const std::string& aMethod,
                              const std::string& aTarget)
{
  aRequest.m_method = aMethod;
  aRequest.m_target = aTarget;
  return aRequest;
}

static HttpRequest WithKey(HttpRequest aRequest, const std::string& aKey)
{
  aRequest.m_headers = { { "Authorization", "Bearer " + aKey } };
  return aRequest;
}

static std::vector<BadInput> BadInputs()
{
  const std::string good = R"({"model": "default", "prompt": "hello"})";
  const std::string upstreamKey = "upstream-key-of-the-test-site";
  const std::string adminKey = "admin-key-of-the-test-site";
  auto completion = CompletionRequestOf(good);
  auto announce = [&](const std::string& aBody) {
    return WithTarget(WithKey(CompletionRequestOf(aBody), upstreamKey),
                      "PUT",
                      "/upstream/v1/odd");
  };
  auto put = [&](const std::string& aBody) {
    return WithTarget(
      WithKey(CompletionRequestOf(aBody), adminKey), "PUT", "/admin/v1/plans");
  };
  return {
    { "malformed json", CompletionRequestOf("{"), 400, "malformed_request" },
    { "body is an array", CompletionRequestOf("[]"), 400, "malformed_request" },
    { "no model", CompletionRequestOf("{}"), 400, "invalid_parameter" },
    { "unknown model",
      CompletionRequestOf(R"({"model": "none", "prompt": "x"})"),
      404,
      "unknown_model" },
    { "prompt is a number",
      CompletionRequestOf(R"({"model": "default", "prompt": 3})"),
      400,
      "invalid_parameter" },
    { "stream is a string",
      CompletionRequestOf(
        R"({"model": "default", "prompt": "x", "stream": "yes"})"),
      400,
      "invalid_parameter" },
    { "max_tokens too large",
      CompletionRequestOf(
        R"({"model": "default", "prompt": "x", "max_tokens": 1000000000})"),
      400,
      "invalid_parameter" },
    { "max_tokens negative",
      CompletionRequestOf(
        R"({"model": "default", "prompt": "x", "max_tokens": -1})"),
      400,
      "invalid_parameter" },
    { "max_tokens a fraction",
      CompletionRequestOf(
        R"({"model": "default", "prompt": "x", "max_tokens": 1.5})"),
      400,
      "invalid_parameter" },
    { "chat without messages",
      WithTarget(completion, "POST", "/v1/chat/completions"),
      400,
      "invalid_parameter" },
    { "unknown key", WithKey(completion, "nobody"), 401, "unauthenticated" },
    { "no key", WithKey(completion, ""), 401, "unauthenticated" },
    { "unknown rank",
      WithHeader(completion, "X-Rank", "soon"),
      400,
      "invalid_parameter" },
    { "wrong method",
      WithTarget(completion, "GET", "/v1/completions"),
      405,
      "method_not_allowed" },
    { "unknown path", WithTarget(completion, "GET", "/v2"), 404, "not_found" },
    { "body too large",
      CompletionRequestOf(std::string(70000, 'x')),
      413,
      "body_too_large" },
    { "header too large",
      WithHeader(completion, "X-Long", std::string(20000, 'x')),
      431,
      "header_too_large" },
    { "order without key",
      OrderRequestOf("", "{}"),
      400,
      "missing_idempotency_key" },
    { "order with a long key",
      OrderRequestOf(std::string(300, 'k'), "{}"),
      400,
      "invalid_parameter" },
    { "X-Repeatable is neither true nor false",
      WithHeader(OrderRequestOf("k", "{}"), "X-Repeatable", "maybe"),
      400,
      "invalid_parameter" },
    { "unknown service",
      WithTarget(OrderRequestOf("k", "{}"), "POST", "/services/none/new"),
      404,
      "unknown_service" },
    { "announcement is not json",
      announce("nonsense"),
      400,
      "malformed_request" },
    { "announcement without address",
      announce("{}"),
      400,
      "invalid_parameter" },
    { "announcement with a name as address",
      announce(R"({"address": "example.org:80"})"),
      400,
      "invalid_parameter" },
    { "announcement with negative slots",
      announce(R"({"address": "127.0.0.1:80", "data_centre": "dc",
        "kind": "engine", "state": "serving", "models": ["m"],
        "slots": -4, "kv_blocks": 10})"),
      400,
      "invalid_parameter" },
    { "announcement under the caller's key",
      WithTarget(completion, "PUT", "/upstream/v1/odd"),
      401,
      "unauthenticated" },
    { "list without a version", put("{}"), 428, "missing_version" },
    { "list without a change id",
      WithHeader(put("{}"), "If-Match", "1"),
      400,
      "missing_idempotency_key" },
    { "list that does not match the schema",
      WithHeader(WithHeader(put("{\n\"plans\": 3}"), "If-Match", "1"),
                 "Idempotency-Key",
                 "x"),
      400,
      "invalid_list" },
    { "admin under the caller's key",
      WithTarget(completion, "GET", "/admin/v1/status"),
      401,
      "unauthenticated" },
  };
}

TEST_CASE("invalid input gets its error kind and the host stays alive")
{
  TestSite site;
  for (const BadInput& row : BadInputs()) {
    CAPTURE(row.m_name);
    HttpResponse response = site.Call(row.m_request);
    CHECK(response.m_status == row.m_status);
    CHECK(JsonAt(response.m_body, "/error/kind") == row.m_kind);
    CHECK(JsonAt(response.m_body, "/error/ran") == "no");
    CHECK_FALSE(JsonAt(response.m_body, "/error/message").empty());
  }
  HttpRequest alive;
  alive.m_method = "GET";
  alive.m_target = "/healthz";
  CHECK(site.Call(alive).m_status == 200);
}

TEST_CASE("a refusal returns the request id given by the caller")
{
  TestSite site;
  HttpRequest request =
    WithHeader(CompletionRequestOf("{"), "X-Request-Id", "mine-1");
  HttpResponse response = site.Call(request);
  CHECK(response.Header("X-Request-Id") == "mine-1");
  CHECK(JsonAt(response.m_body, "/error/request_id") == "mine-1");
}
