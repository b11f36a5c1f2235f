#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>
#include <functional>

/// @file
/// Monotonic time used by all decision code. Decision code never reads a clock: it receives the
/// time of the event as an argument, so that tests run it on a virtual clock.

namespace wagtail {

using duration = std::chrono::microseconds;
/// Time since an arbitrary origin of this process, on the monotonic clock.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;
/// Source of the current time, replaced by a virtual clock in tests.
using clock_hook = std::function<instant()>;

/// @return the current time of the monotonic clock
inline instant MonotonicNow() {
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// @return the current time of a monotonic clock that advances while the VM is suspended; leases
///   and heartbeat timeouts are measured on it
inline instant BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  auto since_boot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return instant(std::chrono::duration_cast<duration>(since_boot));
}

/// @return whole milliseconds of `span`
constexpr int64_t ToMilliseconds(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// @return seconds of `span` as a fraction, the unit of every exported metric
constexpr double ToSeconds(duration span) { return std::chrono::duration<double>(span).count(); }

/// @return `span` times `factor`
constexpr duration Scaled(duration span, double factor) {
  return duration(static_cast<int64_t>(static_cast<double>(span.count()) * factor));
}

}  // namespace wagtail
