#include "admission/token_bucket.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/verify.h"

namespace wagtail {

namespace {

constexpr double kNanosecondsPerSecond = 1e9;

int64_t NanosecondsOf(instant now) {
  return std::chrono::nanoseconds(now.time_since_epoch()).count();
}

}  // namespace

token_bucket::token_bucket(double per_second, double burst)
    : burst_(burst),
      nanoseconds_per_token_(kNanosecondsPerSecond / per_second),
      full_at_(std::numeric_limits<int64_t>::min() / 4) {
  VERIFY(per_second > 0);
  VERIFY(burst >= 1);
}

duration token_bucket::TryTake(double tokens, instant now) {
  VERIFY(tokens >= 0);
  if (tokens > burst_) {
    return duration::max();
  }
  const int64_t present = NanosecondsOf(now);
  const auto cost = static_cast<int64_t>(std::llround(NanosecondsFor(tokens)));
  const auto capacity = static_cast<int64_t>(std::llround(NanosecondsFor(burst_)));
  int64_t full_at = full_at_.load(std::memory_order_relaxed);
  while (true) {
    const int64_t after = std::max(full_at, present) + cost;
    if (after - present > capacity) {
      const std::chrono::nanoseconds wait(after - present - capacity);
      return std::chrono::ceil<duration>(wait);
    }
    if (full_at_.compare_exchange_weak(full_at, after, std::memory_order_relaxed)) {
      return duration::zero();
    }
  }
}

void token_bucket::Return(double tokens) {
  full_at_.fetch_sub(static_cast<int64_t>(std::llround(NanosecondsFor(tokens))),
                     std::memory_order_relaxed);
}

double token_bucket::TokensAt(instant now) const {
  const int64_t missing = full_at_.load(std::memory_order_relaxed) - NanosecondsOf(now);
  return burst_ - static_cast<double>(std::max<int64_t>(0, missing)) / nanoseconds_per_token_;
}

}  // namespace wagtail
