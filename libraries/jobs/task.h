#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"

/// @file
/// Values that entries and targets' daemons exchange about tasks.

namespace wagtail {

/// A task as an entry hands it to a target's daemon.
struct start_request {
  task_key key;
  uint32_t task_count = 0;         ///< tasks of the whole job
  uint64_t job_digest = 0;         ///< digest of the job as submitted
  uint64_t minted_uptime_ms = 0;   ///< owner's uptime when it minted the job's id
  uint64_t registry_revision = 0;  ///< table revision up to which targets may be given the job
  std::string service;
  std::string body;
  duration timeout{};  ///< longest that the task may run
};

/// Why a target's daemon did not start a task. Each one is proof that it never will, but for
/// kAlreadyKnown.
enum class refusal {
  kNone,
  kFull,              ///< slots and local queue are taken
  kLeaving,           ///< the configuration has the target or its failure domain leaving
  kStale,             ///< no entry has answered the daemon lately
  kFenced,            ///< another entry settled the task or recovers the job
  kExpired,           ///< the job's id is past its life
  kWrongIncarnation,  ///< addressed to an earlier life of the daemon
  kTooNew,            ///< the daemon was announced after the job's id was minted
  kStopping,          ///< the daemon is shutting down
  kLedgerFull,        ///< no room to record another start
  kAlreadyKnown,      ///< a duplicate; the first one stands
  kWithdrawn,         ///< the entry took the task back before it started
};

/// @return a stable name for logs, metrics and answers
std::string_view ToString(refusal reason);

/// What a target's daemon knows of a task.
enum class task_state {
  kNeverStarted,  ///< not started, and refused from now on
  kQueued,        ///< accepted, not started yet
  kRunning,
  kCompleted,  ///< the target answered success
  kFailed,     ///< the target answered failure, or the task ran out of time
  kForgotten,  ///< no record can be kept, for age or for want of room: nobody can tell
};

struct task_record {
  task_key key;
  task_state state = task_state::kNeverStarted;
  uint64_t job_digest = 0;  ///< of the job that the task was started for; 0 if never started
  std::optional<std::string> body;  ///< the target's answer; empty when it is no longer kept
};

/// What a target's daemon knows of a job that another entry recovers.
struct fence_report {
  bool forgotten = false;            ///< the id's life is over; nothing can be said of the job
  std::vector<task_record> started;  ///< every task of the job that was started here
  /// Indexes of tasks that this fence took out of the queue; not told to the asker.
  std::vector<uint32_t> withdrawn = {};
};

/// The end of one task, told by the target's daemon to the entry that started it.
struct task_result {
  task_key key;
  bool completed = false;  ///< the target answered success
  bool timed_out = false;
  std::string body;
  duration run_time{};
};

/// What becomes of tasks that are accepted and not started when an entry settles them.
enum class queued_tasks { kKeep, kWithdraw };

}  // namespace wagtail
