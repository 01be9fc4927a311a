#ifndef PERSIMMONTALLY_ROUTING_COLDUPSTREAMS_H
#define PERSIMMONTALLY_ROUTING_COLDUPSTREAMS_H

#include "persimmontally/Membership/UpstreamTable.h"
#include "persimmontally/Routing/ColdWords.h"
#include "persimmontally/Routing/RateLimits.h"

namespace persimmontally {

/// A host, as membership has it.
struct ColdPeer
{
  HostId m_host;
  DataCentreId m_dataCentre;
  bool m_isEntry = true;
  /// Whether it counts as alive; one that is down may be cut off and go on.
  bool m_isReachable = true;

  bool operator==(const ColdPeer&) const = default;
};

/// Terms of a service whose upstreams can be cold.
struct ColdTerms
{
  Duration m_warmUpTime{ 0 };
  double m_perSecond = 0;
};

/// An update for one host.
struct ColdSend
{
  HostId m_to;
  ColdUpdate m_update;
};

/// Keeps the rate of cold upstreams over all hosts together. In each data
/// centre one entry host, the leader, grants permits for single requests to the
/// cold upstreams there. It leads only while more than half of the data
/// centre's known entry hosts follow it, each of which follows no other until
/// its promise has ended; so there are never two, whoever is cut off, and
/// without a leader cold upstreams get nothing.
///
/// An incarnation of which this host has no word yet counts as cold for the
/// warm-up time of its service.
///
/// Load pattern: the upstreams of whole data centres come back cold at peak
/// demand, and idle ones attract more than they can bear.
class ColdUpstreams
{
public:
  /// How long a host follows a leader after it has agreed to.
  static constexpr Duration kPromise = seconds(1);
  /// Time after its lead in which permits of a leader may still be used: they
  /// are accepted up to 0.3 s after the request.
  static constexpr Duration kPermitRest =
    RateLimits::kPermitLife + milliseconds(300);
  static constexpr Duration kPollPeriod = milliseconds(250);
  /// Time after its start in which a host neither leads nor follows: it may
  /// have made a promise before, and learns the hosts of its data centre.
  static constexpr Duration kJoinTime = seconds(2);
  /// Period in which words that are missing are asked for.
  static constexpr Duration kAskPeriod = milliseconds(200);

  using FindTerms = std::function<std::optional<ColdTerms>(const std::string&)>;

  ColdUpstreams(Instant aNow,
                HostId aSelf,
                DataCentreId aDataCentre,
                uint64_t aSeed);

  /// Sets all known hosts but this one.
  void SetPeers(Instant aNow, std::vector<ColdPeer> aPeers);
  /// Takes over the upstreams that are known and the terms of their services.
  void SetUpstreams(Instant aNow,
                    const UpstreamTable& aTable,
                    const FindTerms& aFindTerms);
  void RecordWord(Instant aNow, const ColdWord& aWord);
  void Receive(Instant aNow, const HostId& aFrom, const ColdUpdate& aUpdate);
  void Tick(Instant aNow);
  std::vector<ColdSend> TakeSends();
  /// Whether permits are asked for, which `Tick` handles.
  bool IsBusy() const { return m_permits.IsBusy(); }

  bool IsCold(const UpstreamId& aUpstream, uint64_t aIncarnation) const;
  /// Number of upstreams that are cold as far as this host knows.
  size_t ColdCount() const { return m_coldCount; }
  /// Returns how much longer an upstream counts as cold.
  Duration LeftOf(Instant aNow, const UpstreamId& aUpstream) const;
  bool IsLeader() const { return m_leads; }
  /// Permits for requests to cold upstreams.
  RateLimits& Permits() { return m_permits; }
  const RateLimits& Permits() const { return m_permits; }
  /// Charges a request that is sent without a permit.
  void Charge(Instant aNow, const UpstreamId& aUpstream);

private:
  struct Upstream
  {
    uint64_t m_incarnation = 0;
    DataCentreId m_dataCentre;
    ColdTerms m_terms;
    /// When an incarnation without a word counts as warm.
    Instant m_presumedUntil;
    Instant m_learnedAt;
    bool m_isCold = false;
    bool m_isLoggedCold = false;
  };

  std::optional<HostId> OwnerOf(const UpstreamId& aUpstream) const;
  /// Returns the entry host of a data centre that shall lead, as far as this
  /// host knows.
  std::optional<HostId> CandidateOf(const DataCentreId& aDataCentre) const;
  void UpdateColdness(Instant aNow);
  void UpdateLead(Instant aNow);
  void Poll(Instant aNow);
  void AskForWords(Instant aNow);
  bool Follow(Instant aNow, const HostId& aLeader);
  /// Returns whether no permits of a leader can be left that this host followed
  /// before the one that it follows now.
  bool IsFree(Instant aNow) const
  {
    return aNow >= m_followedOtherUntil + kPermitRest;
  }
  /// Returns whether so many hosts are more than half of the data centre's.
  bool IsMajority(size_t aHosts) const
  {
    // Of two halves, the one with the first host decides.
    return aHosts * 2 + (m_isFirst ? 1 : 0) > m_knownVoters;
  }
  /// Returns whether a host's promise counts for a leader of this data centre.
  bool IsVoter(const ColdPeer& aPeer) const
  {
    return aPeer.m_isEntry && aPeer.m_dataCentre == m_dataCentre;
  }
  ColdUpdate& UpdateFor(const HostId& aHost) { return m_sends[aHost]; }

  HostId m_self;
  DataCentreId m_dataCentre;
  std::mt19937_64 m_random;
  Instant m_joinedAt;
  RateLimits m_permits;
  ColdWords m_words;
  std::map<UpstreamId, Upstream> m_upstreams;
  /// As they were last set.
  std::vector<ColdPeer> m_peerList;
  std::map<HostId, ColdPeer> m_peers;
  /// Entry hosts of the data centre, this one among them, and whether this one
  /// comes first of them.
  size_t m_knownVoters = 1;
  bool m_isFirst = true;
  std::map<DataCentreId, HostId> m_candidates;
  size_t m_coldCount = 0;

  HostId m_followed;
  Instant m_followedUntil;
  /// When the promise to the host that was followed before ended.
  Instant m_followedOtherUntil;
  /// When the polls were sent that have not expired.
  std::map<uint64_t, Instant> m_polls;
  struct Vote
  {
    /// When the latest poll to which the host agreed was sent.
    Instant m_polledAt;
    bool m_isFree = false;
  };
  std::map<HostId, Vote> m_votes;
  uint64_t m_nextPoll;
  Instant m_nextPollAt;
  Instant m_nextAskAt;
  bool m_leads = false;
  Instant m_grantsFrom;
  std::map<HostId, ColdUpdate> m_sends;
};

} // namespace persimmontally

#endif
