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

/// The external dependencies of a command; replaced in tests.
struct command_context {
  http_hook http;
  clock_hook now;
  std::function<void(duration)> sleep;
  std::function<std::string()> new_change_id;
  std::ostream& out;
  std::ostream& err;
  std::istream& in;
};

/// Time limit of a whole command.
class time_budget {
 public:
  time_budget(clock_hook now, duration allowed) : now_(std::move(now)), end_(now_() + allowed) {}

  /// @return remaining time, never negative
  duration remaining() const { return std::max(duration::zero(), duration(end_ - now_())); }
  bool IsExhausted() const { return remaining() == duration::zero(); }
  /// @return timeout of one call: the remaining time, from kMinCallTimeout to kMaxCallTimeout
  duration CallTimeout() const {
    constexpr duration kMaxCallTimeout = std::chrono::seconds(5);
    constexpr duration kMinCallTimeout = std::chrono::milliseconds(100);
    return std::clamp(remaining(), kMinCallTimeout, kMaxCallTimeout);
  }

 private:
  clock_hook now_;
  instant end_;
};

}  // namespace wagtail
