#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "leases/run_controller.h"
#include "scheduler/entry_rotation.h"
#include "scheduler/job_scheduler.h"
#include "scheduler/loop_backlog.h"
#include "session/freed_capacity.h"
#include "tests/one_run/fake_leased_target.h"
#include "tests/one_run/virtual_time.h"

namespace wagtail::leased {

/// One kind of job that callers submit.
struct load_kind {
  std::string name{};
  uint32_t tasks = 1;
  duration task_time{0};  ///< mean run time of one task on a target of nominal speed
  int64_t cpu = 1000;     ///< demand of one task, in thousandths of a core
  double per_second = 1;  ///< submissions by all callers together
  unsigned priority = 0;  ///< of the queue; 0 is the highest
  double deadly = 0;      ///< share of the jobs whose first task crashes each target that starts it
  /// Share of the jobs with twice as many tasks. Their results count a second time as "NAME
  /// (wide)".
  double wide = 0;
};

/// Processor time that an entry spends on each kind of work, given a whole core.
struct entry_costs {
  duration request = std::chrono::microseconds(60);  ///< reading and answering a request
  duration job = std::chrono::microseconds(100);     ///< in addition, if the job is accepted
  duration report = std::chrono::microseconds(40);   ///< a report from an agent, with the reply
  duration order = std::chrono::microseconds(40);    ///< one message to an agent
  duration answer = std::chrono::microseconds(40);   ///< to a caller whose job was accepted
};

/// A time span of the simulation during which a condition holds.
struct load_span {
  duration from{0};  ///< from the start of the simulation
  duration to{0};
  bool Holds(duration at) const { return at >= from && at < to; }
};

/// Outcomes of the jobs of one kind.
struct load_result {
  unsigned submitted = 0;
  unsigned in_time = 0;  ///< completed within the objective
  unsigned late = 0;     ///< completed within three times the objective
  unsigned refused = 0;  ///< refused as not run
  unsigned lost = 0;     ///< any other outcome
  unsigned failed = 0;   ///< part of `lost`: answered as failed
  unsigned served = 0;   ///< completed at any time
  load_result& operator+=(const load_result& other);
  /// @return share of the jobs that completed in time
  double InTimeShare() const;
  /// @return share of the jobs that completed, however late
  double ServedShare() const;
};

/// Simulates entries, agents and targets without faults in virtual time, under a load generated
/// from a seed. Uses the production scheduler and agent code. Callers of a refused job don't retry.
class load_simulation {
 public:
  struct settings {
    uint64_t seed = 1;
    unsigned entries = 3;
    unsigned targets = 11;
    unsigned links = 4;             ///< number of entries to which one agent keeps sessions
    double first_entry_weight = 1;  ///< load of each heavy entry relative to any other
    unsigned heavy_entries = 1;     ///< number of entries with that load, from the first on
    /// Share of a core of each of the first `small_entries` entries; empty if processor time is not
    /// simulated. The other entries have unlimited processor time.
    std::optional<double> small_entry_share{};
    unsigned small_entries = 1;
    entry_costs costs{};
    /// Connections of callers, who are in the failure domain of the small entries. A connection
    /// stays with its entry until the entry closes it; the next one goes to a small entry in
    /// rotation, or to another entry if there is none. 0: each job may arrive at any entry.
    unsigned connections = 0;
    entry_rotation::options rotation{};
    unsigned slow_every = 4;   ///< every n-th target is slow
    double slow_factor = 2;    ///< run time on a slow target, relative to the nominal one
    double normal_factor = 1;  ///< run time on the other targets
    int64_t target_cpu = 64'000;
    unsigned large_every = 0;  ///< every n-th target has 1.5 times the capacity; 0: none
    duration caller_timeout = std::chrono::milliseconds(2400);
    double estimate_error = 0.4;  ///< largest relative error of a job's estimate
    double task_spread = 0.1;     ///< largest relative deviation of a task from the mean of its job
    std::vector<load_kind> kinds{};
    duration length = std::chrono::seconds(20);
    /// During each span the submission rate is multiplied by the factor.
    std::vector<std::pair<load_span, double>> bursts{};
    /// During this span only the first `targets_in_shortage` targets serve; the others drain.
    std::optional<load_span> shortage{};
    unsigned targets_in_shortage = 0;
    /// Tasks that start on the first `stalled_targets` targets during this span never progress.
    std::optional<load_span> stall{};
    unsigned stalled_targets = 0;
    /// Share of the starts that targets neither answer nor carry out, as if they came much later.
    double unanswered_starts = 0;
    run_controller_options controller{};
    freed_capacity_options freed{};
    job_scheduler_options scheduler{};
  };
  struct totals {
    std::map<std::string, load_result> kinds{};
    std::vector<load_result> entries{};  ///< by the entry that received the job
    /// Refused while the entry's targets had resources for all tasks of the job, beside the
    /// reserve.
    unsigned refused_with_free = 0;
    uint64_t reports = 0;                ///< sent by agents
    std::vector<load_result> seconds{};  ///< by the second in which the job was submitted
    double work_done = 0;                ///< core-seconds of completed tasks
    double work_wasted = 0;              ///< part of work_done for jobs that did not complete
    unsigned started_of_refused = 0;     ///< refused jobs of which a task started, before or after
    duration refused_after{0};           ///< sum over the refused jobs of the time until then
    duration processor_used{0};          ///< by the small entries, out of their share
    std::map<std::string, unsigned> crashes{};  ///< of targets, by the deadly job
    load_result Sum() const;
  };

