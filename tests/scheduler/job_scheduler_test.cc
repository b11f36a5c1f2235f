#include "scheduler/job_scheduler.h"

#include <algorithm>
#include <optional>

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

}  // namespace

TEST_GROUP(JobScheduler) {
  struct given_answer {
    request_serial serial;
    job_answer answer;
  };
  std::vector<task_order> orders;
  std::vector<session_id> places;
  std::vector<uint64_t> withdrawn;
  std::vector<given_answer> answers;
  instant now = kStart;
  job_scheduler board{job_scheduler_options{},
                      [this](const order_batch& batch) {
                        for (const task_order& order : batch.orders) {
                          orders.push_back(order);
                          places.push_back(batch.session);
                        }
                      },
                      [this](session_id, uint64_t order) { withdrawn.push_back(order); },
                      [this](request_serial serial, const job_answer& answer) {
                        answers.push_back({serial, answer});
                      },
                      [](const job_log_event&) {}};

  session_report Serving(int64_t free_cpu = 64'000, bool settled = true) {
    return {.load = {.state = target_availability::kServing,
                     .target = "i-1",
                     .service = "lights",
                     .capacity = {.cpu = 64'000, .mem_mb = 1000, .gpu = 0},
                     .free = {.cpu = free_cpu, .mem_mb = 1000, .gpu = 0}},
            .entries = 1,
            .orders_seen = orders.empty() ? 0 : orders.back().order,
            .settled = settled};
  }
  void AddTarget(session_id session, int64_t free_cpu = 64'000) {
    std::string name = "agent-" + std::to_string(session);
    board.OnSessionOpened(session, {.name = name, .address = name, .domain = "zone-1"}, now);
    board.OnReport(session, Serving(free_cpu), now);
  }
  job_submission Job(const std::string& id, uint32_t count = 2, unsigned attempts = 2) {
    return {.id = id,
            .text = std::make_shared<const std::string>("on"),
            .queue = {.name = "q",
                      .service = "lights",
                      .max_attempts = attempts,
                      .stretch = 1.6,
                      .allowance = Ms(60)},
            .steps = {{.count = count,
                       .resources = {.cpu = 6000, .mem_mb = 10, .gpu = 0},
                       .estimate = Ms(100)}},
            .deadline = Ms(1900)};
  }
  void Submit(request_serial serial, job_submission job) {
    board.Submit(serial, std::move(job), now);
    board.Place(now);
  }
  void End(const task_order& order, run_outcome outcome, const std::string& reason = "") {
    board.OnResult({.session = 1,
                    .order = order.order,
                    .task = order.task,
                    .outcome = outcome,
                    .reason = reason,
                    .run = order.run});
    board.Place(now);
  }
};

TEST(JobScheduler, AnswersWhenEveryTaskIsDone) {
  AddTarget(1);
  Submit(5, Job("a"));
  CHECK_EQUAL(2, orders.size());
  End(orders[0], run_outcome::kDone);
  CHECK_EQUAL(0, answers.size());
  End(orders[1], run_outcome::kDone);
  CHECK_EQUAL(5, answers.at(0).serial);
  CHECK(answers[0].answer.outcome == job_outcome::kCompleted);
  CHECK_EQUAL(0, board.jobs());
}

// Several entries may think the same target free. Its agent gives back what it can't start, early
// enough for a start elsewhere that is still in time.
TEST(JobScheduler, ATaskThatItsAgentCantStartIsInTimeElsewhere) {
  AddTarget(1);
  job_submission job = Job("a", 1);
  job.steps[0].estimate = Ms(250);  // in time if it starts within 210 ms
  Submit(5, job);
  CHECK_EQUAL(1, places.at(0));
  AddTarget(2);
  board.OnReport(1, Serving(0), now);
  End(orders[0], run_outcome::kNotStarted, "no_room");
  CHECK_EQUAL(2, orders.size());
  CHECK_EQUAL(2, places[1]);
}

// A start that was made void may still be carried out, in a later life of its target under the same
// id: "not run" would not be certain.
TEST(JobScheduler, AJobWithAVoidedStartIsNotRefusedAsNotRun) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  board.OnResult(
      {.session = 1, .order = orders[0].order, .outcome = run_outcome::kVoided, .run = 1});
  board.OnSessionClosed(1, now);
  now += Ms(1000);  // past its latest start
  board.Tick(now);
  CHECK_EQUAL(0, answers.size());
  now += Ms(900);
  board.Tick(now);
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

// After a loss of power the targets come back one by one, and callers all at once: what the first
// target can't do in time is refused at once, not when its time is over.
TEST(JobScheduler, RefusesAtOnceWhatTheFirstTargetBackCantDo) {
  board.Tick(now);
  now += Ms(50);
  AddTarget(1);
  board.Tick(now);
  for (request_serial serial = 1; serial <= 40; ++serial) {
    Submit(serial, Job("job-" + std::to_string(serial)));
  }
  CHECK_EQUAL(10, orders.size());  // as many as it holds
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
  session_id first = places.at(0);
  End(orders[0], run_outcome::kFailed);
  CHECK_EQUAL(2, orders.size());
  CHECK(places[1] != first);
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
  board.CallerGone(5);
  CHECK_EQUAL(0, withdrawn.size());
  End(orders[0], run_outcome::kDone);
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(6, answers[0].serial);
}

TEST(JobScheduler, WithdrawsTheTasksOfAJobWithoutCallers) {
  AddTarget(1);
  Submit(5, Job("a"));
  board.CallerGone(5);
  CHECK_EQUAL(2, withdrawn.size());
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(0, board.jobs());
}

TEST(JobScheduler, ACancelledJobIsAnswered) {
  AddTarget(1);
  Submit(5, Job("a"));
  CHECK(board.Cancel("a"));
  CHECK(answers.at(0).answer.outcome == job_outcome::kCancelled);
  CHECK_EQUAL(2, withdrawn.size());
  CHECK(!board.Cancel("a"));
}

TEST(JobScheduler, ATaskOfALostAgentWaitsUntilItCantRunAnyMore) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  AddTarget(2);
  board.OnSessionClosed(1, now);
  job_scheduler_options limits;
  duration safe = limits.session_lease + limits.lease;
  now += safe;
  board.OnReport(2, Serving(), now);
  board.Tick(now);
  board.Place(now);
  CHECK_EQUAL(1, orders.size());
  now += Ms(200);
  board.OnReport(2, Serving(), now);
  board.Tick(now);
  board.Place(now);
  CHECK_EQUAL(2, orders.size());
  CHECK_EQUAL(2, places[1]);
  CHECK_EQUAL(2, orders[1].run);
}

