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

/// One `key=value` pair of a structured log line.
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

/// Maximum lines that one event may write per second. Further lines are dropped
/// and counted; the next line of the event carries their number in `left_out`.
inline constexpr uint32_t kMaxEventLinesPerSecond = 300;

/// Initialises the log of the process, which writes text or JSON lines to
/// standard output. A line is dropped if standard output cannot take it without
/// blocking, so a slow reader never stalls the process.
void InitLog(LogLevel aLevel, LogFormat aFormat, std::string_view aHost);
void SetLogLevel(LogLevel aLevel);
/// Returns the number of lines dropped since the process started, either by the
/// rate limit or because standard output did not take them.
uint64_t LostLogLines();

/// Returns whether lines of this level are enabled. Lets callers skip building
/// fields that are expensive to compute.
bool IsLogged(LogLevel aLevel);

/// Writes one structured line, unless the level is disabled or the rate limit
/// of the event is reached. `aEvent` is the event's name in lower case.
void WriteLog(LogLevel aLevel,
              std::string_view aEvent,
              const std::vector<LogField>& aFields);

} // namespace persimmontally

#endif
