#pragma once

#include <span>
#include <string>
#include <vector>

#include "wagtail_load/entry_client.h"

namespace wagtail {

/// What one target stand-in told of itself.
struct stand_in_state {
  std::string url;
  bool answered = false;
  uint64_t doubled = 0;     ///< tasks that it was asked to run more than once
  std::string detail = {};  ///< its whole answer, or why there is none
};

/// Asks every stand-in for GET /control.
std::vector<stand_in_state> CheckStandIns(std::span<const std::string> urls, const call_hook& call);

/// @return whether every stand-in answered and none ran a task twice
bool AllStartedOnce(std::span<const stand_in_state> states);

}  // namespace wagtail
