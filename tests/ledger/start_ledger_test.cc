#include "ledger/start_ledger.h"

#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr instant kStart{std::chrono::seconds(1000)};
constexpr uint64_t kOwner = 11;
constexpr uint64_t kUptimeMs = 50'000;

start_request Request(uint64_t sequence, uint32_t index) {
  start_request request;
  request.key = {.job = {.owner = {kOwner}, .sequence = sequence}, .index = index};
  request.task_count = 4;
  request.job_digest = 99;
  request.minted_uptime_ms = kUptimeMs;
  request.registry_revision = 20;
  request.service = "court-control";
  return request;
}

start_ledger_options Options() {
  start_ledger_options options;
  options.self = {.target = "t1", .number = 3};
  options.announced_revision = 10;
  options.slots = 2;
  options.queue_limit = 1;
  return options;
}

}  // namespace

TEST_GROUP(StartLedger) {
  refusal gate = refusal::kNone;
  start_ledger ledger{Options(), [this](instant /*now*/) { return gate; }};

  refusal Accept(uint64_t sequence, uint32_t index, instant now = kStart) {
    return ledger.Accept(Request(sequence, index), kUptimeMs, now);
  }
  bool StartNext(instant now = kStart) {
    auto next = ledger.TakeNext(now);
    return next.has_value() && next->reason == refusal::kNone;
  }
  void Finish(uint64_t sequence, uint32_t index, const char* body = "done") {
    task_result result;
    result.key = Request(sequence, index).key;
    result.completed = true;
    result.body = body;
    ledger.Finish(result, kStart);
  }
};

TEST(StartLedger, RefusesASecondStartOfATaskForAsLongAsItsIdLives) {
  CHECK(Accept(1, 0) == refusal::kNone);
  CHECK(StartNext());
  CHECK(Accept(1, 0) == refusal::kAlreadyKnown);
  Finish(1, 0);
  instant late = kStart + std::chrono::minutes(4);
  ledger.Expire(late);
  CHECK(Accept(1, 0, late) == refusal::kAlreadyKnown);
}

TEST(StartLedger, RefusesAnIdAfterItsRecordExpired) {
  CHECK(Accept(1, 0) == refusal::kNone);
  CHECK(StartNext());
  Finish(1, 0);
  instant late = kStart + std::chrono::minutes(6);
  ledger.Expire(late);
  LONGS_EQUAL(0, ledger.record_count());
  CHECK(Accept(1, 0, late) == refusal::kExpired);
}

TEST(StartLedger, IdsOfAFrozenOwnerStillExpire) {
  // The owner's machine stood still for ten minutes: its own uptime says that the id is young.
  CHECK(ledger.Accept(Request(1, 0), kUptimeMs, kStart) == refusal::kNone);
  instant late = kStart + std::chrono::minutes(10);
  CHECK(ledger.Accept(Request(2, 0), kUptimeMs + 10, late) == refusal::kExpired);
}

TEST(StartLedger, AFenceHoldsForAnUnknownOwner) {
  job_key job = Request(1, 0).key.job;
  fence_report report = ledger.FenceJob(job, kUptimeMs, kStart);
  CHECK_FALSE(report.forgotten);
  CHECK(report.started.empty());
  CHECK(Accept(1, 0) == refusal::kFenced);
  instant late = kStart + std::chrono::minutes(6);
  ledger.Expire(late);
  CHECK(Accept(1, 0, late) == refusal::kExpired);
}

TEST(StartLedger, AFenceReportsStartedTasksAndWithdrawsQueuedOnes) {
  CHECK(Accept(1, 0) == refusal::kNone);
  CHECK(StartNext());
  CHECK(Accept(1, 1) == refusal::kNone);
  fence_report report = ledger.FenceJob(Request(1, 0).key.job, kUptimeMs, kStart);
  LONGS_EQUAL(1, report.started.size());
  CHECK(report.started[0].state == task_state::kRunning);
  LONGS_EQUAL(99, report.started[0].job_digest);
  CHECK_FALSE(StartNext());
  Finish(1, 0, "answer");
  report = ledger.FenceJob(Request(1, 0).key.job, kUptimeMs, kStart);
  CHECK(report.started[0].state == task_state::kCompleted);
  STRCMP_EQUAL("answer", report.started[0].body->c_str());
}

TEST(StartLedger, SettlingAnUnknownTaskRefusesItPermanently) {
  std::vector<start_request> asked = {Request(1, 0)};
  std::vector<task_record> records = ledger.Settle(asked, queued_tasks::kKeep, kStart);
  CHECK(records[0].state == task_state::kNeverStarted);
  CHECK(Accept(1, 0) == refusal::kFenced);
}

TEST(StartLedger, WithdrawingReleasesQueuedTasksOnly) {
  CHECK(Accept(1, 0) == refusal::kNone);
  CHECK(StartNext());
  CHECK(Accept(1, 1) == refusal::kNone);
  std::vector<start_request> asked = {Request(1, 0), Request(1, 1)};
  std::vector<task_record> records = ledger.Settle(asked, queued_tasks::kWithdraw, kStart);
  CHECK(records[0].state == task_state::kRunning);
  CHECK(records[1].state == task_state::kNeverStarted);
  LONGS_EQUAL(0, ledger.queued());
}

