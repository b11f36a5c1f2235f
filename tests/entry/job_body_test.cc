#include "entry/job_body.h"

#include <nlohmann/json.hpp>

#include "base/layer_error.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

std::string BodyWithTasks(size_t count) {
  nlohmann::json tasks = nlohmann::json::array();
  for (size_t task = 0; task < count; ++task) {
    tasks.push_back({{"service", "hive-health"}, {"body", "x"}});
  }
  return nlohmann::json({{"tasks", tasks}}).dump();
}

configuration Services() {
  configuration current;
  current.services["hive-health"].name = "hive-health";
  current.services["collector-dispatch"].name = "collector-dispatch";
  current.services["collector-dispatch"].depends_on = {"hive-health"};
  return current;
}

}  // namespace

TEST_GROUP(JobBody){void CheckRefused(std::string_view text, const char* expected_path){
    absl::StatusOr<job_body> body = ParseJobBody(text);
CHECK_FALSE(body.ok());
STRCMP_CONTAINS(expected_path, MessageOf(body.status()).c_str());
}  // namespace wagtail
}
;

TEST(JobBody, AcceptsUpToTheMaximumNumberOfTasks) {
  LONGS_EQUAL(690, ParseJobBody(BodyWithTasks(690))->tasks.size());
  CheckRefused(BodyWithTasks(691), "/tasks");
}

TEST(JobBody, RefusesMalformedBodiesWithAPath) {
  CheckRefused("{", "job");
  CheckRefused("[]", "job");
  CheckRefused("{}", "/tasks");
  CheckRefused(R"({"tasks": []})", "/tasks");
  CheckRefused(R"({"tasks": [{}]})", "/tasks/0/service");
  CheckRefused(R"({"tasks": [{"service": "a", "colour": 1}]})", "/tasks/0/colour");
  CheckRefused(R"({"tasks": [{"service": "a"}], "deadline_ms": -5})", "/deadline_ms");
  CheckRefused(R"({"tasks": [{"service": "a"}], "deadline_ms": 1e300})", "/deadline_ms");
  CheckRefused(R"({"tasks": [{"service": "a b"}]})", "/tasks/0/service");
}

TEST(JobBody, RefusesATaskThatIsTooLarge) {
  nlohmann::json text = {
      {"tasks", {{{"service", "a"}, {"body", std::string(kMaxTaskBytes + 1, 'x')}}}}};
  CheckRefused(text.dump(), "/tasks/0/body");
}

TEST(JobBody, AssignsStagesAndRequiresDependencies) {
  job_body body;
  body.tasks = {{.service = "collector-dispatch", .body = ""},
                {.service = "hive-health", .body = ""}};
  job_submission submission;
  CHECK(FillSubmission(submission, std::move(body), Services(), instant{}).ok());
  LONGS_EQUAL(1, submission.tasks[0].stage);
  LONGS_EQUAL(0, submission.tasks[1].stage);
  LONGS_EQUAL(2, submission.needs.size());
}

TEST(JobBody, RequiresADependencyThatTheJobDoesNotUse) {
  job_body body;
  body.tasks = {{.service = "collector-dispatch", .body = ""}};
  job_submission submission;
  CHECK(FillSubmission(submission, std::move(body), Services(), instant{}).ok());
  LONGS_EQUAL(2, submission.needs.size());
}

}  // namespace wagtail
