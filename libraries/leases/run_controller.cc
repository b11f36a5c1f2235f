#include "leases/run_controller.h"

#include <algorithm>
#include <utility>

#include "base/verify.h"

/// @file
/// Decisions of a run controller on orders, sessions and leases.

namespace wagtail::leased {

run_controller::run_controller(run_controller_options options, call_hook call, result_hook result,
                               log_hook log)
    : options_(options),
      call_(std::move(call)),
      result_(std::move(result)),
      log_(std::move(log)),
      start_timeout_(options.start_timeout),
      fence_(options.fence) {}

void run_controller::SetPlan(const operating_plan& plan, instant now) {
  leaving_domains_ = plan.leaving_domains;
  guarded_services_.clear();
  for (const service_plan& service : plan.services) {
    if (service.targets_guard_capacity) {
      guarded_services_.insert(service.name);
    }
  }
  RefuseUnstartable(now);
}

void run_controller::OnSessionOpened(session_id session, instant sent) {
  sessions_[session] = sent + options_.session_lease;
}

void run_controller::OnReportAnswered(session_id session, instant sent) {
  auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    found->second = std::max(found->second, sent + options_.session_lease);
  }
}

void run_controller::OnSessionClosed(session_id session, instant now) {
  sessions_.erase(session);
  EndSession(session, "entry_gone", now);
}

void run_controller::EndSession(session_id session, const std::string& reason, instant now) {
  for (uint64_t serial : runs_.ActiveOrders(session)) {
    Stop(serial, runs_.find(serial)->second, reason, now);
  }
}

bool run_controller::Ready() const {
  return incarnation_.has_value() && incarnation_->taken_over && Serves() && !leaving_;
}

bool run_controller::MayStart() const {
  return Ready() && clock_.known() && !incarnation_->announced.draining &&
         !leaving_domains_.contains(domain_) && IsCapacityCurrentOrGuarded();
}

bool run_controller::IsCapacityCurrentOrGuarded() const {
  const target_announcement& announced = incarnation_->announced;
  return !announced.is_remembered || guarded_services_.contains(announced.service);
}

bool run_controller::StopOverdue(instant now) const {
  return runs_.StopOverdue(now, options_.stop_timeout);
}

task_resources run_controller::Capacity() const {
  return incarnation_.has_value() ? incarnation_->announced.capacity : task_resources{};
}

task_resources run_controller::Free() const {
  if (!incarnation_.has_value()) {
    return {};
  }
  task_resources free = Capacity();
  free -= runs_.OccupiedResources(Capacity());
  return free;
}

bool run_controller::HasSessionLease(session_id session, instant now) const {
  auto found = sessions_.find(session);
  return found != sessions_.end() && found->second >= now;
}

void run_controller::Order(run_order order, instant now) {
  Expire(now);
  bool known = runs_.FindOrder(order.session, order.order) != runs_.end();
  if (known) {
    return;
  }
  uint64_t serial = next_serial_++;
  const tracked_run& added = runs_.Add(serial, std::move(order), now);
  if (!HasSessionLease(added.order.session, now)) {
    Finish(serial, run_outcome::kNotStarted, "entry_silent", now);
    return;
  }
  if (!MayStart()) {
    Finish(serial, run_outcome::kNotStarted, "not_serving", now);
    return;
  }
  if (!incarnation_->announced.capacity.Holds(added.order.resources)) {
    Finish(serial, run_outcome::kNotStarted, "too_large", now);
    return;
  }
  // If a caller resubmitted its job through another entry, the newer order replaces the older run.
  for (auto& [other_serial, other] : runs_) {
    bool superseded = other_serial != serial && other.order.task == added.order.task &&
                      other.order.session != added.order.session && !other.stop_requested &&
                      other.state != run_state::kQueued;
    if (superseded) {
      Stop(other_serial, other, "superseded", now);
    }
  }
  StartFittingOrders(now);
  RefuseUnstartable(now);
}

void run_controller::Withdraw(session_id session, uint64_t order, instant now) {
  auto found = runs_.FindOrder(session, order);
  if (found != runs_.end() && !found->second.stop_requested) {
    Stop(found->first, found->second, "withdrawn", now);
  }
}

void run_controller::Drain(instant now) {
  leaving_ = true;
  RefuseUnstartable(now);
}

void run_controller::StartFittingOrders(instant now) {
  if (!MayStart() || StopOverdue(now)) {
    return;
  }
  task_resources free = Free();
  for (uint64_t serial : runs_.Waiting()) {
    tracked_run& run = runs_.find(serial)->second;
    task_resources needed = OccupiedBy(run.order.resources, Capacity());
    if (!free.Holds(needed) || runs_.IsAtTarget(run.order.task)) {
      continue;
    }
    free -= needed;
    Start(serial, run, now);
  }
}

