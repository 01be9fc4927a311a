/// Tests that each path on which a request or its data leaves the host keeps to
/// the regions that route and account allow.

#include "../../lib/Forwarding/PeerResidency.h"
#include "Forwarding/TwoEngines.h"
#include "persimmontally/Support/Metrics.h"

#include <doctest/doctest.h>

using namespace persimmontally;

namespace {

/// Restricts all routes to a region; empty for none.
void Restrict(ForwardSite& aSite, const std::string& aRegion)
{
  aSite.EditCatalog([&](Catalog& aCatalog) {
    for (Route& route : aCatalog.m_routes) {
      route.m_terms.m_allowedRegions.clear();
      if (!aRegion.empty()) {
        route.m_terms.m_allowedRegions = { RegionId(aRegion) };
      }
    }
  });
}

/// A site with upstreams in the regions north and south; counts the requests
/// and copies that reach each.
class TwoRegions
{
public:
  explicit TwoRegions(bool aCanBackUp = true)
    : m_site(aCanBackUp)
  {
  }

  /// Adds an upstream that answers with a status, or holds requests for 0.
  void Add(const std::string& aId,
           const std::string& aService,
           const std::string& aRegion,
           int aStatus = 200)
  {
    m_site.SetRegion(aId, aRegion);
    m_site.AddUpstream(
      aId,
      aService,
      [this, aId, aStatus](const HttpRequest& aRequest, const auto& aWriter) {
        ++m_hits[aId];
        if (aStatus == 0) {
          m_held.push_back(aWriter);
          return;
        }
        aWriter->SendResponse({ aStatus, Genuine(aRequest), "ok" });
      });
  }

  /// Adds an engine that streams.
  FakeEngine& AddEngine(const std::string& aId, const std::string& aRegion)
  {
    m_engines.push_back(std::make_unique<FakeEngine>(m_site, aId));
    FakeEngine* engine = m_engines.back().get();
    m_site.SetRegion(aId, aRegion);
    m_site.AddUpstream(
      aId,
      "engines",
      [this, engine](const HttpRequest& aRequest, const auto& aWriter) {
        bool isCopy = aRequest.m_target.starts_with("/persimmontally/kv-move");
        m_hits[engine->m_id] += isCopy ? 0 : 1;
        if (isCopy && m_onCopy) {
          m_onCopy();
        }
        engine->Handle(aRequest, aWriter);
      });
    return *engine;
  }

  /// Breaks the held requests off.
  void BreakOff()
  {
    for (const ForwardSite::Writer& writer : std::exchange(m_held, {})) {
      writer->Abort();
    }
  }
  std::shared_ptr<ForwardSite::Call> Start(const std::string& aPath)
  {
    return m_site.Start(aPath, kLongOutput);
  }
  void Wait(const std::shared_ptr<ForwardSite::Call>& aCall)
  {
    m_site.RunUntil([&] { return aCall->m_isDone; });
  }
  bool Counted(const std::string& aCounter)
  {
    return m_site.Counters().PrometheusText().find(aCounter) !=
           std::string::npos;
  }

  ForwardSite m_site;
  std::map<std::string, int> m_hits;
  /// Called when a request for a copy arrives.
  std::function<void()> m_onCopy;

private:
  std::vector<std::unique_ptr<FakeEngine>> m_engines;
  std::vector<ForwardSite::Writer> m_held;
};

} // namespace

