#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/placement_options.h"

/// @file
/// Learns the run time of tasks from measured results.

namespace wagtail {

/// Running estimate of a run time: geometric and arithmetic mean with exponential forgetting.
class run_time_estimate {
 public:
  explicit run_time_estimate(const learning_options& options) : options_(options) {}

  /// @param run_time a measured run time; outliers are cut to a multiple of the typical one
  void Add(duration run_time);
  /// Forgets the number of results, so that the next ones weigh more; keeps the figures.
  void Distrust();

  /// @return how many results stand behind the figures
  uint32_t results() const { return results_; }
  /// @return geometric mean in microseconds: a ratio between targets that outliers hardly move
  double typical() const;
  /// @return arithmetic mean in microseconds: for the rate at which slots become free
  double mean() const { return mean_; }

 private:
  learning_options options_;
  uint32_t results_ = 0;
  double log_typical_ = 0;
  double mean_ = 0;
};

}  // namespace wagtail
