#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/placement_options.h"

/// @file
/// Tracks the failure rate of a target and the periods during which it is ejected.

namespace wagtail {

/// Ejection state of one target. The pool decides whether min_serving_slots allows an ejection.
class ejection {
 public:
  explicit ejection(const ejection_options& options) : options_(options) {}

  void OnSuccess();
  void OnFailure();

  /// @param others_rate failure rate of the other targets of the service
  /// @return whether the outcomes so far exceed the limits for ejection
  bool IsDue(double others_rate) const;
  /// Ejects for a time that doubles with each consecutive ejection.
  void Eject(instant now);
  /// Ends an ejection early, for instance when too few other targets are left.
  void Readmit(instant now);

  bool IsEjected(instant now) const { return now < until_; }
  instant until() const { return until_; }
  double failure_rate() const { return failure_rate_; }

 private:
  /// Consecutive successes after which earlier ejections no longer lengthen the next one.
  static constexpr uint32_t kSuccessesToResetBackoff = 10;

  ejection_options options_;
  double failure_rate_ = 0;
  uint32_t results_ = 0;
  uint32_t successes_in_a_row_ = 0;
  uint32_t ejections_in_a_row_ = 0;
  instant until_{};
};

}  // namespace wagtail
