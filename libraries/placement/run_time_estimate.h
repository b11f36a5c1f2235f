#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/placement_options.h"

/// @file
/// Learns the run time of tasks from measured results.

namespace wagtail {

/// Running estimate of the run times on one target, with exponential forgetting. The typical run is
/// a geometric mean: outliers hardly move it, and its ratio between targets is that of their
/// speeds. The two shape factors tell how the sizes of a service's tasks spread; they hardly depend
/// on the target.
class run_time_estimate {
 public:
  explicit run_time_estimate(const learning_options& options) : options_(options) {}

  /// @param run_time a measured run time; outliers are cut to a multiple of the typical one
  void Add(duration run_time);
  /// Forgets the number of results, so that the next ones weigh more; keeps the figures.
  void Distrust();

  /// @return how many results stand behind the figures
  uint32_t results() const { return results_; }
  /// @return geometric mean in microseconds
  double typical() const;
  /// @return arithmetic mean / typical run: for the rate at which slots become free
  double mean_factor() const { return mean_factor_; }
  /// @return mean of typical run / run: how much a wait of one typical run costs in response / run
  double inverse_factor() const { return inverse_factor_; }

 private:
  learning_options options_;
  uint32_t results_ = 0;
  double log_typical_ = 0;
  double mean_factor_ = 1;
  double inverse_factor_ = 1;
};

}  // namespace wagtail
