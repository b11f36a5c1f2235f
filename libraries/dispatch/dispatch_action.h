#pragma once

#include <functional>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "jobs/job.h"
#include "jobs/task.h"

namespace wagtail {

/// Receives the final answer of a job, exactly once.
using answer_hook = std::function<void(const job_answer&)>;

/// Sends a task to a target's daemon.
struct start_action {
  target_incarnation target;
  start_request request;
};

/// Withdraws a task from a target's daemon if it has not started.
struct withdraw_action {
  target_incarnation target;
  start_request request;
};

/// Delivers a final answer to every waiting submission.
struct answer_action {
  job_key job;
  std::vector<answer_hook> waiting;
  job_answer answer;
};

using dispatch_action = std::variant<start_action, withdraw_action, answer_action>;

}  // namespace wagtail
