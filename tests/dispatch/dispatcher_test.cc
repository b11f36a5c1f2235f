#include "dispatch/dispatcher.h"

#include <algorithm>
#include <memory>

#include "tests/dispatch/fake_placement.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{std::chrono::hours(1)};
constexpr uint64_t kUptimeMs = 10'000;
constexpr uint64_t kRevision = 50;
const target_incarnation kFirst{.target = "a", .number = 1};
const target_incarnation kSecond{.target = "b", .number = 1};

job_submission Submission(uint64_t sequence, uint32_t tasks) {
  job_submission submission;
  submission.key = {.owner = {.nonce = 1}, .sequence = sequence};
  submission.team = "club";
  submission.digest = 77;
  submission.minted_uptime_ms = kUptimeMs;
  submission.registry_revision = kRevision;
  submission.deadline = kStart + seconds(10);
  submission.needs = {{.service = "court-control", .requirements = {}}};
  for (uint32_t index = 0; index < tasks; ++index) {
    submission.tasks.push_back({.service = "court-control", .body = "on", .timeout = seconds(1)});
  }
  return submission;
}

}  // namespace

TEST_GROUP(Dispatcher) {
  fake_placement* places = nullptr;
  std::unique_ptr<dispatcher> decisions;
  std::vector<job_answer> answers;
  std::vector<start_action> starts;
  std::vector<withdraw_action> withdrawals;

  void setup() override { Make({}); }

  void Make(const dispatcher_options& options) {
    auto made = std::make_unique<fake_placement>();
    places = made.get();
    decisions = std::make_unique<dispatcher>(options, std::move(made));
    Add(kFirst, 10);
    Add(kSecond, 10);
  }
  void Add(const target_incarnation& target, uint64_t revision) {
    target_profile profile;
    profile.incarnation = target;
    profile.service = "court-control";
    decisions->AddTarget(profile, revision, kStart);
  }
  submit_outcome Submit(job_submission submission, instant now = kStart) {
    submit_outcome outcome = decisions->Submit(
        std::move(submission), [this](const job_answer& answer) { answers.push_back(answer); },
        kUptimeMs, now);
    Take();
    return outcome;
  }
  void Take() {
    for (dispatch_action& action : decisions->TakeActions()) {
      if (auto* start = std::get_if<start_action>(&action)) {
        starts.push_back(std::move(*start));
      } else if (auto* withdrawal = std::get_if<withdraw_action>(&action)) {
        withdrawals.push_back(std::move(*withdrawal));
      } else {
        auto& answer = std::get<answer_action>(action);
        for (const answer_hook& hook : answer.waiting) {
          hook(answer.answer);
        }
      }
    }
  }
  void Finish(const start_action& start, const char* body = "done") {
    task_result result;
    result.key = start.request.key;
    result.completed = true;
    result.body = body;
    decisions->OnResult(start.target, result, {}, kStart);
    Take();
  }
  void Refuse(const start_action& start, refusal reason) {
    decisions->OnVerdict(start.target, start.request.key, reason, {}, kStart);
    Take();
  }
  void CheckOnlyAnswer(job_outcome outcome, const char* reason) {
    LONGS_EQUAL(1, answers.size());
    STRCMP_EQUAL(std::string(ToString(outcome)).c_str(),
                 std::string(ToString(answers[0].outcome)).c_str());
    STRCMP_EQUAL(reason, answers[0].reason.c_str());
  }
};

TEST(Dispatcher, GivesTheWholeAnswerInTheOrderOfTheTasks) {
  CHECK(Submit(Submission(1, 3)) == submit_outcome::kAccepted);
  LONGS_EQUAL(3, starts.size());
  Finish(starts[2], "third");
  Finish(starts[0], "first");
  CHECK(answers.empty());
  Finish(starts[1], "second");
  CheckOnlyAnswer(job_outcome::kComplete, "");
  STRCMP_EQUAL("first", answers[0].results[0].body.c_str());
  STRCMP_EQUAL("third", answers[0].results[2].body.c_str());
}

