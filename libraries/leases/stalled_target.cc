#include <set>
#include <string_view>

#include "leases/run_controller.h"

/// @file
/// What a run keeper does when tasks on its target stand still.

namespace wagtail::leased {

instant run_controller::OverdueFrom(const kept_run& entry) const {
  duration expected = Scaled(entry.order.estimate, speed_.slowness());
  return entry.started + Scaled(expected, options_.overdue_factor) + options_.overdue_slack;
}

std::vector<uint64_t> run_controller::Stalled(instant now) const {
  bool speed_known = life_->last_result != instant{};
  if (!speed_known) {
    return {};
  }
  std::vector<uint64_t> overdue;
  std::set<std::string_view> jobs;
  for (const auto& [serial, entry] : runs_) {
    instant from = OverdueFrom(entry);
    if (entry.state == run_state::kRunning && from <= now && from >= life_->last_result) {
      overdue.push_back(serial);
      jobs.insert(entry.order.task.job);
    }
  }
  // On a target that fails runs already, one more is enough.
  bool known_to_fail = speed_.failing() >= options_.failing_limit && !overdue.empty();
  bool stalled = overdue.size() >= options_.overdue_to_stall && jobs.size() > 1;
  return stalled || known_to_fail ? overdue : std::vector<uint64_t>{};
}

void run_controller::StopStalled(instant now) {
  if (!life_.has_value()) {
    return;
  }
  for (uint64_t serial : Stalled(now)) {
    speed_.Failed();
    Stop(serial, runs_.find(serial)->second, "target_stalled", now);
  }
}

}  // namespace wagtail::leased
