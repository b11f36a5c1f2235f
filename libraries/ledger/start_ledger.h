#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/identifiers.h"
#include "base/time.h"
#include "jobs/task.h"
#include "ledger/owner_clocks.h"

/// @file
/// What a target's daemon knows of the tasks it was given: the record that makes a task start at
/// most once. Free of sockets, threads and clocks.

namespace wagtail {

struct start_ledger_options {
  target_incarnation self;
  uint64_t announced_revision = 0;  ///< table revision that announced this incarnation
  uint32_t slots = 1;               ///< tasks that run at once
  uint32_t queue_limit = 1;         ///< tasks accepted beyond the slots
  duration id_lifetime = std::chrono::minutes(5);  ///< a job's id is refused when older
  size_t max_records = 200'000;                    ///< task records and fences kept
  size_t max_body_bytes = 4 << 20;                 ///< answers kept, of all tasks together
  size_t max_owners = 65'536;                      ///< entry incarnations told apart
};

/// Counters of a ledger, all growing.
struct start_ledger_counters {
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;
  uint64_t fenced_jobs = 0;
  uint64_t expired_jobs = 0;
};

/// Records which tasks were started and refuses every second start.
///
/// A record, and a fence, lives exactly as long as the job's id would be accepted: both are decided
/// by the same monotone age estimate, so no id outlives its record.
class start_ledger {
 public:
  /// Says whether the configuration lets a task start now; refusal::kNone if so.
  using gate_hook = std::function<refusal(instant now)>;

  start_ledger(start_ledger_options options, gate_hook gate);

  /// Accepts a task into the local queue or refuses it.
  /// @param owner_uptime_ms the sender's uptime as told with the request
  /// @return refusal::kNone when accepted
  refusal Accept(start_request request, uint64_t owner_uptime_ms, instant now);

  /// A task that may start, or one that may no longer and has been taken out of the queue.
  struct next_task {
    start_request request;
    refusal reason = refusal::kNone;  ///< kNone: the caller must start it now
  };
  /// Takes the oldest queued task if a slot is free. The gate is asked again here, just before the
  /// start; a task that it holds back is handed out with the reason, to be given back to its entry.
  std::optional<next_task> TakeNext(instant now);

  /// Records the end of a running task.
  void Finish(const task_result& result, instant now);

  /// Tells what became of tasks and refuses for good those that were never seen.
  std::vector<task_record> Settle(std::span<const start_request> tasks, queued_tasks queued,
                                  instant now);

  /// Refuses every further start of a job and tells all that was started of it. Queued tasks are
  /// withdrawn.
  fence_report FenceJob(const job_key& job, uint64_t minted_uptime_ms, instant now);

  /// Stops accepting; queued tasks are handed out by TakeNext with refusal::kStopping.
  void BeginStop() { stopping_ = true; }

  /// Drops records whose job ids have passed their life.
  void Expire(instant now);

  uint32_t running() const { return running_; }
  uint32_t queued() const { return static_cast<uint32_t>(queue_.size()); }
  size_t record_count() const { return record_count_; }
  const start_ledger_counters& counters() const { return counters_; }
  const start_ledger_options& options() const { return options_; }

 private:
  struct task_entry {
    task_state state = task_state::kNeverStarted;
    std::optional<std::string> body;
  };
  struct job_entry {
    uint64_t digest = 0;
    uint64_t minted_uptime_ms = 0;
    bool fenced = false;
    std::map<uint32_t, task_entry> tasks;
  };

  bool IsExpired(entry_incarnation owner, uint64_t minted_uptime_ms, instant now) const;
  /// @return whether a record or fence of the job can be kept for the rest of its id's life; if
  /// not,
  ///   nothing may be said of what never came here
  bool CanRemember(const job_key& job, uint64_t minted_uptime_ms, instant now);
  refusal Judge(const start_request& request, instant now);
  job_entry& EntryOf(const job_key& job, uint64_t minted_uptime_ms);
  task_record RecordOf(const task_key& key, const job_entry& job, const task_entry& task) const;
  void RemoveFromQueue(const task_key& key);
  void KeepBody(const task_key& key, task_entry& task, std::string body);
  void DropOldestBodies();
  void ForgetBodiesOfDroppedJobs();

  start_ledger_options options_;
  gate_hook gate_;
  owner_clocks owners_;
  absl::flat_hash_map<job_key, job_entry> jobs_;
  std::deque<job_key> jobs_by_age_;
  std::deque<start_request> queue_;
  std::deque<task_key> bodies_by_age_;
  size_t body_bytes_ = 0;
  size_t record_count_ = 0;
  uint32_t running_ = 0;
  bool stopping_ = false;
  start_ledger_counters counters_;
};

}  // namespace wagtail
