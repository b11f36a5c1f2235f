#include <algorithm>
#include <utility>

#include "leases/run_controller.h"

/// @file
/// What a run keeper learns from its target's answers to starts and renewals.

namespace wagtail::leased {
namespace {

/// How far the fence jumps when another agent turns out to have used a higher one.
constexpr uint64_t kFenceJump = 1'000'000;
/// How far the number of a run jumps when the target has seen a higher one.
constexpr uint32_t kRunNumberJump = 8;
/// Largest number that a run may reach through such jumps.
constexpr uint32_t kMostRunNumber = 64;

}  // namespace

void run_controller::OnStartAnswered(uint64_t serial, start_answer answer,
                                     std::optional<int64_t> clock_ms, instant now) {
  // The process may have been frozen: what has expired meanwhile goes before what has arrived.
  Expire(now);
  bool other_life = clock_ms.has_value() && clock_.IsOfAnotherIncarnation(*clock_ms);
  if (other_life && life_.has_value()) {
    // Its announcement follows; until then it is unknown what became of the start.
    life_->reached = false;
    AllowForOtherLife(now);
    answer = start_answer::kUnknown;
  } else if (clock_ms.has_value() && answer != start_answer::kOtherIncarnation) {
    clock_.Observe(*clock_ms, now);
  }
  auto found = runs_.find(serial);
  if (found == runs_.end() || found->second.state != run_state::kStarting) {
    return;  // settled meanwhile by a renewal or by the end of the target's life
  }
  kept_run& entry = found->second;
  switch (answer) {
    case start_answer::kStarted:
      entry.state = run_state::kRunning;
      entry.renewals_before = next_serial_ - 1;
      if (entry.unwanted) {
        entry.first_stop = now;
        AskStop(serial, entry, now);
      }
      return;
    case start_answer::kUnknown:
      Note("start_unanswered", entry, "");
      careful_until_ = now + options_.careful_time;
      entry.state = run_state::kInDoubt;
      if (entry.fence == fence_) {
        ++fence_;
      }
      Renew(duration::zero(), now);
      return;
    case start_answer::kFenced:
      if (entry.fence == fence_) {
        fence_ += kFenceJump;
        RaiseFence(now);
      }
      entry.state = run_state::kQueued;
      break;
    case start_answer::kStaleRun:
      entry.state = run_state::kQueued;
      entry.number += kRunNumberJump;
      if (entry.number > kMostRunNumber) {
        Finish(found->first, run_outcome::kNotStarted, "old_run", now);
        return;
      }
      break;
    case start_answer::kLeaseExpired:
      Finish(found->first, run_outcome::kNotStarted, "lease_over", now);
      return;
    case start_answer::kNoResources:
      Finish(found->first, run_outcome::kNotStarted, "target_full", now);
      return;
    case start_answer::kOtherIncarnation:
      life_->reached = false;
      Finish(found->first, run_outcome::kNotStarted, "target_replaced", now);
      return;
    case start_answer::kUnhealthy:
      speed_.Failed();
      Finish(found->first, run_outcome::kNotStarted, "target_unhealthy", now);
      return;
    case start_answer::kInvalid:
      Finish(found->first, run_outcome::kNotStarted, "invalid", now);
      return;
  }
  if (entry.unwanted) {
    Finish(found->first, run_outcome::kNotStarted, entry.reason, now);
    return;
  }
  StartWhatFits(now);
}

void run_controller::OnRenewAnswered(uint64_t serial, const target_report& report, instant now) {
  auto renewal = renewals_.find(serial);
  if (renewal == renewals_.end() || !life_.has_value()) {
    return;
  }
  uint64_t fence = renewal->second;
  renewals_.erase(renewal);
  Expire(now);
  bool other_life =
      (report.start_time_ms != 0 && report.start_time_ms != life_->announced.start_time_ms) ||
      clock_.IsOfAnotherIncarnation(report.clock_ms);
  if (other_life) {
    // Another life under the same id: its announcement follows.
    life_->reached = false;
    AllowForOtherLife(now);
    return;
  }
  clock_.Observe(report.clock_ms, now);
  life_->failures = 0;
  life_->reached = true;
  TakeEnds(report, now);
  TakeRunning(serial, fence, report, now);
  next_renewal_ = now;
  StartWhatFits(now);
  if (renewals_.empty()) {
    RenewInTurn(now);
  }
}

void run_controller::TakeEnds(const target_report& report, instant now) {
  for (const reported_end& end : report.ended) {
    life_->last_end = std::max(life_->last_end, end.number);
    auto found = runs_.FindAtTarget(end.task, end.run);
    if (found == runs_.end()) {
      continue;
    }
    kept_run& entry = found->second;
    if (end.kind == end_kind::kDone || end.kind == end_kind::kFailed) {
      life_->last_result = now;
    }
    switch (end.kind) {
      case end_kind::kDone:
        speed_.Done(now - entry.started, entry.order.estimate);
        Finish(found->first, run_outcome::kDone, "", now);
        break;
      case end_kind::kFailed:
        speed_.Failed();
        Finish(found->first, run_outcome::kFailed, "", now);
        break;
      case end_kind::kStopped:
        Finish(found->first, run_outcome::kStopped, entry.reason, now);
        break;
      case end_kind::kLapsed:
      case end_kind::kOther:
        Finish(found->first, run_outcome::kLost, "lapsed", now);
        break;
    }
  }
}

void run_controller::TakeRunning(uint64_t serial, uint64_t fence, const target_report& report,
                                 instant now) {
  bool strangers = false;
  for (const reported_run& seen : report.running) {
    auto found = runs_.FindAtTarget(seen.task, seen.run);
    if (found == runs_.end()) {
      strangers = true;
      call_(stop_call{.instance = life_->announced.id,
                      .address = life_->announced.address,
                      .task = seen.task,
                      .run = seen.run,
                      .fence = fence_});
      continue;
    }
    kept_run& entry = found->second;
    if (entry.state == run_state::kInDoubt) {
      Note("start_confirmed", entry, "listed as running");
      entry.state = run_state::kRunning;
      entry.renewals_before = next_serial_ - 1;
      if (entry.unwanted) {
        entry.first_stop = now;
        AskStop(found->first, entry, now);
      }
    }
  }
  if (!strangers && fence == fence_) {
    life_->taken_over = true;
  }
  std::vector<uint64_t> missing;
  for (const auto& [run_serial, entry] : runs_) {
    bool listed = std::ranges::any_of(report.running, [&entry = entry](const reported_run& seen) {
      return seen.task == entry.order.task && seen.run == entry.number;
    });
    bool was_there = (entry.state == run_state::kRunning || entry.state == run_state::kStopping) &&
                     entry.renewals_before < serial;
    bool made_void = entry.state == run_state::kInDoubt && entry.fence < fence;
    if (!listed && (was_there || made_void)) {
      missing.push_back(run_serial);
    }
  }
  for (uint64_t run_serial : missing) {
    auto found = runs_.find(run_serial);
    bool void_start = found->second.state == run_state::kInDoubt && !found->second.may_have_run;
    Finish(run_serial, void_start ? run_outcome::kVoided : run_outcome::kLost,
           void_start ? "start_unanswered" : "not_listed", now);
  }
}

void run_controller::OnRenewFailed(uint64_t serial, renew_failure failure, instant now) {
  if (renewals_.erase(serial) == 0 || !life_.has_value()) {
    return;
  }
  Expire(now);
  if (failure == renew_failure::kNoAnswer) {
    careful_until_ = now + options_.careful_time;
  }
  if (failure == renew_failure::kFenced) {
    fence_ += kFenceJump;
  }
  if (failure == renew_failure::kOtherIncarnation) {
    life_->reached = false;
  }
  ++life_->failures;
  if (life_->failures >= options_.failures_to_absent && life_->reached) {
    life_->reached = false;
    note_({.fact = "target_unreachable", .detail = life_->announced.id});
    RefuseWaiting(now);
  }
  next_renewal_ = life_->failures == 1 ? now : now + options_.renew_retry;
  if (life_->failures == 1) {
    Renew(duration::zero(), now);
  }
}

}  // namespace wagtail::leased
