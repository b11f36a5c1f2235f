#include "dispatch/job_table.h"

#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

job_submission Submission(uint64_t sequence) {
  job_submission submission;
  submission.key = {.owner = {.nonce = 1}, .sequence = sequence};
  submission.tasks.resize(1);
  return submission;
}

job_answer Whole(size_t bytes) {
  job_answer answer{.outcome = job_outcome::kComplete, .reason = "", .results = {}};
  answer.results.push_back({.target = "a", .body = std::string(bytes, 'x')});
  return answer;
}

}  // namespace

TEST_GROUP(JobTable) { job_table table{{.max_jobs = 2, .max_answer_bytes = 100}}; };

TEST(JobTable, RefusesJobsBeyondItsLimit) {
  CHECK(table.Insert(Submission(1), 0) != nullptr);
  CHECK(table.Insert(Submission(2), 0) != nullptr);
  POINTERS_EQUAL(nullptr, table.Insert(Submission(3), 0));
}

TEST(JobTable, RemovesJobsWithExpiredIdsWhenFull) {
  table.Insert(Submission(1), 0);
  table.Insert(Submission(2), 0);
  table.SetAnswer(Submission(1).key, Whole(1));
  CHECK(table.Insert(Submission(3), 301'000) != nullptr);
  POINTERS_EQUAL(nullptr, table.Find(Submission(1).key));
}

TEST(JobTable, DropsTheOldestAnswersAsAWhole) {
  table.Insert(Submission(1), 0);
  table.Insert(Submission(2), 0);
  table.SetAnswer(Submission(1).key, Whole(80));
  table.SetAnswer(Submission(2).key, Whole(80));
  const job_answer& oldest = *table.Find(Submission(1).key)->answer;
  CHECK(oldest.outcome == job_outcome::kFailedMayHaveRun);
  CHECK(oldest.results.empty());
  CHECK(table.Find(Submission(2).key)->answer->outcome == job_outcome::kComplete);
}

}  // namespace wagtail
