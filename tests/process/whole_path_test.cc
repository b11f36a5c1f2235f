#include <algorithm>
#include <iterator>
#include <vector>

#include "tests/process/polling.h"
// Included last: CppUTest's macros would break the library headers.
#include "tests/process/cluster_test_group.h"

namespace wagtail {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
// Long enough that a second submission arrives during the first run.
constexpr unsigned kLongRunMs = 1500;

}  // namespace

TEST_GROUP_BASE(WholePath, cluster_test_group){};

// A job is answered completely, and each of its tasks starts once.
TEST(WholePath, AnswersCompletelyAfterOneStartPerTask) {
  Launch({.targets = Courts(3)});
  caller club(*cluster);
  final_answer answer = club.Submit(0, club.Mint(0), JobOf(20, 50));
  LONGS_EQUAL(kOk, answer.status);
  STRCMP_EQUAL("complete", answer.outcome().c_str());
  LONGS_EQUAL(20, cluster->TotalStarts());
}

// Each task of a submission starts at most once, regardless of the entry of a resubmission.
TEST(WholePath, SameIdAtSecondEntryJoinsTheFirstRun) {
  Launch({.targets = Courts(2)});
  caller club(*cluster);
  std::string id = club.Mint(0);
  std::string job = JobOf(3, kLongRunMs);
  auto first = club.SubmitLater(0, id, job);
  CHECK(Eventually([this] { return cluster->TotalStarts() == 3; }));
  final_answer second = club.Submit(1, id, job);
  final_answer first_answer = first.get();
  STRCMP_EQUAL("complete", first_answer.outcome().c_str());
  STRCMP_EQUAL(first_answer.body.c_str(), second.body.c_str());
  // A resubmission after the end of the job gets the same answer.
  STRCMP_EQUAL(first_answer.body.c_str(), club.Submit(1, id, job).body.c_str());
  LONGS_EQUAL(3, cluster->TotalStarts());
}

// An id identifies one body, so a caller only gets the answer to its own request.
TEST(WholePath, SameIdWithAnotherBodyIsRefusedAtEveryEntry) {
  Launch({.targets = Courts(2)});
  caller club(*cluster);
  std::string id = club.Mint(0);
  auto first = club.SubmitLater(0, id, JobOf(2, kLongRunMs));
  CHECK(Eventually([this] { return cluster->TotalStarts() == 2; }));
  LONGS_EQUAL(kUnprocessable, club.Submit(0, id, JobOf(1, 50)).status);
  LONGS_EQUAL(kUnprocessable, club.Submit(1, id, JobOf(1, 50)).status);
  STRCMP_EQUAL("complete", first.get().outcome().c_str());
  LONGS_EQUAL(2, cluster->TotalStarts());
}

// A refused resubmission does not claim "not run", because the same id may have run already.
TEST(WholePath, RefusedResubmissionDoesNotDenyTheFirstRun) {
  Launch({.targets = Courts(1)});
  caller club(*cluster);
  std::string id = club.Mint(0);
  STRCMP_EQUAL("complete", club.Submit(0, id, JobOf(1, 50)).outcome().c_str());
  for (size_t entry : {0, 1}) {
    STRCMP_EQUAL("", club.Submit(entry, id, "{").outcome().c_str());
    STRCMP_EQUAL("", club.Submit(entry, id, JobOf(1, 50, "no-such-service")).outcome().c_str());
    caller unknown_team(*cluster, "no-such-token");
    STRCMP_EQUAL("", unknown_team.Submit(entry, id, JobOf(1, 50)).outcome().c_str());
  }
}

// A caller cannot access the job of another team.
TEST(WholePath, AnotherTeamsIdIsUnknown) {
  Launch({.targets = Courts(1)});
  caller club(*cluster);
  caller orchard(*cluster, kOrchardToken);
  std::string id = club.Mint(0);
  STRCMP_EQUAL("complete", club.Submit(0, id, JobOf(1, 50)).outcome().c_str());
  LONGS_EQUAL(kNotFound, orchard.Submit(0, id, JobOf(1, 50)).status);
  LONGS_EQUAL(kNotFound, orchard.Submit(1, id, JobOf(1, 50)).status);
  LONGS_EQUAL(kNotFound, orchard.Cancel(0, id).status);
  LONGS_EQUAL(1, cluster->TotalStarts());
}

// A job with a task that can never run is refused, and starts none of its tasks.
TEST(WholePath, ImpossibleJobIsRefusedAsNotRun) {
  Launch({.targets = Courts(1)});
  caller club(*cluster);
  final_answer answer = club.Submit(0, club.Mint(0), JobOf(2, 50, kUnofferedService));
  LONGS_EQUAL(kUnavailable, answer.status);
  STRCMP_EQUAL("failed_not_run", answer.outcome().c_str());
  STRCMP_EQUAL("no_target_for_service:swarm-dispatch", answer.reason().c_str());
  LONGS_EQUAL(0, cluster->TotalStarts());
}

// A target that fails every task fails the jobs that reached it as "may have run", and is avoided
// afterwards; tasks that it started are not started again.
TEST(WholePath, QuickFailerAmongGoodTargetsIsAvoided) {
  constexpr int kGoodRow = 10;
  Launch({.targets = Courts(3)});
  cluster->ControlTarget(0, {{"fail_all", true}});
  caller club(*cluster);
  int complete_in_a_row = 0;
  CHECK(Eventually([&] {
    final_answer answer = club.Submit(0, club.Mint(0), JobOf(2, 20));
    bool is_complete = answer.outcome() == "complete";
    CHECK(is_complete || answer.outcome() == "failed_may_have_run");
    complete_in_a_row = is_complete ? complete_in_a_row + 1 : 0;
    return complete_in_a_row == kGoodRow;
  }));
}

// Cancellation answers every caller, removes waiting tasks, and starts nothing afterwards.
TEST(WholePath, CancellationWaveAnswersEveryCaller) {
  constexpr size_t kJobs = 30;
  Launch({.targets = Courts(2)});
  caller club(*cluster);
  std::vector<std::string> ids = club.Mint(0, kJobs);
  std::vector<std::future<final_answer>> answers;
  std::string job = JobOf(8, kLongRunMs);
  std::ranges::transform(ids, std::back_inserter(answers),
                         [&](const std::string& id) { return club.SubmitLater(0, id, job); });
  CHECK(Eventually([this] { return cluster->TotalStarts() >= 16; }));
  // Every second job is cancelled at the entry that does not own it.
  size_t turn = 0;
  for (const std::string& id : ids) {
    (void)club.Cancel(turn++ % 2, id);
  }
  size_t cancelled = 0;
  for (std::future<final_answer>& pending : answers) {
    final_answer answer = pending.get();
    CHECK(!answer.outcome().empty());
    cancelled += answer.reason() == "cancelled" ? 1 : 0;
  }
  CHECK(cancelled > 0);
  STRCMP_EQUAL("complete", club.Submit(1, club.Mint(1), JobOf(2, 20)).outcome().c_str());
}

}  // namespace wagtail
