#include "LiveCopy.h"

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Log.h"

namespace persimmontally {

/// Timeout for one copy. Copies queue on the links, and a reclaimed engine is
/// gone about two seconds after its notice.
static constexpr Duration kCopyTimeout = milliseconds(2500);
/// Far more than an engine's response to a request for a copy.
static constexpr size_t kMaxCopyResponseBytes = size_t(64) << 10;

LiveCopy::LiveCopy(ForwardGateway& aGateway,
                   std::string aRequestId,
                   Endpoint aSource,
                   Endpoint aTarget,
                   Permission aMayGoOn,
                   Callback aCallback)
  : m_gateway(aGateway)
  , m_requestId(std::move(aRequestId))
  , m_source(std::move(aSource))
  , m_target(std::move(aTarget))
  , m_mayGoOn(std::move(aMayGoOn))
  , m_callback(std::move(aCallback))
  , m_rounds(aGateway.Loop().Now())
{
}

void LiveCopy::Start()
{
  Call();
}

void LiveCopy::StartWithLastPart()
{
  m_isLast = true;
  Call();
}

void LiveCopy::Call()
{
  const ForwardOptions& options = m_gateway.Options();
  if (m_isLast) {
    m_lastPartAt = m_gateway.Loop().Now();
  }
  m_call = StartBufferedHttpCall(
    m_gateway.Loop(),
    m_source,
    m_gateway.Protocol().EncodeCopyRequest(m_requestId, m_target, m_isLast),
    { options.m_connectTimeout, kCopyTimeout },
    [self = shared_from_this()](const absl::Status& aStatus,
                                const HttpResponse& aResponse) {
      self->OnResponse(aStatus, aResponse);
    },
    kMaxCopyResponseBytes);
}

void LiveCopy::OnResponse(const absl::Status& aStatus,
                          const HttpResponse& aResponse)
{
  if (m_isEnded) {
    return;
  }
  CopyResponse answer;
  if (aStatus.ok()) {
    answer = m_gateway.Protocol().DecodeCopyResponse(aResponse);
  }
  WriteLog(LogLevel::Info,
           "move_step",
           { { "request", m_requestId },
             { "source", ToString(m_source) },
             { "target", ToString(m_target) },
             { "last", m_isLast ? "yes" : "no" },
             { "rounds", m_rounds.Rounds() },
             { "status",
               aStatus.ok() ? std::to_string(aResponse.m_status)
                            : std::string(aStatus.message()) },
             { "copied", answer.m_isCopied ? "yes" : "no" } });
  if (!answer.m_handle.empty()) {
    m_handle = answer.m_handle;
  }
  if (answer.m_isCopied && !m_isLast && !m_mayGoOn()) {
    m_isEnded = true;
    FreeCopy();
    m_callback({ false, false, true, false, "", {} });
    return;
  }
  if (answer.m_isCopied && !m_isLast) {
    m_isLast = m_rounds.OnRoundEnd(m_gateway.Loop().Now());
    Call();
    return;
  }
  m_isEnded = true;
  // An engine that answers without a handle had no such generation to stop.
  bool hasHandle = aStatus.ok() ? !answer.m_handle.empty() : !m_handle.empty();
  m_callback({ answer.m_isCopied,
               m_isLast && hasHandle,
               aStatus.ok(),
               answer.m_hasNoRun,
               m_handle,
               m_lastPartAt });
}

void LiveCopy::FreeCopy()
{
  if (m_handle.empty()) {
    return;
  }
  StartBufferedHttpCall(
    m_gateway.Loop(),
    m_source,
    m_gateway.Protocol().EncodeDropCopy(m_handle),
    { m_gateway.Options().m_connectTimeout, seconds(1) },
    [](const absl::Status&, const HttpResponse&) {
      // If the request fails, the engine frees the unused
      // copy itself after a while.
    },
    kMaxCopyResponseBytes);
}

void LiveCopy::Cancel()
{
  if (m_isEnded) {
    return;
  }
  m_isEnded = true;
  if (m_call) {
    m_call->Cancel();
  }
  FreeCopy();
}

} // namespace persimmontally
