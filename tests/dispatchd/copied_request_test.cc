#include <optional>
#include <string>

#include "base/layer_error.h"
#include "platform/platform_error.h"
#include "services/dispatchd/front_filters.h"
#include "services/dispatchd/jobs_in_progress.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";

}  // namespace

TEST_GROUP(CopiedRequest) {
  jobs_in_progress jobs;
  bool stopping = false;
  bool busy = false;
  bool has_plan = true;

  http_response Post() {
    front_hooks hooks;
    hooks.stopping = [this] { return stopping; };
    hooks.busy = [this] { return busy; };
    hooks.await_plan = [this](duration) {
      return has_plan ? std::optional(duration::zero()) : std::nullopt;
    };
    hooks.queue = [](const std::string&, const std::string&) {
      return queue_match{.max_body_bytes = 1000, .queue = queue_plan{.path_prefix = "/q/"}};
    };
    hooks.decode = [](std::string_view) -> absl::StatusOr<platform::job_body> {
      return MakeError(platform::platform_error::kNoMemory, "no_memory_for_job");
    };
    hooks.in_progress = [this](std::string_view job) { return jobs.Contains(job); };
    hooks.submit = [](front_request&) {
      FAIL("a refused job was submitted");
      return http_response{};
    };
    http_request request{.method = "POST", .path = std::string("/q/") + kJob};
    return RunFrontFilters(MakeFrontFilters(hooks), request);
  }
};

// 503 says that the job never runs, which is untrue of a copy of a job that runs.
TEST(CopiedRequest, IsNotToldThatARunningJobDoesNotRun) {
  auto check = [this](int status) {
    LONGS_EQUAL(status, Post().status);
    stopping = true;
    LONGS_EQUAL(status, Post().status);
    stopping = false;
    busy = true;
    http_response refusal = Post();
    LONGS_EQUAL(status, refusal.status);
    // The next attempt may reach an entry with spare capacity.
    STRCMP_EQUAL("close", refusal.headers["connection"].c_str());
    busy = false;
    has_plan = false;
    LONGS_EQUAL(status, Post().status);
    has_plan = true;
  };
  check(503);
  {
    jobs_in_progress::request running(jobs, kJob);
    check(504);
  }
  check(503);
}

TEST(CopiedRequest, AJobIsInProgressUntilItsLastRequestEnds) {
  std::optional<jobs_in_progress::request> first;
  std::optional<jobs_in_progress::request> copy;
  CHECK_FALSE(jobs.Contains(kJob));
  first.emplace(jobs, kJob);
  copy.emplace(jobs, kJob);
  first.reset();
  CHECK_TRUE(jobs.Contains(kJob));
  copy.reset();
  CHECK_FALSE(jobs.Contains(kJob));
}

}  // namespace wagtail::leased
