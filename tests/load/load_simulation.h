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
#include "tests/one_run/fake_leased_target.h"
#include "tests/one_run/virtual_time.h"

namespace wagtail::leased {

/// One kind of job that callers hand in.
struct load_kind {
  std::string name{};
  uint32_t tasks = 1;
  duration task_time{0};  ///< of one task on a target of nominal speed, on average
  int64_t cpu = 1000;     ///< of one task, in thousandths of a core
  double per_second = 1;  ///< by all callers together
};

/// Processor time that an entry spends on each kind of work, on a whole core.
struct entry_costs {
  duration request = std::chrono::microseconds(60);  ///< reading it and answering it
  duration job = std::chrono::microseconds(100);     ///< on top of it, if it is taken
  duration report = std::chrono::microseconds(40);   ///< of an agent, with its answer
  duration order = std::chrono::microseconds(40);    ///< one message to an agent
  duration answer = std::chrono::microseconds(40);   ///< to a caller whose job was taken
};

/// Part of the play during which something is different.
struct load_span {
  duration from{0};  ///< from the beginning of the play
  duration to{0};
  bool Holds(duration at) const { return at >= from && at < to; }
};

/// What the callers of one kind of job got.
struct load_result {
  unsigned handed_in = 0;
  unsigned in_time = 0;  ///< whole answer within the objective
  unsigned late = 0;     ///< whole answer within three times the objective
  unsigned refused = 0;  ///< told that nothing has run
  unsigned lost = 0;     ///< any other end
  load_result& operator+=(const load_result& other);
  /// @return share of the jobs that were in time
  double InTimeShare() const;
};

/// Entries, agents and targets without faults over virtual time, under a load drawn from a seed:
/// the decisions that ship, played as callers would load them. Callers of a refused job don't
/// come back.
class load_simulation {
 public:
  struct settings {
    uint64_t seed = 1;
    unsigned entries = 3;
    unsigned targets = 11;
    unsigned links = 4;      ///< entries that one agent keeps sessions with
    double first_entry = 1;  ///< callers of the first entry over those of any other
    /// Share of a core that each of the first few entries has, or nothing if processor time is not
    /// counted. The other entries have as much as they need.
    std::optional<double> small_entry_share{};
    unsigned small_entries = 1;
    entry_costs costs{};
    /// Connections of callers, who are in the failure domain of the small entries. Each stays with
    /// its entry until that ends it; the next one leads to a small entry, or if none says that it
    /// is ready to another. 0: each job may come to any entry.
    unsigned connections = 0;
    entry_rotation::options rotation{};
    unsigned slow_every = 4;  ///< each n-th target takes twice as long
    int64_t target_cpu = 64'000;
    double estimate_error = 0.4;  ///< a job's true work is off its estimate by up to this share
    double task_spread = 0.1;     ///< a task's work is off the mean of its job by up to this share
    std::vector<load_kind> kinds{};
    duration length = std::chrono::seconds(20);
    /// While a span holds, callers hand in this many times the usual.
    std::vector<std::pair<load_span, double>> bursts{};
    /// While it holds only the first few targets are of use: the others drain.
    std::optional<load_span> shortage{};
    unsigned targets_in_shortage = 0;
    /// Tasks that begin on the first few targets while it holds stand still.
    std::optional<load_span> standstill{};
    unsigned targets_in_standstill = 0;
    run_controller_options controller{};
    job_scheduler_options board{};
  };
  struct findings {
    std::map<std::string, load_result> kinds{};
    std::vector<load_result> seconds{};  ///< by the second in which the job was handed in
    double work_done = 0;                ///< core-seconds of tasks that ended done
    double work_wasted = 0;              ///< of these, of jobs that were not answered whole
    duration processor_used{0};          ///< by the small entries, of their share
    load_result Sum() const;
  };

  explicit load_simulation(settings settings);
  ~load_simulation();

  const findings& Run();

 private:
  struct entry_node;
  struct agent_node;
  struct session;
  struct caller;

  void StartEntry(entry_node& entry);
  void StartAgent(agent_node& agent, unsigned number);
  void Connect(agent_node& agent, entry_node& entry);
  void TickEntry(entry_node& entry);
  /// Runs work of an entry once its processor has done all that came before, and the work itself.
  void OnProcessor(entry_node& entry, duration cost, std::function<void()> work);
  /// @return when the entry's processor has also done work that costs so much
  instant Spend(entry_node& entry, duration cost);
  void TickAgent(agent_node& agent);
  void AnnounceTarget(agent_node& agent);
  void Place(entry_node& entry);
  void Deliver(session& to, const order_batch& batch);
  void SendDueReports(agent_node& agent);
  void SendReport(session& from);
  void Carry(agent_node& agent, const target_call& call);
  entry_node& AnyEntry();
  /// @return where the balancer brings a new connection
  entry_node& EntryForConnection();
  /// Ends the connection that a job came over, as the entry would with its answer.
  void EndConnection(const caller& who);
  void HandIn(const load_kind& kind);
  void Answer(entry_node& entry, request_serial serial, const job_answer& answer);
  void Admit(entry_node& entry, request_serial serial, job_submission submission);
  void ScheduleNext(const load_kind& kind);
  void Count(const caller& who, const load_result& got);
  void Answered(caller& who, const job_answer& answer);
  duration RunTime(const agent_node& agent, const task_ref& task);
  duration Elapsed() const;

  settings settings_;
  std::mt19937_64
      arrivals_;  ///< apart from the other, so that a change of policy meets the same load
  std::mt19937_64 random_;
  virtual_time time_;
  instant begin_;
  findings findings_;
  std::vector<std::unique_ptr<entry_node>> entries_;
  std::vector<std::unique_ptr<agent_node>> agents_;
  std::map<session_id, std::unique_ptr<session>> sessions_;
  std::vector<entry_node*> connections_;  ///< where each leads
  std::map<std::string, std::unique_ptr<caller>> callers_;
  session_id next_session_ = 1;
  unsigned next_job_ = 1;
};

}  // namespace wagtail::leased
