#include "base/memory_budget.h"
#include "tests/scheduler/job_scheduler_fixture.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {

TEST_GROUP_BASE(JobLimits, job_scheduler_fixture){};

// A job of ten thousand tasks that ask for nothing kept its agent busy until its sessions ended.
TEST(JobLimits, TasksThatAskForNothingDoNotFloodATarget) {
  AddTarget(1);
  job_submission job = Job("a", 10'000);
  job.steps[0].resources = {};
  Submit(5, std::move(job));
  CHECK_EQUAL(kMaxTasksPerTarget, orders.size());
  End(orders[0], run_outcome::kDone);
  scheduler.OnReport(1, Serving(64'000 / kMaxTasksPerTarget), now);
  scheduler.Place(now);
  CHECK_EQUAL(kMaxTasksPerTarget + 1, orders.size());
}

// The budget for jobs is right only if a job gives its part back when it is gone.
TEST(JobLimits, AJobKeepsItsPartOfTheBudgetUntilItEnds) {
  AddTarget(1);
  auto budget = std::make_shared<memory_budget>(
      memory_budget_options{.total_bytes = 1000, .small_reserve_bytes = 0});
  job_submission first = Job("a", 1);
  first.memory = memory_reservation::Make(budget, 600);
  Submit(5, std::move(first));
  CHECK_EQUAL(600, budget->held_bytes());
  // A caller that sends the same job again holds no second part.
  job_submission again = Job("a", 1);
  again.memory = memory_reservation::Make(budget, 400);
  Submit(6, std::move(again));
  CHECK_EQUAL(600, budget->held_bytes());
  scheduler.CallerGone(5);
  CHECK_EQUAL(600, budget->held_bytes());
  End(orders.at(0), run_outcome::kDone);
  CHECK_EQUAL(0, budget->held_bytes());
}

// Nine jobs of ten thousand tasks kept every larger job out until their callers' deadline.
TEST(JobLimits, ALargeJobGivesWayToOneThatFindsNoMemory) {
  AddTarget(1, 6000);
  auto budget = std::make_shared<memory_budget>(
      memory_budget_options{.total_bytes = 4 << 20, .small_reserve_bytes = 1 << 20});
  auto submit = [&](request_serial serial, const std::string& id, size_t bytes) {
    job_submission job = Job(id, 1);
    job.deadline = std::chrono::hours(24);
    job.queue.allowance = std::chrono::hours(24);
    job.memory = memory_reservation::Make(budget, bytes);
    Submit(serial, std::move(job));
  };
  submit(1, "small", kSmallReservationBytes);
  now += Ms(1);
  submit(2, "first", 1 << 20);
  now += Ms(1);
  submit(3, "second", 1 << 20);
  CHECK_EQUAL(1, orders.size());
  now += std::chrono::seconds(9);
  scheduler.GiveUpLargeJob(now);
  CHECK_EQUAL(0, answers.size());
  now += std::chrono::seconds(2);
  scheduler.GiveUpLargeJob(now);
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(2, answers[0].serial);
  // Nothing of it ran, and the answer says so.
  CHECK(answers[0].answer.outcome == job_outcome::kRefused);
  CHECK_EQUAL(kSmallReservationBytes + (1 << 20), budget->held_bytes());
}

// Tasks that wait for memory were ordered and refused again a thousand times a second.
TEST(JobLimits, NothingIsOrderedFromATargetWhoseMemoryIsTaken) {
  AddTarget(1);
  job_submission job = Job("a", 2);
  job.steps[0].resources = {.cpu = 6000, .mem_mb = 1000, .gpu = 0};
  Submit(5, std::move(job));
  CHECK_EQUAL(1, orders.size());
}

// A job whose tasks wait for memory must not keep out jobs for which there is room.
TEST(JobLimits, AJobThatWaitsForMemoryLeavesTheProcessorsToOthers) {
  AddTarget(1);
  job_submission job = Job("a", 2);
  job.steps[0].resources = {.cpu = 6000, .mem_mb = 990, .gpu = 0};
  Submit(5, std::move(job));
  now += Ms(1);
  Submit(6, Job("b", 1));
  CHECK_EQUAL(2, orders.size());
  STRCMP_EQUAL("b", orders[1].task.job.c_str());
}

// Callers of one service must not wait for room at the targets of another.
TEST(JobLimits, AServiceWithoutRoomKeepsNoOtherOut) {
  AddTarget(1, 6000);
  session_report fans = Serving();
  fans.load.service = "fans";
  scheduler.OnSessionOpened(2, {.name = "fan", .address = "fan", .domain = "zone-1"}, now);
  scheduler.OnReport(2, fans, now);
  Submit(5, Job("a", 2));
  CHECK_EQUAL(1, orders.size());
  now += Ms(1);
  job_submission other = Job("b", 1);
  other.queue.service = "fans";
  Submit(6, std::move(other));
  CHECK_EQUAL(2, orders.size());
  CHECK_EQUAL(2, sessions[1]);
}

}  // namespace wagtail::leased
