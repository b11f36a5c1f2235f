#include "placement/run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace wagtail {

void run_time_estimate::Add(duration run_time) {
  double measured = std::max<double>(1, static_cast<double>(run_time.count()));
  if (results_ >= options_.trusted_results) {
    const double min_measured = typical() / options_.outlier_factor;
    measured = std::clamp(measured, min_measured, options_.outlier_factor * typical());
  }
  ++results_;
  const double weight = std::max(options_.min_weight, 1.0 / results_);
  log_typical_ += weight * (std::log(measured) - log_typical_);
  if (results_ < options_.trusted_results) {
    return;
  }
  const double relative = measured / typical();
  mean_factor_ += options_.min_weight * (relative - mean_factor_);
  inverse_factor_ += options_.min_weight * (1 / relative - inverse_factor_);
}

void run_time_estimate::ReduceConfidence() {
  results_ = std::min(results_, options_.trusted_results);
}

double run_time_estimate::typical() const { return std::exp(log_typical_); }

}  // namespace wagtail
