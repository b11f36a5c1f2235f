#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/memory_budget.h"
#include "base/time.h"
#include "leases/run_events.h"
#include "leases/task_ref.h"
#include "plan/operating_plan.h"
#include "scheduler/session_protocol.h"

/// @file
/// Inputs and outputs of job_scheduler.

namespace wagtail::leased {

/// Tasks of one job that may run at the same time.
struct job_step {
  uint32_t count = 0;
  task_resources resources{};  ///< needed by one task
  duration estimate{0};
  std::vector<uint32_t> after{};  ///< indexes of earlier steps that must complete first
};

/// A job whose result is sent once, in the answer to its request. It can't be queried later.
struct job_submission {
  std::string id{};  ///< chosen by the caller
  std::shared_ptr<const std::string> text{};
  queue_plan queue{};
  std::vector<job_step> steps{};
  duration deadline{0};  ///< how long the caller waits, counted from the arrival
  duration queued{0};    ///< time between the arrival and the submission to the scheduler
  std::shared_ptr<const memory_reservation> memory{};  ///< kept as long as the job
};

enum class job_outcome {
  kCompleted,
  kFailed,     ///< a task used up the attempts that its queue allows
  kRefused,    ///< no task of the job has run or will run under this request
  kAbandoned,  ///< given up after some tasks had started; the caller may send it again
  kCancelled,  ///< cancelled by its caller
};

/// The only answer to a request.
struct job_answer {
  job_outcome outcome = job_outcome::kRefused;
  std::string reason{};
  duration retry_after{0};  ///< delay before a retry, with kRefused
};

/// Identifies a request in job_scheduler. Never reused.
using request_serial = uint64_t;

/// An order to a target's agent to start one task.
struct task_order {
  uint64_t order = 0;
  task_ref task{};
  uint32_t run = 1;
  task_resources resources{};
  duration estimate{0};
};

/// Orders for tasks of one job, sent over one session.
struct order_batch {
  session_id session = 0;
  std::shared_ptr<const std::string> text{};
  std::string job{};
  std::vector<task_order> orders{};
};

/// A report from an agent: the load of its target and the state of the session.
struct session_report {
  target_status load{};
  unsigned entries = 1;      ///< number of entries that share the target
  uint64_t orders_seen = 0;  ///< highest order number of this session included in the load
  bool settled = false;      ///< no run from earlier sessions can still be active there
};

/// The agent at the other end of a session.
struct agent_identity {
  std::string name{};
  std::string address{};
  std::string domain{};
  peer_build build{};
};

/// Facts of log events that are counted.
constexpr std::string_view kJobDelayed = "job_delayed";
constexpr std::string_view kJobDisplaced = "job_displaced";

/// One log event of job_scheduler.
struct job_log_event {
  std::string_view fact;
  std::string_view job{};
  std::string_view queue{};  ///< with events of the overload policy
  std::string detail{};
};

}  // namespace wagtail::leased