TEST(Dispatcher, ASecondSubmissionJoinsTheFirstAndStartsNothing) {
  Submit(Submission(1, 1));
  CHECK(Submit(Submission(1, 1)) == submit_outcome::kJoined);
  LONGS_EQUAL(1, starts.size());
  Finish(starts[0]);
  LONGS_EQUAL(2, answers.size());
  CHECK(Submit(Submission(1, 1)) == submit_outcome::kJoined);
  LONGS_EQUAL(3, answers.size());
  LONGS_EQUAL(1, starts.size());
}

TEST(Dispatcher, AnIdIsRejectedForADifferentBody) {
  Submit(Submission(1, 1));
  job_submission other = Submission(1, 1);
  other.digest = 78;
  CHECK(Submit(std::move(other)) == submit_outcome::kDifferentBody);
}

TEST(Dispatcher, AnExpiredIdIsRejected) {
  job_submission old = Submission(1, 1);
  old.minted_uptime_ms = 0;
  submit_outcome outcome = decisions->Submit(
      std::move(old), [](const job_answer& /*answer*/) {}, 301'000, kStart);
  CHECK(outcome == submit_outcome::kExpired);
}

TEST(Dispatcher, AnIdIsForgottenOnlyWhenItWouldBeRefused) {
  Submit(Submission(1, 1));
  Finish(starts[0]);
  decisions->Tick(kUptimeMs + 300'000, kStart);
  CHECK(decisions->FindJob(Submission(1, 1).key) != nullptr);
  decisions->Tick(kUptimeMs + 300'001, kStart);
  CHECK(decisions->FindJob(Submission(1, 1).key) == nullptr);
}

TEST(Dispatcher, ARefusedTaskIsSentToAnotherTarget) {
  Submit(Submission(1, 1));
  Refuse(starts[0], refusal::kLeaving);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].target == kSecond);
  Finish(starts[1]);
  CheckOnlyAnswer(job_outcome::kComplete, "");
}

TEST(Dispatcher, ATaskThatMayHaveStartedIsNeverSentAgain) {
  Submit(Submission(1, 1));
  decisions->OnLinkLost(kFirst, kStart);
  decisions->Tick(kUptimeMs, kStart + seconds(4));
  Take();
  LONGS_EQUAL(1, starts.size());
  decisions->Tick(kUptimeMs, kStart + seconds(5));
  Take();
  LONGS_EQUAL(1, starts.size());
  CheckOnlyAnswer(job_outcome::kFailedMayHaveRun, "target_unreachable");
}

TEST(Dispatcher, ATaskProvenNotStartedIsRescheduledAfterALostLink) {
  Submit(Submission(1, 1));
  decisions->OnLinkLost(kFirst, kStart);
  LONGS_EQUAL(1, decisions->Unsettled(kFirst).size());
  task_record record;
  record.key = starts[0].request.key;
  decisions->OnSettled(kFirst, record, kStart);
  Take();
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].target == kSecond);
}

TEST(Dispatcher, AResultReportedBySettlingCompletesTheJob) {
  Submit(Submission(1, 1));
  decisions->OnLinkLost(kFirst, kStart);
  task_record record;
  record.key = starts[0].request.key;
  record.state = task_state::kCompleted;
  record.body = "done";
  decisions->OnSettled(kFirst, record, kStart);
  Take();
  CheckOnlyAnswer(job_outcome::kComplete, "");
}

TEST(Dispatcher, TasksOfAReplacedTargetAreLost) {
  Submit(Submission(1, 2));
  Finish(starts[0]);
  decisions->RemoveTarget(kFirst, kStart);
  Take();
  CheckOnlyAnswer(job_outcome::kFailedMayHaveRun, "target_lost");
  CHECK(answers[0].results.empty());
}

TEST(Dispatcher, AFailedTaskEndsItsJobAtOnceAndWithdrawsTheRest) {
  Submit(Submission(1, 3));
  task_result failed;
  failed.key = starts[1].request.key;
  decisions->OnResult(starts[1].target, failed, {}, kStart);
  Take();
  CheckOnlyAnswer(job_outcome::kFailedMayHaveRun, "task_failed");
  LONGS_EQUAL(1, answers[0].started);
  LONGS_EQUAL(2, withdrawals.size());
  Finish(starts[0]);  // late, and of no consequence
  LONGS_EQUAL(1, answers.size());
}

