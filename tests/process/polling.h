#pragma once

#include <functional>
#include <thread>

#include "base/time.h"

namespace wagtail {

/// Timeout of every awaited condition; long, so that load on the VM causes no failures.
inline constexpr duration kWaitTimeout = std::chrono::seconds(40);
inline constexpr duration kPollInterval = std::chrono::milliseconds(20);

/// Polls until `condition` holds.
/// @return false if it did not hold within `timeout`
inline bool Eventually(const std::function<bool()>& condition, duration timeout = kWaitTimeout) {
  instant end = MonotonicNow() + timeout;
  while (!condition()) {
    if (MonotonicNow() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace wagtail
