#ifndef PERSIMMONTALLY_SUPPORT_ERRORKIND_H
#define PERSIMMONTALLY_SUPPORT_ERRORKIND_H

#include "persimmontally/Support/Time.h"

#include <array>
#include <string>
#include <string_view>

namespace persimmontally {

/// Every kind of error that a response to a caller or an operator can carry.
enum class ErrorKind
{
  MalformedRequest,
  HeaderTooLarge,
  BodyTooLarge,
  RequestTimeout,
  NotFound,
  MethodNotAllowed,
  Unauthenticated,
  Forbidden,
  UnknownModel,
  UnknownService,
  InvalidParameter,
  MissingIdempotencyKey,
  IdempotencyKeyReused,
  RateLimited,
  ConcurrencyLimited,
  Overloaded,
  DeadlineExceeded,
  NoUpstream,
  Quarantined,
  Suspended,
  NoQuorum,
  ShuttingDown,
  UpstreamFailed,
  UpstreamTimeout,
  Interrupted,
  OutcomeUnknown,
  VersionConflict,
  MissingVersion,
  InvalidList,
  CallerGone,
  Internal,
};

/// Whether an upstream ran the request that is answered with an error.
enum class Ran
{
  No,
  Yes,
  Unknown
};

std::string_view ToString(Ran aRan);

/// Properties of the response for one error kind.
struct ErrorRow
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_httpStatus;
  /// Value of `ran` while no byte of the request was written to an upstream.
  Ran m_ranBeforeSend;
  /// Value of `ran` once a byte was written. Equal to `m_ranBeforeSend` where
  /// `m_onlyBeforeSend` is set.
  Ran m_ranAfterSend;
  /// Default wait before a retry; zero where retrying the same request cannot
  /// succeed.
  Duration m_retryAfter;
  /// Whether the kind occurs only before anything is sent to an upstream.
  bool m_onlyBeforeSend;
};

inline constexpr size_t kErrorKindCount =
  static_cast<size_t>(ErrorKind::Internal) + 1;

/// Returns one row for each kind, in the order of `ErrorKind`.
const std::array<ErrorRow, kErrorKindCount>& ErrorTable();

const ErrorRow& LookUpError(ErrorKind aKind);

/// Error response to a request: the kind, a human-readable message, whether the
/// request ran, and the wait before a retry (zero for none).
struct Refusal
{
  ErrorKind m_kind = ErrorKind::Internal;
  std::string m_message;
  Ran m_ran = Ran::Unknown;
  Duration m_retryAfter{ 0 };

  bool operator==(const Refusal&) const = default;
};

/// Builds a refusal from the row of its kind in the error table.
/// `WithRetryAfter` overrides the wait before a retry.
class RefusalBuilder
{
public:
  RefusalBuilder(ErrorKind aKind, std::string aMessage);

  /// Records that a byte of the request was written to an upstream. The result
  /// never claims that the request did not run: a kind that occurs only before
  /// sending becomes `Ran::Unknown`.
  RefusalBuilder& AfterSend();
  RefusalBuilder& WithRetryAfter(Duration aWait);
  Refusal Build() const { return m_refusal; }

private:
  Refusal m_refusal;
};

/// Returns the JSON body `{"error": {...}}` of a refusal.
std::string RefusalBody(const Refusal& aRefusal, std::string_view aRequestId);

} // namespace persimmontally

#endif
