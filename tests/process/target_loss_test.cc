#include <csignal>
#include <string>
#include <thread>

#include "http/http_client.h"
#include "tests/process/polling.h"
// Included last: CppUTest's macros would break the library headers.
#include "tests/process/cluster_test_group.h"

namespace wagtail {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr unsigned kLongRunMs = 1500;
constexpr unsigned kLongDeadlineMs = 45'000;
// Several tasks would start within this time, if the target were allowed to start any.
constexpr duration kObservationTime = std::chrono::seconds(2);

}  // namespace

TEST_GROUP_BASE(TargetLoss, cluster_test_group){
    // Waits until the daemon reports that it starts nothing.
    bool WaitStale(size_t index){
        std::string url = "http://127.0.0.1:" + std::to_string(cluster->daemon_ports(index).http) +
                          "/readyz";
return Eventually([&url] {
  absl::StatusOr<http_response> answer = CallHttp({.url = url});
  return answer.ok() && answer->status == kServiceUnavailable;
});
}  // namespace wagtail
// Checks that the target starts nothing while its daemon has no fresh configuration.
void CheckStartsNothing(size_t index) {
  uint64_t starts = cluster->Starts(index);
  CHECK(Eventually([&] { return cluster->Running(index) == 0; }));
  std::this_thread::sleep_for(kObservationTime);
  LONGS_EQUAL(starts, cluster->Starts(index));
}
}
;

// The jobs of a daemon that lost its records fail at once as "may have run"; its next incarnation
// accepts new tasks.
TEST(TargetLoss, KilledDaemonFailsItsJobsAndReturnsAsNewIncarnation) {
  constexpr unsigned kVeryLongRunMs = 10'000;
  Launch({.targets = Courts(1)});
  caller club(*cluster);
  std::string id = club.Mint(0);
  std::string job = JobOf(2, kVeryLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(Eventually([this] { return cluster->TotalStarts() == 2; }));
  cluster->daemon(0).Kill(SIGKILL);
  CHECK(cluster->RestartDaemon(0));
  final_answer answer = first.get();
  STRCMP_EQUAL("failed_may_have_run", answer.outcome().c_str());
  STRCMP_EQUAL("target_lost", answer.reason().c_str());
  STRCMP_EQUAL(answer.body.c_str(), club.Submit(1, id, job).body.c_str());
  CHECK(cluster->WaitReady(1));
  // The lost tasks still hold slots of the target, which does not detect the loss of its daemon.
  STRCMP_EQUAL("complete", club.Submit(1, club.Mint(1), JobOf(2, 20)).outcome().c_str());
}

// A permanently silent connection is replaced, and its tasks are settled. Tasks sent on it after it
// went silent start once, at another target.
TEST(TargetLoss, SilentConnectionIsReplacedAndItsTasksSettled) {
  Launch({.targets = Courts(2, {.path = link_path::kRelayed})});
  caller club(*cluster);
  for (int round = 0; round < 2; ++round) {
    uint64_t before = cluster->TotalStarts();
    auto running = club.SubmitLater(0, club.Mint(0), JobOf(4, kLongRunMs));
    CHECK(Eventually([&] { return cluster->TotalStarts() == before + 4; }));
    cluster->relay(0).SetMode(relay_mode::kSilent);
    auto sent_on_silent_link = club.SubmitLater(1, club.Mint(1), JobOf(8, 50));
    STRCMP_EQUAL("complete", running.get().outcome().c_str());
    STRCMP_EQUAL("complete", sent_on_silent_link.get().outcome().c_str());
    CHECK(cluster->WaitReady(2));
  }
  LONGS_EQUAL(24, cluster->TotalStarts());
}

// The same without another target: "not run" is answered at once, not at the deadline, and the next
// job is not delayed.
TEST(TargetLoss, TasksSentOnTheOnlySilentConnectionAreReportedNotRun) {
  Launch({.targets = Courts(1, {.path = link_path::kRelayed}), .job_deadline_ms = kLongDeadlineMs});
  caller club(*cluster);
  for (int round = 0; round < 2; ++round) {
    cluster->relay(0).SetMode(relay_mode::kSilent);
    final_answer lost = club.Submit(0, club.Mint(0), JobOf(4, 50));
    CHECK(lost.outcome() == "complete" || lost.outcome() == "failed_not_run");
    CHECK(lost.reason() != "deadline_exceeded");
    final_answer next = club.SubmitUntilAnswered(1, JobOf(4, 50));
    STRCMP_EQUAL_TEXT("complete", next.outcome().c_str(), next.body.c_str());
  }
}

// Late answers are matched to their own job.
TEST(TargetLoss, LateAnswersReachTheirOwnJob) {
  constexpr duration kDelay = std::chrono::milliseconds(300);
  Launch({.targets = Courts(2, {.path = link_path::kRelayed})});
  cluster->relay(0).SetDelay(kDelay, kDelay);
  caller club(*cluster);
  std::vector<std::future<final_answer>> answers;
  for (size_t count = 1; count <= 8; ++count) {
    answers.push_back(club.SubmitLater(count % 2, club.Mint(count % 2), JobOf(count, 20)));
  }
  for (std::future<final_answer>& pending : answers) {
    STRCMP_EQUAL("complete", pending.get().outcome().c_str());
  }
}

// A daemon without contact to any entry starts nothing once its configuration may be stale, not
// even tasks that it accepted before.
TEST(TargetLoss, DaemonCutOffFromAllEntriesStartsNothing) {
  Launch({.targets = Courts(1, {.slots = 1, .path = link_path::kRelayed})});
  caller club(*cluster);
  auto first = club.SubmitLater(0, club.Mint(0), JobOf(3, 4500));
  CHECK(Eventually([this] { return cluster->TotalStarts() == 1; }));
  cluster->relay(0).SetMode(relay_mode::kBlackHole);
  CHECK(WaitStale(0));
  CheckStartsNothing(0);
  cluster->relay(0).SetMode(relay_mode::kPass);
  CHECK(!first.get().outcome().empty());
  // The first submissions may still be refused, as "not run".
  final_answer next = club.SubmitUntilAnswered(2, JobOf(2, 20));
  STRCMP_EQUAL("complete", next.outcome().c_str());
}

// The same while every entry is paused; the entries resume afterwards.
TEST(TargetLoss, DaemonOfFrozenEntriesStartsNothing) {
  Launch({.targets = Courts(1, {.slots = 1})});
  caller club(*cluster);
  auto first = club.SubmitLater(0, club.Mint(0), JobOf(3, 4500));
  CHECK(Eventually([this] { return cluster->TotalStarts() == 1; }));
  cluster->entry(0).Kill(SIGSTOP);
  cluster->entry(1).Kill(SIGSTOP);
  CHECK(WaitStale(0));
  CheckStartsNothing(0);
  cluster->entry(0).Kill(SIGCONT);
  cluster->entry(1).Kill(SIGCONT);
  CHECK(!first.get().outcome().empty());
  // The first submissions may still be refused, as "not run".
  final_answer next = club.SubmitUntilAnswered(2, JobOf(2, 20));
  STRCMP_EQUAL("complete", next.outcome().c_str());
}

}  // namespace wagtail