TEST(StartLedger, ReportsAJobWithAnExpiredIdAsForgotten) {
  CHECK(Accept(1, 0) == refusal::kNone);
  CHECK(StartNext());
  Finish(1, 0);
  instant late = kStart + std::chrono::minutes(6);
  ledger.Expire(late);
  CHECK(ledger.FenceJob(Request(1, 0).key.job, kUptimeMs, late).forgotten);
  std::vector<start_request> asked = {Request(1, 0)};
  CHECK(ledger.Settle(asked, queued_tasks::kKeep, late)[0].state == task_state::kForgotten);
}

TEST(StartLedger, ChecksTheGateAgainJustBeforeTheStart) {
  CHECK(Accept(1, 0) == refusal::kNone);
  gate = refusal::kLeaving;
  auto next = ledger.TakeNext(kStart);
  CHECK(next.has_value());
  CHECK(next->reason == refusal::kLeaving);
  gate = refusal::kNone;
  // Given back, so another target may have it by now: a late copy must not start it here.
  CHECK(Accept(1, 0) == refusal::kFenced);
}

TEST(StartLedger, RefusesBeyondItsSlotsAndQueue) {
  CHECK(Accept(1, 0) == refusal::kNone);
  CHECK(StartNext());
  CHECK(Accept(1, 1) == refusal::kNone);
  CHECK(StartNext());
  CHECK(Accept(1, 2) == refusal::kNone);
  CHECK_FALSE(StartNext());
  CHECK(Accept(1, 3) == refusal::kFull);
  Finish(1, 0);
  CHECK(StartNext());
}

TEST(StartLedger, RefusesJobsMintedBeforeItWasAnnounced) {
  start_request early = Request(1, 0);
  early.registry_revision = 9;
  CHECK(ledger.Accept(early, kUptimeMs, kStart) == refusal::kTooNew);
}

TEST(StartLedger, ReturnsQueuedTasksWhenStopping) {
  CHECK(Accept(1, 0) == refusal::kNone);
  ledger.BeginStop();
  auto next = ledger.TakeNext(kStart);
  CHECK(next->reason == refusal::kStopping);
  CHECK(Accept(2, 0) == refusal::kStopping);
}

TEST(StartLedger, RefusesAStartThatItCanNotRecord) {
  start_ledger_options options = Options();
  options.max_records = 1;
  start_ledger small(options, [](instant /*now*/) { return refusal::kNone; });
  CHECK(small.Accept(Request(1, 0), kUptimeMs, kStart) == refusal::kNone);
  CHECK(small.Accept(Request(1, 1), kUptimeMs, kStart) == refusal::kLedgerFull);
}

TEST(StartLedger, ReportsForgottenWhenItCanRecordNoFence) {
  start_ledger_options options = Options();
  options.max_records = 1;
  start_ledger small(options, [](instant /*now*/) { return refusal::kNone; });
  CHECK_FALSE(small.FenceJob(Request(1, 0).key.job, kUptimeMs, kStart).forgotten);
  CHECK(small.FenceJob(Request(2, 0).key.job, kUptimeMs, kStart).forgotten);
  std::vector<start_request> asked = {Request(3, 0)};
  CHECK(small.Settle(asked, queued_tasks::kKeep, kStart)[0].state == task_state::kForgotten);
  LONGS_EQUAL(1, small.record_count());
}

TEST(StartLedger, ReportsForgottenForAnOwnerOfUnknownUptime) {
  start_ledger_options options = Options();
  options.max_owners = 1;
  start_ledger small(options, [](instant /*now*/) { return refusal::kNone; });
  CHECK(small.Accept(Request(1, 0), kUptimeMs, kStart) == refusal::kNone);
  job_key other{.owner = {kOwner + 1}, .sequence = 1};
  CHECK(small.FenceJob(other, kUptimeMs, kStart).forgotten);
}

TEST(StartLedger, DropsTheOldestAnswersAndKeepsTheirRecords) {
  start_ledger_options options = Options();
  options.max_body_bytes = 6;
  start_ledger small(options, [](instant /*now*/) { return refusal::kNone; });
  for (uint32_t index = 0; index < 2; ++index) {
    CHECK(small.Accept(Request(1, index), kUptimeMs, kStart) == refusal::kNone);
    CHECK(small.TakeNext(kStart).has_value());
    task_result result;
    result.key = Request(1, index).key;
    result.completed = true;
    result.body = "four";
    small.Finish(result, kStart);
  }
  fence_report report = small.FenceJob(Request(1, 0).key.job, kUptimeMs, kStart);
  CHECK_FALSE(report.started[0].body.has_value());
  CHECK(report.started[1].body.has_value());
}

}  // namespace wagtail
