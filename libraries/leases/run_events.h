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
/// What a run keeper is told, and what it asks for.

namespace wagtail::leased {

/// One open connection of an entry, numbered by the agent. Numbers are never used again.
using session_id = uint64_t;

/// What a target says of itself.
struct target_announcement {
  std::string id{};
  int64_t start_time_ms = 0;  ///< start of this life, milliseconds since 1970
  std::string service{};
  std::string address{};
  std::string domain{};
  bool draining = false;
  task_resources capacity{};
  std::optional<int64_t> clock_ms{};  ///< the target's steady clock
  uint64_t sequence = 0;              ///< of the announcements of one life
};

/// A task that an entry wants started.
struct run_order {
  session_id session = 0;
  uint64_t order = 0;  ///< unique within the session
  task_ref task{};
  std::shared_ptr<const std::string> text{};  ///< of the job, handed to the target
  uint32_t run = 1;                           ///< least number of the run
  task_resources resources{};
  duration estimate{0};  ///< on a target of nominal speed
};

enum class run_outcome {
  kDone,
  kFailed,
  kStopped,     ///< by order, or because its entry no longer vouched for it
  kLost,        ///< lapsed, or gone with its target; certainly not running any more
  kNotStarted,  ///< refused, and never started under this order
  kVoided,      ///< asked for without an answer, and made void: can start no more in this life of
                ///< the target, but perhaps in another one under the same id
};

/// The final word on one order.
struct run_result {
  session_id session = 0;
  uint64_t order = 0;
  task_ref task{};
  run_outcome outcome = run_outcome::kNotStarted;
  std::string reason{};
  uint32_t run = 0;    ///< number used, or 0 if none was
  duration waited{0};  ///< from the arrival to the start
  duration ran{0};     ///< from the start to the end
};

enum class target_availability { kAbsent, kServing, kDraining };

/// What entries are told of a target.
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

/// Asks the target to start a run.
struct start_call {
  uint64_t serial = 0;  ///< names the run towards the keeper
  std::string instance{};
  std::string address{};
  task_ref task{};
  uint32_t run = 0;
  std::shared_ptr<const std::string> text{};
  int64_t lease_until_ms = 0;  ///< on the target's clock
  uint64_t fence = 0;
  duration timeout{0};  ///< without an answer by then it is unknown what became of the start
};

/// Asks the target to stop a run.
struct stop_call {
  uint64_t serial = 0;  ///< 0 for a run that the keeper did not start
  std::string instance{};
  std::string address{};
  task_ref task{};
  uint32_t run = 0;
  uint64_t fence = 0;
};

/// Renews the lease, acknowledges ends and asks what runs and what has ended.
struct renew_call {
  uint64_t serial = 0;
  std::string instance{};
  std::string address{};
  std::optional<int64_t> lease_until_ms{};  ///< absent: the lease is left as it is
  uint64_t fence = 0;
  uint64_t last_end = 0;  ///< ends up to this number are acknowledged
  duration wait{0};       ///< the answer waits this long for an end
  duration timeout{0};    ///< without an answer by then the renewal has failed
};

using target_call = std::variant<start_call, stop_call, renew_call>;

/// How the target answered a start.
enum class start_answer {
  kStarted,
  kFenced,            ///< not started: a higher fence was seen
  kStaleRun,          ///< not started: a higher number of the run was seen
  kLeaseExpired,      ///< not started: the lease was over already
  kNoResources,       ///< not started
  kOtherIncarnation,  ///< not started: another life of the target answered
  kUnhealthy,         ///< not started
  kInvalid,           ///< not started: the target does not understand the call
  kUnknown,           ///< no answer: the start may be carried out, also later
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

/// How a renewal went wrong.
enum class renew_failure {
  kNoAnswer,
  kFenced,            ///< another agent used a higher fence
  kOtherIncarnation,  ///< another life of the target answered
  kRefused,           ///< anything else
};

/// A line for the log: what was decided and on which grounds.
struct run_log_event {
  std::string_view fact;
  task_ref task{};
  uint32_t run = 0;
  std::string detail{};
};

}  // namespace wagtail::leased
