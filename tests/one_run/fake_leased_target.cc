#include "tests/one_run/fake_leased_target.h"

#include <algorithm>
#include <utility>

namespace wagtail::leased {

fake_leased_target::fake_leased_target(virtual_time& time, settings settings, run_hook on_start,
                                       run_hook on_end)
    : time_(time),
      settings_(std::move(settings)),
      on_start_(std::move(on_start)),
      on_end_(std::move(on_end)),
      start_time_(time.now()) {}

int64_t fake_leased_target::ClockMs() const {
  double elapsed = static_cast<double>((time_.now() - start_time_).count()) * settings_.clock_rate;
  return static_cast<int64_t>(elapsed / 1000);
}

std::string fake_leased_target::Id() const {
  return settings_.keeps_id ? settings_.id : settings_.id + "-" + std::to_string(incarnation_);
}

target_announcement fake_leased_target::Announcement() {
  return {.id = Id(),
          .start_time_ms = ToMilliseconds(start_time_.time_since_epoch()),
          .service = "lights",
          .address = settings_.id,
          .domain = "zone-1",
          .capacity = settings_.capacity,
          .clock_ms = ClockMs(),
          .sequence = ++announcements_};
}

void fake_leased_target::Crash() {
  up_ = false;
  ++incarnation_;
  for (const auto& [task, entry] : std::exchange(running_, {})) {
    on_end_(task);
  }
  ended_.clear();
  highest_run_.clear();
  pending_renewals_.clear();
  fence_ = 0;
  next_end_ = 1;
  lease_until_ms_ = 0;
}

void fake_leased_target::CrashAndResetConnections() {
  std::vector<pending_renewal> pending = std::exchange(pending_renewals_, {});
  Crash();
  for (pending_renewal& each : pending) {
    each.answer(std::nullopt, renew_failure::kNoAnswer);
  }
}

void fake_leased_target::Restart() {
  up_ = true;
  start_time_ = time_.now();
  announcements_ = 0;
}

bool fake_leased_target::Fenced(uint64_t fence) {
  if (fence < fence_) {
    return true;
  }
  fence_ = fence;
  return false;
}

void fake_leased_target::ExtendLease(int64_t until_ms) {
  until_ms = std::min(until_ms, ClockMs() + settings_.max_lease_ms);
  if (until_ms <= lease_until_ms_) {
    return;
  }
  lease_until_ms_ = until_ms;
  auto left = static_cast<double>(until_ms - ClockMs()) / settings_.clock_rate;
  auto wait = duration(static_cast<int64_t>(left * 1000)) + duration(1000);
  time_.After(wait, [this, incarnation = incarnation_] { ExpireLease(incarnation); });
}

void fake_leased_target::ExpireLease(uint64_t incarnation) {
  if (incarnation != incarnation_ || ClockMs() < lease_until_ms_) {
    return;
  }
  std::map<task_ref, running> lapsed = running_;
  for (const auto& [task, entry] : lapsed) {
    End(task, entry.run, end_kind::kLapsed);
  }
}

start_answer fake_leased_target::Start(const start_call& call) {
  if (call.instance != Id()) {
    return start_answer::kOtherIncarnation;
  }
  if (Fenced(call.fence)) {
    return start_answer::kFenced;
  }
  auto present = running_.find(call.task);
  if (present != running_.end() && present->second.run == call.run) {
    return start_answer::kStarted;
  }
  ExtendLease(call.lease_until_ms);
  if (call.run <= highest_run_[call.task]) {
    return start_answer::kStaleRun;
  }
  if (lease_until_ms_ <= ClockMs()) {
    return start_answer::kLeaseExpired;
  }
  uint64_t generation = next_generation_++;
  running_[call.task] = {.run = call.run, .generation = generation};
  on_start_(call.task);
  bool fails = failing > 0.5;
  duration run_time = settings_.run_time_of ? settings_.run_time_of(call.task) : settings_.run_time;
  time_.After(run_time, [this, task = call.task, generation, incarnation = incarnation_, fails] {
    auto found = running_.find(task);
    if (incarnation == incarnation_ && found != running_.end() &&
        found->second.generation == generation) {
      End(task, found->second.run, fails ? end_kind::kFailed : end_kind::kDone);
    }
  });
  return start_answer::kStarted;
}

void fake_leased_target::Stop(const stop_call& call) {
  if (call.instance != Id() || Fenced(call.fence)) {
    return;
  }
  uint32_t& highest = highest_run_[call.task];
  highest = std::max(highest, call.run);
  auto found = running_.find(call.task);
  if (found == running_.end() || found->second.run != call.run || found->second.stopping) {
    return;
  }
  found->second.stopping = true;
  uint64_t generation = found->second.generation;
  time_.After(settings_.stop_time,
              [this, task = call.task, generation, incarnation = incarnation_] {
                auto entry = running_.find(task);
                if (incarnation == incarnation_ && entry != running_.end() &&
                    entry->second.generation == generation) {
                  End(task, entry->second.run, end_kind::kStopped);
                }
              });
}

void fake_leased_target::End(const task_ref& task, uint32_t run, end_kind kind) {
  running_.erase(task);
  uint32_t& highest = highest_run_[task];
  highest = std::max(highest, run);
  on_end_(task);
  ended_.push_back({.number = next_end_++, .task = task, .run = run, .kind = kind});
  AnswerPendingRenewals();
}

void fake_leased_target::AnswerPendingRenewals() {
  for (pending_renewal& each : std::exchange(pending_renewals_, {})) {
    each.answer(Report(), renew_failure::kNoAnswer);
  }
}

target_report fake_leased_target::Report() const {
  target_report report{.clock_ms = ClockMs(),
                       .start_time_ms = ToMilliseconds(start_time_.time_since_epoch())};
  for (const auto& [task, entry] : running_) {
    report.running.push_back({.task = task, .run = entry.run});
  }
  report.ended = ended_;
  return report;
}

void fake_leased_target::Renew(const renew_call& call, renew_hook answer) {
  if (call.instance != Id()) {
    answer(std::nullopt, renew_failure::kOtherIncarnation);
    return;
  }
  if (Fenced(call.fence)) {
    answer(std::nullopt, renew_failure::kFenced);
    return;
  }
  std::erase_if(ended_, [&](const reported_end& end) { return end.number <= call.last_end; });
  if (call.lease_until_ms.has_value()) {
    ExtendLease(*call.lease_until_ms);
  }
  if (!ended_.empty() || call.wait == duration::zero()) {
    answer(Report(), renew_failure::kNoAnswer);
    return;
  }
  auto shared = std::make_shared<renew_hook>(std::move(answer));
  pending_renewals_.push_back(
      {.last_end = call.last_end,
       .answer = [shared](std::optional<target_report> report, renew_failure failure) {
         if (*shared) {
           std::exchange(*shared, nullptr)(std::move(report), failure);
         }
       }});
  time_.After(call.wait, [this, shared, incarnation = incarnation_] {
    if (incarnation == incarnation_ && *shared) {
      std::exchange(*shared, nullptr)(Report(), renew_failure::kNoAnswer);
    }
  });
}

}  // namespace wagtail::leased
