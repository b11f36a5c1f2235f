#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"

/// @file
/// Values about tasks exchanged between entries and targets' daemons.

namespace wagtail {

/// An entry's request to a target's daemon to start a task.
struct start_request {
  task_key key;
  uint32_t task_count = 0;         ///< tasks of the whole job
  uint64_t job_digest = 0;         ///< digest of the job as submitted
  uint64_t minted_uptime_ms = 0;   ///< owner's uptime when it minted the job's id
  uint64_t registry_revision = 0;  ///< highest table revision of targets that may receive the job
  std::string service;
  std::string body;
  duration timeout{};  ///< maximum run time of the task
};

/// Reason why a target's daemon did not start a task. Every reason except kAlreadyKnown proves that
/// it never will.
enum class refusal {
  kNone,
  kFull,              ///< all slots and the local queue are in use
  kLeaving,           ///< the configuration marks the target or its failure domain as leaving
  kStale,             ///< no entry has answered the daemon recently
  kFenced,            ///< another entry settled the task or recovers the job
  kExpired,           ///< the job's id has expired
  kWrongIncarnation,  ///< addressed to an earlier incarnation of the daemon
  kTooNew,            ///< the daemon was announced after the job's id was minted
  kStopping,          ///< the daemon is shutting down
  kLedgerFull,        ///< no capacity to record another start
  kAlreadyKnown,      ///< a duplicate; the first request remains valid
  kWithdrawn,         ///< the entry withdrew the task before it started
};

/// @return a stable name for logs, metrics and answers
std::string_view ToString(refusal reason);

/// State of a task as recorded by a target's daemon.
enum class task_state {
  kNeverStarted,  ///< not started; any later start is refused
  kQueued,        ///< accepted, not started yet
  kRunning,
  kCompleted,  ///< the target answered success
  kFailed,     ///< the target answered failure, or the task timed out
  kForgotten,  ///< no record is kept because of its age or lack of capacity; the state is unknown
};

struct task_record {
  task_key key;
  task_state state = task_state::kNeverStarted;
  uint64_t job_digest = 0;  ///< of the job that the task was started for; 0 if never started
  std::optional<std::string> body;  ///< the target's answer; empty if no longer stored
};

/// Records of a target's daemon about a job that another entry recovers.
struct fence_report {
  bool forgotten = false;            ///< the job's id has expired; the state of the job is unknown
  std::vector<task_record> started;  ///< every task of the job that was started at this target
  /// Indexes of tasks that this fence removed from the queue; not sent to the requesting entry.
  std::vector<uint32_t> withdrawn = {};
};

/// The result of one task, sent by the target's daemon to the entry that started it.
struct task_result {
  task_key key;
  bool completed = false;  ///< the target answered success
  bool timed_out = false;
  std::string body;
  duration run_time{};
};

/// What happens to tasks that are accepted but not started when an entry settles them.
enum class queued_tasks { kKeep, kWithdraw };

}  // namespace wagtail
