/// Tests of orders that may have been read late.

#include "persimmontally/Net/OrderGate.h"

#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Support/Metrics.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace persimmontally;

namespace {

const std::string kOrder =
  "DELETE /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

int Connect(uint16_t aPort)
{
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aPort);
  ::inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
  REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  return socket;
}

} // namespace

// Guards against orders that undo later ones, because they lay in a socket
// while their host was frozen.
TEST_CASE("an order is acted on only if its sender waits and its host has not "
          "stood still")
{
  enum class Close
  {
    Never,
    /// Before the host reads the order.
    Before,
    /// While the host holds the order.
    During,
  };
  struct Row
  {
    const char* m_name;
    std::string m_bytes;
    Close m_close = Close::Never;
    /// How long the host stands still with the order in its socket.
    Duration m_standstill{ 0 };
    /// Time from a standstill of the host to the order, if any.
    std::optional<Duration> m_after = std::nullopt;
    bool m_isWanted = false;
  };
  const Duration none{ 0 };
  for (const Row& row : std::vector<Row>{
         { "waits", kOrder, Close::Never, none, std::nullopt, true },
         { "closed", kOrder, Close::Before },
         { "closed behind another request", kOrder + kOrder, Close::Before },
         { "closed while it is held", kOrder, Close::During },
         { "frozen, and closed", kOrder, Close::Before, milliseconds(1100) },
         { "frozen", kOrder, Close::Never, milliseconds(1100) },
         { "slow",
           kOrder,
           Close::Never,
           milliseconds(200),
           std::nullopt,
           true },
         { "shortly after", kOrder, Close::Never, none, milliseconds(300) },
         { "long after", kOrder, Close::Never, none, milliseconds(1300), true },
       }) {
    CAPTURE(std::string(row.m_name));
    EventLoop loop;
    Metrics metrics;
    OrderGate gate(loop, metrics);
    std::vector<bool> wanted;
    HttpServer server(
      loop,
      HttpLimits(),
      [&](HttpRequest, std::shared_ptr<ResponseWriter> aWriter) {
        auto decide = [&wanted, aWriter](bool aIsWanted) {
          wanted.push_back(aIsWanted);
          aWriter->SendResponse({ aIsWanted ? 200 : 503, {}, "" });
        };
        gate.Hold(
          aWriter, [decide] { decide(true); }, [decide] { decide(false); });
      });
    auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.ok());
    auto run = [&](Duration aLength) {
      Timer stop = loop.RunAfter(aLength, [&] { loop.Stop(); });
      loop.Run();
    };
    run(milliseconds(60));
    if (row.m_after) {
      std::this_thread::sleep_for(milliseconds(1100));
      run(*row.m_after);
    }
    int sender = Connect(*port);
    REQUIRE(::send(sender, row.m_bytes.data(), row.m_bytes.size(), 0) ==
            static_cast<ssize_t>(row.m_bytes.size()));
    if (row.m_close == Close::Before) {
      ::close(sender);
    }
    std::this_thread::sleep_for(row.m_standstill);
    run(milliseconds(50));
    if (row.m_close == Close::During) {
      CHECK(wanted.empty());
      ::close(sender);
    }
    run(milliseconds(300));
    REQUIRE(!wanted.empty());
    CHECK(wanted[0] == row.m_isWanted);
    if (row.m_close == Close::Never) {
      ::close(sender);
    }
    bool isCounted = metrics.PrometheusText().find("orders_dropped_total") !=
                     std::string::npos;
    CHECK(isCounted != row.m_isWanted);
  }
}
