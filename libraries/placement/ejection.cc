#include "placement/ejection.h"

#include <algorithm>

namespace wagtail {

void ejection::OnSuccess() {
  ++results_;
  failure_rate_ -= options_.failure_weight * failure_rate_;
  if (++successes_in_a_row_ >= kSuccessesToResetBackoff) {
    ejections_in_a_row_ = 0;
  }
}

void ejection::OnFailure() {
  ++results_;
  failure_rate_ += options_.failure_weight * (1 - failure_rate_);
  successes_in_a_row_ = 0;
}

bool ejection::IsDue(double others_rate) const {
  return results_ >= options_.min_results && failure_rate_ > options_.failure_threshold &&
         failure_rate_ > others_rate + options_.margin_over_others;
}

void ejection::Eject(instant now) {
  /// More doublings than this exceed any sensible maximum.
  constexpr uint32_t kMaxDoublings = 16;
  const auto time = options_.first_ejection * (1U << std::min(ejections_in_a_row_, kMaxDoublings));
  until_ = now + std::min(time, options_.max_ejection);
  ++ejections_in_a_row_;
}

void ejection::Readmit(instant now) { until_ = std::min(until_, now); }

}  // namespace wagtail