void run_controller::Start(uint64_t serial, tracked_run& run, instant now) {
  std::optional<int64_t> lease = NextLease(now);
  VERIFY(lease.has_value());
  run.state = run_state::kStarting;
  run.started = now;
  run.fence = fence_;
  call_(start_call{.serial = serial,
                   .instance = incarnation_->announced.id,
                   .address = incarnation_->announced.address,
                   .task = run.order.task,
                   .run = run.number,
                   .text = run.order.text,
                   .lease_until_ms = *lease,
                   .fence = fence_,
                   .timeout = start_timeout_.Get()});
}

void run_controller::Stop(uint64_t serial, tracked_run& run, std::string reason, instant now) {
  run.stop_requested = true;
  run.reason = std::move(reason);
  switch (run.state) {
    case run_state::kQueued:
      Finish(serial, run_outcome::kNotStarted, run.reason, now);
      return;
    case run_state::kRunning:
      LogRunEvent("run_stopping", run, run.reason);
      run.first_stop = now;
      SendStop(serial, run, now);
      return;
    case run_state::kStarting:
    case run_state::kInDoubt:
    case run_state::kStopping:
      return;  // stopped once the start is answered
  }
}

void run_controller::SendStop(uint64_t serial, tracked_run& run, instant now) {
  run.state = run_state::kStopping;
  run.last_stop = now;
  if (!incarnation_.has_value()) {
    return;
  }
  call_(stop_call{.serial = serial,
                  .instance = incarnation_->announced.id,
                  .address = incarnation_->announced.address,
                  .task = run.order.task,
                  .run = run.number,
                  .fence = fence_});
}

void run_controller::RetryStops(instant now) {
  for (auto& [serial, run] : runs_) {
    if (run.state == run_state::kStopping && now - run.last_stop >= options_.stop_retry) {
      SendStop(serial, run, now);
    }
  }
}

void run_controller::RefuseUnstartable(instant now) {
  bool serving = MayStart();
  task_resources free = Free();
  std::vector<uint64_t> refused;
  for (const auto& [serial, run] : runs_) {
    if (run.state != run_state::kQueued) {
      continue;
    }
    // Another target may have free resources now, so an order waits only for the end of an earlier
    // run of its task.
    bool waits_for_end =
        runs_.IsAtTarget(run.order.task) && now - run.arrived < options_.max_order_wait;
    bool fits = free.Holds(OccupiedBy(run.order.resources, Capacity())) && !StopOverdue(now);
    if (!serving || !(fits || waits_for_end)) {
      refused.push_back(serial);
    }
  }
  for (uint64_t serial : refused) {
    Finish(serial, run_outcome::kNotStarted, serving ? "no_room" : "not_serving", now);
  }
}

void run_controller::RaiseFence(instant now) {
  ++fence_;
  Renew(duration::zero(), now);
}

std::optional<int64_t> run_controller::NextLease(instant now) {
  bool departed = incarnation_.has_value() && incarnation_->departed;
  if (!clock_.known() || departed || StopOverdue(now)) {
    return std::nullopt;
  }
  int64_t until = clock_.TargetTime(now) + ToMilliseconds(options_.lease);
  instant lease_end = clock_.LatestLocalTime(until);
  latest_lease_end_ =
      latest_lease_end_.has_value() ? std::max(*latest_lease_end_, lease_end) : lease_end;
  return until;
}

void run_controller::AllowForOtherIncarnation(instant now) {
  // The new incarnation limits a lease stated on the former clock to the longest lease.
  auto max_duration =
      std::chrono::duration_cast<duration>(options_.max_lease * (1 + target_clock::kMaxDrift));
  latest_lease_end_ = latest_lease_end_.has_value()
                          ? std::max(*latest_lease_end_, now + max_duration)
                          : now + max_duration;
}

void run_controller::Renew(duration wait, instant now) {
  if (!incarnation_.has_value()) {
    return;
  }
  uint64_t serial = next_serial_++;
  renewals_[serial] = fence_;
  // The lease is not extended until the runs of earlier agents have ended and the target's list has
  // been received.
  bool known = incarnation_->taken_over && incarnation_->reachable;
  std::optional<int64_t> lease = known ? NextLease(now) : std::nullopt;
  call_(renew_call{.serial = serial,
                   .instance = incarnation_->announced.id,
                   .address = incarnation_->announced.address,
                   .lease_until_ms = lease,
                   .fence = fence_,
                   .last_end = incarnation_->last_end,
                   .wait = wait,
                   .timeout = wait + (now < short_renewals_until_ ? start_timeout_.Get()
                                                                  : options_.renew_timeout)});
}

