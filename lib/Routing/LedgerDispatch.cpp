#include "persimmontally/Routing/LedgerDispatch.h"

#include <algorithm>

namespace persimmontally {

LedgerDispatch::LedgerDispatch(DispatchOptions aOptions, uint64_t aSeed)
  : m_dataCentre(aOptions.m_dataCentre)
  , m_region(aOptions.m_region)
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
    // The first token tells the others that the prompt has been read.
    m_isChanged = m_isChanged || (at->second.m_tokens == 0 && aTokens > 0);
    at->second.m_tokens = aTokens;
  }
  m_local.Progress(aNow, aId, aTokens);
}

void LedgerDispatch::Complete(Instant aNow,
                              const RequestId& aId,
                              DispatchOutcome aOutcome)
{
  m_local.Complete(aNow, aId, aOutcome);
  m_isChanged = m_own.erase(aId) > 0 || m_isChanged;
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
  m_isChanged = true;
  m_local.Adopt(aNow, std::move(aTicket), aUpstream, aTokens, true);
}

void LedgerDispatch::UseCopy(const RequestId& aId)
{
  auto at = m_own.find(aId);
  if (at != m_own.end()) {
    at->second.m_isCopy = false;
    m_isChanged = true;
  }
  m_local.UseCopy(aId);
}

std::vector<DispatchAction> LedgerDispatch::Tick(Instant aNow,
                                                 const UpstreamTable& aTable)
{
  for (auto& [host, remote] : m_remotes) {
    if (remote.m_heardAt + kForgetAfter < aNow) {
      DropRows(aNow, host, remote);
    }
  }
  std::vector<DispatchAction> actions = m_local.Tick(aNow, aTable);
  for (const DispatchAction& action : actions) {
    const auto* grant = std::get_if<DispatchGrant>(&action);
    if (grant != nullptr && grant->m_ticket.m_service.empty()) {
      m_own[grant->m_ticket.m_id] = RowOf(grant->m_ticket, grant->m_upstream);
      m_isChanged = true;
    }
  }
  NoteWaiting();
  return actions;
}

/// Has the other hosts told when something begins or ceases to wait.
void LedgerDispatch::NoteWaiting()
{
  std::set<RequestId> waiting;
  for (const Ticket* ticket : m_local.WaitingHeads()) {
    waiting.insert(ticket->m_id);
  }
  m_isChanged = m_isChanged || waiting != m_toldWaiting;
  m_toldWaiting = std::move(waiting);
}

// News between hosts.

std::optional<LedgerSnapshot> LedgerDispatch::TakeSnapshot(Instant aNow)
{
  bool hasNews = !m_own.empty() || !m_toldWaiting.empty();
  bool isDue = m_isChanged ? m_sentAt + kGatherPeriod <= aNow
                           : hasNews && m_sentAt + kRepeatPeriod <= aNow;
  if (!isDue) {
    return std::nullopt;
  }
  m_isChanged = false;
  m_sentAt = aNow;
  LedgerSnapshot snapshot;
  snapshot.m_epoch = m_epoch;
  snapshot.m_sequence = ++m_sequence;
  for (const auto& [id, row] : m_own) {
    snapshot.m_rows.push_back(row);
  }
  snapshot.m_dataCentre = m_dataCentre;
  snapshot.m_region = m_region;
  for (const Ticket* ticket : m_local.WaitingHeads()) {
    LedgerRow row = RowOf(*ticket, UpstreamId());
    row.m_waitedMs = static_cast<uint32_t>(
      std::max<int64_t>(0, ToMilliseconds(aNow - ticket->m_arrivedAt)));
    snapshot.m_waiting.push_back(std::move(row));
  }
  return snapshot;
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

std::vector<RivalTicket> LedgerDispatch::RivalsOf(
  Instant aNow,
  const HostId& aHost,
  const LedgerSnapshot& aSnapshot)
{
  std::vector<RivalTicket> rivals;
  for (const LedgerRow& row : aSnapshot.m_waiting) {
    rivals.push_back({ TicketOf(aNow, RemoteId(aHost, row.m_key), row),
                       aSnapshot.m_dataCentre,
                       aSnapshot.m_region });
  }
  return rivals;
}

void LedgerDispatch::DropRows(Instant aNow,
                              const HostId& aHost,
                              RemoteHost& aRemote)
{
  for (const auto& [key, row] : aRemote.m_rows) {
    m_local.Complete(aNow, RemoteId(aHost, key), DispatchOutcome::Cancelled);
  }
  aRemote.m_rows.clear();
  m_local.Rivals().Set(aHost, {});
}

void LedgerDispatch::ForgetHost(Instant aNow, const HostId& aHost)
{
  auto at = m_remotes.find(aHost);
  if (at != m_remotes.end()) {
    DropRows(aNow, aHost, at->second);
    m_remotes.erase(at);
  }
}

void LedgerDispatch::Receive(Instant aNow,
                             const HostId& aFrom,
                             const LedgerSnapshot& aSnapshot)
{
  RemoteHost& remote = m_remotes[aFrom];
  bool isNewLife = remote.m_epoch != aSnapshot.m_epoch;
  if (!isNewLife && aSnapshot.m_sequence <= remote.m_sequence) {
    return;
  }
  remote.m_epoch = aSnapshot.m_epoch;
  remote.m_sequence = aSnapshot.m_sequence;
  remote.m_heardAt = aNow;
  m_local.Rivals().Set(aFrom, RivalsOf(aNow, aFrom, aSnapshot));
  std::map<std::string, LedgerRow> before = std::exchange(remote.m_rows, {});
  for (const LedgerRow& row : aSnapshot.m_rows) {
    RequestId id = RemoteId(aFrom, row.m_key);
    auto known = before.find(row.m_key);
    if (known != before.end() && known->second.m_upstream == row.m_upstream) {
      m_local.Progress(aNow, id, row.m_tokens);
      if (!row.m_isCopy) {
        m_local.UseCopy(id);
      }
      before.erase(known);
    } else {
      if (known != before.end()) {
        m_local.Complete(aNow, id, DispatchOutcome::Cancelled);
        before.erase(known);
      }
      m_local.Adopt(aNow,
                    TicketOf(aNow, id, row),
                    row.m_upstream,
                    row.m_tokens,
                    row.m_isCopy);
    }
    remote.m_rows[row.m_key] = row;
  }
  for (const auto& [key, row] : before) {
    m_local.Complete(aNow, RemoteId(aFrom, key), DispatchOutcome::Cancelled);
  }
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