TEST(Dispatcher, AJobNotStartedByItsDeadlineFailsAsNotRun) {
  places->targets[kFirst].room = 0;
  places->targets[kSecond].room = 0;
  Submit(Submission(1, 2));
  decisions->Tick(kUptimeMs, kStart + seconds(10));
  Take();
  CheckOnlyAnswer(job_outcome::kFailedNotRun, "deadline_exceeded");
  CHECK(answers[0].retry_after > duration::zero());
  LONGS_EQUAL(0, decisions->waiting_count());
}

TEST(Dispatcher, CancellingReleasesWaitingTasksAtOnce) {
  places->targets[kFirst].room = 1;
  places->targets[kSecond].room = 0;
  Submit(Submission(1, 5));
  LONGS_EQUAL(4, decisions->waiting_count());
  CHECK(decisions->Cancel(Submission(1, 5).key, kStart));
  Take();
  LONGS_EQUAL(0, decisions->waiting_count());
  CheckOnlyAnswer(job_outcome::kFailedMayHaveRun, "cancelled");
  CHECK_FALSE(decisions->Cancel(Submission(1, 5).key, kStart));
}

TEST(Dispatcher, MassCancellationLeavesNoWaitingTasks) {
  places->targets[kFirst].room = 0;
  places->targets[kSecond].room = 0;
  for (uint64_t sequence = 1; sequence <= 2000; ++sequence) {
    Submit(Submission(sequence, 20));
    CHECK(decisions->Cancel(Submission(sequence, 20).key, kStart));
  }
  Take();
  LONGS_EQUAL(0, decisions->waiting_count());
  LONGS_EQUAL(0, decisions->jobs_in_progress());
  places->targets[kFirst].room = 100;
  Submit(Submission(3000, 1));
  LONGS_EQUAL(1, starts.size());
}

TEST(Dispatcher, AnImpossibleJobIsRefusedAtOnce) {
  job_submission impossible = Submission(1, 1);
  impossible.needs.push_back({.service = "hive-health", .requirements = {}});
  Submit(std::move(impossible));
  CheckOnlyAnswer(job_outcome::kFailedNotRun, "no_target_for_service:hive-health");
}

TEST(Dispatcher, ShedsAJobThatDoesNotFitTheQueue) {
  dispatcher_options options;
  options.waiting.max_tasks = 2;
  Make(options);
  Submit(Submission(1, 3));
  CheckOnlyAnswer(job_outcome::kFailedNotRun, "overloaded");
  CHECK(answers[0].retry_after > duration::zero());
}

TEST(Dispatcher, LaterStagesWaitForEarlierOnes) {
  job_submission staged = Submission(1, 2);
  staged.tasks[0].stage = 1;
  Submit(std::move(staged));
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, starts[0].request.key.index);
  Finish(starts[0]);
  LONGS_EQUAL(2, starts.size());
  LONGS_EQUAL(0, starts[1].request.key.index);
}

TEST(Dispatcher, GivesNoJobToATargetAnnouncedAfterItsIdWasMinted) {
  target_incarnation late{.target = "0", .number = 1};  // first in the order of the fake
  Add(late, kRevision + 1);
  Submit(Submission(1, 1));
  CHECK(starts[0].target == kFirst);
}

TEST(Dispatcher, StoppingFailsUnstartedJobsAndLetsOthersFinish) {
  Submit(Submission(1, 1));
  places->targets[kFirst].room = 0;
  places->targets[kSecond].room = 0;
  Submit(Submission(2, 1));
  decisions->BeginStop(kStart);
  Take();
  CheckOnlyAnswer(job_outcome::kFailedNotRun, "stopping");
  Finish(starts[0]);
  LONGS_EQUAL(2, answers.size());
  CHECK(answers[1].outcome == job_outcome::kComplete);
}

TEST(Dispatcher, AFencedTaskEndsItsJob) {
  Submit(Submission(1, 2));
  Finish(starts[0]);
  Refuse(starts[1], refusal::kFenced);
  CheckOnlyAnswer(job_outcome::kFailedMayHaveRun, "recovered_by_another_entry");
}

