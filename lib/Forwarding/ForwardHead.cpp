// The head of a response: what it says about its request and its upstream.

#include "ForwardFlow.h"

namespace persimmontally {

static constexpr int kOk = 200;

/// Drops statements about the request from a head that may be another one's.
void ForwardFlow::CheckResponseId()
{
  // On a connection that is kept, a response without an id may be an earlier
  // one, written once more.
  bool isOwn = m_head.m_hasOwnId || (m_head.m_hasNoId && !m_call->IsReused());
  m_head.m_isNotRun = m_head.m_isNotRun && isOwn;
  m_head.m_isMisdirected = m_head.m_isMisdirected && isOwn;
  if (!m_head.m_hasOwnId) {
    m_call->CloseAtEnd();
  }
}

void ForwardFlow::RecordUpstreamStatements()
{
  if (m_head.m_retryAfter) {
    m_gateway.HoldBack(m_upstream, m_upstreamIncarnation, *m_head.m_retryAfter);
  }
  if (m_head.m_isLeaving) {
    m_gateway.RecordLeaving(m_upstream, m_upstreamIncarnation);
  }
  m_gateway.RecordRateLimit(m_upstream, m_upstreamIncarnation, m_head);
}

void ForwardFlow::OnHead(int aStatus, const HttpHeaders& aHeaders)
{
  m_head =
    m_gateway.Protocol().DecodeResponseHead(m_request, aStatus, aHeaders);
  CheckResponseId();
  RecordUpstreamStatements();
  if (m_head.m_isGenuine) {
    m_gateway.RecordHeard(m_upstream);
  }
  bool isStreamed = IsStream() && m_head.m_status == kOk && m_head.m_isGenuine;
  if (!isStreamed || m_state == State::Ended) {
    return;
  }
  if (!m_hasStarted) {
    m_hasStarted = true;
    m_writer->StartStream(m_head.m_status, m_head.m_headers);
  }
  m_resume.reset();
  m_state = State::Streaming;
}

} // namespace persimmontally
