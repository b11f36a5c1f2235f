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
  bool accepted = false;    ///< an earlier decision lets it wait
  bool begun = false;       ///< has ordered tasks, so it can't be refused any more
};

enum class service_class {
  kInTime,   ///< expected to meet its objective, or begun
  kDelayed,  ///< placed after all jobs that are expected to meet their objectives
  kRefused,  ///< not expected to be answered before its caller's deadline
};

/// What to do with one waiting job.
struct job_decision {
  size_t index = 0;  ///< of the job in the input
  service_class verdict = service_class::kInTime;
  duration expected_wait{0};  ///< until the work placed before it has started
};

/// Capacity of the targets of one service, as far as one entry counts on it.
struct overload_capacity {
  double total = 0;  ///< thousandths of a core that serve the entry's jobs
  /// Part of it that is left beside the jobs that are expected to arrive and to be served in time.
  /// A new job is delayed only if this part suffices; an accepted one is refused only once the
  /// total does not.
  double spare = 0;
};

/// @param jobs that wait for targets of one service
/// @return one decision for each job, in the order in which the jobs are to be placed
using overload_policy = std::function<std::vector<job_decision>(
    std::span<const waiting_job> jobs, const overload_capacity& capacity, instant now)>;

struct overload_options {
  /// Largest share of a job's slack that the expected wait may use. The wait is a mean over tasks,
  /// and a job is as late as its last task.
  double max_wait_fraction = 0.15;
  /// While jobs of the highest priority are served, the others lose a share of their jobs that
  /// grows by this factor with each lower priority: none starves while another one loses nothing.
  double loss_ratio = 2;
  /// Maximum number of delayed jobs.
  size_t max_delayed_jobs = 500;
};

/// Moore-Hodgson with priorities: takes the jobs in order of their latest starts and, whenever one
/// would wait too long, delays one of them. Jobs of the highest priority that waits come last; of
/// the others, first those that can start late and still be useful, then those of the queue that
/// has lost least for its priority (overload_options::loss_ratio), then of the lowest priority,
/// then of the queue with the largest jobs, then the one that arrived last. The mean work of the
/// queue counts and not that of the job, so that the large jobs of a queue are served as often as
/// the small ones.
overload_policy MakeOverloadPolicy(const overload_options& options);

}  // namespace wagtail::leased
