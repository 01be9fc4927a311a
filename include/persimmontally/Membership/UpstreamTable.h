#ifndef PERSIMMONTALLY_MEMBERSHIP_UPSTREAMTABLE_H
#define PERSIMMONTALLY_MEMBERSHIP_UPSTREAMTABLE_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/UpstreamRow.h"

#include "absl/status/status.h"

#include <map>
#include <vector>

namespace persimmontally {

/// An upstream with the lease that its last announcement or renewal opened.
struct UpstreamEntry
{
  UpstreamRow m_row;
  Instant m_leaseEnd;
  Instant m_reportedAt;

  bool operator==(const UpstreamEntry&) const = default;
};

/// Result of merging a row.
enum class UpstreamMergeResult
{
  /// The row is not newer than the table's, or its address belongs to an
  /// upstream that started later.
  Stale,
  /// Only the lease, the sequence number and the load changed.
  Renewed,
  /// New upstream, new incarnation, or another announced property.
  Changed,
};

/// Upstreams by id. An address belongs to the upstream that started there
/// last; an earlier one at the same address is marked as gone. A row is valid
/// for one lease after its announcement or renewal. Within one incarnation
/// `Leaving` and `Gone` take precedence over `Serving`.
class UpstreamTable
{
public:
  static constexpr Duration kLeaseDuration = seconds(3);

  explicit UpstreamTable(Duration aLease = kLeaseDuration)
    : m_lease(aLease)
  {
  }

  /// Time that a row is kept after its lease ended, so that delayed copies of
  /// older announcements do not add the upstream again.
  static constexpr Duration kRetention = seconds(120);

  /// Merges an announced row; opens a new lease unless the row is stale.
  UpstreamMergeResult Merge(Instant aNow, const UpstreamRow& aRow);
  /// Marks an upstream as gone; returns false if it is unknown.
  bool MarkGone(Instant aNow, const UpstreamId& aId);
  /// Renews a lease and updates the load and the state unless the renewal is
  /// old; returns false if the upstream or its incarnation is unknown.
  bool Renew(Instant aNow, const UpstreamRenewal& aRenewal);
  /// Removes the rows whose lease ended more than `kRetention` ago.
  void RemoveExpired(Instant aNow);

  /// Incremented when a row is added, removed or announced with other
  /// properties, but not by renewals.
  uint64_t Version() const { return m_version; }
  const UpstreamEntry* Find(const UpstreamId& aId) const;
  const std::map<UpstreamId, UpstreamEntry>& Rows() const { return m_rows; }
  /// Whether new requests may be sent to the upstream: it is serving and its
  /// lease is open.
  static bool TakesWork(Instant aNow, const UpstreamEntry& aEntry);
  /// Whether running requests can be expected to continue: the upstream is
  /// not gone and its lease is open.
  static bool IsLive(Instant aNow, const UpstreamEntry& aEntry);

private:
  Duration m_lease;
  /// Assigns the address of a row to its upstream and marks the earlier holder
  /// as gone; returns false if the address belongs to an upstream that started
  /// later, which means that the row is outdated.
  bool ClaimAddress(Instant aNow, const UpstreamRow& aRow);

  std::map<UpstreamId, UpstreamEntry> m_rows;
  /// The upstream that started last at each address.
  std::map<Endpoint, UpstreamId> m_byEndpoint;
  uint64_t m_version = 1;
};

/// Checks that an announced row is complete and its values are in range;
/// returns InvalidArgumentError naming the first field that is not.
absl::Status ValidateUpstream(const UpstreamRow& aRow);

} // namespace persimmontally

#endif
