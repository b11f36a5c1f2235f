#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

/// @file
/// The operators' text in validated form.

namespace wagtail {

/// Resources that a target must have to run a service's tasks.
struct target_requirements {
  uint32_t cores = 0;
  uint32_t memory_mb = 0;
  std::string accelerator;  ///< empty: none needed
};

struct service_configuration {
  std::string name;
  std::vector<std::string> depends_on;  ///< services whose tasks of the same job complete first
  target_requirements requires_of_target;
  duration expected_run = std::chrono::milliseconds(100);  ///< declared; real ones are measured
  duration task_timeout = std::chrono::seconds(10);        ///< maximum run time of one task
  duration job_deadline = std::chrono::seconds(30);        ///< maximum time until the final answer
};

struct team_configuration {
  std::string name;
  std::string token_digest;             ///< SHA-256 of the team's token, hexadecimal
  double starts_per_second = 100;       ///< quota of task starts
  uint32_t burst_tasks = 1380;          ///< tasks admitted in a burst above the rate
  uint32_t max_tasks_in_flight = 4096;  ///< maximum number of admitted, unfinished tasks
  std::vector<std::string> services;    ///< services the team may use; empty for all
};

struct operator_configuration {
  std::string name;
  std::string token_digest;  ///< SHA-256 of the operator's token, hexadecimal
};

/// One accepted version. Version numbers only increase.
struct configuration {
  uint64_t version = 0;  ///< 0: none accepted yet
  std::map<std::string, service_configuration, std::less<>> services;
  std::map<std::string, team_configuration, std::less<>> teams;
  std::map<std::string, operator_configuration, std::less<>> operators;
  std::set<std::string, std::less<>> failure_domains;
  std::set<std::string, std::less<>> leaving_failure_domains;
  std::set<std::string, std::less<>> leaving_targets;

  /// @return whether a target may be given new work
  bool Admits(std::string_view target, std::string_view failure_domain) const {
    return !leaving_targets.contains(target) && !leaving_failure_domains.contains(failure_domain);
  }
};

}  // namespace wagtail
