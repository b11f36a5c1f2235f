#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace wagtail::leased {

/// Event queue that runs work in order of virtual time; work due at the same time runs in the order
/// it was added.
class virtual_time {
 public:
  instant now() const { return now_; }

  void At(instant when, std::function<void()> work) {
    queue_.emplace(std::pair(std::max(when, now_), next_++), std::move(work));
  }
  void After(duration delay, std::function<void()> work) { At(now_ + delay, std::move(work)); }

  void RunUntil(instant end) {
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto first = queue_.extract(queue_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = end;
  }

 private:
  instant now_{std::chrono::seconds(1000)};
  uint64_t next_ = 0;
  std::map<std::pair<instant, uint64_t>, std::function<void()>> queue_;
};

}  // namespace wagtail::leased
