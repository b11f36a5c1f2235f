#include <string>

#include "leases/run_controller.h"

/// @file
/// Announcements, departures and replacement of the target that a run controller uses.

namespace wagtail::leased {
namespace {

/// @return whether the notice comes from the announced incarnation, not from an earlier one that
///   had the same id
bool IsOf(const target_departure& departure, const target_announcement& announced) {
  if (departure.id != announced.id) {
    return false;
  }
  // A target announces that it drains before it gives notice.
  return departure.start_time_ms.has_value() ? *departure.start_time_ms == announced.start_time_ms
                                             : announced.draining;
}

}  // namespace

bool IsSameIncarnation(const target_announcement& one, const target_announcement& other) {
  return one.id == other.id && one.start_time_ms == other.start_time_ms;
}

void run_controller::OnTargetAnnounced(const target_announcement& announcement, instant now) {
  if (IsOutdated(announcement)) {
    return;
  }
  if (!incarnation_.has_value()) {
    BeginIncarnation(announcement, now);
    Adopt(announcement, now);
    return;
  }
  if (IsInUse(announcement)) {
    incarnation_->announced = announcement;
    Adopt(announcement, now);
  } else {
    OnSuccessorAnnounced(announcement, now);
  }
}

bool run_controller::IsInUse(const target_announcement& announcement) const {
  return incarnation_.has_value() && IsSameIncarnation(incarnation_->announced, announcement);
}

bool run_controller::IsOutdated(const target_announcement& announcement) const {
  if (!incarnation_.has_value()) {
    // A late announcement of a target that has given notice since.
    return departed_.has_value() && IsSameIncarnation(*departed_, announcement) &&
           announcement.sequence <= departed_->sequence;
  }
  const target_announcement& known = incarnation_->announced;
  if (IsInUse(announcement)) {
    return announcement.sequence < known.sequence;
  }
  // What was read back may be of another writer: the target's own word goes first.
  if (known.is_remembered) {
    return false;
  }
  return Serves() && BeganEarlier(announcement);
}

bool run_controller::BeganEarlier(const target_announcement& announcement) const {
  // What no answer of the target has confirmed may be of another writer as well.
  bool confirmed = incarnation_->last_answer != instant{};
  return confirmed && announcement.start_time_ms < incarnation_->announced.start_time_ms;
}

bool run_controller::Serves() const { return incarnation_->reachable && !incarnation_->departed; }

void run_controller::Adopt(const target_announcement& announcement, instant now) {
  domain_ = announcement.domain;
  if (announcement.clock_ms.has_value()) {
    // A delayed announcement makes the estimate lag behind the target's clock, so that lease ends
    // are estimated too late, never too early.
    clock_.Observe(*announcement.clock_ms, now);
  }
  RefuseUnstartable(now);
}

void run_controller::OnTargetDeparted(const target_departure& departure, instant now) {
  if (!incarnation_.has_value() || !IsOf(departure, incarnation_->announced)) {
    log_({.fact = "departure_rejected", .detail = departure.id});
    return;
  }
  // The target ends some time after its notice, at the latest when its leases expire.
  incarnation_->departed = true;
  for (uint64_t serial : runs_.AtTarget()) {
    tracked_run& run = runs_.find(serial)->second;
    if (!run.stop_requested) {
      Stop(serial, run, "departed", now);
    }
  }
  ForgetDeparted();
  RefuseUnstartable(now);
}

void run_controller::ForgetDeparted() {
  if (incarnation_.has_value() && incarnation_->departed && runs_.AtTarget().empty()) {
    departed_ = incarnation_->announced;
    EndIncarnation("departed");
  }
}

void run_controller::ReplaceIncarnation(const target_announcement& announcement, instant now) {
  if (announcement.id == incarnation_->announced.id) {
    BeginIncarnationUnderSameId(announcement, now);
  } else {
    EndIncarnation("replaced");
    BeginIncarnation(announcement, now);
  }
  Adopt(announcement, now);
}

void run_controller::BeginIncarnation(const target_announcement& announcement, instant now) {
  incarnation_.emplace(announcement);
  successor_.reset();
  clock_.Reset();
  speed_.Reset();
  start_timeout_.Reset();
  latest_lease_end_.reset();
  refuses_since_.reset();
  ++fence_;
  renewals_.clear();
  Renew(duration::zero(), now);
}

void run_controller::BeginIncarnationUnderSameId(const target_announcement& announcement,
                                                 instant now) {
  // Starts may have reached the new incarnation before its announcement. Its list shows which of
  // them run; the raised fence voids the others.
  for (auto& [serial, run] : runs_) {
    if (run.state != run_state::kQueued) {
      run.state = run_state::kInDoubt;
      run.fence = fence_;
      run.may_have_run = true;
      run.crash = RoleOf(run);
    }
  }
  BeginIncarnation(announcement, now);
  AllowForOtherIncarnation(now);
}

void run_controller::EndIncarnation(std::string_view reason) {
  incarnation_.reset();
  successor_.reset();
  renewals_.clear();
  latest_lease_end_.reset();
  for (uint64_t serial : runs_.AtTarget()) {
    Finish(serial, run_outcome::kLost, std::string(reason), instant{});
  }
}

void run_controller::OnSuccessorAnnounced(const target_announcement& announcement, instant now) {
  bool in_use = Serves() || !runs_.AtTarget().empty();
  // An earlier start time is that of a late announcement, or of a target that started again after
  // the time of day had been set back: its answer tells which.
  if (!in_use && !BeganEarlier(announcement)) {
    ReplaceIncarnation(announcement, now);
    return;
  }
  if (announcement.address != incarnation_->announced.address) {
    // An answer from another address shows nothing about the target in use. If that has ended, its
    // leases expire, and the next announcement replaces it.
    log_({.fact = "successor_rejected", .detail = announcement.id});
    return;
  }
  if (successor_.has_value() && IsSameIncarnation(successor_->announced, announcement)) {
    successor_->announced = announcement;
    return;
  }
  if (announcement.id == incarnation_->announced.id) {
    // Starts may have reached the other incarnation, which takes them for its own.
    AllowForOtherIncarnation(now);
  }
  successor_ = successor{.announced = announcement};
  ProbeSuccessor(now);
}

void run_controller::ProbeSuccessor(instant now) {
  uint64_t serial = next_serial_++;
  successor_->probe = serial;
  successor_->next_probe = now + options_.renew_retry;
  call_(renew_call{.serial = serial,
                   .instance = successor_->announced.id,
                   .address = successor_->announced.address,
                   .fence = fence_,
                   .timeout = options_.renew_timeout});
}

bool run_controller::IsProbe(uint64_t serial) const {
  return successor_.has_value() && successor_->probe == serial;
}

void run_controller::OnProbeAnswered(const target_report& report, instant now) {
  const target_announcement announced = successor_->announced;
  bool confirmed = report.start_time_ms == 0 || report.start_time_ms == announced.start_time_ms;
  if (confirmed) {
    ReplaceIncarnation(announced, now);
    clock_.Observe(report.clock_ms, now);
  } else {
    RejectSuccessor();
  }
}

void run_controller::OnProbeFailed(renew_failure failure) {
  if (failure == renew_failure::kOtherIncarnation) {
    RejectSuccessor();
    return;
  }
  successor_->probe.reset();  // the next tick asks again
}

void run_controller::RejectSuccessor() {
  log_({.fact = "successor_rejected", .detail = successor_->announced.id});
  successor_.reset();
}

}  // namespace wagtail::leased
