#include "services/dispatchd/first_plan_gate.h"

#include <algorithm>

namespace wagtail::leased {

instant FirstPlanDeadline(const first_plan_options& options, instant started, instant arrived,
                          duration deadline) {
  return std::min(started + options.grace, arrived + Scaled(deadline, options.share_of_deadline));
}

void first_plan_gate::Open() {
  {
    std::lock_guard lock(mutex_);
    open_ = true;
  }
  opened_.notify_all();
}

bool first_plan_gate::WaitFor(duration limit) {
  std::unique_lock lock(mutex_);
  return opened_.wait_for(lock, limit, [this] { return open_; });
}

}  // namespace wagtail::leased
