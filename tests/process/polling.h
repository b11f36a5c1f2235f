#pragma once

#include <functional>
#include <thread>

#include "base/time.h"

namespace wagtail {

/// Limit of every awaited condition: generous, so that a busy machine decides no verdict.
inline constexpr duration kPatience = std::chrono::seconds(40);
inline constexpr duration kPollInterval = std::chrono::milliseconds(20);

/// Polls until `condition` holds.
/// @return false once `limit` has passed without
inline bool Eventually(const std::function<bool()>& condition, duration limit = kPatience) {
  instant end = MonotonicNow() + limit;
  while (!condition()) {
    if (MonotonicNow() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace wagtail
