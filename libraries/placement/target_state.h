#pragma once

#include <cstdint>

#include "base/time.h"
#include "placement/ejection.h"
#include "placement/other_load_estimate.h"
#include "placement/placement.h"
#include "placement/run_time_estimate.h"
#include "placement/slow_start.h"

/// @file
/// State that one entry keeps for one target.

namespace wagtail {

/// State of one target. Every sent task ends with exactly one result, refusal or loss.
class target_state {
 public:
  target_state(const target_profile& profile, const placement_options& options, instant now);

  void Announce(const target_profile& profile, instant now);
  void Remove() { announced_ = false; }
  void SetAdmitted(bool admitted, instant now);
  void SetReachable(bool reachable, instant now);

  void OnSent(instant now);
  void OnResult(task_outcome outcome, duration run_time, const target_load& load, instant now);
  void OnRefused(const target_load& load, instant now);
  void OnLost(instant now);
  void Eject(instant now);
  void Readmit(instant now);

  const target_profile& profile() const { return profile_; }
  /// @return whether the target is announced, admitted and reachable
  bool IsUsable() const { return announced_ && admitted_ && reachable_; }
  bool announced() const { return announced_; }
  /// @return tasks of this entry that were sent and have not ended
  uint32_t outstanding() const { return outstanding_; }
  /// @return maximum number of tasks that the daemon accepts
  uint32_t capacity() const { return profile_.slots + local_queue_; }
  /// @return whether this entry's own tasks leave capacity for another one
  bool HasCapacity() const { return outstanding_ < capacity(); }
  bool Meets(const target_requirements& requirements) const;

  const run_time_estimate& run_time() const { return run_time_; }
  const slow_start& window() const { return slow_start_; }
  const ejection& health() const { return ejection_; }
  /// @param mean_run mean run time on the target in microseconds
  /// @return expected number of tasks of other entries on the target
  double OtherLoadAt(instant now, double mean_run) const { return other_load_.At(now, mean_run); }
  /// @return standard deviation of OtherLoadAt()
  double OtherLoadDeviationAt(instant now, double mean_run) const {
    return other_load_.DeviationAt(now, mean_run);
  }
  /// @return time since the last sign of progress, zero without outstanding tasks
  duration TimeSinceProgress(instant now) const;
  /// @return whether one task should be sent to measure the run time again
  bool IsProbeDue(instant now) const;

 private:
  void Conclude(instant now);
  void OnProbed(duration run_time);

  target_profile profile_;
  learning_options learning_;
  uint32_t local_queue_;
  bool announced_ = true;
  bool admitted_ = true;
  bool reachable_ = true;
  uint32_t outstanding_ = 0;
  instant last_progress_;
  instant last_result_;
  duration probe_interval_;
  bool is_probing_ = false;
  run_time_estimate run_time_;
  other_load_estimate other_load_;
  slow_start slow_start_;
  ejection ejection_;
};

}  // namespace wagtail
