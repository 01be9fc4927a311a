/// Tests of real processes with callers that do not stay inside the limits.
/// They check only what does not depend on the machine's speed.

#include "Process/CallerCrowd.h"
#include "Process/ProcessSite.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sys/resource.h>

using namespace persimmontally;

namespace {

// The crowd and the bounds.
constexpr int kMemoryMb = 48;
constexpr int kMaxBodyBytes = 1000000;
constexpr int kEndlessCallers = 8;
constexpr int kBodyCallers = 64;
/// What an endless caller sends if it is not closed.
constexpr size_t kEndlessBytes = size_t(16) << 20;
/// What the host and the buffers of its connection may take of it. A receive
/// buffer of the kernel takes up to 6 MB on its own.
constexpr size_t kMaxTakenBytes = size_t(8) << 20;
/// Longest wait for something that is due much earlier. A host that takes
/// longer hangs.
constexpr Duration kHangTime = seconds(100);
constexpr int kDescriptors = 200;
constexpr int kIdleCallers = 400;
/// Descriptors that remain for upstreams and peers.
constexpr int kSpareDescriptors = 20;

enum class Kind
{
  Head,
  EmptyLines,
  Trailers,
  WaitingBodies,
  BodiesByLength,
  BodiesInChunks,
  SlowReaders,
};

std::string Head(const char* aFields)
{
  return std::string(
           "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
           "Request-Id: hostile\r\nX-Api-Key: xd9dnn2ctnfzs989anu6\r\n"
           "Deadline-Ms: 9000\r\n") +
         aFields;
}

CallerScript Script(Kind aKind)
{
  const std::string letters(size_t(64) << 10, 'x');
  const std::string length =
    "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n";
  const std::string chunked = Head("Transfer-Encoding: chunked\r\n\r\n");
  std::string head = Head(length.c_str());
  switch (aKind) {
    case Kind::Head:
      return { Head("X-Long: "), letters, kEndlessBytes };
    case Kind::EmptyLines: {
      std::string lines;
      while (lines.size() < letters.size()) {
        lines += "\r\n";
      }
      return { "", lines, kEndlessBytes };
    }
    case Kind::Trailers:
      return { chunked + "0\r\n", "X-T: " + letters + "\r\n", kEndlessBytes };
    case Kind::WaitingBodies:
      return { head, letters, head.size() + kMaxBodyBytes };
    case Kind::BodiesByLength:
      return { head, letters, head.size() + kMaxBodyBytes - 1 };
    case Kind::BodiesInChunks: {
      // 15 chunks of 64 KiB, of which the last one is not complete.
      std::string chunk = "10000\r\n" + letters + "\r\n";
      return { chunked, chunk, chunked.size() + 15 * chunk.size() - 1 };
    }
    case Kind::SlowReaders:
      head = Head("Content-Length: 1\r\n\r\n");
      return { head, "x", head.size() + 1, false };
  }
  return {};
}

void AddCallers(std::vector<CallerScript>& aScripts, Kind aKind, int aCount)
{
  aScripts.insert(aScripts.end(), aCount, Script(aKind));
}

ProcessSiteOptions MakeOptions()
{
  ProcessSiteOptions options;
  options.m_memoryMb = kMemoryMb;
  options.m_maxBodyBytes = kMaxBodyBytes;
  return options;
}

/// Checks that one ordinary request is answered.
void CheckOrdinaryRequest(ProcessSite& aSite, bool aIsCompletions)
{
  if (aIsCompletions) {
    std::shared_ptr<ProcessRequest> answer;
    aSite.RunUntil(
      [&] {
        if (!answer || (answer->m_isDone && answer->m_status != 200)) {
          answer = aSite.AskCompletions();
        }
        return answer->m_isDone && answer->m_status == 200;
      },
      kHangTime);
    return;
  }
  aSite.StartCallers(1, "/unsafe/x", 0);
  aSite.RunUntil(
    [&] {
      const auto& requests = aSite.Requests();
      return std::any_of(
        requests.begin(), requests.end(), [](const auto& aRequest) {
          return aRequest->m_isComplete && aRequest->m_status == 200;
        });
    },
    kHangTime);
  aSite.StopCallers();
}

void CheckHost(const DaemonProcess& aHost)
{
  REQUIRE(!aHost.m_hasEnded);
  double peakMb = ProcessSite::PeakMemoryMb(aHost);
  MESSAGE("peak memory ", peakMb, " MB");
  CHECK(peakMb < kMemoryMb);
}

} // namespace

// Guards against hosts that read what is no request without end.
TEST_CASE("hostile callers that send without end are closed")
{
  for (bool isCompletions : { false, true }) {
    CAPTURE(isCompletions);
    ProcessSite site(MakeOptions());
    if (isCompletions) {
      site.StartCompletions();
    } else {
      site.Start();
    }
    DaemonProcess& host = isCompletions ? site.Completions() : site.Entry(0);
    for (Kind kind : { Kind::Head, Kind::EmptyLines, Kind::Trailers }) {
      CAPTURE(static_cast<int>(kind));
      std::vector<CallerScript> scripts;
      AddCallers(scripts, kind, kEndlessCallers);
      CallerCrowd crowd(site.CallersOf(host), scripts);
      site.RunUntil([&] { return crowd.IsSettled(); }, kHangTime);
      MESSAGE("closed ",
              crowd.Closed(),
              ", most bytes of a caller ",
              crowd.MostBytes());
      CHECK(crowd.Closed() == kEndlessCallers);
      CHECK(crowd.MostBytes() < kMaxTakenBytes);
      CheckHost(host);
    }
    CheckOrdinaryRequest(site, isCompletions);
  }
}

