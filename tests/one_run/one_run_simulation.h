#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "leases/run_controller.h"
#include "scheduler/job_scheduler.h"
#include "tests/one_run/fake_leased_target.h"
#include "tests/one_run/virtual_time.h"

namespace wagtail::leased {

/// Simulation of entries, agents, targets and callers in virtual time, with faults drawn from a
/// seed. Checks that no task runs twice at the same time, and that a job refused as not run has not
/// run.
class one_run_simulation {
 public:
  struct settings {
    uint64_t seed = 1;
    unsigned entries = 2;
    unsigned targets = 3;
    duration length = std::chrono::seconds(30);
    duration mean_job_interval = std::chrono::milliseconds(60);
    duration mean_fault_interval = std::chrono::milliseconds(700);
    double late_orders = 0.02;      ///< share of unanswered target calls, run seconds later
    bool targets_keep_ids = false;  ///< a target that restarts after a crash has the same id
    duration link_timeout = std::chrono::milliseconds(600);  ///< after which agents close a link
    run_controller_options controller{};
    job_scheduler_options scheduler{};
  };
  struct findings {
    unsigned started = 0;
    unsigned completed = 0;
    unsigned refused = 0;
    unsigned abandoned = 0;
    unsigned retries = 0;
    std::vector<std::string> violations{};
  };

  explicit one_run_simulation(const settings& settings);
  ~one_run_simulation();

  const findings& Run();

 private:
  struct process;
  struct entry_process;
  struct agent_process;
  struct caller;
  struct attempt_ref;
  struct channel;

  duration Between(int64_t min_ms, int64_t max_ms);
  bool Chance(double share);
  void Deliver(process& to, uint64_t incarnation, const std::function<void()>& work);

  void StartEntry(entry_process& entry);
  void StartAgent(agent_process& agent);
  void TickEntry(entry_process& entry);
  void TickAgent(agent_process& agent);
  void Connect(agent_process& agent, entry_process& entry);
  void Disconnect(channel& link, bool entry_notices, bool agent_notices);
  void SendReport(channel& link);
  void CallTarget(agent_process& agent, const target_call& call);
  void Flush(entry_process& entry);
  void LogEvent(const std::string& job, const std::string& text);
  /// Records a violation together with the event log of its job.
  void ReportViolation(std::string text, const std::string& job);

  void NewJob();
  void Send(const std::shared_ptr<caller>& sender);
  void OnAnswer(const std::shared_ptr<caller>& sender, const job_answer& answer);
  void ScheduleRetry(const std::shared_ptr<caller>& sender);
  void InjectFault();
  void Kill(process& victim, duration down, std::function<void()> restart);

  settings settings_;
  std::mt19937_64 random_;
  virtual_time time_;
  findings findings_;
  std::vector<std::unique_ptr<entry_process>> entries_;
  std::vector<std::unique_ptr<agent_process>> agents_;
  std::vector<std::shared_ptr<channel>> channels_;
  std::map<task_ref, unsigned> running_;
  std::set<std::string> started_jobs_;
  std::map<std::string, std::vector<std::string>> event_logs_;  ///< events by job
  std::vector<std::shared_ptr<caller>> callers_;
  session_id next_session_ = 1;
  request_serial next_serial_ = 1;
  unsigned next_job_ = 1;
};

}  // namespace wagtail::leased
