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

/// Most tasks that one job may hold.
inline constexpr uint32_t kMaxTasksPerJob = 690;

struct task_spec {
  std::string service;
  std::string body;
  uint32_t stage = 0;  ///< tasks of a stage start when all earlier stages are complete
  duration timeout{};
};

/// A service that must have a target for the job to be admitted: those of its tasks and all that
/// these depend on.
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

/// The three things that a final answer can say.
enum class job_outcome {
  kComplete,          ///< every task ran once and answered success
  kFailedNotRun,      ///< proven: no task of the job was started or will be
  kFailedMayHaveRun,  ///< some task was started, or nobody can tell
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
  duration retry_after{};            ///< when a new job may be worth trying; zero: no advice
  duration run_time{};               ///< of the longest task of each stage, added up
  std::vector<task_answer> results;  ///< every task when complete, else empty
};

}  // namespace wagtail
