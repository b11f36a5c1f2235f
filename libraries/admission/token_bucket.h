#pragma once

#include <atomic>
#include <cstdint>

#include "base/time.h"

/// @file
/// A rate limiter that allows bursts.

namespace wagtail {

/// Token bucket stored as one atomic number: the instant at which it will be full again. Safe for
/// concurrent use without locks. Times from different threads may be slightly out of order.
class token_bucket {
 public:
  /// @param per_second tokens added each second, above 0
  /// @param burst tokens that a full bucket holds, at least 1
  token_bucket(double per_second, double burst);

  /// Takes all of `tokens` or none.
  /// @return zero if taken, otherwise the time until the bucket holds that many;
  ///         duration::max() if it never will
  duration TryTake(double tokens, instant now);
  /// Puts back tokens that were taken and not used.
  void Return(double tokens);
  /// @return tokens held at `now`
  double TokensAt(instant now) const;

 private:
  double NanosecondsFor(double tokens) const { return tokens * nanoseconds_per_token_; }

  double burst_;
  double nanoseconds_per_token_;
  std::atomic<int64_t> full_at_;  ///< nanoseconds since the origin of `instant`
};

}  // namespace wagtail
