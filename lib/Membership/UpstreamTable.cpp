#include "persimmontally/Membership/UpstreamTable.h"

#include <algorithm>

namespace persimmontally {

/// Whether two rows of one incarnation announce the same properties.
static bool SameProperties(UpstreamRow aLeft, const UpstreamRow& aRight)
{
  aLeft.m_sequence = aRight.m_sequence;
  aLeft.m_load = aRight.m_load;
  return aLeft == aRight;
}

bool UpstreamTable::ClaimAddress(Instant aNow, const UpstreamRow& aRow)
{
  UpstreamId& holder = m_byEndpoint[aRow.m_endpoint];
  auto other = m_rows.find(holder);
  if (holder != aRow.m_id && other != m_rows.end()) {
    const UpstreamRow& known = other->second.m_row;
    bool holdsAddress = known.m_endpoint == aRow.m_endpoint &&
                        known.m_state != UpstreamState::Gone;
    if (holdsAddress && known.m_incarnation > aRow.m_incarnation) {
      return false;
    }
    if (holdsAddress && known.m_incarnation < aRow.m_incarnation) {
      MarkGone(aNow, holder);
    }
  }
  holder = aRow.m_id;
  return true;
}

UpstreamMergeResult UpstreamTable::Merge(Instant aNow, const UpstreamRow& aRow)
{
  auto at = m_rows.find(aRow.m_id);
  bool isNewIncarnation =
    at == m_rows.end() || at->second.m_row.m_incarnation < aRow.m_incarnation;
  if (isNewIncarnation && aRow.m_state != UpstreamState::Gone &&
      !ClaimAddress(aNow, aRow)) {
    return UpstreamMergeResult::Stale;
  }
  if (at == m_rows.end()) {
    m_rows[aRow.m_id] = { aRow, aNow + m_lease, aNow };
    ++m_version;
    return UpstreamMergeResult::Changed;
  }
  UpstreamRow& known = at->second.m_row;
  if (aRow.m_incarnation < known.m_incarnation) {
    return UpstreamMergeResult::Stale;
  }
  bool sameIncarnation = aRow.m_incarnation == known.m_incarnation;
  if (sameIncarnation && aRow.m_sequence <= known.m_sequence &&
      aRow.m_state <= known.m_state) {
    return UpstreamMergeResult::Stale;
  }
  UpstreamRow merged = aRow;
  if (sameIncarnation) {
    merged.m_state = std::max(aRow.m_state, known.m_state);
    merged.m_sequence = std::max(aRow.m_sequence, known.m_sequence);
  }
  bool changed = !sameIncarnation || !SameProperties(merged, known);
  at->second = { merged, aNow + m_lease, aNow };
  m_version += changed ? 1 : 0;
  return changed ? UpstreamMergeResult::Changed : UpstreamMergeResult::Renewed;
}

bool UpstreamTable::MarkGone(Instant aNow, const UpstreamId& aId)
{
  auto at = m_rows.find(aId);
  if (at == m_rows.end()) {
    return false;
  }
  UpstreamRow row = at->second.m_row;
  row.m_state = UpstreamState::Gone;
  Merge(aNow, row);
  return true;
}

bool UpstreamTable::Renew(Instant aNow, const UpstreamRenewal& aRenewal)
{
  auto at = m_rows.find(aRenewal.m_id);
  if (at == m_rows.end() ||
      at->second.m_row.m_incarnation < aRenewal.m_incarnation) {
    return false;
  }
  UpstreamRow& known = at->second.m_row;
  if (known.m_incarnation > aRenewal.m_incarnation ||
      known.m_sequence >= aRenewal.m_sequence) {
    return true;
  }
  known.m_sequence = aRenewal.m_sequence;
  known.m_load = aRenewal.m_load;
  if (aRenewal.m_state > known.m_state) {
    known.m_state = aRenewal.m_state;
    ++m_version;
  }
  at->second.m_leaseEnd = aNow + m_lease;
  at->second.m_reportedAt = aNow;
  return true;
}

void UpstreamTable::RemoveExpired(Instant aNow)
{
  size_t erased = std::erase_if(m_rows, [&](const auto& aItem) {
    return aItem.second.m_leaseEnd + kRetention < aNow;
  });
  std::erase_if(m_byEndpoint, [&](const auto& aItem) {
    return !m_rows.contains(aItem.second);
  });
  m_version += erased > 0 ? 1 : 0;
}

const UpstreamEntry* UpstreamTable::Find(const UpstreamId& aId) const
{
  auto at = m_rows.find(aId);
  return at == m_rows.end() ? nullptr : &at->second;
}

bool UpstreamTable::TakesWork(Instant aNow, const UpstreamEntry& aEntry)
{
  return aEntry.m_row.m_state == UpstreamState::Serving &&
         aNow < aEntry.m_leaseEnd;
}

bool UpstreamTable::IsLive(Instant aNow, const UpstreamEntry& aEntry)
{
  return aEntry.m_row.m_state != UpstreamState::Gone &&
         aNow < aEntry.m_leaseEnd;
}

absl::Status ValidateUpstream(const UpstreamRow& aRow)
{
  constexpr size_t kMaxNameBytes = 128;
  constexpr size_t kMaxModels = 256;
  constexpr uint32_t kMaxSlots = 100'000;
  constexpr uint32_t kMaxKvBlocks = 100'000'000;
  if (aRow.m_id.Empty() || aRow.m_id.Value().size() > kMaxNameBytes) {
    return absl::InvalidArgumentError("id: empty or longer than 128 bytes");
  }
  if (aRow.m_endpoint.m_port == 0) {
    return absl::InvalidArgumentError("address: port is 0");
  }
  if (aRow.m_dataCentre.Empty()) {
    return absl::InvalidArgumentError("data_centre: empty");
  }
  if (aRow.m_slots == 0 || aRow.m_slots > kMaxSlots) {
    return absl::InvalidArgumentError("slots: must be between 1 and 100000");
  }
  if (aRow.m_kind == UpstreamKind::Service) {
    return aRow.m_service.empty()
             ? absl::InvalidArgumentError(
                 "service: empty for an upstream of kind service")
             : absl::OkStatus();
  }
  if (aRow.m_models.empty() || aRow.m_models.size() > kMaxModels) {
    return absl::InvalidArgumentError("models: must list 1 to 256 models");
  }
  if (aRow.m_kvBlocks == 0 || aRow.m_kvBlocks > kMaxKvBlocks ||
      aRow.m_blockTokens == 0) {
    return absl::InvalidArgumentError(
      "kv_blocks or block_tokens: out of range");
  }
  return absl::OkStatus();
}

} // namespace persimmontally
