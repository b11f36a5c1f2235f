#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "wagtail_load/load_scenario.h"

namespace wagtail {

struct planned_task {
  uint32_t service = 0;  ///< index into the scenario's services
  uint32_t run_ms = 0;   ///< nominal run time in milliseconds
};

/// A job and when it arrives, settled before the run starts.
struct planned_job {
  duration at{};       ///< since the start of the run
  uint32_t entry = 0;  ///< index into the scenario's entries
  bool resubmitted = false;
  std::vector<planned_task> tasks = {};
};

/// Greatest number of tasks that one run plans.
inline constexpr size_t kMaxPlannedTasks = 5'000'000;

/// Draws the whole schedule: Poisson arrivals, sizes, services and run times. The same scenario and
/// seed give the same schedule everywhere.
/// @return jobs by rising time, or load_error::kTooMuchWork
absl::StatusOr<std::vector<planned_job>> MakeSchedule(const load_scenario& plan);

/// @return the response time if nothing waited: the overhead and the longest task on the fastest
///   target
duration IdealResponse(const planned_job& job, const ideal_model& ideal);

/// @return the sum of the nominal run times of the tasks, in seconds
double WorkOf(const planned_job& job);

}  // namespace wagtail
