#pragma once

#include "placement/service_group.h"

/// @file
/// Simple policies that a better one is measured against. Each sends at once while a target has
/// room.

namespace wagtail {

target_state* ChooseRandom(const choice_request& request);
target_state* ChooseRoundRobin(const choice_request& request);
target_state* ChooseLeastOutstanding(const choice_request& request);

}  // namespace wagtail
