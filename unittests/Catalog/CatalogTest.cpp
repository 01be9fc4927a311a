/// Tests of catalog validation and of look-ups in the route table.

#include "persimmontally/Catalog/CatalogItems.h"
#include "persimmontally/Catalog/RouteTable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <set>

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

TEST_CASE("a table updated by items finds what the table of the whole catalog "
          "finds")
{
  Catalog before = MakeCatalog();
  Catalog after = MakeCatalog();
  const std::vector<RegionId> regions = { RegionId("north") };
  // Terms that go, that come, that stay while their entry changes, and that
  // change while their entry stays.
  before.m_services[0].m_terms = { seconds(2), 5 };
  before.m_routes.push_back(MakeRoute("d.example", "/x/"));
  after.m_routes.push_back(MakeRoute("d.example", "/x/"));
  before.m_accounts[0].m_terms.m_allowedRegions = regions;
  before.m_routes[2].m_terms.m_isResumable = true;
  before.m_routes[3].m_terms = { regions, true };
  after.m_routes[0].m_terms.m_allowedRegions = regions;
  after.m_routes[2].m_terms.m_isResumable = true;
  after.m_routes[2].m_timeout = seconds(7);
  after.m_routes[3].m_terms = { { RegionId("south") }, true };
  after.m_services[1].m_terms = { seconds(2), 7 };
  after.m_version = 4;
  after.m_limits.m_maxBodyBytes = 17;
  after.m_routes[0].m_targets = { { "t", 1 } };
  after.m_routes.erase(after.m_routes.begin() + 1);
  after.m_routes.push_back(MakeRoute("c.example", "/"));
  after.m_services.push_back({ "u", 10, EngineSpec() });
  // A key passes from one account to another, and a third account is new.
  after.m_accounts = { { AccountId("one"), { "k1" }, 1 },
                       { AccountId("two"), { "k2" }, std::nullopt },
                       { AccountId("two"), { "k4" }, std::nullopt } };
  CatalogUpdate whole;
  whole.m_version = before.m_version;
  whole.m_changed = EncodeItems(before);
  auto base = RouteTable().Updated(whole);
  REQUIRE(base.ok());

  CatalogUpdate difference;
  difference.m_baseIndex = 1;
  difference.m_version = after.m_version;
  std::set<std::string> keys;
  for (const CatalogItem& item : EncodeItems(after)) {
    keys.insert(item.m_key);
    if (std::count(whole.m_changed.begin(), whole.m_changed.end(), item) == 0) {
      difference.m_changed.push_back(item);
    }
  }
  for (const CatalogItem& item : whole.m_changed) {
    if (!keys.contains(item.m_key)) {
      difference.m_removed.push_back(item.m_key);
    }
  }
  auto updated = base->Updated(difference);
  REQUIRE(updated.ok());
  RouteTable expected(after);
  CHECK(updated->Version() == 4);
  CHECK(updated->Limits() == expected.Limits());
  CHECK(updated->RouteCount() == expected.RouteCount());
  CHECK(updated->AccountCount() == expected.AccountCount());
  auto same = [](const auto* aLeft, const auto* aRight) {
    return (aLeft == nullptr) == (aRight == nullptr) &&
           (aLeft == nullptr || *aLeft == *aRight);
  };
  for (const char* host :
       { "a.example", "b.example", "c.example", "d.example" }) {
    for (const char* path : { "/", "/x/", "/x/1", "/x/y/1", "/z" }) {
      CHECK(
        same(updated->FindRoute(host, path), expected.FindRoute(host, path)));
    }
  }
  for (const char* key : { "k1", "k2", "k3", "k4" }) {
    CHECK(same(updated->FindAccount(key), expected.FindAccount(key)));
  }
  for (const char* service : { "s", "t", "u", "v" }) {
    CHECK(same(updated->FindService(service), expected.FindService(service)));
  }
  // Unchanged entries are shared, not copied.
  CHECK(updated->FindService("t") != base->FindService("t"));
  CHECK(updated->FindAccount("k1") != base->FindAccount("k1"));
  CHECK(updated->FindRoute("d.example", "/x/") ==
        base->FindRoute("d.example", "/x/"));
  CHECK(base->FindRoute("a.example", "/x/1")->m_pathPrefix == "/x/");
}

TEST_CASE("older builds can read entries: terms are items of their own")
{
  Catalog with = MakeCatalog();
  with.m_routes[0].m_terms.m_isResumable = true;
  with.m_services[0].m_terms.m_coldRequestsPerSecond = 5;
  with.m_accounts[0].m_terms.m_allowedRegions = { RegionId("north") };
  std::vector<CatalogItem> items = EncodeItems(with);
  std::erase_if(items, [](const CatalogItem& aItem) {
    return aItem.m_key.find("-terms/") != std::string::npos;
  });
  CHECK(items == EncodeItems(MakeCatalog()));
  CHECK(EncodeItems(with).size() == items.size() + 3);
}

// Guards against an evacuation that older builds take for a malformed item, for
// which they reject the update of the catalog that it came with.
TEST_CASE("an evacuation comes into force and ends with its item, and is a "
          "service without routes to older builds")
{
  CatalogItem item = EncodeEvacuation(DataCentreId("xela"));
  CHECK(item.m_key == "evacuation/xela");
  auto entry = DecodeItem(item);
  REQUIRE(entry.ok());
  CHECK(std::get<ServiceSpec>(*entry).m_name == "evacuation/xela");

  const std::set<DataCentreId> xela = { DataCentreId("xela") };
  CatalogUpdate update;
  update.m_changed = EncodeItems(MakeCatalog());
  auto table = RouteTable().Updated(update);
  REQUIRE(table.ok());
  CHECK(table->Evacuated().empty());
  CatalogUpdate ordered;
  ordered.m_baseIndex = 1;
  ordered.m_changed = { item };
  auto evacuated = table->Updated(ordered);
  REQUIRE(evacuated.ok());
  CHECK(evacuated->Evacuated() == xela);
  CHECK(evacuated->FindService("evacuation/xela") == nullptr);
  CHECK(evacuated->RouteCount() == 4);
  CatalogUpdate takenBack;
  takenBack.m_baseIndex = 2;
  takenBack.m_removed = { item.m_key };
  CHECK(evacuated->Updated(takenBack)->Evacuated().empty());
  // A whole catalog replaces all evacuations.
  CHECK(evacuated->Updated(update)->Evacuated().empty());
  update.m_changed.push_back(item);
  CHECK(RouteTable().Updated(update)->Evacuated() == xela);
  CHECK(RouteTable(MakeCatalog(), xela).Evacuated() == xela);
}

TEST_CASE("a malformed item is rejected")
{
  std::string data = EncodeItems(MakeCatalog()).back().m_data;
  for (size_t size = 0; size < data.size(); ++size) {
    CHECK_FALSE(DecodeItem({ "item", data.substr(0, size) }).ok());
  }
  CHECK_FALSE(DecodeItem({ "item", data + "x" }).ok());
}
