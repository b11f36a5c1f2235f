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

/// Entries, agents, targets and callers over virtual time, with faults drawn from a seed. Watches
/// that no task runs twice at the same time, and that a request refused as not run has not run.
class one_run_simulation {
 public:
  struct settings {
    uint64_t seed = 1;
    unsigned entries = 2;
    unsigned targets = 3;
    duration length = std::chrono::seconds(30);
    duration job_pause = std::chrono::milliseconds(60);
    duration fault_pause = std::chrono::milliseconds(700);
    double late_orders = 0.02;  ///< share of calls to targets without an answer, done seconds later
    bool targets_keep_ids = false;  ///< a target that comes back after a crash has the same id
    duration link_silence = std::chrono::milliseconds(600);  ///< after which agents drop a link
    run_controller_options controller{};
    job_scheduler_options board{};
  };
  struct findings {
    unsigned started = 0;
    unsigned completed = 0;
    unsigned refused = 0;
    unsigned abandoned = 0;
    unsigned sent_again = 0;
    std::vector<std::string> broken{};
  };

  explicit one_run_simulation(const settings& settings);
  ~one_run_simulation();

  const findings& Run();

 private:
  struct node;
  struct entry_node;
  struct agent_node;
  struct caller;
  struct attempt_ref;
  struct channel;

  duration Between(int64_t least_ms, int64_t most_ms);
  bool Chance(double share);
  void Deliver(node& to, uint64_t life, const std::function<void()>& work);

  void StartEntry(entry_node& entry);
  void StartAgent(agent_node& agent);
  void TickEntry(entry_node& entry);
  void TickAgent(agent_node& agent);
  void Connect(agent_node& agent, entry_node& entry);
  void Break(channel& link, bool entry_notices, bool agent_notices);
  void SendReport(channel& link);
  void Carry(agent_node& agent, const target_call& call);
  void Flush(entry_node& entry);
  void Tell(const std::string& job, const std::string& what);
  /// Records a broken promise with the story of its job.
  void Broken(std::string what, const std::string& job);

  void NewJob();
  void Send(const std::shared_ptr<caller>& who);
  void Answered(const std::shared_ptr<caller>& who, const job_answer& answer);
  void SendAgain(const std::shared_ptr<caller>& who);
  void Fault();
  void Kill(node& victim, duration down, std::function<void()> restart);

  settings settings_;
  std::mt19937_64 random_;
  virtual_time time_;
  findings findings_;
  std::vector<std::unique_ptr<entry_node>> entries_;
  std::vector<std::unique_ptr<agent_node>> agents_;
  std::vector<std::shared_ptr<channel>> channels_;
  std::map<task_ref, unsigned> running_;
  std::set<std::string> started_jobs_;
  std::map<std::string, std::vector<std::string>> stories_;  ///< by job, what happened to it
  std::vector<std::shared_ptr<caller>> callers_;
  session_id next_session_ = 1;
  request_serial next_serial_ = 1;
  unsigned next_job_ = 1;
};

}  // namespace wagtail::leased
