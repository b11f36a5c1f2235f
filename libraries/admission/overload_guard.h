#pragma once

#include <cstdint>

#include "absl/status/status.h"
#include "base/time.h"

/// @file
/// Rejects jobs early that could not be completed in time.

namespace wagtail {

struct overload_options {
  uint32_t max_queued_tasks = 20000;  ///< maximum length of the entry's queue
  double deadline_share = 0.5;  ///< fraction of a job's deadline that waiting may take, 0 to 1
  double rate_weight = 0.2;     ///< weight of the latest second in the rate of starts, 0 to 1
  duration min_retry_after = std::chrono::milliseconds(100);
  duration max_retry_after = std::chrono::seconds(10);
};

/// Overload protection for one entry's queue. Not safe for concurrent use: it belongs to the thread
/// that owns the queue.
class overload_guard {
 public:
  explicit overload_guard(const overload_options& options) : options_(options) {}

  /// Called when a waiting task was sent to a target.
  void OnSent(instant now);
  /// @param tasks number of tasks of the job, at least 1
  /// @param queued number of tasks waiting before it
  /// @param deadline time until the job's answer is due
  /// @return OK, or a refusal with a retry-after time
  absl::Status Check(uint32_t tasks, uint32_t queued, duration deadline, instant now);
  /// @return expected wait of a task behind `queued` others; zero while the rate is unknown, since
  ///         a queue from which nothing was sent gives no estimate
  duration ExpectedWait(uint32_t queued, instant now);

 private:
  void UpdateRate(instant now);
  duration ClampRetryAfter(duration retry_after) const;

  overload_options options_;
  instant second_start_{};
  uint32_t sent_this_second_ = 0;
  double sent_per_second_ = 0;
  bool is_started_ = false;
};

}  // namespace wagtail
