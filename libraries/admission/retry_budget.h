#pragma once

#include <cstdint>

#include "admission/token_bucket.h"
#include "base/time.h"

/// @file
/// Limits retries of tasks that provably did not start.

namespace wagtail {

struct retry_budget_options {
  double retries_per_first_attempt = 0.1;  ///< retries earned by each first attempt
  double max_saved = 100;                  ///< maximum number of saved retries
  double floor_per_second = 10;  ///< retries allowed per second regardless of those earned
};

/// Budget of retries in proportion to first attempts, with a minimum rate. Not safe for concurrent
/// use: it belongs to the thread that places tasks.
class retry_budget {
 public:
  explicit retry_budget(const retry_budget_options& options);

  void OnFirstAttempt();
  /// @return whether the task may be sent again now; if so the budget is charged
  bool TryRetry(instant now);
  double saved() const { return saved_; }

 private:
  retry_budget_options options_;
  double saved_ = 0;
  token_bucket floor_;
};

}  // namespace wagtail
