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
/// The entry's decisions about its own jobs: what is handed to which target's daemon, and when a
/// final answer is given. Free of sockets, threads and clocks.

namespace wagtail {

struct dispatcher_options {
  job_table_options jobs;
  waiting_tasks_options waiting;
  uint32_t max_refusals = 64;                         ///< of one task, before its job fails
  duration settle_timeout = std::chrono::seconds(5);  ///< for learning what became of a task after
                                                      ///< its link was lost
  retry_budget_options retries;                       ///< of tasks that a target's daemon refused
  duration overload_retry_after = std::chrono::milliseconds(500);
};

/// What became of a submission.
enum class submit_outcome {
  kAccepted,       ///< new; the answer follows
  kJoined,         ///< the job is known; its one answer is given to this caller too
  kDifferentBody,  ///< the id was used for another job
  kExpired,        ///< the id is past its life; nothing can be said of an earlier run
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

/// Owns the jobs whose ids this entry minted.
///
/// A task moves to a second target only after the first proved that it never starts it. A job ends
/// once; a task whose outcome can't be known ends its job as failed, may have run.
class dispatcher {
 public:
  dispatcher(dispatcher_options options, std::unique_ptr<placement> placement);

  /// @param submission the whole job; its id was verified and minted by this entry
  /// @param hook receives the final answer, through an answer_action
  /// @param uptime_ms of this entry
  submit_outcome Submit(job_submission submission, answer_hook hook, uint64_t uptime_ms,
                        instant now);
  /// Ends a job in progress. @return false when the job is unknown or has ended
  bool Cancel(const job_key& job, instant now);

  /// @param announced_revision table revision that announced the target
  void AddTarget(const target_profile& profile, uint64_t announced_revision, instant now);
  /// The incarnation is gone, and with it what it knew.
  void RemoveTarget(const target_incarnation& target, instant now);
  void SetAdmitted(const target_incarnation& target, bool admitted, instant now);
  /// The link to the target's daemon was lost: what was handed over is unsettled.
  void OnLinkLost(const target_incarnation& target, instant now);
  /// The daemon answers on a fresh link and everything unsettled has been told.
  void OnLinkRestored(const target_incarnation& target, instant now);
  /// @return what must be settled with the target's daemon
  std::vector<start_request> Unsettled(const target_incarnation& target) const;

  void OnVerdict(const target_incarnation& target, const task_key& key, refusal reason,
                 const target_load& load, instant now);
  void OnResult(const target_incarnation& target, task_result result, const target_load& load,
                instant now);
  void OnSettled(const target_incarnation& target, const task_record& record, instant now);

  /// Ends what is past its deadline and offers waiting tasks again.
  void Tick(uint64_t uptime_ms, instant now);
  /// @return when Tick is due although nothing happened
  std::optional<instant> NextWake(instant now) const;
  /// @return the actions decided since the last call, in order
  std::vector<dispatch_action> TakeActions();

  /// Ends every job that has not handed a task over; those under way go on.
  void BeginStop(instant now);
  /// Ends every job in progress, for a stop that has run out of time.
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
    absl::btree_set<task_key> handed_over;  ///< in order, so that runs repeat
  };
  struct deadline_entry {
    instant at;
    job_key job;
    bool operator>(const deadline_entry& other) const { return at > other.at; }
  };

  std::optional<std::string> WhyImpossible(const job_submission& submission) const;
  void OpenStage(owned_job& job);
  void Enqueue(const owned_job& job, uint32_t index);
  void Pump(instant now);
  waiting_tasks::hooks WaitingHooks();
  bool IsWaiting(const task_key& key);
  offer_result OfferTask(std::string_view service, const target_requirements& requirements,
                         const task_key& key, instant now);
  std::vector<target_incarnation> ExcludedFor(const owned_job& job, const owned_task& task) const;
  /// @return whether some target of the service, load aside, may still be given a task
  bool HasPlaceBeyond(std::string_view service,
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
  void GiveAnswer(owned_job& job, job_answer answer);
  void EndOverdue(instant now);
  void GiveUpUnsettled(instant now);

  dispatcher_options options_;
  std::unique_ptr<placement> placement_;
  job_table jobs_;
  std::map<target_incarnation, known_target> targets_;
  retry_budget retries_;
  waiting_tasks waiting_;
  uint64_t newest_announcement_ = 0;
  std::priority_queue<deadline_entry, std::vector<deadline_entry>, std::greater<>> deadlines_;
  std::deque<std::pair<instant, task_key>> unsettled_;
  std::vector<dispatch_action> actions_;
  bool stopping_ = false;
  dispatcher_counters counters_;
};

}  // namespace wagtail
