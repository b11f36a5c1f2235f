#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "scheduler/overload_policy.h"
#include "tests/load/load_simulation.h"

/// @file
/// The two workloads of docs/OVERLOAD.md, scaled down to 24 targets and 4 entries, and the policies
/// that the decisions of job_scheduler are compared with.

namespace wagtail::leased {

/// A load over time, as a multiple of what the targets can run.
struct overload_load {
  std::string name{};
  double level = 1;
  double burst = 0;  ///< level during the burst; 0: none
};

/// 0.9, 1.1, 1.5 and 2 times the capacity, and a burst of 1.6 for 4 s on 0.86.
std::vector<overload_load> OverloadLoads();

/// Priority 0 has many short tasks, 1 two longer ones, 2 a few long ones. A tenth of the jobs of
/// each have twice as many tasks.
/// @param mix 1 or 2
load_simulation::settings OverloadSettings(int mix, const overload_load& load);

/// How waiting jobs are served while targets are full.
struct named_policy {
  std::string name{};
  overload_policy policy{};
  bool is_baseline = true;
};

/// First come first served, earliest deadline first, strict priority and smallest work first, each
/// refusing only what can't start while its answer is useful; and the policy that is in use.
std::vector<named_policy> OverloadPolicies();

/// @return the settings with this policy; the baselines reserve nothing for the highest priority
load_simulation::settings WithPolicy(load_simulation::settings settings,
                                     const named_policy& policy);

/// Runs the simulation with the seeds from 1 on and adds up the results.
load_simulation::totals RunOverload(load_simulation::settings settings, uint64_t seeds);

}  // namespace wagtail::leased
