#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/placement_options.h"

/// @file
/// Limits the outstanding tasks of a target until results show that it can handle more.

namespace wagtail {

/// Window of outstanding tasks for one target, raised by each success.
class slow_start {
 public:
  explicit slow_start(const slow_start_options& options) : options_(options) { Restart(); }

  /// Restarts from the initial window, for instance when the target returns.
  void Restart();
  /// Restarts with a window of one task, for a target that may have failed.
  void RestartWithOne();
  void OnSuccess();
  /// @param had_capacity whether the report showed free capacity, so that load does not explain the
  ///   refusal
  void OnRefused(bool had_capacity, instant now);

  /// @return tasks of this entry that may be outstanding; 0 during a pause
  uint32_t WindowAt(instant now) const;
  /// @return end of the pause after a refusal, in the past if there is none
  instant paused_until() const { return paused_until_; }

 private:
  /// Maximum window, far above any number of slots.
  static constexpr double kMaxWindow = 1 << 20;

  slow_start_options options_;
  double window_ = 1;
  duration pause_{};
  instant paused_until_{};
};

}  // namespace wagtail
