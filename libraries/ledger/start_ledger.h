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
/// Record of the tasks that a target's daemon received, which makes each task start at most once.
/// Uses no sockets, threads or clocks.

namespace wagtail {

struct start_ledger_options {
  target_incarnation self;
  uint64_t announced_revision = 0;  ///< table revision of this incarnation's announcement
  uint32_t slots = 1;               ///< tasks that run concurrently
  uint32_t queue_limit = 1;         ///< tasks accepted beyond the slots
  duration id_lifetime = std::chrono::minutes(5);  ///< older job ids are refused
  size_t max_records = 200'000;                    ///< task records and fences together
  size_t max_body_bytes = 4 << 20;                 ///< answer bodies of all tasks together
  size_t max_owners = 65'536;                      ///< entry incarnations tracked
};

/// Monotonic counters of a ledger.
struct start_ledger_counters {
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;
  uint64_t fenced_jobs = 0;
  uint64_t expired_jobs = 0;
};

/// Records which tasks were started and refuses to start any of them again.
///
/// A record or fence is kept exactly as long as the job's id is accepted: both depend on the same
/// monotonic age estimate, so no id is accepted after its record was removed.
class start_ledger {
 public:
  /// Returns refusal::kNone if the configuration allows a task to start now, else the reason.
  using gate_hook = std::function<refusal(instant now)>;

  start_ledger(start_ledger_options options, gate_hook gate);

  /// Accepts a task into the local queue or refuses it.
  /// @param owner_uptime_ms uptime reported by the sender with the request, in milliseconds
  /// @return refusal::kNone when accepted
  refusal Accept(start_request request, uint64_t owner_uptime_ms, instant now);

  /// A task taken out of the queue, either to start or because it may no longer start.
  struct next_task {
    start_request request;
    refusal reason = refusal::kNone;  ///< kNone: the caller must start it now
  };
  /// Takes the oldest queued task if a slot is free. The gate is checked again here, just before
  /// the start; a task that it refuses is returned with the reason, so that its entry can
  /// reschedule it.
  std::optional<next_task> TakeNext(instant now);

  /// Records the end of a running task.
  void Finish(const task_result& result, instant now);

  /// @return the records of `tasks`; tasks that were never received are refused from now on
  std::vector<task_record> Settle(std::span<const start_request> tasks, queued_tasks queued,
                                  instant now);

  /// Fences a job: withdraws its queued tasks and refuses every further start.
  /// @return the tasks of the job that were started, and those withdrawn
  fence_report FenceJob(const job_key& job, uint64_t minted_uptime_ms, instant now);

  /// Stops accepting tasks; TakeNext returns queued ones with refusal::kStopping.
  void BeginStop() { stopping_ = true; }

  /// Removes records of jobs whose ids have expired.
  void Expire(instant now);

  uint32_t running() const { return running_; }
  uint32_t queued() const { return static_cast<uint32_t>(queue_.size()); }
  size_t record_count() const { return record_count_; }
  const start_ledger_counters& counters() const { return counters_; }
  const start_ledger_options& options() const { return options_; }

 private:
  struct ledger_task {
    task_state state = task_state::kNeverStarted;
    std::optional<std::string> body;
  };
  struct ledger_job {
    uint64_t digest = 0;
    uint64_t minted_uptime_ms = 0;
    bool fenced = false;
    std::map<uint32_t, ledger_task> tasks;
  };

  bool IsExpired(entry_incarnation owner, uint64_t minted_uptime_ms, instant now) const;
  /// @return whether a record or fence of the job can be kept until its id expires; if not, a
  ///   missing record doesn't prove that a task was not received
  bool CanRecord(const job_key& job, uint64_t minted_uptime_ms, instant now);
  refusal CheckStart(const start_request& request, instant now);
  ledger_job& FindOrAddJob(const job_key& job, uint64_t minted_uptime_ms);
  task_record RecordOf(const task_key& key, const ledger_job& job, const ledger_task& task) const;
  void RemoveFromQueue(const task_key& key);
  void StoreBody(const task_key& key, ledger_task& task, std::string body);
  void DropOldestBodies();
  void RemoveKeysOfExpiredBodies();

  start_ledger_options options_;
  gate_hook gate_;
  owner_clocks owners_;
  absl::flat_hash_map<job_key, ledger_job> jobs_;
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
