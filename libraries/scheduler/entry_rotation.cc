#include "scheduler/entry_rotation.h"

#include <algorithm>

namespace wagtail::leased {

void entry_rotation::Observe(bool behind, instant now) {
  duration passed = observed_ == instant{} ? duration::zero() : now - observed_;
  observed_ = now;
  double weight = ToSeconds(std::min(passed, options_.max_step)) / ToSeconds(options_.window);
  share_ += weight * ((behind ? 1.0 : 0.0) - share_);
  if (share_ >= options_.leave_share) {
    out_ = true;
  } else if (share_ < options_.return_share) {
    out_ = false;
  }
}

}  // namespace wagtail::leased
