#ifndef PERSIMMONTALLY_MEMBERSHIP_UPSTREAMTABLE_H
#define PERSIMMONTALLY_MEMBERSHIP_UPSTREAMTABLE_H

#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/UpstreamRow.h"

#include "absl/status/status.h"

#include <map>
#include <vector>

namespace persimmontally {

/// An upstream with the lease that its last announcement opened.
struct UpstreamEntry
{
  UpstreamRow m_row;
  Instant m_leaseEnd;
  Instant m_reportedAt;

  bool operator==(const UpstreamEntry&) const = default;
};

/// What merging a row came to.
enum class UpstreamMerge
{
  /// Nothing newer than what is known.
  Stale,
  /// Only the lease and the load are newer.
  Renewed,
  /// New upstream, new incarnation, or another announced property.
  Changed,
};

/// Upstreams by id. Of two upstreams at one address only the one that started
/// later can be there. A row counts for the length of a lease after its
/// announcement; `Leaving` and `Gone` win over `Serving` within one
/// incarnation.
class UpstreamTable
{
public:
  static constexpr Duration kLeaseDuration = seconds(3);

  explicit UpstreamTable(Duration aLease = kLeaseDuration)
    : m_lease(aLease)
  {
  }

  /// How long an ended row is remembered, so that late copies of older
  /// announcements do not bring it back.
  static constexpr Duration kForgetAfter = seconds(120);

  UpstreamMerge Merge(Instant aNow, const UpstreamRow& aRow);
  /// States that an upstream has ended; false if it is not known.
  bool MarkGone(Instant aNow, const UpstreamId& aId);
  /// False if the upstream or its incarnation is not known.
  bool Renew(Instant aNow, const UpstreamRenewal& aRenewal);
  void ForgetOld(Instant aNow);

  /// Changes whenever a row is added, removed or announced with other
  /// properties; renewals leave it as it is.
  uint64_t Version() const { return m_version; }
  const UpstreamEntry* Find(const UpstreamId& aId) const;
  const std::map<UpstreamId, UpstreamEntry>& Rows() const { return m_rows; }
  /// Whether new work may be sent to it.
  static bool TakesWork(Instant aNow, const UpstreamEntry& aEntry);
  /// Whether running work can still be expected to go on.
  static bool IsPresent(Instant aNow, const UpstreamEntry& aEntry);

private:
  Duration m_lease;
  bool TakeAddress(Instant aNow, const UpstreamRow& aRow);

  std::map<UpstreamId, UpstreamEntry> m_rows;
  /// Upstream that started last at each address.
  std::map<Endpoint, UpstreamId> m_byEndpoint;
  uint64_t m_version = 1;
};

/// Checks an announced row for nonsense.
absl::Status ValidateUpstream(const UpstreamRow& aRow);

} // namespace persimmontally

#endif
