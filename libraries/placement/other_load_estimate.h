#pragma once

#include <deque>

#include "base/time.h"
#include "placement/placement.h"

/// @file
/// Estimates the load that other entries put on a target, from reports of varying age.

namespace wagtail {

/// Load of other entries on one target. Between reports the estimate decays from the last report
/// towards the long-run mean, at the rate at which the target's tasks finish. Without further
/// reports the mean itself decays to zero, since the other entries may be gone.
class other_load_estimate {
 public:
  /// @param round_trip tasks sent less than this ago are not counted in a report that arrives now
  explicit other_load_estimate(duration round_trip) : round_trip_(round_trip) {}

  void OnSent(instant now);
  /// @param load reported load, of all entries
  /// @param own outstanding tasks of this entry, including those in flight
  void OnReport(const target_load& load, uint32_t own, instant now);
  /// Discards all reports.
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

  /// Time without a report, in mean runs, after which the long-run mean begins to decay.
  static constexpr double kRunsBeforeDecay = 10;

  /// @return age of the last report in mean runs
  double AgeIn(double mean_run, instant now) const;
  void DropArrived(instant now);

  duration round_trip_;
  std::deque<instant> in_flight_;
  instant reported_at_{};
  double reported_ = 0;
  double mean_ = 0;
};

}  // namespace wagtail
