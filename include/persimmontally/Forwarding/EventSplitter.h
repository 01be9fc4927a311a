#ifndef PERSIMMONTALLY_FORWARDING_EVENTSPLITTER_H
#define PERSIMMONTALLY_FORWARDING_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmontally {

/// Cuts a stream of server-sent events at the ends of events, so that a stream
/// that breaks off leaves no half event behind. Events keep their bytes. Where
/// ids are whole numbers, events up to a given id are dropped: a generation
/// that goes on elsewhere may repeat what was delivered.
class EventSplitter
{
public:
  /// Bytes of one event; a longer one is an error.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  /// Takes bytes and returns those of the events they complete; empty also
  /// when an event was too long, see `HasFailed`.
  std::string Feed(std::string_view aData);
  /// Drops what was begun, for a stream that goes on from another upstream.
  void Restart();
  /// Bytes after the last whole event.
  const std::string& Rest() const { return m_buffer; }

  /// Id of the last whole event; empty before the first one.
  const std::string& LastId() const { return m_lastId; }
  uint32_t Events() const { return m_events; }
  bool HasFailed() const { return m_hasFailed; }
  /// Whether an event was skipped between two upstreams.
  bool HasGap() const { return m_hasGap; }

private:
  bool TakeEvent(std::string_view aEvent);

  std::string m_buffer;
  std::string m_lastId;
  std::optional<uint64_t> m_lastNumber;
  uint32_t m_events = 0;
  bool m_hasFailed = false;
  bool m_hasGap = false;
};

} // namespace persimmontally

#endif
