#include "scheduler/target_table.h"

#include <algorithm>

namespace wagtail::leased {
namespace {

/// Assumed mean run time of a target that has not reported one yet.
constexpr duration kDefaultMeanRunTime = std::chrono::milliseconds(200);
/// Shortest expected wait of a task that does not fit now.
constexpr duration kMinWait = std::chrono::milliseconds(1);
/// Age at which the cached slowness of the fast targets is recomputed.
constexpr duration kFastSlownessMaxAge = std::chrono::milliseconds(20);

/// @return part of the capacity that `needed` lacks, of the resource that it lacks most
double MissingShare(const task_resources& free, const task_resources& needed,
                    const task_resources& capacity) {
  auto share = [](int64_t available, int64_t wanted, int64_t all) {
    auto missing = static_cast<double>(std::max<int64_t>(wanted - available, 0));
    return missing / static_cast<double>(std::max<int64_t>(all, 1));
  };
  return std::max({share(free.cpu, needed.cpu, capacity.cpu),
                   share(free.mem_mb, needed.mem_mb, capacity.mem_mb),
                   share(free.gpu, needed.gpu, capacity.gpu)});
}

}  // namespace

void target_table::OnSessionOpened(session_id session, const agent_identity& agent, instant now) {
  rows_[session] = {.agent = agent, .report = {}, .last_report = now, .last_probe = {}};
}

void target_table::OnReport(session_id session, const session_report& report, instant now) {
  auto found = rows_.find(session);
  if (found == rows_.end()) {
    return;
  }
  row& target = found->second;
  target.report = report;
  target.last_report = now;
  std::erase_if(target.unreported,
                [&](const unreported_order& order) { return order.order <= report.orders_seen; });
}

void target_table::OnSessionClosed(session_id session) { rows_.erase(session); }

void target_table::Ordered(session_id session, uint64_t order, const task_resources& resources,
                           instant now) {
  auto found = rows_.find(session);
  if (found == rows_.end()) {
    return;
  }
  found->second.unreported.push_back({.order = order, .resources = resources});
  if (IsFailing(found->second)) {
    found->second.last_probe = now;
  }
}

bool target_table::IsFailing(const row& target) const {
  return target.report.load.failing >= options_.failing_limit;
}

bool target_table::IsUsable(const row& target, const task_demand& demand, instant now) const {
  const target_status& load = target.report.load;
  return load.state == target_availability::kServing && load.service == demand.service &&
         now - target.last_report < options_.report_timeout &&
         load.capacity.Holds(demand.resources) && !leaving_domains_.contains(target.agent.domain);
}

task_resources target_table::FreeResources(const row& target) {
  const target_status& load = target.report.load;
  task_resources free = load.free;
  for (const unreported_order& order : target.unreported) {
    free -= OccupiedBy(order.resources, load.capacity);
  }
  return free;
}

task_resources target_table::FreeFor(const row& target, const task_demand& demand) {
  task_resources free = FreeResources(target);
  int64_t capacity = target.report.load.capacity.cpu;
  auto reserved = static_cast<int64_t>(demand.reserved_share * static_cast<double>(capacity));
  // An idle target can start any task that it can hold.
  free.cpu -= std::min(reserved, std::max<int64_t>(capacity - demand.resources.cpu, 0));
  return free;
}

duration target_table::ExpectedWait(const row& target, const task_demand& demand) const {
  const target_status& load = target.report.load;
  task_resources free = FreeFor(target, demand);
  task_resources needed = OccupiedBy(demand.resources, load.capacity);
  if (free.Holds(needed)) {
    return duration::zero();
  }
  duration mean = load.mean_run > duration::zero() ? load.mean_run : kDefaultMeanRunTime;
  return std::max(Scaled(mean, MissingShare(free, needed, load.capacity)), kMinWait);
}

bool target_table::MeetsObjective(const row& target, const task_demand& demand,
                                  duration wait) const {
  if (!demand.time_left.has_value()) {
    return true;
  }
  duration run = Scaled(demand.estimate, target.report.load.slowness);
  return options_.round_trip + wait + run <= *demand.time_left;
}

double target_table::ScoreOf(const row& target, const task_demand& demand) const {
  duration run = Scaled(demand.estimate, target.report.load.slowness);
  bool near = target.agent.domain == options_.domain;
  return static_cast<double>(run.count()) * (near ? options_.local_domain_factor : 1);
}

bool target_table::IsEligible(const row& target, const task_demand& demand, instant now) const {
  if (!IsUsable(target, demand, now)) {
    return false;
  }
  if (IsFailing(target) && now - target.last_probe < options_.probe_interval) {
    return false;
  }
  if (demand.max_run.has_value() &&
      Scaled(demand.estimate, target.report.load.slowness) > *demand.max_run) {
    return false;
  }
  return demand.excluded == nullptr ||
         std::ranges::find(*demand.excluded, target.agent.address) == demand.excluded->end();
}

std::optional<target_table::choice> target_table::Choose(const task_demand& demand,
                                                         instant now) const {
  std::optional<choice> in_time;
  std::optional<choice> late;
  double in_time_score = 0;
  double late_score = 0;
  bool in_time_elsewhere = false;
  for (const auto& [session, target] : rows_) {
    if (!IsEligible(target, demand, now)) {
      continue;
    }
    duration wait = ExpectedWait(target, demand);
    bool meets = MeetsObjective(target, demand, wait);
    if (wait > duration::zero()) {
      in_time_elsewhere |= meets;
      continue;
    }
    std::optional<choice>& best = meets ? in_time : late;
    double& best_score = meets ? in_time_score : late_score;
    double score = ScoreOf(target, demand);
    if (!best.has_value() || score < best_score) {
      duration run = Scaled(demand.estimate, target.report.load.slowness);
      best = {.session = session, .run = run};
      best_score = score;
    }
  }
  if (in_time.has_value()) {
    return in_time;
  }
  // Prefer waiting for a target that meets the objective to being late on a free slow one.
  return in_time_elsewhere ? std::nullopt : late;
}

std::optional<double> target_table::FastSlowness(std::string_view service, instant now) const {
  auto known = fast_slowness_.find(service);
  if (known != fast_slowness_.end() && now - known->second.at < kFastSlownessMaxAge) {
    return known->second.slowness;
  }
  task_demand any{.service = service, .resources = {}, .estimate = {}};
  std::vector<double> all;
  for (const auto& [session, target] : rows_) {
    if (IsUsable(target, any, now)) {
      all.push_back(target.report.load.slowness);
    }
  }
  // Slowness values are estimates: the lowest of many is usually an underestimate.
  auto fast = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 4);
  std::ranges::nth_element(all, fast);
  std::optional<double> slowness = all.empty() ? std::nullopt : std::optional(*fast);
  fast_slowness_[std::string(service)] = {.at = now, .slowness = slowness};
  return slowness;
}

