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

/// Writes lines to standard output where it takes them at once.
class OutputBackend
  : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
  // The name that the library asks of a sink.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static void consume(const boost::log::record_view&, std::string aLine)
  {
    // A pipe that can be written to takes this much without blocking.
    constexpr size_t kMaxLineBytes = 4096;
    aLine.resize(std::min(aLine.size(), kMaxLineBytes - 1));
    aLine.push_back('\n');
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    bool isTaken = ::poll(&output, 1, 0) == 1 &&
                   ::write(STDOUT_FILENO, aLine.data(), aLine.size()) ==
                     static_cast<ssize_t>(aLine.size());
    gLostLines += isTaken ? 0 : 1;
  }
};

/// Bounds the lines of each event in each second.
class LineLimiter
{
public:
  /// Lines left out before this one, or nothing if it is left out as well.
  std::optional<uint64_t> Admit(std::string_view aEvent)
  {
    auto now = std::chrono::steady_clock::now();
    Row& row = m_rows.try_emplace(std::string(aEvent)).first->second;
    if (now >= row.m_windowEnd) {
      row.m_windowEnd = now + std::chrono::seconds(1);
      row.m_lines = 0;
    }
    if (row.m_lines >= kMaxLinesPerSecond) {
      ++row.m_leftOut;
      ++gLostLines;
      return std::nullopt;
    }
    ++row.m_lines;
    return std::exchange(row.m_leftOut, 0);
  }

private:
  struct Row
  {
    std::chrono::steady_clock::time_point m_windowEnd;
    uint32_t m_lines = 0;
    uint64_t m_leftOut = 0;
  };

  std::map<std::string, Row> m_rows;
};

LineLimiter gLimiter;

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

static std::string WallTimeText()
{
  auto now = std::chrono::system_clock::now();
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
              now.time_since_epoch())
              .count();
  std::time_t whole = ms / 1000;
  std::tm parts{};
  gmtime_r(&whole, &parts);
  char date[32];
  std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
  char text[48];
  std::snprintf(
    text, sizeof text, "%s.%03dZ", date, static_cast<int>(ms % 1000));
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
  std::string line = WallTimeText();
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
  line["time"] = WallTimeText();
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
  auto leftOut = gLimiter.Admit(aEvent);
  if (!leftOut) {
    return;
  }
  std::vector<LogField> fields = aFields;
  if (*leftOut > 0) {
    fields.emplace_back("left_out", *leftOut);
  }
  static boost::log::sources::logger logger;
  BOOST_LOG(logger) << (gLogSettings.m_format == LogFormat::Json
                          ? FormatJson(aLevel, aEvent, fields)
                          : FormatText(aLevel, aEvent, fields));
}

} // namespace persimmontally
