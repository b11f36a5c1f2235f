#include "dispatch/recovery.h"

#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr uint64_t kDigest = 5;
const target_incarnation kFirst{.target = "a", .number = 1};
const target_incarnation kSecond{.target = "b", .number = 4};

task_record Record(uint32_t index, task_state state) {
  task_record record{.key = {.job = {}, .index = index}, .state = state, .body = std::nullopt};
  record.job_digest = kDigest;
  if (state == task_state::kCompleted) {
    record.body = "done";
  }
  return record;
}

}  // namespace

TEST_GROUP(Recovery) { recovery run{kDigest, 2, {.present = {kFirst, kSecond}}}; };

TEST(Recovery, NothingStartedAnywhereIsNotRun) {
  run.OnReport(kFirst, {});
  CHECK_FALSE(run.FinalAnswer().has_value());
  run.OnReport(kSecond, {});
  CHECK(run.FinalAnswer()->outcome == job_outcome::kFailedNotRun);
}

TEST(Recovery, AnUnreachableTargetRulesOutNotRun) {
  run.OnReport(kFirst, {});
  run.OnUnreachable(kSecond);
  CHECK(run.FinalAnswer()->outcome == job_outcome::kFailedMayHaveRun);
}

TEST(Recovery, ALostIncarnationRulesOutNotRun) {
  recovery lost(kDigest, 2, {.present = {kFirst}, .records_lost = true});
  lost.OnReport(kFirst, {});
  CHECK(lost.FinalAnswer()->outcome == job_outcome::kFailedMayHaveRun);
}

TEST(Recovery, AnExpiredIdRulesOutNotRun) {
  run.OnReport(kFirst, {.forgotten = true, .started = {}});
  run.OnReport(kSecond, {});
  CHECK(run.FinalAnswer()->outcome == job_outcome::kFailedMayHaveRun);
}

TEST(Recovery, WaitsForRunningTasksAndCollectsTheWholeAnswer) {
  run.OnReport(kFirst, {.started = {Record(0, task_state::kCompleted)}});
  run.OnReport(kSecond, {.started = {Record(1, task_state::kRunning)}});
  CHECK_FALSE(run.FinalAnswer().has_value());
  LONGS_EQUAL(1, run.TargetsToQuery().size());
  run.OnReport(kSecond, {.started = {Record(1, task_state::kCompleted)}});
  CHECK(run.FinalAnswer()->outcome == job_outcome::kComplete);
  LONGS_EQUAL(2, run.FinalAnswer()->results.size());
}

TEST(Recovery, PartialResultsAreNeverReturned) {
  run.OnReport(kFirst, {.started = {Record(0, task_state::kCompleted)}});
  run.OnReport(kSecond, {});
  CHECK(run.FinalAnswer()->outcome == job_outcome::kFailedMayHaveRun);
  CHECK(run.FinalAnswer()->results.empty());
  LONGS_EQUAL(1, run.FinalAnswer()->started);
}

TEST(Recovery, ADroppedBodyRulesOutACompleteAnswer) {
  task_record bare = Record(1, task_state::kCompleted);
  bare.body.reset();
  run.OnReport(kFirst, {.started = {Record(0, task_state::kCompleted)}});
  run.OnReport(kSecond, {.started = {bare}});
  CHECK(run.FinalAnswer()->outcome == job_outcome::kFailedMayHaveRun);
}

TEST(Recovery, AFailedTaskNeedsNoFurtherAnswers) {
  run.OnReport(kFirst, {.started = {Record(0, task_state::kFailed)}});
  CHECK(run.FinalAnswer()->outcome == job_outcome::kFailedMayHaveRun);
}

TEST(Recovery, DetectsAnIdUsedForAnotherBody) {
  task_record other = Record(0, task_state::kCompleted);
  other.job_digest = kDigest + 1;
  run.OnReport(kFirst, {.started = {other}});
  CHECK(run.has_different_body());
}

}  // namespace wagtail