std::optional<duration> target_table::FastRunTime(std::string_view service, duration estimate,
                                                  instant now) const {
  std::optional<double> slowness = FastSlowness(service, now);
  return slowness.has_value() ? std::optional(Scaled(estimate, *slowness)) : std::nullopt;
}

bool target_table::CouldHold(const task_demand& demand, instant now) const {
  return std::ranges::any_of(rows_,
                             [&](const auto& item) { return IsUsable(item.second, demand, now); });
}

int64_t target_table::StartableTasks(const task_demand& demand, instant now) const {
  int64_t tasks = 0;
  for (const auto& [session, target] : rows_) {
    task_resources needed = OccupiedBy(demand.resources, target.report.load.capacity);
    if (IsEligible(target, demand, now) && needed.cpu > 0) {
      tasks += FreeFor(target, demand).CountOf(needed);
    }
  }
  return tasks;
}

double target_table::CapacityShare(std::string_view service, instant now) const {
  task_demand any{.service = service, .resources = {}, .estimate = {}};
  double equal_part = 0;
  for (const auto& [session, target] : rows_) {
    if (!IsUsable(target, any, now)) {
      continue;
    }
    const target_status& load = target.report.load;
    equal_part += static_cast<double>(load.capacity.cpu) / load.slowness /
                  std::max(1U, target.report.entries);
  }
  return equal_part;
}

std::vector<session_id> target_table::Unresponsive(duration limit, instant now) const {
  std::vector<session_id> unresponsive;
  for (const auto& [session, target] : rows_) {
    if (now - target.last_report > limit) {
      unresponsive.push_back(session);
    }
  }
  return unresponsive;
}

std::string_view target_table::Service(session_id session) const {
  auto found = rows_.find(session);
  return found == rows_.end() ? std::string_view() : found->second.report.load.service;
}

const agent_identity* target_table::Agent(session_id session) const {
  auto found = rows_.find(session);
  return found == rows_.end() ? nullptr : &found->second.agent;
}

std::optional<instant> target_table::LastReport(session_id session) const {
  auto found = rows_.find(session);
  return found == rows_.end() ? std::nullopt : std::optional(found->second.last_report);
}

size_t target_table::InUse(instant now) const {
  return static_cast<size_t>(std::ranges::count_if(rows_, [&](const auto& item) {
    const row& target = item.second;
    return target.report.load.state == target_availability::kServing &&
           now - target.last_report < options_.report_timeout;
  }));
}

}  // namespace wagtail::leased
