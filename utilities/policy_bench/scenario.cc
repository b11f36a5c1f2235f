#include "policy_bench/scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>

namespace wagtail {

namespace {

constexpr duration kSecond = std::chrono::seconds(1);

std::vector<double> SpeedsOf(std::string_view mix) {
  if (mix == "faster") {
    return {4, 4, 4, 4, 4, 4, 3, 3, 3, 2, 2, 1};
  }
  if (mix == "slower") {
    return {4, 4, 3, 3, 2, 2, 2, 1.5, 1.5, 1, 1, 1};
  }
  return {};
}

/// Size in seconds: most from 50 ms to 1 s, one in twenty up to 5 s.
double DrawSize(std::mt19937_64& random) {
  std::uniform_real_distribution<double> unit(0, 1);
  const bool is_long = unit(random) < 0.05;
  const double low = is_long ? 1.0 : 0.05;
  const double high = is_long ? 5.0 : 1.0;
  return low * std::pow(high / low, unit(random));
}

double MeanSize() {
  const auto mean = [](double low, double high) { return (high - low) / std::log(high / low); };
  return 0.95 * mean(0.05, 1) + 0.05 * mean(1, 5);
}

}  // namespace

duration scenario::Delay(uint32_t entry, uint32_t target) const {
  return entry % domains == targets[target].domain ? delay_within : delay_between;
}

duration scenario::Ideal(const task_arrival& task) const {
  const double fastest = std::ranges::max_element(targets, {}, &model_target::speed)->speed;
  duration nearest = duration::max();
  for (uint32_t target = 0; target < targets.size(); ++target) {
    if (targets[target].speed == fastest) {
      nearest = std::min(nearest, Delay(task.entry, target));
    }
  }
  return 2 * nearest + duration(std::llround(static_cast<double>(task.size.count()) / fastest));
}

double scenario::Capacity() const {
  return std::accumulate(
      targets.begin(), targets.end(), 0.0,
      [](double sum, const model_target& target) { return sum + target.slots * target.speed; });
}

std::optional<scenario> FindScenario(std::string_view name, std::string_view mix) {
  const std::vector<double> speeds = SpeedsOf(mix);
  if (speeds.empty() || (name != "kandy" && name != "jutland")) {
    return std::nullopt;
  }
  scenario result;
  result.name = std::string(name) + "-" + std::string(mix);
  result.delay_within = std::chrono::microseconds(250);
  result.delay_between = std::chrono::microseconds(name == "kandy" ? 1500 : 500);
  for (const double speed : speeds) {
    const auto position = static_cast<uint32_t>(result.targets.size());
    result.targets.push_back({.domain = position % result.domains, .speed = speed});
  }
  return result;
}

bool AddFaults(scenario& scenario, std::string_view name) {
  const auto add = [&scenario](int64_t second, fault_kind kind, uint32_t subject) {
    scenario.faults.push_back({second * kSecond, kind, subject});
  };
  if (name == "leave" || name == "leave-twice") {
    add(30, fault_kind::kLeave, 0);
    add(45, fault_kind::kReturn, 0);
  }
  if (name == "leave-twice") {
    add(50, fault_kind::kLeave, 0);
    add(65, fault_kind::kReturn, 0);
  }
  if (name == "overlap") {
    add(30, fault_kind::kLeave, 0);
    add(36, fault_kind::kLeave, 1);
    add(42, fault_kind::kReturn, 0);
    add(54, fault_kind::kReturn, 1);
  }
  if (name == "quick-failer") {
    add(30, fault_kind::kQuickFail, 2);
    add(60, fault_kind::kRecover, 2);
  }
  if (name == "straggler") {
    add(30, fault_kind::kSlow, 2);
    add(60, fault_kind::kRecover, 2);
  }
  if (name == "silent") {
    add(30, fault_kind::kSilent, 2);
    add(60, fault_kind::kRecover, 2);
  }
  return name == "none" || !scenario.faults.empty();
}

std::vector<task_arrival> MakeArrivals(const scenario& scenario, job_mix jobs, double load,
                                       uint64_t seed) {
  /// Tasks of a job; how often such jobs come is told per mix.
  constexpr std::array<uint32_t, 5> kTasks = {1, 2, 4, 16, 64};
  const std::array<double, 5> shares = jobs == job_mix::kSmall
                                           ? std::array<double, 5>{0.6, 0.25, 0.15, 0, 0}
                                           : std::array<double, 5>{0.6, 0.0, 0.30, 0.09, 0.01};
  const double mean_tasks = std::inner_product(kTasks.begin(), kTasks.end(), shares.begin(), 0.0);
  std::mt19937_64 random(seed);
  std::discrete_distribution<size_t> shape(shares.begin(), shares.end());
  std::uniform_int_distribution<uint32_t> entry(0, scenario.entries - 1);
  const double jobs_per_second = load * scenario.Capacity() / MeanSize() / mean_tasks;
  std::exponential_distribution<double> gap(jobs_per_second);
  std::vector<task_arrival> arrivals;
  for (double at = gap(random); at < ToSeconds(scenario.length); at += gap(random)) {
    const uint32_t to = entry(random);
    const uint32_t tasks = kTasks[shape(random)];
    for (uint32_t task = 0; task < tasks; ++task) {
      arrivals.push_back(
          {duration(std::llround(at * 1e6)), to, duration(std::llround(DrawSize(random) * 1e6))});
    }
  }
  return arrivals;
}

}  // namespace wagtail
