#include "leases/run_controller.h"

#include <algorithm>
#include <utility>

#include "base/verify.h"

/// @file
/// What a run keeper decides over orders, sessions, leases and the lives of its target.

namespace wagtail::leased {

run_controller::run_controller(run_controller_options options, call_hook call, result_hook result,
                               log_hook note)
    : options_(options),
      call_(std::move(call)),
      result_(std::move(result)),
      note_(std::move(note)),
      fence_(options.fence) {}

void run_controller::OnTargetAnnounced(const target_announcement& announcement, instant now) {
  if (life_.has_value()) {
    const target_announcement& known = life_->announced;
    bool same_life =
        known.id == announcement.id && known.start_time_ms == announcement.start_time_ms;
    bool outdated = announcement.start_time_ms < known.start_time_ms ||
                    (same_life && announcement.sequence < known.sequence);
    if (outdated) {
      return;
    }
    if (same_life) {
      life_->announced = announcement;
    } else if (known.id == announcement.id) {
      BeginLifeUnderSameId(announcement, now);
    } else {
      EndLife("replaced");
    }
  }
  if (!life_.has_value()) {
    BeginLife(announcement, now);
  }
  domain_ = announcement.domain;
  if (announcement.clock_ms.has_value()) {
    // An announcement may have been delayed, which only makes the estimate later than the truth.
    clock_.Observe(*announcement.clock_ms, now);
  }
  RefuseWaiting(now);
}

void run_controller::OnTargetDeparted(const std::string& id, instant now) {
  if (life_.has_value() && life_->announced.id == id) {
    EndLife("departed");
    RefuseWaiting(now);
  }
}

void run_controller::BeginLife(const target_announcement& announcement, instant now) {
  life_.emplace(announcement);
  clock_.Reset();
  speed_.Reset();
  lapse_by_.reset();
  ++fence_;
  renewals_.clear();
  Renew(duration::zero(), now);
}

void run_controller::BeginLifeUnderSameId(const target_announcement& announcement, instant now) {
  // Starts may have reached the new life before it was known as one: what runs there shows in its
  // list, under a fence that makes the others void.
  for (auto& [serial, entry] : runs_) {
    if (entry.state != run_state::kQueued) {
      entry.state = run_state::kInDoubt;
      entry.fence = fence_;
      entry.may_have_run = true;
    }
  }
  BeginLife(announcement, now);
  AllowForOtherLife(now);
}

void run_controller::EndLife(std::string_view reason) {
  life_.reset();
  renewals_.clear();
  lapse_by_.reset();
  for (uint64_t serial : runs_.AtTarget()) {
    Finish(serial, run_outcome::kLost, std::string(reason), instant{});
  }
}

void run_controller::SetPlan(const operating_plan& plan, instant now) {
  leaving_domains_ = plan.leaving_domains;
  RefuseWaiting(now);
}

void run_controller::OnSessionOpened(session_id session, instant sent) {
  sessions_[session] = sent + options_.session_lease;
}

void run_controller::OnReportAnswered(session_id session, instant sent) {
  auto entry = sessions_.find(session);
  if (entry != sessions_.end()) {
    entry->second = std::max(entry->second, sent + options_.session_lease);
  }
}

void run_controller::OnSessionClosed(session_id session, instant now) {
  sessions_.erase(session);
  EndSession(session, "entry_gone", now);
}

void run_controller::EndSession(session_id session, const std::string& reason, instant now) {
  for (uint64_t serial : runs_.WantedBy(session)) {
    Stop(serial, runs_.find(serial)->second, reason, now);
  }
}

bool run_controller::Ready() const {
  return life_.has_value() && life_->taken_over && life_->reached && !leaving_;
}

bool run_controller::MayStart() const {
  return Ready() && clock_.known() && !life_->announced.draining &&
         !leaving_domains_.contains(domain_);
}

bool run_controller::StopOverdue(instant now) const {
  return runs_.StopOverdue(now, options_.stop_timeout);
}

task_resources run_controller::Free() const {
  if (!life_.has_value()) {
    return {};
  }
  task_resources free = life_->announced.capacity;
  free -= runs_.Occupied();
  return free;
}

bool run_controller::IsVouchedFor(session_id session, instant now) const {
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
  const kept_run& added = runs_.Add(serial, std::move(order), now);
  if (!IsVouchedFor(added.order.session, now)) {
    Finish(serial, run_outcome::kNotStarted, "entry_silent", now);
    return;
  }
  if (!MayStart()) {
    Finish(serial, run_outcome::kNotStarted, "not_serving", now);
    return;
  }
  if (!life_->announced.capacity.Holds(added.order.resources)) {
    Finish(serial, run_outcome::kNotStarted, "too_large", now);
    return;
  }
  // A caller that sent its job again through another entry is served by the newer one.
  for (auto& [other_serial, other] : runs_) {
    bool superseded = other_serial != serial && other.order.task == added.order.task &&
                      other.order.session != added.order.session && !other.unwanted &&
                      other.state != run_state::kQueued;
    if (superseded) {
      Stop(other_serial, other, "superseded", now);
    }
  }
  StartWhatFits(now);
  RefuseWaiting(now);
}

void run_controller::Withdraw(session_id session, uint64_t order, instant now) {
  auto entry = runs_.FindOrder(session, order);
  if (entry != runs_.end() && !entry->second.unwanted) {
    Stop(entry->first, entry->second, "withdrawn", now);
  }
}

void run_controller::Drain(instant now) {
  leaving_ = true;
  RefuseWaiting(now);
}

void run_controller::StartWhatFits(instant now) {
  if (!MayStart() || StopOverdue(now)) {
    return;
  }
  task_resources free = Free();
  for (uint64_t serial : runs_.Waiting()) {
    kept_run& entry = runs_.find(serial)->second;
    if (!free.Holds(entry.order.resources) || runs_.IsAtTarget(entry.order.task)) {
      continue;
    }
    free -= entry.order.resources;
    Start(serial, entry, now);
  }
}

void run_controller::Start(uint64_t serial, kept_run& entry, instant now) {
  std::optional<int64_t> lease = NextLease(now);
  VERIFY(lease.has_value());
  entry.state = run_state::kStarting;
  entry.started = now;
  entry.fence = fence_;
  call_(start_call{.serial = serial,
                   .instance = life_->announced.id,
                   .address = life_->announced.address,
                   .task = entry.order.task,
                   .run = entry.number,
                   .text = entry.order.text,
                   .lease_until_ms = *lease,
                   .fence = fence_,
                   .timeout = options_.answer_limit});
}

void run_controller::Stop(uint64_t serial, kept_run& entry, std::string reason, instant now) {
  entry.unwanted = true;
  entry.reason = std::move(reason);
  switch (entry.state) {
    case run_state::kQueued:
      Finish(serial, run_outcome::kNotStarted, entry.reason, now);
      return;
    case run_state::kRunning:
      Note("run_stopping", entry, entry.reason);
      entry.first_stop = now;
      AskStop(serial, entry, now);
      return;
    case run_state::kStarting:
    case run_state::kInDoubt:
    case run_state::kStopping:
      return;  // stopped once its start is answered
  }
}

void run_controller::AskStop(uint64_t serial, kept_run& entry, instant now) {
  entry.state = run_state::kStopping;
  entry.stop_asked = now;
  if (!life_.has_value()) {
    return;
  }
  call_(stop_call{.serial = serial,
                  .instance = life_->announced.id,
                  .address = life_->announced.address,
                  .task = entry.order.task,
                  .run = entry.number,
                  .fence = fence_});
}

void run_controller::RetryStops(instant now) {
  for (auto& [serial, entry] : runs_) {
    if (entry.state == run_state::kStopping && now - entry.stop_asked >= options_.stop_retry) {
      AskStop(serial, entry, now);
    }
  }
}

void run_controller::RefuseWaiting(instant now) {
  bool serving = MayStart();
  task_resources free = Free();
  std::vector<uint64_t> refused;
  for (const auto& [serial, entry] : runs_) {
    if (entry.state != run_state::kQueued) {
      continue;
    }
    // Another target may have room now; only the end of an earlier run of the task is waited for.
    bool waits_for_end =
        runs_.IsAtTarget(entry.order.task) && now - entry.arrived < options_.longest_wait;
    bool has_room = free.Holds(entry.order.resources) && !StopOverdue(now);
    if (!serving || !(has_room || waits_for_end)) {
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
  if (!clock_.known() || StopOverdue(now)) {
    return std::nullopt;
  }
  int64_t until = clock_.TargetTime(now) + ToMilliseconds(options_.lease);
  instant lapse = clock_.LatestLocalTime(until);
  lapse_by_ = lapse_by_.has_value() ? std::max(*lapse_by_, lapse) : lapse;
  return until;
}

void run_controller::AllowForOtherLife(instant now) {
  // A lease that was stated on the former clock is cut to the longest one by the new life.
  auto longest =
      std::chrono::duration_cast<duration>(options_.max_lease * (1 + target_clock::kMaxDrift));
  lapse_by_ = lapse_by_.has_value() ? std::max(*lapse_by_, now + longest) : now + longest;
}

void run_controller::Renew(duration wait, instant now) {
  if (!life_.has_value()) {
    return;
  }
  uint64_t serial = next_serial_++;
  renewals_[serial] = fence_;
  // Until earlier agents' runs are gone, and until it is known what runs, nothing is prolonged.
  bool known = life_->taken_over && life_->reached;
  std::optional<int64_t> lease = known ? NextLease(now) : std::nullopt;
  call_(renew_call{.serial = serial,
                   .instance = life_->announced.id,
                   .address = life_->announced.address,
                   .lease_until_ms = lease,
                   .fence = fence_,
                   .last_end = life_->last_end,
                   .wait = wait,
                   .timeout = wait + (now < careful_until_ ? options_.answer_limit
                                                           : options_.renew_answer_limit)});
}

void run_controller::RenewInTurn(instant now) {
  if (now < careful_until_) {
    Renew(options_.careful_renew_wait, now);
  } else {
    Renew(runs_.empty() ? options_.idle_renew_wait : options_.renew_wait, now);
  }
}

void run_controller::CheckLapse(instant now) {
  bool lapsed = lapse_by_.has_value() && *lapse_by_ < now;
  if (!lapsed) {
    return;
  }
  std::vector<uint64_t> gone = runs_.AtTarget();
  if (gone.empty()) {
    return;
  }
  // A start that is still on its way must not find a lease that is renewed later.
  ++fence_;
  if (life_.has_value()) {
    life_->reached = false;
  }
  for (uint64_t serial : gone) {
    Finish(serial, run_outcome::kLost, "lapsed", now);
  }
}

void run_controller::Expire(instant now) {
  std::vector<session_id> silent;
  for (const auto& [session, until] : sessions_) {
    if (until < now) {
      silent.push_back(session);
    }
  }
  for (session_id session : silent) {
    EndSession(session, "entry_silent", now);
  }
  CheckLapse(now);
  RefuseWaiting(now);
}

void run_controller::Tick(instant now) {
  Expire(now);
  StopStalled(now);
  RetryStops(now);
  if (renewals_.empty() && next_renewal_ <= now) {
    Renew(duration::zero(), now);
  }
}

void run_controller::Finish(uint64_t serial, run_outcome outcome, std::string reason, instant now) {
  const kept_run ended = runs_.Take(serial);
  bool started = ended.state != run_state::kQueued && outcome != run_outcome::kNotStarted &&
                 outcome != run_outcome::kVoided;
  result_({.session = ended.order.session,
           .order = ended.order.order,
           .task = ended.order.task,
           .outcome = outcome,
           .reason = std::move(reason),
           .run = ended.number,
           .waited = started ? ended.started - ended.arrived : now - ended.arrived,
           .ran = started && now > ended.started ? now - ended.started : duration::zero()});
}

target_status run_controller::Load() const {
  target_status load;
  if (!life_.has_value()) {
    return load;
  }
  const target_announcement& announced = life_->announced;
  bool usable = Ready() && clock_.known();
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

bool run_controller::Settled() const {
  if (!life_.has_value() || !life_->taken_over) {
    return false;
  }
  return std::ranges::all_of(
      runs_, [this](const auto& item) { return sessions_.contains(item.second.order.session); });
}

void run_controller::Note(std::string_view fact, const kept_run& about, std::string detail) const {
  note_({.fact = fact, .task = about.order.task, .run = about.number, .detail = std::move(detail)});
}

}  // namespace wagtail::leased
