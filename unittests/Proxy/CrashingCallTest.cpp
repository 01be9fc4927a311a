/// Tests of service calls that crash the upstreams that run them.

#include "Proxy/TestSite.h"

#include <doctest/doctest.h>

#include <array>

using namespace persimmontally;

namespace {

/// A service whose upstreams die when they receive a call with `bad` in its
/// body.
class CrashingService
{
public:
  CrashingService(TestSite& aSite, std::string aService)
    : m_site(aSite)
    , m_service(std::move(aService))
  {
    RestartDead();
  }

  /// Starts the upstreams that have died since the last call.
  void RestartDead()
  {
    for (size_t i = 0; i < m_upstreams.size(); ++i) {
      if (!m_upstreams[i]) {
        Restart(i);
      }
    }
  }

  int m_deaths = 0;

private:
  void Restart(size_t aPlace)
  {
    m_upstreams[aPlace] = std::make_unique<FakeUpstream>(
      m_site.Loop(), [this, aPlace](const HttpRequest& aRequest, auto aWriter) {
        if (aRequest.m_body.find("bad") == std::string::npos) {
          aWriter->SendResponse({ 200, {}, "done" });
          return;
        }
        ++m_deaths;
        m_site.Loop().Post([this, aPlace, aWriter] {
          m_upstreams[aPlace].reset();
          aWriter->Abort();
        });
      });
    ++m_starts;
    std::string address =
      m_site.AddressPrefix() + "." + std::to_string(20 + m_starts);
    m_site.Announce(m_service + std::to_string(aPlace),
                    m_upstreams[aPlace]->Listen(address),
                    m_service,
                    m_starts);
  }

  TestSite& m_site;
  std::string m_service;
  uint64_t m_starts = 0;
  std::array<std::unique_ptr<FakeUpstream>, 3> m_upstreams;
};

} // namespace

// Guards against service calls that crash upstream after upstream.
TEST_CASE("a service call that returns unchanged ends two upstreams at most, "
          "and other calls are served")
{
  for (bool isRepeatable : { true, false }) {
    CAPTURE(isRepeatable);
    TestSite site;
    CrashingService service(site, isRepeatable ? "labels" : "orders");
    auto call = [&](const std::string& aBody, const std::string& aKey) {
      HttpRequest request = OrderRequestOf(isRepeatable ? "" : aKey, aBody);
      if (isRepeatable) {
        request.m_target = "/services/labels/new";
      }
      return site.Call(request).m_status;
    };
    int status = 0;
    for (int i = 0; i < 4; ++i) {
      CAPTURE(i);
      std::string key = std::to_string(i);
      status = call("bad", "bad-" + key);
      service.RestartDead();
      CHECK(call("sound", "sound-" + key) == 200);
    }
    CHECK(status == 422);
    CHECK(service.m_deaths <= 2);
  }
}
