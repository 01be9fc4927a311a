#include "persimmontally/Net/SseParser.h"

namespace persimmontally {

static std::string_view FieldValue(std::string_view aLine, size_t aNameSize)
{
  std::string_view value = aLine.substr(aNameSize + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return value;
}

static SseEvent ParseEvent(std::string_view aBlock)
{
  SseEvent event;
  while (!aBlock.empty()) {
    size_t end = aBlock.find('\n');
    std::string_view line = aBlock.substr(0, end);
    aBlock = end == std::string_view::npos ? std::string_view()
                                           : aBlock.substr(end + 1);
    if (line.starts_with("data:")) {
      event.m_data = FieldValue(line, 4);
    } else if (line.starts_with("id:")) {
      event.m_id = FieldValue(line, 2);
    } else if (line.starts_with("event:")) {
      event.m_event = FieldValue(line, 5);
    }
  }
  return event;
}

bool SseParser::Feed(std::string_view aData,
                     const std::function<void(const SseEvent&)>& aOnEvent)
{
  if (m_failed) {
    return false;
  }
  m_buffer.append(aData);
  size_t start = 0;
  for (;;) {
    size_t end = m_buffer.find("\n\n", start);
    if (end == std::string::npos) {
      break;
    }
    aOnEvent(ParseEvent(std::string_view(m_buffer).substr(start, end - start)));
    start = end + 2;
  }
  m_buffer.erase(0, start);
  m_failed = m_buffer.size() > kMaxEventBytes;
  return !m_failed;
}

} // namespace persimmontally
