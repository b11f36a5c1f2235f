#include "scheduler/entry_rotation.h"

#include <algorithm>

namespace wagtail::leased {

void entry_rotation::Observe(bool behind, instant now) {
  duration passed = observed_ == instant{} ? duration::zero() : now - observed_;
  observed_ = now;
  double weight = ToSeconds(std::min(passed, options_.longest_step)) / ToSeconds(options_.window);
  share_ += weight * ((behind ? 1.0 : 0.0) - share_);
  if (share_ >= options_.leave) {
    out_ = true;
  } else if (share_ < options_.come_back) {
    out_ = false;
  }
}

}  // namespace wagtail::leased
