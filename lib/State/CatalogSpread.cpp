#include "persimmontally/State/CatalogSpread.h"

#include "persimmontally/Support/Crypto.h"

#include <algorithm>
#include <cstring>
#include <set>

namespace persimmontally {

static CatalogDigest DigestOf(const std::string& aKey, const std::string& aData)
{
  std::string hash = HmacSha256(aKey, aData);
  CatalogDigest digest{};
  std::memcpy(digest.data(), hash.data(), sizeof digest);
  return digest;
}

static void AddDigest(CatalogDigest& aSum, const CatalogDigest& aItem)
{
  aSum[0] += aItem[0];
  aSum[1] += aItem[1];
}

static void SubtractDigest(CatalogDigest& aSum, const CatalogDigest& aItem)
{
  aSum[0] -= aItem[0];
  aSum[1] -= aItem[1];
}

/// Sets or, without data, removes an item and updates the digest.
static void ChangeItem(std::map<std::string, std::string>& aItems,
                       CatalogDigest& aDigest,
                       const std::string& aKey,
                       const std::string* aData)
{
  auto known = aItems.find(aKey);
  if (known != aItems.end()) {
    SubtractDigest(aDigest, DigestOf(aKey, known->second));
    if (aData == nullptr) {
      aItems.erase(known);
      return;
    }
  }
  if (aData != nullptr) {
    AddDigest(aDigest, DigestOf(aKey, *aData));
    aItems[aKey] = *aData;
  }
}

static size_t SizeOf(const CatalogUpdate& aUpdate)
{
  size_t size = sizeof(CatalogUpdate);
  for (const CatalogItem& item : aUpdate.m_changed) {
    size += item.m_key.size() + item.m_data.size();
  }
  for (const std::string& key : aUpdate.m_removed) {
    size += key.size();
  }
  return size;
}

/// Returns the source that serves a host: one in its data centre, else in its
/// region, else any. All hosts with the same view choose the same one.
static HostId SourceOf(const SpreadPeer& aHost,
                       const std::vector<const SpreadPeer*>& aSources)
{
  HostId best;
  std::pair<int, uint64_t> leastCost;
  for (const SpreadPeer* source : aSources) {
    int distance = 2;
    if (source->m_dataCentre == aHost.m_dataCentre) {
      distance = 0;
    } else if (source->m_region == aHost.m_region) {
      distance = 1;
    }
    std::pair<int, uint64_t> cost(
      distance,
      StableHash(aHost.m_host.Value() + "/" + source->m_host.Value()));
    if (best.Empty() || cost < leastCost) {
      best = source->m_host;
      leastCost = cost;
    }
  }
  return best;
}

void CatalogSpread::SetPeers(std::vector<SpreadPeer> aPeers)
{
  m_peers = std::move(aPeers);
  if (!m_options.m_isSource) {
    return;
  }
  SpreadPeer self;
  self.m_host = m_options.m_host;
  self.m_dataCentre = m_options.m_dataCentre;
  self.m_region = m_options.m_region;
  std::vector<const SpreadPeer*> sources{ &self };
  for (const SpreadPeer& peer : m_peers) {
    if (peer.m_isSource) {
      sources.push_back(&peer);
    }
  }
  std::map<HostId, Target> targets;
  for (const SpreadPeer& peer : m_peers) {
    if (peer.m_isSource || SourceOf(peer, sources) != self.m_host) {
      continue;
    }
    auto known = m_targets.find(peer.m_host);
    Target target = known == m_targets.end() ? Target() : known->second;
    target.m_peer = peer.m_peer;
    targets.emplace(peer.m_host, std::move(target));
  }
  m_targets = std::move(targets);
}

void CatalogSpread::Tick(Instant aNow)
{
  if (m_options.m_isSource) {
    PushUpdates(aNow);
  } else {
    PullIfBehind(aNow);
  }
}

// The catalog of a source.

void CatalogSpread::Publish(Instant aNow,
                            const std::string& aGroup,
                            uint64_t aIndex,
                            uint64_t aVersion,
                            std::vector<CatalogItem> aItems)
{
  if (aIndex <= m_index) {
    return;
  }
  Change change{ m_index, aIndex, {} };
  std::set<std::string> keys;
  for (const CatalogItem& item : aItems) {
    keys.insert(item.m_key);
    auto known = m_items.find(item.m_key);
    if (known == m_items.end() || known->second != item.m_data) {
      ChangeItem(m_items, m_digest, item.m_key, &item.m_data);
      change.m_keys.push_back(item.m_key);
    }
  }
  std::vector<std::string> removed;
  for (const auto& [key, data] : m_items) {
    if (!keys.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    ChangeItem(m_items, m_digest, key, nullptr);
    change.m_keys.push_back(key);
  }
  m_group = aGroup;
  m_index = aIndex;
  m_version = aVersion;
  // Before the first catalog of this process there is nothing to compare with:
  // hosts that are behind pull.
  if (change.m_baseIndex > 0) {
    m_changes.push_back(std::move(change));
    if (m_changes.size() > m_options.m_maxChanges) {
      m_changes.pop_front();
    }
    PushUpdates(aNow);
  }
}

/// Returns the difference between the catalog at an index and the present one:
/// the present items of all keys that have changed since. Returns the whole
/// catalog if the changes since then are no longer known.
CatalogUpdate CatalogSpread::UpdateSince(uint64_t aIndex) const
{
  CatalogUpdate update;
  update.m_group = m_group;
  update.m_index = m_index;
  update.m_version = m_version;
  update.m_digest = m_digest;
  bool isKnown =
    aIndex > 0 && !m_changes.empty() && aIndex >= m_changes.front().m_baseIndex;
  if (!isKnown) {
    for (const auto& [key, data] : m_items) {
      update.m_changed.push_back({ key, data });
    }
    return update;
  }
  update.m_baseIndex = aIndex;
  std::set<std::string> keys;
  for (const Change& change : m_changes) {
    if (change.m_index > aIndex) {
      keys.insert(change.m_keys.begin(), change.m_keys.end());
    }
  }
  for (const std::string& key : keys) {
    auto at = m_items.find(key);
    if (at == m_items.end()) {
      update.m_removed.push_back(key);
    } else {
      update.m_changed.push_back({ key, at->second });
    }
  }
  return update;
}

void CatalogSpread::PushUpdates(Instant aNow)
{
  if (m_changes.empty()) {
    return;
  }
  std::map<uint64_t, std::vector<Target*>> due;
  for (auto& [host, target] : m_targets) {
    uint64_t base = target.m_sentIndex.value_or(m_changes.back().m_baseIndex);
    if (base < m_index && target.m_nextSendAt <= aNow) {
      due[base].push_back(&target);
    }
  }
  for (const auto& [base, targets] : due) {
    CatalogUpdate update = UpdateSince(base);
    auto pause =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(SizeOf(update)) / m_options.m_bytesPerSecond));
    std::vector<Endpoint> to;
    for (Target* target : targets) {
      target->m_sentIndex = m_index;
      target->m_nextSendAt = aNow + std::min<Duration>(pause, kMaxPause);
      to.push_back(target->m_peer);
    }
    m_sends.push_back({ std::move(to), std::move(update) });
  }
}

