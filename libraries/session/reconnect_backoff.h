#pragma once

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace wagtail::leased {

struct reconnect_backoff_options {
  /// Connect timeout of the first attempt. A VM that is down sends no reply at all, so an attempt
  /// that began before the VM was up ends only with this timeout.
  duration initial_timeout = std::chrono::milliseconds(150);
  /// The timeout doubles with each failed attempt up to this value, for slow routes.
  duration max_timeout = std::chrono::milliseconds(400);
  /// Shortest delay between the starts of two attempts, doubled up to `max_delay`. Takes effect
  /// when connections are refused immediately.
  duration initial_delay = std::chrono::milliseconds(100);
  duration max_delay = std::chrono::milliseconds(300);
};

/// Exponential backoff for connecting to one address: when to start an attempt and how long to wait
/// for it. Uses no sockets and no clocks.
class reconnect_backoff {
 public:
  explicit reconnect_backoff(const reconnect_backoff_options& options)
      : options_(options), timeout_(options.initial_timeout), delay_(options.initial_delay) {}

  bool IsDue(instant now) const { return now >= next_attempt_; }

  /// Starts an attempt.
  /// @return how long to wait for the connection
  duration StartAttempt(instant now) {
    attempt_start_ = now;
    return timeout_;
  }

  /// The attempt failed.
  void OnFailure(instant now) {
    next_attempt_ = std::max(now, attempt_start_ + delay_);
    timeout_ = std::min(timeout_ * 2, options_.max_timeout);
    delay_ = std::min(delay_ * 2, options_.max_delay);
  }

  void OnConnected() {
    timeout_ = options_.initial_timeout;
    delay_ = options_.initial_delay;
  }

  /// An established connection was lost.
  void OnConnectionLost(instant now) { next_attempt_ = now + delay_; }

 private:
  reconnect_backoff_options options_;
  duration timeout_;
  duration delay_;
  instant attempt_start_{};
  instant next_attempt_{};
};

}  // namespace wagtail::leased
