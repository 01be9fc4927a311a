#include "persimmontally/Routing/ColdUpstreams.h"

#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Log.h"

#include <algorithm>

namespace persimmontally {

/// Orders the hosts that may lead.
static bool Outweighs(const HostId& aLeft, const HostId& aRight)
{
  return StableHash(aLeft.Value()) > StableHash(aRight.Value());
}

ColdUpstreams::ColdUpstreams(Instant aNow,
                             HostId aSelf,
                             DataCentreId aDataCentre,
                             uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_dataCentre(std::move(aDataCentre))
  , m_random(aSeed)
  , m_joinedAt(aNow + kJoinTime)
  , m_permits(m_self, m_random())
  , m_nextPoll(m_random())
{
  m_permits.SetOwners(
    [this](const UpstreamId& aUpstream) { return OwnerOf(aUpstream); });
  m_candidates = { { m_dataCentre, m_self } };
}

// The hosts, the upstreams and their words.

void ColdUpstreams::SetPeers(Instant aNow, std::vector<ColdPeer> aPeers)
{
  if (aPeers == m_peerList) {
    return;
  }
  m_peerList = aPeers;
  m_peers.clear();
  m_candidates = { { m_dataCentre, m_self } };
  m_knownVoters = 1;
  m_isFirst = true;
  for (ColdPeer& peer : aPeers) {
    if (IsVoter(peer)) {
      ++m_knownVoters;
      m_isFirst = m_isFirst && !Outweighs(peer.m_host, m_self);
    }
    if (peer.m_isEntry && peer.m_isReachable) {
      HostId& best =
        m_candidates.try_emplace(peer.m_dataCentre, peer.m_host).first->second;
      best = Outweighs(peer.m_host, best) ? peer.m_host : best;
    }
    m_peers[peer.m_host] = std::move(peer);
  }
  std::erase_if(m_votes, [&](const auto& aItem) {
    auto peer = m_peers.find(aItem.first);
    return aItem.first != m_self &&
           (peer == m_peers.end() || !IsVoter(peer->second));
  });
  UpdateLead(aNow);
}

void ColdUpstreams::SetUpstreams(Instant aNow,
                                 const UpstreamTable& aTable,
                                 const FindTerms& aFindTerms)
{
  std::erase_if(m_upstreams, [&](const auto& aItem) {
    return aTable.Find(aItem.first) == nullptr;
  });
  for (const auto& [id, entry] : aTable.Rows()) {
    auto terms = aFindTerms(entry.m_row.m_service);
    if (!terms || terms->m_perSecond <= 0) {
      m_upstreams.erase(id);
      continue;
    }
    auto [at, isNew] = m_upstreams.try_emplace(id);
    Upstream& upstream = at->second;
    if (isNew || upstream.m_incarnation != entry.m_row.m_incarnation) {
      upstream.m_incarnation = entry.m_row.m_incarnation;
      upstream.m_learnedAt = aNow;
      upstream.m_presumedUntil = aNow + terms->m_warmUpTime;
      m_nextAskAt = std::min(m_nextAskAt, aNow);
    }
    upstream.m_dataCentre = entry.m_row.m_dataCentre;
    upstream.m_terms = *terms;
  }
  m_permits.Retain(
    [&](const UpstreamId& aId) { return m_upstreams.contains(aId); });
  m_words.Retain(
    [&](const UpstreamId& aId) { return aTable.Find(aId) != nullptr; });
  UpdateColdness(aNow);
}

void ColdUpstreams::RecordWord(Instant aNow, const ColdWord& aWord)
{
  if (m_words.Record(aNow, aWord) == ColdWords::Result::Changed) {
    UpdateColdness(aNow);
  }
}

Duration ColdUpstreams::LeftOf(Instant aNow, const UpstreamId& aUpstream) const
{
  auto at = m_upstreams.find(aUpstream);
  if (at == m_upstreams.end()) {
    return Duration(0);
  }
  const Upstream& upstream = at->second;
  auto left = m_words.LeftOf(aNow, aUpstream, upstream.m_incarnation);
  return left.value_or(
    std::max<Duration>(Duration(0), upstream.m_presumedUntil - aNow));
}

void ColdUpstreams::UpdateColdness(Instant aNow)
{
  m_coldCount = 0;
  for (auto& [id, upstream] : m_upstreams) {
    Duration left = LeftOf(aNow, id);
    bool isCold = left > Duration(0);
    m_coldCount += isCold ? 1 : 0;
    upstream.m_isCold = isCold;
    // The word of an upstream that is warm follows its row at once.
    bool isCertain = m_words.LeftOf(aNow, id, upstream.m_incarnation) ||
                     aNow >= upstream.m_learnedAt + kAskPeriod;
    if ((isCertain || !isCold) &&
        std::exchange(upstream.m_isLoggedCold, isCold) != isCold) {
      WriteLog(LogLevel::Info,
               isCold ? "upstream_cold" : "upstream_warm",
               { { "upstream", id.Value() },
                 { "incarnation", upstream.m_incarnation },
                 { "left_ms", ToMilliseconds(left) } });
    }
    auto limit =
      isCold ? std::optional(upstream.m_terms.m_perSecond) : std::nullopt;
    m_permits.SetLimit(aNow, id, upstream.m_incarnation, limit);
  }
}

bool ColdUpstreams::IsCold(const UpstreamId& aUpstream,
                           uint64_t aIncarnation) const
{
  return m_permits.IsLimited(aUpstream, aIncarnation);
}

void ColdUpstreams::AskForWords(Instant aNow)
{
  if (aNow < m_nextAskAt) {
    return;
  }
  m_nextAskAt = aNow + kAskPeriod;
  std::vector<UpstreamId> lacking;
  for (const auto& [id, upstream] : m_upstreams) {
    bool isPresumed = aNow < upstream.m_presumedUntil;
    if (isPresumed && !m_words.LeftOf(aNow, id, upstream.m_incarnation)) {
      lacking.push_back(id);
    }
  }
  // Announcements reach control hosts, which know the words first.
  std::vector<HostId> hosts;
  std::vector<HostId> entryHosts;
  for (const auto& [id, peer] : m_peers) {
    if (peer.m_isReachable) {
      (peer.m_isEntry ? entryHosts : hosts).push_back(id);
    }
  }
  if (hosts.empty()) {
    hosts = std::move(entryHosts);
  }
  if (lacking.empty() || hosts.empty()) {
    return;
  }
  std::uniform_int_distribution<size_t> pick(0, hosts.size() - 1);
  UpdateFor(hosts[pick(m_random)]).m_asks = std::move(lacking);
}

// The leader of this host's data centre.

std::optional<HostId> ColdUpstreams::CandidateOf(
  const DataCentreId& aDataCentre) const
{
  auto at = m_candidates.find(aDataCentre);
  return at == m_candidates.end() ? std::nullopt : std::optional(at->second);
}

std::optional<HostId> ColdUpstreams::OwnerOf(const UpstreamId& aUpstream) const
{
  auto at = m_upstreams.find(aUpstream);
  if (at == m_upstreams.end()) {
    return std::nullopt;
  }
  if (at->second.m_dataCentre == m_dataCentre && m_leads) {
    return m_self;
  }
  auto candidate = CandidateOf(at->second.m_dataCentre);
  return candidate == m_self ? std::nullopt : candidate;
}

bool ColdUpstreams::Follow(Instant aNow, const HostId& aLeader)
{
  bool isFree = m_followed == aLeader || aNow >= m_followedUntil;
  if (aNow < m_joinedAt || !isFree) {
    return false;
  }
  if (std::exchange(m_followed, aLeader) != aLeader) {
    m_followedOtherUntil = m_followedUntil;
  }
  m_followedUntil = aNow + kPromise;
  return true;
}

void ColdUpstreams::Poll(Instant aNow)
{
  bool isNeeded =
    CandidateOf(m_dataCentre) == m_self &&
    std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& aItem) {
      return aItem.second.m_isCold && aItem.second.m_dataCentre == m_dataCentre;
    });
  if (!isNeeded || aNow < m_nextPollAt) {
    return;
  }
  m_nextPollAt = aNow + kPollPeriod;
  uint64_t poll = m_nextPoll++;
  m_polls[poll] = aNow;
  if (Follow(aNow, m_self)) {
    m_votes[m_self] = { aNow, IsFree(aNow) };
  }
  for (const auto& [id, peer] : m_peers) {
    if (IsVoter(peer) && peer.m_isReachable) {
      UpdateFor(id).m_polls.push_back(poll);
    }
  }
}

