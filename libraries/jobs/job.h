#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "configuration/configuration.h"

/// @file
/// A caller's job and its final answer.

namespace wagtail {

/// Maximum number of tasks per job.
inline constexpr uint32_t kMaxTasksPerJob = 690;

struct task_spec {
  std::string service;
  std::string body;
  uint32_t stage = 0;  ///< the tasks of a stage start when all earlier stages are complete
  duration timeout{};
};

/// A service that must have a target for the job to be admitted: the services of its tasks and
/// their dependencies.
struct service_need {
  std::string service;
  target_requirements requirements;
};

struct job_submission {
  job_key key;
  std::string team;
  uint64_t digest = 0;
  uint64_t minted_uptime_ms = 0;
  uint64_t registry_revision = 0;
  instant deadline{};
  std::vector<task_spec> tasks;
  std::vector<service_need> needs;
};

/// Outcome stated in the final answer.
enum class job_outcome {
  kComplete,          ///< every task ran once and succeeded
  kFailedNotRun,      ///< proven: no task of the job was or will be started
  kFailedMayHaveRun,  ///< some task was started, or this can't be determined
};

/// @return a stable name for logs, metrics and answers
std::string_view ToString(job_outcome outcome);

struct task_answer {
  uint32_t index = 0;
  std::string target;
  std::string body;
};

struct job_answer {
  job_outcome outcome = job_outcome::kFailedNotRun;
  std::string reason;                ///< empty when complete
  uint32_t started = 0;              ///< tasks known to have been started
  duration retry_after{};            ///< suggested delay before a new attempt; zero if none
  duration run_time{};               ///< sum over the stages of the longest run time of a task
  std::vector<task_answer> results;  ///< one per task when complete, else empty
};

}  // namespace wagtail
