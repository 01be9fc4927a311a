#ifndef PERSIMMONTALLY_ADMISSION_CALLERBUDGET_H
#define PERSIMMONTALLY_ADMISSION_CALLERBUDGET_H

#include "persimmontally/Support/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmontally {

/// What a host may spend on its callers together.
struct CallerBudgetOptions
{
  /// Bytes held for callers: requests that are read, requests that are served,
  /// and responses not yet written.
  size_t m_maxBytes = SIZE_MAX;
  size_t m_maxConnections = SIZE_MAX;

  bool operator==(const CallerBudgetOptions&) const = default;
};

/// What a connection of a caller does.
enum class CallerState
{
  /// Waits for a request.
  Idle,
  /// Receives a request.
  Reading,
  /// Has a complete request whose response is not complete.
  Serving,
  /// Was refused and is about to be closed.
  Closing,
};
inline constexpr size_t kCallerStates = 4;
std::string_view ToString(CallerState aState);

enum class EvictionReason
{
  /// Its request holds much memory and has made no progress.
  Stalled,
  /// Its request holds the most memory.
  LargestRequest,
  /// Its caller does not read its response.
  SlowReader,
  /// It has waited longest without a request.
  IdleLongest,
  /// No connection can be closed for it.
  NoConnection,
};
std::string_view ToString(EvictionReason aReason);

/// A connection that is to be refused or closed.
struct CallerEviction
{
  uint64_t m_id = 0;
  EvictionReason m_reason = EvictionReason::Stalled;

  bool operator==(const CallerEviction&) const = default;
};

/// Decides which connections of callers a host ends when the memory or the
/// connections that it has for them are short.
///
/// Memory: the request being read, or the response that is not being read, with
/// the largest product of bytes and time without progress goes first. A request
/// that is served is not ended, because it may run. Connections above
/// `kSmallBytes` have a part of the budget only, so that short requests find
/// room. One that is alone above it is always admitted.
///
/// Connections: one that is closing goes first, then the one that has waited
/// longest without a complete request, of the address with the most
/// connections. One address may be that of a load balancer, so it has no limit
/// of its own.
class CallerBudget
{
public:
  using Evictions = std::vector<CallerEviction>;

  static constexpr size_t kSmallBytes = size_t(64) << 10;
  /// Part of the memory that connections above `kSmallBytes` may hold.
  static constexpr double kLargeShare = 0.75;
  /// Bytes that a request must have grown by, and a time without that after
  /// which its weight has doubled.
  static constexpr size_t kProgressBytes = size_t(16) << 10;
  static constexpr Duration kPatience = seconds(1);

  explicit CallerBudget(CallerBudgetOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// Each call returns the connections to end, perhaps the one it is about.
  /// Their bytes no longer count. Ids are given once.
  Evictions Open(Instant aNow, uint64_t aId, const std::string& aAddress);
  /// Sets the bytes held for the request of a connection.
  Evictions SetInput(Instant aNow, uint64_t aId, size_t aBytes);
  /// Sets the bytes of the response that are not yet written. Writing some is
  /// progress.
  Evictions SetOutput(Instant aNow, uint64_t aId, size_t aBytes);
  void SetState(Instant aNow, uint64_t aId, CallerState aState);
  void Close(uint64_t aId);

  size_t Bytes() const { return m_bytes; }
  size_t BytesOf(CallerState aState) const;
  size_t Connections() const { return m_connections.size(); }
  const CallerBudgetOptions& Options() const { return m_options; }

private:
  struct Connection
  {
    std::string m_address;
    CallerState m_state = CallerState::Idle;
    size_t m_input = 0;
    size_t m_output = 0;
    /// Input when progress was last recorded.
    size_t m_inputAtProgress = 0;
    Instant m_progressAt;
    Instant m_stateSince;

    size_t Bytes() const { return m_input + m_output; }
  };
  using Table = std::map<uint64_t, Connection>;

  static double Weight(Instant aNow, const Connection& aConnection);
  /// Adds or removes the bytes of a connection.
  void Count(const Connection& aConnection, bool aIsAdded);
  bool IsOver() const;
  Evictions EvictForBytes(Instant aNow);
  Table::iterator HeaviestOf(Instant aNow);
  Table::iterator LargestOutput();
  /// Returns the connection to close for a new one, or the end.
  Table::iterator ConnectionToClose();
  EvictionReason Evict(Instant aNow, Connection& aConnection);

  CallerBudgetOptions m_options;
  Table m_connections;
  std::map<std::string, size_t> m_byAddress;
  std::array<size_t, kCallerStates> m_bytesByState{};
  size_t m_bytes = 0;
  size_t m_largeBytes = 0;
  size_t m_largeCount = 0;
};

} // namespace persimmontally

#endif
