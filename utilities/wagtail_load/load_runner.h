#pragma once

#include <atomic>
#include <functional>
#include <span>
#include <vector>

#include "base/time.h"
#include "wagtail_load/entry_client.h"
#include "wagtail_load/job_record.h"
#include "wagtail_load/load_scenario.h"
#include "wagtail_load/run_report.h"
#include "wagtail_load/schedule.h"

namespace wagtail {

/// What a run left behind.
struct run_outcome {
  std::vector<job_record> records;  ///< in the order of the schedule
  std::vector<change_record> changes;
};

/// Sends a schedule to the entries as an open loop: each job goes out at its time, whatever became
/// of those before. When every worker is busy a job goes out late, and its response time still
/// counts from the schedule.
/// @param plan the scenario
/// @param jobs its schedule
/// @param call makes HTTP calls; called from several threads
/// @param stop once true, jobs not yet sent stay unsent
/// @return when every call was answered or timed out
run_outcome RunSchedule(const load_scenario& plan, std::span<const planned_job> jobs,
                        const call_hook& call, const std::atomic<bool>& stop);

}  // namespace wagtail
