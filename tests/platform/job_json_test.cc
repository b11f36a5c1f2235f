#include "platform/job_json.h"

#include "platform/platform_error.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

std::string Job(const std::string& more_of_job, const std::string& more_of_step) {
  return R"({"job_spec":"text",)" + more_of_job +
         R"("steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900)" + more_of_step + "}]}";
}

bool IsUnsupported(const std::string& body) {
  return ErrorOf<platform_error>(ReadJob(body).status()) == platform_error::kUnsupported;
}

}  // namespace

TEST_GROUP(JobJson){};

TEST(JobJson, ReadsABestEffortJob) {
  absl::StatusOr<job_body> job = ReadJob(Job(R"("best_effort":true,)", R"(,"affinity":"r1")"));
  CHECK(job.ok());
  STRCMP_EQUAL("text", job->text.c_str());
  CHECK_EQUAL(4, job->steps.at(0).count);
  CHECK_EQUAL(500, job->steps[0].resources.cpu);
  CHECK_EQUAL(900, ToMilliseconds(job->steps[0].estimate));
}

TEST(JobJson, ReportsUnsupportedKindsOfJob) {
  CHECK(IsUnsupported(Job("", "")));
  CHECK(IsUnsupported(Job(R"("best_effort":true,"times":3,)", "")));
  CHECK(IsUnsupported(Job(R"("best_effort":true,)", R"(,"gang":true)")));
  CHECK(IsUnsupported(Job(R"("best_effort":true,)", R"(,"requires":"a")")));
  CHECK(!IsUnsupported(Job(R"("best_effort":true,)", R"(,"gang":false,"requires":"")")));
}

TEST(JobJson, RejectsMalformedJobs) {
  CHECK(!ReadJob("").ok());
  CHECK(!ReadJob(R"({"best_effort":true,"job_spec":"x","steps":[]})").ok());
  CHECK(!ReadJob(Job(R"("best_effort":true,)", R"(,"after":[0])")).ok());
  CHECK(!ReadJob(R"({"best_effort":true,"job_spec":"x","steps":[{"count":0}]})").ok());
  CHECK(!ReadJob(R"({"best_effort":true,"job_spec":"x","steps":[{"count":20000}]})").ok());
}

TEST(JobJson, ValidatesJobIds) {
  CHECK(IsJobId("5c0e7a21d94b36f8"));
  CHECK(!IsJobId("5c0e7a21d94b36f"));
  CHECK(!IsJobId("5c0e7a21d94b36fg"));
}

TEST(JobJson, ReadsTheDeadlineOfACaller) {
  http_request request;
  CHECK(!ReadDeadline(request).has_value());
  request.headers["deadline-ms"] = "1900";
  CHECK_EQUAL(1900, ToMilliseconds(*ReadDeadline(request)));
  request.headers["deadline-ms"] = "soon";
  CHECK(!ReadDeadline(request).has_value());
}

TEST(JobJson, ARefusalStatesRetryAfter) {
  http_response response = WriteAnswer({.outcome = leased::job_outcome::kRefused,
                                        .reason = "overload",
                                        .retry_after = std::chrono::milliseconds(1200)});
  CHECK_EQUAL(503, response.status);
  STRCMP_EQUAL("2", response.headers["retry-after"].c_str());
}

TEST(JobJson, DistinguishesOutcomes) {
  CHECK_EQUAL(200, WriteAnswer({.outcome = leased::job_outcome::kCompleted}).status);
  STRCMP_EQUAL(R"({"state":"failed"})",
               WriteAnswer({.outcome = leased::job_outcome::kFailed}).body.c_str());
  CHECK_EQUAL(504, WriteAnswer({.outcome = leased::job_outcome::kAbandoned}).status);
}

}  // namespace wagtail::platform
