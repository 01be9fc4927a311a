#include "persimmontally/Support/Log.h"

#include <doctest/doctest.h>

#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace persimmontally;

namespace {

/// Redirects standard output to a pipe until destruction.
class OutputPipe
{
public:
  OutputPipe()
  {
    REQUIRE(::pipe(m_pipe) == 0);
    ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    m_savedStdout = ::dup(STDOUT_FILENO);
    ::dup2(m_pipe[1], STDOUT_FILENO);
  }
  ~OutputPipe()
  {
    ::dup2(m_savedStdout, STDOUT_FILENO);
    ::close(m_savedStdout);
    ::close(m_pipe[0]);
    ::close(m_pipe[1]);
  }
  OutputPipe(const OutputPipe&) = delete;
  OutputPipe& operator=(const OutputPipe&) = delete;

  std::string Read() const
  {
    std::string text;
    char buffer[65536];
    for (ssize_t got = 0;
         (got = ::read(m_pipe[0], buffer, sizeof buffer)) > 0;) {
      text.append(buffer, static_cast<size_t>(got));
    }
    return text;
  }

private:
  int m_pipe[2] = { -1, -1 };
  int m_savedStdout = -1;
};

} // namespace

TEST_CASE("the rate limit of one event does not drop lines of other events")
{
  OutputPipe output;
  InitLog(LogLevel::Info, LogFormat::Text, "h");
  uint64_t lostBefore = LostLogLines();
  constexpr uint32_t kExcessLines = 50;
  for (uint32_t i = 0; i < kMaxEventLinesPerSecond + kExcessLines; ++i) {
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
  // Each line is written or counted as dropped, also if the loop runs into a
  // second rate window.
  CHECK(written + lost == kMaxEventLinesPerSecond + kExcessLines);
  CHECK(written >= kMaxEventLinesPerSecond);
}

TEST_CASE("lines are dropped without blocking when the reader is slow")
{
  OutputPipe output;
  InitLog(LogLevel::Info, LogFormat::Text, "h");
  uint64_t lostBefore = LostLogLines();
  // Exceeds the capacity of the pipe. Each line has an event of its own, so
  // that the rate limit does not apply.
  std::string filler(3000, 'x');
  for (int i = 0; i < 100; ++i) {
    WriteLog(LogLevel::Info, "event" + std::to_string(i), { { "f", filler } });
  }
  CHECK(LostLogLines() > lostBefore);
  CHECK(output.Read().find("event=event0") != std::string::npos);
}

TEST_CASE("lines below the configured level are not written")
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
