#include "persimmontally/State/PlanLists.h"

#include <doctest/doctest.h>

using namespace persimmontally;

/// A valid list of plans in which the value of the first member `aMember` is
/// replaced by `aValue`; an unknown member leaves the list unchanged.
static std::string Plans(const std::string& aMember, const std::string& aValue)
{
  std::string text = "{\n\"routine_floor\": 0.2,\n\"services\": [],\n"
                     "\"plans\": [\n{\"name\": \"a\",\n\"weight\": 1,\n"
                     "\"requests_per_s\": 1,\n\"tokens_per_min\": 1,\n"
                     "\"max_concurrent\": 1,\n\"max_output_tokens\": 10,\n"
                     "\"ranks\": [\"routine\"],\n"
                     "\"default_rank\": \"routine\",\n\"models\": [],\n"
                     "\"services\": []}\n]}\n";
  size_t member = text.find("\"" + aMember + "\"");
  if (member == std::string::npos) {
    return text;
  }
  size_t value = text.find(':', member) + 2;
  size_t end = text.find_first_of(",}\n", value);
  if (text[value] == '[') {
    end = text.find(']', value) + 1;
  }
  return text.substr(0, value) + aValue + text.substr(end);
}

TEST_CASE("a valid list of plans is parsed")
{
  auto list = ParsePlanList("plans.json", Plans("", ""));
  REQUIRE_MESSAGE(list.ok(), list.status().message());
  CHECK(list->m_plans.at("a").m_maxOutputTokens == 10);
  CHECK(list->m_routineFloor == doctest::Approx(0.2));
}

TEST_CASE("invalid members of a plan list are reported with file and line")
{
  struct Row
  {
    std::string m_member;
    std::string m_value;
    std::string m_expected;
  };
  const Row rows[] = {
    { "weight", "0", "plans.json:6: /plans/0/weight" },
    { "weight", "\"x\"", "plans.json:6: /plans/0/weight" },
    { "max_concurrent", "-1", "plans.json:9: /plans/0/max_concurrent" },
    { "ranks", "[\"soon\"]", "plans.json:11: /plans/0/ranks" },
    { "default_rank", "\"urgent\"", "plans.json:12: /plans/0/default_rank" },
    { "models", "[3]", "plans.json:13: /plans/0/models" },
    { "routine_floor", "2", "plans.json:2: /routine_floor" },
    { "name", "\"\"", "plans.json:5: /plans/0/name" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_member);
    auto list = ParsePlanList("plans.json", Plans(row.m_member, row.m_value));
    REQUIRE_FALSE(list.ok());
    std::string message(list.status().message());
    CAPTURE(message);
    CHECK(message.find(row.m_expected) != std::string::npos);
  }
}

TEST_CASE("malformed JSON and documents without the required members are "
          "rejected")
{
  const std::string rows[] = {
    "", "3", "[]", "{", "{}", "{} {}", "{\"plans\": 1, \"plans\": 2}", "nul"
  };
  for (const std::string& row : rows) {
    CAPTURE(row);
    CHECK_FALSE(ParsePlanList("plans.json", row).ok());
    CHECK_FALSE(ParseAccountList("accounts.json", row).ok());
  }
}

TEST_CASE("invalid key digests and unknown plans of accounts are rejected")
{
  std::string digest(64, 'a');
  auto accounts = [&](const std::string& aKey, const std::string& aPlan) {
    return "{\"accounts\": [\n{\"name\": \"x\", \"plan\": \"" + aPlan +
           "\", \"key_sha256\": \"" + aKey + "\"}]}";
  };
  auto valid = ParseAccountList("accounts.json", accounts(digest, "a"));
  REQUIRE(valid.ok());
  auto plans = ParsePlanList("plans.json", Plans("", ""));
  CHECK(CheckPlansOfAccounts(*plans, *valid).ok());
  auto unknownPlan = ParseAccountList("accounts.json", accounts(digest, "b"));
  REQUIRE(unknownPlan.ok());
  CHECK_FALSE(CheckPlansOfAccounts(*plans, *unknownPlan).ok());
  auto invalidDigest =
    ParseAccountList("accounts.json", accounts("secret", "a"));
  REQUIRE_FALSE(invalidDigest.ok());
  std::string message(invalidDigest.status().message());
  CHECK(message.find("accounts.json:2:") != std::string::npos);
  // The error must not quote the rejected digest: it may be a key.
  CHECK(message.find("secret") == std::string::npos);
}
