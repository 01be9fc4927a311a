/// Tests of catalog validation and of look-ups in the route table.

#include "persimmontally/Catalog/RouteTable.h"

#include <doctest/doctest.h>

#include <functional>

using namespace persimmontally;

static Route MakeRoute(const std::string& aHost, const std::string& aPrefix)
{
  Route route;
  route.m_name = aHost + aPrefix;
  route.m_hostName = aHost;
  route.m_pathPrefix = aPrefix;
  route.m_timeout = seconds(1);
  route.m_targets = { { "s", 1 } };
  return route;
}

static Catalog MakeCatalog()
{
  Catalog catalog;
  catalog.m_version = 3;
  catalog.m_services.push_back({ "s", 10, std::nullopt });
  catalog.m_services.push_back({ "t", 10, std::nullopt });
  catalog.m_routes = { MakeRoute("a.example", "/"),
                       MakeRoute("a.example", "/x/"),
                       MakeRoute("a.example", "/x/y/"),
                       MakeRoute("b.example", "/x/") };
  catalog.m_accounts = { { AccountId("one"), { "k1", "k2" }, 1 },
                         { AccountId("two"), { "k3" }, std::nullopt } };
  return catalog;
}

TEST_CASE("an invalid catalog is rejected and a valid one is accepted")
{
  struct Row
  {
    const char* m_name;
    std::function<void(Catalog&)> m_change;
    bool m_isValid;
  };
  for (const Row& row : std::vector<Row>{
         { "unchanged", [](Catalog&) {}, true },
         { "no accounts",
           [](Catalog& aCatalog) { aCatalog.m_accounts.clear(); },
           true },
         { "no routes",
           [](Catalog& aCatalog) { aCatalog.m_routes.clear(); },
           true },
         { "an account lists a key twice",
           [](Catalog& aCatalog) {
             aCatalog.m_accounts[0].m_keys = { "k1", "k1" };
           },
           true },
         { "one of two weights is 0",
           [](Catalog& aCatalog) {
             aCatalog.m_routes[0].m_targets = { { "s", 0 }, { "t", 2 } };
           },
           true },
         { "unknown service",
           [](Catalog& aCatalog) {
             aCatalog.m_routes[0].m_targets = { { "u", 1 } };
           },
           false },
         { "all weights are 0",
           [](Catalog& aCatalog) {
             aCatalog.m_routes[0].m_targets = { { "s", 0 }, { "t", 0 } };
           },
           false },
         { "no target",
           [](Catalog& aCatalog) { aCatalog.m_routes[0].m_targets.clear(); },
           false },
         { "timeout of 0",
           [](Catalog& aCatalog) {
             aCatalog.m_routes[1].m_timeout = Duration(0);
           },
           false },
         { "maximum attempts of 0",
           [](Catalog& aCatalog) { aCatalog.m_routes[1].m_maxAttempts = 0; },
           false },
         { "prefix without a trailing slash",
           [](Catalog& aCatalog) { aCatalog.m_routes[1].m_pathPrefix = "/x"; },
           false },
         { "two routes with the same host name and path prefix",
           [](Catalog& aCatalog) {
             aCatalog.m_routes.push_back(MakeRoute("a.example", "/x/"));
           },
           false },
         { "duplicate service name",
           [](Catalog& aCatalog) {
             aCatalog.m_services.push_back({ "s", 1, std::nullopt });
           },
           false },
         { "two accounts with the same key",
           [](Catalog& aCatalog) {
             aCatalog.m_accounts[1].m_keys.push_back("k1");
           },
           false },
       }) {
    CAPTURE(row.m_name);
    Catalog catalog = MakeCatalog();
    row.m_change(catalog);
    CHECK(ValidateCatalog(catalog).ok() == row.m_isValid);
  }
}

TEST_CASE("the route with the longest matching path prefix is found")
{
  RouteTable table(MakeCatalog());
  struct Row
  {
    const char* m_host;
    const char* m_path;
    const char* m_route;
  };
  for (const Row& row : {
         Row{ "a.example", "/", "a.example/" },
         Row{ "a.example", "/x", "a.example/" },
         Row{ "a.example", "/x/", "a.example/x/" },
         Row{ "a.example", "/x/1", "a.example/x/" },
         Row{ "a.example", "/x/yy/1", "a.example/x/" },
         Row{ "a.example", "/x/y/1", "a.example/x/y/" },
         Row{ "b.example", "/x/y/1", "b.example/x/" },
         Row{ "b.example", "/", nullptr },
         Row{ "c.example", "/x/", nullptr },
         Row{ "a.example", "", nullptr },
         Row{ "a.example", "*", nullptr },
       }) {
    CAPTURE(row.m_host);
    CAPTURE(row.m_path);
    const Route* route = table.FindRoute(row.m_host, row.m_path);
    REQUIRE((route == nullptr) == (row.m_route == nullptr));
    if (route != nullptr) {
      CHECK(route->m_name == row.m_route);
    }
  }
}

TEST_CASE("an account is found by each of its keys")
{
  RouteTable table(MakeCatalog());
  CHECK(table.UsesKeys());
  REQUIRE(table.FindAccount("k2") != nullptr);
  CHECK(table.FindAccount("k2")->m_id == AccountId("one"));
  CHECK(table.FindAccount("k3")->m_id == AccountId("two"));
  CHECK(table.FindAccount("") == nullptr);
  CHECK(table.FindAccount("k4") == nullptr);
}

TEST_CASE("services are picked in proportion to their weights")
{
  Route route = MakeRoute("a", "/");
  route.m_targets = { { "s", 90 }, { "none", 0 }, { "t", 10 } };
  struct Row
  {
    double m_uniformSample;
    const char* m_service;
  };
  for (const Row& row : { Row{ 0.0, "s" },
                          Row{ 0.899, "s" },
                          Row{ 0.9, "t" },
                          Row{ 0.999, "t" },
                          Row{ 1.0, "t" } }) {
    CAPTURE(row.m_uniformSample);
    CHECK(RouteTable::PickService(route, row.m_uniformSample) == row.m_service);
  }
}
