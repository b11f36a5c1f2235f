#pragma once

#include "placement/service_group.h"

/// @file
/// Baseline policies for comparison with the default one. Each sends a task at once while a target
/// has capacity.

namespace wagtail {

target_state* ChooseRandom(const choice_request& request);
target_state* ChooseRoundRobin(const choice_request& request);
target_state* ChooseLeastOutstanding(const choice_request& request);

}  // namespace wagtail