void CatalogSpread::Receive(Instant, const CatalogPull& aPull)
{
  if (!m_options.m_isSource || m_index <= aPull.m_index) {
    return;
  }
  bool isKnown =
    std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& aPeer) {
      return aPeer.m_host == aPull.m_from;
    });
  m_counters.m_unknownPulls += isKnown ? 0 : 1;
  m_sends.push_back({ { aPull.m_peer }, UpdateSince(aPull.m_index) });
  auto target = m_targets.find(aPull.m_from);
  if (target != m_targets.end()) {
    target->second.m_sentIndex = m_index;
  }
}

// The catalog of the other hosts.

bool CatalogSpread::Receive(Instant aNow, const CatalogUpdate& aUpdate)
{
  bool isSameGroup = m_group.empty() || m_group == aUpdate.m_group;
  m_counters.m_foreignUpdates += isSameGroup ? 0 : 1;
  if (m_options.m_isSource || !isSameGroup || aUpdate.m_index <= m_index) {
    return false;
  }
  bool isWhole = aUpdate.m_baseIndex == 0;
  bool isAfterGap = aUpdate.m_baseIndex > m_index;
  if (!isWhole && (isAfterGap || m_index == 0 || m_needsWhole)) {
    // The gossip of the index leads to a pull.
    return false;
  }
  if (isWhole) {
    m_items.clear();
    m_digest = {};
  }
  for (const CatalogItem& item : aUpdate.m_changed) {
    ChangeItem(m_items, m_digest, item.m_key, &item.m_data);
  }
  for (const std::string& key : aUpdate.m_removed) {
    ChangeItem(m_items, m_digest, key, nullptr);
  }
  if (m_digest != aUpdate.m_digest) {
    ++m_counters.m_mismatches;
    m_needsWhole = true;
    SendPull(aNow, 0);
    return false;
  }
  m_group = aUpdate.m_group;
  m_index = aUpdate.m_index;
  m_version = aUpdate.m_version;
  m_needsWhole = false;
  m_behindSince.reset();
  m_pulls = 0;
  return true;
}

