#pragma once

#include <deque>

#include "base/time.h"

namespace wagtail::leased {

/// Estimate of the speed and health of one target from its last runs.
class run_speed {
 public:
  /// Number of last runs that are counted.
  static constexpr size_t kWindow = 16;
  /// Slowness reported until a run has ended.
  static constexpr double kNominal = 1.0;

  /// Records a run that ended as done.
  /// @param ran its duration
  /// @param estimate what was expected on a target of nominal speed
  void Done(duration ran, duration estimate);
  /// Records a failed run.
  void Failed();
  /// Discards all records, since another target has replaced this one.
  void Reset();

  /// @return typical ratio of duration to estimate over the last runs
  double slowness() const;
  /// @return share of the last runs that failed, 0 with fewer than kMinSamples runs
  double failing() const;
  /// @return mean duration of the last runs that were done
  duration mean_run() const;
  /// @return duration that three of four of the last runs exceeded, 0 if none was done
  duration short_run() const;

 private:
  /// Weight of each new run in the moving average of the duration.
  static constexpr double kMeanGain = 0.1;
  static constexpr size_t kMinSamples = 4;

  std::deque<double> log_ratios_;
  std::deque<duration> durations_;
  std::deque<bool> failures_;
  double mean_run_us_ = 0;
};

}  // namespace wagtail::leased
