#ifndef PERSIMMONTALLY_ROUTING_RATELIMITS_H
#define PERSIMMONTALLY_ROUTING_RATELIMITS_H

#include "persimmontally/Admission/Ticket.h"
#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/RateLimitMessage.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace persimmontally {

/// An update for one host.
struct RateLimitSend
{
  HostId m_to;
  RateLimitUpdate m_update;
};

/// Keeps the rate limits that upstreams name, over all hosts together. One host
/// per limited upstream, its owner by rendezvous hashing, grants permits for
/// single requests; a host without a permit uses other upstreams. A host that
/// cannot reach the owner gets none, and becomes the owner itself once it
/// counts the others as down. Owners grant the share of the limit that the
/// hosts they reach have of all known ones, so that the limit also holds while
/// all hosts are cut off from each other.
///
/// Load pattern: an upstream in trouble names a limit far below what it gets,
/// in a fleet in which each host sends it a request now and then only.
class RateLimits
{
public:
  /// Validity of a permit, from its receipt.
  static constexpr Duration kPermitLife = milliseconds(400);
  /// Longest time that a request for permits waits at the owner.
  static constexpr Duration kRequestLife = milliseconds(250);
  /// Minimum interval between requests of a host for an upstream's permits.
  static constexpr Duration kRequestPeriod = milliseconds(20);
  /// Time that a denial holds.
  static constexpr Duration kDenialLife = milliseconds(100);
  /// Rate, in requests per second, at which an upstream with a lower limit is
  /// used all the same, since only its responses show that the limit has ended.
  static constexpr double kMinRate = 0.25;
  /// Unused permits that an owner saves at most, and further ones by time, so
  /// that low limits are used although requests come at random.
  static constexpr double kSavedPermits = 3;
  static constexpr double kSavedSeconds = 0.1;
  /// Bounds of the retry delay suggested to callers, before it is spread.
  static constexpr Duration kMinRetryDelay = seconds(1);
  static constexpr Duration kMaxRetryDelay = seconds(30);

  /// Longest time that a host stays away beyond what an upstream has asked for.
  static constexpr Duration kMaxReturnSpread = milliseconds(500);

  using OwnerFunction = std::function<std::optional<HostId>(const UpstreamId&)>;

  RateLimits(HostId aSelf, uint64_t aSeed);

  /// Sets the entry hosts in reach, this one among them, and the number of all
  /// known ones, those that are down included.
  void SetHosts(Instant aNow, std::set<HostId> aReachable, size_t aKnown);
  /// Determines the hosts that grant permits by `aOwnerOf`, which returns none
  /// for an upstream that gets no requests, instead of by the hosts in reach;
  /// they grant the whole limit.
  void SetOwners(OwnerFunction aOwnerOf) { m_ownerOf = std::move(aOwnerOf); }
  /// Called when the result of the function may have changed. This host, as an
  /// owner, grants nothing before `aGrantsFrom`.
  void UpdateOwners(Instant aNow, Instant aGrantsFrom);
  /// Sets the limit of an upstream without notice to other hosts.
  void SetLimit(Instant aNow,
                const UpstreamId& aUpstream,
                uint64_t aIncarnation,
                std::optional<double> aPerSecond);
  /// Takes requests that were sent without a permit off those that this owner
  /// can grant.
  void Charge(Instant aNow, const UpstreamId& aUpstream, uint32_t aCount);
  /// Records the limit of a response, in requests per second; nothing if the
  /// response names none.
  void RecordResponse(Instant aNow,
                      const UpstreamId& aUpstream,
                      uint64_t aIncarnation,
                      std::optional<double> aPerSecond);
  /// Sends an upstream nothing from this host for a time that it has asked for,
  /// and a random part of `kMaxReturnSpread` more, so that hosts return one
  /// after the other.
  void HoldBack(Instant aNow,
                const UpstreamId& aUpstream,
                uint64_t aIncarnation,
                Duration aTime);
  void Receive(Instant aNow,
               const HostId& aFrom,
               const RateLimitUpdate& aUpdate);

  /// Drops the limits of upstreams for which `aIsKnown` returns false.
  void Retain(const std::function<bool(const UpstreamId&)>& aIsKnown);

