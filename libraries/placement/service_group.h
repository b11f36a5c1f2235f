#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <vector>

#include "base/time.h"
#include "placement/target_state.h"

/// @file
/// The targets of one service and the interface of the policies that choose among them.

namespace wagtail {

/// Targets of one service and the state of its picks at one entry.
struct service_group {
  std::vector<target_state*> targets;
  uint32_t waiting = 0;       ///< tasks waiting at this entry, as set by SetWaiting()
  uint32_t deferred = 0;      ///< picks that returned none at `deferred_at`
  instant deferred_at{};      ///< time of the latest pick that returned none
  bool is_deferring = false;  ///< whether the latest pick returned none
  uint32_t next = 0;          ///< position of the next target for round robin
};

/// Arguments of a policy. `candidates` are the targets that may be sent the task: usable, with
/// capacity, meeting the requirements and not excluded.
struct choice_request {
  service_group& group;
  std::span<target_state* const> candidates;
  instant now;
  std::mt19937_64& random;
};

/// Returns one of the candidates, or nullptr if the task should wait.
using choice_hook = std::function<target_state*(const choice_request&)>;

}  // namespace wagtail
