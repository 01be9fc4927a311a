// Exchange of the ledger and of rate limits with the other entry hosts.

#include "RoutedHostImpl.h"

#include "persimmontally/Support/Log.h"

namespace persimmontally {

/// Tick period of the gateway while requests are queued or migrate.
static constexpr Duration kGatewayTickPeriod = milliseconds(10);
/// The same while nothing depends on the tick: hundreds of hosts that wake up
/// without work cost processor time.
static constexpr Duration kIdleGatewayTickPeriod = milliseconds(100);
/// Time for which a host that is down counts as one that may be cut off.
static constexpr Duration kMaxCutOffTime = std::chrono::minutes(10);
/// Period in which the hosts that divide rate limits are counted anew.
static constexpr Duration kRateLimitHostsPeriod = seconds(1);

void RoutedHost::Impl::OnPeerMessage(const HostId& aFrom,
                                     const PeerMessage& aMessage)
{
  const auto* update = std::get_if<LedgerUpdate>(&aMessage);
  if (update != nullptr && m_gateway) {
    m_gateway->ReceiveLedger(aFrom, *update);
  }
  const auto* limits = std::get_if<RateLimitUpdate>(&aMessage);
  if (limits != nullptr && m_gateway) {
    m_gateway->ReceiveRateLimits(aFrom, *limits);
  }
  const auto* paces = std::get_if<PaceUpdate>(&aMessage);
  if (paces != nullptr && m_gateway) {
    m_gateway->ReceivePaces(*paces);
  }
  if (const auto* cold = std::get_if<ColdUpdate>(&aMessage)) {
    OnColdUpdate(aFrom, *cold);
  }
}

// Words of upstreams about their coldness.

void RoutedHost::Impl::OnColdUpdate(const HostId& aFrom,
                                    const ColdUpdate& aUpdate)
{
  if (m_gateway) {
    m_gateway->ReceiveCold(aFrom, aUpdate);
  }
  if (!m_control) {
    return;
  }
  for (const ColdWord& word : aUpdate.m_words) {
    m_control->RecordColdWord(word);
  }
  const HostRow* row = m_core.Members().FindHost(aFrom);
  ColdUpdate reply;
  for (const UpstreamId& id : aUpdate.m_asks) {
    if (auto word = m_control->Cold().Find(m_loop.Now(), id)) {
      reply.m_words.push_back(*word);
    }
  }
  if (row != nullptr && !reply.m_words.empty()) {
    m_core.Send(row->m_peer, reply);
  }
}

/// Sends words that upstreams have announced to this host to all others.
void RoutedHost::Impl::SendColdWords()
{
  ColdUpdate update;
  update.m_words = m_control->TakeColdWords();
  if (update.m_words.empty()) {
    return;
  }
  const Membership& members = m_core.Members();
  const HostId& self = m_core.Config().m_host;
  std::vector<Endpoint> peers;
  for (const auto& [id, row] : members.Hosts()) {
    if (id != self && row.m_state <= HostState::Suspect) {
      peers.push_back(row.m_peer);
    }
  }
  m_core.Counters().Add("cold_words_sent_total", update.m_words.size());
  m_core.Send(peers, update);
  if (m_gateway) {
    m_gateway->ReceiveCold(self, update);
  }
}

/// Sets the timer of the next tick by whether the gateway depends on it.
void RoutedHost::Impl::ScheduleGatewayTick()
{
  Duration period =
    m_gateway->IsBusy() ? kGatewayTickPeriod : kIdleGatewayTickPeriod;
  m_gatewayTimer = m_loop.RunAfter(period, [this] {
    UpdateLedgerPeers();
    if (m_loop.Now() >= m_nextRateLimitHostsAt) {
      UpdateRateLimitHosts();
    }
    m_gateway->Tick();
    SendNextFullLedger();
    ScheduleGatewayTick();
  });
}

/// Determines the hosts with which this one exchanges ledgers. A host that
/// leaves the scope gets an empty ledger, one that enters it the full one.
void RoutedHost::Impl::UpdateLedgerPeers()
{
  const Membership& members = m_core.Members();
  if (std::exchange(m_ledgerPeersVersion, members.HostsVersion()) ==
      members.HostsVersion()) {
    return;
  }
  if (m_ledgerScope.Update(members.Hosts())) {
    const PlacementScope& scope = m_ledgerScope.Current();
    WriteLog(LogLevel::Info,
             "ledger_scope",
             { { "scope", ToString(scope.m_kind) },
               { "hosts", members.Hosts().size() } });
    m_gateway->Placement().Local().SetScope(scope);
  }
  std::map<HostId, Endpoint> peers;
  size_t entryHosts = 1;
  for (const auto& [id, row] : members.Hosts()) {
    if (id == m_core.Config().m_host || !row.m_isEntry ||
        row.m_state > HostState::Suspect) {
      continue;
    }
    ++entryHosts;
    if (m_ledgerScope.Current().Contains(row)) {
      peers.emplace(id, row.m_peer);
    }
  }
  m_gateway->SetEntryHosts(entryHosts);
  UpdateRateLimitHosts();
  for (const auto& [id, endpoint] : std::exchange(m_ledgerPeers, peers)) {
    if (!peers.erase(id) && members.IsAlive(id)) {
      m_core.Send(endpoint, m_gateway->Placement().EmptySnapshot());
      m_gateway->ForgetHost(id);
    }
  }
  for (const auto& [id, endpoint] : peers) {
    m_core.Send(endpoint, m_gateway->Placement().Snapshot(m_loop.Now()));
  }
}

/// Determines the entry hosts that divide the rate limits of upstreams. A host
/// that is down counts for some time: it may be cut off and send on.
void RoutedHost::Impl::UpdateRateLimitHosts()
{
  const Membership& members = m_core.Members();
  Instant now = m_loop.Now();
  m_nextRateLimitHostsAt = now + kRateLimitHostsPeriod;
  std::set<HostId> reachable = { m_core.Config().m_host };
  std::vector<ColdPeer> peers;
  size_t known = 1;
  for (const auto& [id, row] : members.Hosts()) {
    if (id == m_core.Config().m_host) {
      continue;
    }
    auto downSince = members.DownSince(id);
    bool mayBeCutOff = row.m_state == HostState::Dead && downSince &&
                       now < *downSince + kMaxCutOffTime;
    bool isReachable = row.m_state <= HostState::Suspect;
    if (isReachable || mayBeCutOff) {
      peers.push_back({ id, row.m_dataCentre, row.m_isEntry, isReachable });
    }
    if (!row.m_isEntry) {
      continue;
    }
    if (isReachable) {
      reachable.insert(id);
    }
    known += isReachable || mayBeCutOff ? 1 : 0;
  }
  m_gateway->SetColdPeers(std::move(peers));
  m_gateway->SetRateLimitHosts(std::move(reachable), known);
}

/// Sends the full ledger to one peer at a time, so that a narrow link never
/// carries it to all peers at once.
void RoutedHost::Impl::SendNextFullLedger()
{
  Instant now = m_loop.Now();
  if (m_ledgerPeers.empty() || now < m_nextFullLedgerAt) {
    return;
  }
  auto count = static_cast<int64_t>(m_ledgerPeers.size());
  m_nextFullLedgerAt =
    std::max(m_nextFullLedgerAt, now - kIdleGatewayTickPeriod) +
    LedgerDispatch::RepeatPeriod(count) / count;
  auto next = m_ledgerPeers.upper_bound(m_lastFullLedgerTo);
  if (next == m_ledgerPeers.end()) {
    next = m_ledgerPeers.begin();
  }
  m_lastFullLedgerTo = next->first;
  m_core.Send(next->second, m_gateway->Placement().Snapshot(now));
}

/// Drops the ledger of a host that is gone, and informs one that is back.
void RoutedHost::Impl::OnHostChange(const HostChange& aChange)
{
  const HostRow& row = aChange.m_row;
  if (row.m_state > HostState::Suspect && m_gateway) {
    m_gateway->ForgetHost(row.m_id);
  }
  bool isBack = row.m_state == HostState::Alive &&
                (aChange.m_isNew || aChange.m_previousState != row.m_state);
  if (!isBack || !m_control) {
    return;
  }
  // It may have missed words of upstreams that have become cold again.
  ColdUpdate update;
  update.m_words = m_control->Cold().OfColdUpstreams(m_loop.Now());
  if (!update.m_words.empty()) {
    m_core.Send(row.m_peer, update);
  }
}

} // namespace persimmontally
