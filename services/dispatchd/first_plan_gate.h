#pragma once

#include <condition_variable>
#include <mutex>

#include "base/time.h"

namespace wagtail::leased {

struct first_plan_options {
  /// After a start requests wait this long for the first plan, all counted from the start: the
  /// platform's store or a peer is about to tell it. Later ones are refused at once.
  duration grace = std::chrono::seconds(2);
  /// Share of a caller's time that may be spent on that wait.
  double share_of_deadline = 0.5;
};

/// @param started when the process started
/// @param arrived when the request arrived
/// @param deadline how long its caller waits, from the arrival
/// @return until when the request may wait for the first plan
instant FirstPlanDeadline(const first_plan_options& options, instant started, instant arrived,
                          duration deadline);

/// Lets the threads of requests wait until the process knows its first plan. Answers a start of all
/// entries at once: callers come back before the plan does, and an answer that is a little late is
/// better for them than a refusal.
class first_plan_gate {
 public:
  /// The process has a plan.
  void Open();
  /// Waits on the steady clock.
  /// @return whether there is a plan
  bool WaitFor(duration limit);

 private:
  std::mutex mutex_;
  std::condition_variable opened_;
  bool open_ = false;
};

}  // namespace wagtail::leased
