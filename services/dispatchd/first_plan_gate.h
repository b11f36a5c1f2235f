#pragma once

#include <condition_variable>
#include <mutex>

#include "base/time.h"

namespace wagtail::leased {

struct first_plan_options {
  /// Requests wait for the first plan until this long after the start of the process, since the
  /// platform's store or a peer is about to deliver it. Later requests are refused at once.
  duration grace = std::chrono::seconds(2);
  /// Maximum fraction of a request's deadline that may be spent on this wait.
  double share_of_deadline = 0.5;
};

/// @param started when the process started
/// @param arrived when the request arrived
/// @param deadline how long the caller waits, counted from the arrival
/// @return time until which the request may wait for the first plan
instant FirstPlanDeadline(const first_plan_options& options, instant started, instant arrived,
                          duration deadline);

/// Blocks the threads of requests until the process has its first plan. Handles a simultaneous
/// start of all entries: callers reconnect before the plan arrives, and a slightly late answer is
/// better for them than a refusal.
class first_plan_gate {
 public:
  /// Called when the process has a plan; releases all waiting threads.
  void Open();
  /// Waits, measured on the steady clock.
  /// @return whether the process has a plan
  bool WaitFor(duration limit);

 private:
  std::mutex mutex_;
  std::condition_variable opened_;
  bool open_ = false;
};

}  // namespace wagtail::leased
