#include "tests/one_run/fake_leased_target.h"

#include <algorithm>
#include <utility>

namespace wagtail::leased {

fake_leased_target::fake_leased_target(virtual_time& time, settings settings, run_hook began,
                                       run_hook over)
    : time_(time),
      settings_(std::move(settings)),
      began_(std::move(began)),
      over_(std::move(over)),
      born_(time.now()) {}

int64_t fake_leased_target::ClockMs() const {
  double elapsed = static_cast<double>((time_.now() - born_).count()) * settings_.clock_rate;
  return static_cast<int64_t>(elapsed / 1000);
}

std::string fake_leased_target::Id() const {
  return settings_.keeps_id ? settings_.id : settings_.id + "-" + std::to_string(life_);
}

target_announcement fake_leased_target::Announcement() {
  return {.id = Id(),
          .start_time_ms = ToMilliseconds(born_.time_since_epoch()),
          .service = "lights",
          .address = settings_.id,
          .domain = "zone-1",
          .capacity = settings_.capacity,
          .clock_ms = ClockMs(),
          .sequence = ++announcements_};
}

void fake_leased_target::Crash() {
  up_ = false;
  ++life_;
  for (const auto& [task, entry] : std::exchange(running_, {})) {
    over_(task);
  }
  ended_.clear();
  highest_run_.clear();
  waiting_.clear();
  fence_ = 0;
  next_end_ = 1;
  lease_until_ms_ = 0;
}

void fake_leased_target::Restart() {
  up_ = true;
  born_ = time_.now();
  announcements_ = 0;
}

bool fake_leased_target::Fenced(uint64_t fence) {
  if (fence < fence_) {
    return true;
  }
  fence_ = fence;
  return false;
}

void fake_leased_target::Lease(int64_t until_ms) {
  until_ms = std::min(until_ms, ClockMs() + settings_.max_lease_ms);
  if (until_ms <= lease_until_ms_) {
    return;
  }
  lease_until_ms_ = until_ms;
  auto left = static_cast<double>(until_ms - ClockMs()) / settings_.clock_rate;
  auto wait = duration(static_cast<int64_t>(left * 1000)) + duration(1000);
  time_.After(wait, [this, life = life_] { CheckLease(life); });
}

void fake_leased_target::CheckLease(uint64_t life) {
  if (life != life_ || ClockMs() < lease_until_ms_) {
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
  Lease(call.lease_until_ms);
  if (call.run <= highest_run_[call.task]) {
    return start_answer::kStaleRun;
  }
  if (lease_until_ms_ <= ClockMs()) {
    return start_answer::kLeaseExpired;
  }
  uint64_t generation = next_generation_++;
  running_[call.task] = {.run = call.run, .generation = generation};
  began_(call.task);
  bool fails = failing > 0.5;
  duration takes = settings_.run_time_of ? settings_.run_time_of(call.task) : settings_.run_time;
  time_.After(takes, [this, task = call.task, generation, life = life_, fails] {
    auto found = running_.find(task);
    if (life == life_ && found != running_.end() && found->second.generation == generation) {
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
  time_.After(settings_.stop_time, [this, task = call.task, generation, life = life_] {
    auto entry = running_.find(task);
    if (life == life_ && entry != running_.end() && entry->second.generation == generation) {
      End(task, entry->second.run, end_kind::kStopped);
    }
  });
}

void fake_leased_target::End(const task_ref& task, uint32_t run, end_kind kind) {
  running_.erase(task);
  uint32_t& highest = highest_run_[task];
  highest = std::max(highest, run);
  over_(task);
  ended_.push_back({.number = next_end_++, .task = task, .run = run, .kind = kind});
  AnswerWaiting();
}

void fake_leased_target::AnswerWaiting() {
  for (waiting_renewal& each : std::exchange(waiting_, {})) {
    each.answer(Report(), renew_failure::kNoAnswer);
  }
}

target_report fake_leased_target::Report() const {
  target_report report{.clock_ms = ClockMs(),
                       .start_time_ms = ToMilliseconds(born_.time_since_epoch())};
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
    Lease(*call.lease_until_ms);
  }
  if (!ended_.empty() || call.wait == duration::zero()) {
    answer(Report(), renew_failure::kNoAnswer);
    return;
  }
  auto shared = std::make_shared<renew_hook>(std::move(answer));
  waiting_.push_back(
      {.last_end = call.last_end,
       .answer = [shared](std::optional<target_report> report, renew_failure failure) {
         if (*shared) {
           std::exchange(*shared, nullptr)(std::move(report), failure);
         }
       }});
  time_.After(call.wait, [this, shared, life = life_] {
    if (life == life_ && *shared) {
      std::exchange(*shared, nullptr)(Report(), renew_failure::kNoAnswer);
    }
  });
}

}  // namespace wagtail::leased
