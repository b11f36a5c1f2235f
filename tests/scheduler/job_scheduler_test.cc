#include "tests/scheduler/job_scheduler_fixture.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {

TEST_GROUP_BASE(JobScheduler, job_scheduler_fixture){};

TEST(JobScheduler, ATaskThatCrashedTwoTargetsIsGivenUpAsFailed) {
  AddTarget(1);
  AddTarget(2);
  AddTarget(3);
  Submit(5, Job("a", 1));
  for (size_t run = 0; run < 2; ++run) {
    CHECK_EQUAL(run + 1, orders.size());
    CHECK_EQUAL(0, answers.size());
    scheduler.OnTaskCrashed({.task = orders[run].task, .suspected = true}, now);
    End(orders[run], run_outcome::kLost, "lapsed");
  }
  CHECK_EQUAL(2, orders.size());
  CHECK(answers.at(0).answer.outcome == job_outcome::kFailed);
}

TEST(JobScheduler, ATaskThatTwiceRanBesideACrashingOneIsTriedAgain) {
  AddTarget(1);
  AddTarget(2);
  AddTarget(3);
  Submit(5, Job("a", 1));
  for (size_t run = 0; run < 2; ++run) {
    scheduler.OnTaskCrashed({.task = orders.at(run).task, .suspected = false}, now);
    End(orders[run], run_outcome::kLost, "lapsed");
  }
  CHECK_EQUAL(3, orders.size());
  End(orders[2], run_outcome::kDone);
  CHECK(answers.at(0).answer.outcome == job_outcome::kCompleted);
}

TEST(JobScheduler, ACrashingTaskThatComesAgainAfterItsEntryEndedIsNotStarted) {
  AddTarget(1);
  for (int crash = 0; crash < 2; ++crash) {
    scheduler.OnTaskCrashed({.task = {.job = "a", .step = 0, .index = 1}, .suspected = true}, now);
  }
  Submit(5, Job("a"));
  CHECK_EQUAL(0, orders.size());
  CHECK(answers.at(0).answer.outcome == job_outcome::kFailed);
  Submit(6, Job("b"));
  CHECK_EQUAL(2, orders.size());
}

TEST(JobScheduler, AnswersWhenEveryTaskIsDone) {
  AddTarget(1);
  Submit(5, Job("a"));
  CHECK_EQUAL(2, orders.size());
  End(orders[0], run_outcome::kDone);
  CHECK_EQUAL(0, answers.size());
  End(orders[1], run_outcome::kDone);
  CHECK_EQUAL(5, answers.at(0).serial);
  CHECK(answers[0].answer.outcome == job_outcome::kCompleted);
  CHECK_EQUAL(0, scheduler.jobs());
}

// Several entries may see the same target as free. Its agent returns the tasks it can't start,
// early enough for a start elsewhere that still meets the objective.
TEST(JobScheduler, ATaskThatItsAgentCantStartIsInTimeElsewhere) {
  AddTarget(1);
  job_submission job = Job("a", 1);
  job.steps[0].estimate = Ms(250);  // in time if it starts within 210 ms
  Submit(5, job);
  CHECK_EQUAL(1, sessions.at(0));
  AddTarget(2);
  scheduler.OnReport(1, Serving(0), now);
  End(orders[0], run_outcome::kNotStarted, "no_room");
  CHECK_EQUAL(2, orders.size());
  CHECK_EQUAL(2, sessions[1]);
}

// A voided start may still be carried out by a later incarnation of its target under the same id,
// so "not run" would not be certain.
TEST(JobScheduler, AJobWithAVoidedStartIsNotRefusedAsNotRun) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  scheduler.OnResult(
      {.session = 1, .order = orders[0].order, .outcome = run_outcome::kVoided, .run = 1});
  scheduler.OnSessionClosed(1, now);
  now += Ms(1000);  // past its latest start
  scheduler.Tick(now);
  CHECK_EQUAL(0, answers.size());
  now += Ms(900);
  scheduler.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kAbandoned);
}

TEST(JobScheduler, ALaterStepWaitsForTheEarlierOnes) {
  AddTarget(1);
  job_submission job = Job("a", 1);
  job.steps.push_back(job.steps[0]);
  job.steps[1].after = {0};
  Submit(5, job);
  CHECK_EQUAL(1, orders.size());
  End(orders[0], run_outcome::kDone);
  CHECK_EQUAL(1, orders.at(1).task.step);
}

