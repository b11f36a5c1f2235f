#include "admission/retry_budget.h"

#include <algorithm>

#include "base/verify.h"

namespace wagtail {

retry_budget::retry_budget(const retry_budget_options& options)
    : options_(options),
      floor_(options.floor_per_second, std::max(1.0, options.floor_per_second)) {}

void retry_budget::OnFirstAttempt() {
  saved_ = std::min(options_.max_saved, saved_ + options_.retries_per_first_attempt);
}

bool retry_budget::TryRetry(instant now) {
  if (saved_ < 1) {
    return floor_.TryTake(1, now) == duration::zero();
  }
  saved_ -= 1;
  VERIFY(saved_ >= 0);
  return true;
}

}  // namespace wagtail