void run_controller::RenewNext(instant now) {
  if (now < short_renewals_until_) {
    Renew(options_.short_renew_wait, now);
  } else {
    Renew(runs_.empty() ? options_.idle_renew_wait : options_.renew_wait, now);
  }
}

void run_controller::OnNoListener(instant now) {
  if (!incarnation_.has_value() || refuses_since_.has_value()) {
    return;
  }
  refuses_since_ = now;
  incarnation_->reachable = false;
  log_({.fact = "target_refuses_connections", .detail = incarnation_->announced.id});
  RefuseUnstartable(now);
}

crash_role run_controller::RoleOf(const tracked_run& run) const {
  // A start without an answer may never have begun; a target that drains ends as announced.
  bool has_begun = run.state == run_state::kRunning || run.state == run_state::kStopping;
  bool is_planned = incarnation_.has_value() && incarnation_->announced.draining;
  if (!refuses_since_.has_value() || !has_begun || is_planned) {
    return run.crash;
  }
  bool just_begun = run.started + options_.suspect_age >= *refuses_since_;
  return just_begun ? crash_role::kSuspect : crash_role::kBystander;
}

void run_controller::CheckLapse(instant now) {
  bool lapsed = latest_lease_end_.has_value() && *latest_lease_end_ < now;
  if (!lapsed) {
    return;
  }
  std::vector<uint64_t> lost = runs_.AtTarget();
  if (lost.empty()) {
    return;
  }
  // The raised fence rejects a start still in transit, which could otherwise begin under a lease
  // renewed later.
  ++fence_;
  if (incarnation_.has_value()) {
    incarnation_->reachable = false;
  }
  for (uint64_t serial : lost) {
    Finish(serial, run_outcome::kLost, "lapsed", now);
  }
}

void run_controller::Expire(instant now) {
  std::vector<session_id> expired;
  for (const auto& [session, until] : sessions_) {
    if (until < now) {
      expired.push_back(session);
    }
  }
  for (session_id session : expired) {
    EndSession(session, "entry_silent", now);
  }
  CheckLapse(now);
  RefuseUnstartable(now);
}

void run_controller::Tick(instant now) {
  Expire(now);
  StopStalled(now);
  RetryStops(now);
  ForgetDeparted();
  if (renewals_.empty() && next_renewal_ <= now) {
    Renew(duration::zero(), now);
  }
  if (successor_.has_value() && !successor_->probe.has_value() && successor_->next_probe <= now) {
    ProbeSuccessor(now);
  }
}

void run_controller::Finish(uint64_t serial, run_outcome outcome, std::string reason, instant now) {
  const tracked_run ended = runs_.Take(serial);
  bool started = ended.state != run_state::kQueued && outcome != run_outcome::kNotStarted &&
                 outcome != run_outcome::kVoided;
  result_({.session = ended.order.session,
           .order = ended.order.order,
           .task = ended.order.task,
           .outcome = outcome,
           .reason = std::move(reason),
           .run = ended.number,
           .crash = outcome == run_outcome::kLost ? RoleOf(ended) : crash_role::kNone,
           .waited = started ? ended.started - ended.arrived : now - ended.arrived,
           .ran = started && now > ended.started ? now - ended.started : duration::zero()});
}

target_status run_controller::Load() const {
  target_status load;
  if (!incarnation_.has_value()) {
    return load;
  }
  const target_announcement& announced = incarnation_->announced;
  bool usable = Ready() && clock_.known() && IsCapacityCurrentOrGuarded();
  if (usable) {
    load.state =
        announced.draining ? target_availability::kDraining : target_availability::kServing;
  }
  load.target = announced.id;
  load.service = announced.service;
  load.capacity = announced.capacity;
  load.free = Free();
  load.slowness = speed_.slowness();
  load.failing = speed_.failing();
  load.mean_run = speed_.mean_run();
  return load;
}

const target_announcement* run_controller::Announced() const {
  return incarnation_.has_value() ? &incarnation_->announced : nullptr;
}

bool run_controller::Settled() const {
  if (!incarnation_.has_value() || !incarnation_->taken_over) {
    return false;
  }
  return std::ranges::all_of(
      runs_, [this](const auto& item) { return sessions_.contains(item.second.order.session); });
}

void run_controller::LogRunEvent(std::string_view fact, const tracked_run& about,
                                 std::string detail) const {
  log_({.fact = fact, .task = about.order.task, .run = about.number, .detail = std::move(detail)});
}

}  // namespace wagtail::leased
