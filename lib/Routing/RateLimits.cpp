#include "persimmontally/Routing/RateLimits.h"

#include "persimmontally/Support/Crypto.h"

#include <algorithm>
#include <cmath>

namespace persimmontally {

static constexpr double kMilli = 1000;
/// Age up to which a second copy of a message is recognized.
static constexpr Duration kMaxMessageAge = seconds(3);
/// Longest round trip between hosts that is expected.
static constexpr Duration kMaxRoundTrip = milliseconds(50);

RateLimits::RateLimits(HostId aSelf, uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_random(aSeed)
  , m_reachable{ m_self }
  , m_nextRequestId(m_random())
{
}

void RateLimits::SetHosts(Instant aNow,
                          std::set<HostId> aReachable,
                          size_t aKnown)
{
  std::vector<HostId> joined;
  std::set_difference(aReachable.begin(),
                      aReachable.end(),
                      m_reachable.begin(),
                      m_reachable.end(),
                      std::back_inserter(joined));
  m_reachable = std::move(aReachable);
  m_reachable.insert(m_self);
  m_known = std::max(aKnown, m_reachable.size());
  for (auto& [id, limit] : m_limits) {
    UpdateOwnership(aNow, limit);
    for (const HostId& host : joined) {
      if (limit.m_isOwned && limit.m_row.m_isLimited) {
        UpdateFor(host).m_rows.push_back(limit.m_row);
      }
    }
  }
}

std::optional<HostId> RateLimits::OwnerOf(const UpstreamId& aUpstream) const
{
  if (m_ownerOf) {
    return m_ownerOf(aUpstream);
  }
  return *std::max_element(m_reachable.begin(),
                           m_reachable.end(),
                           [&](const HostId& aLeft, const HostId& aRight) {
                             auto weight = [&](const HostId& aHost) {
                               return StableHash(aUpstream.Value() + "/" +
                                                 aHost.Value());
                             };
                             return weight(aLeft) < weight(aRight);
                           });
}

double RateLimits::RateOf(const Limit& aLimit) const
{
  double named = static_cast<double>(aLimit.m_row.m_milliPerSecond) / kMilli;
  return std::max(named, kMinRate) * Share();
}

double RateLimits::Share() const
{
  return m_ownerOf ? 1
                   : static_cast<double>(m_reachable.size()) /
                       static_cast<double>(m_known);
}

Instant RateLimits::GrantsFrom(Instant aNow) const
{
  return m_ownerOf ? std::max(aNow, m_grantsFrom) : aNow + kPermitLife;
}

void RateLimits::UpdateOwners(Instant aNow, Instant aGrantsFrom)
{
  m_grantsFrom = aGrantsFrom;
  for (auto& [id, limit] : m_limits) {
    UpdateOwnership(aNow, limit);
  }
}

void RateLimits::SetLimit(Instant aNow,
                          const UpstreamId& aUpstream,
                          uint64_t aIncarnation,
                          std::optional<double> aPerSecond)
{
  auto at = m_limits.find(aUpstream);
  if (at == m_limits.end() && !aPerSecond) {
    return;
  }
  Limit& limit = m_limits[aUpstream];
  RateLimitRow row = { aUpstream, aIncarnation, 0, aPerSecond.has_value(), 0 };
  row.m_milliPerSecond =
    static_cast<uint64_t>(std::llround(aPerSecond.value_or(0) * kMilli));
  if (row == limit.m_row) {
    return;
  }
  if (!limit.m_row.m_isLimited || limit.m_row.m_incarnation != aIncarnation) {
    limit = Limit();
    // Permits that a previous owner granted are used or expire first.
    limit.m_accruedAt = GrantsFrom(aNow);
  }
  limit.m_row = row;
  limit.m_isOwned = OwnerOf(aUpstream) == m_self;
}

void RateLimits::Charge(Instant aNow,
                        const UpstreamId& aUpstream,
                        uint32_t aCount)
{
  auto at = m_limits.find(aUpstream);
  if (at != m_limits.end() && at->second.m_isOwned) {
    Grant(aNow, at->second);
    at->second.m_saved =
      std::max(-RateOf(at->second), at->second.m_saved - aCount);
  }
}

void RateLimits::UpdateOwnership(Instant aNow, Limit& aLimit)
{
  bool isOwned = OwnerOf(aLimit.m_row.m_upstream) == m_self;
  if (std::exchange(aLimit.m_isOwned, isOwned) == isOwned) {
    return;
  }
  aLimit.m_saved = 0;
  // The permits of the previous owner are used or expire first.
  aLimit.m_accruedAt = GrantsFrom(aNow);
  aLimit.m_waiting = {};
}

// Limits that responses and peers name.

void RateLimits::RecordResponse(Instant aNow,
                                const UpstreamId& aUpstream,
                                uint64_t aIncarnation,
                                std::optional<double> aPerSecond)
{
  auto at = m_limits.find(aUpstream);
  if (at == m_limits.end() && !aPerSecond) {
    return;
  }
  RateLimitRow row;
  if (at != m_limits.end()) {
    row = at->second.m_row;
  }
  if (aIncarnation < row.m_incarnation) {
    return;
  }
  RateLimitRow known = row;
  row.m_upstream = aUpstream;
  row.m_incarnation = aIncarnation;
  row.m_isLimited = aPerSecond.has_value();
  row.m_milliPerSecond =
    static_cast<uint64_t>(std::llround(aPerSecond.value_or(0) * kMilli));
  if (row == known) {
    return;
  }
  ++row.m_version;
  Merge(aNow, row);
  for (const HostId& host : m_reachable) {
    if (host != m_self) {
      UpdateFor(host).m_rows.push_back(row);
    }
  }
}

/// Returns whether the row has replaced the known one.
bool RateLimits::Merge(Instant aNow, const RateLimitRow& aRow)
{
  auto [at, isNew] = m_limits.try_emplace(aRow.m_upstream);
  Limit& limit = at->second;
  auto order = [](const RateLimitRow& aSide) {
    return std::tuple(aSide.m_incarnation, aSide.m_version, aSide.m_isLimited);
  };
  if (!isNew && order(aRow) <= order(limit.m_row)) {
    return false;
  }
  bool isSame = aRow.m_incarnation == limit.m_row.m_incarnation;
  if (isNew || !isSame || !limit.m_row.m_isLimited) {
    limit = Limit();
    limit.m_accruedAt = aNow;
  }
  limit.m_row = aRow;
  limit.m_isOwned = OwnerOf(aRow.m_upstream) == m_self;
  return true;
}

bool RateLimits::IsLimited(const UpstreamId& aUpstream,
                           uint64_t aIncarnation) const
{
  auto at = m_limits.find(aUpstream);
  return at != m_limits.end() && at->second.m_row.m_isLimited &&
         at->second.m_row.m_incarnation == aIncarnation;
}

std::optional<double> RateLimits::LimitOf(const UpstreamId& aUpstream,
                                          uint64_t aIncarnation) const
{
  if (!IsLimited(aUpstream, aIncarnation)) {
    return std::nullopt;
  }
  return static_cast<double>(m_limits.at(aUpstream).m_row.m_milliPerSecond) /
         kMilli;
}

void RateLimits::Retain(const std::function<bool(const UpstreamId&)>& aIsKnown)
{
  auto isUnknown = [&](const auto& aItem) { return !aIsKnown(aItem.first); };
  std::erase_if(m_limits, isUnknown);
  std::erase_if(m_heldBack, isUnknown);
}

void RateLimits::HoldBack(Instant aNow,
                          const UpstreamId& aUpstream,
                          uint64_t aIncarnation,
                          Duration aTime)
{
  std::uniform_int_distribution<Duration::rep> spread(0,
                                                      kMaxReturnSpread.count());
  HeldBack& held = m_heldBack[aUpstream];
  Instant until = aNow + aTime + Duration(spread(m_random));
  bool isSame = held.m_incarnation == aIncarnation;
  held = { aIncarnation, isSame ? std::max(held.m_until, until) : until };
}

const RateLimits::HeldBack* RateLimits::FindHeldBack(
  Instant aNow,
  const UpstreamId& aUpstream) const
{
  auto at = m_heldBack.find(aUpstream);
  bool isHeld = at != m_heldBack.end() && aNow < at->second.m_until;
  return isHeld ? &at->second : nullptr;
}

bool RateLimits::MaySend(Instant aNow,
                         const UpstreamId& aUpstream,
                         uint64_t aIncarnation) const
{
  const HeldBack* held = FindHeldBack(aNow, aUpstream);
  if (held != nullptr && held->m_incarnation == aIncarnation) {
    return false;
  }
  if (!IsLimited(aUpstream, aIncarnation)) {
    return true;
  }
  const std::deque<Instant>& permits = m_limits.at(aUpstream).m_permits;
  return !permits.empty() && permits.back() > aNow;
}

// Permits of this host.

void RateLimits::Want(Instant aNow,
                      const Ticket& aTicket,
                      const UpstreamId& aUpstream)
{
  auto at = m_limits.find(aUpstream);
  Instant& askedUntil = m_askedUntil[aTicket.m_id];
  if (at == m_limits.end() || aNow < askedUntil ||
      aTicket.m_placeBy < aNow + kMaxRoundTrip) {
    return;
  }
  askedUntil = aNow + kRequestLife;
  if (!DeniedFor(aNow, aUpstream, aTicket.m_rank)) {
    Wanted& wanted = at->second.m_wanted[static_cast<size_t>(aTicket.m_rank)];
    wanted.m_placeBy = wanted.m_count == 0
                         ? aTicket.m_placeBy
                         : std::min(wanted.m_placeBy, aTicket.m_placeBy);
    ++wanted.m_count;
    SendRequests(aNow, at->second);
  }
}

void RateLimits::Use(Instant aNow, const UpstreamId& aUpstream)
{
  auto at = m_limits.find(aUpstream);
  if (at == m_limits.end()) {
    return;
  }
  std::deque<Instant>& permits = at->second.m_permits;
  while (!permits.empty() && permits.front() <= aNow) {
    permits.pop_front();
  }
  if (!permits.empty()) {
    permits.pop_front();
  }
}

size_t RateLimits::Expected(Instant aNow, const UpstreamId& aUpstream) const
{
  auto at = m_limits.find(aUpstream);
  if (at == m_limits.end()) {
    return 0;
  }
  size_t expected = 0;
  for (const auto& [id, asked] : at->second.m_asked) {
    expected += asked.m_expiresAt > aNow ? asked.m_count : 0;
  }
  return expected;
}

std::optional<Duration> RateLimits::DeniedFor(Instant aNow,
                                              const UpstreamId& aUpstream,
                                              Rank aRank) const
{
  if (const HeldBack* held = FindHeldBack(aNow, aUpstream)) {
    return std::max<Duration>(kMinRetryDelay, held->m_until - aNow);
  }
  auto at = m_limits.find(aUpstream);
  if (at == m_limits.end() ||
      aNow >= at->second.m_deniedUntil[static_cast<size_t>(aRank)]) {
    return std::nullopt;
  }
  return at->second.m_retryDelay;
}

void RateLimits::SendRequests(Instant aNow, Limit& aLimit)
{
  if (aNow < aLimit.m_requestedAt + kRequestPeriod) {
    return;
  }
  const UpstreamId& upstream = aLimit.m_row.m_upstream;
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    Wanted wanted = std::exchange(aLimit.m_wanted[rank], Wanted());
    Duration life =
      std::min<Duration>(kRequestLife, wanted.m_placeBy - aNow - kMaxRoundTrip);
    if (wanted.m_count == 0 || life <= Duration(0)) {
      continue;
    }
    auto owner = OwnerOf(upstream);
    if (!owner) {
      continue;
    }
    aLimit.m_requestedAt = aNow;
    PermitRequest request;
    request.m_id = m_nextRequestId++;
    request.m_upstream = upstream;
    request.m_rank = static_cast<Rank>(rank);
    request.m_count = wanted.m_count;
    request.m_lifeMs = static_cast<uint32_t>(ToMilliseconds(life));
    aLimit.m_asked[request.m_id] = { wanted.m_count,
                                     aNow + life + kMaxRoundTrip };
    if (owner == m_self) {
      ReceiveRequest(aNow, m_self, request);
      continue;
    }
    RateLimitUpdate& update = UpdateFor(*owner);
    if (!m_ownerOf) {
      update.m_rows.push_back(aLimit.m_row);
    }
    update.m_requests.push_back(request);
  }
}

uint32_t RateLimits::TakeAsked(Instant aNow,
                               Limit& aLimit,
                               uint64_t aRequestId,
                               uint32_t aCount)
{
  auto at = aLimit.m_asked.find(aRequestId);
  if (at == aLimit.m_asked.end() || at->second.m_expiresAt <= aNow) {
    return 0;
  }
  uint32_t count = std::min(aCount, at->second.m_count);
  at->second.m_count -= count;
  if (at->second.m_count == 0) {
    aLimit.m_asked.erase(at);
  }
  return count;
}

void RateLimits::Accept(Instant aNow, const PermitGrant& aGrant)
{
  if (IsLimited(aGrant.m_upstream, aGrant.m_incarnation)) {
    Limit& limit = m_limits.at(aGrant.m_upstream);
    uint32_t count = TakeAsked(aNow, limit, aGrant.m_requestId, aGrant.m_count);
    limit.m_permits.insert(limit.m_permits.end(), count, aNow + kPermitLife);
  }
}

void RateLimits::Accept(Instant aNow, const PermitDenial& aDenial)
{
  auto at = m_limits.find(aDenial.m_upstream);
  auto rank = static_cast<size_t>(aDenial.m_rank);
  if (at != m_limits.end() && rank < kRankCount) {
    if (TakeAsked(aNow, at->second, aDenial.m_requestId, aDenial.m_count) > 0) {
      at->second.m_deniedUntil[rank] = aNow + kDenialLife;
      at->second.m_retryDelay = milliseconds(aDenial.m_retryAfterMs);
    }
  }
}

// Division of a limit by its owner.

void RateLimits::Receive(Instant aNow,
                         const HostId& aFrom,
                         const RateLimitUpdate& aUpdate)
{
  for (const RateLimitRow& row : aUpdate.m_rows) {
    Merge(aNow, row);
  }
  for (const PermitRequest& request : aUpdate.m_requests) {
    ReceiveRequest(aNow, aFrom, request);
  }
  for (const PermitGrant& grant : aUpdate.m_grants) {
    Accept(aNow, grant);
  }
  for (const PermitDenial& denial : aUpdate.m_denials) {
    Accept(aNow, denial);
  }
}

void RateLimits::ReceiveRequest(Instant aNow,
                                const HostId& aFrom,
                                const PermitRequest& aRequest)
{
  auto at = m_limits.find(aRequest.m_upstream);
  auto rank = static_cast<size_t>(aRequest.m_rank);
  if (at == m_limits.end() || !at->second.m_isOwned || rank >= kRankCount) {
    return;
  }
  Limit& limit = at->second;
  if (!limit.m_received
         .try_emplace({ aFrom, aRequest.m_id }, aNow + kMaxMessageAge)
         .second) {
    return;
  }
  // Urgent requests go first, so only those delay them.
  uint32_t ahead = 0;
  for (size_t i = 0; i <= rank; ++i) {
    for (const Waiting& waiting : limit.m_waiting[i]) {
      ahead += waiting.m_count;
    }
  }
  double served =
    std::max(1.0, RateOf(limit) * ToSeconds(kRequestLife) + limit.m_saved);
  auto room = static_cast<uint32_t>(served);
  uint32_t accepted =
    std::min(aRequest.m_count, room > ahead ? room - ahead : 0);
  if (accepted > 0) {
    Duration life =
      std::min<Duration>(kRequestLife, milliseconds(aRequest.m_lifeMs));
    limit.m_waiting[rank].push_back(
      { aFrom, aRequest.m_id, accepted, aNow + life });
  }
  if (accepted < aRequest.m_count) {
    PermitRequest denied = aRequest;
    denied.m_count -= accepted;
    Deny(aNow, limit, aFrom, denied);
  }
  Grant(aNow, limit);
}

void RateLimits::Deny(Instant aNow,
                      Limit& aLimit,
                      const HostId& aTo,
                      const PermitRequest& aRequest)
{
  aLimit.m_denied *= std::exp2(-ToSeconds(aNow - aLimit.m_deniedAt));
  aLimit.m_denied += aRequest.m_count;
  aLimit.m_deniedAt = aNow;
  // The time in which the upstream could serve what is denied.
  auto delay = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aLimit.m_denied / RateOf(aLimit)));
  delay = std::clamp<Duration>(delay, kMinRetryDelay, kMaxRetryDelay);
  PermitDenial denial{ aRequest.m_id,
                       aRequest.m_upstream,
                       aRequest.m_rank,
                       aRequest.m_count,
                       static_cast<uint32_t>(ToMilliseconds(delay)) };
  if (aTo == m_self) {
    Accept(aNow, denial);
  } else {
    UpdateFor(aTo).m_denials.push_back(denial);
  }
}

