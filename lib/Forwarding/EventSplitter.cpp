#include "persimmontally/Forwarding/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace persimmontally {

/// Returns the offset after the blank line that ends the first event, or npos.
static size_t EndOfEvent(std::string_view aData)
{
  size_t plain = aData.find("\n\n");
  size_t withReturns = aData.find("\r\n\r\n");
  size_t plainEnd = plain == std::string_view::npos ? plain : plain + 2;
  size_t returnsEnd =
    withReturns == std::string_view::npos ? withReturns : withReturns + 4;
  return std::min(plainEnd, returnsEnd);
}

/// Returns the value of a field of an event, or an empty view. The name ends
/// with a colon.
static std::string_view FieldOf(std::string_view aEvent, std::string_view aName)
{
  while (!aEvent.empty()) {
    size_t end = std::min(aEvent.find('\n'), aEvent.size());
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (!line.starts_with(aName)) {
      continue;
    }
    line.remove_prefix(aName.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    while (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    return line;
  }
  return {};
}

std::optional<uint64_t> ParseNumericEventId(std::string_view aId)
{
  uint64_t number = 0;
  const char* end = aId.data() + aId.size();
  auto result = std::from_chars(aId.data(), end, number);
  bool isNumber = result.ec == std::errc() && result.ptr == end && !aId.empty();
  return isNumber ? std::optional<uint64_t>(number) : std::nullopt;
}

/// Records a complete event. Returns false if it was already delivered.
bool EventSplitter::AcceptEvent(std::string_view aEvent)
{
  std::string_view id = FieldOf(aEvent, "id:");
  auto number = ParseNumericEventId(id);
  if (number && m_lastNumericId) {
    if (*number <= *m_lastNumericId) {
      m_isBehind = *number < *m_lastNumericId;
      return false;
    }
    m_hasGap = m_hasGap || *number != *m_lastNumericId + 1;
  }
  m_isBehind = false;
  bool isComment = id.empty() && FieldOf(aEvent, "data:").empty();
  m_hasUnnumbered = m_hasUnnumbered || (!number && !isComment);
  if (!id.empty()) {
    m_lastId = std::string(id);
    m_lastNumericId = number;
    ++m_events;
  }
  return true;
}

std::string EventSplitter::Feed(std::string_view aData)
{
  std::string out;
  if (m_hasFailed) {
    return out;
  }
  m_buffer.append(aData);
  std::string_view left = m_buffer;
  for (size_t end = EndOfEvent(left); end != std::string_view::npos;
       end = EndOfEvent(left)) {
    std::string_view event = left.substr(0, end);
    if (AcceptEvent(event)) {
      out.append(event);
    }
    left.remove_prefix(end);
  }
  m_buffer.erase(0, m_buffer.size() - left.size());
  m_hasFailed = m_buffer.size() > kMaxEventBytes;
  return out;
}

void EventSplitter::StartAfter(uint64_t aId)
{
  m_lastId = std::to_string(aId);
  m_lastNumericId = aId;
}

void EventSplitter::Restart()
{
  m_buffer.clear();
  m_isBehind = false;
}

} // namespace persimmontally