const SpreadPeer* CatalogSpread::NewestSource() const
{
  const SpreadPeer* newest = nullptr;
  for (const SpreadPeer& peer : m_peers) {
    if (peer.m_isSource &&
        (newest == nullptr || peer.m_index > newest->m_index)) {
      newest = &peer;
    }
  }
  return newest;
}

uint64_t CatalogSpread::NewestIndex() const
{
  const SpreadPeer* newest = NewestSource();
  return newest == nullptr ? 0 : newest->m_index;
}

bool CatalogSpread::IsCurrent() const
{
  const SpreadPeer* newest = NewestSource();
  return m_index > 0 && (newest == nullptr || newest->m_index <= m_index);
}

void CatalogSpread::PullIfBehind(Instant aNow)
{
  const SpreadPeer* newest = NewestSource();
  if (newest == nullptr || newest->m_index <= m_index) {
    m_behindSince.reset();
    return;
  }
  if (!m_behindSince) {
    m_behindSince = aNow;
  }
  // A host that starts gets no push, and need not wait for one.
  bool isDue =
    m_index == 0 || m_needsWhole || aNow >= *m_behindSince + kPullDelay;
  if (isDue && aNow >= m_nextPullAt) {
    SendPull(aNow, m_needsWhole ? 0 : m_index);
  }
}

/// Requests an update from the nearest source that is newer, and from the
/// others in turn if it does not answer.
void CatalogSpread::SendPull(Instant aNow, uint64_t aIndex)
{
  std::vector<const SpreadPeer*> sources;
  for (const SpreadPeer& peer : m_peers) {
    if (peer.m_isSource && peer.m_index > m_index) {
      sources.push_back(&peer);
    }
  }
  if (sources.empty()) {
    return;
  }
  auto distance = [&](const SpreadPeer* aPeer) {
    if (aPeer->m_dataCentre == m_options.m_dataCentre) {
      return 0;
    }
    return aPeer->m_region == m_options.m_region ? 1 : 2;
  };
  std::stable_sort(
    sources.begin(), sources.end(), [&](const auto* aLeft, const auto* aRight) {
      return distance(aLeft) < distance(aRight);
    });
  m_nextPullAt = aNow + kPullDelay;
  ++m_counters.m_pullsSent;
  const SpreadPeer* source = sources[m_pulls++ % sources.size()];
  m_sends.push_back(
    { { source->m_peer },
      CatalogPull{ m_options.m_host, m_options.m_peer, aIndex } });
}

std::vector<SpreadSend> CatalogSpread::TakeSends()
{
  return std::exchange(m_sends, {});
}

} // namespace persimmontally
