#pragma once

#include <deque>

#include "base/time.h"

namespace wagtail::leased {

/// What the last runs on one target tell of its speed and health.
class run_speed {
 public:
  /// Runs that count.
  static constexpr size_t kWindow = 16;
  /// Slowness told until there is evidence.
  static constexpr double kNominal = 1.0;

  /// A run ended as done.
  /// @param ran its duration
  /// @param estimate what was expected on a target of nominal speed
  void Done(duration ran, duration estimate);
  /// A run failed.
  void Failed();
  /// The target was replaced by another one; health starts anew.
  void Reset();

  /// @return typical duration over estimate of the last runs
  double slowness() const;
  /// @return share of the last runs that failed, 0 with too little evidence
  double failing() const;
  /// @return mean duration of the last runs that were done
  duration mean_run() const;

 private:
  /// Share of the whole at which one more run moves the mean duration.
  static constexpr double kMeanGain = 0.1;
  static constexpr size_t kLeastEvidence = 4;

  std::deque<double> log_ratios_;
  std::deque<bool> failures_;
  double mean_run_us_ = 0;
};

}  // namespace wagtail::leased
