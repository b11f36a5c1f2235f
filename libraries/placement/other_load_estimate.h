#pragma once

#include <deque>

#include "base/time.h"
#include "placement/placement.h"

/// @file
/// Estimates the load that other entries put on a target, from reports that grow old.

namespace wagtail {

/// Load of other entries on one target. Between reports the estimate moves from the last report
/// towards the long-run mean, at the pace at which the target's tasks finish. Without any report
/// the mean itself is forgotten in the end, since the other entries may be gone.
class other_load_estimate {
 public:
  /// @param round_trip tasks sent less than this ago are not in a report that arrives now
  explicit other_load_estimate(duration round_trip) : round_trip_(round_trip) {}

  void OnSent(instant now);
  /// @param load as reported, of every entry
  /// @param own tasks of this entry outstanding, those on the way included
  void OnReport(const target_load& load, uint32_t own, instant now);
  /// Forgets everything reported.
  void Reset();

  /// @param mean_run mean run time on the target in microseconds
  /// @return expected number of tasks of other entries, running or queued
  double At(instant now, double mean_run) const;
  /// @param mean_run mean run time on the target in microseconds
  /// @return standard deviation of the load around At(), which grows with the age of the report
  double DeviationAt(instant now, double mean_run) const;

 private:
  /// Weight of a report in the long-run mean.
  static constexpr double kMeanWeight = 0.05;

  /// Mean runs without a report after which the long-run mean begins to fade.
  static constexpr double kRunsRemembered = 10;

  /// @return age of the last report in mean runs
  double AgeIn(double mean_run, instant now) const;
  void ForgetArrived(instant now);

  duration round_trip_;
  std::deque<instant> on_the_way_;
  instant reported_at_{};
  double reported_ = 0;
  double mean_ = 0;
};

}  // namespace wagtail
