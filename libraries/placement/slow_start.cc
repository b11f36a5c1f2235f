#include "placement/slow_start.h"

#include <algorithm>

namespace wagtail {

void slow_start::Restart() {
  window_ = std::max<double>(1, options_.initial_window);
  pause_ = options_.refusal_pause;
  paused_until_ = instant{};
}

void slow_start::RestartWithOne() {
  Restart();
  window_ = 1;
}

void slow_start::OnSuccess() {
  window_ = std::min(kMaxWindow, window_ + options_.growth_per_success);
  pause_ = options_.refusal_pause;
}

void slow_start::OnRefused(bool had_capacity, instant now) {
  if (!had_capacity || now < paused_until_) {
    return;
  }
  paused_until_ = now + pause_;
  pause_ = std::min(options_.max_refusal_pause, 2 * pause_);
  window_ = 1;
}

uint32_t slow_start::WindowAt(instant now) const {
  return now < paused_until_ ? 0 : static_cast<uint32_t>(window_);
}

}  // namespace wagtail
