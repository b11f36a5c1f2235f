#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "scheduler/crash_ledger.h"
#include "scheduler/overload_policy.h"
#include "scheduler/queue_history.h"
#include "scheduler/scheduler_events.h"
#include "scheduler/target_table.h"
#include "scheduler/waiting_priority.h"

namespace wagtail::leased {

struct job_scheduler_options {
  target_table_options targets{};
  crash_ledger_options crashes{};
  /// As in run_controller_options: how long the reply to a report extends the session lease of
  /// runs.
  duration session_lease = std::chrono::milliseconds(450);
  /// As in run_controller_options: duration of a target's lease.
  duration lease = std::chrono::milliseconds(600);
  /// Margin for an agent whose stops are not confirmed: stop_timeout of run_controller_options plus
  /// a tick.
  duration lease_slack = std::chrono::milliseconds(140);
  /// The session of an agent that sends no report for this long is closed.
  duration heartbeat_timeout = std::chrono::milliseconds(600);
  /// A job is answered this long before its caller's deadline.
  duration answer_margin = std::chrono::milliseconds(30);
  /// An entry without targets still accepts jobs for this long: after a restart or a network cut
  /// the agents are about to reconnect.
  duration target_grace = std::chrono::milliseconds(1500);
  /// Network round trip between an entry and a target.
  duration round_trip = std::chrono::milliseconds(6);
  /// Bounds of the retry delay sent to refused callers.
  duration min_retry_after = std::chrono::seconds(1);
  duration max_retry_after = std::chrono::seconds(10);
  /// Largest share of a job's slack that the expected wait may use on arrival. The wait is a mean
  /// over tasks, and a job is as late as its last task.
  double max_wait_fraction = 0.15;
  /// A job that misses its objective is to complete within this multiple of the objective.
  double late_objective_factor = 3;
  /// Tasks take up to this multiple of their predicted run time. A draining entry refuses a job
  /// that may not have ended when the entry ends, and a late job starts only if it is expected to
  /// end before its caller's deadline.
  double max_run_factor = 2;
  /// A large job that has been in progress for this long gives way to one that finds no memory.
  duration large_job_grace = std::chrono::seconds(10);
  /// Maximum number of jobs in progress.
  size_t max_jobs = 4000;
  /// Decides about the jobs of services whose queues differ in priority, while targets are full.
  overload_policy overload = MakeOverloadPolicy({});
  queue_history::options history{};
  /// A delayed job starts while its answer is expected to be useful if its tasks take this multiple
  /// of their predicted run time.
  double late_run_factor = 1.5;
  /// Smallest part of the capacity that delayed jobs are expected to get: bursts last for seconds,
  /// and the rate of arrivals is a mean over the last one.
  double min_spare_share = 0.25;
  /// Part of each target that is left to the jobs of the highest priority, where queues differ in
  /// priority: entries do not see each other's queues, and whichever is first takes what is free.
  double reserved_share = 0.12;
};

/// Schedules the jobs of one entry: admits or refuses them, sends their tasks to targets' agents in
/// order of the latest start that meets the objective, retries failed and lost tasks, and answers
/// each request once. Uses no sockets, threads or clocks.
///
/// Handles overload by refusing on arrival the jobs that could not complete in time, unless they
/// can start now: the remaining callers get their answers in time, instead of all getting late
/// ones. Handles a shortage of fast targets by serving jobs late where resources are free.
class job_scheduler {
 public:
  using order_hook = std::function<void(order_batch)>;
  using withdraw_hook = std::function<void(session_id, uint64_t order)>;
  using answer_hook = std::function<void(request_serial, const job_answer&)>;
  using log_hook = std::function<void(const job_log_event&)>;

  job_scheduler(job_scheduler_options options, order_hook order, withdraw_hook withdraw,
                answer_hook answer, log_hook log);

  /// @return about how much memory a job in progress takes, at most
  /// @param text_bytes size of the job's text
  static size_t MemoryBytes(std::span<const job_step> steps, size_t text_bytes);

  /// Submits a request. It is answered through the answer hook, possibly before this returns.
  void Submit(request_serial serial, job_submission submission, instant now);
  /// Handles the disconnect of a caller. A job without callers is cancelled.
  void CallerGone(request_serial serial);
  /// Cancels a job at its caller's request.
  /// @return whether this scheduler holds the job
  bool Cancel(std::string_view job);

