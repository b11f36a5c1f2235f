#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "base/time.h"

/// @file
/// Decides which waiting jobs are served first, delayed or refused while the targets of a service
/// are full. Pure functions on values. Handles load above the capacity: bursts of seconds, and
/// lasting overload.

namespace wagtail::leased {

/// A job that waits for resources.
struct waiting_job {
  std::string_view id;
  unsigned priority = 0;  ///< of its queue; 0 is the highest
  instant arrived{};
  instant latest_start{};   ///< latest start that meets the objective
  instant last_start{};     ///< latest start that is answered before the caller's deadline
  double work = 0;          ///< of its waiting tasks, in thousandths of a core times microseconds
  double queue_work = 0;    ///< mean work of the jobs of its queue, in the same unit
  double queue_served = 1;  ///< share of the recent jobs of its queue that were not refused
  bool begun = false;       ///< has ordered tasks, so it can't be refused any more
};

enum class service_class {
  kInTime,   ///< expected to meet its objective
  kDelayed,  ///< placed after all jobs that are expected to meet their objectives
  kRefused,  ///< not expected to be answered before its caller's deadline
};

/// What to do with one waiting job.
struct job_decision {
  size_t index = 0;  ///< of the job in the input
  service_class verdict = service_class::kInTime;
  duration expected_wait{0};  ///< until the work placed before it has started
};

/// @param jobs that wait for targets of one service
/// @param capacity that serves them, in thousandths of a core; not negative
/// @return one decision for each job, in the order in which the jobs are to be placed
using overload_policy = std::function<std::vector<job_decision>(std::span<const waiting_job> jobs,
                                                                double capacity, instant now)>;

}  // namespace wagtail::leased
