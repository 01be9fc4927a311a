#ifndef PERSIMMONTALLY_FORWARDING_WIREPROTOCOL_H
#define PERSIMMONTALLY_FORWARDING_WIREPROTOCOL_H

#include "persimmontally/Catalog/Catalog.h"
#include "persimmontally/Net/HttpMessage.h"
#include "persimmontally/Support/ErrorKind.h"
#include "persimmontally/Support/Settings.h"
#include "persimmontally/Wire/UpstreamRow.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace persimmontally {

/// A caller's request, decoded.
struct RoutedRequest
{
  /// Id that the caller gave this attempt; sent to upstreams and repeated in
  /// responses.
  std::string m_id;
  /// Host name without a port, and path without a query.
  std::string m_hostName;
  std::string m_path;
  /// API key of the client account; empty if the request has none.
  std::string m_key;
  /// Timeout of the caller, if the request states one.
  std::optional<Duration> m_callerTimeout;
  /// Sizes of a generation in tokens.
  uint32_t m_promptTokens = 0;
  uint32_t m_maxOutputTokens = 0;
  /// The caller's estimate; 0 if the request has none.
  uint32_t m_expectedOutputTokens = 0;
  /// Ids of the parts of the prompt, in order. The last one belongs to this
  /// request or its session alone.
  std::vector<std::string> m_promptParts;
  /// Id of the last event that the caller has received of a stream which was
  /// broken off; empty if the request states none.
  std::string m_lastEventId;
  /// Method, target, body, and the headers that are forwarded to upstreams.
  HttpRequest m_http;
};

/// Where and after which event a migrated generation resumes.
struct ResumePoint
{
  /// The engine that holds the KV memory, and its handle for that memory.
  Endpoint m_holder;
  std::string m_handle;
  /// Id of the last event that was received from the previous engine.
  std::string m_lastEventId;

  bool operator==(const ResumePoint&) const = default;
};

/// What is sent to an upstream in addition to the caller's request.
struct UpstreamDirectives
{
  Duration m_timeLeft{ 0 };
  /// The upstream that is addressed. Any other upstream that has taken over its
  /// address must reject the request.
  UpstreamId m_upstream;
  AccountId m_account;
  std::optional<int> m_priority;
  std::optional<ResumePoint> m_resume;
  /// Id of the event after which a new run of a stream starts; empty for all of
  /// the stream. Not used with `m_resume`.
  std::string m_startAfter;
  /// Engine that receives a backup of the generation's KV memory.
  std::optional<Endpoint> m_backup;
};

/// Decoded status and headers of an upstream's response.
struct ResponseHead
{
  int m_status = 0;
  /// Whether the upstream itself vouches for the response, and the response
  /// belongs to the request.
  bool m_isGenuine = false;
  /// Whether the response has the id of the request, or none.
  bool m_hasOwnId = false;
  bool m_hasNoId = false;
  /// Whether the upstream states that it did not run the request that the
  /// response belongs to.
  bool m_isNotRun = false;
  /// Whether another upstream has taken over the address.
  bool m_isMisdirected = false;
  /// Whether the response has neither a length nor chunks.
  bool m_endsWithConnection = false;
  /// Requests per second that the upstream takes from all hosts together, if
  /// the response names a limit.
  std::optional<double> m_rateLimit;
  /// How long the upstream wants no request from this host, if it rejects the
  /// request and states a time.
  std::optional<Duration> m_retryAfter;
  /// Whether the upstream states that it is leaving.
  bool m_isLeaving = false;
  /// Whether the response names a limit that cannot be read.
  bool m_hasUnreadableLimit = false;
  /// Headers that are forwarded to the caller.
  HttpHeaders m_headers;
};

/// Response of an engine to a request to copy a generation's KV memory.
struct CopyResponse
{
  bool m_isCopied = false;
  /// Handle of the copy. Also set if the copy failed but the source, having
  /// stopped the generation, keeps its KV memory.
  std::string m_handle;
  /// Whether the engine states that it does not run the generation.
  bool m_hasNoRun = false;
};

/// An upstream's announcement, without the fields that come from the catalog.
struct AnnounceUpstream
{
  UpstreamRow m_row;
  /// How much longer the upstream stays cold, if the announcement states it.
  std::optional<Duration> m_coldLeft = std::nullopt;
};

struct WithdrawUpstream
{
  UpstreamId m_upstream;
};

struct StoreCatalog
{
  uint64_t m_version = 0;
  std::string m_document;
};

struct FetchCatalog
{};

/// Orders the evacuation of a data centre, or takes it back.
struct OrderEvacuation
{
  DataCentreId m_dataCentre;
  bool m_isEvacuated = false;
};

struct InvalidControlRequest
{
  ErrorKind m_kind = ErrorKind::MalformedRequest;
  std::string m_message;
};

using ControlRequest = std::variant<AnnounceUpstream,
                                    WithdrawUpstream,
                                    StoreCatalog,
                                    FetchCatalog,
                                    OrderEvacuation,
                                    InvalidControlRequest>;

/// Translates between a deployment's wire format and the types above.
/// Implementations are stateless and make no decisions.
class WireProtocol
{
public:
  virtual ~WireProtocol() = default;

  virtual RoutedRequest DecodeRequest(HttpRequest aRequest) const = 0;
  virtual HttpRequest EncodeForUpstream(
    const RoutedRequest& aRequest,
    const UpstreamDirectives& aOrder) const = 0;
  virtual ResponseHead DecodeResponseHead(
    const RoutedRequest& aRequest,
    int aStatus,
    const HttpHeaders& aHeaders) const = 0;
  virtual HttpResponse EncodeRefusal(const Refusal& aRefusal,
                                     const std::string& aRequestId) const = 0;

  /// Encodes a request to the engine that runs a generation to copy its KV
  /// memory to another engine. With `aIsLast`, the engine stops the generation
  /// first.
  virtual HttpRequest EncodeCopyRequest(const std::string& aRequestId,
                                        const Endpoint& aTarget,
                                        bool aIsLast) const = 0;
  virtual CopyResponse DecodeCopyResponse(
    const HttpResponse& aResponse) const = 0;
  /// Encodes a request to free a copy that will not be used.
  virtual HttpRequest EncodeDropCopy(const std::string& aHandle) const = 0;

  virtual ControlRequest DecodeControl(const HttpRequest& aRequest) const = 0;
  virtual HttpResponse EncodeAcknowledgement() const = 0;
  virtual HttpResponse EncodeCatalog(std::string aDocument) const = 0;
  virtual absl::StatusOr<Catalog> DecodeCatalog(
    const std::string& aDocument) const = 0;
};

} // namespace persimmontally

#endif
