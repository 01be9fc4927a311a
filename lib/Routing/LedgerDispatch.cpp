#include "persimmontally/Routing/LedgerDispatch.h"

#include <algorithm>

namespace persimmontally {

LedgerDispatch::LedgerDispatch(DispatchOptions aOptions, uint64_t aSeed)
  : m_dataCentre(aOptions.m_dataCentre)
  , m_region(aOptions.m_region)
  , m_memoryLimit(aOptions.m_memoryLimit)
  , m_local(std::move(aOptions), aSeed)
  , m_epoch(aSeed)
{
}

static LedgerRow RowOf(const Ticket& aTicket, const UpstreamId& aUpstream)
{
  LedgerRow row;
  row.m_key = aTicket.m_id.Value();
  row.m_upstream = aUpstream;
  row.m_account = aTicket.m_account;
  row.m_model = aTicket.m_model;
  row.m_rank = aTicket.m_rank;
  row.m_promptTokens = aTicket.m_promptTokens;
  row.m_maxTokens = aTicket.m_maxTokens;
  row.m_expectedTokens = aTicket.m_expectedTokens;
  return row;
}

// Requests of this host.

void LedgerDispatch::Progress(Instant aNow,
                              const RequestId& aId,
                              uint32_t aTokens)
{
  auto at = m_own.find(aId);
  if (at != m_own.end()) {
    // The first token is published: it marks the end of the prefill.
    m_hasPendingChange =
      m_hasPendingChange || (at->second.m_tokens == 0 && aTokens > 0);
    at->second.m_tokens = aTokens;
  }
  m_local.Progress(aNow, aId, aTokens);
}

void LedgerDispatch::Complete(Instant aNow,
                              const RequestId& aId,
                              DispatchOutcome aOutcome)
{
  m_local.Complete(aNow, aId, aOutcome);
  m_hasPendingChange = m_own.erase(aId) > 0 || m_hasPendingChange;
}

void LedgerDispatch::OccupyCopy(Instant aNow,
                                Ticket aTicket,
                                const UpstreamId& aUpstream,
                                uint32_t aTokens)
{
  LedgerRow row = RowOf(aTicket, aUpstream);
  row.m_tokens = aTokens;
  row.m_isCopy = true;
  m_own[aTicket.m_id] = std::move(row);
  m_hasPendingChange = true;
  m_local.Adopt(aNow, std::move(aTicket), aUpstream, aTokens, true);
}

void LedgerDispatch::UseCopy(const RequestId& aId)
{
  auto at = m_own.find(aId);
  if (at != m_own.end()) {
    at->second.m_isCopy = false;
    m_hasPendingChange = true;
  }
  m_local.UseCopy(aId);
}

std::vector<DispatchAction> LedgerDispatch::Tick(Instant aNow,
                                                 const UpstreamTable& aTable)
{
  for (auto& [host, remote] : m_remotes) {
    if (remote.m_lastReceivedAt + kForgetAfter < aNow) {
      DropRows(aNow, host, remote);
    }
  }
  AdaptMemoryLimit();
  std::vector<DispatchAction> actions = m_local.Tick(aNow, aTable);
  for (const DispatchAction& action : actions) {
    const auto* grant = std::get_if<DispatchGrant>(&action);
    if (grant != nullptr && grant->m_ticket.m_service.empty()) {
      m_own[grant->m_ticket.m_id] = RowOf(grant->m_ticket, grant->m_upstream);
      m_hasPendingChange = true;
    }
  }
  UpdateQueued();
  return actions;
}

void LedgerDispatch::AdaptMemoryLimit()
{
  double reserve =
    kMemoryReservePerPeer * static_cast<double>(m_remotes.size());
  m_local.SetMemoryLimit(std::min(
    m_memoryLimit, std::max(kMinMemoryLimit, m_memoryLimit - reserve)));
}

/// Schedules a change message if the set of queued requests has changed.
void LedgerDispatch::UpdateQueued()
{
  std::set<RequestId> queued;
  for (const Ticket* ticket : m_local.QueueHeads()) {
    queued.insert(ticket->m_id);
  }
  m_hasPendingChange = m_hasPendingChange || queued != m_queued;
  m_queued = std::move(queued);
}

// Updates between hosts.

LedgerDispatch::Rows LedgerDispatch::OwnRows(Instant aNow) const
{
  Rows rows;
  for (const auto& [id, row] : m_own) {
    rows[row.m_key] = row;
  }
  for (const Ticket* ticket : m_local.QueueHeads()) {
    LedgerRow row = RowOf(*ticket, UpstreamId());
    row.m_waitedMs = static_cast<uint32_t>(
      std::max<int64_t>(0, ToMilliseconds(aNow - ticket->m_arrivedAt)));
    rows[row.m_key] = std::move(row);
  }
  return rows;
}

LedgerUpdate LedgerDispatch::EmptyUpdate() const
{
  LedgerUpdate update;
  update.m_epoch = m_epoch;
  update.m_sequence = m_sequence;
  update.m_dataCentre = m_dataCentre;
  update.m_region = m_region;
  return update;
}

/// Returns whether a changed row has to be published at once. Progress is sent
/// with the snapshots, except for the first token, which marks the end of the
/// prefill.
static bool NeedsPublishing(const LedgerRow& aBefore, const LedgerRow& aNow)
{
  return aBefore.m_upstream != aNow.m_upstream ||
         aBefore.m_isCopy != aNow.m_isCopy ||
         (aBefore.m_tokens == 0) != (aNow.m_tokens == 0);
}

std::optional<LedgerUpdate> LedgerDispatch::TakeChange(Instant aNow)
{
  if (!m_hasPendingChange || aNow < m_lastChangeAt + kChangePeriod) {
    return std::nullopt;
  }
  m_hasPendingChange = false;
  Rows rows = OwnRows(aNow);
  LedgerUpdate update = EmptyUpdate();
  for (const auto& [key, row] : rows) {
    auto published = m_published.find(key);
    if (published == m_published.end() ||
        NeedsPublishing(published->second, row)) {
      update.m_rows.push_back(row);
    }
  }
  for (const auto& [key, row] : m_published) {
    if (!rows.contains(key)) {
      update.m_removed.push_back(key);
    }
  }
  m_published = std::move(rows);
  if (update.m_rows.empty() && update.m_removed.empty()) {
    return std::nullopt;
  }
  m_lastChangeAt = aNow;
  update.m_sequence = ++m_sequence;
  return update;
}

LedgerUpdate LedgerDispatch::Snapshot(Instant aNow) const
{
  LedgerUpdate update = EmptyUpdate();
  update.m_isSnapshot = true;
  // Later changes are sent by TakeChange() under the next sequence number; only
  // progress and waiting times are more recent than the published rows.
  Rows now = OwnRows(aNow);
  for (const auto& [key, published] : m_published) {
    auto at = now.find(key);
    bool isSame = at != now.end() && !NeedsPublishing(published, at->second);
    update.m_rows.push_back(isSame ? at->second : published);
  }
  return update;
}

LedgerUpdate LedgerDispatch::EmptySnapshot() const
{
  LedgerUpdate update = EmptyUpdate();
  update.m_isSnapshot = true;
  return update;
}

RequestId LedgerDispatch::RemoteId(const HostId& aHost, const std::string& aKey)
{
  return RequestId(aHost.Value() + "/" + aKey);
}

Ticket LedgerDispatch::TicketOf(Instant aNow,
                                RequestId aId,
                                const LedgerRow& aRow)
{
  Ticket ticket;
  ticket.m_id = std::move(aId);
  ticket.m_account = aRow.m_account;
  ticket.m_model = aRow.m_model;
  ticket.m_rank = aRow.m_rank == Rank::Urgent ? Rank::Urgent : Rank::Routine;
  ticket.m_promptTokens = aRow.m_promptTokens;
  ticket.m_maxTokens = aRow.m_maxTokens;
  ticket.m_expectedTokens = aRow.m_expectedTokens;
  ticket.m_arrivedAt = aNow - milliseconds(aRow.m_waitedMs);
  return ticket;
}

void LedgerDispatch::SetResidencyOf(
  std::function<Residency(const LedgerRow&)> aResidencyOf)
{
  m_residencyOf = std::move(aResidencyOf);
  for (auto& [host, remote] : m_remotes) {
    for (auto& [key, peerTicket] : remote.m_queued) {
      peerTicket.m_ticket.m_residency =
        m_residencyOf(remote.m_queuedRows.at(key));
    }
    UpdatePeerTickets(host, remote);
  }
}

void LedgerDispatch::UpdatePeerTickets(const HostId& aHost,
                                       const RemoteHost& aRemote)
{
  std::vector<PeerTicket> tickets;
  for (const auto& [key, peerTicket] : aRemote.m_queued) {
    tickets.push_back(peerTicket);
  }
  m_local.PeerTickets().Set(aHost, std::move(tickets));
}

void LedgerDispatch::DropRows(Instant aNow,
                              const HostId& aHost,
                              RemoteHost& aRemote)
{
  for (const auto& [key, row] : aRemote.m_rows) {
    m_local.Complete(aNow, RemoteId(aHost, key), DispatchOutcome::Cancelled);
  }
  aRemote.m_rows.clear();
  aRemote.m_queued.clear();
  aRemote.m_queuedRows.clear();
  UpdatePeerTickets(aHost, aRemote);
}

void LedgerDispatch::ForgetHost(Instant aNow, const HostId& aHost)
{
  auto at = m_remotes.find(aHost);
  if (at != m_remotes.end()) {
    DropRows(aNow, aHost, at->second);
    m_remotes.erase(at);
  }
}

void LedgerDispatch::RemoveRow(Instant aNow,
                               const HostId& aHost,
                               RemoteHost& aRemote,
                               const std::string& aKey)
{
  aRemote.m_queued.erase(aKey);
  aRemote.m_queuedRows.erase(aKey);
  if (aRemote.m_rows.erase(aKey) > 0) {
    m_local.Complete(aNow, RemoteId(aHost, aKey), DispatchOutcome::Cancelled);
  }
}

void LedgerDispatch::ApplyRow(Instant aNow,
                              const HostId& aHost,
                              RemoteHost& aRemote,
                              const LedgerRow& aRow)
{
  RequestId id = RemoteId(aHost, aRow.m_key);
  auto known = aRemote.m_rows.find(aRow.m_key);
  if (known != aRemote.m_rows.end() &&
      known->second.m_upstream == aRow.m_upstream) {
    m_local.Progress(aNow, id, aRow.m_tokens);
    if (!aRow.m_isCopy) {
      m_local.UseCopy(id);
    }
    known->second = aRow;
    return;
  }
  RemoveRow(aNow, aHost, aRemote, aRow.m_key);
  if (aRow.m_upstream.Empty()) {
    Ticket ticket = TicketOf(aNow, id, aRow);
    if (m_residencyOf) {
      ticket.m_residency = m_residencyOf(aRow);
    }
    aRemote.m_queued[aRow.m_key] = { std::move(ticket),
                                     aRemote.m_dataCentre,
                                     aRemote.m_region };
    aRemote.m_queuedRows[aRow.m_key] = aRow;
    return;
  }
  m_local.Adopt(aNow,
                TicketOf(aNow, id, aRow),
                aRow.m_upstream,
                aRow.m_tokens,
                aRow.m_isCopy);
  aRemote.m_rows[aRow.m_key] = aRow;
}

void LedgerDispatch::Receive(Instant aNow,
                             const HostId& aFrom,
                             const LedgerUpdate& aUpdate)
{
  RemoteHost& remote = m_remotes[aFrom];
  bool isNewEpoch = remote.m_epoch != aUpdate.m_epoch;
  bool isNext = aUpdate.m_isSnapshot
                  ? isNewEpoch || aUpdate.m_sequence >= remote.m_sequence
                  : !isNewEpoch && aUpdate.m_sequence == remote.m_sequence + 1;
  if (!isNewEpoch) {
    remote.m_lastReceivedAt = aNow;
  }
  if (!isNext) {
    // Outdated, or after a gap, which the next snapshot repairs.
    return;
  }
  remote.m_epoch = aUpdate.m_epoch;
  remote.m_sequence = aUpdate.m_sequence;
  remote.m_lastReceivedAt = aNow;
  remote.m_dataCentre = aUpdate.m_dataCentre;
  remote.m_region = aUpdate.m_region;
  std::set<std::string> removed(aUpdate.m_removed.begin(),
                                aUpdate.m_removed.end());
  if (aUpdate.m_isSnapshot) {
    for (const auto& [key, row] : remote.m_rows) {
      removed.insert(key);
    }
    for (const auto& [key, peerTicket] : remote.m_queued) {
      removed.insert(key);
    }
    for (const LedgerRow& row : aUpdate.m_rows) {
      removed.erase(row.m_key);
    }
  }
  for (const std::string& key : removed) {
    RemoveRow(aNow, aFrom, remote, key);
  }
  for (const LedgerRow& row : aUpdate.m_rows) {
    ApplyRow(aNow, aFrom, remote, row);
  }
  UpdatePeerTickets(aFrom, remote);
}

std::vector<LedgerRow> LedgerDispatch::RowsOn(const UpstreamId& aUpstream) const
{
  std::vector<LedgerRow> rows;
  for (const auto& [id, row] : m_own) {
    if (row.m_upstream == aUpstream) {
      rows.push_back(row);
    }
  }
  for (const auto& [host, remote] : m_remotes) {
    for (const auto& [key, row] : remote.m_rows) {
      if (row.m_upstream == aUpstream) {
        rows.push_back(row);
      }
    }
  }
  std::sort(
    rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_key < aRight.m_key;
    });
  return rows;
}

} // namespace persimmontally