// Guards against the sum of bodies, each of legal size, that takes a host over
// its memory.
TEST_CASE(
  "hostile callers with large bodies do not take a host over its memory")
{
  struct Row
  {
    const char* m_name;
    Kind m_kind;
    bool m_isCompletions;
  };
  for (const Row& row : {
         Row{ "whole bodies that wait", Kind::WaitingBodies, false },
         Row{ "one byte short", Kind::BodiesByLength, false },
         Row{ "one byte short, in chunks", Kind::BodiesInChunks, false },
         Row{ "one byte short", Kind::BodiesByLength, true },
         Row{ "one byte short, in chunks", Kind::BodiesInChunks, true },
       }) {
    CAPTURE(std::string(row.m_name));
    CAPTURE(row.m_isCompletions);
    ProcessSiteOptions options = MakeOptions();
    options.m_slots = 6;
    options.m_longestAnswer = seconds(2);
    ProcessSite site(options);
    if (row.m_isCompletions) {
      site.StartCompletions();
    } else {
      site.Start();
    }
    DaemonProcess& host =
      row.m_isCompletions ? site.Completions() : site.Entry(0);
    std::vector<CallerScript> scripts;
    AddCallers(scripts, row.m_kind, kBodyCallers);
    CallerCrowd crowd(site.CallersOf(host), scripts);
    site.RunUntil([&] { return crowd.IsSettled(); }, kHangTime);
    CheckHost(host);
    CheckOrdinaryRequest(site, row.m_isCompletions);
    MESSAGE(std::string(row.m_name), ": closed ", crowd.Closed());
    CheckHost(host);
  }
}

// Guards against responses for callers that do not read, which take a host over
// its memory.
TEST_CASE("hostile callers that do not read do not take a host over its memory")
{
  ProcessSiteOptions options = MakeOptions();
  options.m_plainBytes = kMaxBodyBytes;
  ProcessSite site(options);
  site.Start();
  std::vector<CallerScript> scripts;
  AddCallers(scripts, Kind::SlowReaders, kBodyCallers);
  CallerCrowd crowd(site.CallersOf(site.Entry(0)), scripts);
  site.RunUntil([&] { return crowd.IsSettled(); }, kHangTime);
  // Lets the responses arrive.
  site.RunFor(seconds(5));
  CheckOrdinaryRequest(site, false);
  MESSAGE("closed ", crowd.Closed());
  CheckHost(site.Entry(0));
}

TEST_CASE("hostile callers of all kinds at once")
{
  ProcessSiteOptions options = MakeOptions();
  options.m_slots = 4;
  ProcessSite site(options);
  site.Start();
  std::vector<CallerScript> scripts;
  for (Kind kind : { Kind::Head, Kind::EmptyLines, Kind::Trailers }) {
    AddCallers(scripts, kind, kEndlessCallers);
  }
  for (Kind kind :
       { Kind::WaitingBodies, Kind::BodiesByLength, Kind::BodiesInChunks }) {
    AddCallers(scripts, kind, kBodyCallers / 2);
  }
  CallerCrowd crowd(site.CallersOf(site.Entry(0)), scripts);
  site.RunUntil([&] { return crowd.IsSettled(); }, kHangTime);
  MESSAGE("closed ", crowd.Closed());
  CHECK(crowd.MostBytes() < kMaxTakenBytes);
  CHECK(crowd.Closed() >= 3 * kEndlessCallers);
  CheckOrdinaryRequest(site, false);
  CheckHost(site.Entry(0));
}

// Guards against a host that spends its last descriptor on callers.
TEST_CASE("hostile callers that hold connections leave descriptors to others")
{
  rlimit before{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
  for (bool isCompletions : { false, true }) {
    CAPTURE(isCompletions);
    ProcessSiteOptions options = MakeOptions();
    options.m_descriptors = kDescriptors;
    ProcessSite site(options);
    rlimit lowered{ kDescriptors, before.rlim_max };
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    if (isCompletions) {
      site.StartCompletions();
    } else {
      site.Start();
    }
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
    DaemonProcess& host = isCompletions ? site.Completions() : site.Entry(0);
    std::vector<CallerScript> scripts(kIdleCallers, { "G", "", 1 });
    CallerCrowd crowd(site.CallersOf(host), scripts);
    site.RunUntil([&] { return crowd.IsSettled(); }, kHangTime);
    site.RunFor(seconds(1));
    REQUIRE(!host.m_hasEnded);
    int open = ProcessSite::OpenDescriptors(host);
    MESSAGE("open descriptors ", open);
    CHECK(open <= kDescriptors - kSpareDescriptors);
    CheckOrdinaryRequest(site, isCompletions);
    CheckHost(host);
  }
}
