#pragma once

#include <chrono>

#include "base/time.h"

/// @file
/// Time limits of the freshness of configuration. Every process of a deployment uses the same.

namespace wagtail {

struct freshness_settings {
  /// Longest age of the evidence on which a target's daemon starts a task.
  duration limit = std::chrono::seconds(3);
  /// Time between two table reads of an entry, two polls, and two questions of a daemon.
  duration period = std::chrono::milliseconds(500);
  /// An entry whose last successful read started longer ago than this counts as unable to read. A
  /// slow table is thereby the same as one that refuses.
  duration reads_fail_after = std::chrono::milliseconds(1200);
  /// Largest deviation of a monotonic clock from real time, per second, in microseconds.
  int64_t clock_deviation_ppm = 5000;

  /// Time on this process's clock after which evidence of the past, held by any process, is older
  /// than `limit` on the clock of its holder, even if this clock is the fastest and that one the
  /// slowest allowed.
  duration LapseAfter() const {
    constexpr int64_t kMillion = 1'000'000;
    // Each process that handed the evidence on may have lost a microsecond to rounding.
    constexpr duration kRounding = std::chrono::milliseconds(1);
    return duration(limit.count() * (kMillion + clock_deviation_ppm) /
                    (kMillion - clock_deviation_ppm)) +
           kRounding;
  }
};

}  // namespace wagtail
