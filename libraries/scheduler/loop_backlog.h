#pragma once

#include <atomic>

#include "base/time.h"

namespace wagtail::leased {

/// How far an entry's event loop is behind with its work. Answers an entry whose processor can't
/// keep up with its callers: a new job would wait as long, and so would the results of jobs that
/// were taken, so it is refused before it costs anything more. Safe to use from several threads.
class loop_backlog {
 public:
  struct options {
    /// A job may wait this long for the loop. Its results and its answer wait as long again, so it
    /// is a small part of the time that short jobs have.
    duration limit = std::chrono::milliseconds(12);
    /// An observed wait counts for this long.
    duration memory = std::chrono::milliseconds(30);
  };

  explicit loop_backlog(const options& options) : options_(options) {}

  /// The loop will run its timer next at this time.
  void OnTimerSet(instant due) { timer_due_ = due; }
  /// Work was handed to the loop.
  void OnWorkPosted(instant now);
  /// The loop took work.
  /// @param waited since it was handed over or due
  void OnWorkTaken(duration waited, instant now);

  /// @return how long work handed over now is expected to wait
  duration Estimate(instant now) const;
  /// @return whether new jobs are to be refused
  bool IsOver(instant now) const { return Estimate(now) > options_.limit; }

 private:
  static constexpr instant kNever{};

  options options_;
  std::atomic<instant> timer_due_ = kNever;
  std::atomic<instant> oldest_posted_ = kNever;  ///< of the work that the loop has not taken
  std::atomic<duration> last_wait_ = duration::zero();
  std::atomic<instant> last_taken_ = kNever;
};

}  // namespace wagtail::leased
