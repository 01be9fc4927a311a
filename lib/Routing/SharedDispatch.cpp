#include "persimmontally/Routing/SharedDispatch.h"

#include "persimmontally/Support/Crypto.h"

#include <algorithm>

namespace persimmontally {

SharedDispatch::SharedDispatch(HostId aSelf,
                               DispatchOptions aOptions,
                               uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_local(std::move(aOptions), aSeed)
  , m_hosts{ m_self }
{
}

static GrantRow RefusalRow(const std::string& aKey, const Refusal& aRefusal)
{
  GrantRow row;
  row.m_key = aKey;
  row.m_refusal = aRefusal.m_kind;
  row.m_message = aRefusal.m_message;
  row.m_retryAfterMs =
    static_cast<uint32_t>(ToMilliseconds(aRefusal.m_retryAfter));
  return row;
}

// Selection of the host that owns a request and decides its placement.

/// Selects the owner by rendezvous hashing: a host that joins or leaves changes
/// the owner only of the models and services assigned to it.
HostId SharedDispatch::OwnerOf(const Ticket& aTicket) const
{
  std::string pool = Dispatcher::PoolKeyOf(aTicket);
  HostId owner = m_self;
  uint64_t best = 0;
  for (const HostId& host : m_hosts) {
    uint64_t weight = StableHash(pool + "@" + host.Value());
    if (weight >= best) {
      best = weight;
      owner = host;
    }
  }
  return owner;
}

void SharedDispatch::SetHosts(Instant aNow, std::vector<HostId> aHosts)
{
  if (aHosts == m_hosts) {
    return;
  }
  m_hosts = std::move(aHosts);
  ReassignOwners(aNow);
}

/// Sends requests to their new owners after the set of hosts has changed.
void SharedDispatch::ReassignOwners(Instant aNow)
{
  for (auto& [id, entry] : m_entries) {
    HostId owner = OwnerOf(entry.m_ticket);
    if (owner == entry.m_owner) {
      continue;
    }
    ReportEnd(aNow, entry, DispatchOutcome::Cancelled);
    entry.m_owner = owner;
    SendTicket(aNow, entry);
  }
}

// Requests of this host.

TicketRow SharedDispatch::RowOf(Instant aNow, const Entry& aEntry)
{
  const Ticket& ticket = aEntry.m_ticket;
  TicketRow row;
  row.m_key = aEntry.m_key;
  row.m_account = ticket.m_account;
  row.m_weight = ticket.m_weight;
  row.m_rank = ticket.m_rank;
  row.m_model = ticket.m_model;
  row.m_service = ticket.m_service;
  row.m_promptTokens = ticket.m_promptTokens;
  row.m_maxTokens = ticket.m_maxTokens;
  row.m_prefix = ticket.m_prefix;
  row.m_fingerprint = ticket.m_fingerprint;
  row.m_remainingWaitMs = static_cast<uint32_t>(
    std::max<int64_t>(0, ToMilliseconds(ticket.m_placeBy - aNow)));
  row.m_excluded.assign(ticket.m_excluded.begin(), ticket.m_excluded.end());
  row.m_upstream = aEntry.m_upstream;
  row.m_tokens = aEntry.m_tokens;
  return row;
}

Ticket SharedDispatch::TicketOf(Instant aNow, const TicketRow& aRow)
{
  Ticket ticket;
  ticket.m_id = RequestId(aRow.m_key);
  ticket.m_account = aRow.m_account;
  ticket.m_weight = aRow.m_weight;
  ticket.m_rank = aRow.m_rank == Rank::Urgent ? Rank::Urgent : Rank::Routine;
  ticket.m_model = aRow.m_model;
  ticket.m_service = aRow.m_service;
  ticket.m_promptTokens = aRow.m_promptTokens;
  ticket.m_maxTokens = aRow.m_maxTokens;
  ticket.m_prefix = aRow.m_prefix;
  ticket.m_fingerprint = aRow.m_fingerprint;
  ticket.m_arrivedAt = aNow;
  ticket.m_placeBy = aNow + milliseconds(aRow.m_remainingWaitMs);
  ticket.m_excluded.insert(aRow.m_excluded.begin(), aRow.m_excluded.end());
  return ticket;
}

/// Sends a request to its owner, as queued or as running.
void SharedDispatch::SendTicket(Instant aNow, const Entry& aEntry)
{
  TicketRow row = RowOf(aNow, aEntry);
  if (aEntry.m_owner != m_self) {
    BatchTo(aEntry.m_owner).m_tickets.push_back(std::move(row));
    return;
  }
  Ticket ticket = TicketOf(aNow, row);
  if (aEntry.m_isRunning) {
    m_local.Adopt(aNow, std::move(ticket), row.m_upstream, row.m_tokens);
    return;
  }
  auto refusal = m_local.Enqueue(aNow, std::move(ticket));
  if (refusal) {
    m_pendingActions.push_back(DispatchRefusal{ aEntry.m_ticket, *refusal });
  }
}

std::optional<Refusal> SharedDispatch::Enqueue(Instant aNow, Ticket aTicket)
{
  Entry entry;
  entry.m_key = aTicket.m_id.Value() + "#" + std::to_string(m_nextKey++);
  entry.m_owner = OwnerOf(aTicket);
  entry.m_ticket = std::move(aTicket);
  RequestId id = entry.m_ticket.m_id;
  if (entry.m_owner == m_self) {
    auto refusal = m_local.Enqueue(aNow, TicketOf(aNow, RowOf(aNow, entry)));
    if (refusal) {
      return refusal;
    }
  } else {
    SendTicket(aNow, entry);
  }
  m_requestIdByKey[entry.m_key] = id;
  m_entries[id] = std::move(entry);
  return std::nullopt;
}

void SharedDispatch::ReportEnd(Instant aNow,
                               const Entry& aEntry,
                               DispatchOutcome aOutcome)
{
  if (aEntry.m_owner != m_self) {
    BatchTo(aEntry.m_owner)
      .m_ends.push_back(
        { aEntry.m_key, static_cast<uint8_t>(aOutcome), aEntry.m_tokens });
    return;
  }
  RequestId key(aEntry.m_key);
  if (!m_local.Withdraw(key)) {
    m_local.Progress(aNow, key, aEntry.m_tokens);
    m_local.Complete(aNow, key, aOutcome);
  }
}

bool SharedDispatch::Withdraw(Instant aNow, const RequestId& aId)
{
  auto at = m_entries.find(aId);
  if (at == m_entries.end() || at->second.m_isRunning) {
    return false;
  }
  Complete(aNow, aId, DispatchOutcome::Cancelled);
  return true;
}

void SharedDispatch::Progress(Instant aNow,
                              const RequestId& aId,
                              uint32_t aTokens)
{
  auto at = m_entries.find(aId);
  if (at == m_entries.end()) {
    return;
  }
  at->second.m_tokens = aTokens;
  if (at->second.m_owner == m_self) {
    m_local.Progress(aNow, RequestId(at->second.m_key), aTokens);
  }
}

void SharedDispatch::Complete(Instant aNow,
                              const RequestId& aId,
                              DispatchOutcome aOutcome)
{
  auto at = m_entries.find(aId);
  if (at == m_entries.end()) {
    return;
  }
  ReportEnd(aNow, at->second, aOutcome);
  m_requestIdByKey.erase(at->second.m_key);
  m_entries.erase(at);
}

void SharedDispatch::RecordStall(Instant aNow, const UpstreamId& aId)
{
  m_local.Health().RecordStall(aNow, aId);
  for (const HostId& host : m_hosts) {
    if (host != m_self) {
      BatchTo(host).m_stalledUpstreams.push_back(aId);
    }
  }
}

// Periodic work: reports to owners, timeouts and delivery of decisions.

/// Resends queued requests, in case their owner lost them, and reports the
/// progress of running ones.
void SharedDispatch::ReportToOwners(Instant aNow)
{
  if (aNow < m_nextReportAt) {
    return;
  }
  m_nextReportAt = aNow + kReportPeriod;
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_owner == m_self) {
      continue;
    }
    if (entry.m_isRunning) {
      BatchTo(entry.m_owner)
        .m_progress.push_back({ entry.m_key, entry.m_tokens });
    } else {
      SendTicket(aNow, entry);
    }
  }
}

