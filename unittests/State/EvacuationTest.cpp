/// Tests of evacuations in the replicated state and of their spread.

#include "State/StateSimulation.h"
#include "persimmontally/State/CatalogSpread.h"
#include "persimmontally/State/EvacuationOrder.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <doctest/doctest.h>

#include <random>
#include <sstream>

using namespace persimmontally;

namespace {

const DataCentreId kNorth("north");

/// Encodes values as builds without evacuations do.
template<class... Values>
std::string OldEncoding(const Values&... aValues)
{
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(aValues...);
  return std::move(out).str();
}

SimulationOptions CalmOptions()
{
  SimulationOptions options;
  options.m_hasFaults = false;
  return options;
}

/// Starts an order on a host; the result is empty until it is decided.
std::shared_ptr<std::optional<CommandStatus>> Order(StateSimulation& aSite,
                                                    size_t aHost,
                                                    bool aIsEvacuated,
                                                    bool aIsWanted = true)
{
  auto result = std::make_shared<std::optional<CommandStatus>>();
  ProposeEvacuation(
    aSite.Service(aHost),
    [&aSite] { return aSite.Now(); },
    [aIsWanted] { return aIsWanted; },
    kNorth,
    aIsEvacuated,
    [result](const CommandResult& aResult) { *result = aResult.m_status; });
  return result;
}

CommandStatus OrderAndWait(StateSimulation& aSite,
                           size_t aHost,
                           bool aIsEvacuated,
                           bool aIsWanted = true)
{
  auto result = Order(aSite, aHost, aIsEvacuated, aIsWanted);
  Instant end = aSite.Now() + seconds(10);
  while (!*result && aSite.Now() < end) {
    aSite.RunFor(milliseconds(10));
  }
  return result->value_or(CommandStatus::Undecided);
}

bool IsEvacuatedAt(StateSimulation& aSite, size_t aHost)
{
  return EvacuatedDataCentres(aSite.Service(aHost).Plans().m_evacuations)
    .contains(kNorth);
}

} // namespace

TEST_CASE("orders of evacuations apply in the order of the log, repeated and "
          "overtaken ones change nothing")
{
  StateMachine machine{ Duration(0) };
  struct Row
  {
    const char* m_name;
    bool m_isEvacuated;
    uint64_t m_basisIndex;
    CommandStatus m_status;
    bool m_inForce;
    uint64_t m_lastChange;
  };
  uint64_t index = 0;
  constexpr auto kAccepted = CommandStatus::Accepted;
  constexpr auto kConflict = CommandStatus::VersionConflict;
  for (const Row& row : { Row{ "never ordered", false, 0, kAccepted, false, 0 },
                          Row{ "ordered", true, 0, kAccepted, true, 2 },
                          Row{ "repeated", true, 0, kAccepted, true, 2 },
                          Row{ "overtaken", false, 0, kConflict, true, 2 },
                          Row{ "taken back", false, 2, kAccepted, false, 5 },
                          Row{ "repeated", false, 2, kAccepted, false, 5 },
                          Row{ "late", true, 0, kConflict, false, 5 },
                          Row{ "later", true, 2, kConflict, false, 5 },
                          Row{ "again", true, 5, kAccepted, true, 9 } }) {
    CAPTURE(row.m_name);
    SetEvacuation command{ kNorth, row.m_isEvacuated, row.m_basisIndex };
    CommandResult result = machine.Apply(
      { ++index, 1, EntryKind::Command, 0, Encode(Command(command)) });
    CHECK(result.m_status == row.m_status);
    CHECK(result.m_version == row.m_lastChange);
    CHECK(machine.ListsIndex() == row.m_lastChange);
    CHECK(EvacuatedDataCentres(machine.Evacuations()).contains(kNorth) ==
          row.m_inForce);
    StateMachine copy{ Duration(0) };
    REQUIRE(copy.LoadSnapshot(machine.TakeSnapshot()).ok());
    CHECK(copy.Evacuations() == machine.Evacuations());
  }
}

