#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "scheduler/job_scheduler.h"

/// @file
/// Order of the waiting jobs and placement of their tasks in job_scheduler.

namespace wagtail::leased {

void job_scheduler::Place(instant now) {
  struct placement_candidate {
    bool late = false;  ///< can no longer meet its objective: placed after those that can
    instant latest_start;
    unsigned priority = 0;
    job* owner = nullptr;
  };
  waiting_priorities_.clear();
  if (waiting_ == 0) {
    return;
  }
  std::vector<placement_candidate> waiting;
  PlaceByPolicy(now);
  for (auto& [id, owner] : jobs_) {
    if (owner.waiting > 0 && !IsPrioritized(owner)) {
      instant latest_start = LatestStart(owner, now);
      waiting.push_back({.late = latest_start < now,
                         .latest_start = latest_start,
                         .priority = owner.submission.queue.priority,
                         .owner = &owner});
    }
  }
  std::ranges::sort(waiting, {}, [](const placement_candidate& item) {
    return std::tuple(item.late, item.latest_start, item.priority,
                      std::string_view(item.owner->submission.id));
  });
  std::set<std::string_view> full_services;
  for (const placement_candidate& item : waiting) {
    std::string_view service = item.owner->submission.queue.service;
    if (full_services.contains(service)) {
      continue;
    }
    bool capacity_left = true;
    PlaceJob(*item.owner, now, capacity_left);
    if (!capacity_left) {
      full_services.insert(service);
    }
  }
}

bool job_scheduler::PlaceLate(job& owner, instant now) {
  // The job has waited for a fast target; a free slow one is better than a refusal.
  bool capacity_left = true;
  PlaceJob(owner, now, capacity_left);
  return HasBegun(owner);
}

void job_scheduler::PlaceJob(job& owner, instant now, bool& capacity_left) {
  std::map<session_id, order_batch> batches;
  for (uint32_t number = 0; number < owner.steps.size(); ++number) {
    step& each = owner.steps[number];
    for (uint32_t index = 0; index < each.tasks.size(); ++index) {
      if (each.tasks[index].state != task_state::kWaiting) {
        continue;
      }
      order_batch single;
      if (!PlaceTask(owner, number, index, single, now)) {
        // A task that waits for memory or an accelerator leaves the processors to other jobs.
        capacity_left = capacity_left && HasProcessorFor(owner, each, now);
        break;
      }
      order_batch& batch = batches[single.session];
      if (batch.orders.empty()) {
        batch = std::move(single);
      } else {
        batch.orders.push_back(single.orders.front());
      }
    }
  }
  if (batches.empty()) {
    return;
  }
  std::string placements;
  for (const auto& [session, batch] : batches) {
    placements += std::to_string(batch.orders.size()) + " tasks to " +
                  targets_.Agent(session)->name + " from run " +
                  std::to_string(batch.orders.front().run) + ", ";
  }
  LogEvent(
      "tasks_ordered", owner.submission.id,
      placements + "objective in " + std::to_string(ToMilliseconds(owner.objective - now)) + " ms");
  for (auto& [session, batch] : batches) {
    order_(std::move(batch));
  }
}

target_table::task_demand job_scheduler::DemandOf(const job& owner, const step& each,
                                                  instant now) const {
  target_table::task_demand demand{.service = owner.submission.queue.service,
                                   .resources = each.spec.resources,
                                   .estimate = each.spec.estimate};
  if (LeavesReserve(owner)) {
    demand.reserved_share = options_.reserved_share;
  }
  // While the due time can be met, a task waits for a target that meets it; after that any target
  // is acceptable.
  if (now <= LatestStart(owner, now)) {
    demand.time_left = DueTime(owner, now) - now - (owner.critical_path - each.spec.estimate);
  } else if (IsPrioritized(owner) && !HasBegun(owner)) {
    // A run that outlasts the caller's deadline is work thrown away.
    duration left = owner.deadline - now - options_.round_trip;
    demand.max_run = Scaled(left, 1 / options_.max_run_factor);
  }
  return demand;
}

bool job_scheduler::HasProcessorFor(const job& owner, const step& each, instant now) const {
  target_table::task_demand demand = DemandOf(owner, each, now);
  demand.resources = {.cpu = each.spec.resources.cpu};
  return targets_.Choose(demand, now).has_value();
}

std::vector<std::string> job_scheduler::ExcludedForSuspect(const task& item) const {
  std::vector<std::string> excluded = item.excluded;
  std::ranges::transform(suspects_at_, std::back_inserter(excluded),
                         [](const auto& suspects) { return suspects.first; });
  return excluded;
}

bool job_scheduler::PlaceTask(job& owner, uint32_t step_number, uint32_t index, order_batch& batch,
                              instant now) {
  step& each = owner.steps[step_number];
  task& item = each.tasks[index];
  target_table::task_demand demand = DemandOf(owner, each, now);
  bool suspected =
      crashes_.IsSuspected({.job = owner.submission.id, .step = step_number, .index = index});
  std::optional<target_table::choice> chosen;
  if (suspected) {
    std::vector<std::string> excluded = ExcludedForSuspect(item);
    demand.excluded = &excluded;
    chosen = targets_.Choose(demand, now);
  }
  demand.excluded = &item.excluded;
  if (!chosen.has_value()) {
    chosen = targets_.Choose(demand, now);
  }
  if (!chosen.has_value() && !item.excluded.empty()) {
    demand.excluded = nullptr;
    chosen = targets_.Choose(demand, now);
  }
  if (!chosen.has_value()) {
    return false;
  }
  uint64_t order = next_order_++;
  SetState(owner, item, task_state::kPlaced);
  item.order = order;
  item.session = chosen->session;
  item.agent = targets_.Agent(chosen->session)->address;
  if (suspected) {
    item.is_suspect_order = true;
    ++suspects_at_[item.agent];
  }
  orders_[order] = {.job = owner.submission.id, .step = step_number, .index = index};
  targets_.Ordered(chosen->session, order, each.spec.resources, now);
  batch.session = chosen->session;
  batch.text = owner.submission.text;
  batch.job = owner.submission.id;
  batch.orders.push_back({.order = order,
                          .task = {.job = owner.submission.id, .step = step_number, .index = index},
                          .run = item.next_run,
                          .resources = each.spec.resources,
                          .estimate = each.spec.estimate});
  return true;
}

}  // namespace wagtail::leased
