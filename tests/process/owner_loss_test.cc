#include <csignal>
#include <string>

#include "tests/process/polling.h"
// Last: CppUTest's macros must not reach the library headers.
#include "tests/process/cluster_test_group.h"

namespace wagtail {

namespace {

constexpr unsigned kLongRunMs = 1500;
constexpr unsigned kFillerRunMs = 2500;
constexpr unsigned kFarDeadlineMs = 45'000;

}  // namespace

TEST_GROUP_BASE(OwnerLoss, cluster_test_group){
    // One target that runs one task at a time, kept busy by jobs of the second entry.
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

// The owner's death costs no task that was started: the whole answer is gathered elsewhere.
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

// Recovery may be done twice at once, by different entries, with the same result.
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

// An answer is never partial: a job of which some tasks started ends as failed, and says so.
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
  uint64_t told = answer.json.value("started", uint64_t{0});
  CHECK(told >= 1 && told < 8);
  // What had not started when the job was fenced never will.
  CHECK(Eventually([this] { return cluster->Running(0) == 0; }));
  LONGS_EQUAL(told, cluster->TotalStarts());
}

// "Not run" is told where it is proved: every place that the owner could have used refuses the job.
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

// A paused owner that wakes up starts nothing of a job that was meanwhile called not run, and is
// told so at once: its own caller hears the same, long before the deadline.
TEST(OwnerLoss, PausedOwnerStartsNothingAfterNotRun) {
  Launch({.targets = Courts(1, {.slots = 1}), .job_deadline_ms = kFarDeadlineMs});
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

// A paused owner that wakes up starts nothing twice and nothing more of a recovered job.
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

// The survivors' "never heard of it" is no proof when a daemon that ran the job is lost with its
// owner, nor when that daemon is back without its record.
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