void RateLimits::Grant(Instant aNow, Limit& aLimit)
{
  double rate = RateOf(aLimit);
  if (aNow > aLimit.m_accruedAt) {
    aLimit.m_saved += ToSeconds(aNow - aLimit.m_accruedAt) * rate;
    aLimit.m_saved =
      std::min(aLimit.m_saved,
               std::max(1.0, Share() * kSavedPermits) + rate * kSavedSeconds);
    aLimit.m_accruedAt = aNow;
  }
  const RateLimitRow& row = aLimit.m_row;
  for (std::deque<Waiting>& waiting : aLimit.m_waiting) {
    std::erase_if(
      waiting, [&](const Waiting& aItem) { return aItem.m_expiresAt <= aNow; });
    while (!waiting.empty() && aLimit.m_saved >= 1) {
      Waiting& first = waiting.front();
      auto count =
        std::min(first.m_count, static_cast<uint32_t>(aLimit.m_saved));
      aLimit.m_saved -= count;
      first.m_count -= count;
      PermitGrant grant{
        first.m_requestId, row.m_upstream, row.m_incarnation, count
      };
      if (first.m_host == m_self) {
        Accept(aNow, grant);
      } else {
        UpdateFor(first.m_host).m_grants.push_back(grant);
      }
      if (first.m_count == 0) {
        waiting.pop_front();
      }
    }
  }
}