TEST_CASE("without an evacuation all encodings are those of older builds, with "
          "one they are read back")
{
  ReplicatedState state;
  state.m_clockMs = 7;
  state.m_catalog = { 3, "{}" };
  state.m_leases.push_back({ "lease", HostId("h"), 1, 2, 3, 4 });
  std::string old = OldEncoding(state.m_clockMs,
                                state.m_listsIndex,
                                state.m_plans,
                                state.m_accounts,
                                state.m_catalog,
                                state.m_changes,
                                state.m_orders,
                                state.m_leases);
  CHECK(Encode(state) == old);
  CHECK(*Decode<ReplicatedState>(old) == state);
  state.m_evacuations = { { kNorth, true, 5 } };
  CHECK(*Decode<ReplicatedState>(Encode(state)) == state);

  ListsState lists{ "g", 4, { 1, "{}" }, { 2, "{}" }, { 3, "{}" }, {} };
  old = OldEncoding(lists.m_group,
                    lists.m_index,
                    lists.m_plans,
                    lists.m_accounts,
                    lists.m_catalog);
  CHECK(Encode(lists) == old);
  CHECK(*Decode<ListsState>(old) == lists);
  lists.m_evacuations = { { kNorth, true, 5 },
                          { DataCentreId("s"), false, 6 } };
  CHECK(*Decode<ListsState>(Encode(lists)) == lists);
  CHECK(*Decode<PeerMessage>(Encode(PeerMessage(lists))) == PeerMessage(lists));
  std::string cut = Encode(lists);
  cut.pop_back();
  CHECK(!Decode<ListsState>(cut).ok());
  // The earlier commands keep their numbers.
  CHECK(Command(ReadCatalog()).index() == 5);
  CHECK(Command(SetEvacuation()).index() == 6);
}

// Guards against the loss of an acknowledged evacuation in each fault that the
// group tolerates.
TEST_CASE("an acknowledged evacuation survives the loss of the leader before "
          "its spread, of a disk, and of the power")
{
  struct Row
  {
    const char* m_name;
    bool m_losesDisk;
    bool m_losesPower;
  };
  for (const Row& row :
       { Row{ "leader crashes", false, false },
         Row{ "leader loses its disk", true, false },
         Row{ "all lose power", false, true },
         Row{ "leader loses its disk, all lose power", true, true } }) {
    CAPTURE(row.m_name);
    StateSimulation site(CalmOptions());
    site.RunFor(seconds(6));
    REQUIRE(site.ProposeAndWait(0, PutCatalog{ 7, "seven" }).m_status ==
            CommandStatus::Accepted);
    size_t leader = *site.Leader();
    REQUIRE(OrderAndWait(site, leader, true) == CommandStatus::Accepted);
    for (size_t host = 0; host < 5; ++host) {
      if (host == leader || row.m_losesPower) {
        site.Crash(host);
      }
    }
    if (row.m_losesDisk) {
      site.EmptyDisk(leader);
    }
    for (size_t host = 0; host < 5; ++host) {
      site.Restart(host);
    }
    site.RunFor(seconds(15));
    for (size_t host = 0; host < 5; ++host) {
      CAPTURE(host);
      CHECK(IsEvacuatedAt(site, host));
      CHECK(site.Service(host).Plans().m_catalog.m_version == 7);
      CHECK(OrderAndWait(site, host, true) == CommandStatus::Accepted);
    }
  }
}

// Guards against an order that waits at a host without the leader and is
// proposed after a later one.
TEST_CASE("an order that was held up does not undo later ones")
{
  for (bool isEvacuated : { true, false }) {
    CAPTURE(isEvacuated);
    StateSimulation site(CalmOptions());
    site.RunFor(seconds(6));
    REQUIRE(OrderAndWait(site, 0, !isEvacuated) == CommandStatus::Accepted);
    site.RunFor(seconds(1));
    size_t cutOff = *site.Leader() == 1 ? 2 : 1;
    site.SetPartitioned(cutOff, true);
    auto heldUp = Order(site, cutOff, isEvacuated);
    site.RunFor(seconds(1));
    size_t other = *site.Leader();
    REQUIRE(OrderAndWait(site, other, isEvacuated) == CommandStatus::Accepted);
    REQUIRE(OrderAndWait(site, other, !isEvacuated) == CommandStatus::Accepted);
    REQUIRE(!*heldUp);
    site.SetPartitioned(cutOff, false);
    site.RunFor(seconds(8));
    REQUIRE(*heldUp);
    CHECK(**heldUp != CommandStatus::Accepted);
    for (size_t host = 0; host < 5; ++host) {
      CHECK(IsEvacuatedAt(site, host) == !isEvacuated);
    }
  }
}

