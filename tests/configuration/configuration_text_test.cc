#include "configuration/configuration_text.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_replace.h"
#include "configuration/configuration_limits.h"
#include "tests/configuration/sample_text.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

using std::chrono::milliseconds;

std::string Replaced(std::string_view from, std::string_view to) {
  const std::string sample(kSampleText);
  std::string text = absl::StrReplaceAll(sample, {{std::string(from), std::string(to)}});
  CHECK(text != sample);
  return text;
}

struct refused_edit {
  const char* from;
  const char* to;
  const char* message;
};

constexpr refused_edit kRefusedEdits[] = {
    {"\"teams\"", "\"team\"",
     "op.jsonc: /team: the unknown key is refused; allowed: failure_domains"},
    {"\"expected_run_ms\": 80", "\"expected_run\": 80",
     "/services/court-control/expected_run: the unknown"},
    {"\"expected_run_ms\": 80", "\"expected_run_ms\": \"80\"",
     "/services/court-control/expected_run_ms: \"80\""},
    {"\"task_timeout_ms\": 2000", "\"task_timeout_ms\": 0",
     "/services/court-control/task_timeout_ms: 0 is refused; allowed: a number of milliseconds "
     "from 10"},
    {"\"task_timeout_ms\": 2000", "\"task_timeout_ms\": 6000",
     "/services/court-control/task_timeout_ms: 6000 is refused; allowed: at most job_deadline_ms, "
     "which is 5000"},
    {"\"expected_run_ms\": 80", "\"expected_run_ms\": 3000",
     "/services/court-control/expected_run_ms: 3000 is refused; allowed: at most task_timeout_ms, "
     "which is 2000"},
    {"\"cores\": 2", "\"cores\": 5000", "/services/flicker-check/requires/cores: 5000 is refused"},
    {"\"cores\": 2", "\"cpus\": 2",
     "/services/flicker-check/requires/cpus: the unknown key is refused; "
     "allowed: accelerator, cores, memory_mb"},
    {"[\"flicker-check\"]", "[\"flicker\"]", "/services/report/depends_on: \"flicker\" is refused"},
    {"[\"flicker-check\"]", "\"flicker-check\"",
     "/services/report/depends_on: \"flicker-check\" is refused"},
    {"\"court-control\": {", "\"court-control\": {\"depends_on\": [\"report\"], ",
     "/services/flicker-check/depends_on: the cycle court-control -> report -> flicker-check -> "
     "court-control is"},
    {"\"court-control\": {", "\"court-control\": {\"depends_on\": [\"court-control\"], ",
     "the cycle court-control -> court-control is refused"},
    {"\"services\": [\"court-control\"", "\"services\": [\"court\"",
     "/teams/clubs/services: \"court\" is refused"},
    {"2222", "1111",
     "/operators/amara/token_sha256: the same token as at /teams/clubs/token_sha256"},
    {"\"token_sha256\": \"2222", "\"token_sha256\": \"222",
     "/operators/amara/token_sha256: the value (not shown)"},
    {"\"token_sha256\": \"2222", "\"token\": \"2222", "/operators/amara/token_sha256: missing"},
    {"\"amara\"", "\"am ara\"", "/operators/am ara: the name \"am ara\" is refused"},
    {"\"starts_per_second\": 500", "\"starts_per_second\": -1",
     "/teams/clubs/starts_per_second: -1"},
    {"[\"kandy-1\", \"kandy-2\"]", "[]",
     "/failure_domains: an array is refused; allowed: an array of at least one"},
    {"[\"kandy-1\", \"kandy-2\"]", "[\"kandy-1\", \"kandy-1\"]",
     "/failure_domains/1: \"kandy-1\" is refused"},
    {"// Lighting", "Lighting", "op.jsonc:2:3: not JSON with comments"},
};

std::string MessageFor(std::string_view text) {
  return MessageOf(ParseConfiguration(text, "op.jsonc").status());
}