// One row per path. In each, the upstream "a" in the south would be preferred
// if the path did not ask for the residency.
TEST_CASE("each path of a request keeps to its residency")
{
  struct Row
  {
    const char* m_name;
    bool m_canBackUp;
    void (*m_run)(TwoRegions&);
  };
  const Row rows[] = {
    { "first send to an engine",
      true,
      [](TwoRegions& aSite) {
        aSite.Add("n", "engines", "north");
        aSite.Add("a", "engines", "south");
        Restrict(aSite.m_site, "north");
        for (int i = 0; i < 20; ++i) {
          CHECK(aSite.m_site.Finish("/whole/x").m_status == 200);
        }
        CHECK(aSite.m_hits["n"] == 20);
      } },
    { "first send to a plain service",
      true,
      [](TwoRegions& aSite) {
        aSite.Add("n", "plain", "north");
        aSite.Add("a", "plain", "south");
        Restrict(aSite.m_site, "north");
        for (int i = 0; i < 20; ++i) {
          CHECK(aSite.m_site.Finish("/unsafe/x").m_status == 200);
        }
      } },
    { "terms of the account",
      true,
      [](TwoRegions& aSite) {
        aSite.Add("n", "plain", "north");
        aSite.Add("a", "plain", "south");
        aSite.m_site.EditCatalog([](Catalog& aCatalog) {
          aCatalog.m_accounts[0].m_terms.m_allowedRegions = { RegionId(
            "north") };
        });
        for (int i = 0; i < 20; ++i) {
          CHECK(aSite.m_site.Finish("/safe/x").m_status == 200);
        }
      } },
    { "retry after a failed connection",
      true,
      [](TwoRegions& aSite) {
        aSite.m_site.SetRegion("n", "north");
        aSite.m_site.AddDeadUpstream("n", "plain");
        aSite.Add("a", "plain", "south");
        Restrict(aSite.m_site, "north");
        CHECK(aSite.m_site.Finish("/safe/x").m_status == 503);
      } },
    { "retry after an error",
      true,
      [](TwoRegions& aSite) {
        aSite.Add("n", "plain", "north", 500);
        aSite.Add("a", "plain", "south");
        Restrict(aSite.m_site, "north");
        CHECK(aSite.m_site.Finish("/safe/x").m_status == 500);
        CHECK(aSite.m_hits["n"] == 2);
      } },
    { "retry by a newer catalog",
      true,
      [](TwoRegions& aSite) {
        aSite.Add("n", "plain", "north", 0);
        Restrict(aSite.m_site, "");
        auto call = aSite.Start("/safe/x");
        aSite.m_site.RunUntil([&] { return aSite.m_hits["n"] == 1; });
        aSite.Add("a", "plain", "south");
        Restrict(aSite.m_site, "north");
        aSite.BreakOff();
        aSite.m_site.RunUntil([&] { return aSite.m_hits["n"] == 2; });
        aSite.BreakOff();
        aSite.Wait(call);
        CHECK(call->m_response.m_status == 502);
      } },
    { "assignment of a backup",
      true,
      [](TwoRegions& aSite) {
        FakeEngine& north = aSite.AddEngine("n", "north");
        aSite.AddEngine("a", "south");
        Restrict(aSite.m_site, "north");
        aSite.Wait(aSite.Start("/stream/x"));
        REQUIRE(north.m_backups.size() == 1);
        CHECK(north.m_backups[0].empty());
      } },
    { "rescue copy",
      false,
      [](TwoRegions& aSite) {
        FakeEngine& north = aSite.AddEngine("n", "north");
        Restrict(aSite.m_site, "north");
        auto call = aSite.Start("/stream/x");
        aSite.m_site.RunUntil([&] { return north.m_eventsSent >= 10; });
        aSite.AddEngine("a", "south");
        aSite.m_site.SetState("n", UpstreamState::Leaving);
        aSite.Wait(call);
        CHECK(north.m_copyRequests == 0);
        CHECK(call->m_response.m_body == Events(40));
      } },
    { "rounds of a rescue copy by a newer catalog",
      false,
      [](TwoRegions& aSite) {
        FakeEngine& north = aSite.AddEngine("n", "north");
        auto call = aSite.Start("/stream/x");
        aSite.m_site.RunUntil([&] { return north.m_eventsSent >= 10; });
        aSite.AddEngine("a", "south");
        aSite.m_onCopy = [&] { Restrict(aSite.m_site, "north"); };
        aSite.m_site.SetState("n", UpstreamState::Leaving);
        aSite.Wait(call);
        CHECK(north.m_copyRequests == 1);
        CHECK(call->m_response.m_body == Events(40));
      } },
    { "newer catalog while queued",
      true,
      [](TwoRegions& aSite) {
        auto call = aSite.Start("/safe/x");
        aSite.m_site.RunUntil(
          [&] { return aSite.m_site.Gateway().OpenRequests() == 1; });
        Restrict(aSite.m_site, "north");
        aSite.Add("a", "plain", "south");
        aSite.Wait(call);
        CHECK(call->m_response.m_status == 503);
      } },
    { "route and account allow no region in common",
      true,
      [](TwoRegions& aSite) {
        aSite.Add("a", "plain", "south");
        Restrict(aSite.m_site, "south");
        aSite.m_site.EditCatalog([](Catalog& aCatalog) {
          aCatalog.m_accounts[0].m_terms.m_allowedRegions = { RegionId(
            "north") };
        });
        CHECK(aSite.m_site.Finish("/safe/x").m_status == 503);
        CHECK(aSite.Counted("residency_refusals_total{reason=\"no_region\"}"));
      } },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.m_name));
    TwoRegions site(row.m_canBackUp);
    row.m_run(site);
    CHECK(site.m_hits["a"] == 0);
    CHECK(site.m_site.Gateway().OpenRequests() == 0);
  }
}

