#include "tests/load/overload_workload.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <tuple>

namespace wagtail::leased {
namespace {

constexpr unsigned kTargets = 24;
constexpr unsigned kEntries = 4;
constexpr unsigned kLargeEvery = 3;
constexpr unsigned kSlowEvery = 4;
constexpr double kLargeFactor = 1.5;
constexpr double kWideShare = 0.1;
constexpr duration kBurstFrom = std::chrono::seconds(2);
constexpr duration kBurstTo = std::chrono::seconds(6);

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

load_simulation::settings FleetOf(int mix) {
  load_simulation::settings settings{
      .entries = kEntries, .targets = kTargets, .links = kEntries, .slow_every = kSlowEvery};
  settings.large_every = kLargeEvery;
  settings.target_cpu = mix == 1 ? 64'000 : 32'000;
  settings.slow_factor = mix == 1 ? 1 : 1 / 0.55;
  settings.normal_factor = mix == 1 ? 1 : 1 / 1.2;
  settings.caller_timeout = Ms(2100);
  settings.estimate_error = 0.4;
  settings.task_spread = 0.15;
  settings.length = std::chrono::seconds(8);
  return settings;
}

load_kind Kind(unsigned priority, double per_second, uint32_t tasks, duration task_time,
               int64_t cpu) {
  return {.name = "priority " + std::to_string(priority),
          .tasks = tasks,
          .task_time = task_time,
          .cpu = cpu,
          .per_second = per_second,
          .priority = priority,
          .wide = kWideShare};
}

std::vector<load_kind> NominalKinds(int mix) {
  if (mix == 1) {
    return {Kind(0, 181, 8, Ms(51), 6900), Kind(1, 529, 2, Ms(170), 6900),
            Kind(2, 33, 4, Ms(760), 6900)};
  }
  return {Kind(0, 206, 8, Ms(60), 2400), Kind(1, 600, 2, Ms(200), 2400),
          Kind(2, 37.5, 4, Ms(900), 2400)};
}

/// @return how many tasks the targets can run at once, each weighted by its target's speed
double TasksAtOnce(const load_simulation::settings& settings, int64_t task_cpu) {
  double tasks = 0;
  for (unsigned number = 0; number < settings.targets; ++number) {
    double large = number % settings.large_every == 0 ? kLargeFactor : 1;
    auto cpu = static_cast<int64_t>(static_cast<double>(settings.target_cpu) * large);
    double slowness =
        number % settings.slow_every == 0 ? settings.slow_factor : settings.normal_factor;
    int64_t held = cpu / task_cpu;
    tasks += static_cast<double>(held) / slowness;
  }
  return tasks;
}

/// @return tasks of these kinds that run at once on average, if each starts at once
double Demand(const std::vector<load_kind>& kinds) {
  return std::accumulate(kinds.begin(), kinds.end(), 0.0, [](double sum, const load_kind& kind) {
    return sum + kind.per_second * kind.tasks * (1 + kind.wide) * ToSeconds(kind.task_time);
  });
}

/// A policy that orders jobs by a key, those that have begun first, and refuses only those that
/// can't start any more while their answers are useful.
template <typename Key>
overload_policy OrderedBy(Key key) {
  return
      [key](std::span<const waiting_job> jobs, const overload_capacity& /*capacity*/, instant now) {
        std::vector<size_t> order(jobs.size());
        std::iota(order.begin(), order.end(), size_t{0});
        std::ranges::sort(order, {}, [&](size_t index) {
          const waiting_job& job = jobs[index];
          return std::tuple(!job.begun, key(job), job.arrived, job.id);
        });
        std::vector<job_decision> decisions;
        for (size_t index : order) {
          const waiting_job& job = jobs[index];
          bool is_refused = !job.begun && now > job.last_start;
          decisions.push_back(
              {.index = index,
               .verdict = is_refused ? service_class::kRefused : service_class::kInTime});
        }
        return decisions;
      };
}

}  // namespace

std::vector<overload_load> OverloadLoads() {
  return {{.name = "0.9", .level = 0.9},
          {.name = "1.1", .level = 1.1},
          {.name = "1.5", .level = 1.5},
          {.name = "2", .level = 2},
          {.name = "burst", .level = 0.86, .burst = 1.6}};
}

load_simulation::settings OverloadSettings(int mix, const overload_load& load) {
  load_simulation::settings settings = FleetOf(mix);
  settings.kinds = NominalKinds(mix);
  double scale =
      load.level * TasksAtOnce(settings, settings.kinds.front().cpu) / Demand(settings.kinds);
  for (load_kind& kind : settings.kinds) {
    kind.per_second *= scale;
  }
  if (load.burst > 0) {
    settings.bursts = {{{.from = kBurstFrom, .to = kBurstTo}, load.burst / load.level}};
  }
  return settings;
}

std::vector<named_policy> OverloadPolicies() {
  return {{.name = "first come, first served",
           .policy = OrderedBy([](const waiting_job& job) { return job.arrived; })},
          {.name = "earliest deadline first",
           .policy = OrderedBy([](const waiting_job& job) { return job.latest_start; })},
          {.name = "strict priority", .policy = OrderedBy([](const waiting_job& job) {
                                        return std::tuple(job.priority, job.latest_start);
                                      })},
          {.name = "smallest work first",
           .policy = OrderedBy([](const waiting_job& job) { return job.work; })},
          {.name = "in use", .policy = job_scheduler_options{}.overload, .is_baseline = false}};
}

load_simulation::settings WithPolicy(load_simulation::settings settings,
                                     const named_policy& policy) {
  settings.scheduler.overload = policy.policy;
  if (policy.is_baseline) {
    settings.scheduler.reserved_share = 0;
  }
  return settings;
}

load_simulation::totals RunOverload(load_simulation::settings settings, uint64_t seeds) {
  load_simulation::totals sum;
  for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
    load_simulation simulation(settings);
    const load_simulation::totals& found = simulation.Run();
    for (const auto& [name, result] : found.kinds) {
      sum.kinds[name] += result;
    }
    sum.work_done += found.work_done;
    sum.work_wasted += found.work_wasted;
    sum.started_of_refused += found.started_of_refused;
    sum.refused_after += found.refused_after;
  }
  return sum;
}

}  // namespace wagtail::leased
