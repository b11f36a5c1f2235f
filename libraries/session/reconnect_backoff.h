#pragma once

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace wagtail::leased {

struct reconnect_backoff_options {
  /// How long the first attempt waits for a connection. A VM that is down answers nothing at all,
  /// so an attempt that began before its start only ends here.
  duration first_limit = std::chrono::milliseconds(150);
  /// Each attempt in a row waits twice as long, up to this: a route may be slow.
  duration longest_limit = std::chrono::milliseconds(400);
  /// Pause between the beginnings of two attempts, doubled up to the second value. Counts where
  /// attempts are refused at once.
  duration first_pause = std::chrono::milliseconds(100);
  duration longest_pause = std::chrono::milliseconds(300);
};

/// Decides when to dial one address and how long to wait for the connection. Free of sockets and
/// clocks.
class reconnect_backoff {
 public:
  explicit reconnect_backoff(const reconnect_backoff_options& options)
      : options_(options), limit_(options.first_limit), pause_(options.first_pause) {}

  bool IsDue(instant now) const { return now >= next_; }

  /// An attempt begins.
  /// @return how long to wait for the connection
  duration Begin(instant now) {
    begun_ = now;
    return limit_;
  }

  /// The attempt came to nothing.
  void Failed(instant now) {
    next_ = std::max(now, begun_ + pause_);
    limit_ = std::min(limit_ * 2, options_.longest_limit);
    pause_ = std::min(pause_ * 2, options_.longest_pause);
  }

  void Connected() {
    limit_ = options_.first_limit;
    pause_ = options_.first_pause;
  }

  /// A connection that had been made broke.
  void Lost(instant now) { next_ = now + pause_; }

 private:
  reconnect_backoff_options options_;
  duration limit_;
  duration pause_;
  instant begun_{};
  instant next_{};
};

}  // namespace wagtail::leased
