#include <algorithm>
#include <set>
#include <string_view>

#include "leases/run_controller.h"

/// @file
/// Detection of a stalled target by a run controller.

namespace wagtail::leased {

std::vector<uint64_t> run_controller::StalledRuns(instant now) const {
  bool speed_known = incarnation_->last_result != instant{};
  if (!speed_known) {
    return {};
  }
  auto overdue_from = [&, slowness = speed_.slowness(),
                       short_run = speed_.short_run()](const tracked_run& run) {
    // Callers' estimates may be far too low, or be left out.
    duration expected = std::max(Scaled(run.order.estimate, slowness), short_run);
    return run.started + Scaled(expected, options_.overdue_factor) + options_.overdue_slack;
  };
  std::vector<uint64_t> overdue;
  std::set<std::string_view> jobs;
  size_t evidence = 0;
  for (const auto& [serial, run] : runs_) {
    instant from = overdue_from(run);
    if (run.state != run_state::kRunning || from > now || from < incarnation_->last_result) {
      continue;
    }
    overdue.push_back(serial);
    // A task that is overdue in every run has a wrong estimate.
    if (run.order.run == 1) {
      ++evidence;
      jobs.insert(run.order.task.job);
    }
  }
  // On a target with a high failure rate a single overdue run suffices.
  bool known_to_fail = speed_.failing() >= options_.failing_limit && evidence > 0;
  bool stalled = evidence >= options_.overdue_to_stall && jobs.size() > 1;
  return stalled || known_to_fail ? overdue : std::vector<uint64_t>{};
}

void run_controller::StopStalled(instant now) {
  if (!incarnation_.has_value()) {
    return;
  }
  for (uint64_t serial : StalledRuns(now)) {
    speed_.Failed();
    Stop(serial, runs_.find(serial)->second, "target_stalled", now);
  }
}

}  // namespace wagtail::leased
