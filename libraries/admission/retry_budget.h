#pragma once

#include <cstdint>

#include "admission/token_bucket.h"
#include "base/time.h"

/// @file
/// Limits retries of tasks that are proven not to have started.

namespace wagtail {

struct retry_budget_options {
  double retries_per_first_attempt = 0.1;  ///< earned by each first attempt
  double max_saved = 100;                  ///< retries saved up at most
  double floor_per_second = 10;            ///< retries allowed each second whatever was earned
};

/// Budget of retries in proportion to first attempts, with a floor. Not safe for concurrent use:
/// it belongs to the thread that places tasks.
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
