#include "admission/overload_guard.h"

#include <algorithm>
#include <cmath>

#include "admission/admission_error.h"
#include "base/verify.h"

namespace wagtail {

namespace {

constexpr duration kSecond = std::chrono::seconds(1);
/// Idle seconds after which the measured rate of starts is discarded.
constexpr int64_t kRateExpirySeconds = 30;

}  // namespace

void overload_guard::OnSent(instant now) {
  UpdateRate(now);
  ++sent_this_second_;
}

absl::Status overload_guard::Check(uint32_t tasks, uint32_t queued, duration deadline,
                                   instant now) {
  VERIFY(tasks > 0);
  const uint64_t total_queued = uint64_t{queued} + tasks;
  if (total_queued > options_.max_queued_tasks) {
    const auto surplus =
        static_cast<uint32_t>(std::min<uint64_t>(total_queued - options_.max_queued_tasks, queued));
    return MakeRefusal(admission_error::kQueueFull, "the entry's queue is full",
                       ClampRetryAfter(ExpectedWait(surplus, now)));
  }
  const duration wait = ExpectedWait(queued, now);
  const auto allowed =
      duration(std::llround(options_.deadline_share * static_cast<double>(deadline.count())));
  if (wait > allowed) {
    return MakeRefusal(admission_error::kDeadlineTooShort,
                       "the job would wait for most of its deadline",
                       ClampRetryAfter(wait - allowed));
  }
  return absl::OkStatus();
}

duration overload_guard::ExpectedWait(uint32_t queued, instant now) {
  UpdateRate(now);
  if (sent_per_second_ <= 0) {
    return duration::zero();
  }
  const double seconds = queued / sent_per_second_;
  const double bounded = std::min(seconds, ToSeconds(std::chrono::hours(1)));
  return duration(std::llround(bounded * 1e6));
}

void overload_guard::UpdateRate(instant now) {
  if (!is_started_) {
    is_started_ = true;
    second_start_ = now;
  }
  const int64_t elapsed_seconds = (now - second_start_) / kSecond;
  if (elapsed_seconds > kRateExpirySeconds) {
    sent_per_second_ = 0;
    sent_this_second_ = 0;
    second_start_ = now;
    return;
  }
  for (int64_t second = 0; second < elapsed_seconds; ++second) {
    const bool is_first = sent_per_second_ <= 0;
    const double weight = is_first ? 1 : options_.rate_weight;
    sent_per_second_ += weight * (sent_this_second_ - sent_per_second_);
    sent_this_second_ = 0;
    second_start_ += kSecond;
  }
}

duration overload_guard::ClampRetryAfter(duration retry_after) const {
  return std::clamp(retry_after, options_.min_retry_after, options_.max_retry_after);
}

}  // namespace wagtail