// After a power loss the targets return one by one, but the callers all at once: jobs that the
// first target can't complete in time are refused on arrival, not at their deadline.
TEST(JobScheduler, RefusesAtOnceWhatTheFirstTargetBackCantDo) {
  scheduler.Tick(now);
  now += Ms(50);
  AddTarget(1);
  scheduler.Tick(now);
  for (request_serial serial = 1; serial <= 40; ++serial) {
    Submit(serial, Job("job-" + std::to_string(serial)));
  }
  CHECK_EQUAL(10, orders.size());  // as many as fit on the target
  CHECK(!answers.empty());
  CHECK(std::ranges::all_of(
      answers, [](const auto& item) { return item.answer.outcome == job_outcome::kRefused; }));
}

TEST(JobScheduler, RefusesAtOnceWithoutATarget) {
  Submit(5, Job("a"));
  CHECK(answers.at(0).answer.outcome == job_outcome::kRefused);
  CHECK(answers[0].answer.retry_after >= std::chrono::seconds(1));
}

TEST(JobScheduler, TriesAFailedTaskAgainElsewhere) {
  AddTarget(1);
  AddTarget(2);
  Submit(5, Job("a", 1));
  session_id first = sessions.at(0);
  End(orders[0], run_outcome::kFailed);
  CHECK_EQUAL(2, orders.size());
  CHECK(sessions[1] != first);
  CHECK_EQUAL(2, orders[1].run);
  End(orders[1], run_outcome::kFailed);
  CHECK(answers.at(0).answer.outcome == job_outcome::kFailed);
}

TEST(JobScheduler, AFailedJobTakesBackItsOtherTasks) {
  AddTarget(1);
  Submit(5, Job("a", 2, 1));
  End(orders[0], run_outcome::kFailed);
  CHECK_EQUAL(1, withdrawn.size());
  CHECK_EQUAL(orders[1].order, withdrawn[0]);
}

TEST(JobScheduler, ATaskThatWasNotStartedKeepsItsAttempts) {
  AddTarget(1);
  Submit(5, Job("a", 1, 1));
  End(orders[0], run_outcome::kNotStarted, "no_room");
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(2, orders.size());
  CHECK_EQUAL(1, orders[1].run);
}

TEST(JobScheduler, ASecondRequestForTheSameJobJoins) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  Submit(6, Job("a", 1));
  CHECK_EQUAL(1, orders.size());
  scheduler.CallerGone(5);
  CHECK_EQUAL(0, withdrawn.size());
  End(orders[0], run_outcome::kDone);
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(6, answers[0].serial);
}

TEST(JobScheduler, WithdrawsTheTasksOfAJobWithoutCallers) {
  AddTarget(1);
  Submit(5, Job("a"));
  scheduler.CallerGone(5);
  CHECK_EQUAL(2, withdrawn.size());
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(0, scheduler.jobs());
}

TEST(JobScheduler, ACancelledJobIsAnswered) {
  AddTarget(1);
  Submit(5, Job("a"));
  CHECK(scheduler.Cancel("a"));
  CHECK(answers.at(0).answer.outcome == job_outcome::kCancelled);
  CHECK_EQUAL(2, withdrawn.size());
  CHECK(!scheduler.Cancel("a"));
}

TEST(JobScheduler, ATaskOfALostAgentWaitsUntilItCantRunAnyMore) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  AddTarget(2);
  scheduler.OnSessionClosed(1, now);
  job_scheduler_options limits;
  duration settle_time = limits.session_lease + limits.lease;
  now += settle_time;
  scheduler.OnReport(2, Serving(), now);
  scheduler.Tick(now);
  scheduler.Place(now);
  CHECK_EQUAL(1, orders.size());
  now += Ms(200);
  scheduler.OnReport(2, Serving(), now);
  scheduler.Tick(now);
  scheduler.Place(now);
  CHECK_EQUAL(2, orders.size());
  CHECK_EQUAL(2, sessions[1]);
  CHECK_EQUAL(2, orders[1].run);
}

