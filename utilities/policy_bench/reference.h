#pragma once

#include <span>
#include <vector>

#include "policy_bench/scenario.h"

/// @file
/// What is possible at all: references that no entry can reach in practice.

namespace wagtail {

/// One scheduler that knows every size, speed and slot at once and gives each task, as it arrives,
/// the slot where it finishes first.
/// @return response / ideal of each task that arrived after the warm-up
std::vector<double> RunOmniscient(const scenario& scenario, std::span<const task_arrival> arrivals);

/// Fills the fastest targets first with the offered work, without any waiting or delay.
/// @return least mean of response / ideal for a policy that does not know the sizes beforehand
double FluidBound(const scenario& scenario, double load);

}  // namespace wagtail
