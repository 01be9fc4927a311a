#include "persimmontally/Support/ErrorKind.h"

#include <doctest/doctest.h>

#include <set>

using namespace persimmontally;

TEST_CASE(
  "every error kind has a unique name, an error status and a valid ran value")
{
  std::set<std::string_view> names;
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorRow& row = LookUpError(static_cast<ErrorKind>(i));
    CAPTURE(std::string(row.m_name));
    CHECK(static_cast<size_t>(row.m_kind) == i);
    CHECK(names.insert(row.m_name).second);
    CHECK(row.m_httpStatus >= 400);
    CHECK(row.m_httpStatus < 600);
    Refusal before = RefusalBuilder(row.m_kind, "text").Build();
    Refusal after = RefusalBuilder(row.m_kind, "text").AfterSend().Build();
    CHECK(before.m_ran == row.m_ranBeforeSend);
    // Once a byte was sent, no response may claim that the request did not run.
    CHECK(after.m_ran != Ran::No);
    std::string body = RefusalBody(before, "id-1");
    CHECK(body.find(std::string(row.m_name)) != std::string::npos);
    CHECK(body.find("\"request_id\":\"id-1\"") != std::string::npos);
  }
}
