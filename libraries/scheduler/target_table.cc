#include "scheduler/target_table.h"

#include <algorithm>

namespace wagtail::leased {
namespace {

/// Stands in for the mean duration of runs until a target has told one.
constexpr duration kDefaultMeanRun = std::chrono::milliseconds(200);
/// Age at which the speed of the fast targets is worked out anew.
constexpr duration kFastSpeedAge = std::chrono::milliseconds(20);

}  // namespace

void target_table::OnSessionOpened(session_id session, const agent_identity& agent, instant now) {
  rows_[session] = {.agent = agent, .report = {}, .heard = now, .last_trial = {}};
}

void target_table::OnReport(session_id session, const session_report& report, instant now) {
  auto found = rows_.find(session);
  if (found == rows_.end()) {
    return;
  }
  row& target = found->second;
  target.report = report;
  target.heard = now;
  std::erase_if(target.unseen,
                [&](const unseen_order& order) { return order.order <= report.orders_seen; });
}

void target_table::OnSessionClosed(session_id session) { rows_.erase(session); }

void target_table::Ordered(session_id session, uint64_t order, const task_resources& resources,
                           instant now) {
  auto found = rows_.find(session);
  if (found == rows_.end()) {
    return;
  }
  found->second.unseen.push_back({.order = order, .resources = resources});
  if (IsFailing(found->second)) {
    found->second.last_trial = now;
  }
}

bool target_table::IsFailing(const row& target) const {
  return target.report.load.failing >= options_.failing_limit;
}

bool target_table::Usable(const row& target, const need& wanted, instant now) const {
  const target_status& load = target.report.load;
  return load.state == target_availability::kServing && load.service == wanted.service &&
         now - target.heard < options_.quiet_limit && load.capacity.Holds(wanted.resources) &&
         !leaving_domains_.contains(target.agent.domain);
}

task_resources target_table::FreeNow(const row& target) {
  task_resources free = target.report.load.free;
  for (const unseen_order& order : target.unseen) {
    free -= order.resources;
  }
  return free;
}

duration target_table::WaitAt(const row& target, const need& wanted) const {
  const target_status& load = target.report.load;
  task_resources free = FreeNow(target);
  if (free.Holds(wanted.resources)) {
    return duration::zero();
  }
  duration mean = load.mean_run > duration::zero() ? load.mean_run : kDefaultMeanRun;
  auto missing = static_cast<double>(wanted.resources.cpu - free.cpu);
  return Scaled(mean, std::max(missing, 0.0) / static_cast<double>(load.capacity.cpu));
}

bool target_table::MeetsObjective(const row& target, const need& wanted, duration wait) const {
  if (!wanted.time_left.has_value()) {
    return true;
  }
  duration run = Scaled(wanted.estimate, target.report.load.slowness);
  return options_.round_trip + wait + run <= *wanted.time_left;
}

double target_table::ScoreOf(const row& target, const need& wanted) const {
  duration run = Scaled(wanted.estimate, target.report.load.slowness);
  bool near = target.agent.domain == options_.domain;
  return static_cast<double>(run.count()) * (near ? options_.nearness : 1);
}

bool target_table::MayGetTask(const row& target, const need& wanted, instant now) const {
  if (!Usable(target, wanted, now)) {
    return false;
  }
  if (IsFailing(target) && now - target.last_trial < options_.trial_pause) {
    return false;
  }
  return wanted.avoided == nullptr ||
         std::ranges::find(*wanted.avoided, target.agent.address) == wanted.avoided->end();
}

std::optional<target_table::choice> target_table::Choose(const need& wanted, instant now) const {
  std::optional<choice> in_time;
  std::optional<choice> late;
  double in_time_score = 0;
  double late_score = 0;
  bool in_time_elsewhere = false;
  for (const auto& [session, target] : rows_) {
    if (!MayGetTask(target, wanted, now)) {
      continue;
    }
    duration wait = WaitAt(target, wanted);
    bool meets = MeetsObjective(target, wanted, wait);
    if (wait > duration::zero()) {
      in_time_elsewhere |= meets;
      continue;
    }
    std::optional<choice>& best = meets ? in_time : late;
    double& best_score = meets ? in_time_score : late_score;
    double score = ScoreOf(target, wanted);
    if (!best.has_value() || score < best_score) {
      duration run = Scaled(wanted.estimate, target.report.load.slowness);
      best = {.session = session, .run = run};
      best_score = score;
    }
  }
  if (in_time.has_value()) {
    return in_time;
  }
  // Waiting for a faster target beats being late on a slow one that is free.
  return in_time_elsewhere ? std::nullopt : late;
}

std::optional<double> target_table::FastSlowness(std::string_view service, instant now) const {
  auto known = fast_speeds_.find(service);
  if (known != fast_speeds_.end() && now - known->second.at < kFastSpeedAge) {
    return known->second.slowness;
  }
  need any{.service = service, .resources = {}, .estimate = {}};
  std::vector<double> all;
  for (const auto& [session, target] : rows_) {
    if (Usable(target, any, now)) {
      all.push_back(target.report.load.slowness);
    }
  }
  // Speeds are estimates: the very best of many is mostly an estimate that is too good.
  auto fast = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 4);
  std::ranges::nth_element(all, fast);
  std::optional<double> slowness = all.empty() ? std::nullopt : std::optional(*fast);
  fast_speeds_[std::string(service)] = {.at = now, .slowness = slowness};
  return slowness;
}

std::optional<duration> target_table::FastRun(std::string_view service, duration estimate,
                                              instant now) const {
  std::optional<double> slowness = FastSlowness(service, now);
  return slowness.has_value() ? std::optional(Scaled(estimate, *slowness)) : std::nullopt;
}

bool target_table::CouldHold(const need& wanted, instant now) const {
  return std::ranges::any_of(rows_,
                             [&](const auto& item) { return Usable(item.second, wanted, now); });
}

int64_t target_table::RoomFor(const need& wanted, instant now) const {
  int64_t tasks = 0;
  for (const auto& [session, target] : rows_) {
    if (MayGetTask(target, wanted, now) && wanted.resources.cpu > 0) {
      tasks += std::max<int64_t>(FreeNow(target).cpu, 0) / wanted.resources.cpu;
    }
  }
  return tasks;
}

double target_table::ShareOfCapacity(std::string_view service, instant now) const {
  need any{.service = service, .resources = {}, .estimate = {}};
  double equal_part = 0;
  for (const auto& [session, target] : rows_) {
    if (!Usable(target, any, now)) {
      continue;
    }
    const target_status& load = target.report.load;
    equal_part += static_cast<double>(load.capacity.cpu) / load.slowness /
                  std::max(1U, target.report.entries);
  }
  return equal_part;
}

std::vector<session_id> target_table::Silent(duration limit, instant now) const {
  std::vector<session_id> silent;
  for (const auto& [session, target] : rows_) {
    if (now - target.heard > limit) {
      silent.push_back(session);
    }
  }
  return silent;
}

const agent_identity* target_table::Agent(session_id session) const {
  auto found = rows_.find(session);
  return found == rows_.end() ? nullptr : &found->second.agent;
}

std::optional<instant> target_table::LastHeard(session_id session) const {
  auto found = rows_.find(session);
  return found == rows_.end() ? std::nullopt : std::optional(found->second.heard);
}

size_t target_table::InUse(instant now) const {
  return static_cast<size_t>(std::ranges::count_if(rows_, [&](const auto& item) {
    const row& target = item.second;
    return target.report.load.state == target_availability::kServing &&
           now - target.heard < options_.quiet_limit;
  }));
}

}  // namespace wagtail::leased
