/// Bounds of the log.

#include "persimmontally/Support/Log.h"

#include <doctest/doctest.h>

#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace persimmontally;

namespace {

/// Standard output as a pipe, for as long as it lives.
class OutputPipe
{
public:
  OutputPipe()
  {
    REQUIRE(::pipe(m_ends) == 0);
    ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    m_before = ::dup(STDOUT_FILENO);
    ::dup2(m_ends[1], STDOUT_FILENO);
  }
  ~OutputPipe()
  {
    ::dup2(m_before, STDOUT_FILENO);
    ::close(m_before);
    ::close(m_ends[0]);
    ::close(m_ends[1]);
  }
  OutputPipe(const OutputPipe&) = delete;
  OutputPipe& operator=(const OutputPipe&) = delete;

  std::string Read() const
  {
    std::string text;
    char buffer[65536];
    for (ssize_t got = 0;
         (got = ::read(m_ends[0], buffer, sizeof buffer)) > 0;) {
      text.append(buffer, static_cast<size_t>(got));
    }
    return text;
  }

private:
  int m_ends[2] = { -1, -1 };
  int m_before = -1;
};

} // namespace

TEST_CASE("an event writes a bounded number of lines, others go on")
{
  OutputPipe output;
  InitLog(LogLevel::Info, LogFormat::Text, "h");
  uint64_t lostBefore = LostLogLines();
  constexpr uint32_t kExtra = 50;
  for (uint32_t i = 0; i < kMaxLinesPerSecond + kExtra; ++i) {
    WriteLog(LogLevel::Info, "flood", { { "i", i } });
  }
  WriteLog(LogLevel::Info, "other", {});
  std::string text = output.Read();
  CHECK(text.find("event=other") != std::string::npos);
  uint64_t lost = LostLogLines() - lostBefore;
  uint64_t written = 0;
  for (size_t at = 0; (at = text.find("event=flood", at)) != std::string::npos;
       ++at) {
    ++written;
  }
  // Whether or not a second ends in between, each line is written or counted.
  CHECK(written + lost == kMaxLinesPerSecond + kExtra);
  CHECK(written >= kMaxLinesPerSecond);
}

TEST_CASE("a reader that does not keep up holds nothing up")
{
  OutputPipe output;
  InitLog(LogLevel::Info, LogFormat::Text, "h");
  uint64_t lostBefore = LostLogLines();
  // More than a pipe holds, over several events so that no rate applies.
  std::string filler(3000, 'x');
  for (int i = 0; i < 100; ++i) {
    WriteLog(LogLevel::Info, "event" + std::to_string(i), { { "f", filler } });
  }
  CHECK(LostLogLines() > lostBefore);
  CHECK(output.Read().find("event=event0") != std::string::npos);
}

TEST_CASE("lines below the level are left out")
{
  OutputPipe output;
  InitLog(LogLevel::Info, LogFormat::Json, "h");
  SetLogLevel(LogLevel::Warning);
  WriteLog(LogLevel::Info, "quiet", {});
  WriteLog(LogLevel::Warning, "loud", { { "k", "v" } });
  std::string text = output.Read();
  CHECK(text.find("quiet") == std::string::npos);
  CHECK(text.find("\"event\":\"loud\"") != std::string::npos);
  CHECK(text.find("\"k\":\"v\"") != std::string::npos);
}