void ColdUpstreams::UpdateLead(Instant aNow)
{
  std::erase_if(m_polls, [&](const auto& aItem) {
    return aItem.second + kPromise <= aNow;
  });
  std::erase_if(m_votes, [&](const auto& aItem) {
    return aItem.second.m_polledAt + kPromise <= aNow;
  });
  bool leads = m_votes.contains(m_self) && IsMajority(m_votes.size());
  if (std::exchange(m_leads, leads) != leads) {
    auto free =
      std::count_if(m_votes.begin(), m_votes.end(), [](const auto& aItem) {
        return aItem.second.m_isFree;
      });
    // A leader before this one was followed by one of these hosts.
    bool isFree = IsMajority(static_cast<size_t>(free));
    m_grantsFrom = isFree ? aNow : aNow + kPermitRest;
    WriteLog(LogLevel::Info,
             leads ? "cold_lead_won" : "cold_lead_lost",
             { { "followers", m_votes.size() }, { "known", m_knownVoters } });
  }
  m_permits.UpdateOwners(aNow, m_grantsFrom);
}

// Messages.

void ColdUpstreams::Receive(Instant aNow,
                            const HostId& aFrom,
                            const ColdUpdate& aUpdate)
{
  for (const ColdWord& word : aUpdate.m_words) {
    RecordWord(aNow, word);
  }
  for (const UpstreamId& id : aUpdate.m_asks) {
    if (auto word = m_words.Find(aNow, id)) {
      UpdateFor(aFrom).m_words.push_back(*word);
    }
  }
  for (uint64_t poll : aUpdate.m_polls) {
    if (Follow(aNow, aFrom)) {
      UpdateFor(aFrom).m_votes.push_back({ poll, IsFree(aNow) });
    }
  }
  auto peer = m_peers.find(aFrom);
  for (const ColdVote& vote : aUpdate.m_votes) {
    auto at = m_polls.find(vote.m_poll);
    if (at != m_polls.end() && peer != m_peers.end() && IsVoter(peer->second)) {
      Vote& known = m_votes[aFrom];
      if (at->second > known.m_polledAt) {
        known = { at->second, vote.m_isFree };
      }
    }
  }
  UpdateLead(aNow);
  for (const ColdCharge& charge : aUpdate.m_charges) {
    if (IsCold(charge.m_upstream, charge.m_incarnation)) {
      m_permits.Charge(aNow, charge.m_upstream, charge.m_count);
    }
  }
  RateLimitUpdate permits;
  permits.m_requests = aUpdate.m_requests;
  permits.m_grants = aUpdate.m_grants;
  permits.m_denials = aUpdate.m_denials;
  m_permits.Receive(aNow, aFrom, permits);
}

