#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/placement_options.h"

/// @file
/// Estimates the run time of tasks from measured results.

namespace wagtail {

/// Exponentially weighted estimate of the run times on one target. The typical run is a geometric
/// mean: outliers hardly affect it, and its ratio between targets is that of their speeds. The two
/// shape factors describe the distribution of a service's task sizes; they hardly depend on the
/// target.
class run_time_estimate {
 public:
  explicit run_time_estimate(const learning_options& options) : options_(options) {}

  /// @param run_time measured run time; outliers are clamped to a multiple of the typical one
  void Add(duration run_time);
  /// Caps the number of results so that the next ones weigh more; keeps the estimates.
  void ReduceConfidence();

  /// @return number of results behind the estimates
  uint32_t results() const { return results_; }
  /// @return geometric mean in microseconds
  double typical() const;
  /// @return arithmetic mean / typical run: for the rate at which slots become free
  double mean_factor() const { return mean_factor_; }
  /// @return mean of typical run / run: the cost of waiting one typical run, as response / run
  double inverse_factor() const { return inverse_factor_; }

 private:
  learning_options options_;
  uint32_t results_ = 0;
  double log_typical_ = 0;
  double mean_factor_ = 1;
  double inverse_factor_ = 1;
};

}  // namespace wagtail
