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

namespace persimmontally {

/// A caller's request, decoded.
struct RoutedRequest
{
  /// The caller's id of this attempt; upstreams and answers carry it.
  std::string m_id;
  /// Host name without a port, and path without a query.
  std::string m_hostName;
  std::string m_path;
  /// Key of the client account; empty without one.
  std::string m_key;
  /// How long the caller waits, if it says so.
  std::optional<Duration> m_patience;
  /// Sizes in tokens, for generations.
  uint32_t m_promptTokens = 0;
  uint32_t m_maxOutputTokens = 0;
  /// The caller's estimate; 0 without one.
  uint32_t m_expectedOutputTokens = 0;
  /// Method, target, body, and the headers that upstreams get too.
  HttpRequest m_http;
};

/// Where a generation that moved goes on.
struct ResumePoint
{
  /// The engine that holds the memory, and its name for it.
  Endpoint m_holder;
  std::string m_handle;
  /// Id of the last event that was received from the engine before.
  std::string m_lastEventId;

  bool operator==(const ResumePoint&) const = default;
};

/// What an upstream is told beside the caller's own request.
struct UpstreamOrder
{
  Duration m_timeLeft{ 0 };
  /// Another upstream at the same address must refuse the request.
  UpstreamId m_upstream;
  AccountId m_account;
  std::optional<int> m_priority;
  std::optional<ResumePoint> m_resume;
  /// Engine that gets a copy of the generation's memory as it grows.
  std::optional<Endpoint> m_backup;
};

/// What the head of an upstream's answer says.
struct AnswerHead
{
  int m_status = 0;
  /// Whether the upstream vouches for the answer, and it belongs to the
  /// request.
  bool m_isGenuine = false;
  /// Whether the upstream states that it did not run the request.
  bool m_isNotRun = false;
  /// Whether another upstream is at the address now.
  bool m_isMisdirected = false;
  /// Headers for the caller.
  HttpHeaders m_headers;
};

/// Answer of an engine that was asked to copy a generation's memory.
struct MoveAnswer
{
  bool m_isCopied = false;
  /// Name of the copy; also set when a stopped source keeps its memory.
  std::string m_handle;
};

/// An upstream's announcement, without what the catalog knows of its service.
struct AnnounceUpstream
{
  UpstreamRow m_row;
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

struct InvalidControlRequest
{
  ErrorKind m_kind = ErrorKind::MalformedRequest;
  std::string m_message;
};

using ControlRequest = std::variant<AnnounceUpstream,
                                    WithdrawUpstream,
                                    StoreCatalog,
                                    FetchCatalog,
                                    InvalidControlRequest>;

/// Translates between a deployment's wire format and the types above. It makes
/// no decisions and keeps no state.
class WireProtocol
{
public:
  virtual ~WireProtocol() = default;

  virtual RoutedRequest DecodeRequest(HttpRequest aRequest) const = 0;
  virtual HttpRequest EncodeForUpstream(const RoutedRequest& aRequest,
                                        const UpstreamOrder& aOrder) const = 0;
  virtual AnswerHead DecodeAnswer(const RoutedRequest& aRequest,
                                  int aStatus,
                                  const HttpHeaders& aHeaders) const = 0;
  virtual HttpResponse EncodeRefusal(const Refusal& aRefusal,
                                     const std::string& aRequestId) const = 0;

  /// Asks the engine that runs a request to copy its memory to another one;
  /// with `aIsLast` the engine stops the request first.
  virtual HttpRequest EncodeMove(const std::string& aRequestId,
                                 const Endpoint& aTarget,
                                 bool aIsLast) const = 0;
  virtual MoveAnswer DecodeMove(const HttpResponse& aResponse) const = 0;
  /// Frees a copy that will not be used.
  virtual HttpRequest EncodeDropCopy(const std::string& aHandle) const = 0;

  virtual ControlRequest DecodeControl(const HttpRequest& aRequest) const = 0;
  virtual HttpResponse EncodeAcknowledgement() const = 0;
  virtual HttpResponse EncodeCatalog(std::string aDocument) const = 0;
  virtual absl::StatusOr<Catalog> DecodeCatalog(
    const std::string& aDocument) const = 0;
};

} // namespace persimmontally

#endif