void SharedDispatch::ExpirePeerRequests(Instant aNow)
{
  for (auto at = m_peerRequests.begin(); at != m_peerRequests.end();) {
    if (at->second.m_lastReceivedAt + kForgetAfter > aNow) {
      ++at;
      continue;
    }
    RequestId key(at->first);
    if (!m_local.Withdraw(key)) {
      m_local.Complete(aNow, key, DispatchOutcome::Cancelled);
    }
    at = m_peerRequests.erase(at);
  }
}

/// Refuses requests whose owner has not responded in time. They have not been
/// sent to an upstream.
void SharedDispatch::RefuseOverdue(Instant aNow,
                                   std::vector<DispatchAction>& aActions)
{
  std::vector<RequestId> overdue;
  for (const auto& [id, entry] : m_entries) {
    bool isRemote = entry.m_owner != m_self && !entry.m_isRunning;
    if (isRemote && entry.m_ticket.m_placeBy + kResponseMargin <= aNow) {
      overdue.push_back(id);
    }
  }
  for (const RequestId& id : overdue) {
    Ticket ticket = m_entries.at(id).m_ticket;
    Complete(aNow, id, DispatchOutcome::Cancelled);
    aActions.push_back(DispatchRefusal{
      std::move(ticket),
      RefusalBuilder(ErrorKind::Overloaded,
                     "the placing host did not respond before the deadline")
        .Build() });
  }
}

