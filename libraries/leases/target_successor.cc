#include "leases/run_controller.h"

/// @file
/// Replacement of the target in use by another incarnation that was announced.

namespace wagtail::leased {

bool IsSameIncarnation(const target_announcement& one, const target_announcement& other) {
  return one.id == other.id && one.start_time_ms == other.start_time_ms;
}

void run_controller::OnSuccessorAnnounced(const target_announcement& announcement, instant now) {
  bool serves = incarnation_->reachable && !incarnation_->departed;
  bool in_use = serves || !runs_.AtTarget().empty();
  if (!in_use) {
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
