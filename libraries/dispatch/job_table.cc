#include "dispatch/job_table.h"

#include <memory>
#include <numeric>
#include <utility>

#include "base/verify.h"

namespace wagtail {

owned_job* job_table::Find(const job_key& key) {
  auto found = jobs_.find(key);
  return found == jobs_.end() ? nullptr : found->second.get();
}

const owned_job* job_table::Find(const job_key& key) const {
  auto found = jobs_.find(key);
  return found == jobs_.end() ? nullptr : found->second.get();
}

owned_job* job_table::Insert(job_submission submission, uint64_t uptime_ms) {
  if (jobs_.size() >= options_.max_jobs) {
    Expire(uptime_ms);
  }
  if (jobs_.size() >= options_.max_jobs) {
    return nullptr;
  }
  job_key key = submission.key;
  auto job = std::make_unique<owned_job>();
  job->tasks.resize(submission.tasks.size());
  job->submission = std::move(submission);
  auto [found, is_new] = jobs_.emplace(key, std::move(job));
  VERIFY(is_new);
  by_age_.push_back(key);
  ++in_progress_;
  return found->second.get();
}

void job_table::SetAnswer(const job_key& key, job_answer answer) {
  owned_job* job = Find(key);
  VERIFY(job != nullptr);
  VERIFY(!job->has_ended());
  job->answer_bytes =
      std::accumulate(answer.results.begin(), answer.results.end(), size_t{0},
                      [](size_t sum, const task_answer& task) { return sum + task.body.size(); });
  job->answer = std::move(answer);
  job->submission.tasks.clear();
  job->submission.tasks.shrink_to_fit();
  answer_bytes_ += job->answer_bytes;
  answers_by_age_.push_back(key);
  --in_progress_;
  DropOldestAnswers();
}

void job_table::DropOldestAnswers() {
  while (answer_bytes_ > options_.max_answer_bytes && !answers_by_age_.empty()) {
    owned_job* oldest = Find(answers_by_age_.front());
    answers_by_age_.pop_front();
    if (oldest == nullptr || oldest->answer_bytes == 0) {
      continue;
    }
    answer_bytes_ -= oldest->answer_bytes;
    oldest->answer_bytes = 0;
    if (oldest->answer->outcome != job_outcome::kComplete) {
      continue;
    }
    // Without its results the answer can't be repeated: a resubmission must see a failure.
    oldest->answer->outcome = job_outcome::kFailedMayHaveRun;
    oldest->answer->reason = "answer_no_longer_kept";
    oldest->answer->results.clear();
  }
}

void job_table::Expire(uint64_t uptime_ms) {
  auto lifetime_ms = static_cast<uint64_t>(ToMilliseconds(options_.id_lifetime));
  while (!by_age_.empty()) {
    owned_job* job = Find(by_age_.front());
    VERIFY(job != nullptr);
    bool expired = uptime_ms > job->submission.minted_uptime_ms + lifetime_ms;
    if (!expired || !job->has_ended() || job->handed_over > 0) {
      return;
    }
    answer_bytes_ -= job->answer_bytes;
    jobs_.erase(by_age_.front());
    by_age_.pop_front();
  }
  while (!answers_by_age_.empty() && !jobs_.contains(answers_by_age_.front())) {
    answers_by_age_.pop_front();
  }
}

void job_table::ForEachInProgress(const std::function<void(const job_key&, owned_job&)>& visit) {
  for (const job_key& key : by_age_) {
    owned_job& job = *jobs_.at(key);
    if (!job.has_ended()) {
      visit(key, job);
    }
  }
}

}  // namespace wagtail