  /// The entry is about to end: from now on, jobs that may not have ended by `end` are refused.
  void DrainUntil(instant end) { end_ = end; }
  /// Answers all jobs, since the entry ends now.
  void AbandonAll(std::string_view reason);
  /// Another job finds no memory: gives up the large job that is here longest and for longer than
  /// the grace, if there is one. Small jobs have a part of the memory of their own.
  void GiveUpLargeJob(instant now);
  void SetPlan(const operating_plan& plan);
  void OnSessionOpened(session_id session, const agent_identity& agent, instant now);
  void OnReport(session_id session, const session_report& report, instant now);
  /// Handles the crash of a target on which this task ran. Must be called before the result of the
  /// run, if that was ordered by this entry.
  void OnTaskCrashed(const task_crash& crash, instant now);
  void OnResult(const run_result& result);
  /// Handles the loss of a session. Its tasks are unsettled until they can no longer run there.
  void OnSessionClosed(session_id session, instant now);
  /// Handles the passage of time: deadlines, latest starts, loss of all targets, and unsettled
  /// tasks that may be placed again. Call every few milliseconds.
  void Tick(instant now);
  /// Places waiting tasks on targets that can start them. Call after a batch of events.
  void Place(instant now);

  /// @return sessions to close because their agents have sent no report for the heartbeat timeout
  std::vector<session_id> UnresponsiveSessions(instant now);
  /// @return what to tell the session's agent: the highest priority that waited for the service of
  ///   its target after the last call of Place, if the service's queues differ in priority
  waiting_priority WaitingPriority(session_id session) const;
  size_t jobs() const { return jobs_.size(); }
  bool HasJob(const std::string& job) const { return jobs_.contains(job); }
  size_t targets_in_use(instant now) const { return targets_.InUse(now); }
  size_t waiting_tasks() const { return static_cast<size_t>(waiting_); }

 private:
  enum class task_state { kBlocked, kWaiting, kPlaced, kUnsettled, kDone };
  struct task {
    task_state state = task_state::kBlocked;
    uint32_t next_run = 1;
    unsigned failures = 0;
    uint64_t order = 0;
    session_id session = 0;
    std::string agent{};  ///< address of the agent while placed or unsettled
    instant stopped_by;   ///< while unsettled: when no run of it can be active any more
    std::vector<std::string> excluded{};
    bool is_suspect_order = false;  ///< while placed: its order counts in suspects_at_
  };
  struct step {
    job_step spec;
    std::vector<task> tasks;
    uint32_t done = 0;
  };
  struct job {
    job_submission submission;
    std::vector<request_serial> requests;
    std::vector<step> steps;
    instant arrived{};
    instant objective;             ///< when it is to complete
    instant deadline;              ///< latest time of the answer
    duration critical_path{0};     ///< estimates along the longest chain of unfinished steps
    bool started = false;          ///< a target may have run one of its tasks
    bool late_on_arrival = false;  ///< no target was fast enough for the objective on arrival
    bool is_accepted = false;      ///< the overload policy has let it wait
    bool is_delayed = false;       ///< others go first, as it is not expected to be in time
    bool is_delay_reported = false;
    int waiting = 0;  ///< tasks that wait to be placed
  };
  struct order_place {
    std::string job;
    uint32_t step = 0;
    uint32_t index = 0;
  };
  /// The queue ahead of a new job.
  struct queue_estimate {
    duration wait{0};   ///< until the tasks due before the job have been placed
    duration slack{0};  ///< until the latest start that meets the job's due time
  };
  /// A waiting job, and what the overload policy decided about it.
  struct planned_job {
    job* owner = nullptr;
    service_class verdict = service_class::kInTime;
    duration expected_wait{0};
  };
  using job_map = std::unordered_map<std::string, job>;