  explicit load_simulation(settings settings);
  ~load_simulation();

  const totals& Run();

 private:
  struct simulated_entry;
  struct simulated_agent;
  struct session;
  struct caller;

  /// @return a plan with a queue for each kind of job
  operating_plan Plan() const;
  void StartEntry(simulated_entry& entry);
  void StartAgent(simulated_agent& agent, unsigned number);
  void Connect(simulated_agent& agent, simulated_entry& entry);
  void TickEntry(simulated_entry& entry);
  /// Runs `work` once the entry's processor has completed all earlier work and this work.
  void OnProcessor(simulated_entry& entry, duration cost, std::function<void()> work);
  /// @return when the entry's processor will have completed work of this cost
  instant Spend(simulated_entry& entry, duration cost);
  void TickAgent(simulated_agent& agent);
  void AnnounceTarget(simulated_agent& agent);
  void Place(simulated_entry& entry);
  void Deliver(session& to, const order_batch& batch);
  void SendDueReports(simulated_agent& agent);
  bool IsReportDue(const session& to, const target_status& load) const;
  void SendReport(session& from);
  /// @return whether its entry's targets could start all tasks of the job at once
  bool HasFreeTargets(const caller& who) const;
  void CallTarget(simulated_agent& agent, const target_call& call);
  simulated_entry& RandomEntry();
  /// @return the entry that the load balancer selects for a new connection
  simulated_entry& SelectEntry();
  /// Closes the connection of a job, as the entry does with its answer.
  void CloseConnection(const caller& who);
  void SubmitJob(const load_kind& kind);
  void Answer(simulated_entry& entry, request_serial serial, const job_answer& answer);
  void Admit(simulated_entry& entry, request_serial serial, job_submission submission);
  void ScheduleNext(const load_kind& kind);
  void Count(const caller& who, const load_result& got);
  void OnAnswer(caller& who, const job_answer& answer);
  duration RunTime(const simulated_agent& agent, const task_ref& task);
  void OnTaskStarted(simulated_agent& agent, const task_ref& task);
  void CrashTarget(simulated_agent& agent, const std::string& job);
  duration Elapsed() const;

  settings settings_;
  std::mt19937_64 arrivals_;  ///< separate from random_, so that the load does not depend on
                              ///< scheduling decisions
  std::mt19937_64 random_;
  virtual_time time_;
  instant begin_;
  totals totals_;
  std::vector<std::unique_ptr<simulated_entry>> entries_;
  std::vector<std::unique_ptr<simulated_agent>> agents_;
  std::map<session_id, std::unique_ptr<session>> sessions_;
  std::vector<simulated_entry*> connections_;  ///< entry of each connection
  std::map<std::string, std::unique_ptr<caller>> callers_;
  session_id next_session_ = 1;
  unsigned next_job_ = 1;
};

}  // namespace wagtail::leased
