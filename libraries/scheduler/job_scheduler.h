#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "scheduler/scheduler_events.h"
#include "scheduler/target_table.h"

namespace wagtail::leased {

struct job_scheduler_options {
  target_table_options targets{};
  /// As in run_controller_options: how long an answer to a report vouches for runs.
  duration session_lease = std::chrono::milliseconds(450);
  /// As in run_controller_options: the length of a target's lease.
  duration lease = std::chrono::milliseconds(600);
  /// For an agent whose stops are not confirmed: as stop_timeout in run_controller_options, and a
  /// tick.
  duration lease_slack = std::chrono::milliseconds(140);
  /// An agent that is not heard for this long is given up.
  duration heartbeat_timeout = std::chrono::milliseconds(600);
  /// A job is answered this long before its caller stops waiting.
  duration answer_margin = std::chrono::milliseconds(30);
  /// An entry that has no target to offer takes jobs for this long all the same: after a restart or
  /// a cut the agents are about to come back.
  duration target_grace = std::chrono::milliseconds(1500);
  /// Way there and back between an entry and a target.
  duration round_trip = std::chrono::milliseconds(6);
  /// Longest and shortest time after which a refused caller is asked to come back.
  duration shortest_retry = std::chrono::seconds(1);
  duration longest_retry = std::chrono::seconds(10);
  /// Share of a job's slack that the expected wait may take when the job arrives. The wait is a
  /// mean over tasks, and a job is as late as the last of its tasks.
  double wait_share = 0.25;
  /// A job that misses its objective is still to be done within this many times its objective.
  double late_limit = 3;
  /// Largest number of jobs held.
  size_t most_jobs = 4000;
};

/// Decides over the jobs of one entry: admits or refuses them, hands their tasks to targets' agents
/// in order of the latest start that meets the objective, tries failed and lost tasks again, and
/// gives each request one answer. Free of sockets, threads and clocks.
///
/// Answers overload by refusing on arrival what could not be done in time, unless there is room for
/// it now: callers of the others get their answers in time, rather than all of them late ones.
/// Answers a shortage of fast targets by serving late where room is left.
class job_scheduler {
 public:
  using order_hook = std::function<void(order_batch)>;
  using withdraw_hook = std::function<void(session_id, uint64_t order)>;
  using answer_hook = std::function<void(request_serial, const job_answer&)>;
  using log_hook = std::function<void(const job_log_event&)>;

  job_scheduler(job_scheduler_options options, order_hook order, withdraw_hook withdraw,
                answer_hook answer, log_hook note);

  /// Takes a request; it is answered through the answer hook, perhaps before this returns.
  void Submit(request_serial serial, job_submission submission, instant now);
  /// The caller of this request is gone.
  void CallerGone(request_serial serial);
  /// The caller wants the job ended.
  /// @return whether this board has it
  bool Cancel(std::string_view job);

  void SetPlan(const operating_plan& plan) { targets_.SetPlan(plan); }
  void OnSessionOpened(session_id session, const agent_identity& agent, instant now);
  void OnReport(session_id session, const session_report& report, instant now);
  void OnResult(const run_result& result);
  /// The connection is gone.
  void OnSessionClosed(session_id session, instant now);
  /// Passes time: deadlines, silent agents, tasks that may be placed again. To be called every few
  /// milliseconds.
  void Tick(instant now);
  /// Hands out what can be handed out. To be called after a batch of events.
  void Place(instant now);

  /// @return sessions to close since their agents have been silent for too long
  std::vector<session_id> UnresponsiveSessions(instant now);
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
    std::string agent{};  ///< address, while placed or unsettled
    instant safe_at;      ///< while unsettled: nothing of it runs any more
    std::vector<std::string> avoided{};
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
    instant objective;             ///< when it is to be done
    instant deadline;              ///< when it is to be answered at the latest
    duration longest{0};           ///< chain of steps, by their estimates
    bool started = false;          ///< a target may have run something of it
    bool late_from_start = false;  ///< on arrival no target was fast enough for the objective
    int waiting = 0;               ///< tasks that wait to be placed
  };
  struct order_place {
    std::string job;
    uint32_t step = 0;
    uint32_t index = 0;
  };
  /// The queue that a job would meet.
  struct backlog {
    duration wait{0};   ///< until what is due before the job has been handed out
    duration slack{0};  ///< until the latest start that meets the job's aim
  };
  using job_map = std::unordered_map<std::string, job>;

  std::optional<job_answer> Refusal(const job& candidate, instant now) const;
  /// @return whether its first tasks could start now, beside all that waits
  bool HasRoomNow(const job& candidate, instant now) const;
  backlog BacklogBefore(const job& candidate, instant now) const;
  /// @return thousandths of a core times microseconds, of the tasks that wait to be placed
  static double WaitingWork(const job& owner);
  duration Longest(const job& candidate) const;
  duration ShortestRun(const job& candidate, instant now) const;
  /// @return when the job is to be done: its objective, or where only a late answer is left, the
  ///   end of the time in which that is of use. Once begun, a job is not left lying until its
  ///   deadline behind all that can be in time.
  instant Aim(const job& candidate, instant now) const;
  instant LatestStart(const job& candidate, instant now) const;
  static bool Begun(const job& owner);
  void Release(job& owner);
  void PlaceJob(job& owner, instant now, bool& room_left);
  bool PlaceLate(job& owner, instant now);
  target_table::need NeedOf(const job& owner, const step& each, instant now) const;
  bool PlaceTask(job& owner, uint32_t step_number, uint32_t index, order_batch& batch, instant now);
  void TaskFailed(job& owner, task& failed, const std::string& agent);
  void Answer(const std::string& id, const job_answer& answer);
  void SetState(job& owner, task& item, task_state state);
  void WithdrawAll(job& owner);
  void SettleAgent(const std::string& address, instant now, bool at_once);
  task& TaskAt(job& owner, const order_place& place);
  static bool NothingLeft(const job& owner);
  void Note(std::string_view fact, std::string_view job, std::string detail) const;

  job_scheduler_options options_;
  order_hook order_;
  withdraw_hook withdraw_;
  answer_hook answer_;
  log_hook note_;
  target_table targets_;
  job_map jobs_;
  std::unordered_map<request_serial, std::string> requests_;
  std::unordered_map<uint64_t, order_place> orders_;
  uint64_t next_order_ = 1;
  int waiting_ = 0;    ///< tasks of all jobs that wait to be placed
  int unsettled_ = 0;  ///< tasks of all jobs that may still run where they are lost
  std::optional<instant> without_targets_since_;  ///< nothing while some target is in use
};

}  // namespace wagtail::leased