// The generation must not run on at a copy that the newest terms do not allow.
TEST_CASE(
  "a stream with a backup is broken off where a newer catalog no longer "
  "allows the backup")
{
  TwoRegions site;
  FakeEngine* engines[] = { &site.AddEngine("n", "north"),
                            &site.AddEngine("a", "south") };
  auto call = site.Start("/stream/x");
  site.m_site.RunUntil(
    [&] { return engines[0]->m_eventsSent + engines[1]->m_eventsSent >= 12; });
  bool isNorth = engines[0]->m_eventsSent > 0;
  FakeEngine& source = *engines[isNorth ? 0 : 1];
  FakeEngine& backup = *engines[isNorth ? 1 : 0];
  CHECK(!source.m_backups[0].empty());
  Restrict(site.m_site, isNorth ? "north" : "south");
  source.AbortStream();
  site.Wait(call);
  CHECK(!call->m_status.ok());
  CHECK(backup.m_generationsStarted == 0);
}

// Guards against a request that waits for the end of its time instead.
TEST_CASE("a request without an upstream in its regions is refused at once as "
          "not run")
{
  struct Row
  {
    const char* m_name;
    const char* m_reason;
    const char* m_message;
    void (*m_set)(TwoRegions&);
  };
  const Row rows[] = {
    { "none known", "none_known", "allowed regions", [](TwoRegions&) {} },
    { "leaving",
      "none_serving",
      "allowed regions",
      [](TwoRegions& aSite) {
        aSite.Add("n", "plain", "north");
        aSite.m_site.SetState("n", UpstreamState::Leaving);
      } },
    { "evacuated",
      "evacuated",
      "is evacuated",
      [](TwoRegions& aSite) {
        aSite.Add("n", "plain", "north");
        aSite.m_site.Evacuate({ "dc" });
      } },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.m_name));
    TwoRegions site;
    site.Add("a", "plain", "south");
    row.m_set(site);
    Restrict(site.m_site, "north");
    Instant start = site.m_site.Loop().Now();
    HttpResponse response = site.m_site.Finish("/unsafe/x");
    CHECK(response.m_status == 503);
    CHECK(response.m_body.find(row.m_message) != std::string::npos);
    double delay = 0;
    for (const HttpHeader& header : response.m_headers) {
      delay =
        header.m_name == "Retry-After" ? std::stod(header.m_value) : delay;
    }
    CHECK(delay >= 0.5);
    CHECK(site.m_site.Loop().Now() - start < milliseconds(400));
    CHECK(site.Counted("residency_refusals_total{reason=\"" +
                       std::string(row.m_reason) + "\"} 1"));
    CHECK(site.m_hits["a"] + site.m_hits["n"] == 0);
  }
}