// Guards against a refusal by a host that has not learnt of the last order, and
// against an order on top of one that its sender has given after it.
TEST_CASE("an order on a host that is behind is accepted if its sender waits")
{
  for (bool isWanted : { true, false }) {
    CAPTURE(isWanted);
    StateSimulation site(CalmOptions());
    site.RunFor(seconds(6));
    size_t behind = *site.Leader() == 1 ? 2 : 1;
    site.SetPartitioned(behind, true);
    REQUIRE(OrderAndWait(site, *site.Leader(), true) ==
            CommandStatus::Accepted);
    site.SetPartitioned(behind, false);
    REQUIRE(!IsEvacuatedAt(site, behind));
    CHECK((OrderAndWait(site, behind, false, isWanted) ==
           CommandStatus::Accepted) == isWanted);
    site.RunFor(seconds(1));
    for (size_t host = 0; host < 5; ++host) {
      CHECK(IsEvacuatedAt(site, host) != isWanted);
    }
  }
}

TEST_CASE("an evacuation under an unchanged catalog reaches a host that was "
          "cut off, and one that starts")
{
  SpreadOptions sourceOptions;
  sourceOptions.m_host = HostId("source");
  sourceOptions.m_peer = { "127.0.0.1", 1 };
  sourceOptions.m_isSource = true;
  SpreadOptions hostOptions;
  hostOptions.m_host = HostId("host");
  hostOptions.m_peer = { "127.0.0.1", 2 };
  const CatalogItem route{ "route/r", "r" };
  const CatalogItem evacuation{ "evacuation/north", "e" };
  for (bool isCutOff : { true, false }) {
    CAPTURE(isCutOff);
    CatalogSpread source(sourceOptions);
    CatalogSpread host(hostOptions);
    Instant now(seconds(1));
    std::optional<CatalogUpdate> last;
    auto run = [&](uint64_t aIndex) {
      for (int i = 0; i < 50; ++i, now += milliseconds(20)) {
        SpreadPeer peer;
        peer.m_host = sourceOptions.m_host;
        peer.m_peer = sourceOptions.m_peer;
        peer.m_isSource = true;
        peer.m_index = aIndex;
        host.SetPeers({ peer });
        host.Tick(now);
        for (const SpreadSend& send : host.TakeSends()) {
          source.Receive(now, std::get<CatalogPull>(send.m_message));
        }
        for (const SpreadSend& send : source.TakeSends()) {
          const auto& update = std::get<CatalogUpdate>(send.m_message);
          if (host.Receive(now, update)) {
            last = update;
          }
        }
      }
    };
    source.Publish(now, "g", 10, 7, { route });
    if (isCutOff) {
      run(10);
      REQUIRE(host.IsCurrent());
    }
    source.Publish(now, "g", 11, 7, { route, evacuation });
    source.TakeSends();
    run(11);
    CHECK(host.IsCurrent());
    REQUIRE(last);
    CHECK(std::count(
            last->m_changed.begin(), last->m_changed.end(), evacuation) == 1);
    source.Publish(now, "g", 12, 7, { route });
    source.TakeSends();
    run(12);
    CHECK(host.IsCurrent());
    CHECK(last->m_removed == std::vector<std::string>{ evacuation.m_key });
  }
}

// Load: operators order and take back several times a second while hosts crash,
// are cut off and lose their disks.
TEST_CASE("an acknowledged order is in force after random faults")
{
  size_t accepted = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    SimulationOptions options;
    options.m_seed = seed;
    options.m_faultPeriod = seconds(2);
    StateSimulation site(options);
    std::mt19937_64 random(seed);
    auto order = [&](bool aIsEvacuated) {
      size_t host = random() % options.m_hosts;
      return site.IsUp(host) ? Order(site, host, aIsEvacuated)
                             : std::make_shared<std::optional<CommandStatus>>();
    };
    std::vector<std::shared_ptr<std::optional<CommandStatus>>> results;
    for (int i = 0; i < 100; ++i) {
      site.RunFor(milliseconds(100 + random() % 400));
      results.push_back(order(random() % 2 == 0));
    }
    for (const auto& result : results) {
      accepted += *result == CommandStatus::Accepted ? 1 : 0;
    }
    // All earlier orders are decided, or may still come from a host that is cut
    // off, where they are overtaken.
    site.RunFor(milliseconds(1000 + random() % 4000));
    bool isEvacuated = random() % 2 == 0;
    auto last = order(isEvacuated);
    for (int i = 0; i < 100 && *last != CommandStatus::Accepted; ++i) {
      site.RunFor(milliseconds(1000));
      last = order(isEvacuated);
      site.RunFor(milliseconds(500));
    }
    REQUIRE(*last == CommandStatus::Accepted);
    site.RunFor(seconds(10));
    site.Heal();
    for (size_t host = 0; host < options.m_hosts; ++host) {
      CHECK(IsEvacuatedAt(site, host) == isEvacuated);
    }
  }
  CHECK(accepted > 1000);
}
