#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/placement_options.h"

/// @file
/// Limits the work given to a target until results show that it can take more.

namespace wagtail {

/// Window of outstanding tasks for one target, raised by each success.
class slow_start {
 public:
  explicit slow_start(const slow_start_options& options) : options_(options) { Restart(); }

  /// Starts again from the initial window, for instance when the target returns.
  void Restart();
  /// Leaves room for a single task, for a target under suspicion.
  void RestartWithOne();
  void OnSuccess();
  /// @param had_room whether the report showed room, so that the target refuses for its own reason
  void OnRefused(bool had_room, instant now);

  /// @return tasks of this entry that may be outstanding; 0 during a pause
  uint32_t WindowAt(instant now) const;
  /// @return end of the pause after a refusal, in the past if there is none
  instant paused_until() const { return paused_until_; }

 private:
  /// Bound of the window, far above any number of slots.
  static constexpr double kMaxWindow = 1 << 20;

  slow_start_options options_;
  double window_ = 1;
  duration pause_{};
  instant paused_until_{};
};

}  // namespace wagtail
