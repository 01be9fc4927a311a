#ifndef PERSIMMONTALLY_SUPPORT_LOG_H
#define PERSIMMONTALLY_SUPPORT_LOG_H

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace persimmontally {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};
enum class LogFormat
{
  Text,
  Json
};

/// One `key=value` of a structured log line.
class LogField
{
public:
  LogField(std::string_view aKey, std::string_view aValue)
    : m_key(aKey)
    , m_value(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : m_key(aKey)
    , m_value(aValue)
  {
  }
  LogField(std::string_view aKey, const std::string& aValue)
    : m_key(aKey)
    , m_value(aValue)
  {
  }
  template<class Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view aKey,
                                                 Number aValue)
    : m_key(aKey)
    , m_value(std::to_string(aValue))
    , m_isNumber(true)
  {
  }

  const std::string& Key() const { return m_key; }
  const std::string& Value() const { return m_value; }
  bool IsNumber() const { return m_isNumber; }

private:
  std::string m_key;
  std::string m_value;
  bool m_isNumber = false;
};

/// Lines of one event that are written in a second; what comes beyond is
/// counted, and the next line of the event tells how many were left out.
inline constexpr uint32_t kMaxLinesPerSecond = 300;

/// Sets the process's log up: level, text or JSON lines, on standard output.
/// A reader that does not keep up loses lines; the process never waits for it.
void InitLog(LogLevel aLevel, LogFormat aFormat, std::string_view aHost);
void SetLogLevel(LogLevel aLevel);
/// Lines that were left out since the start, over the rate or not taken by the
/// reader.
uint64_t LostLogLines();

/// Whether a line of the level would be written, for callers whose fields are
/// costly to make.
bool IsLogged(LogLevel aLevel);

/// Writes one structured line. `aEvent` names what happened, in lower case.
void WriteLog(LogLevel aLevel,
              std::string_view aEvent,
              const std::vector<LogField>& aFields);

} // namespace persimmontally

#endif
