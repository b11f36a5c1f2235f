#include <algorithm>
#include <limits>
#include <vector>

#include "scheduler/job_scheduler.h"

/// @file
/// Admission and due times of jobs in job_scheduler.

namespace wagtail::leased {
namespace {

/// @return work of one task in thousandths of a core times microseconds
double WorkOfTask(const job_step& spec) {
  return static_cast<double>(spec.resources.cpu) * static_cast<double>(spec.estimate.count());
}

}  // namespace

std::optional<job_answer> job_scheduler::Refusal(const job& candidate, instant now) const {
  auto refuse = [this](std::string reason, duration wait) {
    return job_answer{
        .outcome = job_outcome::kRefused,
        .reason = std::move(reason),
        .retry_after = std::clamp(wait, options_.min_retry_after, options_.max_retry_after)};
  };
  if (jobs_.size() >= options_.max_jobs) {
    return refuse("too_many_jobs", options_.min_retry_after);
  }
  if (EndsWithEntry(candidate, now)) {
    return refuse("stopping", options_.min_retry_after);
  }
  if (targets_.InUse(now) == 0) {
    bool expected = no_target_since_.has_value() && now - *no_target_since_ < options_.target_grace;
    return expected ? std::nullopt : std::optional(refuse("no_target", options_.min_retry_after));
  }
  for (const step& each : candidate.steps) {
    target_table::task_demand demand{.service = candidate.submission.queue.service,
                                     .resources = each.spec.resources,
                                     .estimate = each.spec.estimate};
    if (!targets_.CouldHold(demand, now)) {
      return refuse("no_target", options_.min_retry_after);
    }
  }
  // The objective was in reach on arrival, but the wait for the event loop used up the slack.
  if (!candidate.late_on_arrival && LatestStart(candidate, now) < now) {
    return refuse("too_old", options_.min_retry_after);
  }
  return std::nullopt;
}

std::optional<job_answer> job_scheduler::OverloadRefusal(const job& candidate, instant now) const {
  queue_estimate queue = QueueBefore(candidate, now);
  if (queue.wait > Scaled(queue.slack, options_.max_wait_fraction)) {
    LogEvent("job_refused", candidate.submission.id,
             "expected wait " + std::to_string(ToMilliseconds(queue.wait)) + " ms, slack " +
                 std::to_string(ToMilliseconds(queue.slack)) + " ms, tasks waiting " +
                 std::to_string(waiting_));
    return job_answer{
        .outcome = job_outcome::kRefused,
        .reason = "overload",
        .retry_after = std::clamp(queue.wait, options_.min_retry_after, options_.max_retry_after)};
  }
  return std::nullopt;
}

bool job_scheduler::EndsWithEntry(const job& candidate, instant now) const {
  return end_.has_value() &&
         now + Scaled(PredictedRunTime(candidate, now), options_.max_run_factor) > *end_;
}

bool job_scheduler::CanStartNow(const job& candidate, instant now) const {
  // Tasks returned by an agent wait until the next placement, even where resources are free.
  int64_t tasks = waiting_;
  int64_t startable = std::numeric_limits<int64_t>::max();
  for (const step& each : candidate.steps) {
    if (!each.spec.after.empty()) {
      continue;
    }
    tasks += each.spec.count;
    target_table::task_demand demand{.service = candidate.submission.queue.service,
                                     .resources = each.spec.resources,
                                     .estimate = each.spec.estimate};
    if (LeavesReserve(candidate)) {
      demand.reserved_share = options_.reserved_share;
    }
    startable = std::min(startable, targets_.StartableTasks(demand, now));
  }
  return tasks <= startable;
}

double job_scheduler::WaitingWork(const job& owner) {
  double work = 0;
  for (const step& each : owner.steps) {
    auto waiting = std::ranges::count(each.tasks, task_state::kWaiting, &task::state);
    work += static_cast<double>(waiting) * WorkOfTask(each.spec);
  }
  return work;
}

job_scheduler::queue_estimate job_scheduler::QueueBefore(const job& candidate, instant now) const {
  instant own_start = LatestStart(candidate, now);
  queue_estimate found{.wait = options_.max_retry_after, .slack = own_start - now};
  const std::string& service = candidate.submission.queue.service;
  double share = targets_.CapacityShare(service, now);
  if (share <= 0) {
    return found;
  }
  double before = 0;
  for (const auto& [id, other] : jobs_) {
    bool goes_before = other.waiting > 0 && other.submission.queue.service == service &&
                       LatestStart(other, now) <= own_start;
    before += goes_before ? WaitingWork(other) : 0;
  }
  found.wait = duration(static_cast<int64_t>(before / share));
  return found;
}

duration job_scheduler::CriticalPath(const job& candidate) const {
  std::vector<duration> ends(candidate.steps.size());
  duration critical_path{0};
  for (size_t number = 0; number < candidate.steps.size(); ++number) {
    const step& each = candidate.steps[number];
    duration begin{0};
    for (uint32_t before : each.spec.after) {
      begin = std::max(begin, ends[before]);
    }
    bool over = each.done == each.tasks.size() && !each.tasks.empty();
    ends[number] = begin + (over ? duration::zero() : each.spec.estimate);
    critical_path = std::max(critical_path, ends[number]);
  }
  return critical_path;
}

duration job_scheduler::PredictedRunTime(const job& candidate, instant now) const {
  return targets_.FastRunTime(candidate.submission.queue.service, candidate.critical_path, now)
      .value_or(candidate.critical_path);
}

instant job_scheduler::DueTime(const job& candidate, instant now) const {
  instant start = candidate.objective - PredictedRunTime(candidate, now) - options_.round_trip;
  if (start >= now || !(candidate.late_on_arrival || HasBegun(candidate))) {
    return candidate.objective;
  }
  return UsefulUntil(candidate);
}

instant job_scheduler::LatestStart(const job& candidate, instant now) const {
  return DueTime(candidate, now) - PredictedRunTime(candidate, now) - options_.round_trip;
}

bool job_scheduler::HasBegun(const job& owner) {
  return owner.started || std::ranges::any_of(owner.steps, [](const step& each) {
           return std::ranges::any_of(each.tasks, [](const task& item) {
             return item.state == task_state::kPlaced || item.state == task_state::kUnsettled ||
                    item.state == task_state::kDone;
           });
         });
}

}  // namespace wagtail::leased