void RateLimits::Tick(Instant aNow)
{
  for (auto& [id, limit] : m_limits) {
    if (!limit.m_row.m_isLimited) {
      continue;
    }
    std::erase_if(limit.m_asked, [&](const auto& aItem) {
      return aItem.second.m_expiresAt <= aNow;
    });
    std::erase_if(limit.m_received,
                  [&](const auto& aItem) { return aItem.second <= aNow; });
    SendRequests(aNow, limit);
    if (limit.m_isOwned) {
      Grant(aNow, limit);
    }
  }
  std::erase_if(m_askedUntil,
                [&](const auto& aItem) { return aItem.second <= aNow; });
}

bool RateLimits::IsBusy() const
{
  return std::any_of(m_limits.begin(), m_limits.end(), [](const auto& aItem) {
    const Limit& limit = aItem.second;
    return limit.m_wanted[0].m_count + limit.m_wanted[1].m_count > 0 ||
           !limit.m_waiting[0].empty() || !limit.m_waiting[1].empty();
  });
}

std::vector<RateLimitSend> RateLimits::TakeSends()
{
  std::vector<RateLimitSend> sends;
  for (auto& [host, update] : std::exchange(m_sends, {})) {
    sends.push_back({ host, std::move(update) });
  }
  return sends;
}

Duration RateLimits::SpreadRetryDelay(Duration aDelay)
{
  std::uniform_real_distribution<double> draw(0.5, 1.5);
  return std::chrono::duration_cast<Duration>(aDelay * draw(m_random));
}

} // namespace persimmontally
