#ifndef PERSIMMONTALLY_NET_SSEPARSER_H
#define PERSIMMONTALLY_NET_SSEPARSER_H

#include <functional>
#include <string>
#include <string_view>

namespace persimmontally {

/// One server-sent event. The views are valid until the callback returns.
struct SseEvent
{
  std::string_view m_id;
  std::string_view m_event;
  std::string_view m_data;
};

/// Incremental parser for server-sent events (WHATWG HTML, "Server-sent
/// events"). Supports one `data` line per event; lines end with LF.
class SseParser
{
public:
  /// Largest size of an incomplete event in bytes; a longer one is an error.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  /// Parses the next bytes of the stream and calls `aOnEvent` for each complete
  /// event. Returns false once an incomplete event exceeds `kMaxEventBytes`;
  /// all later input is ignored.
  bool Feed(std::string_view aData,
            const std::function<void(const SseEvent&)>& aOnEvent);

private:
  std::string m_buffer;
  bool m_failed = false;
};

} // namespace persimmontally

#endif
