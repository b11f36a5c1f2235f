#include <algorithm>
#include <utility>

#include "leases/run_controller.h"

/// @file
/// Handling of the target's answers to starts and renewals.

namespace wagtail::leased {
namespace {

/// Increment of the fence after the target reports that another agent used a higher one.
constexpr uint64_t kFenceJump = 1'000'000;
/// Increment of the run number after the target reports that it has accepted a higher one.
constexpr uint32_t kRunNumberJump = 8;
/// Largest run number that such increments may reach.
constexpr uint32_t kMaxRunNumber = 64;

}  // namespace

void run_controller::OnStartAnswered(uint64_t serial, start_answer answer,
                                     std::optional<int64_t> clock_ms, instant now) {
  // The process may have been frozen: expired leases are handled before answers that arrived in the
  // meantime.
  Expire(now);
  auto found = runs_.find(serial);
  bool settled = found == runs_.end() || found->second.state != run_state::kStarting;
  bool other_incarnation = clock_ms.has_value() && clock_.IsOfAnotherIncarnation(*clock_ms);
  if (other_incarnation && incarnation_.has_value()) {
    // The announcement of the new incarnation follows; until then the start is in doubt.
    incarnation_->reachable = false;
    AllowForOtherIncarnation(now);
    answer = start_answer::kUnknown;
  }
  if (settled) {
    // By a renewal or by the end of an incarnation: the answer may be of an earlier incarnation and
    // tells nothing about the present one.
    return;
  }
  if (answer == start_answer::kNoListener) {
    OnNoListener(now);
  }
  if (clock_ms.has_value() && !other_incarnation && answer != start_answer::kOtherIncarnation) {
    clock_.Observe(*clock_ms, now);
  }
  bool answered = answer != start_answer::kUnknown && answer != start_answer::kNoListener;
  if (answered && incarnation_.has_value()) {
    refuses_since_.reset();
    incarnation_->last_answer = now;
  }
  tracked_run& run = found->second;
  if (answer == start_answer::kUnknown) {
    start_timeout_.OnTimeout();
  } else if (answered) {
    start_timeout_.OnAnswer(now - run.started);
  }
  switch (answer) {
    case start_answer::kStarted:
      run.state = run_state::kRunning;
      run.renewals_before = next_serial_ - 1;
      if (run.stop_requested) {
        run.first_stop = now;
        SendStop(serial, run, now);
      }
      return;
    case start_answer::kNoListener:
      Finish(found->first, run_outcome::kNotStarted, "target_gone", now);
      return;
    case start_answer::kUnknown:
      LogRunEvent("start_unanswered", run, "");
      short_renewals_until_ = now + options_.short_renew_period;
      run.state = run_state::kInDoubt;
      if (run.fence == fence_) {
        ++fence_;
      }
      Renew(duration::zero(), now);
      return;
    case start_answer::kFenced:
      if (run.fence == fence_) {
        fence_ += kFenceJump;
        RaiseFence(now);
      }
      run.state = run_state::kQueued;
      break;
    case start_answer::kStaleRun:
      run.state = run_state::kQueued;
      run.number += kRunNumberJump;
      if (run.number > kMaxRunNumber) {
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
      incarnation_->reachable = false;
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
  if (run.stop_requested) {
    Finish(found->first, run_outcome::kNotStarted, run.reason, now);
    return;
  }
  StartFittingOrders(now);
}

void run_controller::OnRenewAnswered(uint64_t serial, const target_report& report, instant now) {
  if (IsProbe(serial)) {
    OnProbeAnswered(report, now);
    return;
  }
  auto renewal = renewals_.find(serial);
  if (renewal == renewals_.end() || !incarnation_.has_value()) {
    return;
  }
  uint64_t fence = renewal->second;
  renewals_.erase(renewal);
  Expire(now);
  bool other_incarnation = (report.start_time_ms != 0 &&
                            report.start_time_ms != incarnation_->announced.start_time_ms) ||
                           clock_.IsOfAnotherIncarnation(report.clock_ms);
  if (other_incarnation) {
    // Another incarnation under the same id: its announcement follows.
    incarnation_->reachable = false;
    AllowForOtherIncarnation(now);
    return;
  }
  clock_.Observe(report.clock_ms, now);
  refuses_since_.reset();
  incarnation_->failures = 0;
  incarnation_->last_answer = now;
  incarnation_->reachable = true;
  ProcessEnds(report, now);
  ReconcileRuns(serial, fence, report, now);
  next_renewal_ = now;
  StartFittingOrders(now);
  if (renewals_.empty()) {
    RenewNext(now);
  }
}

void run_controller::ProcessEnds(const target_report& report, instant now) {
  for (const reported_end& end : report.ended) {
    incarnation_->last_end = std::max(incarnation_->last_end, end.number);
    auto found = runs_.FindAtTarget(end.task, end.run);
    if (found == runs_.end()) {
      continue;
    }
    tracked_run& run = found->second;
    if (end.kind == end_kind::kDone || end.kind == end_kind::kFailed) {
      incarnation_->last_result = now;
    }
    switch (end.kind) {
      case end_kind::kDone:
        speed_.Done(now - run.started, run.order.estimate);
        Finish(found->first, run_outcome::kDone, "", now);
        break;
      case end_kind::kFailed:
        speed_.Failed();
        Finish(found->first, run_outcome::kFailed, "", now);
        break;
      case end_kind::kStopped:
        Finish(found->first, run_outcome::kStopped, run.reason, now);
        break;
      case end_kind::kLapsed:
      case end_kind::kOther:
        Finish(found->first, run_outcome::kLost, "lapsed", now);
        break;
    }
  }
}

void run_controller::ReconcileRuns(uint64_t serial, uint64_t fence, const target_report& report,
                                   instant now) {
  bool unknown_runs = false;
  for (const reported_run& reported : report.running) {
    auto found = runs_.FindAtTarget(reported.task, reported.run);
    if (found == runs_.end()) {
      unknown_runs = true;
      call_(stop_call{.instance = incarnation_->announced.id,
                      .address = incarnation_->announced.address,
                      .task = reported.task,
                      .run = reported.run,
                      .fence = fence_});
      continue;
    }
    tracked_run& run = found->second;
    if (run.state == run_state::kInDoubt) {
      LogRunEvent("start_confirmed", run, "listed as running");
      run.state = run_state::kRunning;
      run.renewals_before = next_serial_ - 1;
      if (run.stop_requested) {
        run.first_stop = now;
        SendStop(found->first, run, now);
      }
    }
  }
  if (!unknown_runs && fence == fence_) {
    incarnation_->taken_over = true;
  }
  std::vector<uint64_t> missing;
  for (const auto& [run_serial, run] : runs_) {
    bool listed = std::ranges::any_of(report.running, [&run = run](const reported_run& reported) {
      return reported.task == run.order.task && reported.run == run.number;
    });
    bool was_running = (run.state == run_state::kRunning || run.state == run_state::kStopping) &&
                       run.renewals_before < serial;
    bool voided = run.state == run_state::kInDoubt && run.fence < fence;
    if (!listed && (was_running || voided)) {
      missing.push_back(run_serial);
    }
  }
  for (uint64_t run_serial : missing) {
    auto found = runs_.find(run_serial);
    bool voided_start = found->second.state == run_state::kInDoubt && !found->second.may_have_run;
    Finish(run_serial, voided_start ? run_outcome::kVoided : run_outcome::kLost,
           voided_start ? "start_unanswered" : "not_listed", now);
  }
}

void run_controller::OnRenewFailed(uint64_t serial, renew_failure failure, instant now) {
  if (IsProbe(serial)) {
    OnProbeFailed(failure);
    return;
  }
  if (renewals_.erase(serial) == 0 || !incarnation_.has_value()) {
    return;
  }
  Expire(now);
  if (failure == renew_failure::kNoListener) {
    OnNoListener(now);
  }
  if (failure == renew_failure::kNoAnswer || failure == renew_failure::kNoListener) {
    short_renewals_until_ = now + options_.short_renew_period;
  }
  if (failure == renew_failure::kFenced) {
    fence_ += kFenceJump;
  }
  if (failure == renew_failure::kOtherIncarnation) {
    incarnation_->reachable = false;
  }
  ++incarnation_->failures;
  bool answers = incarnation_->failures < options_.failures_to_unreachable ||
                 now - incarnation_->last_answer < options_.unreachable_after;
  if (!answers && incarnation_->reachable) {
    incarnation_->reachable = false;
    log_({.fact = "target_unreachable", .detail = incarnation_->announced.id});
    RefuseUnstartable(now);
  }
  next_renewal_ = incarnation_->failures == 1 ? now : now + options_.renew_retry;
  if (incarnation_->failures == 1) {
    Renew(duration::zero(), now);
  }
}

}  // namespace wagtail::leased
