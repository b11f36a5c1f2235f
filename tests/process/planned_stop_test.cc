#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/polling.h"
// Included last: CppUTest's macros would break the library headers.
#include "tests/process/cluster_test_group.h"

namespace wagtail {

namespace {

constexpr size_t kEntries = 2;
constexpr size_t kCallers = 4;

}  // namespace

TEST_GROUP_BASE(PlannedStop, cluster_test_group) {
  void Load(caller & club) {
    while (!stop_load) {
      final_answer answer = club.SubmitUntilAnswered(kEntries, JobOf(4, 100));
      complete += answer.outcome() == "complete" ? 1 : 0;
      if (answer.outcome() != "complete") {
        std::scoped_lock lock(mutex);
        first_fault = first_fault.empty() ? "answered: " + answer.body : first_fault;
      }
    }
  }
  // @return the error, or nothing
  std::string ReplaceAll(size_t targets) {
    for (size_t index = 0; index < kEntries; ++index) {
      cluster->entry(index).Kill(SIGTERM);
      if (cluster->entry(index).WaitExit() != 0) {
        return "an entry does not stop by itself";
      }
      if (!cluster->RestartEntry(index) || !cluster->WaitReady(targets)) {
        return "an entry does not come back";
      }
    }
    for (size_t index = 0; index < targets; ++index) {
      cluster->daemon(index).Kill(SIGTERM);
      if (cluster->daemon(index).WaitExit() != 0) {
        return "a daemon does not stop by itself";
      }
      if (!cluster->RestartDaemon(index) || !cluster->WaitReady(targets)) {
        return "a daemon does not come back";
      }
    }
    return "";
  }

  std::atomic<bool> stop_load = false;
  std::atomic<size_t> complete = 0;
  std::mutex mutex;
  std::string first_fault;
};

// A rolling replacement of all entries and daemons under load loses no task and starts none twice.
TEST(PlannedStop, RollingReplacementLosesAndDoublesNothing) {
  constexpr size_t kTargets = 3;
  Launch({.entries = kEntries, .targets = Courts(kTargets)});
  caller club(*cluster);
  std::string fault;
  {
    std::vector<std::jthread> threads;
    for (size_t number = 0; number < kCallers; ++number) {
      threads.emplace_back([this, &club] { Load(club); });
    }
    fault = ReplaceAll(kTargets);
    stop_load = true;
  }
  STRCMP_EQUAL("", fault.c_str());
  STRCMP_EQUAL("", first_fault.c_str());
  CHECK(complete >= kCallers);
}

// A stopping daemon completes running tasks, reports their results, and returns the others.
TEST(PlannedStop, StoppingDaemonFinishesRunningTasks) {
  Launch({.entries = kEntries, .targets = Courts(2, {.slots = 2})});
  caller club(*cluster);
  auto first = club.SubmitLater(0, club.Mint(0), JobOf(12, 500));
  CHECK(Eventually([this] { return cluster->Running(0) == 2; }));
  cluster->daemon(0).Kill(SIGTERM);
  STRCMP_EQUAL("complete", first.get().outcome().c_str());
  CHECK(cluster->daemon(0).WaitExit() == 0);
}

// A stopping entry answers all accepted jobs: complete if tasks run, "not run" if none started.
TEST(PlannedStop, StoppingEntryAnswersEveryJobCorrectly) {
  Launch({.entries = kEntries, .targets = Courts(1, {.slots = 2})});
  caller club(*cluster);
  std::vector<std::future<final_answer>> answers;
  for (const std::string& id : club.Mint(0, 6)) {
    answers.push_back(club.SubmitLater(0, id, JobOf(2, 1000)));
  }
  CHECK(Eventually([this] { return cluster->TotalStarts() >= 2; }));
  cluster->entry(0).Kill(SIGTERM);
  size_t complete = 0;
  size_t not_run = 0;
  for (std::future<final_answer>& pending : answers) {
    final_answer answer = pending.get();
    complete += answer.outcome() == "complete" ? 1 : 0;
    not_run += answer.outcome() == "failed_not_run" ? 1 : 0;
  }
  LONGS_EQUAL(6, complete + not_run);
  CHECK(complete >= 1);
  CHECK(not_run >= 1);
  CHECK(cluster->entry(0).WaitExit() == 0);
}

}  // namespace wagtail
