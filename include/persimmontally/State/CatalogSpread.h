#ifndef PERSIMMONTALLY_STATE_CATALOGSPREAD_H
#define PERSIMMONTALLY_STATE_CATALOGSPREAD_H

#include "persimmontally/Support/Settings.h"
#include "persimmontally/Support/Time.h"
#include "persimmontally/Wire/Codec.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmontally {

struct SpreadOptions
{
  HostId m_host;
  Endpoint m_peer;
  DataCentreId m_dataCentre;
  RegionId m_region;
  /// Whether this host has the catalog from the replicated log and passes it
  /// on.
  bool m_isSource = false;
  /// Maximum rate at which one host is sent updates: a tenth of a link of 10
  /// Mbit/s, which carries the bytes of callers at the same time.
  double m_bytesPerSecond = 125'000;
  /// Number of changes that a source can join to one difference.
  size_t m_maxChanges = 64;
};

/// Local view of another live host.
struct SpreadPeer
{
  HostId m_host;
  DataCentreId m_dataCentre;
  RegionId m_region;
  Endpoint m_peer;
  bool m_isSource = false;
  /// Log index of a source's catalog.
  uint64_t m_index = 0;
};

/// Message to be sent to several hosts.
struct SpreadSend
{
  std::vector<Endpoint> m_to;
  PeerMessage m_message;
};

/// Numbers of messages since the start of this host.
struct SpreadCounters
{
  uint64_t m_pullsSent = 0;
  /// Pulls from hosts that were not among the local view's live hosts.
  uint64_t m_unknownPulls = 0;
  /// Updates of another group.
  uint64_t m_foreignUpdates = 0;
  /// Updates whose digest did not match.
  uint64_t m_mismatches = 0;

  bool operator==(const SpreadCounters&) const = default;
};

/// Spreads the catalog from the hosts that have it from the replicated log
/// (sources) to all others, as the changed items only. Each host is served by
/// one source, in its own data centre if there is one, so that the log and one
/// more hop reach all hosts. A host that misses an update, or whose source is
/// gone, learns of the newer index by gossip and pulls the difference to its
/// own catalog from another source. A digest shows that the differences add up
/// to the source's catalog; otherwise the host pulls the whole.
///
/// Load pattern: a series of changes to a few of thousands of routes, on
/// hundreds of hosts with narrow links.
class CatalogSpread
{
public:
  /// Time that a push is waited for before the difference is pulled.
  static constexpr Duration kPullDelay = milliseconds(200);
  /// Longest pause between two updates to one host, whatever their size.
  static constexpr Duration kMaxPause = seconds(1);

  explicit CatalogSpread(SpreadOptions aOptions)
    : m_options(std::move(aOptions))
  {
  }

  /// Replaces the local view of the other live hosts.
  void SetPeers(std::vector<SpreadPeer> aPeers);
  /// Sends the updates that are due, and pulls.
  void Tick(Instant aNow);
  /// Sets the catalog of a source.
  void Publish(Instant aNow,
               const std::string& aGroup,
               uint64_t aIndex,
               uint64_t aVersion,
               std::vector<CatalogItem> aItems);
  /// Applies an update. Returns whether the catalog has changed; the update
  /// then holds the changed items.
  bool Receive(Instant aNow, const CatalogUpdate& aUpdate);
  void Receive(Instant aNow, const CatalogPull& aPull);

  std::vector<SpreadSend> TakeSends();
  uint64_t Index() const { return m_index; }
  uint64_t Version() const { return m_version; }
  /// Returns whether the catalog is at least as new as that of every live
  /// source; without live sources, whether there is a catalog at all.
  bool IsCurrent() const;
  /// Returns since when this host has known of a newer catalog without getting
  /// it; empty if it knows of none.
  std::optional<Instant> BehindSince() const { return m_behindSince; }
  /// Returns the newest log index of the live sources.
  uint64_t NewestIndex() const;
  const SpreadCounters& Counters() const { return m_counters; }

private:
  /// Keys that changed between two indexes.
  struct Change
  {
    uint64_t m_baseIndex = 0;
    uint64_t m_index = 0;
    std::vector<std::string> m_keys;
  };
  /// A host that this source serves.
  struct Target
  {
    Endpoint m_peer;
    /// Index up to which updates were sent; empty if unknown.
    std::optional<uint64_t> m_sentIndex;
    Instant m_nextSendAt;
  };

  void PushUpdates(Instant aNow);
  CatalogUpdate UpdateSince(uint64_t aIndex) const;
  const SpreadPeer* NewestSource() const;
  void PullIfBehind(Instant aNow);
  void SendPull(Instant aNow, uint64_t aIndex);

  SpreadOptions m_options;
  std::vector<SpreadPeer> m_peers;
  std::string m_group;
  uint64_t m_index = 0;
  uint64_t m_version = 0;
  std::map<std::string, std::string> m_items;
  CatalogDigest m_digest{};
  std::deque<Change> m_changes;
  std::map<HostId, Target> m_targets;
  /// Since when a source is known to have a newer catalog.
  std::optional<Instant> m_behindSince;
  Instant m_nextPullAt;
  /// Pulls since this host was last current; selects the source.
  size_t m_pulls = 0;
  /// Whether the items differ from every source's catalog, after an update
  /// whose digest did not match.
  bool m_needsWhole = false;
  SpreadCounters m_counters;
  std::vector<SpreadSend> m_sends;
};

} // namespace persimmontally

#endif