  job_answer RefusalFor(const job& candidate, std::string reason, duration backlog) const;
  /// @return why the job can't be served, whatever waits; empty if it can
  std::optional<job_answer> Refusal(const job& candidate, instant now) const;
  /// @return the refusal of a job that would wait too long; empty if it is admitted
  std::optional<job_answer> OverloadRefusal(const job& candidate, instant now) const;
  /// Lets the overload policy decide about a new job and all that wait. Jobs that are not expected
  /// to be answered in time for their callers are refused, the new one included.
  /// @param must_wait whether its first tasks can't start now
  void AdmitByPolicy(const std::string& id, bool must_wait, instant now);
  /// @return whether the overload policy decides about this job: its service has queues of several
  ///   priorities
  bool IsPrioritized(const job& candidate) const;
  /// @return the waiting jobs of a service in the order in which they are to be placed
  std::vector<planned_job> PlanJobs(std::string_view service, instant now);
  waiting_job WaitingJob(const job& owner, instant now) const;
  overload_capacity CapacityFor(std::string_view service, instant now) const;
  void SetDelayed(const planned_job& planned);
  /// Marks the delayed jobs of a service and refuses those, new ones included, that are not
  /// expected to be answered usefully any more. One that was accepted is kept if a free target
  /// takes it.
  void RefuseUnservable(const std::string& service, instant now);
  /// @return time until the work that waits for a service has been placed
  duration Backlog(std::string_view service, instant now) const;
  bool EndsWithEntry(const job& candidate, instant now) const;
  /// @return whether no target is in use, but agents are expected to reconnect soon
  bool AwaitsTargets(instant now) const;
  /// @return whether its first tasks could start now in addition to all waiting tasks
  bool CanStartNow(const job& candidate, instant now) const;
  queue_estimate QueueBefore(const job& candidate, instant now) const;
  /// @return work of the tasks that wait to be placed, in thousandths of a core times microseconds
  static double WaitingWork(const job& owner);
  duration CriticalPath(const job& candidate) const;
  duration PredictedRunTime(const job& candidate, instant now) const;
  /// @return when the job is to complete: its objective, or if that is out of reach, the end of the
  ///   time in which a late answer is useful. This keeps a job that has begun from waiting until
  ///   its deadline behind all jobs that can be in time.
  instant DueTime(const job& candidate, instant now) const;
  instant LatestStart(const job& candidate, instant now) const;
  /// @return until when an answer is useful: a late one up to a multiple of the objective
  instant UsefulUntil(const job& candidate) const;
  /// @return latest start of a job that is late, but still useful and answered before its deadline
  instant LastStart(const job& owner, instant now) const;
  /// @return whether its tasks leave the part of each target that is reserved for jobs of the
  ///   highest priority
  bool LeavesReserve(const job& owner) const;
  static bool HasBegun(const job& owner);
  void UnblockSteps(job& owner);
  /// Places the jobs of services that the overload policy decides about.
  void PlaceByPolicy(instant now);
  void PlaceJob(job& owner, instant now, bool& capacity_left);
  bool PlaceLate(job& owner, instant now);
  /// @return whether a target has enough processor time for a task of the step, whatever else it
  ///   lacks
  bool HasProcessorFor(const job& owner, const step& each, instant now) const;
  target_table::task_demand DemandOf(const job& owner, const step& each, instant now) const;
  bool PlaceTask(job& owner, uint32_t step_number, uint32_t index, order_batch& batch, instant now);
  void OnTaskFailed(job& owner, task& failed, const std::string& agent);
  void Answer(const std::string& id, const job_answer& answer);
  /// Answers a job that this scheduler does not go on with.
  void GiveUp(const std::string& id, std::string_view reason);
  void SetState(job& owner, task& item, task_state state);
  void WithdrawAll(job& owner);
  void SettleTasks(const std::string& address, instant now, bool at_once);
  /// @return agents that a suspected task avoids: its own excluded ones, and those with another
  ///   suspected task, so that the next crash shows which of them causes it
  std::vector<std::string> ExcludedForSuspect(const task& item) const;
  task& TaskAt(job& owner, const order_place& place);
  static bool IsComplete(const job& owner);
  void LogEvent(std::string_view fact, std::string_view job, std::string detail) const;
  /// Logs a decision of the overload policy.
  void LogDecision(std::string_view fact, const planned_job& planned, std::string detail) const;

  job_scheduler_options options_;
  order_hook order_;
  withdraw_hook withdraw_;
  answer_hook answer_;
  log_hook log_;
  target_table targets_;
  crash_ledger crashes_;
  queue_history history_;
  /// Highest priority of each service that has queues of several priorities.
  std::map<std::string, unsigned, std::less<>> prioritized_services_;
  /// Highest priority that waits, by prioritized service; none waits for the others.
  std::map<std::string, unsigned, std::less<>> waiting_priorities_;
  std::map<std::string, unsigned> suspects_at_;  ///< suspected tasks placed, by agent
  job_map jobs_;
  std::unordered_map<request_serial, std::string> requests_;
  std::unordered_map<uint64_t, order_place> orders_;
  uint64_t next_order_ = 1;
  int waiting_ = 0;             ///< tasks of all jobs that wait to be placed
  int unsettled_ = 0;           ///< tasks of all jobs that may still run on a lost agent
  std::optional<instant> end_;  ///< when the draining entry ends
  std::optional<instant> no_target_since_;  ///< empty while some target is in use
};

}  // namespace wagtail::leased
