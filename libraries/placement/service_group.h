#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <vector>

#include "base/time.h"
#include "placement/target_state.h"

/// @file
/// The targets of one service and the choice among them.

namespace wagtail {

/// Targets of one service as one entry sees them.
struct service_group {
  std::vector<target_state*> targets;
  uint32_t waiting = 0;          ///< tasks waiting at this entry, as last told
  uint32_t turned_away = 0;      ///< picks answered with none at `turned_away_at`
  instant turned_away_at{};      ///< time of the latest pick answered with none
  bool is_turning_away = false;  ///< whether the latest pick was answered with none
  uint32_t next = 0;             ///< position of the next target in turn
};

/// One question to a policy. `candidates` are the targets that may be given the task: usable, with
/// room, meeting the requirements and not excluded.
struct choice_request {
  service_group& group;
  std::span<target_state* const> candidates;
  instant now;
  std::mt19937_64& random;
};

/// Answers with one of the candidates, or nullptr when the task had better wait.
using choice_hook = std::function<target_state*(const choice_request&)>;

}  // namespace wagtail
