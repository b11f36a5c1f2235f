#include "scheduler/loop_backlog.h"

#include <algorithm>

namespace wagtail::leased {

void loop_backlog::OnWorkPosted(instant now) {
  instant none = kNever;
  oldest_posted_.compare_exchange_strong(none, now);
}

void loop_backlog::OnWorkTaken(duration waited, instant now) {
  oldest_posted_ = kNever;
  last_wait_ = waited;
  last_taken_ = now;
}

duration loop_backlog::Estimate(instant now) const {
  duration estimate{0};
  instant due = timer_due_;
  if (due != kNever) {
    estimate = std::max(estimate, now - due);
  }
  instant oldest = oldest_posted_;
  if (oldest != kNever) {
    estimate = std::max(estimate, now - oldest);
  }
  if (now - last_taken_.load() < options_.memory) {
    estimate = std::max(estimate, last_wait_.load());
  }
  return estimate;
}

}  // namespace wagtail::leased
