#pragma once

#include <atomic>

#include "base/time.h"

namespace wagtail::leased {

/// Estimates how long work waits for an entry's event loop. Handles an entry whose processor can't
/// keep up with its callers: a new job would wait that long, and so would the results of accepted
/// jobs, so new jobs are refused before they use more processor time. Thread-safe.
class loop_backlog {
 public:
  struct options {
    /// Longest acceptable wait of a job for the loop. Its results and its answer wait as long
    /// again, so this is a small part of the objective of short jobs.
    duration limit = std::chrono::milliseconds(12);
    /// How long an observed wait contributes to the estimate.
    duration memory = std::chrono::milliseconds(30);
  };

  explicit loop_backlog(const options& options) : options_(options) {}

  /// Records when the loop's timer is due next.
  void OnTimerSet(instant due) { timer_due_ = due; }
  /// Records that work was queued for the loop.
  void OnWorkPosted(instant now);
  /// Records that the loop started on queued work.
  /// @param waited time since the work was queued or its timer was due
  void OnWorkTaken(duration waited, instant now);

  /// @return expected wait of work that is queued now
  duration Estimate(instant now) const;
  /// @return whether the estimate exceeds the limit, so that new jobs are to be refused
  bool IsOver(instant now) const { return Estimate(now) > options_.limit; }

 private:
  static constexpr instant kNever{};

  options options_;
  std::atomic<instant> timer_due_ = kNever;
  std::atomic<instant> oldest_posted_ = kNever;  ///< when the oldest pending work was queued
  std::atomic<duration> last_wait_ = duration::zero();
  std::atomic<instant> last_taken_ = kNever;
};

}  // namespace wagtail::leased
