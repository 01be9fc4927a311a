/// Rows of upstreams that restart, leave and pass their addresses on.

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
    bool m_firstIsUsed;
    bool m_secondIsUsed;
  };
  Instant now(seconds(1));
  for (const Case& item : {
         Case{ "another address", Row("b", 5, 1, 81), true, true },
         Case{ "a later start", Row("b", 20, 1, 80), false, true },
         Case{ "a late announcement", Row("b", 5, 9, 80), true, false },
       }) {
    CAPTURE(item.m_name);
    UpstreamTable table;
    table.Merge(now, Row("a", 10, 1, 80));
    table.Merge(now, item.m_second);
    auto isUsed = [&](const char* aId) {
      const UpstreamEntry* entry = table.Find(UpstreamId(aId));
      return entry != nullptr && UpstreamTable::TakesWork(now, *entry);
    };
    CHECK(isUsed("a") == item.m_firstIsUsed);
    CHECK(isUsed("b") == item.m_secondIsUsed);
  }
}

TEST_CASE("an upstream that has ended comes back only with a later start")
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

TEST_CASE("the lease is the table's")
{
  Instant now(seconds(1));
  UpstreamTable table(seconds(10));
  table.Merge(now, Row("a", 10, 1, 80));
  const UpstreamEntry& entry = *table.Find(UpstreamId("a"));
  CHECK(UpstreamTable::TakesWork(now + seconds(9), entry));
  CHECK(!UpstreamTable::TakesWork(now + seconds(10), entry));
}