TEST(JobScheduler, AnAgentThatIsBackReleasesWhatItNoLongerRuns) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  scheduler.OnSessionClosed(1, now);
  scheduler.OnSessionOpened(3, {.name = "agent-1", .address = "agent-1", .domain = "zone-1"}, now);
  scheduler.OnReport(3, Serving(64'000, false), now);
  scheduler.Place(now);
  CHECK_EQUAL(1, orders.size());
  scheduler.OnReport(3, Serving(64'000, true), now);
  scheduler.Place(now);
  CHECK_EQUAL(2, orders.size());
}

TEST(JobScheduler, ADeadlineEndsAJobThatHasStartedAsAbandoned) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  now += Ms(1890);
  scheduler.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kAbandoned);
  CHECK_EQUAL(1, withdrawn.size());
}

// "Not run" must be true: the agent has not reported yet whether it started the task.
TEST(JobScheduler, AJobWhoseOrdersAreOutIsNeverRefused) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  scheduler.OnSessionClosed(1, now);
  now += Ms(1890);
  scheduler.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kAbandoned);
}

TEST(JobScheduler, AnOverloadedEntryRefusesOnArrival) {
  AddTarget(1, -64'000);
  unsigned refused = 0;
  for (request_serial serial = 1; serial <= 20; ++serial) {
    Submit(serial, Job("job-" + std::to_string(serial), 8));
  }
  for (const received_answer& each : answers) {
    refused += each.answer.outcome == job_outcome::kRefused ? 1 : 0;
  }
  CHECK(refused > 0);
  CHECK(refused < 20);
  CHECK_EQUAL(0, orders.size());
}

TEST(JobScheduler, AJobThatCanNoLongerBeInTimeIsRefusedBeforeItsDeadline) {
  AddTarget(1, -64'000);
  Submit(5, Job("a", 1));
  CHECK_EQUAL(0, answers.size());
  now += Ms(130);
  scheduler.OnReport(1, Serving(-64'000), now);
  scheduler.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kRefused);
}

// A task returned by an agent waits until the next placement although resources are free. This must
// not count as overload.
TEST(JobScheduler, RefusesNothingThatCouldStartNow) {
  AddTarget(1);
  AddTarget(2);
  Submit(1, Job("given-back", 1));
  scheduler.OnResult({.session = sessions.at(0),
                      .order = orders.at(0).order,
                      .task = orders[0].task,
                      .outcome = run_outcome::kNotStarted,
                      .reason = "no_room",
                      .run = 1});  // not placed again yet
  job_submission urgent = Job("urgent", 1);
  urgent.queue.allowance = Ms(-50);  // hardly any slack
  Submit(2, urgent);
  CHECK_EQUAL(0, answers.size());
}

// A job is as late as its last task, whose wait is longer than the expected one.
TEST(JobScheduler, AdmitsNoJobWhoseExpectedWaitTakesMostOfItsSlack) {
  AddTarget(1, 0);
  Submit(1, Job("first", 8));   // occupies the target's whole capacity for 75 ms
  Submit(2, Job("second", 1));  // 114 ms until its latest start
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(2, answers[0].serial);
}

// No target left is fast enough: while resources are free, a late answer is better than a refusal.
TEST(JobScheduler, ServesLateWhereNoTargetIsFastEnough) {
  session_report slow = Serving();
  slow.load.slowness = 2.5;  // 250 ms against an objective of 220 ms
  scheduler.OnSessionOpened(1, {.name = "agent-1", .address = "agent-1", .domain = "zone-1"}, now);
  scheduler.OnReport(1, slow, now);
  Submit(5, Job("a"));
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(2, orders.size());
  now += Ms(60);
  scheduler.Tick(now);
  CHECK_EQUAL(0, answers.size());
}

// The job waits for the fast target, which stays full, while the slow one is free.
TEST(JobScheduler, TakesAFreeSlowTargetRatherThanRefusing) {
  AddTarget(1, 0);
  session_report slow = Serving();
  slow.load.slowness = 2.5;
  scheduler.OnSessionOpened(2, {.name = "agent-2", .address = "agent-2", .domain = "zone-1"}, now);
  scheduler.OnReport(2, slow, now);
  Submit(5, Job("a", 1));
  CHECK_EQUAL(0, orders.size());
  now += Ms(130);
  scheduler.OnReport(1, Serving(0), now);
  scheduler.OnReport(2, slow, now);
  scheduler.Tick(now);
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(2, sessions.at(0));
}

// Otherwise the work already done would be lost, and the caller would wait until the deadline.
TEST(JobScheduler, ABegunJobThatIsLateIsDoneBeforeOneThatCanWait) {
  AddTarget(1);
  Submit(1, Job("begun", 2));
  End(orders[0], run_outcome::kDone);
  now += Ms(400);  // past the objective; useful until 660 ms
  scheduler.OnReport(1, Serving(0), now);
  End(orders[1], run_outcome::kLost);
  job_submission relaxed = Job("relaxed", 1);
  relaxed.queue.allowance = Ms(500);
  Submit(2, relaxed);
  CHECK_EQUAL(2, orders.size());
  scheduler.OnReport(1, Serving(6'000), now);
  scheduler.Place(now);
  STRCMP_EQUAL("begun", orders.at(2).task.job.c_str());
}

TEST(JobScheduler, TheMostUrgentJobIsPlacedFirst) {
  AddTarget(1, -64'000);
  job_submission relaxed = Job("relaxed", 1);
  relaxed.queue.allowance = Ms(900);
  Submit(1, relaxed);
  Submit(2, Job("urgent", 1));
  scheduler.OnReport(1, Serving(6'000), now);
  scheduler.Place(now);
  STRCMP_EQUAL("urgent", orders.at(0).task.job.c_str());
}

TEST(JobScheduler, AJobThatWaitedForTheLoopTooLongIsRefusedAtOnceAsNotRun) {
  AddTarget(1);
  job_submission job = Job("a");
  job.queued = Ms(115);  // its latest start was 114 ms after the arrival
  Submit(5, job);
  CHECK_EQUAL(0, orders.size());
  CHECK(answers.at(0).answer.outcome == job_outcome::kRefused);
  STRCMP_EQUAL("too_old", answers[0].answer.reason.c_str());
  CHECK(answers[0].answer.retry_after > duration::zero());
}

TEST(JobScheduler, CountsTheWaitForTheLoopAsPartOfTheDeadline) {
  AddTarget(1);
  job_submission job = Job("a");
  job.queued = Ms(100);
  Submit(5, job);
  now += job.deadline - job.queued;
  scheduler.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kAbandoned);
}

// Replaced one after the other, entries are gone for seconds each; the others may be small.
TEST(JobScheduler, ADrainingEntryTakesWhatEndsBeforeItself) {
  AddTarget(1);
  scheduler.DrainUntil(kStart + Ms(1000));
  scheduler.Submit(1, Job("a"), now);
  CHECK(answers.empty());
  now = kStart + Ms(990);
  scheduler.OnReport(1, Serving(), now);
  scheduler.Submit(2, Job("b"), now);
  CHECK_EQUAL(1, answers.size());
  CHECK(answers[0].answer.outcome == job_outcome::kRefused);
  STRCMP_EQUAL("stopping", answers[0].answer.reason.c_str());
}

TEST(JobScheduler, AnEntryThatEndsAnswersEveryJob) {
  AddTarget(1);
  scheduler.Submit(1, Job("a"), now);
  scheduler.Place(now);
  scheduler.Submit(2, Job("b"), now);
  scheduler.AbandonAll("stopping");
  CHECK_EQUAL(2, answers.size());
  auto answer_to = [this](request_serial serial) {
    return std::ranges::find(answers, serial, &received_answer::serial)->answer.outcome;
  };
  CHECK(answer_to(1) == job_outcome::kAbandoned);
  CHECK(answer_to(2) == job_outcome::kRefused);
  CHECK_EQUAL(0, scheduler.jobs());
}

// Agents compare entries by what is told here. Where all queues have one priority nothing is told,
// so that such deployments are served as before.
TEST(JobScheduler, TellsTheHighestWaitingPriorityOfAServiceWithSeveral) {
  AddTarget(1, 6000);
  Submit(1, Job("a", 3));
  CHECK(!scheduler.WaitingPriority(1).told);
  CHECK(!scheduler.WaitingPriority(99).told);

  operating_plan plan;
  plan.queues = {{.name = "q", .service = "lights", .priority = 0},
                 {.name = "r", .service = "lights", .priority = 2},
                 {.name = "s", .service = "sounds", .priority = 0}};
  scheduler.SetPlan(plan);
  scheduler.Place(now);
  CHECK(scheduler.WaitingPriority(1) == (waiting_priority{.told = true, .highest = 0}));
}

TEST(JobScheduler, TellsThatNoJobWaits) {
  AddTarget(1);
  operating_plan plan;
  plan.queues = {{.name = "q", .service = "lights", .priority = 0},
                 {.name = "r", .service = "lights", .priority = 2}};
  scheduler.SetPlan(plan);
  Submit(1, Job("a"));
  CHECK_EQUAL(2, orders.size());
  CHECK(scheduler.WaitingPriority(1) == (waiting_priority{.told = true, .highest = std::nullopt}));
}

}  // namespace wagtail::leased
