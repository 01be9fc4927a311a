#include "persimmontally/Support/ErrorKind.h"

#include <boost/json.hpp>

#include <cassert>
#include <cmath>
#include <utility>

namespace persimmontally {

std::string_view ToString(Ran aRan)
{
  switch (aRan) {
    case Ran::No:
      return "no";
    case Ran::Yes:
      return "yes";
    case Ran::Unknown:
      return "unknown";
  }
  return "unknown";
}

const std::array<ErrorRow, kErrorKindCount>& ErrorTable()
{
  using K = ErrorKind;
  constexpr Duration kNoRetry{ 0 };
  constexpr Duration kShortWait = seconds(1);
  constexpr Duration kLongWait = seconds(5);
  static constexpr std::array<ErrorRow, kErrorKindCount> kTable = { {
    { K::MalformedRequest,
      "malformed_request",
      400,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::HeaderTooLarge,
      "header_too_large",
      431,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::BodyTooLarge,
      "body_too_large",
      413,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::RequestTimeout,
      "request_timeout",
      408,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::NotFound, "not_found", 404, Ran::No, Ran::No, kNoRetry, true },
    { K::MethodNotAllowed,
      "method_not_allowed",
      405,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::Unauthenticated,
      "unauthenticated",
      401,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::Forbidden, "forbidden", 403, Ran::No, Ran::No, kNoRetry, true },
    { K::UnknownModel, "unknown_model", 404, Ran::No, Ran::No, kNoRetry, true },
    { K::UnknownService,
      "unknown_service",
      404,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::InvalidParameter,
      "invalid_parameter",
      400,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::MissingIdempotencyKey,
      "missing_idempotency_key",
      400,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::IdempotencyKeyReused,
      "idempotency_key_reused",
      422,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::RateLimited, "rate_limited", 429, Ran::No, Ran::No, kShortWait, true },
    { K::ConcurrencyLimited,
      "concurrency_limited",
      429,
      Ran::No,
      Ran::No,
      kShortWait,
      true },
    { K::Overloaded, "overloaded", 503, Ran::No, Ran::No, kShortWait, true },
    { K::DeadlineExceeded,
      "deadline_exceeded",
      504,
      Ran::No,
      Ran::Unknown,
      kShortWait,
      false },
    { K::NoUpstream, "no_upstream", 503, Ran::No, Ran::No, kLongWait, true },
    { K::Quarantined, "quarantined", 422, Ran::No, Ran::Yes, kNoRetry, false },
    { K::Suspended, "suspended", 503, Ran::No, Ran::No, kLongWait, true },
    { K::NoQuorum, "no_quorum", 503, Ran::No, Ran::No, kLongWait, true },
    { K::ShuttingDown,
      "shutting_down",
      503,
      Ran::No,
      Ran::No,
      kShortWait,
      true },
    { K::UpstreamFailed,
      "upstream_failed",
      502,
      Ran::No,
      Ran::Unknown,
      kShortWait,
      false },
    { K::UpstreamTimeout,
      "upstream_timeout",
      504,
      Ran::No,
      Ran::Unknown,
      kShortWait,
      false },
    { K::Interrupted,
      "interrupted",
      502,
      Ran::Yes,
      Ran::Yes,
      kShortWait,
      false },
    { K::OutcomeUnknown,
      "outcome_unknown",
      409,
      Ran::Unknown,
      Ran::Unknown,
      kNoRetry,
      false },
    { K::VersionConflict,
      "version_conflict",
      412,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::MissingVersion,
      "missing_version",
      428,
      Ran::No,
      Ran::No,
      kNoRetry,
      true },
    { K::InvalidList, "invalid_list", 400, Ran::No, Ran::No, kNoRetry, true },
    { K::CallerGone,
      "caller_gone",
      499,
      Ran::No,
      Ran::Unknown,
      kNoRetry,
      false },
    { K::Internal, "internal", 500, Ran::No, Ran::Unknown, kNoRetry, false },
  } };
  return kTable;
}

const ErrorRow& LookUpError(ErrorKind aKind)
{
  const ErrorRow& row = ErrorTable().at(static_cast<size_t>(aKind));
  assert(row.m_kind == aKind &&
         "error table rows must be in the order of ErrorKind");
  return row;
}

RefusalBuilder::RefusalBuilder(ErrorKind aKind, std::string aMessage)
{
  const ErrorRow& row = LookUpError(aKind);
  m_refusal.m_kind = aKind;
  m_refusal.m_message = std::move(aMessage);
  m_refusal.m_ran = row.m_ranBeforeSend;
  m_refusal.m_retryAfter = row.m_retryAfter;
}

RefusalBuilder& RefusalBuilder::AfterSend()
{
  const ErrorRow& row = LookUpError(m_refusal.m_kind);
  m_refusal.m_ran = row.m_onlyBeforeSend ? Ran::Unknown : row.m_ranAfterSend;
  return *this;
}

RefusalBuilder& RefusalBuilder::WithRetryAfter(Duration aWait)
{
  m_refusal.m_retryAfter = aWait;
  return *this;
}

std::string RefusalBody(const Refusal& aRefusal, std::string_view aRequestId)
{
  boost::json::object error;
  error["kind"] = LookUpError(aRefusal.m_kind).m_name;
  error["message"] = aRefusal.m_message;
  error["ran"] = ToString(aRefusal.m_ran);
  error["request_id"] = aRequestId;
  error["retry_after_s"] = std::ceil(ToSeconds(aRefusal.m_retryAfter));
  boost::json::object body;
  body["error"] = std::move(error);
  return boost::json::serialize(body);
}

} // namespace persimmontally
