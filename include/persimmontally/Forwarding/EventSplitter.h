#ifndef PERSIMMONTALLY_FORWARDING_EVENTSPLITTER_H
#define PERSIMMONTALLY_FORWARDING_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmontally {

/// Splits a stream of server-sent events into complete events, so that a
/// stream that fails does not deliver a partial event. The bytes of an
/// event are not changed. If ids are integers, events whose id is not above
/// the last delivered id are dropped: a generation that resumes on another
/// engine may repeat events that were already delivered.
///
/// A stream that was broken off can be resumed by a new run only if its place
/// is known: before its first event, or after events that all have integer ids.
class EventSplitter
{
public:
  /// Maximum size of one event; a longer event fails the stream.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  /// Appends bytes of the stream and returns the events that are now complete.
  /// Returns nothing once an event has exceeded the limit; see `HasFailed`.
  std::string Feed(std::string_view aData);
  /// Lets the stream begin after an event that its reader has already received
  /// in an earlier response. Called before the first bytes.
  void StartAfter(uint64_t aId);
  /// Discards a partial event. Called before the stream resumes from another
  /// upstream.
  void Restart();
  /// Bytes after the last complete event.
  const std::string& Remainder() const { return m_buffer; }
  /// Whether a line follows the last complete event.
  bool IsInsideEvent() const
  {
    return m_buffer.find_first_not_of("\r\n") != std::string::npos;
  }

  /// Id of the last complete event; empty before the first one.
  const std::string& LastId() const { return m_lastId; }
  uint32_t Events() const { return m_events; }
  bool HasFailed() const { return m_hasFailed; }
  /// Whether an integer id was skipped, as when an engine resumes a generation
  /// after more events than were delivered.
  bool HasGap() const { return m_hasGap; }
  /// Whether a new run can continue the stream after `LastId`.
  bool HasKnownPlace() const { return !m_hasUnnumbered; }
  /// Whether the current run has only repeated events so far and has not come
  /// back to the last delivered one.
  bool IsBehind() const { return m_isBehind; }

private:
  bool AcceptEvent(std::string_view aEvent);

  std::string m_buffer;
  std::string m_lastId;
  std::optional<uint64_t> m_lastNumericId;
  uint32_t m_events = 0;
  bool m_hasFailed = false;
  bool m_hasGap = false;
  /// Whether an event without an integer id was delivered.
  bool m_hasUnnumbered = false;
  bool m_isBehind = false;
};

/// Parses an event id that is an integer. Returns nothing for any other id.
std::optional<uint64_t> ParseNumericEventId(std::string_view aId);

} // namespace persimmontally

#endif
