#include "placement/target_state.h"

#include <algorithm>

#include "base/verify.h"

namespace wagtail {

namespace {

/// A probe that ran in less than this fraction of the typical run indicates a recovered target.
constexpr double kRecoveredShare = 0.5;

}  // namespace

target_state::target_state(const target_profile& profile, const placement_options& options,
                           instant now)
    : profile_(profile),
      learning_(options.learning),
      local_queue_(options.local_queue),
      last_progress_(now),
      last_result_(now),
      probe_interval_(options.learning.probe_interval),
      run_time_(options.learning),
      other_load_(options.round_trip),
      slow_start_(options.slow_start),
      ejection_(options.ejection) {}

void target_state::Announce(const target_profile& profile, instant now) {
  profile_ = profile;
  if (announced_) {
    return;
  }
  announced_ = true;
  admitted_ = true;
  reachable_ = true;
  slow_start_.Restart();
  last_progress_ = now;
}

void target_state::SetAdmitted(bool admitted, instant now) {
  if (admitted && !admitted_) {
    slow_start_.Restart();
    run_time_.ReduceConfidence();
    other_load_.Reset();
    last_progress_ = now;
  }
  admitted_ = admitted;
}

void target_state::SetReachable(bool reachable, instant now) {
  if (reachable && !reachable_) {
    slow_start_.Restart();
    run_time_.ReduceConfidence();
    last_progress_ = now;
  }
  reachable_ = reachable;
}

void target_state::OnSent(instant now) {
  VERIFY(IsUsable());
  VERIFY(HasCapacity());
  is_probing_ = is_probing_ || IsProbeDue(now);
  if (outstanding_ == 0) {
    last_progress_ = now;
  }
  ++outstanding_;
  other_load_.OnSent(now);
}

void target_state::OnResult(task_outcome outcome, duration run_time, const target_load& load,
                            instant now) {
  Conclude(now);
  other_load_.OnReport(load, outstanding_, now);
  if (outcome == task_outcome::kFailed) {
    ejection_.OnFailure();
    return;
  }
  OnProbed(run_time);
  run_time_.Add(run_time);
  last_result_ = now;
  if (outcome == task_outcome::kTimedOut) {
    ejection_.OnFailure();
    return;
  }
  ejection_.OnSuccess();
  slow_start_.OnSuccess();
}

void target_state::OnRefused(const target_load& load, instant now) {
  Conclude(now);
  other_load_.OnReport(load, outstanding_, now);
  slow_start_.OnRefused(load.running + load.queued < capacity(), now);
}

void target_state::OnLost(instant now) {
  Conclude(now);
  ejection_.OnFailure();
}

void target_state::Eject(instant now) { ejection_.Eject(now); }

void target_state::Readmit(instant now) { ejection_.Readmit(now); }

bool target_state::Meets(const target_requirements& requirements) const {
  return profile_.slots > 0 && profile_.cores >= requirements.cores &&
         profile_.memory_mb >= requirements.memory_mb &&
         (requirements.accelerator.empty() || profile_.accelerator == requirements.accelerator);
}

duration target_state::TimeSinceProgress(instant now) const {
  return outstanding_ == 0 ? duration::zero() : now - last_progress_;
}

bool target_state::IsProbeDue(instant now) const {
  return outstanding_ == 0 && now - last_result_ >= probe_interval_;
}

void target_state::OnProbed(duration run_time) {
  if (!is_probing_) {
    return;
  }
  is_probing_ = false;
  if (static_cast<double>(run_time.count()) < kRecoveredShare * run_time_.typical()) {
    run_time_.ReduceConfidence();
    probe_interval_ = learning_.probe_interval;
    return;
  }
  probe_interval_ = std::min(2 * probe_interval_, learning_.max_probe_interval);
}

void target_state::Conclude(instant now) {
  VERIFY(outstanding_ > 0);
  --outstanding_;
  last_progress_ = now;
}

}  // namespace wagtail