TEST_CASE("a request that waits or is retried follows the newest catalog")
{
  struct Row
  {
    const char* m_name;
    bool m_isRetry;
    int m_status;
    void (*m_edit)(Catalog&);
  };
  auto setService = [](Catalog& aCatalog) {
    aCatalog.m_routes[1].m_targets[0] = { "other", 1 };
  };
  auto removeRoute = [](Catalog& aCatalog) {
    aCatalog.m_routes.erase(aCatalog.m_routes.begin() + 1);
  };
  auto removeKey = [](Catalog& aCatalog) {
    aCatalog.m_accounts[0].m_keys = { "new" };
  };
  const Row rows[] = {
    { "waits, other service", false, 200, setService },
    { "waits, route removed", false, 404, removeRoute },
    { "waits, key removed", false, 401, removeKey },
    { "retried, other service", true, 200, setService },
    // The first attempt may have run.
    { "retried, route removed", true, 502, removeRoute },
    { "retried, key removed", true, 502, removeKey },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.m_name));
    TwoRegions site;
    site.Add("o", "other", "north");
    if (row.m_isRetry) {
      site.Add("first", "plain", "north", 0);
    }
    auto call = site.Start("/safe/x");
    site.m_site.RunUntil([&] {
      return row.m_isRetry ? site.m_hits["first"] == 1
                           : site.m_site.Gateway().OpenRequests() == 1;
    });
    site.m_site.EditCatalog(row.m_edit);
    site.Add("p", "plain", "north");
    site.BreakOff();
    site.Wait(call);
    CHECK(call->m_response.m_status == row.m_status);
    CHECK(site.m_hits["p"] == 0);
    CHECK(site.m_hits["o"] == (row.m_status == 200 ? 1 : 0));
  }
}

TEST_CASE(
  "the residency of peers' requests is that of their account and of all "
  "routes of their service and rank")
{
  struct Row
  {
    const char* m_name;
    std::vector<RegionId> m_urgentRoute;
    std::vector<RegionId> m_otherUrgentRoute;
    std::vector<RegionId> m_account;
    Rank m_rank;
    Residency m_expected;
  };
  const RegionId north("north");
  const RegionId south("south");
  for (const Row& row : std::vector<Row>{
         { "none", {}, {}, {}, Rank::Urgent, {} },
         { "one route", { north }, {}, {}, Rank::Urgent, {} },
         { "both routes",
           { north },
           { south },
           {},
           Rank::Urgent,
           { { north, south }, {} } },
         { "other rank", { north }, { north }, {}, Rank::Routine, {} },
         { "account", {}, {}, { south }, Rank::Routine, { { south }, {} } },
         { "route and account",
           { north, south },
           { south },
           { south },
           Rank::Urgent,
           { { south }, {} } } }) {
    CAPTURE(std::string(row.m_name));
    Catalog catalog;
    for (int i = 0; i < 3; ++i) {
      Route route;
      route.m_hostName = "h";
      route.m_pathPrefix = "/" + std::to_string(i) + "/";
      route.m_targets = { { "m", 1 } };
      route.m_priority = i / 2;
      catalog.m_routes.push_back(route);
    }
    catalog.m_routes[0].m_terms.m_allowedRegions = row.m_urgentRoute;
    catalog.m_routes[1].m_terms.m_allowedRegions = row.m_otherUrgentRoute;
    ClientAccount account;
    account.m_id = AccountId("a");
    account.m_terms.m_allowedRegions = row.m_account;
    catalog.m_accounts = { account };
    LedgerRow ledgerRow;
    ledgerRow.m_model = ModelId("m");
    ledgerRow.m_account = account.m_id;
    ledgerRow.m_rank = row.m_rank;
    CHECK(PeerResidency(RouteTable(catalog)).Of(ledgerRow) == row.m_expected);
  }
}
