#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "leases/task_ref.h"

/// @file
/// Input events of a run controller, and the calls and results that it emits.

namespace wagtail::leased {

/// One open connection of an entry, numbered by the agent. Numbers are never used again.
using session_id = uint64_t;

/// Announcement that a target sends of itself with each heartbeat.
struct target_announcement {
  std::string id{};
  int64_t start_time_ms = 0;  ///< start of this incarnation, milliseconds since 1970
  std::string service{};
  std::string address{};
  std::string domain{};
  bool draining = false;
  task_resources capacity{};
  std::optional<int64_t> clock_ms{};  ///< the target's steady clock
  uint64_t sequence = 0;              ///< of the announcements of one incarnation
  /// Read back from the store: the target may have changed since, its capacity included.
  bool is_remembered = false;
};

/// @return whether both describe one incarnation of one target
bool IsSameIncarnation(const target_announcement& one, const target_announcement& other);

/// Notice of a target that it terminates.
struct target_departure {
  std::string id{};
  /// Of its incarnation, milliseconds since 1970; absent if the notice doesn't tell it.
  std::optional<int64_t> start_time_ms{};
};

/// Order of an entry to start a task.
struct run_order {
  session_id session = 0;
  uint64_t order = 0;  ///< unique within the session
  task_ref task{};
  std::shared_ptr<const std::string> text{};  ///< of the job, passed to the target
  uint32_t run = 1;                           ///< minimum number of the run
  task_resources resources{};
  duration estimate{0};  ///< on a target of nominal speed
};

enum class run_outcome {
  kDone,
  kFailed,
  kStopped,     ///< on request, or because the session lease of its entry expired
  kLost,        ///< lapsed, or ended with its target; certainly not running any more
  kNotStarted,  ///< refused, and never started under this order
  kVoided,  ///< start unanswered and then fenced off: it can no longer begin in this incarnation of
            ///< the target, but possibly in another one under the same id
};

/// What a run that was lost had to do with the end of its target.
enum class crash_role {
  kNone,       ///< the target did not crash, or nothing shows that it did
  kBystander,  ///< had run for some time when the target crashed
  kSuspect,    ///< had begun just before the target crashed
};

/// A task that ran on a target when that crashed.
struct task_crash {
  task_ref task{};
  bool suspected = false;  ///< as crash_role::kSuspect
};

/// Final result of one order.
struct run_result {
  session_id session = 0;
  uint64_t order = 0;
  task_ref task{};
  run_outcome outcome = run_outcome::kNotStarted;
  std::string reason{};
  uint32_t run = 0;                      ///< number used, or 0 if none was
  crash_role crash = crash_role::kNone;  ///< with kLost
  duration waited{0};                    ///< from the arrival to the start
  duration ran{0};                       ///< from the start to the end
};

enum class target_availability { kAbsent, kServing, kDraining };

/// State of a target as reported to entries.
struct target_status {
  target_availability state = target_availability::kAbsent;
  std::string target{};
  std::string service{};
  task_resources capacity{};
  task_resources free{};
  double slowness = 1;
  double failing = 0;
  duration mean_run{0};
};

/// Request to the target to start a run.
struct start_call {
  uint64_t serial = 0;  ///< identifies the run in the controller
  std::string instance{};
  std::string address{};
  task_ref task{};
  uint32_t run = 0;
  std::shared_ptr<const std::string> text{};
  int64_t lease_until_ms = 0;  ///< on the target's clock
  uint64_t fence = 0;
  duration timeout{0};  ///< without an answer within this time the start is in doubt
};

/// Request to the target to stop a run.
struct stop_call {
  uint64_t serial = 0;  ///< 0 for a run that the controller did not start
  std::string instance{};
  std::string address{};
  task_ref task{};
  uint32_t run = 0;
  uint64_t fence = 0;
};

/// Request that renews the lease, acknowledges ends and lists running and ended runs.
struct renew_call {
  uint64_t serial = 0;
  std::string instance{};
  std::string address{};
  std::optional<int64_t> lease_until_ms{};  ///< absent: the lease is not changed
  uint64_t fence = 0;
  uint64_t last_end = 0;  ///< ends up to this number are acknowledged
  duration wait{0};       ///< the target holds the answer for up to this long until a run ends
  duration timeout{0};    ///< without an answer within this time the renewal has failed
};

using target_call = std::variant<start_call, stop_call, renew_call>;

/// Answer of the target to a start.
enum class start_answer {
  kStarted,
  kFenced,            ///< not started: the target has accepted a higher fence
  kStaleRun,          ///< not started: the target has accepted a higher number of the run
  kLeaseExpired,      ///< not started: the lease had already expired
  kNoResources,       ///< not started
  kOtherIncarnation,  ///< not started: another incarnation of the target answered
  kUnhealthy,         ///< not started
  kInvalid,           ///< not started: the target rejects the call as malformed
  kNoListener,        ///< not started: nothing listens at the target's address
  kUnknown,           ///< no answer: the target may still carry out the start, even later
};

struct reported_run {
  task_ref task{};
  uint32_t run = 0;
};

enum class end_kind { kDone, kFailed, kStopped, kLapsed, kOther };

struct reported_end {
  uint64_t number = 0;
  task_ref task{};
  uint32_t run = 0;
  end_kind kind = end_kind::kOther;
};

/// The target's answer to a renewal.
struct target_report {
  int64_t clock_ms = 0;
  int64_t start_time_ms = 0;  ///< 0 if not stated
  std::vector<reported_run> running{};
  std::vector<reported_end> ended{};
};

/// Reason why a renewal failed.
enum class renew_failure {
  kNoAnswer,
  kNoListener,        ///< nothing listens at the target's address
  kFenced,            ///< another agent used a higher fence
  kOtherIncarnation,  ///< another incarnation of the target answered
  kRefused,           ///< anything else
};

/// Log entry that states a decision and its reason.
struct run_log_event {
  std::string_view fact;
  task_ref task{};
  uint32_t run = 0;
  std::string detail{};
};

}  // namespace wagtail::leased