TEST(JobScheduler, AnAgentThatIsBackReleasesWhatItNoLongerRuns) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  board.OnSessionClosed(1, now);
  board.OnSessionOpened(3, {.name = "agent-1", .address = "agent-1", .domain = "zone-1"}, now);
  board.OnReport(3, Serving(64'000, false), now);
  board.Place(now);
  CHECK_EQUAL(1, orders.size());
  board.OnReport(3, Serving(64'000, true), now);
  board.Place(now);
  CHECK_EQUAL(2, orders.size());
}

TEST(JobScheduler, ADeadlineEndsAJobThatHasStartedAsAbandoned) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  now += Ms(1890);
  board.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kAbandoned);
  CHECK_EQUAL(1, withdrawn.size());
}

// "Not run" must be true: the agent has not said yet whether it started the task.
TEST(JobScheduler, AJobWhoseOrdersAreOutIsNeverRefused) {
  AddTarget(1);
  Submit(5, Job("a", 1));
  board.OnSessionClosed(1, now);
  now += Ms(1890);
  board.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kAbandoned);
}

TEST(JobScheduler, AnOverloadedEntryRefusesOnArrival) {
  AddTarget(1, -64'000);
  unsigned refused = 0;
  for (request_serial serial = 1; serial <= 20; ++serial) {
    Submit(serial, Job("job-" + std::to_string(serial), 8));
  }
  for (const given_answer& each : answers) {
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
  board.OnReport(1, Serving(-64'000), now);
  board.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kRefused);
}

// A task that an agent gave back waits for a moment although there is room: that is no overload.
TEST(JobScheduler, RefusesNothingThatCouldStartNow) {
  AddTarget(1);
  AddTarget(2);
  Submit(1, Job("given-back", 1));
  board.OnResult({.session = places.at(0),
                  .order = orders.at(0).order,
                  .task = orders[0].task,
                  .outcome = run_outcome::kNotStarted,
                  .reason = "no_room",
                  .run = 1});  // not placed again yet
  job_submission hurried = Job("hurried", 1);
  hurried.queue.allowance = Ms(-50);  // hardly any slack
  Submit(2, hurried);
  CHECK_EQUAL(0, answers.size());
}

// The wait of the last of its tasks decides, which is longer than the expected one.
TEST(JobScheduler, AdmitsNoJobWhoseExpectedWaitTakesMostOfItsSlack) {
  AddTarget(1, 0);
  Submit(1, Job("first", 8));   // 75 ms of the target's whole capacity
  Submit(2, Job("second", 1));  // 114 ms until its latest start
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(2, answers[0].serial);
}

// Late is better than refused while there is room: no target left is fast enough.
TEST(JobScheduler, ServesLateWhereNoTargetIsFastEnough) {
  session_report slow = Serving();
  slow.load.slowness = 2.5;  // 250 ms against an objective of 220 ms
  board.OnSessionOpened(1, {.name = "agent-1", .address = "agent-1", .domain = "zone-1"}, now);
  board.OnReport(1, slow, now);
  Submit(5, Job("a"));
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(2, orders.size());
  now += Ms(60);
  board.Tick(now);
  CHECK_EQUAL(0, answers.size());
}

// It waits for the fast target, which stays full; the slow one has been free all the while.
TEST(JobScheduler, TakesAFreeSlowTargetRatherThanRefusing) {
  AddTarget(1, 0);
  session_report slow = Serving();
  slow.load.slowness = 2.5;
  board.OnSessionOpened(2, {.name = "agent-2", .address = "agent-2", .domain = "zone-1"}, now);
  board.OnReport(2, slow, now);
  Submit(5, Job("a", 1));
  CHECK_EQUAL(0, orders.size());
  now += Ms(130);
  board.OnReport(1, Serving(0), now);
  board.OnReport(2, slow, now);
  board.Tick(now);
  CHECK_EQUAL(0, answers.size());
  CHECK_EQUAL(2, places.at(0));
}

// What it has cost already would be lost, and its caller would wait until the deadline.
TEST(JobScheduler, ABegunJobThatIsLateIsDoneBeforeOneThatCanWait) {
  AddTarget(1);
  Submit(1, Job("begun", 2));
  End(orders[0], run_outcome::kDone);
  now += Ms(400);  // late; of use until 660 ms
  board.OnReport(1, Serving(0), now);
  End(orders[1], run_outcome::kLost);
  job_submission patient = Job("patient", 1);
  patient.queue.allowance = Ms(500);
  Submit(2, patient);
  CHECK_EQUAL(2, orders.size());
  board.OnReport(1, Serving(6'000), now);
  board.Place(now);
  STRCMP_EQUAL("begun", orders.at(2).task.job.c_str());
}

TEST(JobScheduler, TheMostUrgentJobIsPlacedFirst) {
  AddTarget(1, -64'000);
  job_submission patient = Job("patient", 1);
  patient.queue.allowance = Ms(900);
  Submit(1, patient);
  Submit(2, Job("urgent", 1));
  board.OnReport(1, Serving(6'000), now);
  board.Place(now);
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
  board.Tick(now);
  CHECK(answers.at(0).answer.outcome == job_outcome::kAbandoned);
}

}  // namespace wagtail::leased
