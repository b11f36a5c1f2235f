#include <csignal>
#include <string>

#include "tests/process/polling.h"
// Included last: CppUTest's macros would break the library headers.
#include "tests/process/cluster_test_group.h"

namespace wagtail {

namespace {

constexpr unsigned kLongRunMs = 1500;
constexpr unsigned kFillerRunMs = 2500;
constexpr unsigned kLongDeadlineMs = 45'000;

}  // namespace

TEST_GROUP_BASE(OwnerLoss, cluster_test_group){
    // Occupies a target with a single slot by tasks of the second entry.
    std::future<final_answer> OccupyTarget(caller & club){
        auto filler = club.SubmitLater(1, club.Mint(1), JobOf(4, kFillerRunMs));
CHECK(Eventually([this] { return cluster->TotalStarts() == 1; }));
return filler;
}  // namespace wagtail
bool WaitInProgress(size_t entry) {
  return Eventually([this, entry] {
    return cluster->Operator(entry, "GET", "jobs").body.find("\"job\"") != std::string::npos;
  });
}
}
;

// A killed owner loses no started task: another entry collects the complete answer.
TEST(OwnerLoss, WholeAnswerIsGatheredAfterTheOwnerIsKilled) {
  Launch({.targets = Courts(2)});
  caller club(*cluster);
  std::string id = club.Mint(0);
  std::string job = JobOf(4, kLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(Eventually([this] { return cluster->TotalStarts() == 4; }));
  cluster->entry(0).Kill(SIGKILL);
  final_answer answer = club.Submit(1, id, job);
  STRCMP_EQUAL("complete", answer.outcome().c_str());
  LONGS_EQUAL(0, first.get().status);
  LONGS_EQUAL(4, cluster->TotalStarts());
}

// Concurrent recoveries of a job by different entries return the same result.
TEST(OwnerLoss, TwoEntriesRecoverTheSameJobAtOnce) {
  Launch({.entries = 3, .targets = Courts(2)});
  caller club(*cluster);
  std::string id = club.Mint(0);
  std::string job = JobOf(4, kLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(Eventually([this] { return cluster->TotalStarts() == 4; }));
  cluster->entry(0).Kill(SIGKILL);
  auto second = club.SubmitLater(1, id, job);
  auto third = club.SubmitLater(2, id, job);
  final_answer gathered = second.get();
  STRCMP_EQUAL("complete", gathered.outcome().c_str());
  STRCMP_EQUAL(gathered.body.c_str(), third.get().body.c_str());
  LONGS_EQUAL(4, cluster->TotalStarts());
}

// An answer is never partial: a job with only some tasks started fails as "may have run".
TEST(OwnerLoss, PartlyStartedJobOfAKilledOwnerFailsAsMayHaveRun) {
  Launch({.targets = Courts(1, {.slots = 1})});
  caller club(*cluster);
  std::string id = club.Mint(0);
  std::string job = JobOf(8, kLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(Eventually([this] { return cluster->TotalStarts() >= 1; }));
  cluster->entry(0).Kill(SIGKILL);
  final_answer answer = club.Submit(1, id, job);
  STRCMP_EQUAL("failed_may_have_run", answer.outcome().c_str());
  uint64_t reported_starts = answer.json.value("started", uint64_t{0});
  CHECK(reported_starts >= 1 && reported_starts < 8);
  // Tasks that had not started when the job was fenced never start.
  CHECK(Eventually([this] { return cluster->Running(0) == 0; }));
  LONGS_EQUAL(reported_starts, cluster->TotalStarts());
}

// "Not run" is answered once proven: every target that the owner could have used refuses the job.
TEST(OwnerLoss, UnstartedJobOfAKilledOwnerWasNotRun) {
  Launch({.targets = Courts(1, {.slots = 1})});
  caller club(*cluster);
  auto filler = OccupyTarget(club);
  std::string id = club.Mint(0);
  std::string never_submitted = club.Mint(0);
  std::string job = JobOf(2, kLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(WaitInProgress(0));
  cluster->entry(0).Kill(SIGKILL);
  STRCMP_EQUAL("failed_not_run", club.Submit(1, id, job).outcome().c_str());
  STRCMP_EQUAL("failed_not_run", club.Submit(1, never_submitted, job).outcome().c_str());
  STRCMP_EQUAL("complete", filler.get().outcome().c_str());
  LONGS_EQUAL(4, cluster->TotalStarts());
}

// A resumed owner starts no task of a job that was answered "not run" meanwhile. The fence is
// reported to it at once, so its own caller gets the same answer long before the deadline.
TEST(OwnerLoss, PausedOwnerStartsNothingAfterNotRun) {
  Launch({.targets = Courts(1, {.slots = 1}), .job_deadline_ms = kLongDeadlineMs});
  caller club(*cluster);
  auto filler = OccupyTarget(club);
  std::string id = club.Mint(0);
  std::string job = JobOf(1, kLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(WaitInProgress(0));
  cluster->entry(0).Kill(SIGSTOP);
  STRCMP_EQUAL("failed_not_run", club.Submit(1, id, job).outcome().c_str());
  cluster->entry(0).Kill(SIGCONT);
  final_answer late = first.get();
  STRCMP_EQUAL("failed_not_run", late.outcome().c_str());
  CHECK(late.reason() != "deadline_exceeded");
  STRCMP_EQUAL("complete", filler.get().outcome().c_str());
  LONGS_EQUAL(4, cluster->TotalStarts());
}

// A resumed owner starts no task of a recovered job, neither again nor for the first time.
TEST(OwnerLoss, PausedOwnerStartsNothingOfARecoveredJob) {
  Launch({.targets = Courts(2, {.slots = 2})});
  caller club(*cluster);
  std::string id = club.Mint(0);
  std::string job = JobOf(16, kLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(Eventually([this] { return cluster->TotalStarts() >= 4; }));
  cluster->entry(0).Kill(SIGSTOP);
  final_answer recovered = club.Submit(1, id, job);
  STRCMP_EQUAL("failed_may_have_run", recovered.outcome().c_str());
  cluster->entry(0).Kill(SIGCONT);
  STRCMP_EQUAL("failed_may_have_run", first.get().outcome().c_str());
  CHECK(Eventually([this] { return cluster->Running(0) + cluster->Running(1) == 0; }));
  LONGS_EQUAL(recovered.json.value("started", uint64_t{0}), cluster->TotalStarts());
  STRCMP_EQUAL("complete", club.Submit(0, club.Mint(0), JobOf(2, 20)).outcome().c_str());
}

// That the surviving daemons have no record of a job proves nothing if a daemon that ran it was
// lost together with the owner, nor after that daemon restarted without its records.
TEST(OwnerLoss, OwnerAndDaemonKilledTogetherIsNeverNotRun) {
  Launch({.targets = Courts(2)});
  caller club(*cluster);
  std::string id = club.Mint(0);
  std::string job = JobOf(6, kLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(Eventually([this] { return cluster->Starts(0) >= 1; }));
  cluster->entry(0).Kill(SIGKILL);
  cluster->daemon(0).Kill(SIGKILL);
  cluster->daemon(1).Kill(SIGKILL);
  STRCMP_EQUAL("failed_may_have_run", club.Submit(1, id, job).outcome().c_str());
  CHECK(cluster->RestartDaemon(0));
  CHECK(cluster->RestartDaemon(1));
  CHECK(cluster->WaitReady(2));
  STRCMP_EQUAL("failed_may_have_run", club.Submit(1, id, job).outcome().c_str());
  STRCMP_EQUAL("complete", club.Submit(1, club.Mint(1), JobOf(2, 20)).outcome().c_str());
}

}  // namespace wagtail
