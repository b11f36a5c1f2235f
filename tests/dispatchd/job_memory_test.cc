#include "services/dispatchd/job_memory.h"

#include <string>

#include "platform/platform_error.h"
#include "scheduler/job_scheduler.h"
#include "services/dispatchd/front_filters.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

using platform::platform_error;

constexpr uint32_t kManyTasks = 10'000;
constexpr size_t kMiB = 1 << 20;

platform::job_body JobOf(uint32_t tasks) {
  return {.text = "on", .steps = {{.count = tasks, .resources = {.cpu = 6000}}}};
}

}  // namespace

TEST_GROUP(JobMemory) {
  metrics_registry metrics;
  job_memory memory{{.total_bytes = 4 * kMiB, .small_reserve_bytes = kMiB}, metrics};
};

// Callers filled the memory of an entry with jobs of ten thousand tasks each.
TEST(JobMemory, LargeJobsLeaveTheReserveToSmallOnes) {
  auto first = memory.Reserve(JobOf(kManyTasks));
  CHECK(first.ok());
  auto second = memory.Reserve(JobOf(kManyTasks));
  CHECK(ErrorOf<platform_error>(second.status()) == platform_error::kNoMemory);
  CHECK(memory.Reserve(JobOf(8)).ok());
  first = absl::CancelledError();
  CHECK(memory.Reserve(JobOf(kManyTasks)).ok());
  CHECK(
      metrics.Write().find("wagtail_entry_job_memory_refusals_total{reason=\"no_memory_for_job\"} "
                           "1") != std::string::npos);
}

// A caller must not be told to come back with a job that never fits.
TEST(JobMemory, AJobLargerThanTheBudgetIsTooLarge) {
  platform::job_body job = JobOf(1);
  job.text = std::string(4 * kMiB, 'x');
  CHECK(ErrorOf<platform_error>(memory.Reserve(job).status()) == platform_error::kTooLarge);
}

// The memory that a job takes is more than that of its tasks.
TEST(JobMemory, StepsAndTheirDependenciesCount) {
  std::vector<job_step> steps(100, job_step{.count = 1});
  size_t plain = job_scheduler::MemoryBytes(steps, 0);
  std::vector<job_step> one(1, job_step{.count = 100});
  CHECK(plain > job_scheduler::MemoryBytes(one, 0) + 99 * sizeof(job_step));
  steps.back().after.assign(1000, 0);
  CHECK(job_scheduler::MemoryBytes(steps, 0) >= plain + 1000 * sizeof(uint32_t));
}

TEST(JobMemory, ARefusalSaysThatNothingRanAndWhetherToComeBack) {
  absl::Status error;
  bool in_progress = false;
  front_hooks hooks;
  hooks.stopping = [] { return false; };
  hooks.busy = [] { return false; };
  hooks.await_plan = [](duration) { return std::optional(duration::zero()); };
  hooks.queue = [](const std::string&, const std::string&) {
    return queue_match{.max_body_bytes = 1000, .queue = queue_plan{.path_prefix = "/q/"}};
  };
  hooks.decode = [&](std::string_view) -> absl::StatusOr<platform::job_body> { return error; };
  hooks.in_progress = [&](std::string_view) { return in_progress; };
  hooks.submit = [](front_request&) {
    FAIL("a refused job was submitted");
    return http_response{};
  };
  http_request request{.method = "POST", .path = "/q/5c0e7a21d94b36f8"};
  error = MakeError(platform_error::kNoMemory, "no_memory_for_job");
  http_response refusal = RunFrontFilters(MakeFrontFilters(hooks), request);
  CHECK_EQUAL(503, refusal.status);
  STRCMP_EQUAL("1", refusal.headers["retry-after"].c_str());
  // A copy of a job that runs: 503 would be untrue.
  in_progress = true;
  CHECK_EQUAL(504, RunFrontFilters(MakeFrontFilters(hooks), request).status);
  error = MakeError(platform_error::kTooLarge, "job_too_large");
  refusal = RunFrontFilters(MakeFrontFilters(hooks), request);
  CHECK_EQUAL(413, refusal.status);
  CHECK_FALSE(refusal.headers.contains("retry-after"));
}

}  // namespace wagtail::leased
