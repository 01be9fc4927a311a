/// Tests the table with upstreams that restart, end or reuse an address.

#include "persimmontally/Membership/UpstreamTable.h"

#include <doctest/doctest.h>

using namespace persimmontally;

static UpstreamRow Row(const char* aId,
                       uint64_t aIncarnation,
                       uint64_t aSequence,
                       uint16_t aPort)
{
  UpstreamRow row;
  row.m_id = UpstreamId(aId);
  row.m_incarnation = aIncarnation;
  row.m_sequence = aSequence;
  row.m_endpoint = { "10.0.0.1", aPort };
  row.m_slots = 4;
  return row;
}

TEST_CASE("an address belongs to the upstream that started there last")
{
  struct Case
  {
    const char* m_name;
    UpstreamRow m_second;
    bool m_firstAcceptsWork;
    bool m_secondAcceptsWork;
  };
  Instant now(seconds(1));
  for (const Case& item : {
         Case{ "other address", Row("b", 5, 1, 81), true, true },
         Case{ "same address, later start", Row("b", 20, 1, 80), false, true },
         Case{ "same address, earlier start", Row("b", 5, 9, 80), true, false },
       }) {
    CAPTURE(item.m_name);
    UpstreamTable table;
    table.Merge(now, Row("a", 10, 1, 80));
    table.Merge(now, item.m_second);
    auto acceptsWork = [&](const char* aId) {
      const UpstreamEntry* entry = table.Find(UpstreamId(aId));
      return entry != nullptr && UpstreamTable::TakesWork(now, *entry);
    };
    CHECK(acceptsWork("a") == item.m_firstAcceptsWork);
    CHECK(acceptsWork("b") == item.m_secondAcceptsWork);
  }
}

TEST_CASE("a gone upstream is used again only with a later incarnation")
{
  Instant now(seconds(1));
  UpstreamTable table(seconds(10));
  CHECK(!table.MarkGone(now, UpstreamId("a")));
  table.Merge(now, Row("a", 10, 1, 80));
  CHECK(table.MarkGone(now, UpstreamId("a")));
  const UpstreamEntry* entry = table.Find(UpstreamId("a"));
  CHECK(!UpstreamTable::TakesWork(now, *entry));
  table.Merge(now, Row("a", 10, 7, 80));
  CHECK(!UpstreamTable::TakesWork(now, *entry));
  table.Merge(now, Row("a", 11, 1, 80));
  CHECK(UpstreamTable::TakesWork(now, *table.Find(UpstreamId("a"))));
}

TEST_CASE("a lease ends after the duration that the table was given")
{
  Instant now(seconds(1));
  UpstreamTable table(seconds(10));
  table.Merge(now, Row("a", 10, 1, 80));
  const UpstreamEntry& entry = *table.Find(UpstreamId("a"));
  CHECK(UpstreamTable::TakesWork(now + seconds(9), entry));
  CHECK(!UpstreamTable::TakesWork(now + seconds(10), entry));
}
