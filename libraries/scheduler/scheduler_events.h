#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "leases/run_events.h"
#include "leases/task_ref.h"
#include "plan/operating_plan.h"

/// @file
/// What a job board is told, and what it asks for.

namespace wagtail::leased {

/// Tasks of one job that may run at the same time.
struct job_step {
  uint32_t count = 0;
  task_resources resources{};  ///< of one task
  duration estimate{0};
  std::vector<uint32_t> after{};  ///< numbers of earlier steps that must be done first
};

/// A job that is answered when it has ended and that nobody asks for later.
struct job_submission {
  std::string id{};  ///< chosen by the caller
  std::shared_ptr<const std::string> text{};
  queue_plan queue{};
  std::vector<job_step> steps{};
  duration deadline{0};  ///< from the arrival: how long the caller waits
  duration queued{0};    ///< since the arrival, before the board got it
};

enum class job_outcome {
  kCompleted,
  kFailed,     ///< a task failed as often as its queue allows
  kRefused,    ///< nothing of the job has run or ever will under this request
  kAbandoned,  ///< given up after some of it had started; it may be sent again
  kCancelled,  ///< by its caller
};

/// The one answer to a request.
struct job_answer {
  job_outcome outcome = job_outcome::kRefused;
  std::string reason{};
  duration retry_after{0};  ///< when to come back, with kRefused
};

/// Names a request towards the board; never used again.
using request_serial = uint64_t;

/// A task that a target's agent is to start.
struct task_order {
  uint64_t order = 0;
  task_ref task{};
  uint32_t run = 1;
  task_resources resources{};
  duration estimate{0};
};

/// Tasks of one job for one session.
struct order_batch {
  session_id session = 0;
  std::shared_ptr<const std::string> text{};
  std::string job{};
  std::vector<task_order> orders{};
};

/// What an agent reports beside the load itself.
struct session_report {
  target_status load{};
  unsigned entries = 1;      ///< entries that share the target
  uint64_t orders_seen = 0;  ///< orders of this session that the load accounts for
  bool settled = false;      ///< nothing of earlier sessions can run there any more
};

/// Who is at the other end of a session.
struct agent_identity {
  std::string name{};
  std::string address{};
  std::string domain{};
};

/// A line for the log.
struct job_log_event {
  std::string_view fact;
  std::string_view job{};
  std::string detail{};
};

}  // namespace wagtail::leased
