/// Measures how the cost of membership, placement and the replicated log grows
/// with the number of hosts, upstreams, accounts, queued requests and log
/// entries. docs/CAPACITY.md is derived from its output.

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Routing/Dispatcher.h"
#include "persimmontally/State/LogStore.h"
#include "persimmontally/State/StateMachine.h"
#include "persimmontally/Wire/Codec.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <functional>
#include <memory>
#include <random>

DEFINE_string(folder, "/tmp/persimmontally-scale", "folder for log files");
DEFINE_int32(seconds, 20, "simulated seconds of each membership run");

using namespace persimmontally;

static constexpr size_t kDataCentres = 12;
/// Bytes of the UDP and IP headers (28) and of the seal (40) of a datagram.
static constexpr size_t kDatagramOverhead = 28 + 40;

static double ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         1e-9 * static_cast<double>(time.tv_nsec);
}

static double WallSeconds()
{
  return std::chrono::duration<double>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

namespace {

/// Membership of a number of hosts over a network without loss or delay.
/// Measures the bytes sent and the CPU time used, per host and second.
class MembershipRun
{
public:
  MembershipRun(size_t aHosts, size_t aUpstreams)
    : m_upstreams(aUpstreams)
  {
    std::vector<Endpoint> seeds = { EndpointOf(0),
                                    EndpointOf(1),
                                    EndpointOf(2) };
    for (size_t i = 0; i < aHosts; ++i) {
      HostRow row;
      row.m_id = HostId("host-" + std::to_string(i));
      row.m_dataCentre = DataCentreId("dc-" + std::to_string(i % kDataCentres));
      row.m_peer = EndpointOf(i);
      row.m_incarnation = 1;
      m_hosts.push_back(
        std::make_unique<Membership>(row, seeds, MembershipOptions(), i + 1));
    }
    // All hosts start with the rows of all hosts, since the run measures the
    // steady state.
    MembershipTables tables;
    for (const auto& host : m_hosts) {
      tables.m_hosts.push_back(host->Self());
    }
    for (const auto& host : m_hosts) {
      host->ReceiveTables(m_now, HostId(), tables);
    }
  }

  void MeasureAndPrint()
  {
    // Waits until the updates about all hosts have been disseminated.
    RunFor(seconds(10 + m_hosts.size() / 2));
    m_datagramBytes = 0;
    m_tableBytes = 0;
    m_cpuSeconds = 0;
    RunFor(seconds(FLAGS_seconds));
    double hostSeconds =
      static_cast<double>(m_hosts.size()) * static_cast<double>(FLAGS_seconds);
    std::printf("| %zu | %zu | %.0f | %.0f | %.3f |\n",
                m_hosts.size(),
                m_upstreams,
                m_datagramBytes / hostSeconds,
                m_tableBytes / hostSeconds,
                100 * m_cpuSeconds / hostSeconds);
  }

private:
  static Endpoint EndpointOf(size_t aHost)
  {
    return { "10.0.0.1", static_cast<uint16_t>(1000 + aHost) };
  }

  void Announce()
  {
    ++m_sequence;
    for (size_t i = 0; i < m_upstreams; ++i) {
      UpstreamRow row;
      row.m_id = UpstreamId("upstream-" + std::to_string(i));
      row.m_incarnation = 1;
      row.m_sequence = m_sequence;
      row.m_dataCentre = DataCentreId("dc-" + std::to_string(i % kDataCentres));
      row.m_models = { ModelId("default") };
      row.m_slots = 32;
      row.m_kvBlocks = 1000;
      m_hosts[i % m_hosts.size()]->Announce(m_now, row);
    }
  }

  void RunFor(Duration aLength)
  {
    for (Instant end = m_now + aLength; m_now < end;) {
      m_now += milliseconds(50);
      if (m_now >= m_nextAnnounce) {
        m_nextAnnounce = m_now + seconds(1);
        Announce();
      }
      for (const auto& host : m_hosts) {
        double before = ThreadCpuSeconds();
        host->Tick(m_now);
        m_cpuSeconds += ThreadCpuSeconds() - before;
        Deliver(*host);
      }
    }
  }

  void Deliver(Membership& aHost)
  {
    for (MembershipSend& send : aHost.TakeSends()) {
      Membership& receiver = *m_hosts[send.m_to.m_port - 1000U];
      double before = ThreadCpuSeconds();
      if (auto* gossip = std::get_if<GossipMessage>(&send.m_message)) {
        std::string bytes = Encode(*gossip);
        auto sealed = Seal("key", aHost.Self().m_id, bytes);
        m_datagramBytes +=
          static_cast<double>(sealed.size() + kDatagramOverhead);
        auto opened = Unseal("key", sealed);
        receiver.Receive(
          m_now, aHost.Self().m_id, *Decode<GossipMessage>(opened->m_payload));
      } else {
        PeerMessage message = std::get<MembershipTables>(send.m_message);
        std::string bytes = Encode(message);
        m_tableBytes += static_cast<double>(bytes.size());
        receiver.ReceiveTables(
          m_now, aHost.Self().m_id, std::get<MembershipTables>(message));
      }
      m_cpuSeconds += ThreadCpuSeconds() - before;
      Deliver(receiver);
    }
  }

  size_t m_upstreams;
  std::vector<std::unique_ptr<Membership>> m_hosts;
  Instant m_now{ seconds(1) };
  Instant m_nextAnnounce;
  uint64_t m_sequence = 0;
  double m_datagramBytes = 0;
  double m_tableBytes = 0;
  double m_cpuSeconds = 0;
};

} // namespace

static void MeasureMembership()
{
  std::printf("\n## Membership, steady state, %d s\n\n", FLAGS_seconds);
  std::printf(
    "| hosts | upstreams | datagram bytes/s sent by a host | table "
    "bytes/s sent by a host | %% of a core |\n|---|---|---|---|---|\n");
  for (size_t hosts : { 8U, 24U, 48U, 96U, 192U }) {
    MembershipRun(hosts, 0).MeasureAndPrint();
  }
  for (size_t upstreams : { 17U, 100U, 200U, 400U }) {
    MembershipRun(24, upstreams).MeasureAndPrint();
  }
  MembershipRun(96, 400).MeasureAndPrint();
}

static Ticket MakeTicket(size_t aNumber, size_t aAccounts, Instant aNow)
{
  Ticket ticket;
  ticket.m_id = RequestId("r" + std::to_string(aNumber));
  ticket.m_account =
    AccountId("account-" + std::to_string(aNumber % aAccounts));
  ticket.m_rank = aNumber % 4 == 0 ? Rank::Urgent : Rank::Routine;
  ticket.m_model = ModelId("default");
  ticket.m_promptTokens = 200;
  ticket.m_maxTokens = 4096;
  ticket.m_placeBy = aNow + std::chrono::hours(1);
  return ticket;
}

/// Prints the CPU time per request for arrival, placement and completion, given
/// a number of upstreams, of accounts and of other queued requests.
static void MeasureDecision(size_t aUpstreams, size_t aAccounts, size_t aQueued)
{
  Instant now{ seconds(100) };
  UpstreamTable table;
  for (size_t i = 0; i < aUpstreams; ++i) {
    UpstreamRow row;
    row.m_id = UpstreamId("upstream-" + std::to_string(i));
    row.m_incarnation = 1;
    row.m_sequence = 1;
    row.m_models = { ModelId("default") };
    row.m_slots = 32;
    row.m_kvBlocks = 4096;
    table.Merge(now, row);
  }
  DispatchOptions options;
  options.m_maxQueued = 1'000'000;
  Dispatcher dispatcher(options, 1);
  // These requests stay queued, since no upstream serves their model.
  for (size_t i = 0; i < aQueued; ++i) {
    Ticket ticket = MakeTicket(1'000'000 + i, aAccounts, now);
    ticket.m_model = ModelId("absent");
    dispatcher.Enqueue(now, std::move(ticket));
  }
  constexpr size_t kRequests = 2000;
  double before = ThreadCpuSeconds();
  for (size_t i = 0; i < kRequests; ++i) {
    now += milliseconds(1);
    dispatcher.Enqueue(now, MakeTicket(i, aAccounts, now));
    dispatcher.Tick(now, table);
    if (i >= 100) {
      dispatcher.Complete(now,
                          RequestId("r" + std::to_string(i - 100)),
                          DispatchOutcome::Finished);
    }
  }
  double cpuSeconds = ThreadCpuSeconds() - before;
  std::printf("| %zu | %zu | %zu | %.1f |\n",
              aUpstreams,
              aAccounts,
              aQueued,
              cpuSeconds * 1e6 / kRequests);
}

static void MeasureDecisions()
{
  std::printf("\n## One decision: arrival, placement, end\n\n| upstreams | "
              "accounts | queued | us |\n|---|---|---|---|\n");
  for (size_t upstreams : { 10U, 100U, 1000U, 10000U }) {
    MeasureDecision(upstreams, 10, 0);
  }
  for (size_t accounts : { 100U, 670U }) {
    MeasureDecision(100, accounts, 0);
  }
  for (size_t queued : { 1000U, 10000U }) {
    MeasureDecision(100, 100, queued);
  }
}

static LogEntry OrderEntry(uint64_t aIndex)
{
  StartOrder order;
  order.m_key = "account/orders/" + std::to_string(aIndex);
  order.m_bodyHash = std::string(64, 'a');
  order.m_attempt = "attempt-" + std::to_string(aIndex);
  order.m_owner = HostId("host-1");
  LogEntry entry;
  entry.m_index = aIndex;
  entry.m_term = 1;
  entry.m_kind = EntryKind::Command;
  entry.m_data = Encode(Command(order));
  return entry;
}

static void MeasureState()
{
  std::printf("\n## Log and state\n\n| entries | ms to write with a sync each "
              "(p50) | p99 | s to recover | us to apply one | snapshot bytes "
              "|\n|---|---|---|---|---|---|\n");
  for (uint64_t entries : { 200U, 1000U, 2000U }) {
    std::filesystem::remove_all(FLAGS_folder);
    auto store = OpenFileLogStore(FLAGS_folder);
    if (!store.ok()) {
      std::printf("%s\n", std::string(store.status().message()).c_str());
      return;
    }
    std::vector<double> writes;
    for (uint64_t i = 1; i <= entries; ++i) {
      RaftReady ready;
      ready.m_append = { OrderEntry(i) };
      double before = WallSeconds();
      if (!(*store)->Write(ready).ok()) {
        return;
      }
      writes.push_back(WallSeconds() - before);
    }
    store->reset();
    std::sort(writes.begin(), writes.end());
    double before = WallSeconds();
    auto reopened = OpenFileLogStore(FLAGS_folder);
    double recovery = WallSeconds() - before;
    StateMachine machine{ std::chrono::hours(24) };
    double applySeconds = ThreadCpuSeconds();
    for (const LogEntry& entry : (*reopened)->Recover().m_entries) {
      machine.Apply(entry);
    }
    applySeconds = ThreadCpuSeconds() - applySeconds;
    std::printf("| %llu | %.2f | %.2f | %.4f | %.1f | %zu |\n",
                static_cast<unsigned long long>(entries),
                writes[writes.size() / 2] * 1e3,
                writes[writes.size() * 99 / 100] * 1e3,
                recovery,
                applySeconds * 1e6 / static_cast<double>(entries),
                machine.TakeSnapshot().size());
  }
  std::filesystem::remove_all(FLAGS_folder);
}

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("persimmontally-scale");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  MeasureDecisions();
  MeasureState();
  MeasureMembership();
  return 0;
}