  bool IsLimited(const UpstreamId& aUpstream, uint64_t aIncarnation) const;
  /// Returns the limit of an upstream in requests per second, if it has one.
  std::optional<double> LimitOf(const UpstreamId& aUpstream,
                                uint64_t aIncarnation) const;
  /// Returns whether this host is not held back from an upstream, and the
  /// upstream has no limit or this host holds a permit.
  bool MaySend(Instant aNow,
               const UpstreamId& aUpstream,
               uint64_t aIncarnation) const;
  /// Returns the retry delay for requests of a rank if this host is held back
  /// from an upstream or the owner has denied permits; nothing while permits
  /// may be granted.
  std::optional<Duration> DeniedFor(Instant aNow,
                                    const UpstreamId& aUpstream,
                                    Rank aRank) const;
  /// Returns how many permits of an upstream the owner may still grant.
  size_t Expected(Instant aNow, const UpstreamId& aUpstream) const;
  /// Asks for a permit, once per `kRequestLife` and ticket.
  void Want(Instant aNow, const Ticket& aTicket, const UpstreamId& aUpstream);
  /// Uses up a permit for a request that is sent.
  void Use(Instant aNow, const UpstreamId& aUpstream);

  void Tick(Instant aNow);
  /// Whether requests for permits are waiting, which `Tick` handles.
  bool IsBusy() const;
  std::vector<RateLimitSend> TakeSends();
  /// Draws a retry delay around a suggested one, so that callers do not return
  /// together.
  Duration SpreadRetryDelay(Duration aDelay);

private:
  struct Waiting
  {
    HostId m_host;
    uint64_t m_requestId = 0;
    uint32_t m_count = 0;
    Instant m_expiresAt;
  };
  /// Tickets that need a permit, not yet asked for.
  struct Wanted
  {
    uint32_t m_count = 0;
    /// When the first of them is refused.
    Instant m_placeBy;
  };
  /// Permits that were asked for and may still be granted.
  struct Asked
  {
    uint32_t m_count = 0;
    Instant m_expiresAt;
  };
  static constexpr size_t kRankCount = 2;

  struct Limit
  {
    RateLimitRow m_row;
    /// When the permits that this host holds expire.
    std::deque<Instant> m_permits;
    std::array<Wanted, kRankCount> m_wanted;
    /// By the id of the request.
    std::map<uint64_t, Asked> m_asked;
    Instant m_requestedAt;
    std::array<Instant, kRankCount> m_deniedUntil{};
    Duration m_retryDelay{ 0 };

    // Used by the owner.
    bool m_isOwned = false;
    double m_saved = 0;
    Instant m_accruedAt;
    std::array<std::deque<Waiting>, kRankCount> m_waiting;
    /// Requests that were received, and until when a second copy is ignored.
    std::map<std::pair<HostId, uint64_t>, Instant> m_received;
    /// Requests denied recently, decaying by half each second.
    double m_denied = 0;
    Instant m_deniedAt;
  };

  /// What one incarnation of an upstream has asked of this host alone.
  struct HeldBack
  {
    uint64_t m_incarnation = 0;
    Instant m_until;
  };
  const HeldBack* FindHeldBack(Instant aNow, const UpstreamId& aUpstream) const;
  std::optional<HostId> OwnerOf(const UpstreamId& aUpstream) const;
  /// Returns the share of the limits that this host grants as an owner.
  double Share() const;
  double RateOf(const Limit& aLimit) const;
  bool Merge(Instant aNow, const RateLimitRow& aRow);
  void UpdateOwnership(Instant aNow, Limit& aLimit);
  /// Removes permits from those that a request may still be granted. Returns
  /// how many of `aCount` were among them: none if the request is unknown, has
  /// expired or is answered already.
  static uint32_t TakeAsked(Instant aNow,
                            Limit& aLimit,
                            uint64_t aRequestId,
                            uint32_t aCount);
  void ReceiveRequest(Instant aNow,
                      const HostId& aFrom,
                      const PermitRequest& aRequest);
  void Deny(Instant aNow,
            Limit& aLimit,
            const HostId& aTo,
            const PermitRequest& aRequest);
  void Grant(Instant aNow, Limit& aLimit);
  void Accept(Instant aNow, const PermitGrant& aGrant);
  void Accept(Instant aNow, const PermitDenial& aDenial);
  void SendRequests(Instant aNow, Limit& aLimit);
  RateLimitUpdate& UpdateFor(const HostId& aHost) { return m_sends[aHost]; }

  HostId m_self;
  std::mt19937_64 m_random;
  /// When new owners may grant, and the first permits may be saved.
  Instant GrantsFrom(Instant aNow) const;

  OwnerFunction m_ownerOf;
  Instant m_grantsFrom;
  std::set<HostId> m_reachable;
  size_t m_known = 1;
  std::map<UpstreamId, Limit> m_limits;
  std::map<UpstreamId, HeldBack> m_heldBack;
  /// When tickets may ask for a permit again.
  std::map<RequestId, Instant> m_askedUntil;
  std::map<HostId, RateLimitUpdate> m_sends;
  uint64_t m_nextRequestId;
};

} // namespace persimmontally

#endif
