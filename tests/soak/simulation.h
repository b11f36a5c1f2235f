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
/// A small world on virtual time around the real decision code: entries, targets' daemons, callers
/// that resubmit, and what fails. It knows what was really started and holds every answer to it.

namespace wagtail {

/// Leaves one safeguard out, to show that the checks notice.
enum class sim_mutation {
  kNone,
  kIgnoreLostRecords,     ///< recovery believes that no incarnation of a target was ever replaced
  kAskWithoutFence,       ///< recovery asks what was started and lets the owner go on
  kSettleWithoutRefusal,  ///< settling tells "never started" and lets a late message start it
};

struct sim_options {
  uint64_t seed = 1;
  uint64_t events = 20'000;
  sim_mutation mutation = sim_mutation::kNone;
};

/// What a run met, to show that each fault was really there.
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
  /// Runs until the events are used up.
  void Run();
  /// @return what was seen to be wrong, in order; empty if nothing was
  const std::vector<std::string>& violations() const { return violations_; }
  const sim_counts& counts() const { return counts_; }
  uint64_t events() const { return queue_.count(); }

 private:
  struct job {
    job_submission submission;
    bool not_run_told = false;
    uint32_t started = 0;
  };
  struct start_record {
    target_incarnation target;
    bool completed = false;
  };
  struct recovery_run {
    job_key key;
    std::shared_ptr<sim_entry> entry;
    recovery decisions;
    instant deadline;
    size_t open = 0;
    std::map<target_incarnation, int> failed;
  };
  using entry_pointer = std::shared_ptr<sim_entry>;
  using target_pointer = std::shared_ptr<sim_target>;
  using target_work = std::function<void(sim_target&)>;
  using entry_work = std::function<void(sim_entry&)>;

  // Chance and time.
  bool Chance(double probability);
  uint64_t Below(uint64_t bound);
  duration Between(duration least, duration most);

  // The table.
  void WriteRow(const target_row& row);
  void ReadTable(const entry_pointer& entry);

  // Processes.
  void StartEntry(size_t place);
  void StartTarget(size_t place);
  void EntryTick(const entry_pointer& entry);
  void Fault();
  void KillTarget(size_t place);
  void PauseEntry(const entry_pointer& entry);
  void ToggleLeaving();

  // Links. Messages of a cut connection are lost or come late.
  void Connect(const entry_pointer& entry, const target_incarnation& target);
  void Cut(const entry_pointer& entry, const target_incarnation& target);
  void ToTarget(const entry_pointer& entry, const target_incarnation& target, target_work work);
  void ToEntry(const entry_pointer& entry, const target_incarnation& target, uint64_t generation,
               entry_work work);
  void OnEntry(const entry_pointer& entry, const std::function<void()>& work);
  duration TravelTime(bool cut, bool& lost);

  // Work.
  void CarryOut(const entry_pointer& entry);
  void SendStart(const entry_pointer& entry, const start_action& action);
  void SendWithdrawal(const entry_pointer& entry, const withdraw_action& action);
  void SendSettlement(const entry_pointer& entry, const target_incarnation& target,
                      uint64_t generation, const std::vector<start_request>& tasks,
                      queued_tasks queued, bool is_handshake);
  void PumpTarget(const target_pointer& target);
  void BeginTask(const target_pointer& target, const start_request& request);
  void EndTask(const target_pointer& target, const start_request& request, duration run_time);
  void TellOwner(const target_pointer& target, const task_key& key, entry_work work);

  // Callers.
  void NewJob();
  void SubmitAt(const entry_pointer& entry, const job_key& key, int tries_left);
  void Recover(const entry_pointer& entry, const job_key& key);
  void RecoveryRound(const std::shared_ptr<recovery_run>& run);
  void AskPlace(const std::shared_ptr<recovery_run>& run, const target_incarnation& target);
  void OnAnswer(const job_key& key, const job_answer& answer);
  void CheckComplete(const job& asked, const job_answer& answer);

  entry_pointer RandomEntry();
  entry_pointer EntryOf(entry_incarnation incarnation);
  std::string BodyOf(const task_key& key, const target_incarnation& target) const;
  void Violate(const std::string& what);

  sim_options options_;
  std::mt19937_64 random_;
  event_queue queue_;
  uint64_t table_revision_ = 0;
  bool table_down_ = false;
  std::vector<table_row> table_log_;
  std::vector<entry_pointer> entries_;
  std::vector<target_pointer> targets_;
  std::map<target_incarnation, target_pointer> lives_;
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