/// Delivers a decision of the local dispatcher to the host of the request.
void SharedDispatch::DeliverDecision(Instant aNow,
                                     const DispatchAction& aAction,
                                     std::vector<DispatchAction>& aActions)
{
  const auto* grant = std::get_if<DispatchGrant>(&aAction);
  const Ticket& ticket = grant != nullptr
                           ? grant->m_ticket
                           : std::get<DispatchRefusal>(aAction).m_ticket;
  const std::string& key = ticket.m_id.Value();
  GrantRow row;
  row.m_key = key;
  row.m_isGranted = grant != nullptr;
  if (grant != nullptr) {
    row.m_upstream = grant->m_upstream;
    row.m_incarnation = grant->m_incarnation;
    row.m_score = grant->m_score;
    row.m_candidates = grant->m_candidates;
  } else {
    row = RefusalRow(key, std::get<DispatchRefusal>(aAction).m_refusal);
  }
  auto peerRequest = m_peerRequests.find(key);
  if (peerRequest == m_peerRequests.end()) {
    ReceiveGrant(aNow, m_self, row);
    for (DispatchAction& action : std::exchange(m_pendingActions, {})) {
      aActions.push_back(std::move(action));
    }
    return;
  }
  BatchTo(peerRequest->second.m_host).m_grants.push_back(row);
  if (row.m_isGranted) {
    peerRequest->second.m_grant = std::move(row);
  } else {
    m_peerRequests.erase(peerRequest);
  }
}

std::vector<DispatchAction> SharedDispatch::Tick(Instant aNow,
                                                 const UpstreamTable& aTable)
{
  std::vector<DispatchAction> actions = std::exchange(m_pendingActions, {});
  for (const DispatchAction& action : m_local.Tick(aNow, aTable)) {
    DeliverDecision(aNow, action, actions);
  }
  ReportToOwners(aNow);
  ExpirePeerRequests(aNow);
  RefuseOverdue(aNow, actions);
  return actions;
}

std::vector<std::pair<HostId, DispatchBatch>> SharedDispatch::TakeSends()
{
  std::vector<std::pair<HostId, DispatchBatch>> sends;
  for (auto& [host, batch] : std::exchange(m_batches, {})) {
    if (!batch.Empty()) {
      sends.emplace_back(host, std::move(batch));
    }
  }
  return sends;
}

// Handling of dispatch messages from other hosts.

void SharedDispatch::Receive(Instant aNow,
                             const HostId& aFrom,
                             const DispatchBatch& aBatch)
{
  for (const EndRow& row : aBatch.m_ends) {
    ReceiveEnd(aNow, aFrom, row);
  }
  for (const TicketRow& row : aBatch.m_tickets) {
    ReceiveTicket(aNow, aFrom, row);
  }
  for (const ProgressRow& row : aBatch.m_progress) {
    ReceiveProgress(aNow, aFrom, row);
  }
  for (const GrantRow& row : aBatch.m_grants) {
    ReceiveGrant(aNow, aFrom, row);
  }
  for (const std::string& key : aBatch.m_unknownKeys) {
    ReceiveUnknown(aNow, key);
  }
  for (const UpstreamId& id : aBatch.m_stalledUpstreams) {
    m_local.Health().RecordStall(aNow, id);
  }
}

