#include "persimmontally/Wire/Codec.h"
#include "persimmontally/Support/Crypto.h"

#include <doctest/doctest.h>

#include <random>

using namespace persimmontally;

static GossipMessage SampleGossip()
{
  GossipMessage message;
  message.m_kind = GossipKind::Relay;
  message.m_sequence = 7;
  HostRow host;
  host.m_id = HostId("xela-1");
  host.m_peer = { "127.0.0.1", 7946 };
  message.m_hosts = { host };
  UpstreamRow upstream;
  upstream.m_id = UpstreamId("engine");
  upstream.m_models = { ModelId("a"), ModelId("b") };
  message.m_upstreams = { upstream };
  PoisonRow poison;
  poison.m_fingerprint = 42;
  poison.m_deaths = { "engine/1" };
  message.m_poison = { poison };
  message.m_shares = { { ShareKind::Grant, AccountId("small"), 5, 1000 } };
  return message;
}

static std::vector<PeerMessage> SampleMessages()
{
  RaftMessage raft;
  raft.m_group = "group";
  raft.m_body =
    AppendRequest{ 1, 2, 3, { LogEntry{ 4, 5, EntryKind::Empty, 0, "" } } };
  RaftMessage install;
  install.m_body = InstallSnapshot{ Snapshot{ 3, 1, {}, "data" } };
  StartOrder order;
  order.m_key = "small/orders/1";
  MembershipTables tables;
  tables.m_hosts = SampleGossip().m_hosts;
  DispatchBatch batch;
  batch.m_ends = { { "r#1", 1, 7 } };
  batch.m_unknownKeys = { "r#2" };
  batch.m_tickets = { TicketRow() };
  LedgerUpdate ledger;
  ledger.m_epoch = 5;
  ledger.m_sequence = 6;
  ledger.m_rows.resize(2);
  ledger.m_rows[1].m_key = "k";
  ledger.m_rows[1].m_isCopy = true;
  ledger.m_rows[0].m_waitedMs = 7;
  ledger.m_isSnapshot = true;
  ledger.m_removed = { "gone" };
  ledger.m_dataCentre = DataCentreId("dc");
  ledger.m_region = RegionId("r");
  RateLimitUpdate limits;
  limits.m_rows = { { UpstreamId("u"), 1, 2, true, 3400 } };
  limits.m_requests = { { 7, UpstreamId("u"), Rank::Urgent, 3, 250 } };
  limits.m_grants = { { 7, UpstreamId("u"), 1, 2 } };
  limits.m_denials = { { 7, UpstreamId("u"), Rank::Routine, 1, 1500 } };
  ColdUpdate cold;
  cold.m_words = { { UpstreamId("u"), 1, 2, 1500 } };
  cold.m_asks = { UpstreamId("v") };
  cold.m_polls = { 7 };
  cold.m_votes = { { 8, true } };
  cold.m_charges = { { UpstreamId("u"), 1, 2 } };
  cold.m_requests = limits.m_requests;
  cold.m_grants = limits.m_grants;
  cold.m_denials = limits.m_denials;
  return { tables,
           raft,
           install,
           ProposeRequest{ "p", HostId("h"), { "10.0.0.1", 7000 }, order },
           ProposeReply{ "p", true, HostId("h"), {} },
           ListsPull{ HostId("h"), { "10.0.0.1", 7000 }, 3 },
           ProposeRequest{
             "p", HostId("h"), { "10.0.0.1", 7000 }, PutCatalog{ 7, "{}" } },
           ProposeRequest{
             "p", HostId("h"), { "10.0.0.1", 7000 }, ReadCatalog() },
           ListsState{ "g", 4, { 1, "{}" }, { 2, "{}" }, { 3, "{}" }, {} },
           batch,
           ledger,
           limits,
           cold };
}

TEST_CASE("decoding an encoded message yields an equal message")
{
  auto gossip = Decode<GossipMessage>(Encode(SampleGossip()));
  REQUIRE(gossip.ok());
  CHECK(*gossip == SampleGossip());
  for (const PeerMessage& message : SampleMessages()) {
    auto decoded = Decode<PeerMessage>(Encode(message));
    REQUIRE(decoded.ok());
    CHECK(*decoded == message);
  }
}

TEST_CASE("truncated messages are rejected and corrupted ones decode safely")
{
  std::mt19937_64 random(1);
  for (const PeerMessage& message : SampleMessages()) {
    std::string bytes = Encode(message);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(Decode<PeerMessage>(bytes.substr(0, size)).ok());
    }
    CHECK_FALSE(Decode<PeerMessage>(bytes + "x").ok());
    for (int i = 0; i < 2000; ++i) {
      std::string altered = bytes;
      size_t offset = random() % altered.size();
      altered[offset] = static_cast<char>(random());
      // A corrupted message may still decode. The result must then be valid
      // enough to encode again; sanitizer builds detect memory errors.
      auto decoded = Decode<PeerMessage>(altered);
      if (decoded.ok()) {
        Encode(*decoded);
      }
    }
  }
}

TEST_CASE("a length that exceeds the message is rejected")
{
  GossipMessage message;
  std::string bytes = Encode(message);
  // Overwrites the number of hosts, the first length after kind, sequence and
  // target, with a value that could not be allocated.
  size_t offset = 1 + 8 + 8;
  for (size_t i = 0; i < 7; ++i) {
    bytes[offset + i] = '\xff';
  }
  CHECK_FALSE(Decode<GossipMessage>(bytes).ok());
}

TEST_CASE("unsealing rejects a wrong key, altered bytes and truncation")
{
  std::string sealed = Seal("key", HostId("xela-1"), "payload");
  auto opened = Unseal("key", sealed);
  REQUIRE(opened.ok());
  CHECK(opened->m_from == HostId("xela-1"));
  CHECK(opened->m_payload == "payload");
  CHECK_FALSE(Unseal("other key", sealed).ok());
  for (size_t i = 0; i < sealed.size(); ++i) {
    std::string altered = sealed;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    CHECK_FALSE(Unseal("key", altered).ok());
    CHECK_FALSE(Unseal("key", sealed.substr(0, i)).ok());
  }
}

TEST_CASE("long messages are compressed and restored")
{
  std::string payload;
  for (int i = 0; i < 500; ++i) {
    payload += "front-xela-" + std::to_string(i) + " is alive; ";
  }
  std::string sealed = Seal("key", HostId("xela-1"), payload);
  CHECK(sealed.size() * 5 < payload.size());
  auto opened = Unseal("key", sealed);
  REQUIRE(opened.ok());
  CHECK(opened->m_payload == payload);
}

TEST_CASE("an authentic message of another version or with an invalid payload "
          "is rejected")
{
  struct Row
  {
    const char* m_name;
    std::string m_body;
  };
  std::string zstdMagic = "\x28\xb5\x2f\xfd";
  // Frame header with a content size of 8 bytes.
  std::string huge = zstdMagic + "\xe0" + std::string(8, '\x7f');
  for (const Row& row : std::vector<Row>{
         { "the first version", std::string("PMT1\1h") + "payload" },
         { "unknown format", std::string("PMT2\1h\7") + "payload" },
         { "no format", "PMT2\1h" },
         { "not compressed", std::string("PMT2\1h\1") + "payload" },
         { "larger than any message", std::string("PMT2\1h\1") + huge },
       }) {
    CAPTURE(row.m_name);
    std::string sealed =
      HmacSha256("key", row.m_body).substr(0, 16) + row.m_body;
    CHECK(Unseal("key", sealed).status().code() ==
          absl::StatusCode::kInvalidArgument);
  }
}
