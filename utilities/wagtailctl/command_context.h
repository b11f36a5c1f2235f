#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <istream>
#include <ostream>
#include <string>
#include <utility>

#include "base/time.h"
#include "utilities/wagtailctl/entry_client.h"

namespace wagtail {

/// Everything that a command reaches outside of itself; replaced in tests.
struct command_context {
  http_hook http;
  clock_hook now;
  std::function<void(duration)> sleep;
  std::function<std::string()> new_change_id;
  std::ostream& out;
  std::ostream& err;
  std::istream& in;
};

/// Time allowed to a command as a whole.
class time_budget {
 public:
  time_budget(clock_hook now, duration allowed) : now_(std::move(now)), end_(now_() + allowed) {}

  /// @return time left, never negative
  duration left() const { return std::max(duration::zero(), duration(end_ - now_())); }
  bool IsSpent() const { return left() == duration::zero(); }
  /// @return time for one call: at most kLongestCall, at least kShortestCall
  duration ForOneCall() const {
    constexpr duration kLongestCall = std::chrono::seconds(5);
    constexpr duration kShortestCall = std::chrono::milliseconds(100);
    return std::clamp(left(), kShortestCall, kLongestCall);
  }

 private:
  clock_hook now_;
  instant end_;
};

}  // namespace wagtail
