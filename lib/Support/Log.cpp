#include "persimmontally/Support/Log.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <optional>
#include <poll.h>
#include <unistd.h>

namespace persimmontally {

namespace {

struct LogSettings
{
  LogLevel m_level = LogLevel::Warning;
  LogFormat m_format = LogFormat::Text;
  std::string m_host = "-";
};

LogSettings gLogSettings;
uint64_t gLostLines = 0;

/// Log sink that writes a line to standard output if this does not block, and
/// drops the line otherwise.
class OutputBackend
  : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
  // Boost.Log requires this name of a sink.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static void consume(const boost::log::record_view&, std::string aLine)
  {
    // A pipe that polls as writable takes this many bytes without blocking.
    constexpr size_t kMaxLineBytes = 4096;
    aLine.resize(std::min(aLine.size(), kMaxLineBytes - 1));
    aLine.push_back('\n');
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    bool isWritten = ::poll(&output, 1, 0) == 1 &&
                     ::write(STDOUT_FILENO, aLine.data(), aLine.size()) ==
                       static_cast<ssize_t>(aLine.size());
    gLostLines += isWritten ? 0 : 1;
  }
};

/// Limits each event to `kMaxEventLinesPerSecond` lines per second.
class EventRateLimiter
{
public:
  /// Returns the number of lines of the event that were dropped since the last
  /// written one, or `std::nullopt` if this line must be dropped too.
  std::optional<uint64_t> Admit(std::string_view aEvent)
  {
    auto now = std::chrono::steady_clock::now();
    Window& window = m_windows.try_emplace(std::string(aEvent)).first->second;
    if (now >= window.m_end) {
      window.m_end = now + std::chrono::seconds(1);
      window.m_lines = 0;
    }
    if (window.m_lines >= kMaxEventLinesPerSecond) {
      ++window.m_droppedLines;
      ++gLostLines;
      return std::nullopt;
    }
    ++window.m_lines;
    return std::exchange(window.m_droppedLines, 0);
  }

private:
  struct Window
  {
    std::chrono::steady_clock::time_point m_end;
    uint32_t m_lines = 0;
    uint64_t m_droppedLines = 0;
  };

  std::map<std::string, Window> m_windows;
};

EventRateLimiter gEventRateLimiter;

} // namespace

static std::string_view LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

static std::string FormatWallTime()
{
  auto now = std::chrono::system_clock::now();
  auto sinceEpochMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now.time_since_epoch())
                        .count();
  std::time_t secondsSinceEpoch = sinceEpochMs / 1000;
  std::tm utc{};
  gmtime_r(&secondsSinceEpoch, &utc);
  char date[32];
  std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &utc);
  char text[48];
  std::snprintf(
    text, sizeof text, "%s.%03dZ", date, static_cast<int>(sinceEpochMs % 1000));
  return text;
}

static bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

static std::string FormatText(LogLevel aLevel,
                              std::string_view aEvent,
                              const std::vector<LogField>& aFields)
{
  std::string line = FormatWallTime();
  line.append(" ").append(LevelName(aLevel));
  line.append(" host=").append(gLogSettings.m_host);
  line.append(" event=").append(aEvent);
  for (const LogField& field : aFields) {
    line.append(" ").append(field.Key()).append("=");
    if (NeedsQuotes(field.Value())) {
      line.append(boost::json::serialize(boost::json::string(field.Value())));
    } else {
      line.append(field.Value());
    }
  }
  return line;
}

static std::string FormatJson(LogLevel aLevel,
                              std::string_view aEvent,
                              const std::vector<LogField>& aFields)
{
  boost::json::object line;
  line["time"] = FormatWallTime();
  line["level"] = LevelName(aLevel);
  line["host"] = gLogSettings.m_host;
  line["event"] = aEvent;
  for (const LogField& field : aFields) {
    if (field.IsNumber()) {
      line[field.Key()] = std::stod(field.Value());
    } else {
      line[field.Key()] = field.Value();
    }
  }
  return boost::json::serialize(line);
}

void InitLog(LogLevel aLevel, LogFormat aFormat, std::string_view aHost)
{
  gLogSettings = LogSettings{ aLevel, aFormat, std::string(aHost) };
  using Sink = boost::log::sinks::synchronous_sink<OutputBackend>;
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(boost::make_shared<Sink>());
}

void SetLogLevel(LogLevel aLevel)
{
  gLogSettings.m_level = aLevel;
}

uint64_t LostLogLines()
{
  return gLostLines;
}

bool IsLogged(LogLevel aLevel)
{
  return aLevel >= gLogSettings.m_level;
}

void WriteLog(LogLevel aLevel,
              std::string_view aEvent,
              const std::vector<LogField>& aFields)
{
  if (!IsLogged(aLevel)) {
    return;
  }
  auto droppedLines = gEventRateLimiter.Admit(aEvent);
  if (!droppedLines) {
    return;
  }
  std::vector<LogField> fields = aFields;
  if (*droppedLines > 0) {
    fields.emplace_back("left_out", *droppedLines);
  }
  static boost::log::sources::logger logger;
  BOOST_LOG(logger) << (gLogSettings.m_format == LogFormat::Json
                          ? FormatJson(aLevel, aEvent, fields)
                          : FormatText(aLevel, aEvent, fields));
}

} // namespace persimmontally