void SharedDispatch::ReceiveTicket(Instant aNow,
                                   const HostId& aFrom,
                                   const TicketRow& aRow)
{
  auto knownRequest = m_peerRequests.find(aRow.m_key);
  if (knownRequest != m_peerRequests.end()) {
    knownRequest->second.m_lastReceivedAt = aNow;
    if (knownRequest->second.m_grant && aRow.m_upstream.Empty()) {
      // The grant message was lost; send it again.
      BatchTo(aFrom).m_grants.push_back(*knownRequest->second.m_grant);
    }
    return;
  }
  Ticket ticket = TicketOf(aNow, aRow);
  if (!aRow.m_upstream.Empty()) {
    m_peerRequests[aRow.m_key] = { aFrom, aNow, std::nullopt };
    m_local.Adopt(aNow, std::move(ticket), aRow.m_upstream, aRow.m_tokens);
    return;
  }
  auto refusal = m_local.Enqueue(aNow, std::move(ticket));
  if (!refusal) {
    m_peerRequests[aRow.m_key] = { aFrom, aNow, std::nullopt };
    return;
  }
  BatchTo(aFrom).m_grants.push_back(RefusalRow(aRow.m_key, *refusal));
}

void SharedDispatch::ReceiveEnd(Instant aNow,
                                const HostId& aFrom,
                                const EndRow& aRow)
{
  auto peerRequest = m_peerRequests.find(aRow.m_key);
  if (peerRequest == m_peerRequests.end() ||
      peerRequest->second.m_host != aFrom) {
    return;
  }
  m_peerRequests.erase(peerRequest);
  RequestId key(aRow.m_key);
  if (m_local.Withdraw(key)) {
    return;
  }
  m_local.Progress(aNow, key, aRow.m_tokens);
  bool isKnown =
    aRow.m_outcome <= static_cast<uint8_t>(DispatchOutcome::Cancelled);
  m_local.Complete(aNow,
                   key,
                   isKnown ? static_cast<DispatchOutcome>(aRow.m_outcome)
                           : DispatchOutcome::Failed);
}

void SharedDispatch::ReceiveProgress(Instant aNow,
                                     const HostId& aFrom,
                                     const ProgressRow& aRow)
{
  auto peerRequest = m_peerRequests.find(aRow.m_key);
  if (peerRequest == m_peerRequests.end()) {
    BatchTo(aFrom).m_unknownKeys.push_back(aRow.m_key);
    return;
  }
  peerRequest->second.m_lastReceivedAt = aNow;
  m_local.Progress(aNow, RequestId(aRow.m_key), aRow.m_tokens);
}

void SharedDispatch::ReceiveGrant(Instant aNow,
                                  const HostId& aFrom,
                                  const GrantRow& aRow)
{
  auto id = m_requestIdByKey.find(aRow.m_key);
  if (id == m_requestIdByKey.end()) {
    // The request has ended in the meantime; release the granted slot.
    if (aRow.m_isGranted && aFrom != m_self) {
      BatchTo(aFrom).m_ends.push_back(
        { aRow.m_key, static_cast<uint8_t>(DispatchOutcome::Cancelled), 0 });
    } else if (aRow.m_isGranted) {
      m_local.Complete(aNow, RequestId(aRow.m_key), DispatchOutcome::Cancelled);
    }
    return;
  }
  Entry& entry = m_entries.at(id->second);
  if (entry.m_isRunning || entry.m_owner != aFrom) {
    // A duplicate response, or one from a host that is no longer the owner.
    return;
  }
  if (!aRow.m_isGranted) {
    bool isKnown = static_cast<size_t>(aRow.m_refusal) < kErrorKindCount;
    ErrorKind kind = isKnown ? aRow.m_refusal : ErrorKind::Internal;
    Refusal refusal = RefusalBuilder(kind, aRow.m_message)
                        .WithRetryAfter(milliseconds(aRow.m_retryAfterMs))
                        .Build();
    m_pendingActions.push_back(DispatchRefusal{ entry.m_ticket, refusal });
    m_entries.erase(id->second);
    m_requestIdByKey.erase(id);
    return;
  }
  entry.m_isRunning = true;
  entry.m_upstream = aRow.m_upstream;
  DispatchGrant grant;
  grant.m_ticket = entry.m_ticket;
  grant.m_upstream = aRow.m_upstream;
  grant.m_incarnation = aRow.m_incarnation;
  grant.m_score = aRow.m_score;
  grant.m_candidates = aRow.m_candidates;
  m_pendingActions.push_back(std::move(grant));
}

/// Resends a request that its owner reported as unknown.
void SharedDispatch::ReceiveUnknown(Instant aNow, const std::string& aKey)
{
  auto id = m_requestIdByKey.find(aKey);
  if (id != m_requestIdByKey.end()) {
    SendTicket(aNow, m_entries.at(id->second));
  }
}

} // namespace persimmontally
