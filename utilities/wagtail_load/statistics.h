#pragma once

#include <span>
#include <vector>

#include "base/time.h"
#include "wagtail_load/job_record.h"
#include "wagtail_load/load_scenario.h"
#include "wagtail_load/run_report.h"
#include "wagtail_load/schedule.h"

namespace wagtail {

/// Seconds after the last change that still count into the window of the changes.
inline constexpr duration kWindowTail = std::chrono::seconds(20);

/// @param values in any order
/// @return mean, maximum and percentiles by nearest rank; zeros for no values
distribution Describe(std::vector<double> values);

/// Computes every figure of a run.
/// @param plan what was run
/// @param jobs the schedule
/// @param records what happened to each job, in the order of `jobs`
/// @param changes what the operator did
/// @return the report without its origin
run_report Summarise(const load_scenario& plan, std::span<const planned_job> jobs,
                     std::span<const job_record> records, std::vector<change_record> changes);

}  // namespace wagtail
