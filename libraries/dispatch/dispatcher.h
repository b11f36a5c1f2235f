#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/btree_set.h"
#include "admission/retry_budget.h"
#include "base/identifiers.h"
#include "base/time.h"
#include "dispatch/dispatch_action.h"
#include "dispatch/job_table.h"
#include "dispatch/waiting_tasks.h"
#include "jobs/job.h"
#include "jobs/task.h"
#include "placement/placement.h"

/// @file
/// Dispatch decisions of an entry for the jobs it owns: which task goes to which target's daemon,
/// and when a job gets its final answer. Uses no sockets, threads or clocks.

namespace wagtail {

struct dispatcher_options {
  job_table_options jobs;
  waiting_tasks_options waiting;
  uint32_t max_refusals = 64;                         ///< per task, before its job fails
  duration settle_timeout = std::chrono::seconds(5);  ///< for settling a task after a lost link
  retry_budget_options retries;                       ///< for tasks that a target's daemon refused
  duration overload_retry_after = std::chrono::milliseconds(500);
};

/// Outcome of a submission.
enum class submit_outcome {
  kAccepted,       ///< new job; the answer follows
  kJoined,         ///< known job; this caller gets the same answer
  kDifferentBody,  ///< the id was used with another body
  kExpired,        ///< the id has expired; an earlier run can't be ruled out
};

struct dispatcher_counters {
  uint64_t jobs_accepted = 0;
  uint64_t jobs_joined = 0;
  uint64_t jobs_complete = 0;
  uint64_t jobs_failed_not_run = 0;
  uint64_t jobs_failed_may_have_run = 0;
  uint64_t tasks_sent = 0;
  uint64_t tasks_refused = 0;
  uint64_t tasks_unsettled = 0;
  uint64_t tasks_lost = 0;
};

/// Dispatches the jobs whose ids this entry minted.
///
/// A task is sent to a second target only after the first target proved that it will never start
/// it, so that no task starts twice. A job ends exactly once; a task whose outcome can't be
/// determined fails its job as "may have run".
class dispatcher {
 public:
  dispatcher(dispatcher_options options, std::unique_ptr<placement> placement);

  /// @param submission the complete job; its id is verified and was minted by this entry
  /// @param hook receives the final answer, through an answer_action
  /// @param uptime_ms uptime of this entry in milliseconds
  submit_outcome Submit(job_submission submission, answer_hook hook, uint64_t uptime_ms,
                        instant now);
  /// Fails a job in progress as cancelled. @return false if the job is unknown or has ended
  bool Cancel(const job_key& job, instant now);

  /// @param announced_revision table revision at which the target was announced
  void AddTarget(const target_profile& profile, uint64_t announced_revision, instant now);
  /// Removes an incarnation that no longer exists; its outstanding tasks count as lost.
  void RemoveTarget(const target_incarnation& target, instant now);
  void SetAdmitted(const target_incarnation& target, bool admitted, instant now);
  /// Marks the tasks handed to the target as unsettled, because the link to its daemon was lost.
  void OnLinkLost(const target_incarnation& target, instant now);
  /// Makes the target eligible again once a new link is up and every unsettled task was settled.
  void OnLinkRestored(const target_incarnation& target, instant now);
  /// @return the tasks to settle with the target's daemon
  std::vector<start_request> Unsettled(const target_incarnation& target) const;

  void OnVerdict(const target_incarnation& target, const task_key& key, refusal reason,
                 const target_load& load, instant now);
  void OnResult(const target_incarnation& target, task_result result, const target_load& load,
                instant now);
  void OnSettled(const target_incarnation& target, const task_record& record, instant now);

  /// Fails overdue jobs, drops expired ones and offers waiting tasks again.
  void Tick(uint64_t uptime_ms, instant now);
  /// @return when Tick must run next if no event comes first; empty if there is no need
  std::optional<instant> NextWake(instant now) const;
  /// @return the actions decided since the last call, in order
  std::vector<dispatch_action> TakeActions();

  /// Fails every job that has not handed over a task; the others continue.
  void BeginStop(instant now);
  /// Fails every job in progress, for a shutdown that has reached its time limit.
  void EndAll(std::string_view reason, instant now);

  size_t jobs_in_progress() const { return jobs_.in_progress(); }
  size_t waiting_count() const { return waiting_.size(); }
  const dispatcher_counters& counters() const { return counters_; }
  /// @return the job, or nullptr; for status pages
  const owned_job* FindJob(const job_key& key) { return jobs_.Find(key); }
  void ForEachInProgress(const std::function<void(const job_key&, const owned_job&)>& visit);

 private:
  struct known_target {
    std::string service;
    uint64_t announced_revision = 0;
    absl::btree_set<task_key> handed_over;  ///< ordered, so that simulations are reproducible
  };
  struct deadline_entry {
    instant at;
    job_key job;
    bool operator>(const deadline_entry& other) const { return at > other.at; }
  };

  std::optional<std::string> ImpossibleReason(const job_submission& submission) const;
  void OpenStage(owned_job& job);
  void Enqueue(const owned_job& job, uint32_t index);
  void OfferWaitingTasks(instant now);
  waiting_tasks::hooks WaitingHooks();
  bool IsWaiting(const task_key& key);
  offer_result OfferTask(std::string_view service, const target_requirements& requirements,
                         const task_key& key, instant now);
  std::vector<target_incarnation> ExcludedFor(const owned_job& job, const owned_task& task) const;
  /// @return whether a target of the service that is not excluded exists, whatever its load
  bool HasOtherTarget(std::string_view service,
                      const std::vector<target_incarnation>& excluded) const;
  start_request RequestFor(const owned_job& job, uint32_t index) const;
  void Release(const target_incarnation& target, owned_job& job, const task_key& key);
  void TaskNotStarted(const target_incarnation& target, owned_job& job, const task_key& key,
                      refusal reason, instant now);
  void TaskEnded(owned_job& job, const task_key& key, bool completed, std::string body,
                 std::string_view reason);
  void TaskLost(owned_job& job, const task_key& key);
  void CompleteJob(owned_job& job);
  void FailJob(owned_job& job, std::string_view reason, duration retry_after = {});
  void SetFinalAnswer(owned_job& job, job_answer answer);
  void FailOverdueJobs(instant now);
  void FailUnsettledJobs(instant now);

  dispatcher_options options_;
  std::unique_ptr<placement> placement_;
  job_table jobs_;
  std::map<target_incarnation, known_target> targets_;
  retry_budget retries_;
  waiting_tasks waiting_;
  uint64_t newest_announced_revision_ = 0;
  std::priority_queue<deadline_entry, std::vector<deadline_entry>, std::greater<>> deadlines_;
  std::deque<std::pair<instant, task_key>> unsettled_;
  std::vector<dispatch_action> actions_;
  bool stopping_ = false;
  dispatcher_counters counters_;
};

}  // namespace wagtail