/// A text with the maximum number of domains, services and teams, plus `extra_teams`.
std::string LargeText(size_t extra_teams) {
  nlohmann::json text = {{"failure_domains", nlohmann::json::array()}};
  const auto digest = [](size_t number) {
    std::string digits = std::to_string(number);
    return std::string(kTokenDigestDigits - digits.size(), '0') + digits;
  };
  for (size_t index = 0; index < kMaxFailureDomains; ++index) {
    text["failure_domains"].push_back("domain-" + std::to_string(index));
  }
  for (size_t index = 0; index < kMaxServices; ++index) {
    nlohmann::json service = nlohmann::json::object();
    if (index > 0) {
      service["depends_on"] = {"service-" + std::to_string(index - 1)};
    }
    text["services"]["service-" + std::to_string(index)] = service;
  }
  for (size_t index = 0; index < kMaxTeams + extra_teams; ++index) {
    text["teams"]["team-" + std::to_string(index)] = {{"token_sha256", digest(index)}};
  }
  text["operators"]["amara"] = {{"token_sha256", digest(kMaxTeams + extra_teams)}};
  return text.dump();
}

}  // namespace

TEST_GROUP(ConfigurationText){};

TEST(ConfigurationText, ReadsValuesAndDefaults) {
  const absl::StatusOr<configuration> parsed = ParseConfiguration(kSampleText, "op.jsonc");
  CHECK(parsed.ok());
  CHECK(parsed->version == 0 && parsed->leaving_failure_domains.empty());
  const service_configuration& control = parsed->services.at("court-control");
  CHECK(control.expected_run == milliseconds(80) && control.task_timeout == milliseconds(2000));
  const service_configuration& check = parsed->services.at("flicker-check");
  CHECK(check.depends_on == std::vector<std::string>({"court-control"}));
  CHECK(check.requires_of_target.cores == 2 && check.job_deadline == milliseconds(30000));
  CHECK(parsed->teams.at("clubs").starts_per_second == 500);
  CHECK(parsed->teams.at("clubs").burst_tasks == 1380);
  CHECK(parsed->operators.at("amara").token_digest == std::string(kTokenDigestDigits, '2'));
  CHECK(parsed->failure_domains.size() == 2);
}

TEST(ConfigurationText, EachErrorNamesPathValueAndAllowedValues) {
  for (const refused_edit& edit : kRefusedEdits) {
    STRCMP_CONTAINS(edit.message, MessageFor(Replaced(edit.from, edit.to)).c_str());
  }
}

TEST(ConfigurationText, ARefusedTimeIsNotComparedWithOthers) {
  const std::string message =
      MessageFor(Replaced("\"task_timeout_ms\": 2000", "\"task_timeout_ms\": 0"));
  CHECK(message.find("job_deadline_ms") == std::string::npos);
}

TEST(ConfigurationText, MissingSectionsAreNamed) {
  const std::string message = MessageFor("{}");
  for (const char* path :
       {"/services: missing", "/operators: missing", "/failure_domains: missing"}) {
    STRCMP_CONTAINS(path, message.c_str());
  }
}

TEST(ConfigurationText, ErrorsAreTyped) {
  const absl::Status status = ParseConfiguration("{}", "op.jsonc").status();
  CHECK(ErrorOf<configuration_error>(status) == configuration_error::kInvalidText);
}

TEST(ConfigurationText, TwoCyclesAreBothNamed) {
  const std::string message = MessageFor(R"({"failure_domains": ["a"], "services": {
    "a": {"depends_on": ["b"]}, "b": {"depends_on": ["a"]},
    "c": {"depends_on": ["d"]}, "d": {"depends_on": ["c"]}}})");
  STRCMP_CONTAINS("a -> b -> a", message.c_str());
  STRCMP_CONTAINS("c -> d -> c", message.c_str());
}

TEST(ConfigurationText, ReadsATextAtTheLimits) {
  const absl::StatusOr<configuration> parsed = ParseConfiguration(LargeText(0), "op.jsonc");
  CHECK(parsed.ok());
  CHECK(parsed->services.size() == kMaxServices && parsed->teams.size() == kMaxTeams);
}

TEST(ConfigurationText, RefusesATextBeyondTheLimits) {
  STRCMP_CONTAINS("/teams: an object is refused; allowed: an object of at most 200 names",
                  MessageFor(LargeText(1)).c_str());
  const std::string spaces(kMaxConfigurationBytes, ' ');
  STRCMP_CONTAINS("op.jsonc: /: ", MessageFor(spaces + "{}").c_str());
}

}  // namespace wagtail
