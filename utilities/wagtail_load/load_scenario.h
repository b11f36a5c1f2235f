#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "logging/secret.h"

/// @file
/// What one run of the load tool does, read from JSON with comments.

namespace wagtail {

/// A service and how often tasks ask for it.
struct service_share {
  std::string name;
  double weight = 1;  ///< relative to the other services
};

/// A number of tasks per job and how often jobs have it.
struct job_size_share {
  uint32_t tasks = 1;
  double weight = 1;
};

/// A span of nominal run times, evenly spread, and how often tasks fall into it.
struct run_time_share {
  duration least{};
  duration most{};
  double weight = 1;
};

/// A steady rate of arrivals from a time on until the next phase.
struct arrival_phase {
  duration from{};
  double jobs_per_second = 0;
};

/// Where job ids come from.
enum class id_source {
  kMinted,   ///< minted by the entries ahead of need, sent with PUT
  kOwnKeys,  ///< idempotency keys of the caller's own, sent with POST
};

enum class operator_change { kLeaveDomain, kReturnDomain };

/// A change that the operator makes during the run.
struct operator_action {
  duration at{};
  operator_change kind = operator_change::kLeaveDomain;
  std::string subject;  ///< name of the failure domain
};

/// How much work a failure domain does.
struct domain_capacity {
  std::string name;
  double work_per_second = 0;  ///< nominal task seconds per second of all its targets together
};

/// What the response time would be if nothing ever waited.
struct ideal_model {
  double fastest_speed = 1;  ///< a task runs its nominal time over this on the fastest target
  duration overhead{};       ///< added once per job: the way there and back
};

struct load_scenario {
  std::string name;
  uint64_t seed = 1;
  duration length{};  ///< arrivals stop after this
  std::vector<arrival_phase> arrivals;
  std::vector<service_share> services;
  std::vector<job_size_share> job_sizes;
  std::vector<run_time_share> run_times;
  std::optional<duration> job_deadline;  ///< sent with each job
  id_source ids = id_source::kMinted;
  double resubmitted_share = 0;  ///< jobs sent to a second entry too, with the same id
  uint32_t resubmissions_when_lost =
      1;  ///< to the next entry, under the same id, without an answer
  ideal_model ideal;
  std::vector<domain_capacity> domains;
  std::vector<operator_action> actions;
  // How the load is sent, which is no part of the workload.
  std::vector<std::string> entries;  ///< http://IP:PORT without a path
  secret token;
  secret operator_token;
  std::vector<std::string> metrics_pages;  ///< http://IP:PORT; the entries when none is named
  std::vector<std::string> counters;       ///< names of counters to read before and after
  uint32_t workers = 0;                    ///< calls in progress at once at most
  duration call_timeout{};
};

/// Greatest number of tasks in a job.
inline constexpr uint32_t kMaxTasksPerJob = 690;
/// Greatest number of calls in progress at once.
inline constexpr uint32_t kMaxWorkers = 256;

/// Reads and checks a scenario.
/// @param text JSON with comments
/// @param file_name named in messages
/// @return the scenario, or load_error::kBadScenario naming every problem
absl::StatusOr<load_scenario> ParseScenario(std::string_view text, std::string_view file_name);

/// @return a digest in hexadecimal of everything that makes the workload: equal for runs that may
///   be compared. Leaves out the seed and how the load is sent.
std::string WorkloadDigest(const load_scenario& plan);

/// @return leave_domain or return_domain
std::string_view ToText(operator_change kind);

}  // namespace wagtail
