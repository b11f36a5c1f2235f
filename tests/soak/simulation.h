#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dispatch/recovery.h"
#include "tests/soak/event_queue.h"
#include "tests/soak/sim_entry.h"
#include "tests/soak/sim_target.h"

/// @file
/// Simulation of the real dispatch, recovery and ledger code on virtual time: entries, targets'
/// daemons, callers that resubmit, and faults. Records which tasks really started and checks every
/// answer against that.

namespace wagtail {

/// Disables one safeguard, to show that the checks detect its absence.
enum class sim_mutation {
  kNone,
  kIgnoreLostRecords,     ///< recovery assumes that no target was ever replaced
  kQueryWithoutFence,     ///< recovery queries started tasks without fencing the job
  kSettleWithoutRefusal,  ///< a late message can start a task settled as "never started"
};

struct sim_options {
  uint64_t seed = 1;
  uint64_t events = 20'000;
  sim_mutation mutation = sim_mutation::kNone;
};

/// Counts of jobs and injected faults, to show that each fault occurred.
struct sim_counts {
  uint64_t jobs = 0;
  uint64_t starts = 0;
  uint64_t complete = 0;
  uint64_t not_run = 0;
  uint64_t may_have_run = 0;
  uint64_t entry_kills = 0;
  uint64_t entry_pauses = 0;
  uint64_t target_kills = 0;
  uint64_t domain_kills = 0;
  uint64_t link_cuts = 0;
  uint64_t late_messages = 0;
  uint64_t lost_messages = 0;
  uint64_t leaves = 0;
  uint64_t table_outages = 0;
  uint64_t recoveries = 0;
  uint64_t joins = 0;
  uint64_t cancels = 0;
};

class simulation {
 public:
  explicit simulation(sim_options options);
  /// Runs until the events are used up or a violation is found.
  void Run();
  /// @return descriptions of broken guarantees, in order of occurrence
  const std::vector<std::string>& violations() const { return violations_; }
  const sim_counts& counts() const { return counts_; }
  uint64_t events() const { return queue_.count(); }

 private:
  struct job {
    job_submission submission;
    bool answered_not_run = false;
    uint32_t started = 0;
  };
  struct start_record {
    target_incarnation target;
    bool completed = false;
  };
  struct recovery_run {
    job_key key;
    std::shared_ptr<sim_entry> entry;
    recovery state;
    instant deadline;
    size_t open = 0;
    std::map<target_incarnation, int> failed;
  };
  using entry_pointer = std::shared_ptr<sim_entry>;
  using target_pointer = std::shared_ptr<sim_target>;
  using target_callback = std::function<void(sim_target&)>;
  using entry_callback = std::function<void(sim_entry&)>;

  // Random values.
  bool RandomBool(double probability);
  uint64_t RandomBelow(uint64_t bound);
  duration RandomDuration(duration min, duration max);

  // The table.
  void WriteRow(const target_row& row);
  void ReadTable(const entry_pointer& entry);

  // Processes.
  void StartEntry(size_t index);
  void StartTarget(size_t index);
  void EntryTick(const entry_pointer& entry);
  void InjectFault();
  void KillTarget(size_t index);
  void PauseEntry(const entry_pointer& entry);
  void ToggleLeaving();

  // Links. Messages on a cut connection are lost or delayed.
  void Connect(const entry_pointer& entry, const target_incarnation& target);
  void CutLink(const entry_pointer& entry, const target_incarnation& target);
  void SendToTarget(const entry_pointer& entry, const target_incarnation& target,
                    target_callback callback);
  void SendToEntry(const entry_pointer& entry, const target_incarnation& target,
                   uint64_t generation, entry_callback callback);
  void RunOnEntry(const entry_pointer& entry, const std::function<void()>& callback);
  duration DeliveryDelay(bool cut, bool& lost);

  // Tasks.
  void ExecuteActions(const entry_pointer& entry);
  void SendStart(const entry_pointer& entry, const start_action& action);
  void SendWithdrawal(const entry_pointer& entry, const withdraw_action& action);
  void SendSettlement(const entry_pointer& entry, const target_incarnation& target,
                      uint64_t generation, const std::vector<start_request>& tasks,
                      queued_tasks queued, bool is_handshake);
  void RunQueuedTasks(const target_pointer& target);
  void StartTask(const target_pointer& target, const start_request& request);
  void EndTask(const target_pointer& target, const start_request& request, duration run_time);
  void SendToOwner(const target_pointer& target, const task_key& key, entry_callback callback);

  // Callers.
  void NewJob();
  void SubmitAt(const entry_pointer& entry, const job_key& key, int tries_left);
  void Recover(const entry_pointer& entry, const job_key& key);
  void RecoveryRound(const std::shared_ptr<recovery_run>& run);
  void QueryTarget(const std::shared_ptr<recovery_run>& run, const target_incarnation& target);
  void OnAnswer(const job_key& key, const job_answer& answer);
  void CheckComplete(const job& submitted, const job_answer& answer);

  entry_pointer RandomEntry();
  entry_pointer EntryOf(entry_incarnation incarnation);
  std::string ExpectedBody(const task_key& key, const target_incarnation& target) const;
  void ReportViolation(const std::string& what);

  sim_options options_;
  std::mt19937_64 random_;
  event_queue queue_;
  uint64_t table_revision_ = 0;
  bool table_down_ = false;
  std::vector<table_row> table_log_;
  std::vector<entry_pointer> entries_;
  std::vector<target_pointer> targets_;
  std::map<target_incarnation, target_pointer> incarnations_;
  std::map<std::pair<uint64_t, target_incarnation>, std::pair<uint64_t, bool>> connections_;
  std::map<std::pair<uint64_t, target_incarnation>, uint64_t> sessions_;
  std::map<uint64_t, std::vector<std::function<void()>>> backlogs_;
  std::vector<bool> domain_leaving_;
  std::map<job_key, job> jobs_;
  std::map<task_key, start_record> starts_;
  uint64_t next_nonce_ = 1;
  sim_counts counts_;
  std::vector<std::string> violations_;
};

}  // namespace wagtail
