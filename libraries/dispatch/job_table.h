#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/identifiers.h"
#include "base/time.h"
#include "dispatch/dispatch_action.h"
#include "jobs/job.h"

/// @file
/// The jobs that an entry owns: those in progress and the final answers of those that ended.

namespace wagtail {

/// Where an entry has got with one task.
enum class task_progress {
  kBlocked,    ///< waits for an earlier stage
  kWaiting,    ///< waits for a target
  kSent,       ///< handed to a target's daemon
  kUnsettled,  ///< handed over on a link that was lost; its outcome is being asked for
  kCompleted,
  kFailed,   ///< started, and failed or outcome unknown
  kDropped,  ///< never started, and never will
};

struct owned_task {
  task_progress progress = task_progress::kBlocked;
  target_incarnation target;                   ///< last one that it was handed to
  std::vector<target_incarnation> refused_by;  ///< targets that will never start it
  uint32_t refusals = 0;
  bool may_retry = true;  ///< its next handing over is paid for in the budget of retries
  std::string body;       ///< the target's answer
};

struct owned_job {
  job_submission submission;
  std::vector<owned_task> tasks;
  std::vector<answer_hook> waiting;
  std::optional<job_answer> answer;  ///< set when the job has ended
  uint32_t stage = 0;
  uint32_t open_in_stage = 0;  ///< tasks of the present stage that are not complete
  uint32_t handed_over = 0;    ///< tasks in kSent or kUnsettled
  size_t answer_bytes = 0;
  duration longest_in_stage{};  ///< run time of the longest task of the present stage
  duration run_time{};          ///< the same of the stages before, added up

  bool has_ended() const { return answer.has_value(); }
};

struct job_table_options {
  duration id_lifetime = std::chrono::minutes(5);  ///< an ended job is remembered this long
  size_t max_jobs = 100'000;                       ///< in progress and remembered
  size_t max_answer_bytes = 256 << 20;             ///< of final answers kept for resubmission
};

/// Keeps jobs by key; forgets ended ones when the life of their id is over.
class job_table {
 public:
  explicit job_table(job_table_options options) : options_(options) {}

  /// @return the job, or nullptr
  owned_job* Find(const job_key& key);
  /// @return the new job, or nullptr when the table is full
  owned_job* Insert(job_submission submission, uint64_t uptime_ms);
  /// Sets the final answer and charges it against the byte limit.
  void SetAnswer(const job_key& key, job_answer answer);
  /// Forgets ended jobs whose ids are older than their life.
  /// @param uptime_ms of this entry
  void Expire(uint64_t uptime_ms);

  size_t size() const { return jobs_.size(); }
  size_t in_progress() const { return in_progress_; }
  const job_table_options& options() const { return options_; }
  /// Calls `visit` for each job in progress.
  void ForEachInProgress(const std::function<void(const job_key&, owned_job&)>& visit);

 private:
  void DropOldestAnswers();

  job_table_options options_;
  absl::flat_hash_map<job_key, std::unique_ptr<owned_job>> jobs_;
  std::deque<job_key> by_age_;
  std::deque<job_key> answers_by_age_;
  size_t answer_bytes_ = 0;
  size_t in_progress_ = 0;
};

}  // namespace wagtail
