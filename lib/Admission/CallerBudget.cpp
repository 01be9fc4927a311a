#include "persimmontally/Admission/CallerBudget.h"

#include <algorithm>
#include <tuple>

namespace persimmontally {

std::string_view ToString(CallerState aState)
{
  switch (aState) {
    case CallerState::Idle:
      return "idle";
    case CallerState::Reading:
      return "reading";
    case CallerState::Serving:
      return "serving";
    case CallerState::Closing:
      return "closing";
  }
  return "unknown";
}

std::string_view ToString(EvictionReason aReason)
{
  switch (aReason) {
    case EvictionReason::Stalled:
      return "stalled";
    case EvictionReason::LargestRequest:
      return "largest_request";
    case EvictionReason::SlowReader:
      return "slow_reader";
    case EvictionReason::IdleLongest:
      return "idle_longest";
    case EvictionReason::NoConnection:
      return "no_connection";
  }
  return "unknown";
}

size_t CallerBudget::BytesOf(CallerState aState) const
{
  return m_bytesByState[static_cast<size_t>(aState)];
}

void CallerBudget::Count(const Connection& aConnection, bool aIsAdded)
{
  size_t bytes = aConnection.Bytes();
  size_t& ofState = m_bytesByState[static_cast<size_t>(aConnection.m_state)];
  bool isLarge = bytes > kSmallBytes;
  size_t large = isLarge ? bytes : 0;
  if (aIsAdded) {
    m_bytes += bytes;
    ofState += bytes;
    m_largeBytes += large;
    m_largeCount += isLarge ? 1 : 0;
  } else {
    m_bytes -= bytes;
    ofState -= bytes;
    m_largeBytes -= large;
    m_largeCount -= isLarge ? 1 : 0;
  }
}

bool CallerBudget::IsOver() const
{
  if (m_largeCount == 1 && m_bytes - m_largeBytes <= m_options.m_maxBytes) {
    return false;
  }
  auto maxLarge = static_cast<double>(m_options.m_maxBytes) * kLargeShare;
  return m_bytes > m_options.m_maxBytes ||
         static_cast<double>(m_largeBytes) > maxLarge;
}

CallerBudget::Evictions CallerBudget::Open(Instant aNow,
                                           uint64_t aId,
                                           const std::string& aAddress)
{
  Evictions evictions;
  while (m_connections.size() >= m_options.m_maxConnections) {
    auto victim = ConnectionToClose();
    if (victim == m_connections.end()) {
      evictions.push_back({ aId, EvictionReason::NoConnection });
      return evictions;
    }
    evictions.push_back({ victim->first, EvictionReason::IdleLongest });
    Close(victim->first);
  }
  Connection connection;
  connection.m_address = aAddress;
  connection.m_progressAt = aNow;
  connection.m_stateSince = aNow;
  m_connections.emplace(aId, std::move(connection));
  ++m_byAddress[aAddress];
  return evictions;
}

CallerBudget::Table::iterator CallerBudget::ConnectionToClose()
{
  // Closing ones first, then idle ones, then those that receive a request.
  auto rank = [&](const Connection& aConnection) {
    switch (aConnection.m_state) {
      case CallerState::Closing:
        return 0;
      case CallerState::Idle:
        return 1;
      case CallerState::Reading:
        return 2;
      case CallerState::Serving:
        return 3;
    }
    return 3;
  };
  auto isBefore = [&](const auto& aOne, const auto& aOther) {
    auto order = [&](const Connection& aConnection) {
      return std::tuple(
        rank(aConnection),
        -static_cast<ptrdiff_t>(m_byAddress.at(aConnection.m_address)),
        aConnection.m_stateSince);
    };
    return order(aOne.second) < order(aOther.second);
  };
  auto first =
    std::min_element(m_connections.begin(), m_connections.end(), isBefore);
  bool isFound = first != m_connections.end() &&
                 first->second.m_state != CallerState::Serving;
  return isFound ? first : m_connections.end();
}

CallerBudget::Evictions CallerBudget::SetInput(Instant aNow,
                                               uint64_t aId,
                                               size_t aBytes)
{
  auto at = m_connections.find(aId);
  if (at == m_connections.end() || at->second.m_state == CallerState::Closing) {
    return {};
  }
  Connection& connection = at->second;
  bool hasGrown = aBytes > connection.m_input;
  Count(connection, false);
  connection.m_input = aBytes;
  Count(connection, true);
  if (aBytes < connection.m_inputAtProgress ||
      aBytes - connection.m_inputAtProgress >= kProgressBytes) {
    connection.m_inputAtProgress = aBytes;
    connection.m_progressAt = aNow;
  }
  return hasGrown ? EvictForBytes(aNow) : Evictions();
}

CallerBudget::Evictions CallerBudget::SetOutput(Instant aNow,
                                                uint64_t aId,
                                                size_t aBytes)
{
  auto at = m_connections.find(aId);
  if (at == m_connections.end() || at->second.m_state == CallerState::Closing) {
    return {};
  }
  Connection& connection = at->second;
  size_t before = connection.m_output;
  Count(connection, false);
  connection.m_output = aBytes;
  Count(connection, true);
  if (aBytes < before || before == 0) {
    connection.m_progressAt = aNow;
  }
  return aBytes > before ? EvictForBytes(aNow) : Evictions();
}

void CallerBudget::SetState(Instant aNow, uint64_t aId, CallerState aState)
{
  auto at = m_connections.find(aId);
  if (at == m_connections.end()) {
    return;
  }
  Connection& connection = at->second;
  Count(connection, false);
  connection.m_state = aState;
  connection.m_stateSince = aNow;
  connection.m_progressAt = aNow;
  connection.m_inputAtProgress = connection.m_input;
  Count(connection, true);
}

void CallerBudget::Close(uint64_t aId)
{
  auto at = m_connections.find(aId);
  if (at == m_connections.end()) {
    return;
  }
  Count(at->second, false);
  auto address = m_byAddress.find(at->second.m_address);
  if (--address->second == 0) {
    m_byAddress.erase(address);
  }
  m_connections.erase(at);
}

/// Returns how strongly a connection is a candidate for eviction, 0 if it is
/// none.
double CallerBudget::Weight(Instant aNow, const Connection& aConnection)
{
  Duration pause = aNow - aConnection.m_progressAt;
  size_t bytes = 0;
  if (aConnection.m_state == CallerState::Reading) {
    bytes = aConnection.Bytes();
  } else if (aConnection.m_state == CallerState::Serving &&
             pause >= kPatience) {
    bytes = aConnection.m_output;
  }
  return static_cast<double>(bytes) *
         (1 + ToSeconds(pause) / ToSeconds(kPatience));
}

CallerBudget::Table::iterator CallerBudget::HeaviestOf(Instant aNow)
{
  auto heaviest = m_connections.end();
  double most = 0;
  for (auto at = m_connections.begin(); at != m_connections.end(); ++at) {
    double weight = Weight(aNow, at->second);
    if (weight > most) {
      most = weight;
      heaviest = at;
    }
  }
  return heaviest;
}

CallerBudget::Table::iterator CallerBudget::LargestOutput()
{
  auto largest =
    std::max_element(m_connections.begin(),
                     m_connections.end(),
                     [](const auto& aOne, const auto& aOther) {
                       return aOne.second.m_output < aOther.second.m_output;
                     });
  bool isFound = largest != m_connections.end() && largest->second.m_output > 0;
  return isFound ? largest : m_connections.end();
}

EvictionReason CallerBudget::Evict(Instant aNow, Connection& aConnection)
{
  EvictionReason reason = EvictionReason::SlowReader;
  if (aConnection.m_state == CallerState::Reading) {
    reason = aNow - aConnection.m_progressAt >= kPatience
               ? EvictionReason::Stalled
               : EvictionReason::LargestRequest;
  }
  Count(aConnection, false);
  aConnection.m_state = CallerState::Closing;
  aConnection.m_stateSince = aNow;
  aConnection.m_input = 0;
  aConnection.m_output = 0;
  return reason;
}

CallerBudget::Evictions CallerBudget::EvictForBytes(Instant aNow)
{
  Evictions evictions;
  while (IsOver()) {
    auto victim = HeaviestOf(aNow);
    if (victim == m_connections.end()) {
      victim = LargestOutput();
    }
    if (victim == m_connections.end()) {
      break;
    }
    evictions.push_back({ victim->first, Evict(aNow, victim->second) });
  }
  return evictions;
}

} // namespace persimmontally