TEST(Dispatcher, ATaskRefusedByEveryTargetFailsAtOnceAndBlocksNoOther) {
  Submit(Submission(1, 1));
  Refuse(starts[0], refusal::kWithdrawn);
  Refuse(starts[1], refusal::kWithdrawn);
  CheckOnlyAnswer(job_outcome::kFailedNotRun, "no_target_left");
  Submit(Submission(2, 1));
  LONGS_EQUAL(3, starts.size());
}

TEST(Dispatcher, AJobWithoutTargetFailsOnlyOnceNotRunIsProven) {
  Submit(Submission(1, 2));
  Refuse(starts[0], refusal::kWithdrawn);
  Refuse(starts[2], refusal::kWithdrawn);
  CHECK(answers.empty());
  Refuse(starts[1], refusal::kWithdrawn);
  Refuse(starts[3], refusal::kWithdrawn);
  CheckOnlyAnswer(job_outcome::kFailedNotRun, "no_target_left");
}

TEST(Dispatcher, ATaskWaitingForOneTargetBlocksNoOther) {
  places->targets[kSecond].room = 0;
  Submit(Submission(1, 1));
  Refuse(starts[0], refusal::kWithdrawn);
  Submit(Submission(2, 1));
  LONGS_EQUAL(2, starts.size());
  LONGS_EQUAL(2, starts[1].request.key.job.sequence);
  CHECK(answers.empty());
  places->targets[kSecond].room = 1;
  Finish(starts[1]);
  LONGS_EQUAL(3, starts.size());
  LONGS_EQUAL(1, starts[2].request.key.job.sequence);
}

TEST(Dispatcher, RepeatedRefusalsFailTheJob) {
  dispatcher_options options;
  options.max_refusals = 3;
  Make(options);
  Submit(Submission(1, 1));
  for (size_t refused = 0; refused < 4; ++refused) {
    Refuse(starts[refused], refusal::kFull);
  }
  CheckOnlyAnswer(job_outcome::kFailedNotRun, "refused_too_often");
}

TEST(Dispatcher, ABurstOfOneTeamDoesNotHoldUpAnother) {
  places->targets[kFirst].room = 0;
  places->targets[kSecond].room = 0;
  Submit(Submission(1, 50));
  job_submission other = Submission(2, 1);
  other.team = "apiary";
  Submit(std::move(other));
  places->targets[kFirst].room = 3;
  decisions->Tick(kUptimeMs, kStart);
  Take();
  CHECK(std::ranges::any_of(
      starts, [](const start_action& start) { return start.request.key.job.sequence == 2; }));
}

TEST(Dispatcher, RefusesAJobThatWouldWaitPastItsDeadline) {
  places->targets[kFirst].room = 1;
  places->targets[kSecond].room = 0;
  Submit(Submission(1, 10));
  for (uint64_t second = 1; second <= 5; ++second) {  // one task a second
    Finish(starts[second - 1]);
    decisions->Tick(kUptimeMs, kStart + seconds(second));
    Take();
  }
  job_submission late = Submission(2, 100);
  late.deadline = kStart + seconds(7);
  Submit(std::move(late), kStart + seconds(6));
  CheckOnlyAnswer(job_outcome::kFailedNotRun, "overloaded");
}

TEST(Dispatcher, RetriesStayWithinTheirBudget) {
  dispatcher_options options;
  options.retries = {.retries_per_first_attempt = 0, .max_saved = 0, .floor_per_second = 1};
  Make(options);
  places->targets[kSecond].room = 0;
  Submit(Submission(1, 2));
  Refuse(starts[0], refusal::kFull);
  Refuse(starts[1], refusal::kFull);
  LONGS_EQUAL(3, starts.size());
  decisions->Tick(kUptimeMs, kStart + seconds(1));
  Take();
  LONGS_EQUAL(4, starts.size());
}

TEST(Dispatcher, DuplicateAndLateMessagesChangeNothing) {
  Submit(Submission(1, 1));
  Finish(starts[0]);
  Finish(starts[0]);
  Refuse(starts[0], refusal::kFull);
  LONGS_EQUAL(1, answers.size());
  LONGS_EQUAL(1, starts.size());
}

}  // namespace wagtail