void ColdUpstreams::Charge(Instant aNow, const UpstreamId& aUpstream)
{
  auto at = m_upstreams.find(aUpstream);
  if (at == m_upstreams.end() || !at->second.m_isCold) {
    return;
  }
  auto owner = OwnerOf(aUpstream);
  if (owner == m_self) {
    m_permits.Charge(aNow, aUpstream, 1);
  } else if (owner) {
    UpdateFor(*owner).m_charges.push_back(
      { aUpstream, at->second.m_incarnation, 1 });
  }
}

void ColdUpstreams::Tick(Instant aNow)
{
  if (m_upstreams.empty()) {
    return;
  }
  if (m_coldCount > 0) {
    UpdateColdness(aNow);
    Poll(aNow);
    AskForWords(aNow);
  }
  if (m_coldCount > 0 || m_leads) {
    UpdateLead(aNow);
  }
  m_permits.Tick(aNow);
}

std::vector<ColdSend> ColdUpstreams::TakeSends()
{
  for (RateLimitSend& send : m_permits.TakeSends()) {
    ColdUpdate& update = UpdateFor(send.m_to);
    update.m_requests = std::move(send.m_update.m_requests);
    update.m_grants = std::move(send.m_update.m_grants);
    update.m_denials = std::move(send.m_update.m_denials);
  }
  std::vector<ColdSend> sends;
  for (auto& [host, update] : std::exchange(m_sends, {})) {
    sends.push_back({ host, std::move(update) });
  }
  return sends;
}

} // namespace persimmontally
