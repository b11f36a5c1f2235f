#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "base/time.h"

namespace wagtail {

/// Event loop on virtual time. Events at the same instant run in the order they were added.
class event_queue {
 public:
  using event = std::function<void()>;

  instant now() const { return now_; }
  void At(instant when, event run);
  void After(duration delay, event run) { At(now_ + delay, std::move(run)); }
  /// Runs the next event. @return false if there is none
  bool RunNext();
  uint64_t count() const { return count_; }

 private:
  struct item {
    instant when;
    uint64_t order = 0;
    event run;
    bool operator>(const item& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  instant now_{std::chrono::seconds(1)};
  uint64_t order_ = 0;
  uint64_t count_ = 0;
  std::priority_queue<item, std::vector<item>, std::greater<>> items_;
};

}  // namespace wagtail
