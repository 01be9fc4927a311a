// Tests for splitting streams into complete events.

#include "persimmontally/Forwarding/EventSplitter.h"

#include <doctest/doctest.h>

#include <vector>

using namespace persimmontally;

TEST_CASE("only complete events are returned, with their bytes unchanged")
{
  struct Row
  {
    std::vector<std::string> m_pieces;
    std::string m_passed;
    std::string m_rest;
    std::string m_lastId;
    bool m_hasGap;
  };
  for (const Row& row : std::vector<Row>{
         { { "id: 1\ndata: a\n\n" }, "id: 1\ndata: a\n\n", "", "1", false },
         { { "id: 1\nda", "ta: a\n", "\n" },
           "id: 1\ndata: a\n\n",
           "",
           "1",
           false },
         { { "id: 1\ndata: a\n\nid: 2\nda" },
           "id: 1\ndata: a\n\n",
           "id: 2\nda",
           "1",
           false },
         { { "id:1\r\ndata: a\r\n\r\n" },
           "id:1\r\ndata: a\r\n\r\n",
           "",
           "1",
           false },
         { { "id: 1\n\nid: 1\n\nid: 2\n\n" },
           "id: 1\n\nid: 2\n\n",
           "",
           "2",
           false },
         { { "id: 1\n\nid: 3\n\n" }, "id: 1\n\nid: 3\n\n", "", "3", true },
         { { "data: a\n\n" }, "data: a\n\n", "", "", false },
         { { "id: x\n\nid: x\n\n" }, "id: x\n\nid: x\n\n", "", "x", false },
       }) {
    CAPTURE(row.m_pieces.front());
    EventSplitter splitter;
    std::string passed;
    for (const std::string& piece : row.m_pieces) {
      passed += splitter.Feed(piece);
    }
    CHECK(passed == row.m_passed);
    CHECK(splitter.Remainder() == row.m_rest);
    CHECK(splitter.LastId() == row.m_lastId);
    CHECK(splitter.HasGap() == row.m_hasGap);
  }
}

TEST_CASE("events repeated by a resumed stream are dropped")
{
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\n\nid: 2\n\nid: 3\ndat") == "id: 1\n\nid: 2\n\n");
  splitter.Restart();
  CHECK(splitter.Feed("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
  CHECK(splitter.Events() == 3);
  CHECK(!splitter.HasGap());
}

TEST_CASE("a stream can be continued after events with integer ids")
{
  struct Row
  {
    std::vector<std::string> m_runs;
    std::string m_passed;
    std::string m_lastId;
    bool m_hasGap;
    bool m_hasKnownPlace;
    bool m_isBehind;
  };
  for (const Row& row : std::vector<Row>{
         { {}, "", "2", false, true, false },
         { { "id: 3\n\n" }, "id: 3\n\n", "3", false, true, false },
         { { "id: 1\n\nid: 2\n\n" }, "", "2", false, true, false },
         { { "id: 1\n\n" }, "", "2", false, true, true },
         { { "id: 1\n\n", "" }, "", "2", false, true, false },
         { { "id: 1\n\n", "id: 3\n\n" }, "id: 3\n\n", "3", false, true, false },
         { { "id: 4\n\n" }, "id: 4\n\n", "4", true, true, false },
         { { ": comment\n\n" }, ": comment\n\n", "2", false, true, false },
         { { "data: x\n\n" }, "data: x\n\n", "2", false, false, false },
         { { "id: x\n\n" }, "id: x\n\n", "x", false, false, false } }) {
    CAPTURE(row.m_passed);
    EventSplitter splitter;
    splitter.StartAfter(2);
    std::string passed;
    for (const std::string& run : row.m_runs) {
      splitter.Restart();
      passed += splitter.Feed(run);
    }
    CHECK(passed == row.m_passed);
    CHECK(splitter.LastId() == row.m_lastId);
    CHECK(splitter.HasGap() == row.m_hasGap);
    CHECK(splitter.HasKnownPlace() == row.m_hasKnownPlace);
    CHECK(splitter.IsBehind() == row.m_isBehind);
  }
}

TEST_CASE("an event above the size limit fails the stream")
{
  EventSplitter splitter;
  std::string piece(EventSplitter::kMaxEventBytes / 2, 'x');
  splitter.Feed(piece);
  splitter.Feed(piece);
  CHECK(!splitter.HasFailed());
  splitter.Feed("x");
  CHECK(splitter.HasFailed());
  CHECK(splitter.Feed("\n\n").empty());
}
