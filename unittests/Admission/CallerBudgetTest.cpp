/// Tests of the memory and connections that callers may use.

#include "persimmontally/Admission/CallerBudget.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>

using namespace persimmontally;

namespace {

constexpr size_t kMegabyte = size_t(1) << 20;

Instant At(double aSeconds)
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds)));
}

/// Budget of 12 MB, 9 MB of it for large requests, and 8 connections.
struct Play
{
  CallerBudget m_budget{ { 12 * kMegabyte, 8 } };
  CallerBudget::Evictions m_evictions;

  void Add(CallerBudget::Evictions aEvictions)
  {
    m_evictions.insert(m_evictions.end(), aEvictions.begin(), aEvictions.end());
  }
  void Open(double aAt, uint64_t aId, const char* aAddress = "a")
  {
    Add(m_budget.Open(At(aAt), aId, aAddress));
  }
  void Read(double aAt, uint64_t aId, size_t aBytes)
  {
    Open(aAt, aId);
    m_budget.SetState(At(aAt), aId, CallerState::Reading);
    Add(m_budget.SetInput(At(aAt), aId, aBytes));
  }
  void Serve(double aAt, uint64_t aId, size_t aBytes)
  {
    Read(aAt, aId, aBytes);
    m_budget.SetState(At(aAt), aId, CallerState::Serving);
  }
  void Respond(double aAt, uint64_t aId, size_t aBytes)
  {
    Serve(aAt, aId, 100);
    Add(m_budget.SetOutput(At(aAt), aId, aBytes));
  }
};

} // namespace

TEST_CASE("the caller budget ends the connection that costs others most")
{
  using Reason = EvictionReason;
  struct Row
  {
    const char* m_name;
    std::function<void(Play&)> m_play;
    CallerBudget::Evictions m_expected;
  };
  for (const Row& row : std::vector<Row>{
         { "a single request larger than the budget",
           [](Play& aPlay) {
             aPlay.Read(0, 1, 1000);
             aPlay.Read(0, 2, 20 * kMegabyte);
           },
           {} },
         { "the request without progress",
           [](Play& aPlay) {
             aPlay.Read(0, 1, 4 * kMegabyte);
             aPlay.Read(3, 2, 5 * kMegabyte);
             aPlay.Read(3, 3, kMegabyte);
           },
           { { 1, Reason::Stalled } } },
         { "a few bytes are no progress",
           [](Play& aPlay) {
             aPlay.Read(0, 1, 4 * kMegabyte);
             aPlay.Add(
               aPlay.m_budget.SetInput(At(2.9), 1, 4 * kMegabyte + 100));
             aPlay.Read(3, 2, 5 * kMegabyte);
             aPlay.Read(3, 3, kMegabyte);
           },
           { { 1, Reason::Stalled } } },
         { "the largest of those that make progress",
           [](Play& aPlay) {
             aPlay.Read(0, 1, 4 * kMegabyte);
             aPlay.Add(aPlay.m_budget.SetInput(At(3), 1, 4300000));
             aPlay.Read(3, 2, 5 * kMegabyte);
           },
           { { 2, Reason::LargestRequest } } },
         { "not a request that is served",
           [](Play& aPlay) {
             aPlay.Serve(0, 1, 8 * kMegabyte);
             aPlay.Read(9, 2, 2 * kMegabyte);
           },
           { { 2, Reason::LargestRequest } } },
         { "short requests beside large ones that are served",
           [](Play& aPlay) {
             aPlay.Serve(0, 1, 8 * kMegabyte);
             aPlay.Serve(0, 2, 900000);
             aPlay.Read(9, 3, 60000);
             aPlay.Read(9, 4, 60000);
           },
           {} },
         { "a response that is not read",
           [](Play& aPlay) {
             aPlay.Respond(0, 1, 5 * kMegabyte);
             aPlay.Read(2, 2, 4 * kMegabyte);
             aPlay.Read(2, 3, kMegabyte);
           },
           { { 1, Reason::SlowReader } } },
         { "not a response that is read",
           [](Play& aPlay) {
             aPlay.Respond(0, 1, 5 * kMegabyte);
             aPlay.Add(aPlay.m_budget.SetOutput(At(1.5), 1, 5000000));
             aPlay.Read(2, 2, 4 * kMegabyte);
             aPlay.Read(2, 3, kMegabyte);
           },
           { { 2, Reason::LargestRequest } } },
         { "responses alone",
           [](Play& aPlay) {
             aPlay.Respond(0, 1, 4 * kMegabyte);
             aPlay.Respond(0, 2, 6 * kMegabyte);
           },
           { { 2, Reason::SlowReader } } },
         { "the connection that is idle longest, of the address with most",
           [](Play& aPlay) {
             aPlay.Open(0, 1, "b");
             for (int i = 2; i <= 8; ++i) {
               aPlay.Open(i, i);
             }
             aPlay.m_budget.SetState(At(9), 2, CallerState::Reading);
             aPlay.Open(10, 9, "c");
           },
           { { 3, Reason::IdleLongest } } },
         { "a request being read where none is idle, then one that waits",
           [](Play& aPlay) {
             for (int i = 1; i <= 8; ++i) {
               aPlay.Serve(i, i, 100);
             }
             aPlay.m_budget.SetState(At(9), 4, CallerState::Reading);
             aPlay.Open(10, 9);
             aPlay.Open(11, 10);
           },
           { { 4, Reason::IdleLongest }, { 9, Reason::IdleLongest } } },
         { "the new one where all are served",
           [](Play& aPlay) {
             for (int i = 1; i <= 8; ++i) {
               aPlay.Serve(i, i, 100);
             }
             aPlay.Open(10, 9);
           },
           { { 9, Reason::NoConnection } } },
       }) {
    CAPTURE(std::string(row.m_name));
    Play play;
    row.m_play(play);
    CHECK(play.m_evictions == row.m_expected);
  }
}

// Guards against a crowd like that of the trial: bodies one byte short.
TEST_CASE("short requests find room beside a crowd with large bodies")
{
  CallerBudget budget({ 12 * kMegabyte, 1000 });
  std::set<uint64_t> ended;
  auto add = [&](const CallerBudget::Evictions& aEvictions) {
    for (const CallerEviction& eviction : aEvictions) {
      ended.insert(eviction.m_id);
    }
  };
  constexpr uint64_t kCallers = 300;
  for (uint64_t id = 1; id <= kCallers; ++id) {
    add(budget.Open(At(0), id, "a"));
    budget.SetState(At(0), id, CallerState::Reading);
  }
  for (int step = 1; step <= 64; ++step) {
    for (uint64_t id = 1; id <= kCallers; ++id) {
      add(budget.SetInput(At(step * 0.1), id, step * (size_t(64) << 10)));
      CHECK(budget.Bytes() <= 12 * kMegabyte);
    }
    uint64_t shortId = kCallers + step;
    add(budget.Open(At(step * 0.1), shortId, "a"));
    budget.SetState(At(step * 0.1), shortId, CallerState::Reading);
    add(budget.SetInput(At(step * 0.1), shortId, 2000));
    CHECK(ended.count(shortId) == 0);
    budget.Close(shortId);
  }
  CHECK(budget.Connections() == kCallers);
  CHECK(ended.size() >= kCallers - 9);
}
