#include "policy_bench/reference.h"

#include <algorithm>
#include <cmath>

namespace wagtail {

namespace {

struct slot {
  uint32_t target = 0;
  duration free_at{};
};

}  // namespace

std::vector<double> RunOmniscient(const scenario& scenario,
                                  std::span<const task_arrival> arrivals) {
  std::vector<slot> slots;
  for (uint32_t target = 0; target < scenario.targets.size(); ++target) {
    slots.insert(slots.end(), scenario.targets[target].slots, slot{target});
  }
  std::vector<double> ratios;
  for (const task_arrival& task : arrivals) {
    const auto finish = [&](const slot& candidate) {
      const duration there = task.at + scenario.Delay(task.entry, candidate.target);
      const double run =
          static_cast<double>(task.size.count()) / scenario.targets[candidate.target].speed;
      return std::max(there, candidate.free_at) + duration(std::llround(run));
    };
    slot& best = *std::ranges::min_element(slots, {}, finish);
    best.free_at = finish(best);
    if (task.at >= scenario.warm_up) {
      const duration response = best.free_at + scenario.Delay(task.entry, best.target) - task.at;
      ratios.push_back(ToSeconds(response) / ToSeconds(scenario.Ideal(task)));
    }
  }
  return ratios;
}

double FluidBound(const scenario& scenario, double load) {
  std::vector<model_target> targets = scenario.targets;
  std::ranges::sort(targets, std::ranges::greater{}, &model_target::speed);
  const double offered = load * scenario.Capacity();
  double left = offered;
  double ratio = 0;
  for (const model_target& target : targets) {
    const double share = std::min(left, target.slots * target.speed);
    ratio += share / offered * targets.front().speed / target.speed;
    left -= share;
  }
  return ratio;
}

}  // namespace wagtail
