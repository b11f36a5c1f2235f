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
/// Jobs owned by an entry: those in progress, and the final answers of ended ones.

namespace wagtail {

/// Progress of one task as seen by the entry that owns its job.
enum class task_progress {
  kBlocked,    ///< waits for an earlier stage
  kWaiting,    ///< waits for a target
  kSent,       ///< handed to a target's daemon
  kUnsettled,  ///< handed over on a link that was lost; its outcome is being settled
  kCompleted,
  kFailed,   ///< started, and failed or outcome unknown
  kDropped,  ///< never started, and never will
};

struct owned_task {
  task_progress progress = task_progress::kBlocked;
  target_incarnation target;                   ///< last target it was handed to
  std::vector<target_incarnation> refused_by;  ///< targets that will never start it
  uint32_t refusals = 0;
  bool retry_granted = true;  ///< the retry budget covers the next attempt
  std::string body;           ///< body of the target's answer

  bool IsHandedOver() const {
    return progress == task_progress::kSent || progress == task_progress::kUnsettled;
  }
  bool IsKnownStarted() const {
    return progress == task_progress::kCompleted || progress == task_progress::kFailed;
  }
};

struct owned_job {
  job_submission submission;
  std::vector<owned_task> tasks;
  std::vector<answer_hook> waiting;
  std::optional<job_answer> answer;  ///< set when the job has ended
  uint32_t stage = 0;
  uint32_t incomplete_in_stage = 0;  ///< incomplete tasks of the current stage
  uint32_t handed_over = 0;          ///< tasks in kSent or kUnsettled
  size_t answer_bytes = 0;
  duration max_run_time_in_stage{};  ///< longest task run time of the current stage
  duration run_time{};               ///< sum of the longest run times of earlier stages

  bool has_ended() const { return answer.has_value(); }
};

struct job_table_options {
  duration id_lifetime = std::chrono::minutes(5);  ///< how long an ended job is kept
  size_t max_jobs = 100'000;                       ///< in progress and ended
  size_t max_answer_bytes = 256 << 20;             ///< of final answers kept for resubmission
};

/// Stores jobs by key and removes ended ones when their id expires.
class job_table {
 public:
  explicit job_table(job_table_options options) : options_(options) {}

  /// @return the job, or nullptr
  owned_job* Find(const job_key& key);
  const owned_job* Find(const job_key& key) const;
  /// @param uptime_ms uptime of this entry in milliseconds
  /// @return the new job, or nullptr if the table is full
  owned_job* Insert(job_submission submission, uint64_t uptime_ms);
  /// Sets the final answer and counts its bodies against max_answer_bytes.
  void SetAnswer(const job_key& key, job_answer answer);
  /// Removes ended jobs whose ids have expired.
  /// @param uptime_ms uptime of this entry in milliseconds
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
